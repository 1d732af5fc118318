#include "coordination/log_writer.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

#include "state/batch.h"
#include "state/batch_codec.h"
#include "state/writer_chains.h"

namespace tamaracktrail {

namespace {

constexpr int kMaxBackoffShift = 2;
constexpr int64_t kKeepaliveDivisor = 2;

//! Rough encoded size; only large records matter.
size_t RoughBytes(const Record& record) {
  constexpr size_t kSmallRecord = 160;
  if (const auto* it = std::get_if<LedgerSnapshot>(&record)) {
    return kSmallRecord + it->state.size();
  }
  if (const auto* it = std::get_if<ControlSnapshot>(&record)) {
    return kSmallRecord + it->state.size();
  }
  return kSmallRecord;
}

}  // namespace

LogWriter::LogWriter(uint64_t writer, const BatchCodec* codec, Policy policy)
    : writer_(writer), codec_(codec), policy_(policy) {}

uint64_t LogWriter::Add(Record record) {
  queue_.push_back(std::move(record));
  return ++added_;
}

std::optional<std::string> LogWriter::NextAppend(Millis now, Millis wall) {
  if (waiting_) {
    return std::nullopt;
  }
  if (!payload_.empty()) {
    if (now < retry_at_) {
      return std::nullopt;
    }
    waiting_ = true;
    return payload_;
  }
  const bool due = !started_ || now >= last_start_ + policy_.interval;
  if (!due || (queue_.empty() && !KeepaliveDue(wall))) {
    return std::nullopt;
  }
  Batch batch{writer_, ++sequence_, previous_, wall, {}};
  size_t bytes = 0;
  while (!queue_.empty() && batch.records.size() < policy_.max_records &&
         bytes < policy_.max_bytes) {
    bytes += RoughBytes(queue_.front());
    batch.records.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  payload_ = codec_->Encode(batch);
  previous_ = BatchCodec::ChainDigest(payload_);
  in_flight_records_ = batch.records.size();
  started_ = true;
  waiting_ = true;
  last_start_ = now;
  last_wall_ = wall;
  return payload_;
}

void LogWriter::OnAppended(Millis now, bool ok) {
  waiting_ = false;
  if (ok) {
    failures_ = 0;
    Confirm();
    return;
  }
  const int shift = std::min(failures_, kMaxBackoffShift);
  ++failures_;
  retry_at_ = now + policy_.retry * (int64_t{1} << shift);
}

void LogWriter::OnReadBack(uint64_t last_sequence) {
  CHECK_LE(last_sequence, sequence_) << "another process writes as this one";
  if (last_sequence == sequence_) {
    Confirm();
  }
}

void LogWriter::Confirm() {
  if (payload_.empty()) {
    return;
  }
  payload_.clear();
  confirmed_ += in_flight_records_;
  in_flight_records_ = 0;
}

bool LogWriter::KeepaliveDue(Millis wall) const {
  const Millis age = wall - last_wall_;
  return started_ &&
         age.count() * kKeepaliveDivisor > WriterChains::kWriterWindow.count();
}

}  // namespace tamaracktrail
