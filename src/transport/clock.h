#ifndef TRANSPORT_CLOCK_H_
#define TRANSPORT_CLOCK_H_

#include "state/millis.h"

namespace tamaracktrail {

//! Time since boot, suspension included; for durations. Thread-safe.
Millis MonotonicNow();

//! Wall clock since the Unix epoch; for records that people read. Thread-safe.
Millis WallNow();

}  // namespace tamaracktrail

#endif  // TRANSPORT_CLOCK_H_
