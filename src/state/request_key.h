#ifndef STATE_REQUEST_KEY_H_
#define STATE_REQUEST_KEY_H_

#include <optional>
#include <string>

#include "state/millis.h"

namespace tamaracktrail {

//! Wall-clock time a UUIDv7 request key carries; nullopt for any other key.
//! Thread-safe.
std::optional<Millis> RequestKeyTime(const std::string& key);

//! A UUIDv7 for a caller that sent no key. `random` is 16 random bytes or more.
std::string MakeRequestKey(Millis wall, const std::string& random);

}  // namespace tamaracktrail

#endif  // STATE_REQUEST_KEY_H_
