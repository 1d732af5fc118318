#include "coordination/evacuated_data_centres.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

#include "coordination/evacuation_set.h"

namespace tamaracktrail {
namespace {

constexpr Millis kNow{100000};

using Names = std::set<std::string>;

TEST(EvacuatedDataCentresTest, RecordsRequestAndWithdraw) {
  EvacuatedDataCentres evacuated;
  evacuated.OnSet(kNow, {{1, 4}, {}});
  EXPECT_FALSE(evacuated.Contains("x"));
  evacuated.OnRecord({1, 5}, "x", true);
  evacuated.OnRecord({1, 6}, "x", true);
  evacuated.OnRecord({1, 7}, "y", true);
  EXPECT_EQ(evacuated.All(), (Names{"x", "y"}));
  evacuated.OnRecord({1, 8}, "x", false);
  evacuated.OnRecord({1, 9}, "z", false);
  EXPECT_EQ(evacuated.All(), (Names{"y"}));
  EXPECT_EQ(evacuated.known().as_of, (TopicPosition{1, 9}));
}

TEST(EvacuatedDataCentresTest, SetThatLacksOneWithdrawsIt) {
  EvacuatedDataCentres evacuated;
  evacuated.OnSet(kNow, {{1, 5}, {"x", "y"}});
  evacuated.OnSet(kNow, {{1, 6}, {"y"}});
  EXPECT_EQ(evacuated.All(), (Names{"y"}));
}

// Guards against a peer's older copy that ends an evacuation which the store
// reported, or begins one again that was withdrawn.
TEST(EvacuatedDataCentresTest, OlderSetChangesNothing) {
  EvacuatedDataCentres evacuated;
  evacuated.OnSet(kNow, {{1, 5}, {"withdrawn"}});
  evacuated.OnRecord({1, 8}, "withdrawn", false);
  evacuated.OnRecord({1, 9}, "x", true);
  evacuated.OnSet(kNow, {{1, 8}, {}});
  evacuated.OnSet(kNow, {{1, 7}, {"withdrawn"}});
  // The highest offset of an earlier generation is older, too.
  evacuated.OnSet(kNow, {{0, 1000}, {"withdrawn"}});
  EXPECT_EQ(evacuated.All(), (Names{"x"}));
}

// Guards against an instance that reads old records of the store after it took
// a peer's newer set: they would begin and end evacuations again.
TEST(EvacuatedDataCentresTest, RecordsThatASetTakesIntoAccountChangeNothing) {
  EvacuatedDataCentres evacuated;
  evacuated.OnSet(kNow, {{1, 5}, {}});
  evacuated.OnSet(kNow, {{1, 9}, {"y"}});
  evacuated.OnRecord({1, 6}, "x", true);
  evacuated.OnRecord({1, 8}, "y", false);
  evacuated.OnRecord({1, 9}, "x", false);
  EXPECT_EQ(evacuated.All(), (Names{"y"}));
  evacuated.OnRecord({1, 10}, "x", true);
  EXPECT_EQ(evacuated.All(), (Names{"x", "y"}));
}

// Guards against requests to an evacuated data centre after the store came back
// from an older copy and before the operator has written the record again.
TEST(EvacuatedDataCentresTest, RestoredStoreEndsEvacuationOnlyAfterAWhile) {
  EvacuatedDataCentres evacuated;
  evacuated.OnSet(kNow, {{1, 9}, {"x", "y", "z"}});
  evacuated.OnSet(kNow, {{2, 3}, {"y"}});
  EXPECT_EQ(evacuated.All(), (Names{"x", "y", "z"}));
  // Peers get only what the store holds.
  EXPECT_EQ(evacuated.known().data_centres, (Names{"y"}));
  evacuated.OnRecord({2, 4}, "x", true);
  evacuated.OnRecord({2, 5}, "z", false);
  evacuated.OnTick(kNow + EvacuatedDataCentres::kRestoreDoubt - Millis(1));
  EXPECT_EQ(evacuated.All(), (Names{"x", "y"}));
  evacuated.OnRecord({2, 6}, "y", false);
  EXPECT_EQ(evacuated.All(), (Names{"x"}));
}

TEST(EvacuatedDataCentresTest, EvacuationThatIsNotWrittenAgainEnds) {
  EvacuatedDataCentres evacuated;
  evacuated.OnSet(kNow, {{1, 9}, {"x"}});
  evacuated.OnSet(kNow, {{2, 3}, {}});
  evacuated.OnTick(kNow + EvacuatedDataCentres::kRestoreDoubt - Millis(1));
  EXPECT_TRUE(evacuated.Contains("x"));
  evacuated.OnTick(kNow + EvacuatedDataCentres::kRestoreDoubt);
  EXPECT_FALSE(evacuated.Contains("x"));
}

TEST(EvacuatedDataCentresTest, IsBehindANewerAndDifferentSetOnly) {
  EvacuatedDataCentres evacuated;
  evacuated.OnSet(kNow, {{1, 5}, {"x"}});
  const EvacuationSet same{{1, 8}, {"x"}};
  const EvacuationSet older{{1, 4}, {}};
  const EvacuationSet newer{{1, 9}, {}};
  evacuated.OnReported(kNow, same.as_of, same.digest());
  evacuated.OnReported(kNow, older.as_of, older.digest());
  EXPECT_FALSE(evacuated.is_behind());
  evacuated.OnReported(kNow, newer.as_of, newer.digest());
  evacuated.OnReported(kNow + Millis(70), newer.as_of, newer.digest());
  EXPECT_EQ(evacuated.Behind(kNow + Millis(100)), Millis(100));
  // A record that is read does not help unless it is the newest one.
  evacuated.OnRecord({1, 6}, "y", true);
  EXPECT_TRUE(evacuated.is_behind());
  evacuated.OnSet(kNow, newer);
  EXPECT_FALSE(evacuated.is_behind());
  EXPECT_EQ(evacuated.Behind(kNow + Millis(200)), Millis(0));
}

TEST(EvacuatedDataCentresTest, DigestTellsSetsApart) {
  EXPECT_EQ((EvacuationSet{{1, 2}, {}}).digest(), 0U);
  EXPECT_EQ((EvacuationSet{{1, 2}, {"x", "y"}}).digest(),
            (EvacuationSet{{1, 9}, {"y", "x"}}).digest());
  EXPECT_NE((EvacuationSet{{1, 2}, {"x", "y"}}).digest(),
            (EvacuationSet{{1, 2}, {"xy"}}).digest());
}

}  // namespace
}  // namespace tamaracktrail
