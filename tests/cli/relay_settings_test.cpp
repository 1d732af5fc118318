#include "cli/relay_settings.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"

namespace tamaracktrail {
namespace {

constexpr char kValidSettings[] =
    "[instance]\nname = n-1\ndata_centre = a\n"
    "[listen]\ncallers = 10.0.0.1:80\nhealth = 10.0.0.1:81\n"
    "peers = 10.0.0.1:82\nmetrics = 10.0.0.1:83\n"
    "[store]\naddress = 10.0.0.2:90\nreads_per_s = 6000\n"
    "[limits]\nfile_descriptors = 4100\ngrace_ms = 8000\n"
    "[retries]\nratio = 0.2\nextra = 56\n";

struct InvalidSettings {
  const char* name;
  const char* from;
  const char* to;
};

class InvalidSettingsTest : public testing::TestWithParam<InvalidSettings> {};

TEST_P(InvalidSettingsTest, ReportOneFault) {
  std::vector<SettingFault> faults;
  RelaySettings::Parse(
      "f",
      absl::StrReplaceAll(kValidSettings, {{GetParam().from, GetParam().to}}),
      &faults);
  EXPECT_EQ(faults.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    InvalidSettingsTest,
    testing::Values(
        InvalidSettings{"no_name", "name = n-1\n", ""},
        InvalidSettings{"slash", "n-1", "n/1"},
        InvalidSettings{"address", "10.0.0.2:90", "store"},
        InvalidSettings{"ratio", "ratio = 0.2", "ratio = 2"},
        InvalidSettings{"descriptors", "4100", "-1"},
        InvalidSettings{"first_start", "name = n-1\n",
                        "name = n-1\nfirst_start = 2\n"},
        InvalidSettings{"window", "extra = 56", "extra = 56\nwindow_s = 0"},
        InvalidSettings{"cold_overage", "[retries]",
                        "[cold_start]\noverage = 0\n[retries]"},
        InvalidSettings{"cold_tolerance", "[retries]",
                        "[cold_start]\ntolerance = -1\n[retries]"},
        InvalidSettings{"no_region", "[retries]",
                        "[data_centres]\na = \n[retries]"},
        InvalidSettings{"unknown_key", "extra = 56", "extra = 56\nother = 1"}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(RelaySettingsTest, ParsesValidSettings) {
  std::vector<SettingFault> faults;
  const RelaySettings settings =
      RelaySettings::Parse("f", kValidSettings, &faults);
  EXPECT_TRUE(faults.empty());
  EXPECT_EQ(settings.instance, "n-1");
  EXPECT_EQ(settings.peers_address, "10.0.0.1:82");
  EXPECT_EQ(settings.store_address, "10.0.0.2:90");
  EXPECT_EQ(settings.store_reads_per_s, 6000);
  EXPECT_EQ(settings.store_writes_per_s, 800);
  EXPECT_EQ(settings.grace_period, Millis(8000));
  EXPECT_EQ(settings.retries.extra, 56);
  EXPECT_EQ(settings.retries.window, Millis(10000));
}

TEST(RelaySettingsTest, ParsesTheBoundsOfColdEndpoints) {
  std::vector<SettingFault> faults;
  const ColdEndpoints::Bounds defaults =
      RelaySettings::Parse("f", kValidSettings, &faults).cold_start;
  EXPECT_EQ(defaults.overage, 1.5);
  EXPECT_EQ(defaults.tolerance, 5);
  const ColdEndpoints::Bounds bounds =
      RelaySettings::Parse(
          "f",
          absl::StrReplaceAll(
              kValidSettings,
              {{"[retries]",
                "[cold_start]\noverage = 2\ntolerance = 0\n[retries]"}}),
          &faults)
          .cold_start;
  EXPECT_TRUE(faults.empty());
  EXPECT_EQ(bounds.overage, 2);
  EXPECT_EQ(bounds.tolerance, 0);
}

TEST(RelaySettingsTest, ParsesTheRegionsOfDataCentres) {
  std::vector<SettingFault> faults;
  const RelaySettings settings = RelaySettings::Parse(
      "f",
      absl::StrCat(kValidSettings, "[data_centres]\na-1 = east\nb = west\n"),
      &faults);
  EXPECT_TRUE(faults.empty());
  EXPECT_EQ(settings.regions, (std::map<std::string, std::string>{
                                  {"a-1", "east"}, {"b", "west"}}));
}

TEST(RelaySettingsTest, ParsesTheRetryWindowAndAFirstStart) {
  std::vector<SettingFault> faults;
  const RelaySettings settings = RelaySettings::Parse(
      "f",
      absl::StrReplaceAll(kValidSettings,
                          {{"extra = 56", "extra = 56\nwindow_s = 7.5"},
                           {"name = n-1\n", "name = n-1\nfirst_start = 1\n"}}),
      &faults);
  EXPECT_TRUE(faults.empty());
  EXPECT_EQ(settings.retries.window, Millis(7500));
  EXPECT_TRUE(settings.first_start);
}

}  // namespace
}  // namespace tamaracktrail
