#ifndef TRANSPORT_ENTRY_CALLS_H_
#define TRANSPORT_ENTRY_CALLS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/admission_queue.h"
#include "coordination/endpoint_choice.h"
#include "coordination/endpoint_table.h"
#include "coordination/entry_notice.h"
#include "coordination/retry_budget.h"
#include "transport/entry_limits.h"
#include "transport/internal/entry_call.h"

namespace tamaracktrail {

class CoordinationTask;
class EndpointProber;
class HttpClient;
class Metrics;
struct Admission;

//! The open requests of an entry: their queue, their flows, their calls at
//! endpoints and the answers to their callers. Belongs to the entry's task.
class EntryCalls {
 public:
  //! Precondition: the pointers outlive this object.
  EntryCalls(const EntryLimits& limits,
             uint64_t incarnation,
             EndpointTable* endpoints,
             Random* random,
             Metrics* metrics);
  ~EntryCalls();

  EntryCalls(const EntryCalls&) = delete;
  EntryCalls& operator=(const EntryCalls&) = delete;

  //! Sets the objects that the calls use. Call once, before the first request.
  void SetDependencies(CoordinationTask* coordination,
                       HttpClient* http,
                       EndpointProber* prober);

  //! Queues a request, or refuses it if the entry or its queue is full.
  void Admit(Admission admission);

  void Handle(const ReserveReply& notice);
  void Handle(const SettledNotice& notice);
  void Handle(const ContentVerdict& notice);

  //! Checks timeouts and starts queued requests whose service has free slots.
  //! Call it several times a second.
  void OnTick(Millis now);

  //! Drops all open requests without answering them.
  void Clear();

  size_t size() const { return calls_.size(); }
  size_t queue_length() const { return queue_.size(); }

 private:
  void StartQueued(Millis now);
  bool HasFreeSlot(Millis now, const std::string& service) const;
  EntryCall* Find(uint64_t attempt);
  uint64_t NewAttempt();
  CallerStream::Handler HandlerFor(uint64_t attempt);
  UpstreamCall::Request UpstreamRequest(const EntryCall& call,
                                        const DispatchCall& action,
                                        const EndpointSpec& endpoint) const;
  std::vector<EndpointCandidate> CandidatesFor(Millis now,
                                               const EntryCall& call,
                                               const DispatchCall& action);
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
  void Act(EntryCall& call, const AppendRecord& action);
  void Act(EntryCall& call, const FinishRequest& action);
  void SendAnswer(EntryCall& call);
  void Forward(EntryCall& call, const std::string& data);
  void OnUpstream(uint64_t attempt, const UpstreamEvent& event);
  //! The call's endpoint refused it and wants no call for `wait`; 0 for none.
  void AskToWait(Millis now, const EntryCall& call, Millis wait);
  void ReleaseEndpoint(Millis now,
                       EntryCall& call,
                       EndpointTable::Finish finish);
  //! The exchange with the caller is over; `written` is whether the complete
  //! answer was handed to the network.
  void OnExchangeFinished(uint64_t attempt, bool written);
  void CheckTimeouts(Millis now);

  EntryLimits limits_;
  uint64_t incarnation_;
  EndpointTable* endpoints_;
  Random* random_;
  Metrics* metrics_;
  CoordinationTask* coordination_ = nullptr;
  HttpClient* http_ = nullptr;
  EndpointProber* prober_ = nullptr;
  AdmissionQueue queue_;
  Millis started_at_;
  RetryBudget retry_budget_;
  AffinityChoice endpoint_choice_;
  std::map<uint64_t, std::unique_ptr<EntryCall>> calls_;  //!< By attempt.
  //! Freed by the next OnTick, because a call may end in a callback of its own
  //! members.
  std::vector<std::unique_ptr<EntryCall>> finished_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_ENTRY_CALLS_H_
