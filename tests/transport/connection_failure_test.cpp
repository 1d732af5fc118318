//! Guards against failures of a connection that look like its end in order.

#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "support/loopback.h"
#include "transport/event_loop.h"
#include "transport/relay/connection_pool.h"
#include "transport/relay/endpoint_call.h"
#include "transport/tcp_stream.h"

namespace tamaracktrail {
namespace {

constexpr size_t kReadBytes = 1024;

//! Accepts one connection and speaks on it by blocking calls.
class Peer {
 public:
  Peer() {
    const auto [fd, address] = ListenOnFreePort();
    listener_ = fd;
    address_ = address;
  }
  ~Peer() {
    close(listener_);
    if (fd_ >= 0) {
      close(fd_);
    }
  }

  Peer(const Peer&) = delete;
  Peer& operator=(const Peer&) = delete;

  const std::string& address() const { return address_; }

  //! Precondition: the connection is established, accepted by the kernel.
  void Accept() { fd_ = accept(listener_, nullptr, nullptr); }
  void Send(std::string_view text) const {
    send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
  }
  void Receive() const {
    char buf[kReadBytes];
    recv(fd_, buf, sizeof(buf), 0);
  }
  void EndSending() const { shutdown(fd_, SHUT_WR); }
  void Reset() {
    const linger option{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
    close(fd_);
    fd_ = -1;
  }

 private:
  int listener_ = -1;
  int fd_ = -1;
  std::string address_;
};

//! A connection to a peer.
class TcpStreamTest : public testing::Test, public TcpStream::Observer {
 protected:
  TcpStreamTest()
      : stream_(
            *TcpStream::Connect(&loop_, peer_.address(), Millis(5000), this)) {
    loop_.After(Millis(5000), [this] { loop_.Quit(); });
    loop_.Run();
    peer_.Accept();
  }

  //! Reads until there is nothing more, and returns the last result.
  TcpStream::ReadResult ReadAll() {
    TcpStream::ReadResult result = TcpStream::ReadResult::kData;
    while (result == TcpStream::ReadResult::kData) {
      result = stream_->Read(&input_, kReadBytes);
    }
    return result;
  }

  EventLoop loop_;
  Peer peer_;
  std::string input_;
  std::unique_ptr<TcpStream> stream_;
  bool failed_ = false;

 private:
  void OnConnected() override { loop_.Quit(); }
  void OnReadable() override {
    const TcpStream::ReadResult result = ReadAll();
    if (result != TcpStream::ReadResult::kWouldBlock) {
      failed_ = result == TcpStream::ReadResult::kFailed;
      loop_.Quit();
    }
  }
  void OnFailed(const absl::Status&) override {
    failed_ = true;
    loop_.Quit();
  }
};

TEST_F(TcpStreamTest, EndInOrderIsAnEnd) {
  peer_.Send("answer");
  peer_.EndSending();
  EXPECT_EQ(ReadAll(), TcpStream::ReadResult::kEndOfStream);
  EXPECT_EQ(input_, "answer");
}

//! The kernel reports a reset once: to a send here, and then an end to reads.
TEST_F(TcpStreamTest, ResetThatASendHasSeenIsNoEnd) {
  peer_.Send("answer");
  peer_.Reset();
  stream_->Write("request");
  stream_->Flush();
  EXPECT_EQ(ReadAll(), TcpStream::ReadResult::kFailed);
  EXPECT_EQ(input_, "answer");
}

TEST_F(TcpStreamTest, EndWithResetAfterItIsNoEnd) {
  peer_.Send("answer");
  peer_.EndSending();
  peer_.Reset();
  EXPECT_EQ(ReadAll(), TcpStream::ReadResult::kFailed);
  EXPECT_EQ(input_, "answer");
}

//! Output waits for room, and the loop reports the failure together with bytes
//! that can be read.
TEST_F(TcpStreamTest, BytesBeforeAFailedSendAreRead) {
  stream_->Write(std::string(16 * 1024 * 1024, 'x'));
  stream_->Flush();
  ASSERT_GT(stream_->pending_bytes(), 0U);
  peer_.Send("answer");
  peer_.Reset();
  loop_.Run();
  EXPECT_EQ(input_, "answer");
  EXPECT_TRUE(failed_);
}

TEST_F(TcpStreamTest, OutputIsAcknowledgedOnceThePeerHasIt) {
  EXPECT_TRUE(stream_->output_acknowledged());
  stream_->Write(std::string(16 * 1024 * 1024, 'x'));
  EXPECT_FALSE(stream_->output_acknowledged());
  stream_->Flush();
  EXPECT_FALSE(stream_->output_acknowledged());
}

constexpr char kUnframedAnswer[] = "HTTP/1.1 200 OK\r\n\r\npart";

//! Calls to one peer.
class EndpointCallResetTest : public testing::Test,
                              public EndpointCall::Observer {
 protected:
  EndpointCallResetTest() : pool_(&loop_, [](uint64_t) {}) {
    loop_.After(Millis(5000), [this] { loop_.Quit(); });
  }

  void StartCall() {
    done_ = false;
    failed_ = false;
    EndpointCall::Options options;
    options.address = peer_.address();
    options.connect_timeout = Millis(1000);
    options.ack_timeout = Millis(1000);
    options.max_idle = Millis(1000);
    call_ = std::make_unique<EndpointCall>(&loop_, &pool_, options, this);
    call_->Start("GET / HTTP/1.1\r\nHost: h\r\n\r\n", nullptr);
  }

  EventLoop loop_;
  Peer peer_;
  ConnectionPool pool_;
  std::unique_ptr<EndpointCall> call_;
  bool done_ = false;
  bool failed_ = false;

 private:
  bool OnAnswerHead(const HttpReader&) override { return true; }
  void OnAnswerBody(std::string* body) override { body->clear(); }
  void OnAnswerDone() override {
    done_ = true;
    loop_.Quit();
  }
  void OnCallFailed(const absl::Status&, bool) override {
    failed_ = true;
    loop_.Quit();
  }
};

//! The connection is reset before the request is written to it.
TEST_F(EndpointCallResetTest, ResetThatTheRequestHasSeenIsNoEndOfAnAnswer) {
  StartCall();
  loop_.After(Millis(0), [this] {
    peer_.Accept();
    peer_.Receive();
    peer_.Send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  loop_.Run();
  ASSERT_TRUE(done_);
  peer_.Send(kUnframedAnswer);
  peer_.Reset();
  StartCall();
  loop_.Run();
  EXPECT_TRUE(call_->reused());
  EXPECT_FALSE(done_);
  EXPECT_TRUE(failed_);
}

TEST_F(EndpointCallResetTest, ResetAfterTheEndOfAnUnframedAnswerIsReported) {
  StartCall();
  loop_.After(Millis(0), [this] {
    peer_.Accept();
    peer_.Receive();
    peer_.Send(kUnframedAnswer);
    peer_.EndSending();
  });
  loop_.Run();
  ASSERT_TRUE(done_);
  EXPECT_FALSE(failed_);
  peer_.Reset();
  loop_.Run();
  EXPECT_TRUE(failed_);
}

}  // namespace
}  // namespace tamaracktrail
