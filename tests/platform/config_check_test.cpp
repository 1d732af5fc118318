#include "platform/config_check.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "support/sample_config.h"

namespace tamaracktrail::platform {
namespace {

using nlohmann::json;
using Kind = ConfigFinding::Kind;

//! A configuration without findings.
json SoundConfig(int64_t version = 3) {
  return json::parse(SampleConfig(version, 1000));
}

TEST(ConfigCheckTest, SoundConfigurationHasNoFindings) {
  const auto findings = CheckConfig(SoundConfig().dump());
  EXPECT_TRUE(findings.empty()) << FindingsToText(findings);
}

struct BadConfig {
  const char* name;
  void (*spoil)(json* config);
  Kind kind;
  const char* subject;
  const char* text;  //!< Part of the finding's text.
};

class BadConfigTest : public testing::TestWithParam<BadConfig> {};

// Guards against a mistake that instances accept without a word, and against
// one that hides behind others.
TEST_P(BadConfigTest, IsFoundAlone) {
  json config = SoundConfig();
  GetParam().spoil(&config);
  const auto findings = CheckConfig(config.dump());
  ASSERT_EQ(findings.size(), 1U) << FindingsToText(findings);
  EXPECT_EQ(findings[0].kind, GetParam().kind);
  EXPECT_EQ(findings[0].subject, GetParam().subject);
  EXPECT_TRUE(absl::StrContains(findings[0].text, GetParam().text))
      << findings[0].text;
  EXPECT_EQ(HasErrors(findings), GetParam().kind == Kind::kError);
}

// The first route of the sample is "safe", the third "fee", the fourth
// "report", the fifth "ask".
INSTANTIATE_TEST_SUITE_P(
    All,
    BadConfigTest,
    testing::Values(
        BadConfig{"no_version", [](json* it) { it->erase("version"); },
                  Kind::kError, "", "version"},
        BadConfig{"regions_no_list",
                  [](json* it) { (*it)["routes"][0]["allowed_regions"] = "e"; },
                  Kind::kError, "", "type"},
        BadConfig{"unknown_service",
                  [](json* it) { (*it)["routes"][0]["service"] = "x"; },
                  Kind::kError, "route safe", "unknown service x"},
        BadConfig{"no_service",
                  [](json* it) { (*it)["routes"][0].erase("service"); },
                  Kind::kError, "route safe", "no service"},
        BadConfig{"unknown_kind",
                  [](json* it) { (*it)["routes"][0]["kind"] = "stream"; },
                  Kind::kError, "route safe", "unknown kind"},
        BadConfig{"no_attempts",
                  [](json* it) { (*it)["routes"][0]["max_attempts"] = 0; },
                  Kind::kError, "route safe", "max_attempts"},
        BadConfig{"route_name_twice",
                  [](json* it) { (*it)["routes"][0]["name"] = "fee"; },
                  Kind::kError, "route fee", "used twice"},
        BadConfig{"key_twice",
                  [](json* it) {
                    (*it)["tenants"].push_back(
                        {{"name", "elm"}, {"api_keys", {"key-1"}}});
                  },
                  Kind::kError, "organisation cedar", "also a key of elm"},
        BadConfig{"negative_prepaid",
                  [](json* it) { (*it)["tenants"][0]["prepaid"] = -1; },
                  Kind::kError, "organisation cedar", "prepaid"},
        BadConfig{"no_slots",
                  [](json* it) { (*it)["services"][0]["engine"]["slots"] = 0; },
                  Kind::kError, "service llm", "slots"},
        BadConfig{"no_headers",
                  [](json* it) { (*it)["limits"]["max_header_bytes"] = 0; },
                  Kind::kError, "limits", "max_header_bytes"},
        BadConfig{"same_path",
                  [](json* it) {
                    (*it)["routes"][2]["path_prefix"] = "/safe/";
                    (*it)["routes"][2]["host"] = "H.Example:80";
                  },
                  Kind::kNeverUsed, "route fee", "route safe has the same"},
        BadConfig{"no_slash",
                  [](json* it) { (*it)["routes"][0]["path_prefix"] = "safe"; },
                  Kind::kNeverUsed, "route safe", "no request has such"},
        BadConfig{"unused_service",
                  [](json* it) {
                    (*it)["services"].push_back({{"name", "spare"}});
                  },
                  Kind::kNeverUsed, "service spare", "no route"},
        BadConfig{"small_weight",
                  [](json* it) {
                    (*it)["routes"][0].erase("service");
                    (*it)["routes"][0]["traffic_split"] = {
                        {{"service", "app"}, {"weight", 9}},
                        {{"service", "llm"}, {"weight", 0.5}}};
                  },
                  Kind::kNeverUsed, "route safe", "weight below 1"},
        BadConfig{
            "no_key",
            [](json* it) { (*it)["tenants"][0]["api_keys"] = json::array(); },
            Kind::kNeverUsed, "organisation cedar", "no API key"},
        BadConfig{"empty_region",
                  [](json* it) {
                    (*it)["routes"][0]["allowed_regions"] = {"east", ""};
                  },
                  Kind::kNeverUsed, "route safe", "empty name"},
        BadConfig{"split_and_service",
                  [](json* it) {
                    (*it)["routes"][0]["traffic_split"] = {
                        {{"service", "app"}, {"weight", 1}}};
                  },
                  Kind::kContradiction, "route safe", "the service is ignored"},
        BadConfig{
            "objective_above_timeout",
            [](json* it) { (*it)["routes"][0]["target_latency_ms"] = 1501; },
            Kind::kContradiction, "route safe", "above timeout_ms 1500"},
        BadConfig{"gap_above_timeout",
                  [](json* it) { (*it)["routes"][3]["target_gap_ms"] = 1501; },
                  Kind::kContradiction, "route report", "target_gap_ms"},
        BadConfig{"no_time",
                  [](json* it) {
                    (*it)["routes"][0]["timeout_ms"] = 20;
                    (*it)["routes"][0]["target_latency_ms"] = 10;
                    (*it)["routes"][0]["target_gap_ms"] = 0;
                  },
                  Kind::kContradiction, "route safe", "leaves no time"},
        BadConfig{
            "resumption_without_stream",
            [](json* it) { (*it)["routes"][2]["stream_resumption"] = true; },
            Kind::kContradiction, "route fee", "without streams"},
        BadConfig{"resumption_once",
                  [](json* it) { (*it)["routes"][4]["max_attempts"] = 1; },
                  Kind::kContradiction, "route ask", "no stream is resumed"},
        BadConfig{"regions_apart",
                  [](json* it) {
                    (*it)["routes"][0]["allowed_regions"] = {"east"};
                    (*it)["tenants"][0]["allowed_regions"] = {"west"};
                  },
                  Kind::kContradiction, "organisation cedar", "route safe"},
        BadConfig{"header_after_idle",
                  [](json* it) { (*it)["limits"]["header_timeout_ms"] = 6000; },
                  Kind::kContradiction, "limits", "header_timeout_ms"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(ConfigCheckTest, ReportsWhatDiffersFromTheOtherVersion) {
  const json before = SoundConfig(3);
  json after = SoundConfig(4);
  // The sample's last route is named after the version.
  after["routes"][0]["timeout_ms"] = 2000;
  after["tenants"][0]["prepaid"] = 5000;
  after["tenants"][0]["api_keys"] = {"key-1", "key-2"};
  after["limits"].erase("idle_timeout_ms");
  const std::string text =
      FindingsToText(CheckConfig(after.dump(), before.dump()));
  EXPECT_EQ(text,
            "change: route safe: timeout_ms: 1500 -> 2000\n"
            "change: route version-3: removed\n"
            "change: route version-4: added\n"
            "change: organisation cedar: api_keys: 1 keys -> 2 keys\n"
            "change: organisation cedar: prepaid: 1000 -> 5000\n"
            "change: limits: idle_timeout_ms: 5000 -> absent\n");
}

// Guards against a version that instances silently ignore.
TEST(ConfigCheckTest, VersionHasToRise) {
  const std::string text = SoundConfig(3).dump();
  const auto findings = CheckConfig(text, text);
  ASSERT_EQ(findings.size(), 1U);
  EXPECT_EQ(findings[0].subject, "version");
  EXPECT_TRUE(HasErrors(findings));
  EXPECT_TRUE(HasErrors(CheckConfig(text, "no JSON")));
}

TEST(ConfigCheckTest, JsonHasAListForEachKind) {
  json config = SoundConfig();
  config["routes"][0]["service"] = "x";
  const json out = json::parse(FindingsToJson(CheckConfig(config.dump())));
  ASSERT_EQ(out["error"].size(), 1U);
  EXPECT_EQ(out["error"][0]["subject"], "route safe");
  for (const char* it : {"never_used", "contradiction", "change"}) {
    EXPECT_TRUE(out[it].is_array() && out[it].empty()) << it;
  }
}

}  // namespace
}  // namespace tamaracktrail::platform
