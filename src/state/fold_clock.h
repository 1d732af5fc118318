#ifndef STATE_FOLD_CLOCK_H_
#define STATE_FOLD_CLOCK_H_

#include "state/millis.h"

namespace tamaracktrail {

//! Time of a stream, derived only from the wall-clock times in its batches, so
//! that all readers agree on it.
//!
//! It starts at the time of the first batch and never runs backwards. After
//! that, each call of Advance() moves it by at most kMaxStep, which limits the
//! effect of a writer with a wrong clock.
class FoldClock {
 public:
  //! Largest advance per call of Advance().
  static constexpr Millis kMaxStep = kMinute;

  Millis now() const { return now_; }

  //! Applies the wall-clock time of a batch. The folds call it once per record.
  void Advance(Millis wall);

  friend bool operator==(const FoldClock&, const FoldClock&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(now_);
  }

 private:
  Millis now_;
};

}  // namespace tamaracktrail

#endif  // STATE_FOLD_CLOCK_H_
