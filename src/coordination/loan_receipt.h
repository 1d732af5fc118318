#ifndef COORDINATION_LOAN_RECEIPT_H_
#define COORDINATION_LOAN_RECEIPT_H_

#include <cstdint>

namespace tamaracktrail {

//! Tells a lender that a loan need not be repeated.
struct LoanReceipt {
  uint64_t lender_incarnation = 0;
  uint64_t number = 0;  //!< Of the loan.

  friend bool operator==(const LoanReceipt&, const LoanReceipt&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(lender_incarnation, number);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_LOAN_RECEIPT_H_
