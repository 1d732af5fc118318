#ifndef TRANSPORT_CLOCK_H_
#define TRANSPORT_CLOCK_H_

#include "state/millis.h"

namespace tamaracktrail {

//! Time since boot, including time suspended; for measuring durations.
//! Thread-safe.
Millis MonotonicNow();

//! Wall-clock time since the Unix epoch; for time stamps, and for numbers that
//! must be higher after a restart. Thread-safe.
Millis WallNow();

}  // namespace tamaracktrail

#endif  // TRANSPORT_CLOCK_H_
