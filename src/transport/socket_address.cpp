#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

#include "absl/status/status.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace tamaracktrail {

namespace {

//! Connections that may wait for accept(). A burst of new callers must not
//! overflow the queue, since a dropped SYN is retransmitted only after 1 s.
constexpr int kListenBacklog = 1024;

absl::Status BindError(int ec, const char* call, const std::string& address) {
  const absl::Status status =
      absl::ErrnoToStatus(ec, absl::StrCat(call, " ", address));
  return ec == EADDRINUSE ? absl::AlreadyExistsError(status.message()) : status;
}

absl::StatusOr<int> OpenBoundSocket(const std::string& address, int type) {
  const absl::StatusOr<sockaddr_in> parsed = ParseSocketAddress(address);
  if (!parsed.ok()) {
    return parsed.status();
  }
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    return absl::ErrnoToStatus(errno, "socket");
  }
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (bind(fd, reinterpret_cast<const sockaddr*>(&*parsed), sizeof(*parsed)) !=
      0) {
    const int ec = errno;
    close(fd);
    return BindError(ec, "bind", address);
  }
  return fd;
}

}  // namespace

absl::StatusOr<sockaddr_in> ParseSocketAddress(const std::string& text) {
  const size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  int port = 0;
  if (colon == std::string::npos ||
      !absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 0 ||
      port > 65535 ||
      inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) !=
          1) {
    return absl::InvalidArgumentError(
        absl::StrCat("not an IPv4 address and port: ", text));
  }
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

std::string FormatSocketAddress(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> ip{};
  inet_ntop(AF_INET, &address.sin_addr, ip.data(), ip.size());
  return absl::StrCat(ip.data(), ":", ntohs(address.sin_port));
}

absl::StatusOr<int> ListenTcp(const std::string& address) {
  absl::StatusOr<int> fd = OpenBoundSocket(address, SOCK_STREAM);
  if (fd.ok() && listen(*fd, kListenBacklog) != 0) {
    const int ec = errno;
    close(*fd);
    return BindError(ec, "listen", address);
  }
  return fd;
}

absl::StatusOr<int> BindUdp(const std::string& address) {
  return OpenBoundSocket(address, SOCK_DGRAM);
}

}  // namespace tamaracktrail
