#ifndef TRANSPORT_INTERNAL_CALLER_STREAM_H_
#define TRANSPORT_INTERNAL_CALLER_STREAM_H_

#include <functional>
#include <string>

#include "protocol/result_code.h"
#include "protocol/run_state.h"
#include "state/millis.h"

typedef struct _SoupServerMessage SoupServerMessage;
typedef struct _GSource GSource;

namespace tamaracktrail {

//! The answer to one caller: a stream of events, a complete body or an error.
//! Belongs to the task that created it.
class CallerStream {
 public:
  struct Handler {
    //! The caller closed its connection.
    std::function<void()> on_disconnected;
    //! All queued bytes were written to the connection.
    std::function<void()> on_drained;
    //! The exchange is over; `written` is whether the complete answer was
    //! handed to the network.
    std::function<void(bool written)> on_finished;
  };

  //! Takes a reference to `message` and pauses it.
  CallerStream(SoupServerMessage* message, Handler handler);
  ~CallerStream();

  CallerStream(const CallerStream&) = delete;
  CallerStream& operator=(const CallerStream&) = delete;

  //! Sets a header of the answer. Precondition: nothing was sent yet.
  void SetHeader(const std::string& name, const std::string& value);

  //! Sends one event of a stream; the first call sends the headers.
  void SendEvent(Millis now, const std::string& data);

  //! Ends the stream.
  void EndStream();

  //! Sends a complete answer. Precondition: nothing was sent yet.
  void SendCompleteAnswer(int status,
                          const std::string& content_type,
                          const std::string& body);

  //! Sends an error: as a complete answer, or as the stream's last event if the
  //! stream has started.
  void SendError(ResultCode code,
                 RunState run_state,
                 const std::string& detail);

  //! Closes the connection without the rest of the answer.
  void Abort();

  //! Bytes that are queued and not yet written.
  size_t pending_bytes() const { return pending_bytes_; }

  //! Last time that bytes were written, or queued while the queue was empty.
  Millis last_progress_at() const { return last_progress_at_; }
  bool started() const { return started_; }

 private:
  void StartStream();
  void WatchSocket();
  bool CallerDisconnected() const;

  SoupServerMessage* message_;
  Handler handler_;
  GSource* watch_ = nullptr;
  unsigned long signals_[3] = {0, 0, 0};
  size_t pending_bytes_ = 0;
  Millis last_progress_at_;
  bool started_ = false;
  bool ended_ = false;
  bool written_ = false;
  bool finished_ = false;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_INTERNAL_CALLER_STREAM_H_
