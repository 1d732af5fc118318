#include "state/bounded_input_archive.h"

#include <gtest/gtest.h>

#include <cereal/types/string.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace tamaracktrail {
namespace {

template <class... T>
std::string Encode(const T&... values) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  archive(values...);
  return out.str();
}

template <class... T>
void Decode(const std::string& bytes, T*... values) {
  BoundedInputArchive archive(bytes);
  archive(*values...);
}

TEST(BoundedInputArchiveTest, ReadsWhatTheOutputArchiveWrote) {
  const std::vector<std::pair<std::string, std::string>> records = {
      {"a", ""}, {"", "value"}};
  const std::vector<uint64_t> numbers = {1, 2, 3};
  const std::string bytes = Encode(records, numbers, 1.5, true);
  std::vector<std::pair<std::string, std::string>> read_records;
  std::vector<uint64_t> read_numbers;
  double fraction = 0;
  bool flag = false;
  Decode(bytes, &read_records, &read_numbers, &fraction, &flag);
  EXPECT_EQ(read_records, records);
  EXPECT_EQ(read_numbers, numbers);
  EXPECT_EQ(fraction, 1.5);
  EXPECT_TRUE(flag);
}

// Guards against memory that is allocated for bytes that were never sent.
TEST(BoundedInputArchiveTest, LengthBeyondTheBytesIsNotAllocated) {
  const std::string bytes = Encode(uint64_t{1} << 30, std::string("abc"));
  std::string text;
  std::vector<std::string> texts;
  std::vector<uint64_t> numbers;
  EXPECT_THROW(Decode(bytes, &text), cereal::Exception);
  EXPECT_THROW(Decode(bytes, &texts), cereal::Exception);
  EXPECT_THROW(Decode(bytes, &numbers), cereal::Exception);
  EXPECT_LT(text.capacity() + texts.capacity() + numbers.capacity(), 1024U);
}

TEST(BoundedInputArchiveTest, TruncatedBytesThrow) {
  const std::string bytes = Encode(std::string("abc"), uint32_t{7});
  for (size_t n = 0; n < bytes.size(); ++n) {
    std::string text;
    uint32_t number = 0;
    EXPECT_THROW(Decode(bytes.substr(0, n), &text, &number), cereal::Exception);
  }
}

}  // namespace
}  // namespace tamaracktrail
