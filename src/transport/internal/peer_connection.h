#ifndef TRANSPORT_INTERNAL_PEER_CONNECTION_H_
#define TRANSPORT_INTERNAL_PEER_CONNECTION_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "protocol/peer_message.h"

typedef struct _GSocketConnection GSocketConnection;
typedef struct _GCancellable GCancellable;

namespace tamaracktrail {

class FrameCodec;

//! Frames over one TCP connection. Belongs to the task that made it.
class PeerConnection {
 public:
  using OnMessage = std::function<void(const PeerMessage&)>;
  using OnClosed = std::function<void(const absl::Status&)>;

  //! Frames that may wait to be written; more are dropped.
  static constexpr size_t kMaxQueue = 20000;

  //! Takes a reference of `connection`. Precondition: `codec` outlives this.
  PeerConnection(GSocketConnection* connection, const FrameCodec* codec);
  ~PeerConnection();

  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  //! Starts reading. `on_closed` is called once, at the end or at the first
  //! frame that is not right; not after destruction.
  void Start(OnMessage on_message, OnClosed on_closed);

  //! Queues a message; false where the queue is full.
  bool Send(const PeerMessage& message);

 private:
  struct Link;

  void ReadMore();
  void WriteMore();
  void Close(const absl::Status& status);
  void TakeFrames();

  GSocketConnection* connection_;
  GCancellable* cancellable_;
  const FrameCodec* codec_;
  OnMessage on_message_;
  OnClosed on_closed_;
  std::shared_ptr<Link> link_;  //!< Outlives this in pending callbacks.
  std::string received_;
  std::deque<std::string> outgoing_;
  bool closed_ = false;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_INTERNAL_PEER_CONNECTION_H_
