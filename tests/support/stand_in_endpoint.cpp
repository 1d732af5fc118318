#include "support/stand_in_endpoint.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "protocol/text.h"
#include "support/loopback.h"
#include "transport/event_loop.h"
#include "transport/relay/caller_connection.h"

namespace tamaracktrail {

//! One request at the endpoint.
class StandInEndpoint::Task : public RequestTask {
 public:
  Task(StandInEndpoint* endpoint,
       CallerConnection* connection,
       CallerRequest request)
      : endpoint_(endpoint),
        connection_(connection),
        request_(std::move(request)) {}

  ~Task() override {
    endpoint_->loop_->Cancel(&timer_);
    endpoint_->abandoned_ += runs_ ? 1 : 0;
  }

  void Start() override {
    const Habits& habits = endpoint_->habits_;
    const auto expected = request_.fields.Find("X-Expected-Instance");
    if (expected && *expected != endpoint_->id_) {
      Reply(421, "");
      return;
    }
    if (habits.refuse) {
      Reply(503, "X-Not-Executed");
      return;
    }
    endpoint_->ran_.push_back(request_);
    runs_ = true;
    if (habits.silent) {
      return;
    }
    if (habits.fail) {
      Reply(500, "X-Server-Signature");
      return;
    }
    if (request_.fields.Count("X-Token-Usage") == 0) {
      Reply(200, habits.unsigned_answer ? "X-Other" : "X-Server-Signature");
      return;
    }
    const auto last = request_.fields.Find("Last-Event-Id");
    if (last && !absl::SimpleAtoi(AsAbsl(*last), &next_)) {
      next_ = 0;
    }
    AnswerHead head = Head(200, "X-Server-Signature");
    head.fields.Add("Content-Type", "text/event-stream");
    connection_->BeginAnswer(head);
    NextEvent();
  }

  void OnCallerDrained() override {}

 private:
  AnswerHead Head(int status, const char* mark) const {
    AnswerHead head;
    head.status = status;
    head.reason = "Answer";
    head.fields.Add(
        "X-Request-Id",
        std::string(request_.fields.Find("X-Request-Id").value_or("")));
    if (*mark != '\0') {
      head.fields.Add(mark, absl::StrCat("by-", endpoint_->id_));
    }
    return head;
  }

  void Reply(int status, const char* mark) {
    runs_ = false;
    connection_->Answer(Head(status, mark), "body");
  }

  void NextEvent() {
    const Habits& habits = endpoint_->habits_;
    if (habits.break_after >= 0 && next_ >= habits.break_after) {
      runs_ = false;
      connection_->WriteBody("id: 99\nda");
      connection_->BreakOff();
      return;
    }
    if (next_ >= habits.events) {
      runs_ = false;
      connection_->EndAnswer();
      return;
    }
    ++next_;
    connection_->WriteBody(absl::StrCat("id: ", next_, "\ndata: x\n\n"));
    timer_ =
        endpoint_->loop_->After(habits.event_pause, [this] { NextEvent(); });
  }

  StandInEndpoint* endpoint_;
  CallerConnection* connection_;
  CallerRequest request_;
  int next_ = 0;
  bool runs_ = false;
  EventLoop::TimerId timer_{};
};

StandInEndpoint::StandInEndpoint(EventLoop* loop, std::string id)
    : loop_(loop), id_(std::move(id)) {
  const auto [fd, address] = ListenOnFreePort();
  address_ = address;
  server_ = std::make_unique<RelayServer>(
      loop, fd, 1000,
      [this](CallerConnection* connection, CallerRequest request) {
        return std::make_unique<Task>(this, connection, std::move(request));
      },
      &metrics_);
}

StandInEndpoint::~StandInEndpoint() = default;

std::string StandInEndpoint::Entry(const std::string& service,
                                   int64_t sequence,
                                   bool draining,
                                   const std::string& address) const {
  return nlohmann::json{{"service", service},
                        {"address", address.empty() ? address_ : address},
                        {"zone", "dc-1"},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", draining ? "draining" : "ready"},
                        {"cold_remaining_ms", 0},
                        {"born", 1},
                        {"sequence", sequence}}
      .dump();
}

int StandInEndpoint::Runs(const std::string& request_id) const {
  return static_cast<int>(
      std::count_if(ran_.begin(), ran_.end(), [&](const CallerRequest& it) {
        return it.fields.Find("X-Request-Id") == request_id;
      }));
}

}  // namespace tamaracktrail
