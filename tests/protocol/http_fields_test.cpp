#include "protocol/http_fields.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace tamaracktrail {
namespace {

// Guards against fields that are not forwarded since the Connection field names
// a longer one.
TEST(HttpFieldsTest, ListMembersAreWholeNamesInLowerCase) {
  EXPECT_EQ(ListMembers(" X-Foobar ,close,\tX-B"),
            (std::set<std::string>{"x-foobar", "close", "x-b"}));
  EXPECT_EQ(ListMembers(""), std::set<std::string>{""});
}

}  // namespace
}  // namespace tamaracktrail
