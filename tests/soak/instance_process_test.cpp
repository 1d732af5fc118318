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

bool Lives(pid_t pid) {
  std::ifstream stat(absl::StrCat("/proc/", pid, "/stat"));
  std::string number;
  std::string name;
  std::string state;
  return stat >> number >> name >> state && state != "Z" && state != "X";
}

TEST(InstanceProcessTest, EndsWithTheProcessThatStartedIt) {
  // A soak that was killed left its instances behind; they went on calling the
  // ports of its stand-ins, which later processes had.
  const std::string folder =
      absl::StrCat(testing::TempDir(), "/instance-", getpid());
  std::filesystem::create_directories(folder);
  const std::string program = absl::StrCat(folder, "/program");
  std::ofstream(program) << "#!/bin/sh\nexec sleep 60\n";
  chmod(program.c_str(), 0755);
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  const pid_t starter = fork();
  if (starter == 0) {
    EventLoop loop;
    InstanceProcess process(&loop, program, folder, "node-0", "127.0.0.1:1");
    process.Start();
    const pid_t pid = process.pid();
    const bool written = write(ends[1], &pid, sizeof(pid)) == sizeof(pid);
    raise(written ? SIGKILL : SIGABRT);
  }
  pid_t pid = 0;
  ASSERT_EQ(read(ends[0], &pid, sizeof(pid)), sizeof(pid));
  ASSERT_EQ(waitpid(starter, nullptr, 0), starter);
  for (int i = 0; i < 500 && Lives(pid); ++i) {
    usleep(10000);
  }
  EXPECT_FALSE(Lives(pid));
  kill(pid, SIGKILL);
  close(ends[0]);
  close(ends[1]);
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace tamaracktrail
