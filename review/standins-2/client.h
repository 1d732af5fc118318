#ifndef REVIEW_STANDINS_2_CLIENT_H_
#define REVIEW_STANDINS_2_CLIENT_H_

#include "front.h"
#include "record.h"

namespace review {

//! One client attempt and what the client saw of it.
struct Attempt {
  std::string id;
  std::string front;
  int64_t sent_at = 0;
  int64_t ended_at = 0;
  Response response;
};

struct Call {
  std::string head;  //!< Request line and fields without id and deadline.
  std::string body;
  int64_t deadline_ms = 15000;
};

//! Sends a request on a new connection and waits for its answer.
inline Attempt Send(Record* record,
                    Front& front,
                    const std::string& id,
                    const Call& call) {
  Attempt attempt;
  attempt.id = id;
  attempt.front = front.name();
  attempt.sent_at = NowMs();
  const auto connection = Connection::To(front.callers());
  if (connection == nullptr) {
    attempt.response.end = "no connection";
  } else {
    record->Line("client sends " + id + " to " + front.name());
    connection->Write(
        call.head + "X-Request-Id: " + id +
        "\r\nX-Request-Deadline: " + std::to_string(call.deadline_ms) +
        "\r\nContent-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" +
        call.body);
    attempt.response =
        connection->ReadResponse(attempt.sent_at + call.deadline_ms);
  }
  attempt.ended_at = NowMs();
  record->Line(
      "client got for " + id + ": " + std::to_string(attempt.response.status) +
      ", " + attempt.response.end +
      (attempt.response.complete ? "" : ", not complete") +
      (attempt.response.fields.Has("Server-Leaving") ? ", Server-Leaving"
                                                     : ""));
  return attempt;
}

//! Clients that run in threads of their own until `Join`.
class Clients {
 public:
  ~Clients() { Join(); }

  //! Thread-safe.
  void Run(std::function<Attempt()> send) {
    const std::lock_guard<std::mutex> guard(mutex_);
    threads_.emplace_back([this, send = std::move(send)] {
      Attempt attempt = send();
      const std::lock_guard<std::mutex> lock(mutex_);
      attempts_.push_back(std::move(attempt));
    });
  }

  //! Precondition: no other thread calls Run any more.
  std::vector<Attempt> Join() {
    for (std::thread& it : threads_) {
      it.join();
    }
    threads_.clear();
    return attempts_;
  }

 private:
  std::vector<std::thread> threads_;
  std::mutex mutex_;
  std::vector<Attempt> attempts_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_CLIENT_H_
