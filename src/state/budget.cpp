#include "state/budget.h"

#include <glog/logging.h>

namespace tamaracktrail {

int64_t Budget::Share(uint64_t holder) const {
  auto it = shares.find(holder);
  return it == shares.end() ? 0 : it->second;
}

void Budget::AddToShare(uint64_t holder, int64_t tokens) {
  const int64_t share = Share(holder) + tokens;
  CHECK_GE(share, 0) << "share of holder " << holder
                     << " would become negative";
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
    CHECK_GT(share, 0) << "no tokens in the share of holder " << holder;
    sum += share;
  }
  CHECK_EQ(sum, prepaid) << "undrawn + shares + charged differs from prepaid";
}

}  // namespace tamaracktrail
