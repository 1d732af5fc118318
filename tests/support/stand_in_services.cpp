#include "support/stand_in_services.h"

#include <libsoup/soup.h>

#include "transport/clock.h"

namespace tamaracktrail {

using nlohmann::json;

void StandInRecords::OnRequest(SoupServerMessage* message,
                               const std::string& path,
                               const Query&) {
  if (path == "/ran") {
    Reply(message, 200, json(run_counts_));
    return;
  }
  if (path == "/health") {
    Reply(message, 200,
          json{{"boot_id", "records"},
               {"leaving", ControlValue("leaving", false)},
               {"load", 0},
               {"loaded", json::array()}});
    return;
  }
  if (ControlValue("refuse", false)) {
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "X-Not-Run", "1");
    Reply(message, 503, json{{"error", "refused"}});
    return;
  }
  const int64_t delay = ControlValue("delay_ms", int64_t{0});
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
  const int run_count = ++run_counts_[id];
  const int64_t cuts_left = ControlValue("cut_after_run", int64_t{0});
  if (cuts_left > 0) {
    control_values()["cut_after_run"] = cuts_left - 1;
    CutConnection(message);
    return;
  }
  Reply(message, 200,
        json{{"path", path}, {"request", id}, {"receipt", run_count}});
}

void StandInInstanceList::OnRequest(SoupServerMessage* message,
                                    const std::string&,
                                    const Query&) {
  if (ControlValue("outage", false)) {
    Reply(message, 503, json{{"error", "outage"}});
    return;
  }
  Reply(message, 200, json{{"instances", visible_instances_}});
}

void StandInInstanceList::OnControl() {
  After(ControlValue("lag_ms", int64_t{0}), [this] {
    visible_instances_ = ControlValue("instances", json::array());
  });
}

void StandInWeights::OnRequest(SoupServerMessage* message,
                               const std::string&,
                               const Query&) {
  const int64_t current_minute = MonotonicNow().count() / kMinute.count();
  if (current_minute != current_minute_) {
    current_minute_ = current_minute;
    reads_in_minute_ = 0;
  }
  if (++reads_in_minute_ > ControlValue("per_minute", int64_t{600})) {
    Reply(message, 429, json{{"error", "too many reads"}});
    return;
  }
  Reply(message, 200,
        json{{"weights", ControlValue("weights", json::array())}});
}

}  // namespace tamaracktrail
