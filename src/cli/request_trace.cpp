#include "cli/request_trace.h"

#include <algorithm>
#include <istream>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

namespace tamaracktrail {

namespace {

//! Returns the value of a key in a line of key=value pairs, up to the next
//! space; empty if the key is absent.
std::string ValueOf(const std::string& line, const std::string& key) {
  const std::string prefix = absl::StrCat(" ", key, "=");
  const std::string text = absl::StrCat(" ", line);
  const size_t at = text.find(prefix);
  if (at == std::string::npos) {
    return "";
  }
  const size_t begin = at + prefix.size();
  return text.substr(begin, text.find(' ', begin) - begin);
}

//! Returns the name of the state that a line reports, such as "endpoint/ID"; a
//! later line with the same name replaces it. Empty if the line reports no
//! state.
std::string StateKey(const std::string& line) {
  const std::string event = ValueOf(line, "event");
  if (event == "config" || event == "ready" || event == "not_ready" ||
      event == "draining" || event == "start") {
    return event;
  }
  if (absl::StartsWith(event, "store_")) {
    return absl::StrCat("store/", ValueOf(line, "topic"));
  }
  if (absl::StartsWith(event, "budgets_")) {
    return "budgets";
  }
  if (absl::StartsWith(event, "endpoint")) {
    return absl::StrCat("endpoint/", ValueOf(line, "endpoint"));
  }
  if (event == "budget" || event == "claim" || event == "tokens_requested" ||
      event == "tokens_borrowed") {
    return absl::StrCat(event, "/", ValueOf(line, "organisation"));
  }
  return "";
}

}  // namespace

RequestTrace::RequestTrace(std::string request_id)
    : request_id_(std::move(request_id)) {}

void RequestTrace::Read(const std::string& source, std::istream& in) {
  std::map<std::string, LogEntry> state;
  std::string line;
  while (std::getline(in, line)) {
    const size_t start = line.find("time_ms=");
    if (start == std::string::npos) {
      continue;
    }
    line.erase(0, start);
    int64_t time_ms = 0;
    if (!absl::SimpleAtoi(ValueOf(line, "time_ms"), &time_ms)) {
      continue;
    }
    const std::string key = StateKey(line);
    if (!key.empty()) {
      state[key] = {time_ms, source, line};
    }
    if (ValueOf(line, "id") == request_id_) {
      entries_.push_back({time_ms, source, line});
      AddContext(source, state, line);
    }
  }
}

void RequestTrace::AddContext(const std::string& source,
                              const std::map<std::string, LogEntry>& state,
                              const std::string& line) {
  const std::string organisation = ValueOf(line, "organisation");
  for (const auto& [key, entry] : state) {
    if (absl::StartsWith(key, "store/")) {
      entries_.push_back(entry);
    }
  }
  for (const std::string& key :
       {std::string("start"), std::string("config"), std::string("draining"),
        std::string("budgets"),
        absl::StrCat("endpoint/", ValueOf(line, "endpoint")),
        absl::StrCat("budget/", organisation),
        absl::StrCat("claim/", organisation),
        absl::StrCat("tokens_requested/", organisation),
        absl::StrCat("tokens_borrowed/", organisation)}) {
    const auto it = state.find(key);
    if (it != state.end()) {
      entries_.push_back({it->second.time_ms, source, it->second.text});
    }
  }
}

std::vector<std::string> RequestTrace::Lines() const {
  std::vector<LogEntry> ordered = entries_;
  std::sort(ordered.begin(), ordered.end());
  ordered.erase(std::unique(ordered.begin(), ordered.end()), ordered.end());
  std::vector<std::string> lines;
  for (const LogEntry& it : ordered) {
    lines.push_back(absl::StrCat(it.source, " ", it.text));
  }
  return lines;
}

}  // namespace tamaracktrail
