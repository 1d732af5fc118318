#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "platform/config_decoder.h"
#include "platform/endpoint_decoder.h"
#include "platform/store_record.h"
#include "platform/wire_names.h"
#include "protocol/http_fields.h"
#include "state/routing_config.h"

namespace tamaracktrail::platform {
namespace {

using nlohmann::json;

constexpr char kConfig[] = R"({"version":7,"routes":[
  {"name":"r1","host":"H.example","path_prefix":"/a/","kind":"streaming",
   "timeout_ms":15000,"target_latency_ms":800,"priority":1,
   "traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "max_attempts":1,"session_affinity":true,"target_gap_ms":300},
  {"name":"r2","host":"H.example","path_prefix":"/a/b/","kind":"safe",
   "timeout_ms":600,"target_latency_ms":100,"service":"s2","max_attempts":2,
   "public":true}],
  "services":[{"name":"s1","connection_limit":370,
    "engine":{"slots":64,"kv_token_bytes":163840,"link_mbps":180000.0,
              "stride":5}},{"name":"s2","connection_limit":110,
              "cold_per_s":2.5}],
  "limits":{"max_header_bytes":100,"max_body_bytes":200,
            "header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1,"prepaid":5000}]})";

TEST(ConfigDecoderTest, ParsesRoutesServicesAndOrganisations) {
  const auto config = DecodeConfig(kConfig);
  ASSERT_TRUE(config.ok()) << config.status();
  EXPECT_EQ((*config)->version(), 7);
  const Route* route = (*config)->FindRoute("h.example:80", "/a/x?y=/a/b/");
  ASSERT_NE(route, nullptr);
  EXPECT_EQ(route->name, "r1");
  EXPECT_EQ(route->weighted_services.size(), 2U);
  // Four times the objective of 800 ms, which is more than eight times the gap
  // of 300 ms and than 2 s.
  EXPECT_EQ(route->event_timeout, Millis(3200));
  EXPECT_FALSE(route->repeatable());
  EXPECT_EQ((*config)->FindRoute("h.example", "/a/b/c")->name, "r2");
  EXPECT_EQ((*config)->FindRoute("h.example", "/b/"), nullptr);
  EXPECT_EQ((*config)->FindRoute("other", "/a/"), nullptr);
  EXPECT_EQ((*config)->FindService("s1")->tokens_per_event, 5);
  EXPECT_TRUE((*config)->FindService("s1")->has_engines);
  EXPECT_FALSE((*config)->FindService("s2")->has_engines);
  EXPECT_EQ((*config)->FindService("s1")->cold_per_second, 0);
  EXPECT_EQ((*config)->FindService("s2")->cold_per_second, 2.5);
  EXPECT_EQ((*config)->FindOrganisationByKey("k2")->prepaid, 5000);
  EXPECT_EQ((*config)->FindOrganisationByKey("k3"), nullptr);
  EXPECT_EQ((*config)->limits().max_body_bytes, 200U);
}

TEST(ConfigDecoderTest, RejectsInvalidText) {
  EXPECT_FALSE(DecodeConfig("").ok());
  EXPECT_FALSE(DecodeConfig("{}").ok());
  EXPECT_FALSE(DecodeConfig("{\"version\":1,\"routes\":[{}]}").ok());
}

TEST(ConfigDecoderTest, RejectsConfigurationWithoutOneOfItsParts) {
  const json complete = json::parse(kConfig);
  ASSERT_TRUE(DecodeConfig(complete.dump()).ok());
  for (const char* part : {"version", "routes", "services", "limits"}) {
    json incomplete = complete;
    incomplete.erase(part);
    EXPECT_FALSE(DecodeConfig(incomplete.dump()).ok()) << part;
    incomplete[part] = "text";
    EXPECT_FALSE(DecodeConfig(incomplete.dump()).ok()) << part;
  }
}

TEST(ConfigDecoderTest, ParsesAllowedRegions) {
  json config = json::parse(kConfig);
  const auto route_regions = [&] {
    const auto decoded = DecodeConfig(config.dump());
    return decoded.ok()
               ? (*decoded)->FindRoute("h.example", "/a/x")->allowed_regions
               : std::vector<std::string>{"refused"};
  };
  using Regions = std::vector<std::string>;
  EXPECT_EQ(route_regions(), Regions());
  config["routes"][0]["allowed_regions"] = nullptr;
  EXPECT_EQ(route_regions(), Regions());
  config["routes"][0]["allowed_regions"] = {"east", "west"};
  EXPECT_EQ(route_regions(), (Regions{"east", "west"}));
  config["tenants"][0]["allowed_regions"] = {"east"};
  EXPECT_EQ((*DecodeConfig(config.dump()))
                ->FindOrganisationByKey("k1")
                ->allowed_regions,
            Regions{"east"});
  // Guards against a restriction that is misread as none.
  config["routes"][0]["allowed_regions"] = "east";
  EXPECT_FALSE(DecodeConfig(config.dump()).ok());
  config["routes"][0]["allowed_regions"] = {5};
  EXPECT_FALSE(DecodeConfig(config.dump()).ok());
}

struct EntryCase {
  const char* name;
  const char* text;
  bool ok;
};

class EndpointDecoderTest : public testing::TestWithParam<EntryCase> {};

//! Largest record of the store.
constexpr size_t kRecordBytes = 262144;

TEST(DeeplyNestedRecordTest, IsRefusedByEachDecoder) {
  for (const char* it : {"[", "{\"a\":"}) {
    std::string nested;
    while (nested.size() < kRecordBytes) {
      nested += it;
    }
    const std::string inside = absl::StrCat(
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":64,
            "state":"ready","sequence":4,"born":9,"x":)",
        std::string(kRecordBytes / 2, '['), std::string(kRecordBytes / 2, ']'),
        "}");
    EXPECT_FALSE(DecodeEndpoint("i", nested).ok());
    EXPECT_FALSE(DecodeEndpoint("i", inside).ok());
    EXPECT_FALSE(DecodeConfig(nested).ok());
    EXPECT_FALSE(DecodePage(nested).ok());
  }
}

TEST_P(EndpointDecoderTest, AcceptsOnlyValidEntries) {
  EXPECT_EQ(DecodeEndpoint("i", GetParam().text).ok(), GetParam().ok);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    EndpointDecoderTest,
    testing::Values(
        EntryCase{"complete",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":64,"state":"ready","sequence":4,"born":9})",
                  true},
        EntryCase{"unknown_fields",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z","x":{},
                      "slots":64,"state":"draining","sequence":4,"born":9})",
                  true},
        EntryCase{"unknown_state",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":64,"state":"asleep","sequence":4,"born":9})",
                  false},
        EntryCase{"no_address",
                  R"({"service":"s","zone":"z","slots":64,"state":"ready",
                      "sequence":4,"born":9})",
                  false},
        EntryCase{"slots_out_of_range",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":1e300,"state":"ready","sequence":4,"born":9})",
                  false},
        EntryCase{"negative_slots",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":-1e300,"state":"ready","sequence":4,"born":9})",
                  false},
        EntryCase{"slots_no_number",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":[64],"state":"ready","sequence":4,"born":9})",
                  false},
        EntryCase{"cold_time_out_of_range",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":64,"state":"ready","sequence":4,"born":9,
                      "cold_remaining_ms":1e300})",
                  false},
        EntryCase{"sequence_above_signed_range",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":64,"state":"ready",
                      "sequence":18446744073709551615,"born":9})",
                  false},
        EntryCase{"highest_sequence",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":64,"state":"ready",
                      "sequence":9223372036854775807,"born":9})",
                  false},
        EntryCase{"negative_sequence",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":64,"state":"ready","sequence":-1,"born":9})",
                  false},
        EntryCase{"start_above_signed_range",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":64,"state":"ready","sequence":4,
                      "born":18446744073709551615})",
                  false},
        EntryCase{"number_above_all_ranges",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":64,"state":"ready","sequence":1e999,"born":9})",
                  false},
        EntryCase{"port_out_of_range",
                  R"({"service":"s","address":"10.0.0.1:65536","zone":"z",
                      "slots":64,"state":"ready","sequence":4,"born":9})",
                  false},
        EntryCase{"port_far_out_of_range",
                  R"({"service":"s","address":"10.0.0.1:4294967376",
                      "zone":"z","slots":64,"state":"ready","sequence":4,
                      "born":9})",
                  false},
        EntryCase{"negative_port",
                  R"({"service":"s","address":"10.0.0.1:-80","zone":"z",
                      "slots":64,"state":"ready","sequence":4,"born":9})",
                  false},
        EntryCase{"other_address_family",
                  R"({"service":"s","address":"[::1]:80","zone":"z",
                      "slots":64,"state":"ready","sequence":4,"born":9})",
                  false},
        EntryCase{"bad_address",
                  R"({"service":"s","address":"nowhere","zone":"z","slots":64,
                      "state":"ready","sequence":4,"born":9})",
                  false},
        EntryCase{"number_as_text",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":"64","state":"ready","sequence":4,"born":9})",
                  false},
        EntryCase{"start_time_is_not_an_integer",
                  R"({"service":"s","address":"10.0.0.1:80","zone":"z",
                      "slots":64,"state":"ready","sequence":4,"born":9.5})",
                  false},
        EntryCase{"truncated", R"({"service":"s","addr)", false},
        EntryCase{"not_an_object", "[1]", false}),
    [](const auto& info) { return std::string(info.param.name); });

