#ifndef TRANSPORT_PEER_EXCHANGE_H_
#define TRANSPORT_PEER_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "transport/relay/connection_pool.h"
#include "transport/relay/relay_server.h"

namespace tamaracktrail {

class ConnectionMemory;
class EventLog;
class EventLoop;
class HttpFetch;
class Metrics;

//! Serves copies of the configuration, the evacuations and the endpoint
//! directory to instances that cannot reach the store, and fetches such copies
//! from peers.
//!
//! Only records that the store held are served; the recipient checks versions
//! and order itself. Not thread-safe.
class PeerExchange {
 public:
  //! Keys and values as they are in the store.
  using Records = std::vector<std::pair<std::string, std::string>>;

  //! `config`, `evacuations` and `endpoints` return the records to serve, none
  //! if there is no copy; the others receive the records that a peer returned.
  struct Hooks {
    std::function<Records()> config;
    std::function<Records()> endpoints;
    std::function<void(const Records&)> on_config;
    std::function<void(const Records&)> on_endpoints;
    std::function<Records()> evacuations;
    std::function<void(const Records&)> on_evacuations;
  };

  //! Takes ownership of the listening descriptor `fd`. Precondition: loop, log
  //! and metrics outlive the exchange. `memory`: see RelayServer.
  PeerExchange(EventLoop* loop,
               EventLog* log,
               Metrics* metrics,
               int fd,
               Hooks hooks,
               ConnectionMemory* memory = nullptr);
  ~PeerExchange();

  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  //! Fetches the configuration, the evacuations or the endpoint directory of a
  //! peer ("ip:port"), unless a fetch of the same kind is in progress.
  void FetchConfig(const std::string& peer);
  void FetchEvacuations(const std::string& peer);
  void FetchEndpoints(const std::string& peer);

 private:
  //! Records to serve at a path; none for an unknown path.
  Records RecordsAt(const std::string& path) const;
  void Fetch(const std::string& peer,
             const char* path,
             std::unique_ptr<HttpFetch>* fetch,
             const std::function<void(const Records&)>& apply);

  EventLoop* loop_;
  EventLog* log_;
  Metrics* metrics_;
  Hooks hooks_;
  ConnectionPool pool_;
  std::unique_ptr<RelayServer> server_;
  std::unique_ptr<HttpFetch> config_fetch_;
  std::unique_ptr<HttpFetch> evacuation_fetch_;
  std::unique_ptr<HttpFetch> endpoint_fetch_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_PEER_EXCHANGE_H_
