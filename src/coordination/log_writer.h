#ifndef COORDINATION_LOG_WRITER_H_
#define COORDINATION_LOG_WRITER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "state/millis.h"
#include "state/record.h"

namespace tamaracktrail {

class BatchCodec;

//! Batches one writer's records for one stream and repeats each append until it
//! is confirmed.
//!
//! One batch is on its way at a time. A repeat carries the same bytes, so that
//! readers recognize it by (writer, sequence). Not thread-safe.
class LogWriter {
 public:
  struct Policy {
    Millis interval{200};           //!< Shortest time between new batches.
    Millis retry{1000};             //!< Time before an append is repeated.
    size_t max_records = 500;       //!< Records in a batch.
    size_t max_bytes = 512 * 1024;  //!< Rough size of a batch.
  };

  //! Precondition: `codec` outlives the writer; `writer` is this process's
  //! incarnation and no other object writes the stream under it.
  LogWriter(uint64_t writer, const BatchCodec* codec, Policy policy);

  //! Queues a record; returns its ticket. Tickets count from 1.
  uint64_t Add(Record record);

  //! The payload to append now, if any is due. After it, exactly one call of
  //! OnAppended follows before the next payload is returned.
  std::optional<std::string> NextAppend(Millis now, Millis wall);

  //! Answer of the append: `ok` where the log has taken it for certain.
  void OnAppended(Millis now, bool ok);

  //! The stream holds this writer's batches up to `last_sequence`.
  void OnReadBack(uint64_t last_sequence);

  //! Whether the log holds the record of `ticket`.
  bool Confirmed(uint64_t ticket) const { return ticket <= confirmed_; }

  //! Records not confirmed yet.
  size_t backlog() const { return queue_.size() + in_flight_records_; }

  //! Consecutive appends that failed; 0 while the log answers.
  int failures() const { return failures_; }

  //! Whether an append awaits its answer.
  bool waiting() const { return waiting_; }

 private:
  void Confirm();
  bool KeepaliveDue(Millis wall) const;

  uint64_t writer_;
  const BatchCodec* codec_;
  Policy policy_;
  std::deque<Record> queue_;
  uint64_t added_ = 0;
  uint64_t confirmed_ = 0;
  uint64_t sequence_ = 0;
  std::string previous_;
  std::string payload_;  //!< Batch on its way; empty for none.
  size_t in_flight_records_ = 0;
  bool waiting_ = false;
  bool started_ = false;
  int failures_ = 0;
  Millis last_start_;
  Millis last_wall_;
  Millis retry_at_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_LOG_WRITER_H_
