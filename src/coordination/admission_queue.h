#ifndef COORDINATION_ADMISSION_QUEUE_H_
#define COORDINATION_ADMISSION_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/millis.h"

namespace tamaracktrail {

//! Queue of the requests that wait at an entry until an endpoint of their
//! service has free capacity.
//!
//! Requests leave by priority. Aging raises the priority of waiting requests,
//! so that none starves. Within a priority, organisations are served by fair
//! queueing over the tokens of their admitted requests. Not thread-safe.
class AdmissionQueue {
 public:
  struct Options {
    size_t max_length = 256;  //!< Limit for all services together.
    size_t max_per_organisation = 128;
    Millis aging{2000};  //!< Wait that raises a request by one priority.
  };

  struct Item {
    uint64_t id = 0;
    std::string service;
    std::string organisation;
    int priority = 5;  //!< 0 is the highest.
    int64_t tokens = 0;
    Millis enqueued_at;
    Millis deadline;
  };

  explicit AdmissionQueue(Options options) : options_(options) {}

  //! Returns false if the queue is full or the organisation has reached its
  //! limit.
  bool Push(Item item);

  //! Removes and returns the next request of a service, if any.
  std::optional<Item> Pop(Millis now, const std::string& service);

  //! Removes and returns the requests whose deadline has passed.
  std::vector<Item> TakeExpired(Millis now);

  //! Removes one request; returns false if it is not queued.
  bool Remove(uint64_t id);

  //! Returns the services that have queued requests.
  std::vector<std::string> Services() const;

  size_t size() const { return items_.size(); }

 private:
  struct Account {
    double virtual_time = 0;  //!< In tokens of admitted requests.
  };

  bool IsBefore(Millis now, const Item& a, const Item& b) const;
  int EffectivePriority(Millis now, const Item& item) const;

  Options options_;
  std::vector<Item> items_;  //!< In order of arrival.
  std::map<std::string, Account> accounts_;
  //! Largest virtual time at which an organisation was served.
  double virtual_time_ = 0;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ADMISSION_QUEUE_H_
