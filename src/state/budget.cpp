#include "state/budget.h"

#include <glog/logging.h>

namespace tamaracktrail {

int64_t Budget::Share(uint64_t holder) const {
  auto it = shares.find(holder);
  return it == shares.end() ? 0 : it->second;
}

void Budget::AddToShare(uint64_t holder, int64_t tokens) {
  const int64_t share = Share(holder) + tokens;
  CHECK_GE(share, 0) << "share of " << holder << " would be negative";
  if (share == 0) {
    shares.erase(holder);
  } else {
    shares[holder] = share;
  }
}

void Budget::CheckInvariant() const {
  CHECK_GE(undrawn, 0);
  CHECK_GE(charged, 0);
  int64_t sum = undrawn + charged;
  for (const auto& [holder, share] : shares) {
    CHECK_GT(share, 0) << "empty share of " << holder;
    sum += share;
  }
  CHECK_EQ(sum, prepaid) << "budget does not add up";
}

}  // namespace tamaracktrail
