#ifndef TRANSPORT_ENTRY_TASK_H_
#define TRANSPORT_ENTRY_TASK_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "coordination/admission_queue.h"
#include "coordination/catalog.h"
#include "coordination/endpoint_choice.h"
#include "coordination/endpoint_table.h"
#include "coordination/entry_notice.h"
#include "coordination/retry_budget.h"
#include "transport/entry_call.h"
#include "transport/entry_limits.h"
#include "transport/task.h"

typedef struct _SoupServer SoupServer;
typedef struct _SoupServerMessage SoupServerMessage;

namespace tamaracktrail {

class CoordinationTask;
class EndpointProber;
class HttpClient;
class Metrics;

//! Serves callers: checks their requests, queues them, sends them to endpoints
//! and answers. Other tasks reach it by the methods marked thread-safe.
class EntryTask {
 public:
  struct Options {
    uint64_t incarnation = 0;
    std::string data_centre;
    std::string listen;       //!< "IP:port" for callers.
    std::string certificate;  //!< PEM file; empty for plain HTTP.
    std::string private_key;  //!< PEM file.
    EntryLimits limits;
    EndpointTable::Options endpoints;
    uint64_t seed = 0;  //!< Of the random choices.
  };

  //! Precondition: `metrics` outlives the task.
  EntryTask(Options options, Metrics* metrics);
  ~EntryTask();

  EntryTask(const EntryTask&) = delete;
  EntryTask& operator=(const EntryTask&) = delete;

  //! Binds the address and starts. Precondition: `coordination` outlives the
  //! task.
  absl::Status Start(CoordinationTask* coordination);

  //! Refuses new requests and lets open ones end. Thread-safe.
  void Drain();

  //! Requests that are open. Call from another thread.
  size_t OpenCalls();

  //! Ends the task. Open calls are cut: drain first.
  void Stop();

  //! Thread-safe.
  void Notify(std::vector<EntryNotice> notices);

 private:
  struct Caller {
    const OrganisationSpec* organisation = nullptr;
    std::string key;
  };

  static void OnRequest(SoupServer* server,
                        SoupServerMessage* message,
                        const char* path,
                        void* query,
                        void* data);
  void Route(SoupServerMessage* message, const std::string& path);
  void ServeStatus(SoupServerMessage* message);
  void ServeModels(SoupServerMessage* message);
  void ServeModelCall(SoupServerMessage* message, bool chat);
  void ServePlainCall(SoupServerMessage* message, const std::string& path);
  std::optional<Caller> Identify(SoupServerMessage* message,
                                 const std::string& body);
  void Refuse(SoupServerMessage* message,
              ResultCode code,
              const std::string& detail);
  void Admit(SoupServerMessage* message,
             const Caller& caller,
             const ServiceSpec& service,
             std::unique_ptr<EntryCall> call,
             FlowSpec spec);
  void Pump(Millis now);
  bool HasRoom(Millis now, const std::string& service) const;
  EntryCall* Find(uint64_t attempt);
  void Perform(EntryCall& call, const RequestFlow::Actions& actions);
  void Act(EntryCall& call, const CheckContent& action);
  void Act(EntryCall& call, const ReserveRequest& action);
  void Act(EntryCall& call, const ReservationEnd& action);
  void Act(EntryCall& call, const DispatchCall& action);
  void Act(EntryCall& call, const CancelCall& action);
  void Act(EntryCall& call, const ConfirmCrash& action);
  void Act(EntryCall& call, const RecordCrash& action);
  void Act(EntryCall& call, const ForwardChunk& action);
  void Act(EntryCall& call, const SettleCharge& action);
  void Act(EntryCall& call, const WithdrawCharge& action);
  void Act(EntryCall& call, const NoteRecord& action);
  void Act(EntryCall& call, const FinishRequest& action);
  void SendAnswer(EntryCall& call);
  void Forward(EntryCall& call, const std::string& data);
  void OnUpstream(uint64_t attempt, const UpstreamEvent& event);
  void Release(Millis now, EntryCall& call, EndpointTable::Finish finish);
  void OnCallerFinished(uint64_t attempt, bool written);
  void Handle(const ReserveReply& notice);
  void Handle(const SettledNotice& notice);
  void Handle(const ContentVerdict& notice);
  void Handle(const CatalogNotice& notice);
  void Handle(const NewsNotice& notice);
  void Handle(const ProbeDuty& notice);
  void Handle(const OrderNotice& notice);
  void Tick();
  void TickCalls(Millis now);
  void Report(Millis now);
  void Reap();
  uint64_t NewAttempt();
  absl::Status Listen();

  Options options_;
  Metrics* metrics_;
  CoordinationTask* coordination_ = nullptr;
  Task task_;
  SoupServer* server_ = nullptr;
  std::unique_ptr<HttpClient> http_;
  std::unique_ptr<EndpointProber> prober_;
  std::shared_ptr<const Catalog> catalog_;
  EndpointTable endpoints_;
  AdmissionQueue queue_;
  RetryBudget retries_;
  AffinityChoice choice_;
  Random random_;
  std::map<uint64_t, std::unique_ptr<EntryCall>> calls_;
  std::vector<std::unique_ptr<EntryCall>> finished_;
  std::vector<std::string> probe_duty_;
  Millis last_tick_;
  Millis reported_at_;
  bool draining_ = false;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_ENTRY_TASK_H_
