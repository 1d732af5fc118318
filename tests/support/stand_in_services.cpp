#include "support/stand_in_services.h"

#include <libsoup/soup.h>

#include "transport/clock.h"

namespace tamaracktrail {

using nlohmann::json;

void StandInRecords::OnRequest(SoupServerMessage* message,
                               const std::string& path,
                               const Query&) {
  if (path == "/ran") {
    Reply(message, 200, json(ran_));
    return;
  }
  if (path == "/health") {
    Reply(message, 200,
          json{{"boot_id", "records"},
               {"leaving", Switch("leaving", false)},
               {"load", 0},
               {"loaded", json::array()}});
    return;
  }
  if (Switch("refuse", false)) {
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "X-Not-Run", "1");
    Reply(message, 503, json{{"error", "refused"}});
    return;
  }
  const int64_t delay = Switch("delay_ms", int64_t{0});
  if (delay == 0) {
    Serve(message, path);
    return;
  }
  soup_server_message_pause(message);
  g_object_ref(message);
  After(delay, [this, message, path] {
    Serve(message, path);
    soup_server_message_unpause(message);
    g_object_unref(message);
  });
}

void StandInRecords::Serve(SoupServerMessage* message,
                           const std::string& path) {
  const std::string id = Header(message, "X-Request-Id");
  const int n = ++ran_[id];
  const int64_t cut = Switch("cut_after_run", int64_t{0});
  if (cut > 0) {
    switches()["cut_after_run"] = cut - 1;
    Cut(message);
    return;
  }
  Reply(message, 200, json{{"path", path}, {"request", id}, {"receipt", n}});
}

void StandInList::OnRequest(SoupServerMessage* message,
                            const std::string&,
                            const Query&) {
  if (Switch("outage", false)) {
    Reply(message, 503, json{{"error", "outage"}});
    return;
  }
  Reply(message, 200, json{{"instances", shown_}});
}

void StandInList::OnControl() {
  After(Switch("lag_ms", int64_t{0}),
        [this] { shown_ = Switch("instances", json::array()); });
}

void StandInWeights::OnRequest(SoupServerMessage* message,
                               const std::string&,
                               const Query&) {
  const int64_t minute = MonotonicNow().count() / kMinute.count();
  if (minute != minute_) {
    minute_ = minute;
    in_minute_ = 0;
  }
  if (++in_minute_ > Switch("per_minute", int64_t{600})) {
    Reply(message, 429, json{{"error", "too many reads"}});
    return;
  }
  Reply(message, 200, json{{"weights", Switch("weights", json::array())}});
}

}  // namespace tamaracktrail