TEST(StoreRecordTest, EncodedRecordsDecodeToTheSameRecords) {
  const std::string bytes = EncodeRecords({{"k", "v"}, {"gone", ""}});
  // end_offset 0 and first_offset 2, 8 bytes each.
  const auto batch = DecodeBatch(std::string(15, '\0') + '\2' + bytes);
  ASSERT_TRUE(batch.ok());
  EXPECT_EQ(batch->first_offset, 2);
  EXPECT_EQ(batch->records,
            (std::vector<StoreRecord>{{"k", "v"}, {"gone", ""}}));
  EXPECT_FALSE(DecodeBatch("short").ok());
  EXPECT_FALSE(DecodeBatch(std::string(16, '\0') + bytes.substr(1)).ok());
}

TEST(WireNamesTest, ParsesPromptFromHeaderFields) {
  const CallDialect dialect = MakeCallDialect();
  HttpFields fields;
  EXPECT_EQ(*dialect.parse_prompt(fields), std::nullopt);
  fields.Add("x-token-usage", "1460,80");
  fields.Add("X-Prompt-Prefix", "5c:800,91:410,e4:250");
  const auto prompt = *dialect.parse_prompt(fields);
  ASSERT_TRUE(prompt);
  EXPECT_EQ(prompt->max_tokens(), 1540);
  ASSERT_EQ(prompt->parts.size(), 3U);
  EXPECT_EQ(prompt->parts[1], (PromptPart{"91", 410}));
}

