#ifndef TRANSPORT_RELAY_FIXED_ANSWER_TASK_H_
#define TRANSPORT_RELAY_FIXED_ANSWER_TASK_H_

#include <string>
#include <utility>

#include "transport/relay/answer_head.h"
#include "transport/relay/caller_connection.h"
#include "transport/relay/request_task.h"

namespace tamaracktrail {

//! Answers a request immediately with a fixed status and body. Not thread-safe.
class FixedAnswerTask : public RequestTask {
 public:
  //! Precondition: the connection outlives the task.
  FixedAnswerTask(CallerConnection* connection, int status, std::string body)
      : connection_(connection), status_(status), body_(std::move(body)) {}

  void Start() override {
    AnswerHead head;
    head.status = status_;
    head.reason = status_ == 200 ? "OK" : "Unavailable";
    head.fields.Add("Content-Type", "text/plain");
    connection_->Answer(std::move(head), body_);
  }

  void OnCallerDrained() override {}

 private:
  CallerConnection* connection_;
  int status_;
  std::string body_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_FIXED_ANSWER_TASK_H_
