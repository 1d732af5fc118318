#ifndef TRANSPORT_PEER_GOSSIP_H_
#define TRANSPORT_PEER_GOSSIP_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/statusor.h"
#include "coordination/endpoint_load.h"
#include "coordination/lendable_hint.h"
#include "coordination/lending_message.h"
#include "coordination/link_load.h"
#include "coordination/reported_limit.h"
#include "coordination/suspect_crash.h"
#include "coordination/topic_position.h"
#include "state/millis.h"
#include "transport/event_loop.h"
#include "transport/io_handler.h"

namespace tamaracktrail {

//! Exchanges datagrams with the other instances over UDP: small reports, and
//! messages that lend tokens.
//!
//! Any of them may be lost, late or repeated. Reports are hints, and
//! correctness does not depend on them. Not thread-safe.
class PeerGossip : private IoHandler {
 public:
  struct Report {
    uint64_t incarnation = 0;
    std::string instance;
    int64_t config_version = 0;
    //! Position and digest of the sender's set of evacuated data centres.
    TopicPosition evacuations_as_of;
    uint64_t evacuations_digest = 0;
    //! Time since the sender's endpoint directory was last known to be
    //! complete.
    int64_t directory_age_ms = 0;
    int32_t instances = 0;  //!< That the sender knows of; 0 without a list.
    //! Time since the sender's list of instances was current.
    int64_t instances_age_ms = 0;
    std::string address;  //!< The sender's address for PeerExchange.
    //! The sender's own load on each endpoint, by the hash of the endpoint's
    //! incarnation.
    std::vector<std::pair<uint64_t, EndpointLoad>> loads;
    std::vector<SuspectCrash> crashes;
    //! Limits that endpoints named to the sender; see EndpointLimits.
    std::vector<ReportedLimit> limits;
    //! Endpoints that announced to the sender that they leave, by the hash of
    //! the incarnation; see LeavingEndpoints.
    std::vector<uint64_t> leaving;
    std::vector<LendableHint> lendable;
    LinkLoad link;

    //! Whether the reports agree in configuration version, evacuations,
    //! instances, loads, crashes, limits but for their age, leaving endpoints
    //! and diversion of callers; the other fields are not compared.
    bool HasSameContent(const Report& other) const {
      return config_version == other.config_version &&
             evacuations_as_of == other.evacuations_as_of &&
             evacuations_digest == other.evacuations_digest &&
             link.diverts() == other.link.diverts() &&
             instances == other.instances && loads == other.loads &&
             crashes == other.crashes && leaving == other.leaving &&
             std::equal(limits.begin(), limits.end(), other.limits.begin(),
                        other.limits.end(),
                        [](const ReportedLimit& a, const ReportedLimit& b) {
                          return a.endpoint == b.endpoint &&
                                 a.per_second == b.per_second;
                        });
    }

    friend bool operator==(const Report&, const Report&) = default;

    template <class Archive>
    void serialize(Archive& archive) {
      archive(incarnation, instance, config_version, evacuations_as_of,
              evacuations_digest, directory_age_ms, instances, instances_age_ms,
              address, loads, crashes, limits, leaving, lendable, link);
    }
  };
  using OnReport = std::function<void(const Report& report)>;
  using OnLending = std::function<void(const LendingMessage& message)>;

  //! Takes ownership of the bound, non-blocking UDP descriptor `fd`.
  PeerGossip(EventLoop* loop, int fd, OnReport on_report, OnLending on_lending);
  ~PeerGossip() override;

  PeerGossip(const PeerGossip&) = delete;
  PeerGossip& operator=(const PeerGossip&) = delete;

  //! Sets the addresses ("ip:port") that reports are sent to.
  void SetPeers(const std::vector<std::string>& addresses);
  size_t peers() const { return peers_.size(); }

  //! Sends a report to all peers; datagrams that the kernel does not accept are
  //! lost. Returns false for a report above the size limit, which is not sent.
  bool Send(const Report& report);

  //! Sends a message to one peer ("ip:port").
  void SendTo(const std::string& address, const LendingMessage& message);

 private:
  void SendBytes(const std::string& address, const std::string& bytes);
  void OnReady(uint32_t events) override;

  EventLoop* loop_;
  int fd_;
  OnReport on_report_;
  OnLending on_lending_;
  std::vector<std::string> peers_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_PEER_GOSSIP_H_
