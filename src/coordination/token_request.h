#ifndef COORDINATION_TOKEN_REQUEST_H_
#define COORDINATION_TOKEN_REQUEST_H_

#include <cstdint>
#include <string>

namespace tamaracktrail {

//! Asks another instance to lend tokens of an organisation's budget.
struct TokenRequest {
  std::string borrower;  //!< Name of the instance.
  uint64_t borrower_incarnation = 0;
  std::string address;  //!< Of the borrower, for the answer.
  uint64_t number = 0;  //!< Counts the requests of the borrower's incarnation.
  std::string organisation;
  int64_t tokens = 0;

  friend bool operator==(const TokenRequest&, const TokenRequest&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(borrower, borrower_incarnation, address, number, organisation,
            tokens);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_TOKEN_REQUEST_H_
