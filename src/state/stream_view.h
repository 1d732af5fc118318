#ifndef STATE_STREAM_VIEW_H_
#define STATE_STREAM_VIEW_H_

#include <concepts>
#include <cstdint>
#include <deque>
#include <exception>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <cereal/archives/portable_binary.hpp>

#include "state/applied_batch.h"
#include "state/batch_codec.h"
#include "state/fold_context.h"
#include "state/log_entry.h"
#include "state/writer_chains.h"

namespace tamaracktrail {

//! State machine whose state depends only on the records of one stream and
//! their contexts.
template <class F>
concept FoldModel = requires(F fold,
                             const Record& record,
                             const FoldContext& context) {
  { fold.Apply(record, context) } -> std::same_as<FoldVerdict>;
  typename F::Snapshot;
  fold.Trim();
};

//! Applies the entries of one stream to a fold. Checks tags and hash chains,
//! ignores repeated appends, and starts from a snapshot if the log no longer
//! has the first entries. Not thread-safe.
template <FoldModel Fold>
class StreamView {
 public:
  //! Precondition: `codec` outlives the view.
  StreamView(const BatchCodec* codec, Fold fold)
      : codec_(codec), initial_(fold), fold_(std::move(fold)) {}

  const Fold& fold() const { return fold_; }
  const WriterChains& chains() const { return chains_; }

  //! First offset that is not applied yet.
  uint64_t next_offset() const { return next_offset_; }

  //! Offset to read from. Beyond next_offset() while the view searches for a
  //! snapshot.
  uint64_t read_offset() const {
    return pending_.empty() ? next_offset_ : pending_.back().offset + 1;
  }

  //! True unless entries are missing and the view searches for a snapshot; the
  //! fold is then behind the entries that were fed.
  bool live() const { return pending_.empty(); }

  //! Number of batches dropped because of a wrong tag or a broken hash chain,
  //! or because they did not decode. Snapshots that do not decode count too.
  uint64_t dropped_batches() const { return dropped_batches_; }
  //! Number of repeated appends that were ignored.
  uint64_t repeated_batches() const { return repeated_batches_; }

  //! Feeds the next entry. Returns the batches that were applied to the fold
  //! because of it: none while a snapshot is missing, several once it is found.
  //! Precondition: entries are fed in ascending order of their offsets.
  std::vector<AppliedBatch> Feed(const LogEntry& entry) {
    std::vector<AppliedBatch> applied;
    if (entry.offset < read_offset()) {
      return applied;
    }
    if (live() && entry.offset == next_offset_) {
      FoldEntry(entry, applied);
      return applied;
    }
    pending_.push_back(entry);
    if (RestoreFrom(entry)) {
      std::deque<LogEntry> pending = std::exchange(pending_, {});
      for (const LogEntry& it : pending) {
        if (it.offset == next_offset_) {
          FoldEntry(it, applied);
        }
      }
    }
    return applied;
  }

  //! Returns a snapshot record from which other readers can start at
  //! next_offset(). Drops expired state of this view first.
  //! Precondition: live().
  Record MakeSnapshot() {
    fold_.Trim();
    chains_.EvictIdle();
    std::ostringstream out;
    {
      cereal::PortableBinaryOutputArchive archive(out);
      archive(chains_, fold_);
    }
    typename Fold::Snapshot snapshot;
    snapshot.next_offset = next_offset_;
    snapshot.state = out.str();
    return snapshot;
  }

 private:
  void FoldEntry(const LogEntry& entry, std::vector<AppliedBatch>& applied) {
    next_offset_ = entry.offset + 1;
    absl::StatusOr<Batch> batch = codec_->Decode(entry.payload);
    if (!batch.ok()) {
      ++dropped_batches_;
      return;
    }
    switch (chains_.Accept(*batch, BatchCodec::ChainDigest(entry.payload))) {
      case WriterChains::Verdict::kRepeat:
        ++repeated_batches_;
        return;
      case WriterChains::Verdict::kBroken:
        ++dropped_batches_;
        return;
      case WriterChains::Verdict::kNext:
        break;
    }
    AppliedBatch out{entry.offset, *std::move(batch), {}};
    const FoldContext context{entry.offset, out.batch.writer, out.batch.wall};
    for (const Record& it : out.batch.records) {
      const bool snapshot = std::holds_alternative<typename Fold::Snapshot>(it);
      out.verdicts.push_back(snapshot ? FoldVerdict::kAccepted
                                      : fold_.Apply(it, context));
    }
    applied.push_back(std::move(out));
  }

  //! Restores a snapshot in `entry` if the pending entries reach back to its
  //! next_offset. Returns whether it did.
  bool RestoreFrom(const LogEntry& entry) {
    const absl::StatusOr<Batch> batch = codec_->Decode(entry.payload);
    if (!batch.ok()) {
      return false;
    }
    for (const Record& it : batch->records) {
      const auto* snapshot = std::get_if<typename Fold::Snapshot>(&it);
      if (snapshot != nullptr &&
          snapshot->next_offset >= pending_.front().offset &&
          snapshot->next_offset >= next_offset_ && LoadSnapshot(*snapshot)) {
        return true;
      }
    }
    return false;
  }

  bool LoadSnapshot(const typename Fold::Snapshot& snapshot) {
    Fold fold = initial_;
    WriterChains chains;
    try {
      std::istringstream in(snapshot.state);
      cereal::PortableBinaryInputArchive archive(in);
      archive(chains, fold);
    } catch (const std::exception&) {
      ++dropped_batches_;
      return false;
    }
    fold_ = std::move(fold);
    chains_ = std::move(chains);
    next_offset_ = snapshot.next_offset;
    return true;
  }

  const BatchCodec* codec_;
  Fold initial_;
  Fold fold_;
  WriterChains chains_;
  uint64_t next_offset_ = 1;
  std::deque<LogEntry> pending_;  //!< Fed while a snapshot is missing.
  uint64_t dropped_batches_ = 0;
  uint64_t repeated_batches_ = 0;
};

}  // namespace tamaracktrail

#endif  // STATE_STREAM_VIEW_H_