TEST(WireNamesTest, NumbersOfTokensThatCannotBeAreErrors) {
  const CallDialect dialect = MakeCallDialect();
  for (const char* it :
       {"", "5", "5,", "5,6,7", "-5,30", "5,-30", "5,x",
        "5,9223372036854775807", "9223372036854775807,5", "1000000001,0"}) {
    HttpFields fields;
    fields.Add("X-Token-Usage", it);
    EXPECT_FALSE(dialect.parse_prompt(fields).ok()) << it;
  }
  HttpFields two;
  two.Add("X-Token-Usage", "5,6");
  two.Add("X-Token-Usage", "5,6");
  EXPECT_FALSE(dialect.parse_prompt(two).ok());
}

TEST(WireNamesTest, PartsOfThePromptEndBeforeANumberThatCannotBe) {
  const CallDialect dialect = MakeCallDialect();
  for (const char* it : {"a:-1", "a:9223372036854775807", "a", "a:x"}) {
    HttpFields fields;
    fields.Add("X-Token-Usage", "5,6");
    fields.Add("X-Prompt-Prefix", absl::StrCat("b:4,", it));
    EXPECT_EQ((*dialect.parse_prompt(fields))->parts.size(), 1U) << it;
  }
}

}  // namespace
}  // namespace tamaracktrail::platform
