#ifndef REVIEW_STANDINS_2_NET_H_
#define REVIEW_STANDINS_2_NET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <strings.h>
#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Sockets and HTTP/1.1 for the stand-ins: blocking, one thread a connection.

namespace review {

//! Milliseconds on the steady clock since the program started.
inline int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

inline void SleepMs(int64_t ms) {
  if (ms > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
  }
}

inline void SleepUntil(int64_t at_ms) {
  SleepMs(at_ms - NowMs());
}

struct CaseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

//! Listens on a port of 127.0.0.1; port 0 chooses a free one.
inline int ListenOn(int* port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = Loopback(*port);
  socklen_t n = sizeof(address);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), n) != 0 ||
      listen(fd, 1024) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n) != 0) {
    throw CaseError("cannot listen on a loopback port");
  }
  *port = ntohs(address.sin_port);
  return fd;
}

//! Returns ports that are free for TCP and UDP now, below those that the system
//! gives to outgoing connections. They are reserved together, so that they
//! differ.
inline std::vector<int> FreePorts(size_t count) {
  static std::mt19937 random{std::random_device()()};
  std::uniform_int_distribution<int> any(12000, 31999);
  std::vector<int> fds, ports;
  while (ports.size() < count) {
    const int port = any(random);
    const sockaddr_in address = Loopback(port);
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    fds.insert(fds.end(), {tcp, udp});
    const auto* const bytes = reinterpret_cast<const sockaddr*>(&address);
    if (bind(tcp, bytes, sizeof(address)) == 0 &&
        bind(udp, bytes, sizeof(address)) == 0) {
      ports.push_back(port);
    }
  }
  for (const int it : fds) {
    close(it);
  }
  return ports;
}

