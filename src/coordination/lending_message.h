#ifndef COORDINATION_LENDING_MESSAGE_H_
#define COORDINATION_LENDING_MESSAGE_H_

#include <variant>

#include "coordination/loan_receipt.h"
#include "coordination/token_loan.h"
#include "coordination/token_request.h"

namespace tamaracktrail {

//! What instances send each other to lend tokens; see TokenLending.
using LendingMessage = std::variant<TokenRequest, TokenLoan, LoanReceipt>;

}  // namespace tamaracktrail

#endif  // COORDINATION_LENDING_MESSAGE_H_
