#ifndef CLI_RECORD_TEXT_H_
#define CLI_RECORD_TEXT_H_

#include <string>

#include "state/millis.h"
#include "state/record.h"

namespace tamaracktrail {

//! Human-readable form of a record: its kind, then key=value pairs.
//! Thread-safe.
std::string RecordText(const Record& record);

//! Request key of a record; empty if it has none. Thread-safe.
std::string RecordKey(const Record& record);

//! Formats a wall clock time as ISO 8601 in UTC. Thread-safe.
std::string TimeText(Millis wall);

}  // namespace tamaracktrail

#endif  // CLI_RECORD_TEXT_H_
