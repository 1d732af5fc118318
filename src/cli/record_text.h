#ifndef CLI_RECORD_TEXT_H_
#define CLI_RECORD_TEXT_H_

#include <string>

#include "state/millis.h"
#include "state/record.h"

namespace tamaracktrail {

//! A record as key=value pairs for people, the kind first. Thread-safe.
std::string RecordText(const Record& record);

//! The request key a record is about; empty for none. Thread-safe.
std::string RecordKey(const Record& record);

//! UTC time of a wall clock in ISO 8601. Thread-safe.
std::string TimeText(Millis wall);

}  // namespace tamaracktrail

#endif  // CLI_RECORD_TEXT_H_
