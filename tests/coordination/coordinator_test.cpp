#include "coordination/coordinator.h"

#include <gtest/gtest.h>

#include "state/batch.h"
#include "state/batch_codec.h"
#include "support/fake_fleet.h"

namespace tamaracktrail {
namespace {

class CoordinatorTest : public testing::Test {
 protected:
  CoordinatorTest() {
    options_.data_centre = "dc";
    options_.shards = 1;
    coordinator_ = std::make_unique<Coordinator>(InstanceId{"10.0.0.1:1", 1},
                                                 options_, &codec_);
  }

  //! Passes the next entry of a stream, written by a new writer, to the
  //! coordinator.
  void Feed(const std::string& stream, Record record) {
    const uint64_t offset = ++ends_[stream];
    const Batch batch{1000 + offset, 1, "", Millis(1), {std::move(record)}};
    const std::vector<LogEntry> entries{{offset, codec_.Encode(batch)}};
    coordinator_->OnLogEntries(now_, stream, entries, true);
  }

  BatchCodec codec_{"a key for tests"};
  Coordinator::Options options_;
  std::unique_ptr<Coordinator> coordinator_;
  std::map<std::string, uint64_t> ends_;
  Millis now_{1000};
};

// Guards against an abort during shutdown, seen as exit code 134 in
// tools/faults.sh: a peer may release this instance's shares between its exit
// record and the end of its process.
TEST_F(CoordinatorTest, ReleaseAfterOwnExitRecordIsIgnored) {
  coordinator_->Drain();
  coordinator_->QueueExit();
  Feed("ledger-0", Release{1, "swept", {}});
}

TEST_F(CoordinatorTest, ReleaseOfARunningInstanceStopsTheProcess) {
  EXPECT_DEATH(Feed("ledger-0", Release{1, "operator", {}}), "released");
}

TEST_F(CoordinatorTest, OlderConfigurationIsIgnored) {
  Feed("control", Configuration{0, "first", "", {}});
  EXPECT_EQ(coordinator_->config_version(), 1u);
  ConfigReply newer{7, Configuration{1, "next", "", {}}};
  coordinator_->OnMessage(now_, now_, 2, newer);
  EXPECT_EQ(coordinator_->config_version(), 7u);
  coordinator_->OnMessage(now_, now_, 2, ConfigReply{3, {}});
  EXPECT_EQ(coordinator_->config_version(), 7u);
}

TEST_F(CoordinatorTest, NotReadyBeforeJoinAndConfiguration) {
  coordinator_->OnTick(now_, now_);
  EXPECT_FALSE(coordinator_->ready());
  Feed("control", Configuration{0, "first", "", {}});
  coordinator_->OnTick(now_ + kMinute, now_);
  EXPECT_FALSE(coordinator_->ready());
  Feed("control", Join{1, "10.0.0.1:1", "dc"});
  coordinator_->OnTick(now_ + kMinute * 2, now_);
  EXPECT_TRUE(coordinator_->ready());
}

TEST_F(CoordinatorTest, ExitInAnotherDataCentreStartsNoSweep) {
  Feed("control", Join{5, "10.1.0.1:1", "other"});
  Feed("control", Exit{5, "refused"});
  EXPECT_EQ(coordinator_->Status(now_).open_sweeps, 0u);
}

// Propagation of a configuration through a fleet with faults.

//! A fault that is present while a configuration is published.
struct FaultCase {
  const char* name;
  std::function<void(FakeFleet&)> inject_fault;
  std::function<void(FakeFleet&)> clear_fault;
};

TEST(ConfigurationPropagationTest,
     ReachesAllInstancesWithinSixSecondsOfRecovery) {
  const FaultCase kCases[] = {
      {"no fault", [](auto&) {}, [](auto&) {}},
      {"one data centre without connection to the log",
       [](auto& it) { it.CutFromLog(1, true); },
       [](auto& it) { it.CutFromLog(1, false); }},
      {"no instance reaches the log", [](auto& it) { it.SetLogDown(true); },
       [](auto& it) { it.SetLogDown(false); }},
      {"an instance is killed and restarted", [](auto& it) { it.Kill(0); },
       [](auto& it) { it.Restart(0); }},
      {"an instance is paused", [](auto& it) { it.Pause(1); },
       [](auto& it) { it.Resume(1); }},
  };
  for (const FaultCase& it : kCases) {
    FakeFleet::Options options;
    options.coordinator.shards = 1;
    FakeFleet fleet(options);
    fleet.Publish(0, "first");
    fleet.RunFor(kSecond * 4);
    it.inject_fault(fleet);
    const uint64_t version =
        fleet.Publish(fleet.coordinator(2).config_version(), "next");
    fleet.RunFor(kSecond * 20);
    it.clear_fault(fleet);
    fleet.RunFor(kSecond * 6);
    for (size_t i = 0; i < fleet.size(); ++i) {
      EXPECT_EQ(fleet.coordinator(i).config_version(), version) << it.name;
    }
  }
}

TEST(ConfigurationPropagationTest,
     InstanceDisconnectedFromLogGetsConfigurationFromPeer) {
  FakeFleet::Options options;
  options.data_centres = 1;
  options.coordinator.shards = 1;
  FakeFleet fleet(options);
  fleet.Publish(0, "first");
  fleet.RunFor(kSecond * 4);
  const uint64_t before = fleet.coordinator(0).config_version();
  fleet.CutFromLog(0, true);
  const uint64_t version = fleet.Publish(before, "next");
  // Stands for an instance 1 that read the new version before it lost its
  // connection to the log.
  fleet.coordinator(1).OnMessage(fleet.now(), fleet.now(), 99,
                                 ConfigReply{version, {}});
  fleet.RunFor(kSecond * 6);
  EXPECT_EQ(fleet.coordinator(0).config_version(), version);
}

}  // namespace
}  // namespace tamaracktrail
