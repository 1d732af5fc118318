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
#include "platform/front_fixture.h"
#include "soak/instance_process.h"
#include "transport/socket_address.h"

namespace tamaracktrail {
namespace {

class FrontProcessTest : public FrontTest {
 protected:
  FrontProcessTest()
      : folder_(absl::StrCat(testing::TempDir(), "/front-process-", getpid())) {
    std::filesystem::create_directories(folder_);
    process_ = std::make_unique<InstanceProcess>(&loop_, PROGRAM, folder_,
                                                 "node-1", store_.address());
    settings_.callers_address = process_->callers_address();
    settings_.health_address = process_->health_address();
  }
  ~FrontProcessTest() override {
    process_.reset();
    std::filesystem::remove_all(folder_);
  }

  //! Starts the process and runs `script` once it is ready, until it calls
  //! Finish or 8 s have passed.
  void RunProcess(const std::function<void()>& child_setup,
                  const std::function<void()>& script) {
    process_->SetChildSetup(child_setup);
    process_->Start();
    WhenReady(script);
    loop_.After(Millis(8000), [this] { loop_.Quit(); });
    loop_.Run();
  }

  //! Sends a request and ends the run after its answer, when the log has been
  //! written.
  void Finish() {
    answered_ = Send(SampleRequest("fee", "id-1"));
    Await([this] { return answered_->finished(); },
          [this] { loop_.After(Millis(400), [this] { loop_.Quit(); }); });
  }

  bool Served() const {
    return answered_ != nullptr && answered_->status() == 200;
  }

  //! What descriptor `fd` of the process refers to.
  std::string Target(int fd) const {
    std::error_code ec;
    return std::filesystem::read_symlink(
        absl::StrCat("/proc/", process_->pid(), "/fd/", fd), ec);
  }

  std::string ReadLog() const {
    std::ostringstream text;
    text << std::ifstream(process_->log_path()).rdbuf();
    return text.str();
  }

  std::string folder_;
  std::unique_ptr<InstanceProcess> process_;
  Caller* answered_ = nullptr;
};

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

}  // namespace
}  // namespace tamaracktrail
