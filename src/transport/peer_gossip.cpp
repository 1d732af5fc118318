#include "transport/peer_gossip.h"

#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>
#include <variant>

#include "state/bounded_input_archive.h"
#include "transport/socket_address.h"

namespace tamaracktrail {

namespace {

//! Size limit of a report, below the largest UDP payload over IPv4, which is
//! 65,507 bytes. It has room for several hundred endpoints.
constexpr size_t kMaxReportBytes = 60000;

//! Reports received per wake-up, and bytes after which no other one is; the
//! rest wait for the next wake-up.
constexpr int kReportsPerWakeUp = 64;
constexpr size_t kBytesPerWakeUp = 64 * 1024;

using Datagram = std::variant<PeerGossip::Report, LendingMessage>;

std::string Encode(const Datagram& datagram) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(datagram);
  return out.str();
}

}  // namespace

PeerGossip::PeerGossip(EventLoop* loop,
                       int fd,
                       OnReport on_report,
                       OnLending on_lending)
    : loop_(loop),
      fd_(fd),
      on_report_(std::move(on_report)),
      on_lending_(std::move(on_lending)) {
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
  const std::string bytes = Encode(report);
  if (bytes.size() > kMaxReportBytes) {
    return false;
  }
  for (const std::string& it : peers_) {
    SendBytes(it, bytes);
  }
  return true;
}

void PeerGossip::SendTo(const std::string& address,
                        const LendingMessage& message) {
  SendBytes(address, Encode(message));
}

void PeerGossip::SendBytes(const std::string& address,
                           const std::string& bytes) {
  const auto parsed = ParseSocketAddress(address);
  if (parsed.ok()) {
    sendto(fd_, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&*parsed), sizeof(*parsed));
  }
}

void PeerGossip::OnReady(uint32_t) {
  loop_->SetTurnOwner("datagram", {});
  std::array<char, 65536> buf;
  size_t received = 0;
  for (int i = 0; i < kReportsPerWakeUp && received < kBytesPerWakeUp; ++i) {
    const ssize_t n = recv(fd_, buf.data(), buf.size(), 0);
    if (n <= 0) {
      return;
    }
    received += static_cast<size_t>(n);
    Datagram datagram;
    try {
      BoundedInputArchive archive({buf.data(), static_cast<size_t>(n)});
      archive(datagram);
    } catch (const std::exception&) {
      // The datagram does not come from an instance of this release.
      continue;
    }
    if (const auto* report = std::get_if<Report>(&datagram)) {
      on_report_(*report);
    } else {
      on_lending_(std::get<LendingMessage>(datagram));
    }
  }
}

}  // namespace tamaracktrail
