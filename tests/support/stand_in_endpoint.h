#ifndef TESTS_SUPPORT_STAND_IN_ENDPOINT_H_
#define TESTS_SUPPORT_STAND_IN_ENDPOINT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "state/millis.h"
#include "transport/metrics.h"
#include "transport/relay/caller_request.h"
#include "transport/relay/relay_server.h"

namespace tamaracktrail {

class EventLoop;

//! An endpoint as the platform's documentation specifies it: plain answers and
//! streams, with the faults of Behaviour. Not thread-safe.
class StandInEndpoint {
 public:
  //! How requests are answered.
  struct Behaviour {
    int events = 5;            //!< Number of events in a stream.
    Millis event_interval{2};  //!< Between two events.
    Millis answer_delay;       //!< Before a plain answer.
    size_t answer_bytes = 4;   //!< Size of the body of a plain answer.
    bool refuse = false;       //!< Answers 503, marked as not run.
    //! Values of the fields of refusals that name a time to wait.
    std::vector<std::string> retry_after;
    bool fail = false;             //!< Answers 500, signed by the endpoint.
    bool unresponsive = false;     //!< Runs the request and never answers.
    bool unsigned_answer = false;  //!< Answers without a signature.
    int abort_after = -1;  //!< Events before a stream is aborted; -1: never.
    //! Crashes when it begins a request whose prompt has this part: loses all
    //! connections and accepts none any more. Empty: never.
    std::string crash_on_part;
    //! Value of the field in all answers that names how many requests a second
    //! the endpoint takes from all instances together. Empty: no field.
    std::string limit;
    //! Values of the fields in all answers that announce that the endpoint
    //! leaves.
    std::vector<std::string> leaving;
    //! Sends one event of an answer without length or chunks before it crashes.
    bool event_before_crash = false;
  };

  //! Listens on a free port of 127.0.0.1.
  StandInEndpoint(EventLoop* loop, std::string id);
  ~StandInEndpoint();

  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }
  Behaviour& behaviour() { return behaviour_; }

  //! The endpoint's directory entry as JSON. An empty `address` stands for the
  //! endpoint's own.
  std::string DirectoryEntry(const std::string& service,
                             int64_t sequence,
                             bool draining,
                             const std::string& address = "") const;

  //! Requests whose work was started, in order.
  const std::vector<CallerRequest>& started_requests() const {
    return started_requests_;
  }
  //! Called when the endpoint crashes.
  void SetOnCrash(std::function<void()> on_crash) {
    on_crash_ = std::move(on_crash);
  }

  struct Arrival {
    Millis at;
    std::string request_id;
    bool crashes = false;        //!< It crashed the endpoint.
    bool asked_to_wait = false;  //!< Refused with Behaviour::retry_after.
  };
  //! All requests in order, also those that were refused.
  const std::vector<Arrival>& arrivals() const { return arrivals_; }
  //! Largest number of requests that arrived within `span` from `since` on.
  int MostArrivals(Millis since, Millis span) const;
  //! How often the request with this id was run.
  int RunCount(const std::string& request_id) const;
  //! Number of running requests whose connection was closed before the end.
  int abandoned() const { return abandoned_; }
  bool crashed() const { return server_ == nullptr; }

 private:
  class Task;

  EventLoop* loop_;
  std::string id_;
  Metrics metrics_;
  std::string address_;
  Behaviour behaviour_;
  std::vector<CallerRequest> started_requests_;
  std::vector<Arrival> arrivals_;
  std::function<void()> on_crash_ = [] {};
  int abandoned_ = 0;
  std::unique_ptr<RelayServer> server_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_STAND_IN_ENDPOINT_H_
