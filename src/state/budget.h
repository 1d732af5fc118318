#ifndef STATE_BUDGET_H_
#define STATE_BUDGET_H_

#include <cstdint>
#include <map>

#include <cereal/types/map.hpp>

namespace tamaracktrail {

//! Balance of one organisation's prepaid budget, in tokens.
//!
//! Invariant: undrawn + the sum of the shares + charged == prepaid, and no term
//! is negative.
struct Budget {
  int64_t prepaid = 0;
  int64_t undrawn = 0;
  int64_t charged = 0;
  std::map<uint64_t, int64_t> shares;  //!< Tokens by holder; no zero entries.

  //! Tokens in the share of `holder`.
  int64_t Share(uint64_t holder) const;

  //! Adds `tokens`, which may be negative, to the share of `holder`. Stops the
  //! process if the share would become negative.
  void AddToShare(uint64_t holder, int64_t tokens);

  //! Stops the process if the invariant is violated.
  void CheckInvariant() const;

  friend bool operator==(const Budget&, const Budget&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(prepaid, undrawn, charged, shares);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_BUDGET_H_
