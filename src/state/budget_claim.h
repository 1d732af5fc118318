#ifndef STATE_BUDGET_CLAIM_H_
#define STATE_BUDGET_CLAIM_H_

#include <cstdint>
#include <optional>
#include <string>

namespace tamaracktrail {

//! An instance's claim on an organisation's budget, as recorded in the log. The
//! amounts are totals that include predecessors of the same name, so that a
//! record replaces the previous one and a repeated record has no effect.
struct BudgetClaim {
  std::string instance;
  std::string organisation;
  uint64_t incarnation = 0;
  uint64_t number = 0;  //!< Counts this incarnation's records of the key.
  int64_t claimed = 0;  //!< Tokens that were spent or may be spent.
  //! The part of `claimed` that may be spent while the instance's newest
  //! ShareLock holds.
  int64_t locked = 0;
  int64_t spent = 0;  //!< The part of `claimed` that is known to be spent.
  //! The part of `claimed` that comes from predecessors and can't be spent any
  //! more, but is not known to be spent.
  int64_t stranded = 0;
  //! How often the log had come back from an older copy when the claim was
  //! written.
  int64_t generation = 0;

  friend bool operator==(const BudgetClaim&, const BudgetClaim&) = default;
};

//! Returns the name under which other instances record what an instance had
//! claimed and the log has lost, while the instance does not record it itself.
//! Thread-safe, like the next two.
std::string SubstituteName(const std::string& instance);
bool IsSubstituteName(const std::string& name);
//! Returns the instance that a name, of it or of its substitute, stands for.
std::string NameOfInstance(const std::string& name);

//! Returns the log key of a claim; a newer record of the same key replaces it.
//! Thread-safe.
std::string BudgetClaimKey(const BudgetClaim& claim);

//! Encodes all fields but those of the key. Thread-safe.
std::string EncodeBudgetClaim(const BudgetClaim& claim);

//! Returns nullopt where key or value is damaged. Thread-safe.
std::optional<BudgetClaim> DecodeBudgetClaim(const std::string& key,
                                             const std::string& value);

}  // namespace tamaracktrail

#endif  // STATE_BUDGET_CLAIM_H_
