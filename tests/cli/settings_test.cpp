#include "cli/settings.h"

#include <gtest/gtest.h>

#include <fstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "cli/file_io.h"
#include "cli/publication.h"
#include "cli/setting_def.h"
#include "coordination/catalog.h"

namespace tamaracktrail {
namespace {

class SettingsTest : public testing::Test {
 protected:
  SettingsTest() : key_file_(testing::TempDir() + "fleet.key") {
    std::ofstream(key_file_) << "0123456789abcdef";
  }

  std::string ValidSettings() const {
    return absl::StrCat(
        "[instance]\naddress = 127.0.0.1:7000\nlisten = 127.0.0.1:8000\n"
        "data_centre = dc\n[fleet]\nkey_file = ",
        key_file_, "\n[platform]\nlog_url = http://127.0.0.1:9000\n");
  }

  std::vector<SettingFault> FaultsOf(const std::string& text) {
    std::vector<SettingFault> faults;
    Settings::Parse("f.ini", text, &faults);
    return faults;
  }

  std::string key_file_;
};

TEST_F(SettingsTest, ValidFileHasNoFaultsAndUsesDefaults) {
  std::vector<SettingFault> faults;
  const Settings settings = Settings::Parse("f.ini", ValidSettings(), &faults);
  EXPECT_TRUE(faults.empty()) << faults[0].ToString();
  EXPECT_EQ(settings.Number("budget", "hold"), 0.5);
  EXPECT_EQ(settings.CoordinationOptions(7).self.incarnation, 7u);
}

TEST_F(SettingsTest, InvalidFileReportsAllFaultsAtOnce) {
  const auto faults = FaultsOf(
      "[instance]\naddress = nowhere\nlisten = 127.0.0.1:8000\n"
      "[fleet]\nkey_file = /no/such/file\nledger_shards = many\nodd = 1\n"
      "[platform]\nlog_url = ftp:/x\n[budget]\nhold = 2\n[tls]\n"
      "certificate = /no/such/file\n[other]\na = b\n");
  std::set<std::string> faulty_keys;
  for (const SettingFault& it : faults) {
    EXPECT_EQ(it.file, "f.ini");
    EXPECT_FALSE(it.allowed.empty());
    faulty_keys.insert(it.section + "." + it.key);
  }
  for (const char* it :
       {"instance.address", "instance.data_centre", "fleet.key_file",
        "fleet.ledger_shards", "fleet.odd", "platform.log_url", "budget.hold",
        "tls.certificate", "tls.", "other.a"}) {
    EXPECT_TRUE(faulty_keys.contains(it)) << it;
  }
}

TEST_F(SettingsTest, PageForOperatorsHasEachKeyWithItsDefault) {
  const auto page =
      ReadFile(std::string(SOURCE_FOLDER) + "/docs/operators/settings.md");
  ASSERT_TRUE(page.ok());
  for (const SettingDef& it : AllSettings()) {
    EXPECT_NE(page->find(absl::StrCat("| ", it.section, " | ", it.key, " |")),
              std::string::npos)
        << it.key;
    EXPECT_NE(page->find(absl::StrCat("| ", it.description, " |")),
              std::string::npos)
        << it.key;
    if (it.max > 0) {
      const std::string numbers = absl::StrFormat(
          "| %.10g | %.10g..%.10g |", it.default_value, it.min, it.max);
      EXPECT_NE(page->find(numbers), std::string::npos) << it.key;
    }
  }
}

// Tests of Catalog and of the publication of declarations.

constexpr char kDeclarations[] =
    "[organisation org]\nkey_hashes = s:"
    "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\n"
    "[budget b]\norganisation = org\n"
    "[service m]\nkind = model\nowner = team\n"
    "[endpoint e]\naddress = 127.0.0.1:9\nservice = m\ndata_centre = dc\n";

TEST(CatalogTest, ValidDeclarationsHaveNoFaults) {
  std::vector<SettingFault> faults;
  const Catalog it = ParseCatalog(3, {{"a.ini", kDeclarations}}, &faults);
  EXPECT_TRUE(faults.empty());
  EXPECT_EQ(it.organisations.at("org").budget, "b");
  EXPECT_NE(it.ServiceOfModel("m"), nullptr);
}

//! Text to add to valid declarations, and the section of the expected fault.
struct DeclarationFault {
  const char* text;
  const char* section;
};

TEST(CatalogTest, InvalidDeclarationReportsItsSection) {
  const DeclarationFault kCases[] = {
      {"[budget c]\norganisation = nobody\n", "budget c"},
      {"[budget c]\norganisation = org\n", "budget c"},
      {"[organisation two]\nkey_hashes = bad\n", "organisation two"},
      {"[service n]\nkind = model\n", "service n"},
      {"[service n]\nkind = model\nowner = t\nmodel = m\n", "service n"},
      {"[service n]\nkind = other\nowner = t\n", "service n"},
      {"[endpoint f]\naddress = x\nservice = m\ndata_centre = dc\n",
       "endpoint f"},
      {"[endpoint f]\naddress = 127.0.0.1:9\nservice = z\ndata_centre = dc\n",
       "endpoint f"},
      {"[placement p]\nservice = m\ndata_centre = dc\ntarget = t\n"
       "min_copies = 3\nmax_copies = 2\n",
       "placement p"},
      {"[service m]\nkind = model\nowner = other\n", "service m"},
      {"[thing x]\n", "thing x"},
  };
  for (const DeclarationFault& it : kCases) {
    std::vector<SettingFault> faults;
    ParseCatalog(0, {{"a.ini", kDeclarations}, {"b.ini", it.text}}, &faults);
    const bool reported = std::any_of(
        faults.begin(), faults.end(),
        [&](const auto& fault) { return fault.section == it.section; });
    EXPECT_TRUE(reported) << it.text;
  }
}

TEST(CatalogTest, BearerKeyIsAcceptedOnlyWithItsOrganisationsSecret) {
  OrganisationSpec spec;
  spec.name = "org";
  spec.key_hashes = {HashKey("salt", "secret")};
  Catalog catalog;
  catalog.organisations["org"] = spec;
  EXPECT_NE(catalog.Authenticate("org.secret"), nullptr);
  EXPECT_EQ(catalog.Authenticate("org.other"), nullptr);
  EXPECT_EQ(catalog.Authenticate("secret"), nullptr);
  EXPECT_EQ(catalog.Authenticate("nobody.secret"), nullptr);
}

TEST(CatalogTest, MethodAndPathPrefixDecideWhetherACallIsRepeatable) {
  ServiceSpec spec;
  spec.non_repeatable = {"POST /fees"};
  EXPECT_FALSE(spec.Repeatable("POST", "/fees/7"));
  EXPECT_TRUE(spec.Repeatable("GET", "/fees/7"));
  EXPECT_TRUE(spec.Repeatable("POST", "/grades"));
}

TEST(PublicationTest, DiffListsRemovedChangedAndAddedFilesAndLines) {
  const auto lines = DiffFiles({{"a", "x\ny\n"}, {"gone", ""}},
                               {{"a", "x\nz\n"}, {"new", ""}});
  EXPECT_EQ(lines, (std::vector<std::string>{"removed gone", "changed a",
                                             "  - y", "  + z", "added new"}));
}

}  // namespace
}  // namespace tamaracktrail
