// Blocking sockets on loopback and a small HTTP/1.1 reader for the stand-ins.
#ifndef REVIEW_STANDINS_3_NET_H_
#define REVIEW_STANDINS_3_NET_H_

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <string>
#include <utility>
#include <vector>

namespace review {

inline long long NowMs() {
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

inline long long UnixMs() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  return now.tv_sec * 1000LL + now.tv_nsec / 1000000;
}

inline void SleepMs(long long ms) {
  if (ms > 0) {
    usleep(static_cast<useconds_t>(ms * 1000));
  }
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

inline std::string AddressOf(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t n = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n);
  return ntohs(address.sin_port);
}

// Listens on a port, 0 for a free one. Returns -1 on failure.
inline int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
          0 ||
      listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) {
      if (n < 0 && errno == EINTR) {
        continue;
      }
      return false;
    }
    at += static_cast<size_t>(n);
  }
  return true;
}

enum class ReadEnd { kData, kEnd, kReset, kTimeout };

// Appends what arrives within `timeout_ms`.
inline ReadEnd ReadSome(int fd, std::string* out, long long timeout_ms) {
  pollfd one{fd, POLLIN, 0};
  const int ready =
      poll(&one, 1, static_cast<int>(timeout_ms < 0 ? 0 : timeout_ms));
  if (ready <= 0) {
    return ReadEnd::kTimeout;
  }
  char buf[16384];
  const ssize_t n = recv(fd, buf, sizeof(buf), 0);
  if (n > 0) {
    out->append(buf, static_cast<size_t>(n));
    return ReadEnd::kData;
  }
  return n == 0 ? ReadEnd::kEnd : ReadEnd::kReset;
}

struct Head {
  std::string start;
  std::vector<std::pair<std::string, std::string>> fields;

  std::string Find(const char* name) const {
    for (const auto& it : fields) {
      if (strcasecmp(it.first.c_str(), name) == 0) {
        return it.second;
      }
    }
    return "";
  }
  int status() const { return start.size() > 12 ? atoi(start.c_str() + 9) : 0; }
};

// Takes a complete head from the front of `buf`.
inline bool TakeHead(std::string* buf, Head* head) {
  const size_t end = buf->find("\r\n\r\n");
  if (end == std::string::npos) {
    return false;
  }
  *head = {};
  size_t at = 0;
  while (at < end + 2) {
    const size_t eol = buf->find("\r\n", at);
    const std::string line = buf->substr(at, eol - at);
    at = eol + 2;
    if (head->start.empty()) {
      head->start = line;
      continue;
    }
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    head->fields.emplace_back(line.substr(0, colon), line.substr(value));
  }
  buf->erase(0, end + 4);
  return true;
}

// Reads a request with a Content-Length or none. False at the connection's end.
inline bool ReadRequest(int fd,
                        std::string* buf,
                        Head* head,
                        std::string* body) {
  while (!TakeHead(buf, head)) {
    if (ReadSome(fd, buf, 3600000) != ReadEnd::kData) {
      return false;
    }
  }
  const size_t n =
      static_cast<size_t>(atoll(head->Find("Content-Length").c_str()));
  while (buf->size() < n) {
    if (ReadSome(fd, buf, 3600000) != ReadEnd::kData) {
      return false;
    }
  }
  *body = buf->substr(0, n);
  buf->erase(0, n);
  return true;
}

}  // namespace review

#endif  // REVIEW_STANDINS_3_NET_H_
