#ifndef COORDINATION_TOKEN_LOAN_H_
#define COORDINATION_TOKEN_LOAN_H_

#include <cstdint>
#include <string>

namespace tamaracktrail {

//! Tokens that one instance gives to another, as the answer to a TokenRequest
//! or unasked by an instance that stops. The lender repeats it until it has a
//! LoanReceipt.
struct TokenLoan {
  std::string lender;  //!< Name of the instance.
  uint64_t lender_incarnation = 0;
  std::string address;  //!< Of the lender, for the receipt.
  uint64_t borrower_incarnation = 0;
  uint64_t request = 0;  //!< Number of the request; 0 if there was none.
  //! Counts the loans of the lender's incarnation to any borrower; 0 if the
  //! lender has nothing to lend, which needs no receipt.
  uint64_t number = 0;
  //! Loans of this lender with a lower number are not sent any more.
  uint64_t oldest_open = 0;
  std::string organisation;
  int64_t tokens = 0;
  //! Total of the budget that the tokens come from, as the lender knows it.
  int64_t prepaid = 0;

  friend bool operator==(const TokenLoan&, const TokenLoan&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(lender, lender_incarnation, address, borrower_incarnation, request,
            number, oldest_open, organisation, tokens, prepaid);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_TOKEN_LOAN_H_
