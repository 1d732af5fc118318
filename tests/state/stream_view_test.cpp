#include "state/stream_view.h"

#include <gtest/gtest.h>

#include "state/batch.h"
#include "state/control_fold.h"
#include "state/ledger_fold.h"

namespace tamaracktrail {
namespace {

class StreamViewTest : public testing::Test {
 protected:
  LogEntry Entry(uint64_t offset,
                 uint64_t sequence,
                 const std::string& previous,
                 std::vector<Record> records,
                 uint64_t writer = 7) {
    const Batch batch{writer, sequence, previous, Millis(1000),
                      std::move(records)};
    return {offset, codec_.Encode(batch)};
  }

  BatchCodec codec_{"a key for tests"};
  StreamView<LedgerFold> view_{&codec_, LedgerFold(kHour)};
};

TEST_F(StreamViewTest, RepeatedAppendHasNoEffect) {
  const LogEntry first = Entry(1, 1, "", {TopUp{"org", "a", 5, ""}});
  view_.Feed(first);
  EXPECT_TRUE(view_.Feed({2, first.payload}).empty());
  EXPECT_EQ(view_.repeated_batches(), 1u);
  EXPECT_EQ(view_.fold().BudgetOf("org").prepaid, 5);
}

TEST_F(StreamViewTest, BatchWithAFlippedBitIsDropped) {
  LogEntry entry = Entry(1, 1, "", {TopUp{"org", "a", 5, ""}});
  for (size_t i = 0; i < entry.payload.size(); ++i) {
    LogEntry bad = entry;
    bad.payload[i] = static_cast<char>(bad.payload[i] ^ 1);
    StreamView<LedgerFold> view(&codec_, LedgerFold(kHour));
    view.Feed(bad);
    EXPECT_EQ(view.dropped_batches(), 1u) << "byte " << i;
  }
}

TEST_F(StreamViewTest, BatchesWithASequenceGapOrWrongDigestAreDropped) {
  const LogEntry first = Entry(1, 1, "", {});
  view_.Feed(first);
  const std::string digest = BatchCodec::ChainDigest(first.payload);
  view_.Feed(Entry(2, 3, digest, {TopUp{"org", "a", 5, ""}}));
  view_.Feed(Entry(3, 2, "other", {TopUp{"org", "b", 5, ""}}));
  EXPECT_EQ(view_.dropped_batches(), 2u);
  EXPECT_EQ(view_.fold().BudgetOf("org").prepaid, 0);
  view_.Feed(Entry(4, 2, digest, {TopUp{"org", "c", 5, ""}}));
  EXPECT_EQ(view_.fold().BudgetOf("org").prepaid, 5);
}

TEST_F(StreamViewTest, ReaderOfATruncatedLogStartsFromASnapshot) {
  std::vector<LogEntry> log;
  log.push_back(Entry(1, 1, "", {TopUp{"org", "a", 5, ""}}, 1));
  log.push_back(Entry(2, 1, "", {TopUp{"org", "b", 6, ""}}, 2));
  view_.Feed(log[0]);
  view_.Feed(log[1]);
  log.push_back(Entry(3, 1, "", {TopUp{"org", "c", 7, ""}}, 3));
  log.push_back(Entry(4, 1, "", {view_.MakeSnapshot()}, 4));
  log.push_back(Entry(5, 1, "", {TopUp{"org", "d", 8, ""}}, 5));

  StreamView<LedgerFold> late(&codec_, LedgerFold(kHour));
  for (size_t i = 2; i < log.size(); ++i) {
    late.Feed(log[i]);
    EXPECT_EQ(late.live(), i >= 3) << "entry " << i;
  }
  EXPECT_EQ(late.fold().BudgetOf("org").prepaid, 26);
  EXPECT_EQ(late.next_offset(), 6u);
}

TEST_F(StreamViewTest, ReaderOfATruncatedLogWaitsForASnapshot) {
  EXPECT_TRUE(view_.Feed(Entry(9, 1, "", {})).empty());
  EXPECT_FALSE(view_.live());
  EXPECT_EQ(view_.read_offset(), 10u);
}

TEST(ControlFoldTest, ConfigurationIsAcceptedOnlyOnTheCurrentVersion) {
  ControlFold fold;
  const auto publish = [&](uint64_t offset, uint64_t base, const char* id) {
    return fold.Apply(Configuration{base, id, "", {}},
                      FoldContext{offset, 1, Millis(1)});
  };
  EXPECT_EQ(publish(3, 0, "a"), FoldVerdict::kAccepted);
  EXPECT_EQ(publish(4, 0, "b"), FoldVerdict::kLostRace);
  EXPECT_EQ(publish(5, 0, "a"), FoldVerdict::kRepeat);
  EXPECT_EQ(publish(6, 3, "c"), FoldVerdict::kAccepted);
  EXPECT_EQ(fold.version(), 6u);
  EXPECT_EQ(fold.VersionOf("a"), 3u);
  EXPECT_EQ(fold.VersionOf("b"), std::nullopt);
}

TEST(ControlFoldTest, OnlyOneTrialPerContentUntilItEnds) {
  ControlFold fold;
  const FoldContext context{1, 1, Millis(1)};
  fold.Apply(Crash{"c", "e1", "k", 1}, context);
  EXPECT_EQ(fold.Apply(Trial{"c", 2, 0}, context), FoldVerdict::kAccepted);
  EXPECT_EQ(fold.Apply(Trial{"c", 3, 0}, context), FoldVerdict::kLostRace);
  EXPECT_EQ(fold.CrashCount("c"), 1u);
  EXPECT_EQ(fold.Apply(TrialEnd{"c", 3, true}, context),
            FoldVerdict::kLostRace);
  fold.Apply(TrialEnd{"c", 2, false}, context);
  EXPECT_EQ(fold.CrashCount("c"), 1u);
  EXPECT_EQ(fold.Apply(Trial{"c", 4, 0}, context), FoldVerdict::kAccepted);
  fold.Apply(TrialEnd{"c", 4, true}, context);
  EXPECT_EQ(fold.CrashCount("c"), 0u);
}

TEST(ControlFoldTest, OrdersRequireTheCurrentTermAndLoadsTheFleetRate) {
  ControlFold fold(2);
  fold.Apply(Term{"dc", 1}, FoldContext{5, 1, Millis(1)});
  const auto order = [&](uint64_t number, const char* action) {
    return fold.Apply(Order{"dc", number, "e", action, "m"},
                      FoldContext{9, 1, Millis(1)});
  };
  EXPECT_EQ(order(4, "load"), FoldVerdict::kLostRace);
  EXPECT_EQ(order(5, "load"), FoldVerdict::kAccepted);
  EXPECT_EQ(order(5, "load"), FoldVerdict::kAccepted);
  EXPECT_EQ(order(5, "load"), FoldVerdict::kExceedsShare);
  EXPECT_EQ(order(5, "unload"), FoldVerdict::kAccepted);
}

}  // namespace
}  // namespace tamaracktrail
