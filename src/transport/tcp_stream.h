#ifndef TRANSPORT_TCP_STREAM_H_
#define TRANSPORT_TCP_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "state/millis.h"
#include "transport/io_handler.h"

namespace tamaracktrail {

class EventLoop;

//! A non-blocking TCP connection that owns its descriptor and buffers output.
//!
//! Not thread-safe. The observer may destroy the stream in any of its
//! callbacks.
class TcpStream : public IoHandler {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;

    //! The connection started by `Connect` is established.
    virtual void OnConnected() {}

    //! Bytes, the end of the stream or its failure can be read.
    virtual void OnReadable() = 0;

    //! All buffered output has been handed to the kernel.
    virtual void OnDrained() {}

    //! The connection failed; no further callbacks follow.
    virtual void OnFailed(const absl::Status& status) = 0;
  };

  //! Result of one `Read`.
  enum class ReadResult { kData, kWouldBlock, kEndOfStream, kFailed };

  //! Takes ownership of an accepted descriptor.
  static std::unique_ptr<TcpStream> Adopt(EventLoop* loop,
                                          int fd,
                                          Observer* observer);

  //! Starts connecting to the IPv4 `address` ("ip:port"). Errors: the address
  //! cannot be parsed, no descriptor is available, or connect() fails at once.
  //! `ack_timeout` is the longest time that sent bytes may stay unacknowledged
  //! by the peer's kernel (TCP_USER_TIMEOUT).
  static absl::StatusOr<std::unique_ptr<TcpStream>> Connect(
      EventLoop* loop,
      const std::string& address,
      Millis ack_timeout,
      Observer* observer);

  ~TcpStream() override;

  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  //! Hands the stream over to another observer. Precondition: not null.
  void SetObserver(Observer* observer) { observer_ = observer; }

  //! Reads at most `limit` of the available bytes and appends them to `buf`.
  //! Reports an end only if the connection has not failed, also after it; bytes
  //! that arrived before a failure are returned first.
  ReadResult Read(std::string* buf, size_t limit);

  //! Buffers bytes; `Flush` sends them.
  void Write(std::string_view bytes);

  //! Hands buffered bytes to the kernel until its send buffer is full.
  void Flush();

  //! Whether received bytes wait to be read.
  bool has_unread_bytes() const;

  //! Pauses or resumes reading, for back-pressure.
  void PauseReading(bool pause);

  //! Closes the sending side (FIN). Precondition: `pending_bytes()` is 0.
  void ShutDownWriting();

  //! Whether the close sends a reset, so that the peer cannot mistake the bytes
  //! it received for a complete message. Also holds for a close by the kernel
  //! when the process ends. Off at first.
  void SetResetOnClose(bool on);

  //! Buffered bytes that are not yet handed to the kernel.
  size_t pending_bytes() const { return output_.size() - output_sent_; }
  //! Memory of the output buffer.
  size_t output_capacity() const { return output_.capacity(); }
  //! Whether the peer's kernel has acknowledged all bytes that were written.
  //! The peer itself may not have read them.
  bool output_acknowledged() const;
  //! Bytes handed to the kernel since the stream was created.
  uint64_t bytes_sent() const { return bytes_sent_; }
  bool connected() const { return connected_; }

  void OnReady(uint32_t events) override;

 private:
  TcpStream(EventLoop* loop, int fd, bool connected, Observer* observer);

  //! Returns false if sending has failed.
  bool SendPending();
  //! Returns the error of the socket that was not reported yet, or 0.
  int TakeError();
  void UpdateEvents();
  void Fail(int error);

  EventLoop* loop_;
  int fd_;
  bool connected_;
  bool reading_paused_ = false;
  bool write_blocked_ = false;
  //! The error was reported to a send, so the kernel reports an end to reads.
  bool send_failed_ = false;
  uint32_t watched_events_ = 0;
  uint64_t bytes_sent_ = 0;
  std::string output_;
  size_t output_sent_ = 0;
  Observer* observer_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_TCP_STREAM_H_
