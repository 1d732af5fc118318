#ifndef COORDINATION_CONNECTION_SLOTS_H_
#define COORDINATION_CONNECTION_SLOTS_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "state/millis.h"

namespace tamaracktrail {

//! Decides which connection of a listener gives way to a new one when no slot
//! is free.
//!
//! Idle connections (no request open, none begun) give way first, the longest
//! idle one before others, then those whose request has been begun but has not
//! progressed for `kStalledTime`, then those whose answer is complete and has
//! not been read any further for `kUnreadTime`. Requests that are being served
//! never do.
//!
//! One address may not occupy all slots: a sixteenth of them is left to others.
//! All events cost O(1), except that a new connection from an address at its
//! limit may pass over the connections of others. Not thread-safe.
class ConnectionSlots {
 public:
  using Id = uint64_t;

  enum class Phase { kIdle, kReceiving, kServing, kSending };

  //! Result of `Admit`. With `accepts`, `closes` is the connection that has to
  //! be closed in favour of the new one, if any.
  struct Admission {
    bool accepts = false;
    std::optional<Id> closes;
  };

  //! A request that has been begun counts as stalled after this time without a
  //! byte. Longer than a lost packet is usually repeated.
  static constexpr Millis kStalledTime{1000};

  //! The same for the rest of an answer. Below the 3 s within which a new
  //! connection has to be accepted.
  static constexpr Millis kUnreadTime{2000};

  //! Precondition: `capacity` > 0.
  explicit ConnectionSlots(size_t capacity);

  //! A connection from `address` wants a slot; changes nothing.
  Admission Admit(Millis now, uint32_t address) const;

  //! A connection has been accepted and is idle. Precondition: `id` is unknown.
  //! `now` may not precede that of an earlier call, here and below.
  void Add(Millis now, Id id, uint32_t address);
  //! The connection enters `phase` or, in the same phase, has progressed. Has
  //! no effect if `id` is unknown.
  void Update(Millis now, Id id, Phase phase);
  //! Has no effect if `id` is unknown.
  void Remove(Id id);

  size_t size() const { return connections_.size(); }
  size_t capacity() const { return capacity_; }

 private:
  struct Connection {
    uint32_t address = 0;
    Phase phase = Phase::kIdle;
    Millis since;  //!< Last `Add` or `Update`.
    std::list<Id>::iterator position;
  };

  std::list<Id>& ListOf(Phase phase);
  //! The first connection of `order` that may give way, from `address` alone if
  //! that is set.
  std::optional<Id> FindFirst(const std::list<Id>& order,
                              std::optional<uint32_t> address,
                              Millis since_at_most) const;

  size_t capacity_;
  size_t max_per_address_;
  std::unordered_map<Id, Connection> connections_;
  std::unordered_map<uint32_t, size_t> count_by_address_;
  // Longest without an update first.
  std::list<Id> idle_;
  std::list<Id> receiving_;
  std::list<Id> serving_;
  std::list<Id> sending_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CONNECTION_SLOTS_H_
