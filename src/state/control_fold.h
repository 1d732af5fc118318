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

//! State folded from the control stream: configuration, incarnations, crash
//! history and placer terms. Not thread-safe.
class ControlFold {
 public:
  using Snapshot = ControlSnapshot;

  //! Accepts at most `loads_per_minute` load orders per minute of fold time,
  //! which keeps the whole fleet within the rate limit of the weight store. All
  //! instances of the fleet must use the same value.
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
    //! Incarnation of the placer (not a holder of a share).
    uint64_t holder = 0;
    uint64_t fencing_number = 0;  //!< Offset of the Term record.
    Millis started_at;            //!< Fold time.

    template <class Archive>
    void serialize(Archive& archive) {
      archive(holder, fencing_number, started_at);
    }
  };

  //! Applies one record.
  FoldVerdict Apply(const Record& record, const FoldContext& context);

  //! Version of the configuration in force, which is the offset of its record;
  //! 0 for none.
  uint64_t version() const { return version_; }
  const Configuration& configuration() const { return configuration_; }

  //! Version of the configuration published under `id`; nullopt if none was
  //! accepted.
  std::optional<uint64_t> VersionOf(const std::string& id) const;

  const std::map<uint64_t, Member>& members() const { return members_; }

  //! Incarnations of a data centre that have joined and not exited.
  std::vector<uint64_t> LiveIncarnations(const std::string& data_centre) const;

  //! Number of distinct runs of this content that crashed an endpoint. A trial
  //! that succeeds resets it to 0, and so does Trim() after kCrashWindow.
  size_t CrashCount(const std::string& content) const;

  //! Attempt that holds the trial of this content, which allows one more run
  //! after the first crash; nullopt for none.
  std::optional<uint64_t> TrialOf(const std::string& content) const;

  std::optional<TermState> TermOf(const std::string& data_centre) const;

  //! Drops contents with no crash or trial within kCrashWindow of fold time.
  //! Until then CrashCount() and TrialOf() still report them.
  void Trim();

  template <class Archive>
  void serialize(Archive& archive);

  //! Time after a content's last crash or trial for which Trim() keeps it.
  static constexpr Millis kCrashWindow = kHour * 24;

 private:
  struct ContentState {
    std::set<uint64_t> crashed_runs;  //!< Hashes of attempt and endpoint.
    uint64_t trial = 0;               //!< Attempt on trial; 0 for none.
    Millis last_seen;                 //!< Fold time of the last crash or trial.

    template <class Archive>
    void serialize(Archive& archive) {
      archive(crashed_runs, trial, last_seen);
    }
  };

  FoldVerdict On(const Configuration& record, const FoldContext& context);
  FoldVerdict On(const Join& record, const FoldContext& context);
  FoldVerdict On(const Exit& record, const FoldContext& context);
  FoldVerdict On(const Crash& record, const FoldContext& context);
  FoldVerdict On(const Trial& record, const FoldContext& context);
  FoldVerdict On(const TrialEnd& record, const FoldContext& context);
  FoldVerdict On(const Term& record, const FoldContext& context);
  FoldVerdict On(const Order& record, const FoldContext& context);
  template <class Other>
  FoldVerdict On(const Other& record, const FoldContext& context);

  size_t loads_per_minute_;
  FoldClock clock_;
  std::vector<Millis> recent_loads_;  //!< Fold times of accepted load orders;
                                      //!< older than a minute are dropped.
  uint64_t version_ = 0;
  Configuration configuration_;
  std::map<std::string, uint64_t> published_;  //!< Versions by id.
  std::map<uint64_t, Member> members_;         //!< By incarnation.
  std::map<std::string, ContentState> contents_;
  std::map<std::string, TermState> terms_;  //!< By data centre.
};

}  // namespace tamaracktrail

#endif  // STATE_CONTROL_FOLD_H_
