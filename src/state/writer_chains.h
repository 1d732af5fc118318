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

//! Verifies the hash chain of each writer of one stream and detects repeated
//! appends. Not thread-safe.
class WriterChains {
 public:
  //! If a writer's last batch is older than this, its further batches are
  //! kBroken and EvictIdle() forgets the writer.
  static constexpr Millis kWriterWindow = kHour * 24;

  enum class Verdict { kNext, kRepeat, kBroken };

  //! Returns whether `batch` continues its writer's chain and, if so, makes it
  //! the last one of the chain. `digest` is the chain digest of its payload.
  Verdict Accept(const Batch& batch, const std::string& digest);

  //! Sequence number of the writer's last accepted batch; 0 for an unknown
  //! writer.
  uint64_t LastSequence(uint64_t writer) const;

  //! Drops writers whose last batch is older than kWriterWindow. This does not
  //! change any verdict, since Accept() treats these chains as broken already.
  void EvictIdle();

  size_t size() const { return heads_.size(); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(clock_, heads_);
  }

 private:
  struct Head {
    uint64_t sequence = 0;
    std::string digest;
    Millis last_wall;  //!< Wall-clock time of the last batch.

    template <class Archive>
    void serialize(Archive& archive) {
      archive(sequence, digest, last_wall);
    }
  };

  bool TooOld(Millis wall) const { return wall + kWriterWindow < clock_.now(); }

  FoldClock clock_;
  std::map<uint64_t, Head> heads_;
};

}  // namespace tamaracktrail

#endif  // STATE_WRITER_CHAINS_H_
