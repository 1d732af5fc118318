#ifndef CLI_LOG_SESSION_H_
#define CLI_LOG_SESSION_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "coordination/log_writer.h"
#include "state/log_entry.h"
#include "state/millis.h"
#include "state/stream_view.h"
#include "transport/clock.h"
#include "transport/log_service.h"

typedef struct _GMainContext GMainContext;

namespace tamaracktrail {

class HttpClient;
class HttpLogService;

//! Blocking client of the platform's log, for commands. Use from one thread.
class LogSession {
 public:
  //! Offset of an appended record and the verdict of the fold on it.
  struct ReadBackResult {
    uint64_t offset = 0;
    FoldVerdict verdict = FoldVerdict::kNotApplicable;
  };

  LogSession(const std::string& log_url, const std::string& fleet_key);
  ~LogSession();

  LogSession(const LogSession&) = delete;
  LogSession& operator=(const LogSession&) = delete;

  const BatchCodec* codec() const { return &codec_; }

  //! Reads one page of a stream; `wait` as in LogService.
  absl::StatusOr<LogPage> Read(const std::string& stream,
                               uint64_t from,
                               Millis wait);

  //! Appends one entry and returns its offset. After an error the entry may or
  //! may not be in the stream.
  absl::StatusOr<uint64_t> Append(const std::string& stream,
                                  const std::string& payload);

  //! Reads a stream to its end. Errors: those of Read; kNotFound if the log no
  //! longer has the start of the stream and holds no usable snapshot.
  template <FoldModel Fold>
  absl::Status CatchUp(const std::string& stream, StreamView<Fold>& view) {
    while (true) {
      absl::StatusOr<LogPage> page = Read(stream, view.read_offset(), Millis());
      if (!page.ok()) {
        return page.status();
      }
      for (const LogEntry& it : page->entries) {
        view.Feed(it);
      }
      if (page->entries.empty() || view.read_offset() >= page->end) {
        return view.live()
                   ? absl::OkStatus()
                   : absl::NotFoundError("the log holds no usable snapshot");
      }
    }
  }

  //! Appends one record, repeating the append until the record is read back or
  //! `deadline` passes. Errors: kDeadlineExceeded; the record may or may not be
  //! in the stream then.
  template <FoldModel Fold>
  absl::StatusOr<ReadBackResult> AppendAndReadBack(const std::string& stream,
                                                   StreamView<Fold>& view,
                                                   Record record,
                                                   Millis deadline) {
    const uint64_t writer = NewWriter();
    LogWriter log_writer(writer, &codec_, LogWriter::Options{});
    log_writer.Add(std::move(record));
    while (MonotonicNow() < deadline) {
      const Millis now = MonotonicNow();
      if (auto payload = log_writer.NextAppend(now, WallNow())) {
        log_writer.OnAppended(MonotonicNow(), Append(stream, *payload).ok());
      }
      absl::StatusOr<LogPage> page =
          Read(stream, view.read_offset(), kReadBackWait);
      if (!page.ok()) {
        continue;
      }
      for (const LogEntry& entry : page->entries) {
        for (const AppliedBatch& it : view.Feed(entry)) {
          if (it.batch.writer == writer) {
            return ReadBackResult{it.offset, it.verdicts.front()};
          }
        }
      }
    }
    return absl::DeadlineExceededError(
        "the log did not confirm the record in time");
  }

 private:
  //! Longest wait of one read for new entries.
  static constexpr Millis kReadBackWait{200};

  static uint64_t NewWriter();

  BatchCodec codec_;
  GMainContext* context_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<HttpLogService> log_;
};

}  // namespace tamaracktrail

#endif  // CLI_LOG_SESSION_H_
