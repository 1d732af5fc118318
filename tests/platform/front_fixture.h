#ifndef TESTS_PLATFORM_FRONT_FIXTURE_H_
#define TESTS_PLATFORM_FRONT_FIXTURE_H_

#include <gtest/gtest.h>
#include <signal.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "cli/relay_settings.h"
#include "platform/front.h"
#include "platform/wire_names.h"
#include "state/budget_claim.h"
#include "support/caller.h"
#include "support/loopback.h"
#include "support/sample_config.h"
#include "support/stand_in_endpoint.h"
#include "support/stand_in_store.h"
#include "transport/event_loop.h"

namespace tamaracktrail {

//! Runs one instance between stand-ins, all on one thread and one event loop.
class FrontTest : public testing::Test {
 protected:
  FrontTest() : store_(&loop_), a_(&loop_, "a"), b_(&loop_, "b") {
    settings_.instance = "node-1";
    settings_.data_centre = "dc-1";
    settings_.callers_address = FreeAddress();
    settings_.health_address = FreeAddress();
    settings_.peers_address = FreeAddress();
    settings_.metrics_address = FreeAddress();
    settings_.store_address = store_.address();
    settings_.file_descriptors = 1024;
    // The instance ran before, and retries of its earlier process do not count,
    // so that tests need not wait for its part of the retry budget.
    settings_.retries = {0.2, 50, Millis(0)};
    store_.Put(platform::kInstanceTopic, settings_.instance,
               absl::StrCat(settings_.peers_address, " dc-1"));
    settings_.grace_period = Millis(4000);
    PutConfig(1, 1000000);
    for (StandInEndpoint* it : {&a_, &b_}) {
      PutEndpoint(*it, "app", 1, false);
    }
  }

  void PutConfig(int64_t version, int64_t prepaid) {
    store_.Put(platform::kOperatorTopic, platform::kConfigKey,
               SampleConfig(version, prepaid));
  }

  void PutEndpoint(const StandInEndpoint& endpoint,
                   const std::string& service,
                   int64_t sequence,
                   bool draining) {
    store_.Put(platform::kEndpointTopic, endpoint.id(),
               endpoint.DirectoryEntry(service, sequence, draining));
  }

  //! Lists both endpoints of `service` at `address`.
  void ListEndpointsAt(const std::string& address, const std::string& service) {
    for (StandInEndpoint* it : {&a_, &b_}) {
      store_.Put(platform::kEndpointTopic, it->id(),
                 it->DirectoryEntry(service, 2, false, address));
    }
  }

  void UseAsEngines() {
    for (StandInEndpoint* it : {&a_, &b_}) {
      PutEndpoint(*it, "llm", 2, false);
    }
  }

  Caller* Send(const std::string& request) {
    return SendTo(settings_.callers_address, request);
  }

  Caller* SendTo(const std::string& address, const std::string& request) {
    callers_.push_back(std::make_unique<Caller>(&loop_, address, request));
    return callers_.back().get();
  }

  //! Runs the instance; `script` runs once it is ready.
  void Run(const std::function<void()>& script) {
    platform::Front front("no-settings-file", settings_);
    WhenReady(script);
    const absl::Status status = front.Run();
    if (!status.ok()) {
      // The script did not run, so the expectations of the test are
      // meaningless.
      throw std::runtime_error(status.ToString());
    }
  }

  void WhenReady(const std::function<void()>& script) {
    auto probe = std::make_shared<Caller>(&loop_, settings_.health_address,
                                          ReadinessRequest());
    Await([probe] { return probe->finished(); },
          [this, probe, script] {
            if (probe->status() == 200) {
              script();
            } else {
              WhenReady(script);
            }
          });
  }

  //! Calls `then` once `done` holds; fails the test after `max_polls` polls, 2
  //! ms apart: 5 s by default.
  void Await(const std::function<bool()>& done,
             const std::function<void()>& then,
             int max_polls = 2500) {
    if (done()) {
      then();
    } else if (max_polls == 0) {
      ADD_FAILURE() << "condition did not hold in time";
      Stop();
    } else {
      loop_.After(Millis(2), [=, this] { Await(done, then, max_polls - 1); });
    }
  }

  void AwaitOver(Caller* caller, const std::function<void()>& then) {
    Await([caller] { return caller->finished(); }, then);
  }

  //! A request on the public route `name` that only one version has.
  std::string VersionRequest(const std::string& name) const {
    return absl::StrCat("GET /", name,
                        "/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: ",
                        callers_.size(), "\r\n\r\n");
  }

  //! Calls `then` once requests on the public route `name` are served; fails
  //! the test after `max_tries` tries, 20 ms apart: 5 s by default.
  void AwaitRoute(const std::string& name,
                  const std::function<void()>& then,
                  int max_tries = 250) {
    if (max_tries == 0) {
      ADD_FAILURE() << "route " << name << " was not served in time";
      Stop();
      return;
    }
    Caller* caller = Send(VersionRequest(name));
    AwaitOver(caller, [=, this] {
      if (caller->status() == 404) {
        loop_.After(Millis(20),
                    [=, this] { AwaitRoute(name, then, max_tries - 1); });
        return;
      }
      in_force_at_ = loop_.Now();
      then();
    });
  }

  static void Stop() { raise(SIGTERM); }

  //! Unspent tokens that the newest claim locks; 0 while the newest claim
  //! reports no spent tokens, that is, before the first charge is in the store.
  int64_t LockedShare() const {
    const auto claim = DecodeBudgetClaim(
        "node-1/cedar", store_.Newest(platform::kBudgetTopic, "node-1/cedar"));
    return claim && claim->spent > 0 ? claim->locked - claim->spent : 0;
  }

  int64_t ClaimedShare() const {
    const auto claim = DecodeBudgetClaim(
        "node-1/cedar", store_.Newest(platform::kBudgetTopic, "node-1/cedar"));
    return claim ? claim->claimed : 0;
  }

  //! Sends one request and stops the instance after its answer.
  Caller* RunOne(const std::string& request) {
    Caller* caller = nullptr;
    Run([&] {
      caller = Send(request);
      AwaitOver(caller, [] { Stop(); });
    });
    return caller;
  }

  EventLoop loop_;
  StandInStore store_;
  StandInEndpoint a_;
  StandInEndpoint b_;
  RelaySettings settings_;
  Millis started_at_;
  Millis in_force_at_;
  std::vector<std::unique_ptr<Caller>> callers_;
};

}  // namespace tamaracktrail

#endif  // TESTS_PLATFORM_FRONT_FIXTURE_H_
