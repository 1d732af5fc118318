#include "platform/topic_reader.h"

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"
#include "platform/store_client.h"
#include "platform/store_record.h"
#include "platform/wire_names.h"
#include "support/fault_proxy.h"
#include "support/stand_in_store.h"
#include "transport/event_log.h"
#include "transport/event_loop.h"
#include "transport/metrics.h"

namespace tamaracktrail::platform {
namespace {

//! Follows the operator's topic on a stand-in of the store.
class TopicReaderTest : public testing::Test {
 protected:
  TopicReaderTest()
      : log_fd_(open("/dev/null", O_WRONLY | O_NONBLOCK)),
        log_(&loop_, log_fd_),
        store_(&loop_),
        client_(&loop_, &log_, store_.address(), &metrics_),
        reader_(
            &loop_,
            &log_,
            &client_,
            {kOperatorTopic, Millis(1000), Millis(20)},
            [this](const StoreRecord& it) {
              read_at_ = loop_.Now();
              values_.push_back(it.value);
              values_by_key_[it.key] = it.value;
            },
            [](const std::vector<std::string>&) {}) {}
  ~TopicReaderTest() override { close(log_fd_); }

  //! Stops the loop once `value` was read, or after `limit`.
  void RunUntilRead(const std::string& value, Millis limit) {
    if (limit <= Millis(0) || (!values_.empty() && values_.back() == value)) {
      loop_.Quit();
      return;
    }
    loop_.After(Millis(5),
                [=, this] { RunUntilRead(value, limit - Millis(5)); });
  }

