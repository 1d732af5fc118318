#ifndef STATE_SHARE_REQUEST_H_
#define STATE_SHARE_REQUEST_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! Asks the other holders of a budget's shares to return tokens, since this
//! holder has too few for its queued requests.
struct ShareRequest {
  std::string organisation;
  uint64_t holder = 0;
  int64_t tokens = 0;  //!< Tokens that are missing.

  friend bool operator==(const ShareRequest&, const ShareRequest&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(organisation, holder, tokens);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_SHARE_REQUEST_H_
