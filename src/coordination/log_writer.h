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

//! Batches the records of one writer for one stream and repeats each append
//! until it is confirmed.
//!
//! At most one batch is pending (appended, outcome unknown) at a time. A
//! repeated append carries the same bytes, so that readers recognize it by
//! (writer, sequence). Not thread-safe.
class LogWriter {
 public:
  struct Options {
    Millis min_batch_interval{200};  //!< Shortest time between new batches.
    //! Delay before an append is repeated. Each consecutive failure doubles it,
    //! up to 4 times this.
    Millis retry_delay{1000};
    size_t max_records = 500;       //!< Records in a batch.
    size_t max_bytes = 512 * 1024;  //!< Estimated encoded size of a batch.
  };

  //! Precondition: `codec` outlives the writer; `writer` is this process's
  //! incarnation and no other object writes the stream under it.
  LogWriter(uint64_t writer, const BatchCodec* codec, Options options);

  //! Queues a record and returns its ticket. Tickets are consecutive from 1.
  uint64_t Add(Record record);

  //! The payload to append now, if any is due. The caller has to answer each
  //! payload with exactly one call of OnAppended; until then no other is
  //! returned.
  std::optional<std::string> NextAppend(Millis now, Millis wall);

  //! Result of the append. `ok`: the log has stored it for certain.
  void OnAppended(Millis now, bool ok);

  //! Reports that the stream holds this writer's batches up to `last_sequence`.
  //! Stops the process if that batch was never written by this writer.
  void OnReadBack(uint64_t last_sequence);

  //! Whether the log is known to hold the record of `ticket`.
  bool Confirmed(uint64_t ticket) const {
    return ticket <= last_confirmed_ticket_;
  }

  //! Number of records that are not confirmed yet.
  size_t backlog() const { return queue_.size() + pending_records_; }

  //! Number of consecutive failed appends; 0 while appends succeed.
  int consecutive_failures() const { return consecutive_failures_; }

  //! Whether NextAppend returned a payload that OnAppended has not answered.
  bool awaiting_answer() const { return awaiting_answer_; }

 private:
  void ConfirmPending();
  bool KeepaliveDue(Millis wall) const;

  uint64_t writer_;
  const BatchCodec* codec_;
  Options options_;
  std::deque<Record> queue_;
  uint64_t last_ticket_ = 0;
  uint64_t last_confirmed_ticket_ = 0;
  uint64_t sequence_ = 0;
  std::string previous_digest_;
  std::string pending_payload_;  //!< Pending batch; empty for none.
  size_t pending_records_ = 0;
  bool awaiting_answer_ = false;
  bool has_sent_batch_ = false;
  int consecutive_failures_ = 0;
  Millis last_batch_at_;
  Millis last_batch_wall_;
  Millis retry_at_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_LOG_WRITER_H_
