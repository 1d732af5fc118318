#ifndef STATE_CONTROL_FOLD_H_
#define STATE_CONTROL_FOLD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state/fold_clock.h"
#include "state/fold_context.h"
#include "state/fold_verdict.h"
#include "state/millis.h"
#include "state/record.h"

namespace tamaracktrail {

//! Configuration, incarnations, crash history and placer terms, folded from the
//! control stream. Not thread-safe.
class ControlFold {
 public:
  using Snapshot = ControlSnapshot;

  //! At most `loads_per_minute` load orders are accepted in a minute of fold
  //! time, which keeps the whole fleet within the weight store's rate; the
  //! number must be the same in the whole fleet.
  explicit ControlFold(size_t loads_per_minute = 60)
      : loads_per_minute_(loads_per_minute) {}

  struct Member {
    std::string address;
    std::string data_centre;
    bool exited = false;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(address, data_centre, exited);
    }
  };

  struct TermState {
    uint64_t holder = 0;
    uint64_t fencing_number = 0;  //!< Offset of the term's record.
    Millis since;                 //!< Fold time.

    template <class Archive>
    void serialize(Archive& archive) {
      archive(holder, fencing_number, since);
    }
  };

  //! Takes in one record.
  FoldVerdict Apply(const Record& record, const FoldContext& context);

  //! Offset of the configuration in force; 0 for none.
  uint64_t version() const { return version_; }
  const Configuration& configuration() const { return configuration_; }

  //! Version that publishing under `id` led to, if it was accepted.
  std::optional<uint64_t> VersionOf(const std::string& id) const;

  const std::map<uint64_t, Member>& members() const { return members_; }

  //! Joined and not exited incarnations of a data centre.
  std::vector<uint64_t> LiveIn(const std::string& data_centre) const;

  //! Endpoints lost while they ran this content.
  size_t CrashCount(const std::string& content) const;

  //! Attempt that may run this content once more after its first crash.
  std::optional<uint64_t> TrialOf(const std::string& content) const;

  std::optional<TermState> TermOf(const std::string& data_centre) const;

  void Trim();

  template <class Archive>
  void serialize(Archive& archive);

  static constexpr Millis kCrashWindow = kHour * 24;

 private:
  struct ContentState {
    std::set<uint64_t> crashed_runs;
    uint64_t trial = 0;
    Millis seen;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(crashed_runs, trial, seen);
    }
  };

  FoldVerdict On(const Configuration& record, const FoldContext& context);
  FoldVerdict On(const Join& record, const FoldContext& context);
  FoldVerdict On(const Exit& record, const FoldContext& context);
  FoldVerdict On(const Crash& record, const FoldContext& context);
  FoldVerdict On(const Trial& record, const FoldContext& context);
  FoldVerdict On(const Acquit& record, const FoldContext& context);
  FoldVerdict On(const Term& record, const FoldContext& context);
  FoldVerdict On(const Order& record, const FoldContext& context);
  template <class Other>
  FoldVerdict On(const Other& record, const FoldContext& context);

  size_t loads_per_minute_;
  FoldClock clock_;
  std::vector<Millis> loads_;  //!< Accepted in the last minute.
  uint64_t version_ = 0;
  Configuration configuration_;
  std::map<std::string, uint64_t> published_;
  std::map<uint64_t, Member> members_;
  std::map<std::string, ContentState> contents_;
  std::map<std::string, TermState> terms_;
};

}  // namespace tamaracktrail

#endif  // STATE_CONTROL_FOLD_H_
