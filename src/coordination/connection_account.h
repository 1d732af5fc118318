#ifndef COORDINATION_CONNECTION_ACCOUNT_H_
#define COORDINATION_CONNECTION_ACCOUNT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "state/millis.h"

namespace tamaracktrail {

//! Account of the bytes that an instance holds for its connections, all
//! listeners together: bodies in progress by capacity, read-ahead, unsent
//! answers and a fixed cost for each connection.
//!
//! The measures, by the sum of what is held: above half of the budget
//! (`is_short`) nothing is read ahead; above three quarters, large bodies are
//! refused, above all of it, small ones too; above the budget, connections are
//! closed. Connections that have not progressed for `kStalledTime` give way
//! before a body is refused, those that hold most before others. All events
//! cost O(1). Not thread-safe.
class ConnectionAccount {
 public:
  using Id = uint64_t;

  //! Objects, buffers and kernel structures of one connection.
  static constexpr size_t kConnectionBytes = 8 * 1024;
  //! What is held for a small request at most.
  static constexpr size_t kSmallBytes = 64 * 1024;
  //! A connection that holds less is not worth closing.
  static constexpr size_t kMinClosedBytes = 16 * 1024;
  //! Longer than a lost packet is usually repeated.
  static constexpr Millis kStalledTime{1000};

  //! Result of `Request`: the bytes can be held, or one connection has to be
  //! closed before the next try, or (neither) the request is refused.
  struct Decision {
    bool holds = false;
    std::optional<Id> closes;
  };

  //! `budget`: in bytes.
  explicit ConnectionAccount(size_t budget) : budget_(budget) {}

  //! Precondition: `id` is unknown.
  void Add(Millis now, Id id);
  //! The connection holds `bytes` now, besides its fixed cost, and has
  //! progressed. `may_close`: its request has not been admitted, or its answer
  //! waits for the caller. Has no effect if `id` is unknown. `now` may not
  //! precede that of an earlier call.
  void Set(Millis now, Id id, size_t bytes, bool may_close);
  //! Has no effect if `id` is unknown.
  void Remove(Id id);

  //! Whether the connection may hold `bytes` in all; changes nothing.
  Decision Request(Millis now, Id id, size_t bytes) const;
  //! The connection to close while `is_over`; none if none may be closed.
  std::optional<Id> ChooseToClose() const;

  bool is_short() const { return held_ > budget_ / 2; }
  bool is_over() const { return held_ > budget_; }
  size_t held() const { return held_; }
  size_t budget() const { return budget_; }

 private:
  struct Connection {
    size_t bytes = 0;
    Millis since;     //!< Last `Set`.
    int bucket = -1;  //!< In `closable_`; -1 if it may not be closed.
    std::list<Id>::iterator position;
  };

  static int BucketOf(size_t bytes);
  void LeaveBucket(Connection* connection);

  size_t budget_;
  size_t held_ = 0;
  std::unordered_map<Id, Connection> connections_;
  //! Connections that may be closed, by the binary logarithm of their bytes;
  //! in each bucket the longest without progress first.
  std::array<std::list<Id>, 64> closable_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_CONNECTION_ACCOUNT_H_
