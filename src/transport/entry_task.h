#ifndef TRANSPORT_ENTRY_TASK_H_
#define TRANSPORT_ENTRY_TASK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "coordination/catalog.h"
#include "coordination/endpoint_table.h"
#include "coordination/entry_notice.h"
#include "coordination/placer.h"
#include "transport/entry_calls.h"
#include "transport/entry_server.h"
#include "transport/task.h"

namespace tamaracktrail {

class CoordinationTask;
class EndpointProber;
class HttpClient;
class Metrics;

//! Serves callers: owns their HTTP server, the open requests and the table of
//! endpoints. Other tasks use the methods marked thread-safe.
class EntryTask {
 public:
  struct Options {
    uint64_t incarnation = 0;
    std::string data_centre;
    EntryServer::Options server;
    EndpointTable::Options endpoints;
    uint64_t seed = 0;  //!< Seed of the random choices.
  };

  //! Precondition: `metrics` outlives the task.
  EntryTask(Options options, Metrics* metrics);
  ~EntryTask();

  EntryTask(const EntryTask&) = delete;
  EntryTask& operator=(const EntryTask&) = delete;

  //! Binds the address and starts. Precondition: `coordination` outlives the
  //! task.
  absl::Status Start(CoordinationTask* coordination);

  //! Refuses new requests; open ones continue. Thread-safe.
  void Drain();

  //! Number of open requests. Call from another thread.
  size_t OpenCalls();

  //! Ends the task and drops open requests, so call Drain and wait until
  //! OpenCalls() is 0 first. Call from another thread.
  void Stop();

  //! Delivers notices of the CoordinationTask. Thread-safe.
  void Notify(std::vector<EntryNotice> notices);

 private:
  void ServeStatus(SoupServerMessage* message);
  void Handle(const ReserveReply& notice) { calls_.Handle(notice); }
  void Handle(const SettledNotice& notice) { calls_.Handle(notice); }
  void Handle(const ContentVerdict& notice) { calls_.Handle(notice); }
  void Handle(const CatalogNotice& notice);
  void Handle(const ProbeReportNotice& notice);
  void Handle(const ProbeAssignment& notice);
  void Handle(const OrderNotice& notice);
  void Tick();
  //! Reports the endpoints' states and the demand to the coordination task and
  //! sets the gauges.
  void Report(Millis now);
  std::vector<Placer::EndpointState> EndpointStates(Millis now) const;
  //! Desired number of copies by placement name.
  std::map<std::string, int> Demand(
      Millis now,
      const std::vector<Placer::EndpointState>& states) const;

  Options options_;
  Metrics* metrics_;
  CoordinationTask* coordination_ = nullptr;
  Task task_;
  Random random_;
  EndpointTable endpoints_;
  EntryCalls calls_;
  std::unique_ptr<EntryServer> server_;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<EndpointProber> prober_;
  std::shared_ptr<const Catalog> catalog_;
  //! Names of the endpoints that this instance has to probe.
  std::vector<std::string> assigned_endpoints_;
  Millis last_tick_;
  Millis last_report_at_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_ENTRY_TASK_H_
