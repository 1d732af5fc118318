#include "cli/audit.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>

#include "absl/strings/escaping.h"
#include "state/batch.h"
#include "state/batch_codec.h"

namespace tamaracktrail {
namespace {

constexpr int64_t kKeyWindowMs = 24 * 3600 * 1000;

//! An export with one budget and three charges, all by one writer.
class AuditTest : public testing::Test {
 protected:
  AuditTest()
      : folder_(testing::TempDir() + "audit_" +
                testing::UnitTest::GetInstance()->current_test_info()->name()) {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    Add({TopUp{"org", "t", 100, "ops"}, Draw{"org", 7, 80}}, 7);
    for (int i = 1; i <= 3; ++i) {
      Add({MakeCharge("key" + std::to_string(i), 10)}, 7);
    }
  }

  static Charge MakeCharge(const std::string& key, int64_t tokens) {
    Charge it;
    it.organisation = "org";
    it.key = key;
    it.holder = 7;
    it.attempt = std::hash<std::string>()(key);
    it.tokens = tokens;
    it.endpoint = "engine";
    return it;
  }

  void Add(std::vector<Record> records, uint64_t writer) {
    const Batch batch{writer, ++sequence_, previous_, Millis(1000 * sequence_),
                      std::move(records)};
    payloads_.push_back(codec_.Encode(batch));
    previous_ = BatchCodec::ChainDigest(payloads_.back());
  }

  AuditReport Verify() {
    std::ofstream out(folder_ + "/ledger-0.jsonl");
    uint64_t offset = 0;
    for (const std::string& it : payloads_) {
      ++offset;
      if (!it.empty()) {
        out << nlohmann::json{{"offset", offset},
                              {"data", absl::Base64Escape(it)}}
            << "\n";
      }
    }
    out.close();
    return *VerifyExport(folder_, codec_, kKeyWindowMs);
  }

  std::string folder_;
  BatchCodec codec_{"a key for tests"};
  std::vector<std::string> payloads_;
  std::string previous_;
  uint64_t sequence_ = 0;
};

TEST_F(AuditTest, ValidExportHasNoFaultsAndRebuildsBalance) {
  const AuditReport report = Verify();
  EXPECT_TRUE(report.faults.empty());
  EXPECT_EQ(report.budgets.at("org").charged, 30);
  EXPECT_EQ(report.budgets.at("org").prepaid, 100);
}

TEST_F(AuditTest, CorruptedByteIsReported) {
  payloads_[2][60] = static_cast<char>(payloads_[2][60] ^ 1);
  EXPECT_FALSE(Verify().faults.empty());
}

TEST_F(AuditTest, MissingEntryIsReported) {
  payloads_[2].clear();
  EXPECT_FALSE(Verify().faults.empty());
  payloads_.erase(payloads_.begin() + 2);
  EXPECT_FALSE(Verify().faults.empty());
}

TEST_F(AuditTest, DuplicateChargeIsCountedButNotBilled) {
  Add({MakeCharge("key1", 10)}, 7);
  const AuditReport report = Verify();
  EXPECT_EQ(report.void_charges, 1u);
  EXPECT_EQ(report.budgets.at("org").charged, 30);
}

TEST_F(AuditTest, TopUpAuthenticatedWithAnotherKeyIsReportedAndIgnored) {
  const BatchCodec other_codec("some other key here");
  payloads_.push_back(
      other_codec.Encode({9, 1, "", Millis(1), {TopUp{"org", "x", 9999, ""}}}));
  const AuditReport report = Verify();
  EXPECT_FALSE(report.faults.empty());
  EXPECT_EQ(report.budgets.at("org").prepaid, 100);
}

TEST_F(AuditTest, ExplainListsRecordsOfRequestKey) {
  Verify();
  const auto lines = ExplainKey(folder_, codec_, kKeyWindowMs, "key2");
  ASSERT_TRUE(lines.ok());
  ASSERT_EQ(lines->size(), 1u);
  EXPECT_NE(lines->front().find("endpoint=engine"), std::string::npos);
  EXPECT_NE(lines->front().find("verdict=accepted"), std::string::npos);
}

}  // namespace
}  // namespace tamaracktrail
