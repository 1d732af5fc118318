#ifndef TESTS_SUPPORT_LOOPBACK_H_
#define TESTS_SUPPORT_LOOPBACK_H_

#include <string>
#include <utility>

namespace tamaracktrail {

//! Listens on a free port of 127.0.0.1. Returns the descriptor and the address.
std::pair<int, std::string> ListenOnFreePort();

//! An address on 127.0.0.1 that a test may listen on, also repeatedly. Its port
//! is not used for outgoing connections until the process exits.
std::string FreeAddress();

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_LOOPBACK_H_
