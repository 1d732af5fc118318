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

//! Requests that wait at an entry until an endpoint of their service has room.
//!
//! The highest priority goes first; waiting raises the priority, so that none
//! starves. Within a priority organisations take turns by the tokens they have
//! been let in with. Not thread-safe.
class AdmissionQueue {
 public:
  struct Options {
    size_t max_length = 256;  //!< All services together.
    size_t max_per_organisation = 128;
    Millis aging{2000};  //!< Wait that is worth one priority.
  };

  struct Item {
    uint64_t id = 0;
    std::string service;
    std::string organisation;
    int priority = 5;  //!< 0 is the highest.
    int64_t tokens = 0;
    Millis since;
    Millis deadline;
  };

  explicit AdmissionQueue(Options options) : options_(options) {}

  //! False where the queue, or the organisation's part of it, is full.
  bool Push(Item item);

  //! Removes the next request of a service.
  std::optional<Item> Pop(Millis now, const std::string& service);

  //! Removes the requests whose deadline has passed.
  std::vector<Item> TakeExpired(Millis now);

  //! Removes one request; false where it is not here.
  bool Remove(uint64_t id);

  //! Services with waiting requests.
  std::vector<std::string> Services() const;

  size_t size() const { return items_.size(); }

 private:
  struct Account {
    double served = 0;  //!< Tokens let in, as a virtual time.
  };

  bool Before(Millis now, const Item& a, const Item& b) const;
  int EffectivePriority(Millis now, const Item& item) const;

  Options options_;
  std::vector<Item> items_;  //!< In order of arrival.
  std::map<std::string, Account> accounts_;
  double virtual_time_ = 0;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ADMISSION_QUEUE_H_
