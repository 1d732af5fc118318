#ifndef TRANSPORT_RELAY_RELAY_TASK_H_
#define TRANSPORT_RELAY_RELAY_TASK_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/allowed_regions.h"
#include "coordination/attempt_outcome.h"
#include "coordination/endpoint_registry.h"
#include "coordination/endpoint_ticket.h"
#include "coordination/placement.h"
#include "coordination/prompt_shape.h"
#include "coordination/request_progress.h"
#include "protocol/body_framing.h"
#include "protocol/sse_splitter.h"
#include "state/millis.h"
#include "transport/event_loop.h"
#include "transport/relay/answer_head.h"
#include "transport/relay/caller_request.h"
#include "transport/relay/endpoint_call.h"
#include "transport/relay/request_task.h"
#include "transport/relay/share_event.h"

namespace tamaracktrail {

class CallerConnection;
class RetryBudget;
class RoutingConfig;
struct Organisation;
struct RelayContext;
struct Route;
struct RoutedService;

//! Takes one request through admission, budget, placement and its attempts, and
//! relays the answer. attempt_rules.h decides on the next step; this class does
//! the input and output. Not thread-safe.
class RelayTask : public RequestTask, public EndpointCall::Observer {
 public:
  //! Precondition: context and connection outlive the task.
  RelayTask(RelayContext* context,
            CallerConnection* connection,
            CallerRequest request);
  ~RelayTask() override;

  void Start() override;
  void OnCallerDrained() override;

  //! The organisation's share may have grown, or no peer is asked any more.
  void OnSharesChanged(ShareEvent event);

  //! Sort key among waiting requests: priority, then arrival.
  std::pair<int, int64_t> wait_order() const {
    return {rank_, request_.first_byte_at.count()};
  }

 private:
  // Admission.
  bool Admit();
  //! Whether the answer can be complete before the process exits.
  bool CanFinishBeforeExit() const;
  //! Finds the organisation by its bearer key and sets the rank. Returns false
  //! if a key is required and none is valid.
  bool FindOrganisation();
  //! Selects the service by the weights of the route, reads the prompt's shape,
  //! and refuses content that has crashed endpoints.
  bool AdmitToService();
  //! Whether an endpoint that runs the request is expected to crash. Logs the
  //! evidence.
  bool CrashesEndpoints() const;
  //! Refuses the request if no endpoint may receive it.
  bool RefuseWithoutEndpoint();
  void ReserveOrWait();
  //! Whether the share may grow soon enough. Asks peers for tokens if the log
  //! can't provide them.
  bool CanWaitForShare();
  void StartShareWait();
  void EndShareWait();
  void RefuseForShare();

  //! Counts bytes of the request or its answer for the organisation.
  void CountRelayed(size_t bytes) const;

  // Attempts.
  void Attempt();
  //! Refuses the request if the limits of the endpoints leave no room for it.
  bool RefuseForLimits();
  //! Retry-After for a caller whose request no endpoint takes.
  Millis DelayAfterRefusal(AttemptOutcome outcome) const;
  void Send(const Placement::Choice& choice, const EndpointState& state);
  //! Returns the head of the request to the endpoint. Ranks above 9 are sent as
  //! 9, the lowest priority; see CallDialect::priority.
  std::string RequestHead(const Placement::Choice& choice) const;
  void StartFirstByteTimer(Millis predicted);
  void OnFirstByteTimeout();
  void FinishAttempt(AttemptOutcome outcome, const std::string& reason);
  void TakeStep(NextStep step, AttemptOutcome outcome);
  //! The retry budget of the request's service.
  RetryBudget& Retries() const;
  //! Logs that a retry was taken from the budget, or that the budget lacks it.
  void LogRetry(bool taken);
  RequestProgress Progress() const;
  void ReportOutcome(AttemptOutcome outcome);

