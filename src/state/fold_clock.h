#ifndef STATE_FOLD_CLOCK_H_
#define STATE_FOLD_CLOCK_H_

#include "state/millis.h"

namespace tamaracktrail {

//! Time of a stream, derived from the wall clocks in its batches alone, so that
//! all readers agree on it.
//!
//! It never runs backwards, and one writer with a wrong clock moves it by at
//! most kMaxStep a batch.
class FoldClock {
 public:
  static constexpr Millis kMaxStep = kMinute;

  Millis now() const { return now_; }

  //! Takes in the wall clock of the next batch.
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
