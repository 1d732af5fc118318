// Sockets and HTTP/1.1 messages for the stand-ins. Blocking, one thread per
// connection.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <map>
#include <string>
#include <vector>

namespace standin {

inline int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline sockaddr_in Loopback(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(static_cast<uint16_t>(port));
  return a;
}

// Listens on 127.0.0.1; port 0 chooses a free one. Returns -1 on failure.
inline int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in a = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int PortOf(int fd) {
  sockaddr_in a{};
  socklen_t n = sizeof a;
  getsockname(fd, reinterpret_cast<sockaddr*>(&a), &n);
  return ntohs(a.sin_port);
}

// A port that is free for TCP and UDP at the moment. It lies below the range
// from which the kernel takes the ports of outgoing connections.
inline int FreePort() {
  static int next = 20000 + static_cast<int>(getpid() % 400) * 25;
  while (true) {
    const int port = next++;
    const int tcp = Listen(port);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in a = Loopback(port);
    const bool ok = tcp >= 0 && bind(udp, reinterpret_cast<const sockaddr*>(&a),
                                     sizeof a) == 0;
    if (tcp >= 0) {
      close(tcp);
    }
    close(udp);
    if (ok) {
      return port;
    }
    if (next >= 32000) {
      next = 20000;
    }
  }
}

inline int Connect(int port, int timeout_ms = 1000, int receive_buffer = 0) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (receive_buffer > 0) {
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
               sizeof receive_buffer);
  }
  const timeval limit{timeout_ms / 1000, timeout_ms % 1000 * 1000};
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in a = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0) {
    close(fd);
    return -1;
  }
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  size_t at = 0;
  while (at < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    at += static_cast<size_t>(n);
  }
  return true;
}

enum class Got { kData, kEnd, kReset, kTimeout };

// Reads what is there, at most `limit` bytes; waits until `deadline_ms`.
inline Got ReadSome(int fd,
                    std::string* buf,
                    int64_t deadline_ms,
                    size_t limit = 65536) {
  pollfd p{fd, POLLIN, 0};
  const int64_t wait = std::max<int64_t>(0, deadline_ms - NowMs());
  if (poll(&p, 1, static_cast<int>(wait)) <= 0) {
    return Got::kTimeout;
  }
  std::vector<char> chunk(limit);
  const ssize_t n = recv(fd, chunk.data(), chunk.size(), 0);
  if (n > 0) {
    buf->append(chunk.data(), static_cast<size_t>(n));
    return Got::kData;
  }
  return n == 0 ? Got::kEnd : Got::kReset;
}

struct Message {
  std::string start;  // Request line or status line.
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;