inline std::string AddressOf(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

//! Header fields of a message; names compare without case.
struct Fields {
  std::vector<std::pair<std::string, std::string>> all;

  std::string Get(const std::string& name) const {
    for (const auto& [key, value] : all) {
      if (strcasecmp(key.c_str(), name.c_str()) == 0) {
        return value;
      }
    }
    return "";
  }
  bool Has(const std::string& name) const {
    return std::any_of(all.begin(), all.end(), [&](const auto& it) {
      return strcasecmp(it.first.c_str(), name.c_str()) == 0;
    });
  }
};

struct Request {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
};

struct Response {
  int status = 0;  //!< 0: no head was received.
  Fields fields;
  std::string body;
  int64_t head_at = 0;    //!< When its head was complete, as of NowMs().
  bool complete = false;  //!< As far as its framing tells.
  std::string end;        //!< How it ended: answer, closed, reset, timeout.
};

//! One connected socket.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() { Close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  //! Connects to a port of 127.0.0.1; nullptr if that is refused.
  static std::unique_ptr<Connection> To(int port) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    if (fd < 0) {
      return nullptr;
    }
    if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
      close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }

  bool Write(const std::string& bytes) {
    size_t sent = 0;
    while (sent < bytes.size()) {
      const ssize_t n =
          send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      sent += static_cast<size_t>(n);
    }
    return true;
  }

  //! Reads a request. Returns false when the connection has ended.
  bool ReadRequest(Request* request) {
    std::string head;
    if (!ReadHead(&head, -1)) {
      return false;
    }
    std::string line;
    ParseHead(head, &line, &request->fields);
    const size_t a = line.find(' ');
    const size_t b = line.rfind(' ');
    if (a == std::string::npos || a == b) {
      return false;
    }
    request->method = line.substr(0, a);
    request->target = line.substr(a + 1, b - a - 1);
    request->body.clear();
    return ReadBody(request->fields, false, &request->body, -1) == kDone;
  }

  //! Reads a response until `until_ms` of NowMs().
  Response ReadResponse(int64_t until_ms) {
    Response response;
    std::string head;
    if (!ReadHead(&head, until_ms)) {
      response.end = end_;
      return response;
    }
    response.head_at = NowMs();
    std::string line;
    ParseHead(head, &line, &response.fields);
    response.status = std::atoi(line.substr(line.find(' ') + 1).c_str());
    const Result result =
        ReadBody(response.fields, true, &response.body, until_ms);
    response.complete = result == kDone;
    response.end = result == kDone ? "answer" : end_;
    return response;
  }

  //! Whether the other side has closed the connection.
  bool PeerClosed() {
    pollfd it{fd_, POLLIN, 0};
    char byte = 0;
    return poll(&it, 1, 0) > 0 &&
           recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
  }

  //! Makes the other side see a reset.
  void Reset() {
    const linger option{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    Close();
  }
  //! Ends both directions; a thread that reads wakes up.
  void Shutdown() {
    if (fd_ >= 0) {
      shutdown(fd_, SHUT_RDWR);
    }
  }
  void Close() {
    if (fd_ >= 0) {
      close(fd_);
      fd_ = -1;
    }
  }

 private:
  enum Result { kDone, kEnded };

  bool Fill(int64_t until_ms) {
    if (until_ms >= 0) {
      pollfd it{fd_, POLLIN, 0};
      const int64_t left = std::max<int64_t>(0, until_ms - NowMs());
      if (poll(&it, 1, static_cast<int>(left)) <= 0) {
        end_ = "timeout";
        return false;
      }
    }
    char buf[65536];
    const ssize_t n = recv(fd_, buf, sizeof(buf), 0);
    if (n <= 0) {
      end_ = n == 0 ? "closed" : "reset";
      return false;
    }
    input_.append(buf, static_cast<size_t>(n));
    return true;
  }

  bool ReadHead(std::string* head, int64_t until_ms) {
    size_t end = 0;
    while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(until_ms)) {
        return false;
      }
    }
    *head = input_.substr(0, end + 2);
    input_.erase(0, end + 4);
    return true;
  }

  static void ParseHead(const std::string& head,
                        std::string* line,
                        Fields* fields) {
    fields->all.clear();
    size_t at = head.find("\r\n");
    *line = head.substr(0, at);
    for (at += 2; at < head.size();) {
      const size_t end = head.find("\r\n", at);
      const std::string field = head.substr(at, end - at);
      const size_t colon = field.find(':');
      if (colon != std::string::npos) {
        const size_t value = field.find_first_not_of(" \t", colon + 1);
        fields->all.emplace_back(
            field.substr(0, colon),
            value == std::string::npos ? "" : field.substr(value));
      }
      at = end + 2;
    }
  }

  Result ReadBody(const Fields& fields,
                  bool until_end,
                  std::string* body,
                  int64_t until_ms) {
    if (strcasecmp(fields.Get("Transfer-Encoding").c_str(), "chunked") == 0) {
      while (true) {
        size_t end = 0;
        while ((end = input_.find("\r\n")) == std::string::npos) {
          if (!Fill(until_ms)) {
            return kEnded;
          }
        }
        const size_t n = std::strtoul(input_.c_str(), nullptr, 16);
        while (input_.size() < end + 2 + n + 2) {
          if (!Fill(until_ms)) {
            body->append(input_.substr(std::min(input_.size(), end + 2)));
            return kEnded;
          }
        }
        body->append(input_, end + 2, n);
        input_.erase(0, end + 2 + n + 2);
        if (n == 0) {
          return kDone;
        }
      }
    }
    if (fields.Has("Content-Length") || !until_end) {
      const size_t n =
          std::strtoul(fields.Get("Content-Length").c_str(), nullptr, 10);
      while (input_.size() < n) {
        if (!Fill(until_ms)) {
          *body = input_;
          return kEnded;
        }
      }
      *body = input_.substr(0, n);
      input_.erase(0, n);
      return kDone;
    }
    while (Fill(until_ms)) {
    }
    *body = input_;
    return end_ == "closed" ? kDone : kEnded;
  }

  int fd_;
  std::string input_;
  std::string end_ = "closed";
};

//! Accepts connections on a port of 127.0.0.1 and runs a handler for each in
//! its own thread.
class Server {
 public:
  using Handler = std::function<void(Connection&)>;

  explicit Server(Handler handler, int port = 0)
      : handler_(std::move(handler)), port_(port) {
    fd_ = ListenOn(&port_);
    accepting_ = std::thread([this] { Accept(); });
  }
  ~Server() { Stop(); }

  int port() const { return port_; }

  //! Stops listening and ends all connections: like a process that exits.
  void Stop() {
    if (stopped_.exchange(true)) {
      return;
    }
    shutdown(fd_, SHUT_RDWR);
    accepting_.join();
    close(fd_);
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      for (Connection* it : open_) {
        it->Shutdown();
      }
    }
    for (std::thread& it : threads_) {
      it.join();
    }
  }
  bool stopped() const { return stopped_; }

 private:
  void Accept() {
    while (!stopped_) {
      const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (stopped_) {
          return;
        }
        SleepMs(5);
        continue;
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      threads_.emplace_back([this, fd] {
        Connection connection(fd);
        {
          const std::lock_guard<std::mutex> guard(mutex_);
          open_.insert(&connection);
        }
        if (!stopped_) {
          handler_(connection);
        }
        const std::lock_guard<std::mutex> guard(mutex_);
        open_.erase(&connection);
      });
    }
  }

  Handler handler_;
  int port_;
  int fd_ = -1;
  std::atomic<bool> stopped_{false};
  std::thread accepting_;
  std::mutex mutex_;
  std::set<Connection*> open_;
  std::vector<std::thread> threads_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_NET_H_
