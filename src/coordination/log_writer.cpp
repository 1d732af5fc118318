#include "coordination/log_writer.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "state/batch.h"
#include "state/batch_codec.h"
#include "state/writer_chains.h"

namespace tamaracktrail {

namespace {

//! The retry delay is doubled at most this number of times.
constexpr int kMaxBackoffShift = 2;
//! An idle writer appends an empty batch once its last one is older than the
//! writer window divided by this, since it would lose its hash chain after the
//! whole window.
constexpr int64_t kKeepaliveDivisor = 2;

//! Estimates the encoded size. All records but snapshots are small.
size_t EstimateEncodedBytes(const Record& record) {
  // Estimate for a record without a snapshot's state.
  constexpr size_t kSmallRecordBytes = 160;
  if (const auto* it = std::get_if<LedgerSnapshot>(&record)) {
    return kSmallRecordBytes + it->state.size();
  }
  if (const auto* it = std::get_if<ControlSnapshot>(&record)) {
    return kSmallRecordBytes + it->state.size();
  }
  return kSmallRecordBytes;
}

}  // namespace

LogWriter::LogWriter(uint64_t writer, const BatchCodec* codec, Options options)
    : writer_(writer), codec_(codec), options_(options) {}

uint64_t LogWriter::Add(Record record) {
  queue_.push_back(std::move(record));
  return ++last_ticket_;
}

std::optional<std::string> LogWriter::NextAppend(Millis now, Millis wall) {
  if (awaiting_answer_) {
    return std::nullopt;
  }
  if (!pending_payload_.empty()) {
    if (now < retry_at_) {
      return std::nullopt;
    }
    awaiting_answer_ = true;
    return pending_payload_;
  }
  const bool due =
      !has_sent_batch_ || now >= last_batch_at_ + options_.min_batch_interval;
  if (!due || (queue_.empty() && !KeepaliveDue(wall))) {
    return std::nullopt;
  }
  Batch batch{writer_, ++sequence_, previous_digest_, wall, {}};
  size_t bytes = 0;
  while (!queue_.empty() && batch.records.size() < options_.max_records &&
         bytes < options_.max_bytes) {
    bytes += EstimateEncodedBytes(queue_.front());
    batch.records.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  pending_payload_ = codec_->Encode(batch);
  previous_digest_ = BatchCodec::ChainDigest(pending_payload_);
  pending_records_ = batch.records.size();
  has_sent_batch_ = true;
  awaiting_answer_ = true;
  last_batch_at_ = now;
  last_batch_wall_ = wall;
  return pending_payload_;
}

void LogWriter::OnAppended(Millis now, bool ok) {
  awaiting_answer_ = false;
  if (ok) {
    consecutive_failures_ = 0;
    ConfirmPending();
    return;
  }
  const int shift = std::min(consecutive_failures_, kMaxBackoffShift);
  ++consecutive_failures_;
  retry_at_ = now + options_.retry_delay * (int64_t{1} << shift);
}

void LogWriter::OnReadBack(uint64_t last_sequence) {
  CHECK_LE(last_sequence, sequence_)
      << "another process appends under this writer's incarnation";
  if (last_sequence == sequence_) {
    ConfirmPending();
  }
}

void LogWriter::ConfirmPending() {
  if (pending_payload_.empty()) {
    return;
  }
  pending_payload_.clear();
  last_confirmed_ticket_ += pending_records_;
  pending_records_ = 0;
}

bool LogWriter::KeepaliveDue(Millis wall) const {
  const Millis age = wall - last_batch_wall_;
  return has_sent_batch_ &&
         age.count() * kKeepaliveDivisor > WriterChains::kWriterWindow.count();
}

}  // namespace tamaracktrail
