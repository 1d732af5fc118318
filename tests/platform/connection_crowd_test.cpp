//! Guards against callers that end an instance by what it holds for their
//! connections, or keep everyone else out: one test for each pattern, against
//! one instance as a real process.
//!
//! The limits are lowered, so that a small crowd shows the fault. Checked are
//! the life of the process, its peak of resident memory, what the kernel holds
//! for its connections, its open descriptors and an ordinary request while the
//! crowd is still connected; no times.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>
#include <string>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "platform/front_fixture.h"
#include "soak/instance_process.h"
#include "transport/socket_address.h"

namespace tamaracktrail {
namespace {

constexpr size_t kKibibyte = 1024;
constexpr size_t kMebibyte = 1024 * kKibibyte;

//! Largest body of a request that the configuration of these tests permits.
constexpr size_t kMaxBodyBytes = kMebibyte;
constexpr uint32_t kMaxHeaderBytes = 16 * kKibibyte;

//! Bounds on the process. It has 1,024 descriptors by its settings.
constexpr int64_t kMaxResidentKib = 64 * 1024;
constexpr int kMaxDescriptors = 800;
//! Bytes that the kernel holds for the process's connections, received and not
//! read or written and not acknowledged. They count on the machine.
constexpr int64_t kMaxQueuedKib = 32 * 1024;

constexpr Millis kPumpInterval{5};
constexpr Millis kSampleInterval{50};
//! The crowd has sent what it can once nothing was sent for this time.
constexpr Millis kQuietTime{400};
//! Longest time for which the crowd sends, and longest duration of a test.
constexpr Millis kMaxSendTime{8000};
constexpr Millis kMaxTestTime{20000};

//! An ordinary request that is not answered in order is sent again.
constexpr int kMaxTries = 8;
constexpr Millis kTryInterval{400};
constexpr Millis kTryTimeout{1500};

enum class Listener { kCallers, kHealth, kPeers, kMetrics };

constexpr Listener kAllListeners[] = {Listener::kCallers, Listener::kHealth,
                                      Listener::kPeers, Listener::kMetrics};

//! What each connection of a crowd sends.
struct Shape {
  const char* name;
  int connections;
  std::string bytes;
  //! Bytes that one connection sends at most within kPumpInterval.
  size_t piece = kMebibyte;
  std::vector<Listener> listeners = {Listener::kCallers};
  size_t answer_bytes = 4;  //!< Of each answer of the endpoints.
  //! From the end of sending to the ordinary requests, for a crowd whose
  //! requests take the process longer than their arrival.
  Millis settle_time;
};

std::ostream& operator<<(std::ostream& out, const Shape& it) {
  return out << it.name;
}

std::string Head(const std::string& fields) {
  return absl::StrCat(
      "POST /safe/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: crowd\r\n"
      "Authorization: Bearer key-1\r\n",
      fields, "\r\n");
}

std::string Repeat(const std::string& text, size_t times) {
  std::string all;
  all.reserve(text.size() * times);
  for (size_t i = 0; i < times; ++i) {
    all += text;
  }
  return all;
}

//! Chunks of `chunk` bytes with `total` bytes of data, without the last chunk.
std::string Chunked(size_t chunk, size_t total) {
  return Head("Transfer-Encoding: chunked\r\n") +
         Repeat(absl::StrCat(absl::Hex(chunk), "\r\n", std::string(chunk, 'x'),
                             "\r\n"),
                total / chunk);
}

std::string WithLength(size_t announced, size_t sent) {
  return Head(absl::StrCat("Content-Length: ", announced, "\r\n")) +
         std::string(sent, 'x');
}

//! Requests that are answered with a copy of their 8 KiB id.
std::string EchoedRequests(size_t n) {
  return Repeat(absl::StrCat("GET /none HTTP/1.1\r\nHost: h\r\nX-Request-Id: ",
                             std::string(8 * kKibibyte, 'i'), "\r\n\r\n"),
                n);
}

std::vector<Shape> Shapes() {
  const size_t almost = kMaxBodyBytes - 1;
  const std::vector<Listener> inner = {Listener::kHealth, Listener::kPeers,
                                       Listener::kMetrics};
  const std::string page = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
  return {
      {"LargeChunksThatStop", 200, Chunked(60 * kKibibyte, almost)},
      {"SmallChunksThatStop", 200, Chunked(16, almost)},
      {"OverTheLimitAnnounced", 200, WithLength(64 * kMebibyte, 2 * kMebibyte)},
      {"OverTheLimitInChunks", 200, Chunked(60 * kKibibyte, 3 * kMebibyte)},
      {"AllButTheLastByte", 200, WithLength(kMaxBodyBytes, almost)},
      {"PieceByPiece", 200, WithLength(kMaxBodyBytes, almost), 16 * kKibibyte},
      {"HeadsThatNeverEnd", 300,
       "GET / HTTP/1.1\r\nHost: h\r\n" + Repeat("X-A: x\r\n", 64 * kKibibyte)},
      {"PipelinedWithUnreadAnswers",
       60,
       EchoedRequests(250),
       kMebibyte,
       {Listener::kCallers},
       4,
       Millis(2000)},
      {"UnreadAnswers",
       250,
       Head("Content-Length: 0\r\n"),
       kMebibyte,
       {Listener::kCallers},
       512 * kKibibyte},
      {"LeftOpen", 400, ""},
      {"LeftOpenAtAllListeners",
       400,
       "",
       kMebibyte,
       {std::begin(kAllListeners), std::end(kAllListeners)}},
      {"LargeBodiesAtInnerListeners", 60, WithLength(4 * kMebibyte, kMebibyte),
       kMebibyte, inner},
      {"ChunksAtInnerListeners", 60, Chunked(60 * kKibibyte, kMebibyte),
       kMebibyte, inner},
      {"PipelinedAtInnerListeners", 60, Repeat(page, 3000), kMebibyte, inner, 4,
       Millis(2000)}};
}

//! A connection that sends and never reads. Its receive buffer is small, so
//! that unread answers wait in the instance.
class Sender {
 public:
  Sender(const std::string& address, const std::string* bytes) : bytes_(bytes) {
    const int small = 4096;
    const sockaddr_in to = *ParseSocketAddress(address);
    fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(fd_, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    const int ec =
        connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
    failed_ = ec != 0 && errno != EINPROGRESS;
  }
  ~Sender() { close(fd_); }
  Sender(const Sender&) = delete;
  Sender& operator=(const Sender&) = delete;

  //! Sends at most `piece` bytes. Returns their number.
  size_t Send(size_t piece) {
    const size_t n = std::min(piece, bytes_->size() - sent_);
    const ssize_t done =
        n == 0 ? 0 : send(fd_, bytes_->data() + sent_, n, MSG_NOSIGNAL);
    if (done < 0) {
      failed_ = failed_ || (errno != EAGAIN && errno != ENOTCONN);
      return 0;
    }
    sent_ += static_cast<size_t>(done);
    return static_cast<size_t>(done);
  }

  size_t sent() const { return sent_; }
  bool over() const { return failed_ || sent_ == bytes_->size(); }

 private:
  const std::string* bytes_;
  int fd_;
  size_t sent_ = 0;
  bool failed_ = false;
};

class ConnectionCrowdTest : public FrontTest,
                            public testing::WithParamInterface<Shape> {
 protected:
  ConnectionCrowdTest()
      : folder_(absl::StrCat(testing::TempDir(), "/crowd-", getpid())) {
    std::filesystem::create_directories(folder_);
    process_ = std::make_unique<InstanceProcess>(&loop_, PROGRAM, folder_,
                                                 "node-1", store_.address());
    process_->AddSettings("[limits]\nmemory_mb = 96\n");
    settings_.callers_address = process_->callers_address();
    settings_.health_address = process_->health_address();
    nlohmann::json config = nlohmann::json::parse(SampleConfig(2, 1000000));
    config["limits"] = {{"max_header_bytes", kMaxHeaderBytes},
                        {"max_body_bytes", kMaxBodyBytes},
                        {"header_timeout_ms", 3000},
                        {"idle_timeout_ms", 15000}};
    for (nlohmann::json& it : config["services"]) {
      it["connection_limit"] = 1000;
    }
    store_.Put(platform::kOperatorTopic, platform::kConfigKey, config.dump());
  }
  ~ConnectionCrowdTest() override {
    crowd_.clear();
    process_.reset();
    std::filesystem::remove_all(folder_);
  }

  const std::string& AddressOf(Listener listener) const {
    switch (listener) {
      case Listener::kHealth:
        return process_->health_address();
      case Listener::kPeers:
        return process_->peers_address();
      case Listener::kMetrics:
        return process_->metrics_address();
      case Listener::kCallers:
        break;
    }
    return process_->callers_address();
  }

  static std::string OrdinaryRequest(Listener listener, int number) {
    switch (listener) {
      case Listener::kHealth:
        return ReadinessRequest();
      case Listener::kPeers:
        return "GET /config HTTP/1.1\r\nHost: x\r\n\r\n";
      case Listener::kMetrics:
        return "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
      case Listener::kCallers:
        break;
    }
    return SampleRequest("safe", absl::StrCat("ordinary-", number));
  }

  //! A field of /proc/PID/status, in KiB; 0 if the process is gone.
  int64_t StatusField(const std::string& name) const {
    std::ifstream in(absl::StrCat("/proc/", process_->pid(), "/status"));
    int64_t value = 0;
    for (std::string word; in >> word;) {
      if (word == name + ":") {
        in >> value;
        break;
      }
    }
    return value;
  }

  int CountDescriptors() const {
    std::error_code ec;
    const std::filesystem::directory_iterator all(
        absl::StrCat("/proc/", process_->pid(), "/fd"), ec);
    return ec ? 0 : static_cast<int>(std::distance(begin(all), end(all)));
  }

  //! Bytes in the queues of the kernel for the sockets at the listeners'
  //! addresses, in KiB.
  int64_t QueuedKib() const {
    std::vector<std::string> ports;
    for (const Listener it : kAllListeners) {
      const sockaddr_in address = *ParseSocketAddress(AddressOf(it));
      ports.push_back(absl::StrCat(
          ":", absl::Hex(ntohs(address.sin_port), absl::kZeroPad4)));
    }
    for (std::string& it : ports) {
      absl::AsciiStrToUpper(&it);
    }
    std::ifstream in("/proc/net/tcp");
    std::string line;
    std::getline(in, line);
    int64_t bytes = 0;
    while (std::getline(in, line)) {
      std::istringstream words(line);
      std::string number;
      std::string local;
      std::string remote;
      std::string state;
      std::string queues;
      words >> number >> local >> remote >> state >> queues;
      constexpr char kListening[] = "0A";
      const std::string port = local.substr(std::min<size_t>(8, local.size()));
      if (state != kListening &&
          std::find(ports.begin(), ports.end(), port) != ports.end() &&
          queues.size() == 17) {
        bytes += std::stoll(queues.substr(0, 8), nullptr, 16) +
                 std::stoll(queues.substr(9), nullptr, 16);
      }
    }
    return bytes / static_cast<int64_t>(kKibibyte);
  }

  void Sample() {
    max_descriptors_ = std::max(max_descriptors_, CountDescriptors());
    max_queued_kib_ = std::max(max_queued_kib_, QueuedKib());
    loop_.After(kSampleInterval, [this] { Sample(); });
  }

  void Connect(const Shape& shape) {
    for (const Listener it : shape.listeners) {
      for (int i = 0; i < shape.connections; ++i) {
        crowd_.push_back(std::make_unique<Sender>(AddressOf(it), &shape.bytes));
      }
    }
    connected_at_ = last_sent_at_ = loop_.Now();
  }

  //! Sends for the crowd, then calls `then`.
  void Pump(const Shape& shape, const std::function<void()>& then) {
    const Millis now = loop_.Now();
    for (const auto& it : crowd_) {
      if (it->Send(shape.piece) > 0) {
        last_sent_at_ = now;
      }
    }
    const bool over = std::all_of(crowd_.begin(), crowd_.end(),
                                  [](const auto& it) { return it->over(); });
    if (now - last_sent_at_ > kQuietTime ||
        now - connected_at_ > kMaxSendTime ||
        (over && now - connected_at_ > kQuietTime)) {
      then();
      return;
    }
    loop_.After(kPumpInterval, [=, this, &shape] { Pump(shape, then); });
  }

  //! Calls `then` once the caller has its answer; without one, the run ends
  //! after kMaxTestTime.
  void AwaitAnswer(Caller* caller, const std::function<void()>& then) {
    constexpr int kMaxPolls = 100000;
    Await([caller] { return caller->finished(); }, then, kMaxPolls);
  }

  //! Sends the head of each connection and the begin of its body. Calls `then`
  //! once all heads were sent.
  void AwaitHeads(const std::function<void()>& then) {
    Await(
        [this] {
          bool all = true;
          for (const auto& it : crowd_) {
            it->Send(4 * kKibibyte);
            all = all && it->sent() >= 4 * kKibibyte;
          }
          return all;
        },
        [=, this] { loop_.After(Millis(50), then); });
  }

  //! Sends an ordinary request to `listener` until it is served.
  void Ask(Listener listener, int tries, const std::function<void()>& then) {
    Caller* caller =
        SendTo(AddressOf(listener), OrdinaryRequest(listener, tries));
    const Millis sent_at = loop_.Now();
    Await(
        [=, this] {
          return caller->finished() || loop_.Now() - sent_at > kTryTimeout;
        },
        [=, this] {
          if (caller->complete() && caller->status() == 200) {
            ++served_;
            then();
          } else if (tries >= kMaxTries) {
            then();
          } else {
            loop_.After(kTryInterval,
                        [=, this] { Ask(listener, tries + 1, then); });
          }
        });
  }

  //! Asks the listeners from `index` on, then ends the run.
  void AskFrom(size_t index) {
    if (index == std::size(kAllListeners)) {
      loop_.Quit();
      return;
    }
    Ask(kAllListeners[index], 1, [=, this] { AskFrom(index + 1); });
  }

  std::string folder_;
  std::unique_ptr<InstanceProcess> process_;
  std::vector<std::unique_ptr<Sender>> crowd_;
  Millis connected_at_;
  Millis last_sent_at_;
  int max_descriptors_ = 0;
  int64_t max_queued_kib_ = 0;
  size_t served_ = 0;
};

TEST_P(ConnectionCrowdTest, LeavesTheInstanceAliveAndOpenToOthers) {
  const Shape& shape = GetParam();
  for (StandInEndpoint* it : {&a_, &b_}) {
    it->behaviour().answer_bytes = shape.answer_bytes;
  }
  process_->Start();
  WhenReady([&] {
    Connect(shape);
    Sample();
    Pump(shape, [&] {
      for (StandInEndpoint* it : {&a_, &b_}) {
        it->behaviour().answer_bytes = 4;
      }
      loop_.After(shape.settle_time, [this] { AskFrom(0); });
    });
  });
  loop_.After(kMaxTestTime, [this] { loop_.Quit(); });
  loop_.Run();
  const bool lives = process_->running();
  const int64_t peak = StatusField("VmHWM");
  std::printf(
      "%s: lives=%d peak_kib=%lld queued_kib=%lld descriptors=%d served=%zu of "
      "4\n",
      shape.name, lives ? 1 : 0, static_cast<long long>(peak),
      static_cast<long long>(max_queued_kib_), max_descriptors_, served_);
  EXPECT_TRUE(lives);
  EXPECT_LE(peak, kMaxResidentKib);
  EXPECT_LE(max_queued_kib_, kMaxQueuedKib);
  EXPECT_LE(max_descriptors_, kMaxDescriptors);
  EXPECT_EQ(served_, std::size(kAllListeners));
}

class LargestBodyTest : public ConnectionCrowdTest {};

// Guards against limits on memory that refuse requests within the configured
// limits although nothing else is held.
TEST_F(LargestBodyTest, IsServedWholeAndInChunks) {
  Caller* whole = nullptr;
  Caller* chunked = nullptr;
  process_->Start();
  WhenReady([&] {
    whole = SendTo(process_->callers_address(),
                   WithLength(kMaxBodyBytes, kMaxBodyBytes));
    AwaitAnswer(whole, [&] {
      chunked = SendTo(process_->callers_address(),
                       Chunked(64, kMaxBodyBytes) + "0\r\n\r\n");
      AwaitAnswer(chunked, [this] { loop_.Quit(); });
    });
  });
  loop_.After(kMaxTestTime, [this] { loop_.Quit(); });
  loop_.Run();
  ASSERT_NE(chunked, nullptr);
  EXPECT_EQ(whole->status(), 200);
  EXPECT_EQ(chunked->status(), 200);
}

// Guards against refusals that don't say that the request hasn't run or when to
// try again.
TEST_F(LargestBodyTest, IsRefusedWithATimeWhileOthersHoldTheMemory) {
  const std::string most = WithLength(kMaxBodyBytes, kMaxBodyBytes - 1);
  Caller* refused = nullptr;
  process_->Start();
  WhenReady([&] {
    // As many as three quarters of the budget hold, and one more.
    for (int i = 0; i < 18; ++i) {
      crowd_.push_back(
          std::make_unique<Sender>(process_->callers_address(), &most));
    }
    connected_at_ = last_sent_at_ = loop_.Now();
    AwaitHeads([&] {
      refused = SendTo(process_->callers_address(),
                       most.substr(0, most.size() - kMaxBodyBytes + 2));
      AwaitAnswer(refused, [this] { loop_.Quit(); });
    });
  });
  loop_.After(kMaxTestTime, [this] { loop_.Quit(); });
  loop_.Run();
  ASSERT_NE(refused, nullptr);
  EXPECT_EQ(refused->status(), 503);
  EXPECT_EQ(refused->answer().fields().Find("Retry-After"), "1");
  EXPECT_TRUE(a_.started_requests().empty());
  EXPECT_TRUE(b_.started_requests().empty());
}

INSTANTIATE_TEST_SUITE_P(Shapes,
                         ConnectionCrowdTest,
                         testing::ValuesIn(Shapes()),
                         [](const auto& it) {
                           return std::string(it.param.name);
                         });

}  // namespace
}  // namespace tamaracktrail
