#include "transport/log_service.h"

#include <glib.h>
#include <gtest/gtest.h>

#include <optional>

#include "support/fake_log.h"
#include "support/stand_in_log.h"
#include "support/stand_in_services.h"
#include "transport/http_client.h"
#include "transport/http_log_service.h"
#include "transport/http_platform.h"

namespace tamaracktrail {
namespace {

//! Adapts the fake log to the LogService interface.
class FakeLogService {
 public:
  void Append(const std::string& stream,
              const std::string& payload,
              AppendDone done) {
    done(log_.Append(stream, payload));
  }
  void Read(const std::string& stream,
            uint64_t from,
            size_t max_entries,
            Millis,
            ReadDone done) {
    done(LogPage{log_.Read(stream, from, max_entries), log_.End(stream)});
  }
  void SetRetention(size_t n) { log_.set_retained_entries(n); }

 private:
  FakeLog log_;
};

//! HttpLogService with a stand-in server.
class HttpLogUnderTest {
 public:
  HttpLogUnderTest()
      : service_(&client_,
                 "http://127.0.0.1:" + std::to_string(server_.Listen(0))) {}

  void Append(const std::string& stream,
              const std::string& payload,
              AppendDone done) {
    service_.Append(stream, payload, std::move(done));
  }
  void Read(const std::string& stream,
            uint64_t from,
            size_t max_entries,
            Millis wait,
            ReadDone done) {
    service_.Read(stream, from, max_entries, wait, std::move(done));
  }
  void SetRetention(size_t n) { server_.Control({{"keep", n}}); }
  StandInLog& server() { return server_; }

 private:
  StandInLog server_;
  HttpClient client_;
  HttpLogService service_;
};

static_assert(LogService<FakeLogService>);
static_assert(LogService<HttpLogUnderTest>);

template <class Log>
class LogServiceTest : public testing::Test {
 protected:
  absl::StatusOr<uint64_t> Append(const std::string& payload) {
    std::optional<absl::StatusOr<uint64_t>> result;
    log_.Append("s", payload, [&](auto it) { result = std::move(it); });
    while (!result.has_value()) {
      g_main_context_iteration(nullptr, TRUE);
    }
    return *result;
  }

  absl::StatusOr<LogPage> Read(uint64_t from,
                               size_t max_entries = 100,
                               Millis wait = Millis()) {
    std::optional<absl::StatusOr<LogPage>> result;
    log_.Read("s", from, max_entries, wait,
              [&](auto it) { result = std::move(it); });
    while (!result.has_value()) {
      g_main_context_iteration(nullptr, TRUE);
    }
    return *result;
  }

  Log log_;
};

using Logs = testing::Types<FakeLogService, HttpLogUnderTest>;
TYPED_TEST_SUITE(LogServiceTest, Logs);

TYPED_TEST(LogServiceTest, OffsetsStartAtOneAndAreContiguous) {
  EXPECT_EQ(this->Append("a").value(), 1u);
  EXPECT_EQ(this->Append("b").value(), 2u);
}

TYPED_TEST(LogServiceTest, ReadReturnsPayloadsUnchangedAndInOrder) {
  std::string payload;
  for (int i = 0; i < 256; ++i) {
    payload.push_back(static_cast<char>(i));
  }
  this->Append(payload).value();
  this->Append("b").value();
  const LogPage page = this->Read(1).value();
  ASSERT_EQ(page.entries.size(), 2u);
  EXPECT_EQ(page.entries[0], (LogEntry{1, payload}));
  EXPECT_EQ(page.entries[1], (LogEntry{2, "b"}));
  EXPECT_EQ(page.end, 3u);
}

TYPED_TEST(LogServiceTest, ReadOfEmptyStreamReturnsNoEntries) {
  const LogPage page = this->Read(1).value();
  EXPECT_TRUE(page.entries.empty());
  EXPECT_EQ(page.end, 1u);
}

TYPED_TEST(LogServiceTest, ReadReturnsAtMostMaxEntries) {
  for (int i = 0; i < 5; ++i) {
    this->Append("x").value();
  }
  EXPECT_EQ(this->Read(2, 3).value().entries.size(), 3u);
}

TYPED_TEST(LogServiceTest, ReadOfDiscardedOffsetStartsAtOldestRetainedEntry) {
  this->log_.SetRetention(2);
  for (int i = 0; i < 5; ++i) {
    this->Append("x").value();
  }
  const LogPage page = this->Read(1).value();
  ASSERT_EQ(page.entries.size(), 2u);
  EXPECT_EQ(page.entries[0].offset, 4u);
}

class HttpLogTest : public LogServiceTest<HttpLogUnderTest> {};

TEST_F(HttpLogTest, CallDuringOutageFailsWithoutEffect) {
  log_.server().Control({{"outage", true}});
  EXPECT_FALSE(Append("a").ok());
  EXPECT_FALSE(Read(1).ok());
  log_.server().Control({{"outage", false}});
  EXPECT_TRUE(Read(1).value().entries.empty());
}

TEST_F(HttpLogTest, AppendWithLostAnswerFailsButEntryIsStored) {
  log_.server().Control({{"lose_answers", 1}});
  EXPECT_FALSE(Append("a").ok());
  EXPECT_EQ(Read(1).value().entries.size(), 1u);
}

TEST_F(HttpLogTest, ReadReturnsConcurrentlyAppendedEntry) {
  std::optional<absl::StatusOr<LogPage>> page;
  log_.Read("s", 1, 10, kMinute, [&](auto it) { page = std::move(it); });
  log_.Append("s", "a", [](auto) {});
  while (!page.has_value()) {
    g_main_context_iteration(nullptr, TRUE);
  }
  EXPECT_EQ(page->value().entries.size(), 1u);
}

TEST(PlatformTest, FetchesInstancesAndReportsWeightStoreRateLimit) {
  StandInInstanceList list;
  StandInWeights weights;
  HttpClient client;
  const std::string local = "http://127.0.0.1:";
  HttpInstanceList instances(&client, local + std::to_string(list.Listen(0)));
  HttpWeightStore store(&client, local + std::to_string(weights.Listen(0)));
  list.Control({{"instances",
                 {{{"address", "10.0.0.1:7"},
                   {"data_centre", "dc"},
                   {"leaving", true}}}}});
  weights.Control({{"weights", {"m1"}}, {"per_minute", 1}});
  std::vector<ListedInstance> listed;
  bool is_open = false;
  while (listed.empty()) {
    // A call that is still open at the end of the test would end in another.
    if (!is_open) {
      is_open = true;
      instances.Fetch([&](auto it) {
        is_open = false;
        listed = it.value();
      });
    }
    g_main_context_iteration(nullptr, TRUE);
  }
  EXPECT_EQ(listed[0], (ListedInstance{"10.0.0.1:7", "dc", true}));
  std::vector<absl::Status> results;
  for (int i = 0; i < 2; ++i) {
    store.List([&](auto it) { results.push_back(it.status()); });
  }
  while (results.size() < 2) {
    g_main_context_iteration(nullptr, TRUE);
  }
  const bool limited = absl::IsResourceExhausted(results[0]) ||
                       absl::IsResourceExhausted(results[1]);
  EXPECT_TRUE(limited);
}

}  // namespace
}  // namespace tamaracktrail
