#include "support/stand_in_endpoint.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "protocol/text.h"
#include "support/loopback.h"
#include "transport/event_loop.h"
#include "transport/relay/caller_connection.h"

namespace tamaracktrail {

namespace {

//! From the start of a request that crashes the endpoint to the crash, so that
//! what it has sent arrives.
constexpr Millis kCrashDelay{5};

}  // namespace

//! One request that the endpoint handles.
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
    endpoint_->abandoned_ += running_ ? 1 : 0;
  }

  void Start() override {
    const Behaviour& behaviour = endpoint_->behaviour_;
    endpoint_->arrivals_.push_back(
        {endpoint_->loop_->Now(),
         std::string(request_.fields.Find("X-Request-Id").value_or(""))});
    const auto expected = request_.fields.Find("X-Expected-Instance");
    if (expected && *expected != endpoint_->id_) {
      Reply(421, "");  // Misdirected: meant for another endpoint.
      return;
    }
    if (behaviour.refuse) {
      endpoint_->arrivals_.back().asked_to_wait =
          !behaviour.retry_after.empty();
      Reply(503, "X-Not-Executed");
      return;
    }
    endpoint_->started_requests_.push_back(request_);
    running_ = true;
    const auto parts = request_.fields.Find("X-Prompt-Prefix");
    if (!behaviour.crash_on_part.empty() && parts &&
        absl::StrContains(AsAbsl(*parts), behaviour.crash_on_part)) {
      Crash();
      return;
    }
    if (behaviour.unresponsive) {
      return;
    }
    if (behaviour.fail) {
      Reply(500, "X-Server-Signature");
      return;
    }
    // Requests without this header get a plain answer, others a stream.
    if (request_.fields.Count("X-Token-Usage") == 0) {
      timer_ = endpoint_->loop_->After(behaviour.answer_delay, [this] {
        Reply(200, endpoint_->behaviour_.unsigned_answer
                       ? "X-Other"
                       : "X-Server-Signature");
      });
      return;
    }
    const auto last_event_id = request_.fields.Find("Last-Event-Id");
    if (last_event_id &&
        !absl::SimpleAtoi(AsAbsl(*last_event_id), &next_event_)) {
      next_event_ = 0;
    }
    AnswerHead head = Head(200, "X-Server-Signature");
    head.fields.Add("Content-Type", "text/event-stream");
    connection_->BeginAnswer(head);
    SendNextEvent();
  }

  void OnCallerDrained() override {}

 private:
  AnswerHead Head(int status, const char* marker_header) const {
    AnswerHead head;
    head.status = status;
    head.reason = "Answer";
    head.fields.Add(
        "X-Request-Id",
        std::string(request_.fields.Find("X-Request-Id").value_or("")));
    if (*marker_header != '\0') {
      head.fields.Add(marker_header, absl::StrCat("by-", endpoint_->id_));
    }
    if (!endpoint_->behaviour_.limit.empty()) {
      head.fields.Add("Server-Limit", endpoint_->behaviour_.limit);
    }
    for (const std::string& it : endpoint_->behaviour_.leaving) {
      head.fields.Add("Server-Leaving", it);
    }
    return head;
  }

  //! Crashes the endpoint, after an event if it sends one before.
  void Crash() {
    if (endpoint_->behaviour_.event_before_crash) {
      AnswerHead head = Head(200, "X-Server-Signature");
      head.fields.Add("Content-Type", "text/event-stream");
      head.framing = BodyFraming::kConnectionEnd;
      connection_->BeginAnswer(head);
      connection_->WriteBody("id: 1\ndata: x\n\n");
    }
    endpoint_->arrivals_.back().crashes = true;
    endpoint_->loop_->After(kCrashDelay, [it = endpoint_] {
      if (!it->crashed()) {
        it->server_.reset();
        it->on_crash_();
      }
    });
  }

  void Reply(int status, const char* marker_header) {
    running_ = false;
    AnswerHead head = Head(status, marker_header);
    if (status == 503) {
      for (const std::string& it : endpoint_->behaviour_.retry_after) {
        head.fields.Add("Retry-After", it);
      }
    }
    std::string body = "body";
    body.resize(endpoint_->behaviour_.answer_bytes, 'x');
    connection_->Answer(head, body);
  }

  void SendNextEvent() {
    const Behaviour& behaviour = endpoint_->behaviour_;
    if (behaviour.abort_after >= 0 && next_event_ >= behaviour.abort_after) {
      running_ = false;
      connection_->WriteBody("id: 99\nda");  // An incomplete event.
      connection_->Abort();
      return;
    }
    if (next_event_ >= behaviour.events) {
      running_ = false;
      connection_->EndAnswer();
      return;
    }
    ++next_event_;
    connection_->WriteBody(absl::StrCat("id: ", next_event_, "\ndata: x\n\n"));
    timer_ = endpoint_->loop_->After(behaviour.event_interval,
                                     [this] { SendNextEvent(); });
  }

  StandInEndpoint* endpoint_;
  CallerConnection* connection_;
  CallerRequest request_;
  int next_event_ = 0;
  bool running_ = false;
  EventLoop::TimerId timer_{};
};

StandInEndpoint::StandInEndpoint(EventLoop* loop, std::string id)
    : loop_(loop), id_(std::move(id)) {
  const auto [fd, address] = ListenOnFreePort();
  address_ = address;
  server_ = std::make_unique<RelayServer>(
      loop, fd, /*max_connections=*/1000,
      [this](CallerConnection* connection, CallerRequest request) {
        return std::make_unique<Task>(this, connection, std::move(request));
      },
      &metrics_);
}

StandInEndpoint::~StandInEndpoint() = default;

std::string StandInEndpoint::DirectoryEntry(const std::string& service,
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

int StandInEndpoint::MostArrivals(Millis since, Millis span) const {
  int most = 0;
  for (auto begin = arrivals_.begin(); begin != arrivals_.end(); ++begin) {
    if (begin->at < since) {
      continue;
    }
    const auto end = std::find_if(
        begin, arrivals_.end(),
        [&](const Arrival& it) { return it.at - begin->at > span; });
    most = std::max(most, static_cast<int>(end - begin));
  }
  return most;
}

int StandInEndpoint::RunCount(const std::string& request_id) const {
  return static_cast<int>(
      std::count_if(started_requests_.begin(), started_requests_.end(),
                    [&](const CallerRequest& it) {
                      return it.fields.Find("X-Request-Id") == request_id;
                    }));
}

}  // namespace tamaracktrail