  std::string Field(const std::string& name) const {
    for (const auto& [key, value] : fields) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  std::string Word(int i) const {
    size_t at = 0;
    for (; i > 0; --i) {
      at = start.find(' ', at);
      if (at == std::string::npos) {
        return "";
      }
      ++at;
    }
    return start.substr(at, start.find(' ', at) - at);
  }
  int status() const { return atoi(Word(1).c_str()); }
};

inline bool ParseHead(const std::string& head, Message* m) {
  size_t at = 0;
  bool first = true;
  while (at < head.size()) {
    const size_t end = head.find("\r\n", at);
    if (end == std::string::npos || end == at) {
      break;
    }
    const std::string line = head.substr(at, end - at);
    if (first) {
      m->start = line;
      first = false;
    } else {
      const size_t colon = line.find(':');
      if (colon == std::string::npos) {
        return false;
      }
      size_t v = colon + 1;
      while (v < line.size() && line[v] == ' ') {
        ++v;
      }
      m->fields.emplace_back(line.substr(0, colon), line.substr(v));
    }
    at = end + 2;
  }
  return !first;
}

// How an answer ended, as a client sees it.
enum class End {
  kComplete,   // Its length or its last chunk was reached.
  kClosed,     // No length, no chunks: ended by an orderly close.
  kTruncated,  // Closed before its length or its last chunk was reached.
  kReset,
  kTimeout,
  kNone,  // Closed, or reset, before a head.
};

inline const char* Name(End end) {
  switch (end) {
    case End::kComplete:
      return "complete";
    case End::kClosed:
      return "closed-in-order";
    case End::kTruncated:
      return "truncated";
    case End::kReset:
      return "reset";
    case End::kTimeout:
      return "timeout";
    default:
      return "no-answer";
  }
}

struct Answer {
  Message message;
  End end = End::kNone;
  bool chunked = false;
  bool has_length = false;
  bool close = false;
  int64_t ended_at = 0;
  int status() const { return message.status(); }
};

// Reads one answer to its end.
inline Answer ReadAnswer(int fd, std::string* buf, int64_t deadline_ms) {
  Answer a;
  size_t head_end;
  while ((head_end = buf->find("\r\n\r\n")) == std::string::npos) {
    const Got got = ReadSome(fd, buf, deadline_ms);
    if (got != Got::kData) {
      a.end = got == Got::kTimeout ? End::kTimeout : End::kNone;
      a.ended_at = NowMs();
      return a;
    }
  }
  ParseHead(buf->substr(0, head_end + 4), &a.message);
  buf->erase(0, head_end + 4);
  a.chunked = a.message.Field("Transfer-Encoding") == "chunked";
  const std::string length = a.message.Field("Content-Length");
  a.has_length = !length.empty();
  a.close = strcasecmp(a.message.Field("Connection").c_str(), "close") == 0;
  auto more = [&]() -> bool {
    const Got got = ReadSome(fd, buf, deadline_ms);
    if (got == Got::kData) {
      return true;
    }
    a.end = got == Got::kReset          ? End::kReset
            : got == Got::kTimeout      ? End::kTimeout
            : a.chunked || a.has_length ? End::kTruncated
                                        : End::kClosed;
    return false;
  };
  if (a.chunked) {
    while (true) {
      size_t eol;
      while ((eol = buf->find("\r\n")) == std::string::npos) {
        if (!more()) {
          a.ended_at = NowMs();
          return a;
        }
      }
      const size_t n = strtoul(buf->c_str(), nullptr, 16);
      while (buf->size() < eol + 2 + n + 2) {
        if (!more()) {
          // The bytes of the open chunk are the caller's, too.
          if (buf->size() > eol + 2) {
            a.message.body += buf->substr(eol + 2, n);
          }
          a.ended_at = NowMs();
          return a;
        }
      }
      a.message.body += buf->substr(eol + 2, n);
      buf->erase(0, eol + 2 + n + 2);
      if (n == 0) {
        a.end = End::kComplete;
        a.ended_at = NowMs();
        return a;
      }
    }
  }
  const size_t want =
      a.has_length ? strtoul(length.c_str(), nullptr, 10) : std::string::npos;
  while (buf->size() < want) {
    if (!more()) {
      a.message.body = *buf;
      buf->clear();
      a.ended_at = NowMs();
      return a;
    }
  }
  a.message.body = buf->substr(0, want);
  buf->erase(0, want);
  a.end = End::kComplete;
  a.ended_at = NowMs();
  return a;
}

// Reads one request with its body (a length or chunks). False: none came.
inline bool ReadRequest(int fd,
                        std::string* buf,
                        int64_t deadline_ms,
                        Message* m) {
  size_t head_end;
  while ((head_end = buf->find("\r\n\r\n")) == std::string::npos) {
    if (ReadSome(fd, buf, deadline_ms) != Got::kData) {
      return false;
    }
  }
  if (!ParseHead(buf->substr(0, head_end + 4), m)) {
    return false;
  }
  buf->erase(0, head_end + 4);
  const size_t n = strtoul(m->Field("Content-Length").c_str(), nullptr, 10);
  while (buf->size() < n) {
    if (ReadSome(fd, buf, deadline_ms) != Got::kData) {
      return false;
    }
  }
  m->body = buf->substr(0, n);
  buf->erase(0, n);
  return true;
}

}  // namespace standin
