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

//! Sockets between instances: heartbeats over UDP, all else over TCP on the
//! same port.
//!
//! Each instance dials its peers for what it sends. A process holds its
//! listener from start to exit, so a refused connection means that the process
//! at that address has exited. Belongs to the task that made it.
class PeerMesh {
 public:
  struct Handler {
    //! A message of an authenticated peer.
    std::function<void(uint64_t from, const PeerMessage&)> on_message;
    //! The address refused a connection while this incarnation was expected.
    std::function<void(uint64_t incarnation, const std::string& why)> on_exit;
  };

  //! Counts of what went wrong, for metrics.
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

  //! Sends over the connection to the peer, which is dialled first if need be.
  //! The message may be lost; whoever sends repeats what matters.
  void Send(const InstanceId& to, const PeerMessage& message);

  //! Dials the peer unless that is done or tried lately, to learn whether its
  //! process still holds its address.
  void Check(Millis now, const InstanceId& peer);

  //! Frees closed connections. Call it now and then, not from a callback of
  //! this class.
  void Reap();

  //! Drops all connections of an exited incarnation and what they hold unread.
  void Drop(uint64_t incarnation);

  const Counters& counters() const { return counters_; }

 private:
  struct Incoming {
    uint64_t from = 0;
    std::unique_ptr<PeerConnection> connection;
  };

  struct Outgoing {
    InstanceId peer;
    std::unique_ptr<PeerConnection> connection;
    bool dialling = false;
    bool greeted = false;  //!< The peer's Hello has come.
    Millis dialled_at;
    std::vector<PeerMessage> waiting;
  };

  void AcceptNext();
  void OnAccepted(PeerConnection* connection, const PeerMessage& message);
  void Dial(const InstanceId& peer);
  void OnDialled(const InstanceId& peer, void* connection, bool refused);
  void OnGreeting(const InstanceId& peer, const PeerMessage& message);
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
  std::shared_ptr<PeerMesh*> alive_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_PEER_MESH_H_
