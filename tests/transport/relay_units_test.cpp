#include <gtest/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fcntl.h>

#include <algorithm>
#include <csignal>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "protocol/http_reader.h"
#include "support/caller.h"
#include "support/loopback.h"
#include "transport/event_log.h"
#include "transport/event_loop.h"
#include "transport/loop_turn.h"
#include "transport/metrics.h"
#include "transport/peer_exchange.h"
#include "transport/peer_gossip.h"
#include "transport/relay/caller_connection.h"
#include "transport/relay/caller_request.h"
#include "transport/relay/connection_pool.h"
#include "transport/relay/endpoint_call.h"
#include "transport/relay/fixed_answer_task.h"
#include "transport/relay/http_fetch.h"
#include "transport/relay/relay_server.h"
#include "transport/signal_pipe.h"
#include "transport/socket_address.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {
namespace {

TEST(EventLoopTest, TimersRunInDueOrderUnlessCancelled) {
  EventLoop loop;
  std::vector<int> ran;
  loop.After(Millis(20), [&] { ran.push_back(2); });
  loop.After(Millis(5), [&] { ran.push_back(1); });
  EventLoop::TimerId cancelled =
      loop.After(Millis(10), [&] { ran.push_back(9); });
  loop.Cancel(&cancelled);
  loop.After(Millis(30), [&] { loop.Quit(); });
  loop.Run();
  EXPECT_EQ(ran, (std::vector<int>{1, 2}));
}

// Guards against timers without a delay that keep descriptors from being
// served.
TEST(EventLoopTest, TimerSetByATimerRunsInALaterWakeUp) {
  EventLoop loop;
  const auto [fd, address] = ListenOnFreePort();
  int timers = 0;
  Metrics metrics;
  RelayServer server(
      &loop, fd, 16,
      [&](CallerConnection* connection, const CallerRequest&) {
        return std::make_unique<FixedAnswerTask>(connection, 200, "");
      },
      &metrics);
  Caller caller(&loop, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::function<void()> next = [&] {
    ++timers;
    if (caller.finished() || timers == 1000000) {
      loop.Quit();
    } else {
      loop.After(Millis(0), next);
    }
  };
  next();
  loop.Run();
  EXPECT_EQ(caller.status(), 200);
}

TEST(EventLoopTest, LongWakeUpIsReportedWithItsLongestTurn) {
  EventLoop loop;
  std::vector<LoopTurn> reported;
  loop.ReportSlowWakeUps(Millis(30),
                         [&](Millis duration, const LoopTurn& longest) {
                           EXPECT_GE(duration, longest.duration);
                           reported.push_back(longest);
                           loop.Quit();
                         });
  loop.After(Millis(0), [&] {
    loop.SetTurnOwner("answer", "127.0.0.1:1", "id-1");
    usleep(40000);
  });
  loop.After(Millis(0), [&] {
    loop.SetTurnOwner("caller", "127.0.0.1:2", "id-2");
    usleep(1000);
  });
  loop.Run();
  ASSERT_EQ(reported.size(), 1U);
  EXPECT_EQ(reported[0].source, "answer");
  EXPECT_EQ(reported[0].peer, "127.0.0.1:1");
  EXPECT_EQ(reported[0].request, "id-1");
  EXPECT_GE(reported[0].duration, Millis(39));
  EXPECT_GE(loop.longest_wake_up(), reported[0].duration);
}

// Guards against one caller whose pipelined requests are all served before any
// other connection is.
TEST(RelayServerTest, OnePipelinedRequestIsServedInAWakeUp) {
  constexpr int kRequests = 500;
  EventLoop loop;
  Metrics metrics;
  const auto [fd, address] = ListenOnFreePort();
  int served = 0;
  RelayServer server(
      &loop, fd, 16,
      [&](CallerConnection* connection, const CallerRequest&) {
        ++served;
        return std::make_unique<FixedAnswerTask>(connection, 200, "");
      },
      &metrics);
  std::string requests;
  for (int i = 0; i < kRequests; ++i) {
    requests += "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  }
  Caller caller(&loop, address, requests);
  int most = 0;
  int before = 0;
  const std::function<void()> watch = [&] {
    most = std::max(most, served - before);
    before = served;
    if (served == kRequests) {
      loop.Quit();
    } else {
      loop.After(Millis(0), watch);
    }
  };
  watch();
  loop.After(Millis(5000), [&] { loop.Quit(); });
  loop.Run();
  EXPECT_EQ(served, kRequests);
  EXPECT_LE(most, 2);
}

//! Sends the pieces one after the other, each in a wake-up of its own.
class PieceSender : private TcpStream::Observer {
 public:
  PieceSender(EventLoop* loop,
              const std::string& address,
              std::vector<std::string> pieces)
      : loop_(loop),
        pieces_(std::move(pieces)),
        stream_(*TcpStream::Connect(loop, address, Millis(5000), this)) {}

  const std::string& answers() const { return answers_; }

 private:
  void OnConnected() override { SendNext(); }
  void OnReadable() override {
    if (stream_->Read(&answers_, 65536) == TcpStream::ReadResult::kFailed) {
      loop_->Quit();
    }
  }
  void OnFailed(const absl::Status&) override { loop_->Quit(); }

  void SendNext() {
    if (next_ < pieces_.size()) {
      stream_->Write(pieces_[next_++]);
      stream_->Flush();
      loop_->After(Millis(0), [this] { SendNext(); });
    }
  }

  EventLoop* loop_;
  std::vector<std::string> pieces_;
  size_t next_ = 0;
  std::string answers_;
  std::unique_ptr<TcpStream> stream_;
};

// Guards against requests that are lost or mixed up where a read ends inside of
// one, or holds several.
TEST(RelayServerTest, PipelinedRequestsDoNotDependOnCuts) {
  for (uint64_t seed = 1; seed <= 40; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 random(seed);
    EventLoop loop;
    Metrics metrics;
    const auto [fd, address] = ListenOnFreePort();
    std::string received;
    RelayServer server(
        &loop, fd, 16,
        [&](CallerConnection* connection, const CallerRequest& request) {
          absl::StrAppend(&received, request.target, *request.body, " ");
          return std::make_unique<FixedAnswerTask>(connection, 200, "");
        },
        &metrics);
    std::string sent;
    std::string requests;
    for (int i = 0; i < 30; ++i) {
      const std::string body(random() % 20, 'b');
      absl::StrAppend(&sent, "/", i, body, " ");
      absl::StrAppend(&requests, "POST /", i, " HTTP/1.1\r\nHost: h\r\n");
      if (random() % 2 == 0) {
        absl::StrAppend(&requests, "Content-Length: ", body.size(), "\r\n\r\n",
                        body);
      } else {
        absl::StrAppend(&requests, "Transfer-Encoding: chunked\r\n\r\n");
        for (const char it : body) {
          absl::StrAppend(&requests, "1\r\n", std::string(1, it), "\r\n");
        }
        absl::StrAppend(&requests, "0\r\n\r\n");
      }
    }
    std::vector<std::string> pieces;
    for (size_t at = 0; at < requests.size(); at += pieces.back().size()) {
      pieces.push_back(requests.substr(at, 1 + random() % 200));
    }
    PieceSender sender(&loop, address, pieces);
    loop.After(Millis(3000), [&] { loop.Quit(); });
    const std::function<void()> watch = [&] {
      if (received.size() >= sent.size()) {
        loop.Quit();
      } else {
        loop.After(Millis(1), watch);
      }
    };
    watch();
    loop.Run();
    ASSERT_EQ(received, sent);
  }
}

// Guards against stalled requests, of which a part is buffered, that keep their
// slots for good.
TEST(RelayServerTest, StalledRequestGivesWayToANewConnection) {
  constexpr int kSlots = 16;
  EventLoop loop;
  Metrics metrics;
  const auto listener = ListenOnFreePort();
  RelayServer server(
      &loop, listener.first, kSlots,
      [&](CallerConnection* connection, const CallerRequest&) {
        return std::make_unique<FixedAnswerTask>(connection, 200, "");
      },
      &metrics);
  std::vector<std::unique_ptr<Caller>> stalled;
  for (int i = 0; i < kSlots; ++i) {
    stalled.push_back(
        std::make_unique<Caller>(&loop, listener.second, "GET / HTTP"));
  }
  std::unique_ptr<Caller> caller;
  // Requests without a byte for a second give way.
  loop.After(Millis(1500), [&] {
    caller = std::make_unique<Caller>(&loop, listener.second,
                                      "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  });
  loop.After(Millis(2000), [&] { loop.Quit(); });
  loop.Run();
  EXPECT_EQ(caller->status(), 200);
}

// Guards against a log that stays silent after its buffer was full, and against
// a system call for each line while its reader is behind.
TEST(EventLogTest, GoesOnWhenItsReaderDoes) {
  EventLoop loop;
  int fds[2];
  ASSERT_EQ(pipe2(fds, O_NONBLOCK | O_CLOEXEC), 0);
  EventLog log(&loop, fds[1]);
  const std::string line(1000, 'x');
  while (log.dropped() == 0) {
    log.Write(line);
  }
  // No further line follows that could be written.
  std::string text;
  std::vector<char> buf(64 * 1024);
  const std::function<void()> read_all = [&] {
    ssize_t n = 0;
    while ((n = read(fds[0], buf.data(), buf.size())) > 0) {
      text.append(buf.data(), static_cast<size_t>(n));
    }
    if (text.find("event=log_dropped lines=1") != std::string::npos) {
      loop.Quit();
    } else {
      loop.After(Millis(5), read_all);
    }
  };
  read_all();
  loop.After(Millis(5000), [&] { loop.Quit(); });
  loop.Run();
  EXPECT_NE(text.find("event=log_dropped lines=1"), std::string::npos);
  close(fds[0]);
  close(fds[1]);
}

// Guards against a signal during the exit of the process changing its result.
TEST(SignalPipeTest, SignalsAfterItsEndDoNotEndTheProcess) {
  EventLoop loop;
  {
    SignalPipe signals(&loop, [](int) {});
  }
  EXPECT_EXIT(
      {
        raise(SIGHUP);
        raise(SIGTERM);
        _exit(0);
      },
      testing::ExitedWithCode(0), "");
}

// Guards against a busy loop while no descriptor is left for a new connection.
TEST(RelayServerTest, PausesAcceptingWhileDescriptorsAreUsedUp) {
  EventLoop loop;
  Metrics metrics;
  const auto [fd, address] = ListenOnFreePort();
  RelayServer server(
      &loop, fd, 16,
      [](CallerConnection* connection, const CallerRequest&) {
        return std::make_unique<FixedAnswerTask>(connection, 200, "");
      },
      &metrics);
  Caller caller(&loop, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  const int next_fd = dup(fd);
  close(next_fd);
  const rlimit used_up{static_cast<rlim_t>(next_fd), before.rlim_max};
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &used_up), 0);
  loop.After(Millis(500), [&] { loop.Quit(); });
  loop.Run();
  EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  EXPECT_FALSE(caller.finished());
  int errors = 0;
  const std::string text = metrics.Text();
  const size_t at = text.find("accept_errors_total ");
  ASSERT_NE(at, std::string::npos) << text;
  ASSERT_TRUE(absl::SimpleAtoi(
      text.substr(at + 20, text.find('\n', at) - at - 20), &errors));
  EXPECT_GE(errors, 1);
  // One every 10 ms.
  EXPECT_LE(errors, 51);
  loop.After(Millis(500), [&] { loop.Quit(); });
  loop.Run();
  EXPECT_EQ(caller.status(), 200);
}

// Guards against an exit that discards the end of an answer which a slow caller
// has not read yet.
TEST(RelayServerTest, IsBusyUntilTheAnswerIsSent) {
  EventLoop loop;
  Metrics metrics;
  const auto [fd, address] = ListenOnFreePort();
  const std::string body(32 * 1024 * 1024, 'x');
  RelayServer server(
      &loop, fd, 16,
      [&](CallerConnection* connection, const CallerRequest&) {
        // Counted from the request, which takes longer on a busy machine.
        loop.After(Millis(300), [&] { loop.Quit(); });
        return std::make_unique<FixedAnswerTask>(connection, 200, body);
      },
      &metrics);
  Caller caller(&loop, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  caller.PauseReading(true);
  EventLoop::TimerId give_up = loop.After(Millis(10000), [&] { loop.Quit(); });
  loop.Run();
  loop.Cancel(&give_up);
  ASSERT_EQ(server.connections(), 1U);
  EXPECT_EQ(server.open_requests(), 0U);
  EXPECT_TRUE(server.busy());
  caller.PauseReading(false);
  loop.After(Millis(2000), [&] { loop.Quit(); });
  loop.Run();
  EXPECT_EQ(caller.answer().body().size(), body.size());
  EXPECT_FALSE(server.busy());
}

TEST(EventLogTest, FullPipeNeverBlocksAndDroppedLinesAreCounted) {
  EventLoop loop;
  int fds[2];
  ASSERT_EQ(pipe2(fds, O_NONBLOCK), 0);
  EventLog log(&loop, fds[1]);
  const std::string line(1000, 'x');
  for (int i = 0; i < 2000; ++i) {
    log.Write(line);
  }
  EXPECT_GT(log.dropped(), 0U);
  std::string all;
  std::vector<char> buf(65536);
  // Alternates reads and flushes until the log's whole buffer has passed
  // through the pipe.
  for (int i = 0; i < 1000; ++i) {
    const ssize_t n = read(fds[0], buf.data(), buf.size());
    if (n > 0) {
      all.append(buf.data(), static_cast<size_t>(n));
    }
    log.Flush();
  }
  EXPECT_NE(all.find(absl::StrCat("event=log_dropped lines=", log.dropped())),
            std::string::npos);
  close(fds[0]);
  close(fds[1]);
}

//! Records the result of one exchange and then quits the loop.
class RecordingObserver : public EndpointCall::Observer {
 public:
  explicit RecordingObserver(EventLoop* loop) : loop_(loop) {}

  bool OnAnswerHead(const HttpReader& answer) override {
    return answer.fields().Find("X-Id") == "own";
  }
  void OnAnswerBody(std::string* body) override {
    body_ += *body;
    body->clear();
  }
  void OnAnswerDone() override {
    done_ = true;
    loop_->Quit();
  }
  void OnCallFailed(const absl::Status& status, bool sent) override {
    failed_ = true;
    sent_ = sent;
    status_ = status;
    loop_->Quit();
  }

  EventLoop* loop_;
  std::string body_;
  bool done_ = false;
  bool failed_ = false;
  bool sent_ = false;
  absl::Status status_;
};

//! Answers the first connection with fixed bytes and closes it.
class RawServer : public IoHandler {
 public:
  RawServer(EventLoop* loop, std::string bytes)
      : loop_(loop), bytes_(std::move(bytes)) {
    const auto [fd, address] = ListenOnFreePort();
    fd_ = fd;
    address_ = address;
    loop_->Watch(fd_, 1, this);  // EPOLLIN
  }
  ~RawServer() override {
    loop_->Unwatch(fd_);
    close(fd_);
  }

  void OnReady(uint32_t) override {
    if (peer_ < 0) {
      peer_ = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK);
      loop_->Watch(peer_, 1, this);  // EPOLLIN
      return;
    }
    std::vector<char> buf(4096);
    if (read(peer_, buf.data(), buf.size()) > 0) {
      EXPECT_EQ(write(peer_, bytes_.data(), bytes_.size()),
                static_cast<ssize_t>(bytes_.size()));
    }
    loop_->Unwatch(peer_);
    close(peer_);
    loop_->Unwatch(fd_);
  }

  const std::string& address() const { return address_; }

 private:
  EventLoop* loop_;
  std::string bytes_;
  int fd_ = -1;
  int peer_ = -1;
  std::string address_;
};

struct RawAnswer {
  const char* name;
  const char* bytes;
  bool succeeds;
  const char* body;
  bool kept_alive = false;
};

class EndpointCallTest : public testing::TestWithParam<RawAnswer> {};

TEST_P(EndpointCallTest, OnlyCompleteAnswerToThisRequestSucceeds) {
  EventLoop loop;
  ConnectionPool pool(&loop, [](uint64_t) {});
  RawServer server(&loop, GetParam().bytes);
  RecordingObserver observer(&loop);
  EndpointCall::Options options;
  options.endpoint = 1;
  options.address = server.address();
  options.connect_timeout = Millis(1000);
  options.ack_timeout = Millis(1000);
  options.max_idle = Millis(1000);
  EndpointCall call(&loop, &pool, options, &observer);
  call.Start("GET / HTTP/1.1\r\nHost: x\r\n\r\n",
             std::make_shared<const std::string>());
  loop.Run();
  EXPECT_EQ(observer.done_, GetParam().succeeds);
  EXPECT_NE(observer.failed_, GetParam().succeeds);
  EXPECT_EQ(observer.body_, GetParam().body);
  // Only a connection that carried a complete answer to this request, and no
  // answer to another one, is kept.
  EXPECT_EQ(pool.size(), GetParam().kept_alive ? 1U : 0U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EndpointCallTest,
    testing::Values(
        RawAnswer{"body_until_close", "HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nabc",
                  true, "abc"},
        RawAnswer{"truncated_body",
                  "HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 9\r\n\r\n"
                  "abc",
                  false, "abc"},
        RawAnswer{"empty_chunked_body_cut_in_its_end",
                  "HTTP/1.1 200 OK\r\nX-Id: own\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                  false, ""},
        RawAnswer{"malformed_head", "no answer at all\r\n\r\n", false, ""},
        RawAnswer{"closed_without_answer", "", false, ""},
        RawAnswer{"mismatched_then_own",
                  "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\n"
                  "noHTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\n"
                  "yes",
                  true, "yes"},
        RawAnswer{"mismatched_only",
                  "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\n"
                  "no",
                  false, ""},
        RawAnswer{"interim_then_final",
                  "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n"
                  "X-Id: own\r\nContent-Length: 2\r\n\r\nok",
                  true, "ok", true}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(EndpointCallTest, RefusedConnectionFailsWithNothingSent) {
  EventLoop loop;
  ConnectionPool pool(&loop, [](uint64_t) {});
  RecordingObserver observer(&loop);
  EndpointCall::Options options;
  options.address = FreeAddress();
  options.connect_timeout = Millis(1000);
  options.ack_timeout = Millis(1000);
  EndpointCall call(&loop, &pool, options, &observer);
  call.Start("GET / HTTP/1.1\r\n\r\n", nullptr);
  loop.Run();
  EXPECT_TRUE(observer.failed_);
  EXPECT_FALSE(observer.sent_);
}

TEST(PeerGossipTest, MalformedDatagramIsIgnoredAndOthersArrive) {
  EventLoop loop;
  const std::string address_a = FreeAddress();
  const std::string address_b = FreeAddress();
  std::vector<PeerGossip::Report> received;
  std::vector<LendingMessage> messages;
  PeerGossip a(
      &loop, *BindUdp(address_a), [](const auto&) {}, [](const auto&) {});
  PeerGossip b(
      &loop, *BindUdp(address_b),
      [&](const auto& report) { received.push_back(report); },
      [&](const auto& message) {
        messages.push_back(message);
        loop.Quit();
      });
  const int other = *BindUdp(FreeAddress());
  const auto target = *ParseSocketAddress(address_b);
  ASSERT_EQ(sendto(other, "junk", 4, 0,
                   reinterpret_cast<const sockaddr*>(&target), sizeof(target)),
            4);
  close(other);
  PeerGossip::Report report;
  report.incarnation = 7;
  report.instance = "a";
  report.loads = {{1, {100, 2}}};
  report.crashes = {{5, {6, 7}, 3, 20}};
  report.limits = {{1, 1.5, 20}};
  report.lendable = {{3, 12}};
  a.SetPeers({address_b});
  a.Send(report);
  const TokenLoan loan{"a", 7, address_a, 8, 2, 3, 1, "cedar", 500, 90000};
  a.SendTo(address_b, loan);
  loop.After(Millis(2000), [&] { loop.Quit(); });
  loop.Run();
  ASSERT_EQ(received.size(), 1U);
  EXPECT_EQ(received[0], report);
  ASSERT_EQ(messages.size(), 1U);
  EXPECT_EQ(std::get<TokenLoan>(messages[0]), loan);
}

//! A datagram of a report whose instance name is said to have `n` bytes.
std::string ReportWithNameOf(uint64_t n) {
  std::string bytes = {1, 0, 0, 0, 0};  // Byte order, and the kind of datagram.
  for (const uint64_t it : {uint64_t{7}, n}) {
    for (int shift = 0; shift < 64; shift += 8) {
      bytes.push_back(static_cast<char>(it >> shift));
    }
  }
  return bytes;
}

// Guards against a datagram of 21 bytes that makes the process allocate, and
// fill, as much as it says.
TEST(PeerGossipTest, LengthBeyondTheDatagramIsNotAllocated) {
  const auto receive = [] {
    EventLoop loop;
    const std::string address = FreeAddress();
    PeerGossip gossip(
        &loop, *BindUdp(address), [](const auto&) {}, [](const auto&) {});
    const int other = *BindUdp(FreeAddress());
    const auto target = *ParseSocketAddress(address);
    const std::string bytes = ReportWithNameOf(uint64_t{1} << 30);
    sendto(other, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&target), sizeof(target));
    loop.After(Millis(100), [&] { loop.Quit(); });
    rusage before{};
    rusage after{};
    getrusage(RUSAGE_SELF, &before);
    loop.Run();
    getrusage(RUSAGE_SELF, &after);
    constexpr long kMaxGrowthKb = 64 * 1024;
    _exit(after.ru_maxrss - before.ru_maxrss < kMaxGrowthKb ? 0 : 1);
  };
  EXPECT_EXIT(receive(), testing::ExitedWithCode(0), "");
}

//! Answers with pieces of a body, at an interval; ends the answer after the
//! last one unless it is to stay open.
class PiecesTask : public RequestTask {
 public:
  PiecesTask(EventLoop* loop,
             CallerConnection* connection,
             int pieces,
             bool stays_open)
      : loop_(loop),
        connection_(connection),
        pieces_(pieces),
        stays_open_(stays_open) {}
  ~PiecesTask() override { loop_->Cancel(&timer_); }

  void Start() override {
    AnswerHead head;
    head.status = 200;
    head.reason = "OK";
    connection_->BeginAnswer(head);
    SendNext();
  }
  void OnCallerDrained() override {}

 private:
  void SendNext() {
    if (pieces_ == 0) {
      if (!stays_open_) {
        connection_->EndAnswer();
      }
      return;
    }
    --pieces_;
    connection_->WriteBody("piece,");
    timer_ = loop_->After(Millis(250), [this] { SendNext(); });
  }

  EventLoop* loop_;
  CallerConnection* connection_;
  int pieces_;
  bool stays_open_;
  EventLoop::TimerId timer_{};
};

//! Fetches an answer of `pieces` pieces with a timeout of 400 ms.
absl::StatusOr<HttpFetch::Answer> FetchPieces(int pieces, bool stays_open) {
  EventLoop loop;
  Metrics metrics;
  const auto [fd, address] = ListenOnFreePort();
  RelayServer server(
      &loop, fd, 16,
      [&](CallerConnection* connection, const CallerRequest&) {
        return std::make_unique<PiecesTask>(&loop, connection, pieces,
                                            stays_open);
      },
      &metrics);
  ConnectionPool pool(&loop, [](uint64_t) {});
  absl::StatusOr<HttpFetch::Answer> got = absl::UnknownError("not called");
  HttpFetch fetch(&loop, &pool, address, "GET", "/", "", Millis(400),
                  [&](absl::StatusOr<HttpFetch::Answer> answer) {
                    got = std::move(answer);
                    loop.Quit();
                  });
  loop.After(Millis(5000), [&] { loop.Quit(); });
  loop.Run();
  return got;
}

TEST(HttpFetchTest, AnswerThatKeepsArrivingIsNotCutOffByTheTimeout) {
  const auto answer = FetchPieces(5, false);
  ASSERT_TRUE(answer.ok()) << answer.status();
  EXPECT_EQ(answer->body, "piece,piece,piece,piece,piece,");
}

TEST(HttpFetchTest, AnswerThatStopsArrivingFails) {
  EXPECT_TRUE(absl::IsDeadlineExceeded(FetchPieces(2, true).status()));
}

TEST(PeerExchangeTest, StoredConfigIsFetchedAndMissingEndpointsAreNot) {
  EventLoop loop;
  EventLog log(&loop, open("/dev/null", O_WRONLY));
  Metrics metrics;
  const auto [fd_a, address_a] = ListenOnFreePort();
  const auto [fd_b, address_b] = ListenOnFreePort();
  const PeerExchange::Records stored = {{"k", "v"}};
  PeerExchange::Records fetched;
  PeerExchange a(
      &loop, &log, &metrics, fd_a,
      {[&] { return stored; }, [] { return PeerExchange::Records(); },
       [](const auto&) {}, [](const auto&) {}});
  PeerExchange b(&loop, &log, &metrics, fd_b,
                 {[] { return PeerExchange::Records(); },
                  [] { return PeerExchange::Records(); },
                  [&](const auto& records) {
                    fetched = records;
                    loop.Quit();
                  },
                  [](const auto&) {
                    ADD_FAILURE() << "the peer has no endpoint records";
                  }});
  b.FetchEndpoints(address_a);
  b.FetchConfig(address_a);
  loop.After(Millis(2000), [&] { loop.Quit(); });
  loop.Run();
  EXPECT_EQ(fetched, stored);
}

}  // namespace
}  // namespace tamaracktrail
