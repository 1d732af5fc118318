#ifndef PROTOCOL_CRASH_NOTICE_H_
#define PROTOCOL_CRASH_NOTICE_H_

#include "state/crash.h"

namespace tamaracktrail {

//! Reports a crash to a peer before the log holds its record.
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
