#ifndef TRANSPORT_PEER_EXCHANGE_H_
#define TRANSPORT_PEER_EXCHANGE_H_

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "transport/relay/endpoint_pool.h"
#include "transport/relay/relay_server.h"

namespace tamaracktrail {

class EventLog;
class EventLoop;
class HttpFetch;
class Metrics;

//! Lets instances pass on what they know to one that cannot reach the store.
//!
//! What is passed on is only what the store held; who receives it applies its
//! own checks of versions and order. Not thread-safe.
class PeerExchange {
 public:
  //! Keys and values as the store holds them.
  using Records = std::vector<std::pair<std::string, std::string>>;

  struct Hooks {
    std::function<Records()> config;
    std::function<Records()> endpoints;
    std::function<void(const Records&)> on_config;
    std::function<void(const Records&)> on_endpoints;
  };

  //! Takes over the listening descriptor `fd`.
  PeerExchange(EventLoop* loop,
               EventLog* log,
               Metrics* metrics,
               int fd,
               Hooks hooks);
  ~PeerExchange();

  PeerExchange(const PeerExchange&) = delete;
  PeerExchange& operator=(const PeerExchange&) = delete;

  //! Asks a peer ("ip:port") for its configuration or its directory, unless a
  //! question is open.
  void AskConfig(const std::string& peer);
  void AskEndpoints(const std::string& peer);

 private:
  void Ask(const std::string& peer,
           const char* path,
           std::unique_ptr<HttpFetch>* fetch,
           const std::function<void(const Records&)>& apply);

  EventLoop* loop_;
  EventLog* log_;
  Hooks hooks_;
  EndpointPool pool_;
  std::unique_ptr<RelayServer> server_;
  std::unique_ptr<HttpFetch> config_fetch_;
  std::unique_ptr<HttpFetch> endpoint_fetch_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_PEER_EXCHANGE_H_
