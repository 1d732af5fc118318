#include "soak/instance_process.h"

#include <gtest/gtest.h>
#include <signal.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "absl/strings/str_cat.h"
#include "transport/event_loop.h"

namespace tamaracktrail {
namespace {

bool IsRunning(pid_t pid) {
  std::ifstream stat(absl::StrCat("/proc/", pid, "/stat"));
  std::string number;
  std::string name;
  std::string state;
  return stat >> number >> name >> state && state != "Z" && state != "X";
}

TEST(InstanceProcessTest, IsKilledWhenItsParentIsKilled) {
  // An instance that outlived its parent would keep calling the ports of the
  // stand-ins, which other processes may use by then.
  const std::string folder =
      absl::StrCat(testing::TempDir(), "/instance-", getpid());
  std::filesystem::create_directories(folder);
  const std::string program = absl::StrCat(folder, "/program");
  std::ofstream(program) << "#!/bin/sh\nexec sleep 60\n";
  chmod(program.c_str(), 0755);
  int pipe_fds[2];
  ASSERT_EQ(pipe(pipe_fds), 0);
  const pid_t parent = fork();
  if (parent == 0) {
    EventLoop loop;
    InstanceProcess process(&loop, program, folder, "node-0", "127.0.0.1:1");
    process.Start();
    const pid_t pid = process.pid();
    const bool written = write(pipe_fds[1], &pid, sizeof(pid)) == sizeof(pid);
    raise(written ? SIGKILL : SIGABRT);
  }
  pid_t pid = 0;
  ASSERT_EQ(read(pipe_fds[0], &pid, sizeof(pid)), sizeof(pid));
  ASSERT_EQ(waitpid(parent, nullptr, 0), parent);
  for (int i = 0; i < 500 && IsRunning(pid); ++i) {
    usleep(10000);
  }
  EXPECT_FALSE(IsRunning(pid));
  kill(pid, SIGKILL);
  close(pipe_fds[0]);
  close(pipe_fds[1]);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace tamaracktrail
