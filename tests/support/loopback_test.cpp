#include "support/loopback.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "transport/socket_address.h"

namespace tamaracktrail {
namespace {

TEST(LoopbackTest, FreeAddressIsReservedForListeners) {
  const std::string address = FreeAddress();
  const sockaddr_in wanted = *ParseSocketAddress(address);
  const int other = socket(AF_INET, SOCK_STREAM, 0);
  EXPECT_NE(
      bind(other, reinterpret_cast<const sockaddr*>(&wanted), sizeof(wanted)),
      0);
  close(other);
  for (int i = 0; i < 2; ++i) {
    const auto fd = ListenTcp(address);
    ASSERT_TRUE(fd.ok()) << fd.status();
    close(*fd);
  }
}

}  // namespace
}  // namespace tamaracktrail
