#ifndef STATE_TRIAL_END_H_
#define STATE_TRIAL_END_H_

#include <cstdint>
#include <string>

#include <cereal/types/string.hpp>

namespace tamaracktrail {

//! The attempt that a trial allowed has ended without a crash, so that another
//! trial may be claimed. If it succeeded, the content's crashes are forgotten.
struct TrialEnd {
  //! Hash of the request's content.
  std::string content;
  uint64_t attempt = 0;
  //! Whether the complete answer was delivered.
  bool succeeded = false;

  friend bool operator==(const TrialEnd&, const TrialEnd&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(content, attempt, succeeded);
  }
};

}  // namespace tamaracktrail

#endif  // STATE_TRIAL_END_H_
