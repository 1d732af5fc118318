#include "cli/record_text.h"

#include <glib.h>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "protocol/result_info.h"
#include "state/digest.h"

namespace tamaracktrail {

namespace {

std::string CodeText(int32_t code) {
  for (const ResultInfo& it : AllResults()) {
    if (static_cast<int32_t>(it.code) == code) {
      return absl::StrCat(code, " (", it.name, ")");
    }
  }
  return absl::StrCat(code);
}

std::string Text(const TopUp& it) {
  return absl::StrCat("top_up organisation=", it.organisation, " id=", it.id,
                      " tokens=", it.tokens, " author=", it.author);
}
std::string Text(const Draw& it) {
  return absl::StrCat("draw organisation=", it.organisation,
                      " holder=", Hex(it.holder), " tokens=", it.tokens);
}
std::string Text(const Return& it) {
  return absl::StrCat("return organisation=", it.organisation,
                      " holder=", Hex(it.holder), " tokens=", it.tokens);
}
std::string Text(const ShareRequest& it) {
  return absl::StrCat("want organisation=", it.organisation,
                      " holder=", Hex(it.holder), " tokens=", it.tokens);
}
std::string Text(const Charge& it) {
  return absl::StrCat("charge organisation=", it.organisation, " key=", it.key,
                      " tokens=", it.tokens, " prompt=", it.prompt_tokens,
                      " completion=", it.completion_tokens,
                      " service=", it.service, " endpoint=", it.endpoint,
                      " attempt=", Hex(it.attempt), " entry=", Hex(it.entry),
                      " holder=", Hex(it.holder),
                      " config=", it.config_version);
}
std::string Text(const RunClaim& it) {
  return absl::StrCat("claim organisation=", it.organisation, " key=", it.key,
                      " service=", it.service, " attempt=", Hex(it.attempt),
                      " entry=", Hex(it.entry));
}
std::string Text(const Abandon& it) {
  return absl::StrCat("abandon organisation=", it.organisation, " key=", it.key,
                      " attempt=", Hex(it.attempt));
}
std::string Text(const Outcome& it) {
  return absl::StrCat("outcome organisation=", it.organisation, " key=", it.key,
                      " attempt=", Hex(it.attempt), " endpoint=", it.endpoint,
                      " status=", it.http_status, " code=", CodeText(it.code));
}
std::string Text(const Run& it) {
  return absl::StrCat("run organisation=", it.organisation, " key=", it.key,
                      " service=", it.service, " endpoint=", it.endpoint,
                      " code=", CodeText(it.code), " attempt=", Hex(it.attempt),
                      " entry=", Hex(it.entry), " config=", it.config_version);
}
std::string Text(const Refusal& it) {
  return absl::StrCat("refusal organisation=", it.organisation, " key=", it.key,
                      " service=", it.service, " code=", CodeText(it.code),
                      " reason=\"", it.reason, "\" entry=", Hex(it.entry),
                      " config=", it.config_version);
}
std::string Text(const Release& it) {
  return absl::StrCat("release holder=", Hex(it.holder), " evidence=\"",
                      it.evidence, "\" kept=", it.kept.size());
}
std::string Text(const LedgerSnapshot& it) {
  return absl::StrCat("snapshot next=", it.next_offset,
                      " bytes=", it.state.size());
}
std::string Text(const ControlSnapshot& it) {
  return absl::StrCat("snapshot next=", it.next_offset,
                      " bytes=", it.state.size());
}
std::string Text(const Configuration& it) {
  return absl::StrCat("configuration base=", it.base, " id=", it.id,
                      " author=", it.author, " files=", it.files.size());
}
std::string Text(const Join& it) {
  return absl::StrCat("join incarnation=", Hex(it.incarnation),
                      " address=", it.address, " data_centre=", it.data_centre);
}
std::string Text(const Exit& it) {
  return absl::StrCat("exit incarnation=", Hex(it.incarnation), " evidence=\"",
                      it.evidence, "\"");
}
std::string Text(const Crash& it) {
  return absl::StrCat("crash content=", it.content, " endpoint=", it.endpoint,
                      " key=", it.key, " attempt=", Hex(it.attempt));
}
std::string Text(const Trial& it) {
  return absl::StrCat("trial content=", it.content,
                      " attempt=", Hex(it.attempt));
}
std::string Text(const Term& it) {
  return absl::StrCat("term data_centre=", it.data_centre,
                      " holder=", Hex(it.holder));
}
std::string Text(const Order& it) {
  return absl::StrCat("order data_centre=", it.data_centre,
                      " fencing_number=", it.fencing_number,
                      " endpoint=", it.endpoint, " action=", it.action,
                      " target=", it.target);
}
std::string Text(const Void& it) {
  return absl::StrCat("void organisation=", it.organisation, " key=", it.key,
                      " attempt=", Hex(it.attempt));
}
std::string Text(const Fence& it) {
  return absl::StrCat("fence holder=", Hex(it.holder),
                      " entry=", Hex(it.entry));
}
std::string Text(const TrialEnd& it) {
  return absl::StrCat("acquit content=", it.content,
                      " attempt=", Hex(it.attempt), " well=", it.succeeded);
}

}  // namespace

std::string RecordText(const Record& record) {
  return std::visit([](const auto& it) { return Text(it); }, record);
}

std::string RecordKey(const Record& record) {
  return std::visit(
      [](const auto& it) -> std::string {
        if constexpr (requires { it.key; }) {
          return it.key;
        } else {
          return "";
        }
      },
      record);
}

std::string TimeText(Millis wall) {
  constexpr int64_t kMillisPerSecond = 1000;
  GDateTime* time =
      g_date_time_new_from_unix_utc(wall.count() / kMillisPerSecond);
  if (time == nullptr) {
    return "?";
  }
  gchar* text = g_date_time_format(time, "%Y-%m-%dT%H:%M:%S");
  const std::string out =
      absl::StrFormat("%s.%03dZ", text, wall.count() % kMillisPerSecond);
  g_free(text);
  g_date_time_unref(time);
  return out;
}

}  // namespace tamaracktrail
