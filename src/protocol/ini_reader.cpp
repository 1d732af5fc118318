#include "protocol/ini_reader.h"

#include <gio/gio.h>

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace tamaracktrail {

IniReader::IniReader(std::string file,
                     const std::string& text,
                     std::vector<SettingFault>* faults)
    : file_(std::move(file)), faults_(faults), keys_(g_key_file_new()) {
  GError* ec = nullptr;
  if (!g_key_file_load_from_data(keys_, text.data(), text.size(),
                                 G_KEY_FILE_NONE, &ec)) {
    faults_->push_back({file_, "", "", ec->message, "an INI file"});
    g_error_free(ec);
  }
}

IniReader::~IniReader() {
  g_key_file_unref(keys_);
}

std::vector<std::string> IniReader::Sections() const {
  std::vector<std::string> sections;
  gchar** groups = g_key_file_get_groups(keys_, nullptr);
  for (gchar** it = groups; *it != nullptr; ++it) {
    sections.emplace_back(*it);
  }
  g_strfreev(groups);
  return sections;
}

std::vector<std::string> IniReader::Keys(const std::string& section) const {
  std::vector<std::string> keys;
  gchar** names = g_key_file_get_keys(keys_, section.c_str(), nullptr, nullptr);
  for (gchar** it = names; it != nullptr && *it != nullptr; ++it) {
    keys.emplace_back(*it);
  }
  g_strfreev(names);
  return keys;
}

std::optional<std::string> IniReader::String(const std::string& section,
                                             const std::string& key,
                                             bool required) {
  requested_keys_[section].insert(key);
  gchar* value =
      g_key_file_get_string(keys_, section.c_str(), key.c_str(), nullptr);
  if (value == nullptr) {
    if (required) {
      AddFault(section, key, "", "a value; the key is required");
    }
    return std::nullopt;
  }
  std::string out = value;
  g_free(value);
  return out;
}

int64_t IniReader::Integer(const std::string& section,
                           const std::string& key,
                           int64_t fallback,
                           int64_t min,
                           int64_t max) {
  const std::optional<std::string> text = String(section, key);
  if (!text.has_value()) {
    return fallback;
  }
  int64_t value = 0;
  if (!absl::SimpleAtoi(*text, &value) || value < min || value > max) {
    AddFault(section, key, *text,
             absl::StrCat("an integer in ", min, "..", max));
    return fallback;
  }
  return value;
}

double IniReader::Number(const std::string& section,
                         const std::string& key,
                         double fallback,
                         double min,
                         double max) {
  const std::optional<std::string> text = String(section, key);
  if (!text.has_value()) {
    return fallback;
  }
  double value = 0;
  if (!absl::SimpleAtod(*text, &value) || !(value >= min && value <= max)) {
    AddFault(section, key, *text, absl::StrCat("a number in ", min, "..", max));
    return fallback;
  }
  return value;
}

bool IniReader::Boolean(const std::string& section,
                        const std::string& key,
                        bool fallback) {
  const std::optional<std::string> text = String(section, key);
  if (!text.has_value()) {
    return fallback;
  }
  if (*text != "true" && *text != "false") {
    AddFault(section, key, *text, "true or false");
    return fallback;
  }
  return *text == "true";
}

std::vector<std::string> IniReader::List(const std::string& section,
                                         const std::string& key) {
  requested_keys_[section].insert(key);
  std::vector<std::string> out;
  gchar** values = g_key_file_get_string_list(keys_, section.c_str(),
                                              key.c_str(), nullptr, nullptr);
  for (gchar** it = values; it != nullptr && *it != nullptr; ++it) {
    const std::string value = g_strstrip(*it);
    if (!value.empty()) {
      out.push_back(value);
    }
  }
  g_strfreev(values);
  return out;
}

std::string IniReader::Choice(const std::string& section,
                              const std::string& key,
                              const std::vector<std::string>& allowed) {
  const std::optional<std::string> text = String(section, key);
  if (!text.has_value()) {
    return allowed.front();
  }
  for (const std::string& it : allowed) {
    if (*text == it) {
      return it;
    }
  }
  AddFault(section, key, *text, absl::StrJoin(allowed, " or "));
  return allowed.front();
}

void IniReader::AddFault(const std::string& section,
                         const std::string& key,
                         const std::string& read,
                         const std::string& allowed) {
  faults_->push_back({file_, section, key, read, allowed});
}

void IniReader::RejectUnknownKeys() {
  for (const std::string& section : Sections()) {
    gchar** keys =
        g_key_file_get_keys(keys_, section.c_str(), nullptr, nullptr);
    for (gchar** it = keys; it != nullptr && *it != nullptr; ++it) {
      if (!requested_keys_[section].contains(*it)) {
        AddFault(section, *it, *it,
                 absl::StrCat("only ",
                              absl::StrJoin(requested_keys_[section], ", ")));
      }
    }
    g_strfreev(keys);
  }
}

bool IsAddress(const std::string& text) {
  GError* ec = nullptr;
  GSocketConnectable* address = g_network_address_parse(text.c_str(), 0, &ec);
  if (address == nullptr) {
    g_error_free(ec);
    return false;
  }
  auto* parsed = G_NETWORK_ADDRESS(address);
  const bool numeric =
      g_hostname_is_ip_address(g_network_address_get_hostname(parsed));
  const bool port = g_network_address_get_port(parsed) != 0;
  g_object_unref(address);
  return numeric && port;
}

}  // namespace tamaracktrail
