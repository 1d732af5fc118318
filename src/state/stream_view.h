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

//! A pure function of the records of one stream.
template <class F>
concept FoldModel = requires(F fold,
                             const Record& record,
                             const FoldContext& context) {
  { fold.Apply(record, context) } -> std::same_as<FoldVerdict>;
  typename F::Snapshot;
  fold.Trim();
};

//! Reads one stream into a fold: checks tags and chains, ignores repeated
//! appends, and starts from a snapshot where the log no longer has the
//! beginning. Not thread-safe.
template <FoldModel Fold>
class StreamView {
 public:
  //! Precondition: `codec` outlives the view.
  StreamView(const BatchCodec* codec, Fold fold)
      : codec_(codec), initial_(fold), fold_(std::move(fold)) {}

  const Fold& fold() const { return fold_; }
  const WriterChains& chains() const { return chains_; }

  //! First offset that is not folded yet.
  uint64_t next_offset() const { return next_offset_; }

  //! Offset to read from: beyond next_offset() while a snapshot is looked for.
  uint64_t read_offset() const {
    return pending_.empty() ? next_offset_ : pending_.back().offset + 1;
  }

  //! False while the view looks for a snapshot, so that the fold lags.
  bool live() const { return pending_.empty(); }

  //! Batches dropped for a wrong tag, a broken chain or bad bytes.
  uint64_t dropped() const { return dropped_; }
  uint64_t repeats() const { return repeats_; }

  //! Takes in the next entry; entries come in ascending order. Returns the
  //! batches that it let the view fold.
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

  //! A record that lets other readers start at next_offset().
  //! Precondition: live().
  Record MakeSnapshot() {
    fold_.Trim();
    chains_.ForgetIdle();
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
      ++dropped_;
      return;
    }
    switch (chains_.Accept(*batch, BatchCodec::ChainDigest(entry.payload))) {
      case WriterChains::Verdict::kRepeat:
        ++repeats_;
        return;
      case WriterChains::Verdict::kBroken:
        ++dropped_;
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

  //! Restores a snapshot in `entry` if the pending entries continue it.
  bool RestoreFrom(const LogEntry& entry) {
    const absl::StatusOr<Batch> batch = codec_->Decode(entry.payload);
    if (!batch.ok()) {
      return false;
    }
    for (const Record& it : batch->records) {
      const auto* snapshot = std::get_if<typename Fold::Snapshot>(&it);
      if (snapshot != nullptr &&
          snapshot->next_offset >= pending_.front().offset &&
          snapshot->next_offset >= next_offset_ && Load(*snapshot)) {
        return true;
      }
    }
    return false;
  }

  bool Load(const typename Fold::Snapshot& snapshot) {
    Fold fold = initial_;
    WriterChains chains;
    try {
      std::istringstream in(snapshot.state);
      cereal::PortableBinaryInputArchive archive(in);
      archive(chains, fold);
    } catch (const std::exception&) {
      ++dropped_;
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
  std::deque<LogEntry> pending_;
  uint64_t dropped_ = 0;
  uint64_t repeats_ = 0;
};

}  // namespace tamaracktrail

#endif  // STATE_STREAM_VIEW_H_
