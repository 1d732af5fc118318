#include "state/writer_chains.h"

#include <algorithm>

#include "state/batch.h"

namespace tamaracktrail {

WriterChains::Verdict WriterChains::Accept(const Batch& batch,
                                           const std::string& digest) {
  clock_.Advance(batch.wall);
  auto it = heads_.find(batch.writer);
  const bool expired = it != heads_.end() && TooOld(it->second.last_wall);
  if (expired || TooOld(batch.wall)) {
    return Verdict::kBroken;
  }
  const uint64_t last = it == heads_.end() ? 0 : it->second.sequence;
  if (batch.sequence <= last) {
    return Verdict::kRepeat;
  }
  const std::string expected = it == heads_.end() ? "" : it->second.digest;
  if (batch.sequence != last + 1 || batch.previous_digest != expected) {
    return Verdict::kBroken;
  }
  heads_[batch.writer] = Head{batch.sequence, digest, batch.wall};
  return Verdict::kNext;
}

uint64_t WriterChains::LastSequence(uint64_t writer) const {
  auto it = heads_.find(writer);
  return it == heads_.end() ? 0 : it->second.sequence;
}

void WriterChains::EvictIdle() {
  std::erase_if(heads_,
                [this](const auto& it) { return TooOld(it.second.last_wall); });
}

}  // namespace tamaracktrail
