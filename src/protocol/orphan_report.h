#ifndef PROTOCOL_ORPHAN_REPORT_H_
#define PROTOCOL_ORPHAN_REPORT_H_

#include <cstdint>
#include <vector>

#include <cereal/types/vector.hpp>

#include "protocol/settle_request.h"
#include "state/kept_share.h"

namespace tamaracktrail {

//! Answer to an OrphanQuery.
struct OrphanReport {
  uint64_t holder = 0;
  uint64_t reporter = 0;
  //! Tokens under the holder's shares that the reporter still accounts for: its
  //! open reservations and the unconfirmed charges in its custody.
  std::vector<KeptShare> kept;
  //! Charges in the reporter's custody whose entry is the exited instance.
  std::vector<SettleRequest> charges;

  friend bool operator==(const OrphanReport&, const OrphanReport&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(holder, reporter, kept, charges);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_ORPHAN_REPORT_H_