  EventLoop loop_;
  int log_fd_;
  EventLog log_;
  Metrics metrics_;
  StandInStore store_;
  StoreClient client_;
  TopicReader reader_;
  std::vector<std::string> values_;
  std::map<std::string, std::string> values_by_key_;  //!< The last of each.
  Millis read_at_;
};

TEST_F(TopicReaderTest, CallsMadeDuringSilenceDoNotDelayReadsAfterIt) {
  Millis back_at;
  reader_.Start();
  loop_.After(Millis(100), [&] {
    // The first read of the silence fails after 2.2 s, the second one has been
    // sent when the store is back.
    store_.Put(kOperatorTopic, kConfigKey, "before");
    store_.faults().unresponsive = true;
    loop_.After(Millis(2600), [&] {
      store_.faults().unresponsive = false;
      back_at = loop_.Now();
      store_.Put(kOperatorTopic, kConfigKey, "after");
      RunUntilRead("after", Millis(8000));
    });
  });
  loop_.Run();
  EXPECT_EQ(values_, (std::vector<std::string>{"before", "after"}));
  EXPECT_LT(read_at_ - back_at, Millis(2000));
}

// Guards against an event loop that stands still while one answer's records are
// passed on.
TEST_F(TopicReaderTest, RecordsOfOneAnswerArePassedOnInSeveralWakeUps) {
  constexpr size_t kRecords = 5000;
  constexpr size_t kMostInAWakeUp = 256;
  store_.Put(kOperatorTopic, kConfigKey, "listed");
  size_t most = 0;
  size_t before = 0;
  const std::function<void()> watch = [&] {
    most = std::max(most, values_.size() - before);
    before = values_.size();
    if (values_.size() == kRecords + 1) {
      loop_.Quit();
    } else {
      loop_.After(Millis(0), watch);
    }
  };
  reader_.Start();
  loop_.After(Millis(100), [&] {
    for (size_t i = 0; i < kRecords; ++i) {
      store_.Put(kOperatorTopic, kConfigKey, absl::StrCat(i));
    }
    watch();
  });
  loop_.After(Millis(8000), [&] { loop_.Quit(); });
  loop_.Run();
  ASSERT_EQ(values_.size(), kRecords + 1);
  EXPECT_EQ(values_.back(), absl::StrCat(kRecords - 1));
  EXPECT_EQ(reader_.next_offset(), static_cast<int64_t>(kRecords + 1));
  EXPECT_LE(most, kMostInAWakeUp);
}

// Guards against records of before a restore that count after it.
TEST_F(TopicReaderTest, RestoreWhileRecordsArePassedOnListsAgain) {
  const auto copy = store_.MakeCopy();
  const std::function<void()> restore = [&] {
    if (values_.empty()) {
      loop_.After(Millis(0), restore);
      return;
    }
    store_.Restore(*copy, false);
    reader_.OnStoreRestored();
    values_.clear();
    store_.Put(kOperatorTopic, kConfigKey, "kept");
    RunUntilRead("kept", Millis(3000));
  };
  reader_.Start();
  loop_.After(Millis(100), [&] {
    for (int i = 0; i < 5000; ++i) {
      store_.Put(kOperatorTopic, kConfigKey, "lost");
    }
    restore();
  });
  loop_.Run();
  EXPECT_EQ(values_, std::vector<std::string>{"kept"});
}

TEST_F(TopicReaderTest, AnswersLaterThanTheTimeoutAreUsed) {
  store_.Put(kOperatorTopic, kConfigKey, "first");
  store_.faults().delay = Millis(1700);
  reader_.Start();
  loop_.After(Millis(5000), [&] {
    store_.Put(kOperatorTopic, kConfigKey, "second");
    RunUntilRead("second", Millis(8000));
  });
  loop_.Run();
  EXPECT_EQ(values_, (std::vector<std::string>{"first", "second"}));
}

TEST_F(TopicReaderTest, RecordsAtOffsetsThatARestoreGaveOutAgainAreRead) {
  store_.Put(kOperatorTopic, "a", "copied");
  const auto copy = store_.MakeCopy();
  store_.Put(kOperatorTopic, "b", "lost");
  store_.Put(kOperatorTopic, "c", "lost");
  client_.SetOnRestored([&] { reader_.OnStoreRestored(); });
  reader_.Start();
  loop_.After(Millis(100), [&] {
    store_.Restore(*copy, false);
    // The end of the topic is past the position of the reader again.
    for (const char* it : {"d", "e", "f", "g"}) {
      store_.Put(kOperatorTopic, it, it);
    }
    RunUntilRead("g", Millis(3000));
  });
  loop_.Run();
  for (const char* it : {"d", "e", "f", "g"}) {
    EXPECT_EQ(values_by_key_[it], it);
  }
}

TEST_F(TopicReaderTest, AnswerOfBeforeARestoreIsNotUsedAfterIt) {
  store_.Put(kOperatorTopic, "a", "copied");
  const auto copy = store_.MakeCopy();
  client_.SetOnRestored([&] { reader_.OnStoreRestored(); });
  reader_.Start();
  // The read of "lost" is answered after 1.4 s, when its call has failed and
  // the store has been restored. The answer is kept for the next equal read.
  loop_.After(Millis(100), [&] {
    store_.faults().answer_delay = Millis(2400);
    store_.Put(kOperatorTopic, "b", "lost");
    loop_.After(Millis(200), [&] {
      store_.faults().answer_delay = Millis(0);
      store_.Restore(*copy, false);
      store_.Put(kOperatorTopic, "c", "new");
    });
  });
  loop_.After(Millis(3500), [&] { loop_.Quit(); });
  loop_.Run();
  EXPECT_EQ(values_by_key_["c"], "new");
  EXPECT_FALSE(values_by_key_.contains("b"));
}

TEST_F(TopicReaderTest, LatePageOfFirstTryDoesNotHideLaterRemoval) {
  store_.SetPageSize(1);
  store_.Put(kOperatorTopic, "a", "kept");
  store_.Put(kOperatorTopic, "b", "removed");
  reader_.Start();
  // The first page is answered at once, the second one, which still has "b",
  // after its call has failed. The listing begins again without "b".
  store_.faults().answer_delay = Millis(100);
  loop_.After(Millis(50), [&] { store_.faults().answer_delay = Millis(1350); });
  loop_.After(Millis(1000), [&] {
    store_.faults().answer_delay = Millis(0);
    store_.Put(kOperatorTopic, "b", "");
    store_.Put(kOperatorTopic, "c", "last");
    RunUntilRead("last", Millis(8000));
  });
  loop_.Run();
  const auto last_of = [&](const std::string& key) {
    const auto it = values_by_key_.find(key);
    return it == values_by_key_.end() ? "" : it->second;
  };
  EXPECT_EQ(last_of("a"), "kept");
  EXPECT_EQ(last_of("b"), "");
}

TEST_F(TopicReaderTest, DeadIdleConnectionsDelayOneReadOnly) {
  FaultProxy proxy(&loop_, store_.address());
  StoreClient client(&loop_, &log_, proxy.address(), &metrics_);
  TopicReader reader(
      &loop_, &log_, &client, {kOperatorTopic, Millis(0), Millis(400)},
      [&](const StoreRecord& it) {
        read_at_ = loop_.Now();
        values_.push_back(it.value);
      },
      [](const std::vector<std::string>&) {});
  // Calls at the same time leave one idle connection each.
  for (int i = 0; i < 4; ++i) {
    client.List(kEndpointTopic, "", [](const absl::StatusOr<StorePage>&) {});
  }
  Millis dead_at;
  loop_.After(Millis(100), [&] { reader.Start(); });
  loop_.After(Millis(700), [&] {
    proxy.SetMode(FaultProxy::Mode::kBlackhole);
    dead_at = loop_.Now();
    // Connections that are open by now stay dead, new ones work.
    loop_.After(Millis(100), [&] {
      proxy.SetMode(FaultProxy::Mode::kPass);
      store_.Put(kOperatorTopic, kConfigKey, "after");
      RunUntilRead("after", Millis(8000));
    });
  });
  loop_.Run();
  EXPECT_EQ(values_, std::vector<std::string>{"after"});
  EXPECT_LT(read_at_ - dead_at, Millis(3000));
}

}  // namespace
}  // namespace tamaracktrail::platform
