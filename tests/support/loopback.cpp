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
  socklen_t length = sizeof(bound);
  CHECK(getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &length) == 0);
  return absl::StrCat("127.0.0.1:", ntohs(bound.sin_port));
}

}  // namespace

std::pair<int, std::string> ListenOnFreePort() {
  const auto fd = ListenTcp("127.0.0.1:0");
  CHECK(fd.ok()) << fd.status();
  return {*fd, AddressOf(*fd)};
}

std::string FreeAddress() {
  // A socket that is bound but does not listen reserves the port: the kernel
  // does not choose it for outgoing connections, and with SO_REUSEADDR a
  // listener can still bind it. The socket stays open until the process exits.
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enable = 1;
  CHECK(fd >= 0 &&
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable)) == 0);
  const sockaddr_in any_port = *ParseSocketAddress("127.0.0.1:0");
  CHECK(bind(fd, reinterpret_cast<const sockaddr*>(&any_port),
             sizeof(any_port)) == 0);
  return AddressOf(fd);
}

}  // namespace tamaracktrail
