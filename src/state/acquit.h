#ifndef STATE_ACQUIT_H_
#define STATE_ACQUIT_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! The attempt that a trial allowed has ended without a crash, so that another
//! trial may be claimed. If it succeeded, the content's crashes are forgotten.
struct Acquit {
  std::string content;
  uint64_t attempt = 0;
  //! Whether the complete answer was delivered.
  bool well = false;

  friend bool operator==(const Acquit&, const Acquit&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(content, attempt, well);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_ACQUIT_H_
