#ifndef TRANSPORT_INTERNAL_PEER_CONNECTION_H_
#define TRANSPORT_INTERNAL_PEER_CONNECTION_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "protocol/byte_queue.h"
#include "protocol/peer_message.h"

typedef struct _GSocketConnection GSocketConnection;
typedef struct _GCancellable GCancellable;

namespace tamaracktrail {

class FrameCodec;

//! Sends and receives frames over one TCP connection. Belongs to the task that
//! created it.
class PeerConnection {
 public:
  using OnMessage = std::function<void(const PeerMessage&)>;
  using OnClosed = std::function<void(const absl::Status&)>;

  //! Frames that may wait to be written; further ones are dropped. More than
  //! PeerMesh queues (kMaxQueuedMessages) and sends at once when the peer's
  //! Hello is received.
  static constexpr size_t kMaxQueue = 20000;

  //! Takes a reference to `connection`. Precondition: `codec` outlives this
  //! object.
  PeerConnection(GSocketConnection* connection, const FrameCodec* codec);
  ~PeerConnection();

  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  //! Starts reading. `on_closed` is called at most once, when the connection
  //! ends or at the first invalid frame, and never after destruction.
  void Start(OnMessage on_message, OnClosed on_closed);

  //! Queues a message; false if the queue is full or the connection is closed.
  bool Send(const PeerMessage& message);

 private:
  struct SharedState;

  void StartRead();
  void StartWrite();
  void Close(const absl::Status& status);
  void DecodeFrames();

  GSocketConnection* connection_;
  GCancellable* cancellable_;
  const FrameCodec* codec_;
  OnMessage on_message_;
  OnClosed on_closed_;
  std::shared_ptr<SharedState> shared_;  //!< Kept alive by pending callbacks.
  ByteQueue received_;
  std::deque<std::string> write_queue_;
  bool closed_ = false;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_INTERNAL_PEER_CONNECTION_H_
