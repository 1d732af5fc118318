#ifndef PROTOCOL_CRASH_NOTICE_H_
#define PROTOCOL_CRASH_NOTICE_H_

#include "state/crash.h"

namespace tamaracktrail {

//! Tells of a crash record before the log has it.
struct CrashNotice {
  Crash crash;

  friend bool operator==(const CrashNotice&, const CrashNotice&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(crash);
  }
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_CRASH_NOTICE_H_
