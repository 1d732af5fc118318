#ifndef PROTOCOL_RESERVE_REQUEST_H_
#define PROTOCOL_RESERVE_REQUEST_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Asks a keeper, which manages its instance's shares of the budget, to reserve
//! a request's worst case in tokens and, for a non-repeatable request, to
//! record its run claim.
struct ReserveRequest {
  std::string organisation;
  std::string key;
  std::string service;
  //! Identifies the reservation.
  uint64_t attempt = 0;
  //! Incarnation of the instance that serves the caller.
  uint64_t entry = 0;
  int64_t tokens = 0;
  //! Whether the request is non-repeatable.
  bool claim = false;

  friend bool operator==(const ReserveRequest&,
                         const ReserveRequest&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, key, service, attempt, entry, tokens, claim);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_RESERVE_REQUEST_H_