  // Answers of the endpoint.
  bool OnAnswerHead(const HttpReader& answer) override;
  void OnAnswerBody(std::string* body) override;
  void OnAnswerDone() override;
  void OnCallFailed(const absl::Status& status, bool sent) override;
  //! Whether the answer belongs to another request. Logs one that does.
  bool IsForeign(const HttpReader& answer) const;
  AttemptOutcome Classify(const HttpReader& answer) const;
  //! Takes note of what the endpoint says of itself in the head of an answer.
  void ReadLimit(const HttpReader& answer);
  void ReadLeaving(const HttpReader& answer);
  //! Takes note if the endpoint refuses and asks for nothing for a time.
  void ReadWait(const HttpReader& answer);
  //! Whether the answer is surely the endpoint's.
  bool IsOwn(const HttpReader& answer) const;
  bool IsStreamAnswer() const;
  //! The present attempt's answer has its proper end.
  void FinishAnswer();
  //! A connection to the endpoint ended: finds out whether it has crashed.
  void CheckForCrash();
  //! Decides whether an answer that ended with the connection is complete.
  void CheckConnectionEnd();
  //! Why a stream counts as broken off, or nullptr if it doesn't. Precondition:
  //! the endpoint's answer has ended.
  const char* SignOfBreak() const;
  //! Whether the body of the present answer may be sent to the caller.
  bool IsForCaller() const;
  void ForwardEvents(const std::string& bytes);
  //! The endpoint has answered: neither the content nor a part of the prompt
  //! crashes it.
  void ClearOfCrashes();
  void DeliverBuffered();
  void EndStream();

  // Answers of this instance.
  void RefuseWithRetryAfter(const char* reason, Millis retry_after);
  void Fail(int status, const char* text, const char* reason);
  void AbortAnswer(const char* reason);
  void OnDeadline();
  Millis RetryAfter(Millis base_delay) const;
  Millis Remaining() const;

  void SettleReservation();
  //! Logs how the endpoint's answer ended, which tells a complete answer from
  //! one that was broken off.
  void LogAnswerEnd();
  void LogEnd(int status, const char* outcome, const std::string& reason);

  RelayContext* context_;
  CallerConnection* connection_;
  CallerRequest request_;
  std::shared_ptr<const RoutingConfig> config_;
  const Route* route_ = nullptr;
  const RoutedService* service_ = nullptr;
  const Organisation* organisation_ = nullptr;
  AllowedRegions allowed_regions_;  //!< Of the route and the organisation.
  std::string request_id_;
  std::optional<PromptShape> prompt_;
  std::vector<uint64_t> prefix_hashes_;
  std::vector<uint64_t> shared_parts_;  //!< Hashes of the shared parts' ids.
  uint64_t content_hash_ = 0;           //!< Recognizes repeats of the request.
  Millis deadline_;                     //!< Of the caller or the route.
  int rank_ = 0;                        //!< The lowest is the most urgent.
  bool finished_ = false;

  int64_t reserved_ = 0;
  bool waiting_for_share_ = false;
  int share_polls_ = 0;  //!< Polls of the budget records during the wait.

  std::unique_ptr<EndpointCall> call_;
  std::optional<EndpointTicket> ticket_;
  std::set<uint64_t> tried_endpoints_;
  int sends_ = 0;  //!< Attempts whose bytes may have reached an endpoint.
  int connection_attempts_ = 0;  //!< All, also on reused connections.
  bool may_have_run_ = false;

  AttemptOutcome answer_outcome_ = AttemptOutcome::kAnswered;
  AnswerHead answer_head_;
  std::string buffered_;
  bool head_sent_ = false;
  //! A 2xx answer was sent from the buffer.
  bool sent_buffered_success_ = false;
  bool cleared_of_crashes_ = false;  //!< By the present attempt.
  int64_t events_before_attempt_ = 0;
  bool resuming_ = false;       //!< The present attempt continues a stream.
  size_t discarded_bytes_ = 0;  //!< Of bodies that are not for the caller.
  //! Of the present attempt's answer; unset before its head.
  std::optional<BodyFraming> answer_framing_;
  //! Its bytes broke the rules of HTTP, so the endpoint has not crashed.
  bool malformed_answer_ = false;
  bool not_event_stream_ = false;  //!< By the Content-Type of the answer.
  SseSplitter splitter_;
  Millis connection_ended_at_;  //!< See CheckConnectionEnd; 0 if not waiting.
  Millis first_event_at_;
  Millis last_event_at_;
  Millis longest_event_gap_;  //!< Between two events of the stream.

  EventLoop::TimerId deadline_timer_{};
  EventLoop::TimerId share_wait_timer_{};
  EventLoop::TimerId first_byte_timer_{};
  EventLoop::TimerId connection_end_timer_{};
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_RELAY_TASK_H_
