//! One instance as a real process, in environments that an operator's shell or
//! service manager may give it.

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <sstream>
#include <string>

#include "absl/strings/str_cat.h"
#include "platform/front_process_fixture.h"
#include "transport/socket_address.h"

namespace tamaracktrail {
namespace {

// Guards against SIGPIPE ending the process, for instance when a collector of
// logs restarts.
TEST_F(FrontProcessTest, SurvivesTheReaderOfItsLog) {
  int fds[2];
  ASSERT_EQ(pipe2(fds, O_CLOEXEC), 0);
  RunProcess(
      [&] {
        signal(SIGPIPE, SIG_DFL);
        dup2(fds[1], STDOUT_FILENO);
        dup2(fds[1], STDERR_FILENO);
      },
      [&] {
        close(fds[0]);
        close(fds[1]);
        // Longer than a log line is buffered.
        SendTo(settings_.callers_address, SampleRequest("fee", "id-0"));
        loop_.After(Millis(600), [this] { Finish(); });
      });
  EXPECT_TRUE(process_->running());
  EXPECT_TRUE(Served());
}

// Guards against log lines written into the event loop's descriptors.
TEST_F(FrontProcessTest, ClosedStandardDescriptorsAreNotReused) {
  RunProcess(
      [] {
        close(STDIN_FILENO);
        close(STDOUT_FILENO);
        close(STDERR_FILENO);
      },
      [this] { Finish(); });
  EXPECT_TRUE(Served());
  for (const int it : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
    EXPECT_EQ(Target(it), "/dev/null");
  }
}

// Guards against a process that ends by itself because another one has one of
// its addresses for a while.
TEST_F(FrontProcessTest, WaitsForAnAddressThatIsTaken) {
  const auto taken = ListenTcp(settings_.health_address);
  ASSERT_TRUE(taken.ok());
  AwaitLog("event=address_taken", [&] {
    EXPECT_TRUE(process_->running());
    close(*taken);
  });
  RunProcess([] {}, [this] { Finish(); });
  EXPECT_TRUE(Served());
  EXPECT_EQ(process_->start_count(), 1);
  EXPECT_NE(ReadLog().find("event=address_taken"), std::string::npos);
}

// Guards against any caller ending an instance by a number of tokens whose sum
// overflows.
TEST_F(FrontProcessTest, SurvivesATokenUsageThatOverflows) {
  UseAsEngines();
  Caller* overflowing = nullptr;
  RunProcess([] {},
             [&] {
               overflowing = Send(
                   "POST /report/x HTTP/1.1\r\nHost: "
                   "h.example\r\nX-Request-Id: id-0\r\n"
                   "Authorization: Bearer key-1\r\nX-Model: m\r\n"
                   "X-Token-Usage: 5,9223372036854775807\r\nContent-Length: "
                   "0\r\n\r\n");
               AwaitOver(overflowing, [this] {
                 for (StandInEndpoint* it : {&a_, &b_}) {
                   PutEndpoint(*it, "app", 3, false);
                 }
                 loop_.After(Millis(800), [this] { Finish(); });
               });
             });
  EXPECT_TRUE(process_->running());
  EXPECT_EQ(overflowing->status(), 400);
  EXPECT_TRUE(Served());
}

TEST_F(FrontProcessTest, StopsWhileItWaitsForAnAddress) {
  const auto taken = ListenTcp(settings_.health_address);
  ASSERT_TRUE(taken.ok());
  AwaitLog("event=address_taken", [this] {
    process_->Signal(SIGTERM);
    Await([this] { return !process_->running(); }, [this] { loop_.Quit(); });
  });
  loop_.After(Millis(8000), [this] { loop_.Quit(); });
  process_->Start();
  loop_.Run();
  EXPECT_FALSE(process_->running());
  EXPECT_EQ(process_->exit_status(), 0);
  close(*taken);
}

// Guards against a limit of open files that is below the settings and that
// nothing raises or names.
TEST_F(FrontProcessTest, RaisesTheLimitOfOpenFilesToItsSettings) {
  rlimit limit{};
  RunProcess(
      [] {
        const rlimit low{64, 4096};
        setrlimit(RLIMIT_NOFILE, &low);
      },
      [&] {
        prlimit(process_->pid(), RLIMIT_NOFILE, nullptr, &limit);
        Finish();
      });
  EXPECT_TRUE(Served());
  EXPECT_EQ(limit.rlim_cur, 1024U);
  EXPECT_EQ(ReadLog().find("event=descriptor_limit"), std::string::npos);
}

TEST_F(FrontProcessTest, NamesALimitOfOpenFilesThatItCannotRaise) {
  RunProcess(
      [] {
        const rlimit low{64, 64};
        setrlimit(RLIMIT_NOFILE, &low);
      },
      [this] { Finish(); });
  EXPECT_TRUE(Served());
  EXPECT_NE(ReadLog().find("event=descriptor_limit settings=1024 process=64"),
            std::string::npos);
}

}  // namespace
}  // namespace tamaracktrail
