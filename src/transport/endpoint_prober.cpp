#include "transport/endpoint_prober.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include <glog/logging.h>

#include "transport/http_client.h"

namespace tamaracktrail {

namespace {

//! Largest load that is believed, in open requests.
constexpr double kMaxLoad = 1e6;

//! Size limit of an answer to a probe.
constexpr size_t kMaxHealthBytes = 64 * 1024;

EndpointObservation Parse(const std::string& endpoint,
                          Millis sent_at,
                          const absl::StatusOr<HttpReply>& reply) {
  EndpointObservation out;
  out.endpoint = endpoint;
  out.as_of = sent_at;
  out.health = EndpointHealth::kDown;
  if (!reply.ok() || reply->status != 200) {
    return out;
  }
  const nlohmann::json body =
      nlohmann::json::parse(reply->body, nullptr, false);
  if (!body.is_object()) {
    return out;
  }
  try {
    out.load =
        static_cast<int>(std::clamp(body.value("load", 0.0), 0.0, kMaxLoad));
    out.boot_id = body.value("boot_id", "");
    out.loaded = body.value("loaded", std::vector<std::string>());
    out.health = body.value("leaving", false) ? EndpointHealth::kDraining
                                              : EndpointHealth::kUp;
  } catch (const nlohmann::json::exception& e) {
    LOG(WARNING) << "event=health_unreadable endpoint=" << endpoint
                 << " reason=\"" << e.what() << "\"";
  }
  return out;
}

}  // namespace

EndpointProber::EndpointProber(HttpClient* client, OnObservation on_observation)
    : client_(client), on_observation_(std::move(on_observation)) {}

void EndpointProber::Probe(Millis now, const EndpointSpec& endpoint) {
  auto it = last_probe_at_.find(endpoint.name);
  if (it != last_probe_at_.end() && now < it->second + kProbeInterval) {
    return;
  }
  ProbeNow(now, endpoint, nullptr);
}

void EndpointProber::ProbeNow(Millis now,
                              const EndpointSpec& endpoint,
                              OnObservation done) {
  last_probe_at_[endpoint.name] = now;
  HttpClient::Request request;
  request.url = "http://" + endpoint.address + "/health";
  request.timeout = kTimeout;
  request.max_body_bytes = kMaxHealthBytes;
  client_->Send(request, [this, now, name = endpoint.name,
                          done = std::move(done)](auto reply) {
    if (absl::IsCancelled(reply.status())) {
      return;
    }
    const EndpointObservation observation = Parse(name, now, reply);
    on_observation_(observation);
    if (done) {
      done(observation);
    }
  });
}

}  // namespace tamaracktrail
