#ifndef STATE_REQUEST_KEY_H_
#define STATE_REQUEST_KEY_H_

#include <optional>
#include <string>

#include "state/millis.h"

namespace tamaracktrail {

//! Returns the wall-clock time in a UUIDv7 request key; nullopt for any other
//! key. Thread-safe.
std::optional<Millis> RequestKeyTime(const std::string& key);

//! Makes a UUIDv7 for a caller that sent no request key.
//! Precondition: `random` holds at least 16 random bytes.
std::string MakeRequestKey(Millis wall, const std::string& random);

}  // namespace tamaracktrail

#endif  // STATE_REQUEST_KEY_H_
