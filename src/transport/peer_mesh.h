#ifndef TRANSPORT_PEER_MESH_H_
#define TRANSPORT_PEER_MESH_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "protocol/peer_message.h"
#include "state/instance_id.h"
#include "state/millis.h"

typedef struct _GSocket GSocket;
typedef struct _GSocketClient GSocketClient;
typedef struct _GSocketListener GSocketListener;
typedef struct _GCancellable GCancellable;
typedef struct _GSource GSource;

namespace tamaracktrail {

class FrameCodec;
class PeerConnection;

//! Sockets between instances: heartbeats over UDP, all other messages over TCP
//! on the same port.
//!
//! Each instance opens the connections on which it sends to its peers. A
//! process holds its listener from start to exit, so a refused connection means
//! that the process at that address has exited. Belongs to the task that
//! created it.
class PeerMesh {
 public:
  struct Handler {
    //! Called with each message of an authenticated peer.
    std::function<void(uint64_t from, const PeerMessage&)> on_message;
    //! Evidence of an exit: called each time the address of this incarnation
    //! refuses a connection or answers as another incarnation; `why` says
    //! which.
    std::function<void(uint64_t incarnation, const std::string& why)> on_exit;
  };

  //! Counts of failures and bytes, for metrics.
  struct Counters {
    uint64_t bad_frames = 0;
    uint64_t dropped_messages = 0;
    uint64_t sent_bytes = 0;
    uint64_t received_bytes = 0;
  };

  //! Precondition: `codec` outlives the mesh.
  PeerMesh(InstanceId self,
           std::string data_centre,
           const FrameCodec* codec,
           Handler handler);
  ~PeerMesh();

  PeerMesh(const PeerMesh&) = delete;
  PeerMesh& operator=(const PeerMesh&) = delete;

  //! Binds the address for TCP and UDP.
  absl::Status Listen();

  void SendDatagram(const std::string& address, const PeerMessage& message);

  //! Sends over the connection to the peer, which is opened first if there is
  //! none. The message may be lost; senders must repeat what has to arrive.
  void Send(const InstanceId& to, const PeerMessage& message);

  //! Connects to the peer, to learn whether its process still holds its
  //! address. Does nothing if a connection exists or was attempted within the
  //! reconnect interval.
  void CheckReachable(Millis now, const InstanceId& peer);

  //! Frees closed connections, which are kept because they may close in one of
  //! their own callbacks. Call it periodically, but not from a callback of this
  //! class.
  void FreeClosed();

  //! Drops all connections of an exited incarnation, with the bytes received on
  //! them that are not yet processed.
  void Drop(uint64_t incarnation);

  const Counters& counters() const { return counters_; }

 private:
  struct Incoming {
    uint64_t from = 0;  //!< Incarnation; 0 until its Hello is received.
    std::unique_ptr<PeerConnection> connection;
  };

  struct Outgoing {
    InstanceId peer;
    std::unique_ptr<PeerConnection> connection;
    bool connecting = false;
    bool hello_received = false;  //!< The peer's Hello was received.
    Millis last_attempt_at;
    std::vector<PeerMessage> queued;  //!< Sent after the peer's Hello.
  };

  void AcceptNext();
  void OnIncomingMessage(PeerConnection* connection,
                         const PeerMessage& message);
  void Connect(const InstanceId& peer);
  //! `connection` is a GSocketConnection; null if the attempt failed.
  void OnConnectFinished(const InstanceId& peer,
                         void* connection,
                         bool refused);
  void OnHello(const InstanceId& peer, const PeerMessage& message);
  void ReadDatagrams();
  void CountBadFrame(const absl::Status& status, const char* where);

  InstanceId self_;
  std::string data_centre_;
  const FrameCodec* codec_;
  Handler handler_;
  Counters counters_;
  GSocket* udp_ = nullptr;
  GSource* udp_source_ = nullptr;
  GSocketListener* listener_ = nullptr;
  GSocketClient* client_;
  GCancellable* cancellable_;
  std::list<Incoming> incoming_;
  std::map<uint64_t, Outgoing> outgoing_;  //!< By incarnation.
  std::vector<std::unique_ptr<PeerConnection>> closed_;
  //! For pending callbacks; points to null once this object is destroyed.
  std::shared_ptr<PeerMesh*> self_handle_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_PEER_MESH_H_
