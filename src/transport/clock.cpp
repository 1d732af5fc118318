#include "transport/clock.h"

#include <glib.h>

#include <ctime>

namespace tamaracktrail {

Millis MonotonicNow() {
  timespec now = {};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Millis(int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1000000);
}

Millis WallNow() {
  return Millis(g_get_real_time() / 1000);
}

}  // namespace tamaracktrail
