#ifndef TRANSPORT_RELAY_RELAY_TASK_H_
#define TRANSPORT_RELAY_RELAY_TASK_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/attempt_outcome.h"
#include "coordination/endpoint_board.h"
#include "coordination/endpoint_ticket.h"
#include "coordination/placement.h"
#include "coordination/prompt_shape.h"
#include "coordination/request_progress.h"
#include "protocol/event_cutter.h"
#include "state/millis.h"
#include "transport/event_loop.h"
#include "transport/relay/answer_head.h"
#include "transport/relay/caller_request.h"
#include "transport/relay/endpoint_call.h"
#include "transport/relay/request_task.h"

namespace tamaracktrail {

class CallerConnection;
class RoutingConfig;
struct Organisation;
struct RelayContext;
struct Route;
struct RoutedService;

//! Carries one request through admission, budget, placement and its attempts,
//! and relays the answer. What to do next is decided in `coordination`; this
//! class does the input and output. Not thread-safe.
class RelayTask : public RequestTask, public EndpointCall::Observer {
 public:
  //! Precondition: context and connection outlive the task.
  RelayTask(RelayContext* context,
            CallerConnection* connection,
            CallerRequest request);
  ~RelayTask() override;

  void Start() override;
  void OnCallerDrained() override;

  //! The share of its organisation may have grown.
  void OnSharesChanged();

  //! Order among requests that wait: urgency, then arrival.
  std::pair<int, int64_t> wait_order() const {
    return {rank_, request_.began.count()};
  }

 private:
  // Admission.
  bool Admit();
  //! Whether the answer can be whole before this process ends.
  bool FitsBeforeEnd() const;
  bool FindOrganisation();
  bool AdmitSize();
  void ReserveOrWait();
  void RefuseForShare();

  // Attempts.
  void Attempt();
  void Send(const Placement::Choice& choice, const EndpointState& state);
  std::string RequestHead(const Placement::Choice& choice) const;
  void ArmSilenceTimer(Millis predicted);
  void OnSilence();
  void FinishAttempt(AttemptOutcome outcome, const std::string& reason);
  void Step(NextStep step, AttemptOutcome outcome);
  RequestProgress Progress() const;
  void ReportOutcome(AttemptOutcome outcome);

  // Answers of the endpoint.
  bool OnAnswerHead(const HttpReader& answer) override;
  void OnAnswerBody(std::string* body) override;
  void OnAnswerDone() override;
  void OnCallFailed(const absl::Status& status, bool sent) override;
  AttemptOutcome Classify(const HttpReader& answer) const;
  bool StreamsNow() const;
  void ForwardEvents(const std::string& bytes);
  void DeliverBuffered();
  void EndStream();

  // Own answers.
  void Refuse(const char* reason, Millis retry_after);
  void Fail(int status, const char* text, const char* reason);
  void BreakOff(const char* reason);
  void OnTimeUp();
  Millis RetryAfter(Millis wanted) const;
  Millis Remaining() const;

  void Settle();
  void LogEnd(int status, const char* outcome, const std::string& reason);

  RelayContext* context_;
  CallerConnection* connection_;
  CallerRequest request_;
  std::shared_ptr<const RoutingConfig> config_;
  const Route* route_ = nullptr;
  const RoutedService* service_ = nullptr;
  const Organisation* organisation_ = nullptr;
  std::string request_id_;
  std::optional<PromptShape> prompt_;
  std::vector<uint64_t> chain_;
  uint64_t content_ = 0;  //!< Hash that recognizes the request when it returns.
  Millis ends_;           //!< When the caller or the route gives up.
  int rank_ = 0;
  bool finished_ = false;

  int64_t reserved_ = 0;
  bool waits_for_share_ = false;
  int share_looks_ = 0;  //!< Looks at the log while the request waited.

  std::unique_ptr<EndpointCall> call_;
  std::optional<EndpointTicket> ticket_;
  std::set<uint64_t> tried_;
  int sends_ = 0;
  int dials_ = 0;
  bool may_have_run_ = false;

  AttemptOutcome answer_kind_ = AttemptOutcome::kAnswered;
  AnswerHead answer_;
  std::string buffered_;
  bool head_sent_ = false;
  bool delivered_ = false;  //!< A good answer went out in one piece.
  bool raw_ = false;        //!< The answer is not cut into events.
  EventCutter cutter_;
  Millis first_event_at_;
  Millis last_event_at_;
  Millis longest_pause_;  //!< Between two events.

  EventLoop::TimerId end_timer_{};
  EventLoop::TimerId share_timer_{};
  EventLoop::TimerId silence_timer_{};
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_RELAY_TASK_H_
