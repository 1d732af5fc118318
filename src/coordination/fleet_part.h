#ifndef COORDINATION_FLEET_PART_H_
#define COORDINATION_FLEET_PART_H_

#include <optional>

#include "state/millis.h"

namespace tamaracktrail {

//! This instance's part of a limit that holds for all instances together.
//!
//! What is not known counts against the instance, so that the parts add up to
//! 1.25 times the limit at most while a fleet grows and lists are read late:
//! - Without a list an instance has no part.
//! - The number of instances never falls: instances stay listed, and a shorter
//!   list is one from an older copy of the store.
//! - A list counts for a time; then the part falls to a quarter.
//! - An instance that others may not count yet has a quarter until they have
//!   read its entry or no longer trust their lists. One that starts again soon
//!   after its first registration is taken for known.
//!
//! Not thread-safe.
class FleetPart {
 public:
  //! `started_at`: start of the process. `window`: time for which the limit
  //! holds. `first_start`: no instance of the fleet has run before.
  FleetPart(Millis started_at, Millis window, bool first_start)
      : started_at_(started_at), window_(window), first_start_(first_start) {}

  void SetWindow(Millis window) { window_ = window; }

  //! The first complete list of instances was read; this instance had not
  //! registered before that.
  void OnFirstListed(bool names_self) { named_before_ = names_self; }

  //! The store has this instance's entry.
  void OnRegistered(Millis now);

  //! `instances` were listed by the time `as_of`. Precondition: they are one or
  //! more.
  void OnCounted(Millis as_of, int instances);

  //! Number of instances; nullopt before the first list.
  std::optional<int> instances() const { return instances_; }

  //! Time since the list was current; nullopt before the first.
  std::optional<Millis> AgeOfCount(Millis now) const;

  //! This instance's part, 0 to 1.
  double Fraction(Millis now) const;

  //! Whether the part may be used at once. What an earlier process of this
  //! instance used no longer counts by then.
  bool MayUseAtOnce(Millis now) const;

 private:
  //! Time after which a list is too old to count.
  Millis MaxAge() const;
  bool IsCountedByAll(Millis now) const;
  bool IsCertain(Millis now) const;

  Millis started_at_;
  Millis window_;
  bool first_start_;
  bool named_before_ = false;
  std::optional<Millis> registered_at_;
  std::optional<int> instances_;
  Millis counted_at_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_FLEET_PART_H_
