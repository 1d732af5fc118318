#ifndef STATE_BUDGET_CLAIM_H_
#define STATE_BUDGET_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>

namespace tamaracktrail {

//! What an instance claims of an organisation's budget, as it stands on the
//! log. Totals, predecessors of the same name included, so that a record
//! replaces the one before it and a repeated one does no harm.
struct BudgetClaim {
  std::string instance;
  std::string organisation;
  uint64_t incarnation = 0;
  uint64_t number = 0;  //!< Counts this incarnation's records of the key.
  int64_t claimed = 0;  //!< Tokens that were spent or may be.
  //! Of these, what may be spent until the lock of the instance's newest beat
  //! has passed.
  int64_t locked = 0;
  int64_t spent = 0;  //!< Of these, tokens known to be spent.
  //! Of these, tokens of predecessors that nobody can spend any more, though
  //! it is not known that they were spent.
  int64_t dead = 0;

  friend bool operator==(const BudgetClaim&, const BudgetClaim&) = default;
};

//! The key under which a claim replaces older ones. Thread-safe.
std::string BudgetClaimKey(const BudgetClaim& claim);

//! Encodes all but the key. Thread-safe.
std::string EncodeBudgetClaim(const BudgetClaim& claim);

//! nullopt where key or value is damaged. Thread-safe.
std::optional<BudgetClaim> DecodeBudgetClaim(const std::string& key,
                                             const std::string& value);

}  // namespace tamaracktrail

#endif  // STATE_BUDGET_CLAIM_H_
