#ifndef TRANSPORT_SOCKET_ADDRESS_H_
#define TRANSPORT_SOCKET_ADDRESS_H_

#include <netinet/in.h>

#include <string>

#include "absl/status/statusor.h"

namespace tamaracktrail {

//! Parses "ip:port" with a numeric IPv4 address. Thread-safe.
absl::StatusOr<sockaddr_in> ParseSocketAddress(const std::string& text);

//! Returns "ip:port". Thread-safe.
std::string FormatSocketAddress(const sockaddr_in& address);

//! Opens a listening, non-blocking TCP socket. Errors: kAlreadyExists if
//! another socket has the address, others if it cannot be parsed or bound. The
//! caller owns the descriptor. Thread-safe.
absl::StatusOr<int> ListenTcp(const std::string& address);

//! Opens a bound, non-blocking UDP socket. Errors as for ListenTcp. The caller
//! owns the descriptor. Thread-safe.
absl::StatusOr<int> BindUdp(const std::string& address);

}  // namespace tamaracktrail

#endif  // TRANSPORT_SOCKET_ADDRESS_H_
