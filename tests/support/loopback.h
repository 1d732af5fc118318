#ifndef TESTS_SUPPORT_LOOPBACK_H_
#define TESTS_SUPPORT_LOOPBACK_H_

#include <string>
#include <utility>

namespace tamaracktrail {

//! A listening descriptor on a free port of 127.0.0.1, with its address.
std::pair<int, std::string> ListenOnFreePort();

//! An address of 127.0.0.1 that a test may listen on, also more than once.
//! No outgoing connection gets its port while the process lives.
std::string FreeAddress();

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_LOOPBACK_H_
