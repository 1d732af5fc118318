#include "protocol/byte_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace tamaracktrail {
namespace {

TEST(ByteQueueTest, HoldsWhatWasAppendedAndNotConsumed) {
  std::mt19937_64 random(1);
  ByteQueue queue;
  std::string expected;
  for (int i = 0; i < 10000; ++i) {
    const std::string bytes(random() % 20, static_cast<char>('a' + i % 26));
    queue.Append(bytes);
    expected += bytes;
    const size_t n = std::min<size_t>(expected.size(), random() % 22);
    queue.Consume(n);
    expected.erase(0, n);
    ASSERT_EQ(queue.view(), expected);
    ASSERT_EQ(queue.size(), expected.size());
    ASSERT_EQ(queue.empty(), expected.empty());
  }
}

// Guards against a buffer that is moved as a whole for each short message in
// it.
TEST(ByteQueueTest, MovesNoMoreBytesThanWereConsumed) {
  for (const size_t piece : {1, 3, 50, 4000}) {
    ByteQueue queue;
    uint64_t consumed = 0;
    for (int read = 0; read < 10; ++read) {
      queue.Append(std::string(65536, 'x'));
      while (queue.size() >= piece) {
        queue.Consume(piece);
        consumed += piece;
      }
    }
    EXPECT_LE(queue.moved_bytes(), consumed) << piece;
  }
}

}  // namespace
}  // namespace tamaracktrail
