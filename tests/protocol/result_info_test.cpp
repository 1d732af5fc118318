#include "protocol/result_info.h"

#include <gtest/gtest.h>

#include <set>

#include "absl/strings/str_cat.h"
#include "cli/file_io.h"

namespace tamaracktrail {
namespace {

TEST(ResultInfoTest, TableInTheDocsIsTheTableInTheCode) {
  const auto page =
      ReadFile(std::string(SOURCE_FOLDER) + "/docs/RESULT_CODES.md");
  ASSERT_TRUE(page.ok());
  size_t rows = 0;
  for (size_t at = 0; (at = page->find("\n| ", at)) != std::string::npos;
       ++at) {
    ++rows;
  }
  EXPECT_EQ(rows, AllResults().size() + 2);  // Header row and separator row.
  for (const ResultInfo& it : AllResults()) {
    const std::string retry =
        it.retry_after_s == 0 ? "-" : absl::StrCat(it.retry_after_s);
    const std::string row =
        absl::StrCat("| ", static_cast<int>(it.code), " | ", it.name, " | ",
                     it.http_status, " | ", RunStateName(it.run_state), " | ",
                     retry, " | ", it.description, " |");
    EXPECT_NE(page->find(row), std::string::npos) << row;
  }
}

TEST(ResultInfoTest, NumbersAndNamesAreUnique) {
  std::set<int> codes;
  std::set<std::string> names;
  for (const ResultInfo& it : AllResults()) {
    EXPECT_TRUE(codes.insert(static_cast<int>(it.code)).second);
    EXPECT_TRUE(names.insert(it.name).second);
    EXPECT_EQ(&InfoOf(it.code), &it);
  }
}

}  // namespace
}  // namespace tamaracktrail
