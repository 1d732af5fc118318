#include "transport/peer_gossip.h"

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

#include "transport/socket_address.h"

namespace tamaracktrail {

namespace {

//! Size limit of a report, below the largest UDP payload over IPv4, which is
//! 65,507 bytes. It has room for several hundred endpoints.
constexpr size_t kMaxReportBytes = 60000;

//! Reports received per wake-up; the rest wait for the next one.
constexpr int kReportsPerWakeUp = 64;

}  // namespace

PeerGossip::PeerGossip(EventLoop* loop, int fd, OnReport on_report)
    : loop_(loop), fd_(fd), on_report_(std::move(on_report)) {
  loop_->Watch(fd_, EPOLLIN, this);
}

PeerGossip::~PeerGossip() {
  loop_->Unwatch(fd_);
  close(fd_);
}

void PeerGossip::SetPeers(const std::vector<std::string>& addresses) {
  peers_ = addresses;
}

bool PeerGossip::Send(const Report& report) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(report);
  const std::string bytes = out.str();
  if (bytes.size() > kMaxReportBytes) {
    return false;
  }
  for (const std::string& it : peers_) {
    const auto address = ParseSocketAddress(it);
    if (address.ok()) {
      sendto(fd_, bytes.data(), bytes.size(), 0,
             reinterpret_cast<const sockaddr*>(&*address), sizeof(*address));
    }
  }
  return true;
}

void PeerGossip::OnReady(uint32_t) {
  std::array<char, 65536> buf;
  for (int i = 0; i < kReportsPerWakeUp; ++i) {
    const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
    if (n <= 0) {
      return;
    }
    Report report;
    try {
      std::istringstream in(std::string(buf.data(), static_cast<size_t>(n)));
      cereal::PortableBinaryInputArchive archive(in);
      archive(report);
    } catch (const std::exception&) {
      // The datagram does not come from an instance of this release.
      continue;
    }
    on_report_(report);
  }
}

}  // namespace tamaracktrail
