#include "state/share_lock.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <cereal/archives/portable_binary.hpp>
#include <cstdint>
#include <optional>
#include <sstream>
#include <string>

namespace tamaracktrail {
namespace {

int64_t PeakKilobytes() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

// Guards against memory that is allocated for a length in a damaged record.
TEST(ShareLockTest, LengthBeyondTheRecordIsNotAllocated) {
  constexpr uint64_t kLength = uint64_t{1} << 30;
  std::ostringstream record;
  cereal::PortableBinaryOutputArchive archive(record);
  // The incarnation and the length of the boot id.
  archive(uint64_t{1}, kLength);
  const int64_t before = PeakKilobytes();
  EXPECT_EQ(DecodeShareLock("node-1/", record.str()), std::nullopt);
  EXPECT_LT(PeakKilobytes() - before, 64 * 1024);
}

}  // namespace
}  // namespace tamaracktrail
