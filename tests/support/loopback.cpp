#include "support/loopback.h"

#include <glog/logging.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "transport/socket_address.h"

namespace tamaracktrail {

namespace {

std::string AddressOf(int fd) {
  sockaddr_in bound{};
  socklen_t n = sizeof(bound);
  CHECK(getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &n) == 0);
  return absl::StrCat("127.0.0.1:", ntohs(bound.sin_port));
}

}  // namespace

std::pair<int, std::string> ListenOnFreePort() {
  const auto fd = ListenTcp("127.0.0.1:0");
  CHECK(fd.ok()) << fd.status();
  return {*fd, AddressOf(*fd)};
}

std::string FreeAddress() {
  // A socket that is bound and does not listen keeps the port from outgoing
  // connections, and SO_REUSEADDR still lets a listener have it. It stays open
  // until the process ends.
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  CHECK(fd >= 0 &&
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) == 0);
  const sockaddr_in any = *ParseSocketAddress("127.0.0.1:0");
  CHECK(bind(fd, reinterpret_cast<const sockaddr*>(&any), sizeof(any)) == 0);
  return AddressOf(fd);
}

}  // namespace tamaracktrail
