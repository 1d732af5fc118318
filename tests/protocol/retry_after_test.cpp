#include "protocol/retry_after.h"

#include <gtest/gtest.h>

#include <optional>

#include "protocol/http_fields.h"
#include "state/millis.h"

namespace tamaracktrail {
namespace {

TEST(RetryAfterTest, IsANumberOfSecondsThatMayHaveAFraction) {
  EXPECT_EQ(*ParseRetryAfter("3"), Millis(3000));
  EXPECT_EQ(*ParseRetryAfter(" 0.25 "), Millis(250));
  EXPECT_EQ(*ParseRetryAfter("0.0001"), Millis(1));
  EXPECT_EQ(*ParseRetryAfter("0"), Millis(0));
  EXPECT_EQ(*ParseRetryAfter("1e300"), Millis(int64_t{365} * 24 * 3600 * 1000));
}

TEST(RetryAfterTest, AnythingElseIsAnError) {
  for (const char* it : {"", "-1", "nan", "inf", "soon", "1, 2", "3 s",
                         "Fri, 31 Dec 1999 23:59:59 GMT"}) {
    EXPECT_FALSE(ParseRetryAfter(it).ok()) << it;
  }
}

TEST(RetryAfterTest, SeveralFieldsAreAnError) {
  HttpFields fields;
  EXPECT_EQ(*FindRetryAfter(fields), std::nullopt);
  fields.Add("retry-after", "1");
  EXPECT_EQ(*FindRetryAfter(fields), Millis(1000));
  fields.Add("Retry-After", "1");
  EXPECT_FALSE(FindRetryAfter(fields).ok());
}

}  // namespace
}  // namespace tamaracktrail
