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
//! Not thread-safe. The observer may destroy the stream in any of its calls.
class TcpStream : public IoHandler {
 public:
  class Observer {
   public:
    virtual ~Observer() = default;

    //! The connection of `Connect` is established.
    virtual void OnConnected() {}

    //! Bytes, or the end of the stream, can be read.
    virtual void OnReadable() = 0;

    //! All buffered output has been handed to the kernel.
    virtual void OnDrained() {}

    //! The connection failed; nothing more follows.
    virtual void OnFailed(const absl::Status& status) = 0;
  };

  //! What one read found.
  enum class ReadResult { kData, kNothing, kEnd, kFailed };

  //! Takes over an accepted descriptor.
  static std::unique_ptr<TcpStream> Adopt(EventLoop* loop,
                                          int fd,
                                          Observer* observer);

  //! Starts a connection to the IPv4 `address` ("ip:port"). Errors: the address
  //! cannot be read, or no descriptor is left. `unacknowledged` bounds how long
  //! sent bytes may stay without an answer from the peer's kernel.
  static absl::StatusOr<std::unique_ptr<TcpStream>> Connect(
      EventLoop* loop,
      const std::string& address,
      Millis unacknowledged,
      Observer* observer);

  ~TcpStream() override;

  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  //! Another owner takes the stream over. Precondition: not null.
  void SetObserver(Observer* observer) { observer_ = observer; }

  //! Appends what can be read to `buf`, at most `limit` bytes.
  ReadResult Read(std::string* buf, size_t limit);

  //! Buffers bytes; `Flush` sends them.
  void Write(std::string_view bytes);

  //! Sends buffered bytes as far as the peer takes them.
  void Flush();

  //! Stops or goes on reading, for back-pressure.
  void PauseReading(bool pause);

  //! Sends the end of the stream. Precondition: nothing is pending.
  void ShutDownWriting();

  //! Closes with a reset, so that the peer cannot take what it has for whole.
  void Abort();

  size_t pending() const { return out_.size() - sent_; }
  //! Bytes handed to the kernel since the start.
  uint64_t bytes_sent() const { return bytes_sent_; }
  bool connected() const { return connected_; }

  void OnReady(uint32_t events) override;

 private:
  TcpStream(EventLoop* loop, int fd, bool connected, Observer* observer);

  bool SendPending();
  void UpdateEvents();
  void Fail(int error);

  EventLoop* loop_;
  int fd_;
  bool connected_;
  bool paused_ = false;
  bool blocked_ = false;
  uint32_t events_ = 0;
  uint64_t bytes_sent_ = 0;
  std::string out_;
  size_t sent_ = 0;
  Observer* observer_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_TCP_STREAM_H_
