#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "coordination/fleet_part.h"
#include "state/millis.h"

namespace tamaracktrail {
namespace {

constexpr Millis kWindow{10000};
constexpr Millis kListLifetime{20000};
constexpr Millis kStart{1000};

TEST(FleetPartTest, IsNothingWithoutAList) {
  const FleetPart part(kStart, kWindow, /*first_start=*/true);
  EXPECT_EQ(part.Fraction(kStart + kWindow), 0);
  EXPECT_EQ(part.instances(), std::nullopt);
  EXPECT_FALSE(part.MayUseAtOnce(kStart + kWindow));
}

TEST(FleetPartTest, OfAnInstanceThatRanBeforeIsWholeOnceTheListIsRead) {
  FleetPart part(kStart, kWindow, /*first_start=*/false);
  part.OnFirstListed(/*names_self=*/true);
  part.OnCounted(kStart, 4);
  EXPECT_EQ(part.Fraction(kStart), 0.25);
  EXPECT_FALSE(part.MayUseAtOnce(kStart + kWindow - Millis(1)));
  EXPECT_TRUE(part.MayUseAtOnce(kStart + kWindow));
}

// Guards against new instances using their part before the others know them.
TEST(FleetPartTest, OfANewInstanceIsAQuarterUntilOtherListsAreTooOld) {
  FleetPart part(kStart, kWindow, /*first_start=*/false);
  part.OnFirstListed(/*names_self=*/false);
  part.OnRegistered(kStart + Millis(50));
  const Millis known_at = kStart + Millis(50) + kListLifetime;
  part.OnCounted(known_at, 4);
  EXPECT_EQ(part.Fraction(known_at - Millis(1)), 0.0625);
  EXPECT_FALSE(part.MayUseAtOnce(known_at - Millis(1)));
  EXPECT_EQ(part.Fraction(known_at), 0.25);
  EXPECT_TRUE(part.MayUseAtOnce(known_at));
}

TEST(FleetPartTest, AtTheFirstStartIsWholeWithAListOfAllThatStart) {
  FleetPart part(kStart, kWindow, /*first_start=*/true);
  part.OnFirstListed(/*names_self=*/false);
  part.OnRegistered(kStart);
  part.OnCounted(kStart + Millis(10), 1);
  EXPECT_EQ(part.Fraction(kStart + Millis(10)), 0.25);
  part.OnCounted(kStart + Millis(3000), 8);
  EXPECT_EQ(part.Fraction(kStart + Millis(3000)), 0.125);
}

// Guards against an old list hiding that the fleet has grown.
TEST(FleetPartTest, FallsToAQuarterWhenTheListIsTooOld) {
  FleetPart part(kStart, kWindow, /*first_start=*/false);
  part.OnFirstListed(/*names_self=*/true);
  part.OnCounted(kStart, 2);
  EXPECT_EQ(part.Fraction(kStart + kListLifetime), 0.5);
  EXPECT_EQ(part.Fraction(kStart + kListLifetime + Millis(1)), 0.125);
  EXPECT_EQ(part.AgeOfCount(kStart + kListLifetime), kListLifetime);
}

// Guards against a list from an older copy of the store raising all parts.
TEST(FleetPartTest, DoesNotGrowWithAShorterList) {
  FleetPart part(kStart, kWindow, /*first_start=*/false);
  part.OnFirstListed(/*names_self=*/true);
  part.OnCounted(kStart, 8);
  part.OnCounted(kStart + Millis(1), 2);
  EXPECT_EQ(part.Fraction(kStart + Millis(1)), 0.125);
}

TEST(FleetPartTest, OlderCountOfAPeerDoesNotRenewTheList) {
  FleetPart part(kStart, kWindow, /*first_start=*/false);
  part.OnFirstListed(/*names_self=*/true);
  part.OnCounted(kStart, 2);
  part.OnCounted(kStart - Millis(500), 4);
  EXPECT_EQ(part.Fraction(kStart + kListLifetime), 0.25);
  EXPECT_EQ(part.Fraction(kStart + kListLifetime + Millis(1)), 0.0625);
}

// Guards against instances with old lists and those that have joined since
// exceeding a limit together.
TEST(FleetPartTest, PartsAddUpToTheLimitWhileAFleetGrowsAndListsAreNotRead) {
  constexpr int kOld = 4;
  constexpr int kNew = 12;
  std::vector<FleetPart> parts;
  for (int i = 0; i < kOld; ++i) {
    parts.emplace_back(Millis(0), kWindow, /*first_start=*/false);
    parts.back().OnFirstListed(/*names_self=*/true);
    parts.back().OnCounted(kStart, kOld);
  }
  // From here on only the new instances read lists.
  for (int i = 0; i < kNew; ++i) {
    parts.emplace_back(kStart, kWindow, /*first_start=*/false);
    parts.back().OnFirstListed(/*names_self=*/false);
    parts.back().OnRegistered(kStart + Millis(1));
  }
  for (Millis now = kStart; now < kStart + kListLifetime * 2;
       now = now + Millis(10)) {
    double sum = 0;
    for (size_t i = 0; i < parts.size(); ++i) {
      if (i >= kOld) {
        parts[i].OnCounted(now, kOld + kNew);
      }
      sum += parts[i].Fraction(now);
    }
    ASSERT_LE(sum, 1.25) << now.count();
  }
}

}  // namespace
}  // namespace tamaracktrail
