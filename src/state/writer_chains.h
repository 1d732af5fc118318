#ifndef STATE_WRITER_CHAINS_H_
#define STATE_WRITER_CHAINS_H_

#include <cstdint>
#include <map>
#include <string>

#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>

#include "state/fold_clock.h"
#include "state/millis.h"

namespace tamaracktrail {

struct Batch;

//! Follows the hash chain of each writer of one stream and recognizes repeated
//! appends. Not thread-safe.
class WriterChains {
 public:
  //! A writer that stays silent for longer loses its chain.
  static constexpr Millis kWriterWindow = kHour * 24;

  enum class Verdict { kNext, kRepeat, kBroken };

  //! Tells whether `batch` is its writer's next one and, if so, takes it in.
  //! `digest` is the chain digest of its payload.
  Verdict Accept(const Batch& batch, const std::string& digest);

  //! Sequence of the writer's last accepted batch; 0 for an unknown writer.
  uint64_t LastSequence(uint64_t writer) const;

  //! Drops writers whose last batch is older than kWriterWindow. Not
  //! observable: their chains count as broken from that age on.
  void ForgetIdle();

  size_t size() const { return heads_.size(); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(clock_, heads_);
  }

 private:
  struct Head {
    uint64_t sequence = 0;
    std::string digest;
    Millis seen;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(sequence, digest, seen);
    }
  };

  bool TooOld(Millis wall) const { return wall + kWriterWindow < clock_.now(); }

  FoldClock clock_;
  std::map<uint64_t, Head> heads_;
};

}  // namespace tamaracktrail

#endif  // STATE_WRITER_CHAINS_H_
