#ifndef TESTS_SUPPORT_STAND_IN_ENDPOINT_H_
#define TESTS_SUPPORT_STAND_IN_ENDPOINT_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state/millis.h"
#include "transport/metrics.h"
#include "transport/relay/caller_request.h"
#include "transport/relay/relay_server.h"

namespace tamaracktrail {

class EventLoop;

//! An endpoint as the platform's pages describe it: plain answers and streams,
//! with the faults that they name. Not thread-safe.
class StandInEndpoint {
 public:
  //! What it does with requests.
  struct Habits {
    int events = 5;                //!< Of a stream.
    Millis event_pause{2};         //!< Between two of them.
    bool refuse = false;           //!< 503, marked as not run.
    bool fail = false;             //!< Its own 500.
    bool silent = false;           //!< Runs the request and never answers.
    bool unsigned_answer = false;  //!< An answer that is not its own.
    int break_after = -1;  //!< Breaks a stream off behind so many events.
  };

  //! Listens on a free port of 127.0.0.1.
  StandInEndpoint(EventLoop* loop, std::string id);
  ~StandInEndpoint();

  const std::string& id() const { return id_; }
  const std::string& address() const { return address_; }
  Habits& habits() { return habits_; }

  //! Its entry in the directory, under its own address where none is given.
  std::string Entry(const std::string& service,
                    int64_t sequence,
                    bool draining,
                    const std::string& address = "") const;

  //! Requests that it began to work on, in order.
  const std::vector<CallerRequest>& ran() const { return ran_; }
  //! How often each request id was run.
  int Runs(const std::string& request_id) const;
  //! Work that its callers did not wait for.
  int abandoned() const { return abandoned_; }

 private:
  class Task;

  EventLoop* loop_;
  std::string id_;
  Metrics metrics_;
  std::string address_;
  Habits habits_;
  std::vector<CallerRequest> ran_;
  int abandoned_ = 0;
  std::unique_ptr<RelayServer> server_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_STAND_IN_ENDPOINT_H_
