#include "support/loopback.h"

#include <glog/logging.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "absl/strings/str_cat.h"
#include "transport/socket_address.h"

namespace tamaracktrail {

std::pair<int, std::string> ListenOnFreePort() {
  const auto fd = ListenTcp("127.0.0.1:0");
  CHECK(fd.ok()) << fd.status();
  sockaddr_in bound{};
  socklen_t n = sizeof(bound);
  getsockname(*fd, reinterpret_cast<sockaddr*>(&bound), &n);
  return {*fd, absl::StrCat("127.0.0.1:", ntohs(bound.sin_port))};
}

std::string FreeAddress() {
  const auto [fd, address] = ListenOnFreePort();
  close(fd);
  return address;
}

}  // namespace tamaracktrail
