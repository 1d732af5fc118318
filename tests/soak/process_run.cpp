#include "soak/process_run.h"

#include <signal.h>

#include <algorithm>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_replace.h"
#include "platform/wire_names.h"
#include "soak/instance_process.h"
#include "support/caller.h"
#include "support/sample_config.h"
#include "support/stand_in_endpoint.h"
#include "support/stand_in_store.h"
#include "transport/event_loop.h"

namespace tamaracktrail {

namespace {

//! Time bounds are checked only for instances whose process, store and store
//! link have not been disturbed for this long.
constexpr Millis kUndisturbedTime{2500};
//! Documented bound within which instances apply a new configuration and stop
//! sending requests to a draining endpoint.
constexpr Millis kPropagationBound{3000};

//! Time between two events of a stream. Long enough that many streams are open
//! at any time.
constexpr Millis kEventInterval{50};

//! Time from the start of the instances to the first call.
constexpr Millis kWarmUp{2500};
//! Time from the end of all faults to the final check of all routes.
constexpr Millis kRecoveryTime{9000};
//! Time from the end of all faults to the planned changes (endpoints drain, an
//! instance stops). Longer than kUndisturbedTime, so that no fault counts as a
//! disturbance of them and the time bounds apply.
constexpr Millis kPlannedChangesDelay{3000};
constexpr Millis kPollInterval{20};
constexpr Millis kCallInterval{12};
constexpr Millis kProbeInterval{300};
constexpr int64_t kInitialPrepaidTokens = 150 * kSampleStreamTokens;
constexpr int64_t kTopUpTokens = 60 * kSampleStreamTokens;

//! Allowed excess of a limit: an endpoint may get one and a half times what it
//! named, and five more, in each kLimitSpan from kLimitGrace on.
constexpr Millis kLimitSpan{4000};
constexpr Millis kLimitGrace{3000};
constexpr Millis kToldGrace{500};

//! Crashes by one part after which instances have kLimitGrace to refuse it.
constexpr int kMaxCrashes = 3;
//! Requests with it that may still reach endpoints after that.
constexpr int kMaxLateCrashes = 3;
constexpr char kCrashingPart[] = "dead";
//! Time from a crash to the removal of the endpoint and its replacement.
constexpr Millis kReplaceTime{1200};

//! Time for which endpoints want no requests after a refusal, and how many may
//! reach them in it from kToldGrace on.
constexpr Millis kAskedWait{2000};
constexpr int kMaxInAskedWait = 2;

//! Retries that a service may get in any kRetryWindow, with the settings of
//! InstanceProcess.
constexpr double kRetryRatio = 0.2;
constexpr int kRetryExtra = 50;
constexpr Millis kRetryWindow{10000};

struct Call {
  std::string id;
  std::string route;
  int instance = 0;
  Millis sent;
  std::unique_ptr<Caller> caller;
};

class ProcessRun {
 public:
  explicit ProcessRun(const ProcessRunOptions& options)
      : options_(options),
        random_(options.seed),
        call_random_(options.seed),
        restore_random_(options.seed),
        wait_random_(options.seed),
        store_(&loop_) {
    for (const char* it : {"llm", "llm", "app", "app"}) {
      AddEndpoint(it);
    }
    for (int i = 0; i < options.instances; ++i) {
      auto& it = instances_.emplace_back();
      it.process = std::make_unique<InstanceProcess>(
          &loop_, options.binary, options.folder, absl::StrCat("node-", i),
          store_.address());
    }
  }

  ProcessRunReport Run() {
    PublishConfig();
    for (auto& it : instances_) {
      it.process->Start();
    }
    MarkAllDisturbed();
    loop_.After(kWarmUp, [this] {
      SendCall();
      ProbeConfigs();
      InjectFault();
      ScheduleRestore();
      ScheduleWait();
    });
    PollTick();
    loop_.After(kWarmUp + options_.fault_time, [this] { EndAllFaults(); });
    loop_.Run();
    CheckResults();
    return std::move(report_);
  }

 private:
  struct Instance {
    std::unique_ptr<InstanceProcess> process;
    Millis disturbed_at;          //!< Last start or end of a fault.
    Millis process_disturbed_at;  //!< As disturbed_at, of the process only.
    bool paused = false;          //!< By SIGSTOP.
    bool stopping = false;
    Millis stop_requested_at;
    //! A fault disturbed the instance within kUndisturbedTime before the stop
    //! or at any time since.
    bool stop_disturbed = false;
    //! Newest version that probes of the process `seen_start_count` have found.
    int64_t newest_version_seen = 0;
    int seen_start_count = 0;  //!< Start count of the last probed process.
    bool killed = false;       //!< By SIGKILL, at any time in the run.
    Millis restart_at;  //!< Time of the next start; 0 while none is planned.
  };
  //! What an endpoint has asked an instance for.
  struct AskedWait {
    const Instance* from = nullptr;
    Millis asked_at;
    int arrivals = 0;  //!< In the time that counts.
  };
  struct Endpoint {
    std::unique_ptr<StandInEndpoint> stand_in;
    std::unique_ptr<FaultProxy> link;  //!< Its address is the published one.
    std::string service;
    int64_t sequence = 1;
    Millis draining_since;  //!< 0 if it never drained.
    Millis link_disturbed_at;
    bool crashed = false;
    size_t checked_requests = 0;
    size_t checked_arrivals = 0;
    Millis limit_named_at;                      //!< 0 while it names none.
    double limit = 0;                           //!< Requests a second.
    std::map<const Instance*, Millis> told_at;  //!< Of the limit.
    std::deque<Millis> counted_arrivals;        //!< Within kLimitSpan.
    std::deque<AskedWait> asked_waits;
  };
  struct Fault {
    const char* name;
    std::function<void()> start;
  };

  int RandomBelow(int n) { return static_cast<int>(random_() % n); }
  //! For calls and restarts. Their generator is separate, so that the faults
  //! depend on the seed only and not on the number of calls.
  int RandomBelowForCalls(int n) {
    return static_cast<int>(call_random_() % n);
  }
  Millis RandomTime(int from, int to) {
    return Millis(from + RandomBelow(to - from));
  }

  void AddViolation(const std::string& text) {
    if (violations_.insert(text).second) {
      report_.violations.push_back(text);
    }
  }

  // --- Configuration and endpoints -------------------------------------------

  void PublishConfig() {
    ++version_;
    version_published_at_ = loop_.Now();
    store_.Put(platform::kOperatorTopic, platform::kConfigKey,
               SampleConfig(version_, prepaid_tokens_));
  }

  void AddEndpoint(const std::string& service) {
    Endpoint& it = endpoints_.emplace_back();
    it.service = service;
    it.stand_in = std::make_unique<StandInEndpoint>(
        &loop_, absl::StrCat(service, "-", endpoints_.size()));
    it.stand_in->behaviour() = DefaultBehaviour();
    it.link = std::make_unique<FaultProxy>(&loop_, it.stand_in->address());
    it.stand_in->SetOnCrash([this, crashed = &it] {
      crashed->crashed = true;
      crashed->link->SetMode(FaultProxy::Mode::kRefuse);
      ++report_.faults["crash"];
      loop_.After(kReplaceTime, [this, crashed] {
        store_.Put(platform::kEndpointTopic, crashed->stand_in->id(), "");
        AddEndpoint(crashed->service);
      });
    });
    PublishEndpoint(&it);
  }

  void NameLimit() {
    Endpoint& it = endpoints_[RandomBelow(static_cast<int>(endpoints_.size()))];
    constexpr double kLimits[] = {0.2, 1.1, 5};
    it.limit = kLimits[RandomBelow(std::size(kLimits))];
    it.limit_named_at = loop_.Now();
    it.told_at.clear();
    it.counted_arrivals.clear();
    it.stand_in->behaviour().limit = absl::StrCat(it.limit);
    loop_.After(RandomTime(6000, 9000), [&it] { EndLimit(&it); });
  }
  static void EndLimit(Endpoint* it) {
    it->limit_named_at = {};
    it->stand_in->behaviour().limit.clear();
  }

  //! Makes a random endpoint refuse with a time to wait. Has a generator of its
  //! own, like ScheduleRestore.
  void ScheduleWait() {
    const auto random_time = [&](int64_t min_ms, int64_t max_ms) {
      return Millis(
          std::uniform_int_distribution<int64_t>(min_ms, max_ms)(wait_random_));
    };
    const Millis refusing_for = random_time(100, 1500);
    const uint64_t n = wait_random_();
    loop_.After(random_time(1000, 4000), [=, this] {
      if (faults_ended_) {
        return;
      }
      Endpoint& it = endpoints_[n % endpoints_.size()];
      ++report_.faults["endpoint_wait"];
      endpoints_disturbed_at_ = loop_.Now();
      it.stand_in->behaviour().refuse = true;
      it.stand_in->behaviour().retry_after = {
          absl::StrCat(kAskedWait.count() / 1000)};
      loop_.After(refusing_for, [this, &it] {
        endpoints_disturbed_at_ = loop_.Now();
        it.stand_in->behaviour().refuse = false;
        it.stand_in->behaviour().retry_after.clear();
      });
      ScheduleWait();
    });
  }

  static StandInEndpoint::Behaviour DefaultBehaviour() {
    StandInEndpoint::Behaviour behaviour;
    behaviour.event_interval = kEventInterval;
    behaviour.crash_on_part = kCrashingPart;
    return behaviour;
  }

  //! Ends other misbehaviour than a limit.
  static void RestoreBehaviour(Endpoint* it) {
    const std::string limit = it->stand_in->behaviour().limit;
    it->stand_in->behaviour() = DefaultBehaviour();
    it->stand_in->behaviour().limit = limit;
  }

  void PublishEndpoint(Endpoint* it) {
    store_.Put(platform::kEndpointTopic, it->stand_in->id(),
               it->stand_in->DirectoryEntry(it->service, ++it->sequence,
                                            it->draining_since > Millis(0),
                                            it->link->address()));
  }

  // --- Faults ----------------------------------------------------------------

  void MarkDisturbed(Instance* it) {
    it->disturbed_at = loop_.Now();
    it->stop_disturbed = true;
  }
  void MarkProcessDisturbed(Instance* it) {
    MarkDisturbed(it);
    it->process_disturbed_at = loop_.Now();
  }
  void MarkAllDisturbed() {
    for (Instance& it : instances_) {
      MarkDisturbed(&it);
    }
  }
  bool BoundsApply(const Instance& it) const {
    return !it.paused && !it.stopping &&
           loop_.Now() - it.disturbed_at >= kUndisturbedTime;
  }

  void InjectFault() {
    if (faults_ended_) {
      return;
    }
    Instance* it =
        &instances_[RandomBelow(static_cast<int>(instances_.size()))];
    const Fault faults[] = {
        {"kill", [&] { Kill(it); }},
        {"kill_all",
         [&] {
           for (Instance& each : instances_) {
             Kill(&each);
           }
         }},
        {"pause", [&] { Pause(it); }},
        {"stop", [&] { Stop(it); }},
        {"reload", [&] { SendSignal(it, SIGHUP); }},
        // Listed twice, so that it is chosen twice as often.
        {"link", [&] { DisturbLink(it); }},
        {"link", [&] { DisturbLink(it); }},
        {"store", [&] { DisturbStore(); }},
        {"compact", [&] { Compact(); }},
        {"config", [&] { PublishConfig(); }},
        {"topup",
         [&] {
           prepaid_tokens_ += kTopUpTokens;
           PublishConfig();
         }},
        {"endpoint_drains", [&] { DrainRandomEndpoint(); }},
        {"endpoint_misbehaves", [&] { MakeRandomEndpointMisbehave(); }},
        {"endpoint_link", [&] { DisturbRandomEndpointLink(); }},
        {"endpoint_limit", [&] { NameLimit(); }},
    };
    const Fault& fault = faults[RandomBelow(std::size(faults))];
    ++report_.faults[fault.name];
    fault.start();
    // One in five delays exceeds kUndisturbedTime, so that time bounds apply.
    const Millis delay =
        RandomBelow(5) == 0 ? RandomTime(3500, 5000) : RandomTime(50, 900);
    loop_.After(delay, [this] { InjectFault(); });
  }

  void SendSignal(Instance* it, int signal) {
    if (it->process->running()) {
      it->process->Signal(signal);
    }
  }

  void Kill(Instance* it) {
    MarkProcessDisturbed(it);
    it->killed = true;
    it->paused = false;
    SendSignal(it, SIGKILL);
  }

  void Pause(Instance* it) {
    MarkProcessDisturbed(it);
    it->paused = true;
    SendSignal(it, SIGSTOP);
    loop_.After(RandomTime(100, 2500), [this, it] { Resume(it); });
  }
  void Resume(Instance* it) {
    if (it->paused) {
      MarkProcessDisturbed(it);
      it->paused = false;
      SendSignal(it, SIGCONT);
    }
  }

  void Stop(Instance* it) {
    if (it->stopping) {
      return;
    }
    // Computed before disturbed_at is set: only earlier faults count as a
    // disturbance, not the stop itself.
    it->stop_disturbed = loop_.Now() - it->disturbed_at < kUndisturbedTime;
    it->disturbed_at = loop_.Now();
    it->stopping = true;
    it->stop_requested_at = loop_.Now();
    SendSignal(it, SIGTERM);
  }

  FaultProxy::Mode RandomFaultMode() {
    constexpr FaultProxy::Mode kModes[] = {
        FaultProxy::Mode::kDelay,         FaultProxy::Mode::kStall,
        FaultProxy::Mode::kStallToServer, FaultProxy::Mode::kStallToClient,
        FaultProxy::Mode::kBlackhole,     FaultProxy::Mode::kReset};
    return kModes[RandomBelow(std::size(kModes))];
  }

  void DisturbLink(Instance* it) {
    MarkDisturbed(it);
    it->process->store_link().SetMode(RandomFaultMode());
    loop_.After(RandomTime(100, 4000), [this, it] {
      MarkDisturbed(it);
      it->process->store_link().SetMode(FaultProxy::Mode::kPass);
    });
  }

  void DisturbRandomEndpointLink() {
    Endpoint* it =
        &endpoints_[RandomBelow(static_cast<int>(endpoints_.size()))];
    endpoints_disturbed_at_ = loop_.Now();
    it->link_disturbed_at = loop_.Now();
    it->link->SetMode(RandomFaultMode());
    loop_.After(RandomTime(50, 1500), [this, it] {
      endpoints_disturbed_at_ = loop_.Now();
      it->link_disturbed_at = loop_.Now();
      it->link->SetMode(FaultProxy::Mode::kPass);
    });
  }

  void DisturbStore() {
    MarkAllDisturbed();
    StandInStore::Faults& faults = store_.faults();
    switch (RandomBelow(4)) {
      case 0:
        faults.refuse = true;
        break;
      case 1:
        faults.unresponsive = true;
        break;
      case 2:
        faults.lose_append_answers = true;
        break;
      default:
        faults.delay = Millis(150);
    }
    loop_.After(RandomTime(100, 3000), [this] {
      MarkAllDisturbed();
      store_.faults() = {};
    });
  }

  //! Schedules the next restore of the store: from a copy of up to 5 s before,
  //! after an outage of up to 1.5 s.
  void ScheduleRestore() {
    const auto random_time = [&](int64_t min_ms, int64_t max_ms) {
      return Millis(std::uniform_int_distribution<int64_t>(
          min_ms, max_ms)(restore_random_));
    };
    const Millis copy_age = random_time(100, 5000);
    const Millis outage = random_time(0, 1500);
    loop_.After(random_time(500, 6000), [=, this] {
      if (faults_ended_) {
        return;
      }
      loop_.After(copy_age, [=, this, copy = store_.MakeCopy()] {
        if (faults_ended_) {
          return;
        }
        ++report_.faults["restore"];
        MarkAllDisturbed();
        store_.faults().unresponsive = true;
        loop_.After(outage, [=, this] {
          MarkAllDisturbed();
          store_.faults() = {};
          store_.Restore(*copy);
          ScheduleRestore();
        });
      });
    });
  }

  void Compact() {
    for (const char* it : {platform::kOperatorTopic, platform::kEndpointTopic,
                           platform::kBudgetTopic, platform::kInstanceTopic}) {
      store_.Compact(it);
    }
  }

  void DrainRandomEndpoint() {
    Endpoint* it =
        &endpoints_[RandomBelow(static_cast<int>(endpoints_.size()))];
    if (it->draining_since == Millis(0) && !it->stand_in->crashed()) {
      DrainEndpoint(it);
    }
  }

  //! Adds a replacement first, so that each service keeps two endpoints.
  void DrainEndpoint(Endpoint* it) {
    AddEndpoint(it->service);
    it->draining_since = loop_.Now();
    PublishEndpoint(it);
    loop_.After(kPropagationBound + RandomTime(2000, 5000), [this, it] {
      store_.Put(platform::kEndpointTopic, it->stand_in->id(), "");
    });
  }

  void MakeRandomEndpointMisbehave() {
    Endpoint& it = endpoints_[RandomBelow(static_cast<int>(endpoints_.size()))];
    endpoints_disturbed_at_ = loop_.Now();
    StandInEndpoint::Behaviour& behaviour = it.stand_in->behaviour();
    switch (RandomBelow(5)) {
      case 0:
        behaviour.refuse = true;
        break;
      case 1:
        behaviour.unresponsive = true;
        break;
      case 2:
        behaviour.fail = true;
        break;
      case 3:
        behaviour.unsigned_answer = true;
        break;
      default:
        behaviour.abort_after = 2;
    }
    loop_.After(RandomTime(100, 1500), [this, &it] {
      endpoints_disturbed_at_ = loop_.Now();
      RestoreBehaviour(&it);
    });
  }

  void EndAllFaults() {
    faults_ended_ = true;
    for (Instance& it : instances_) {
      Resume(&it);
      it.process->store_link().SetMode(FaultProxy::Mode::kPass);
    }
    store_.faults() = {};
    for (Endpoint& it : endpoints_) {
      EndLimit(&it);
      it.stand_in->behaviour() = DefaultBehaviour();
      it.link->SetMode(FaultProxy::Mode::kPass);
    }
    prepaid_tokens_ += 1000 * kSampleStreamTokens;
    PublishConfig();
    MarkAllDisturbed();
    loop_.After(kRecoveryTime, [this] { CheckRecovery(); });
    loop_.After(kPlannedChangesDelay, [this] {
      for (const char* service : {"llm", "app"}) {
        for (Endpoint& it : endpoints_) {
          if (it.service == service && it.draining_since == Millis(0) &&
              !it.stand_in->crashed()) {
            DrainEndpoint(&it);
            break;
          }
        }
      }
      Stop(&instances_[0]);
    });
  }

  // --- Callers ---------------------------------------------------------------

  void SendCall() {
    if (finished_) {
      return;
    }
    const char* const routes[] = {"safe", "fee", "report", "ask"};
    Call call;
    call.route = routes[RandomBelowForCalls(4)];
    call.instance = RandomBelowForCalls(static_cast<int>(instances_.size()));
    Instance& it = instances_[call.instance];
    call.id = absl::StrCat(it.process->name(), ".", ++report_.requests);
    call.sent = loop_.Now();
    std::string request = SampleRequest(call.route, call.id);
    if (!faults_ended_ && RandomBelowForCalls(60) == 0) {
      // No two of these have the same content.
      call.route = "ask";
      request = absl::StrReplaceAll(
          SampleRequest(call.route, call.id),
          {{"bb:300", absl::StrCat(kCrashingPart, ":300")},
           {"/ask/x", absl::StrCat("/ask/", report_.requests)}});
    }
    if (call.route == "fee" || call.route == "report") {
      non_repeatable_ids_.insert(call.id);
    }
    const auto reusable_caller = std::find_if(
        reusable_callers_.begin(), reusable_callers_.end(),
        [&](const auto& each) {
          return each.first == call.instance && each.second->reusable();
        });
    // About half of the calls reuse an open connection where there is one, also
    // to a stopping process.
    if (reusable_caller != reusable_callers_.end() &&
        RandomBelowForCalls(2) == 0) {
      call.caller = std::move(reusable_caller->second);
      reusable_callers_.erase(reusable_caller);
      call.caller->SendAnother(request);
    } else {
      call.caller = std::make_unique<Caller>(
          &loop_, it.process->callers_address(), request);
    }
    calls_.push_back(std::move(call));
    loop_.After(kCallInterval, [this] { SendCall(); });
  }

  void PollTick() {
    for (Instance& it : instances_) {
      if (it.process->running() || finished_) {
        continue;
      }
      if (it.restart_at == Millis(0)) {
        it.restart_at = loop_.Now() + Millis(RandomBelowForCalls(1500));
      } else if (loop_.Now() >= it.restart_at || faults_ended_) {
        it.restart_at = {};
        it.stopping = false;
        MarkProcessDisturbed(&it);
        it.process->Start();
      }
    }
    for (Endpoint& it : endpoints_) {
      CheckNewRuns(&it);
      CheckNewArrivals(&it);
    }
    std::vector<Call> open;
    for (Call& it : calls_) {
      // A call that is still open after 6 s counts as unanswered.
      if (it.caller->finished() || loop_.Now() - it.sent > Millis(6000)) {
        FinishCall(&it);
      } else {
        open.push_back(std::move(it));
      }
    }
    calls_ = std::move(open);
    loop_.After(kPollInterval, [this] { PollTick(); });
  }

  //! An endpoint that crashes breaks off its answers, whatever the instance
  //! does.
  bool RanAtCrashedEndpoint(const std::string& id) const {
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [&](const Endpoint& it) {
                         return it.crashed && it.stand_in->RunCount(id) > 0;
                       });
  }

  void FinishCall(Call* call) {
    Caller& caller = *call->caller;
    const int status = caller.complete() ? caller.status() : 0;
    ++report_.answers[status];
    status_by_id_[call->id] = status;
    Instance& it = instances_[call->instance];
    if (status == 200) {
      CheckAnswer(*call);
    } else if (status == 0 && it.stopping &&
               it.stop_requested_at > call->sent && !it.stop_disturbed &&
               !RanAtCrashedEndpoint(call->id) &&
               loop_.Now() - endpoints_disturbed_at_ > kUndisturbedTime) {
      AddViolation("a graceful stop ended the connection of " + call->id);
    }
    if (caller.reusable() && reusable_callers_.size() < 50) {
      reusable_callers_.emplace_back(call->instance, std::move(call->caller));
    }
  }

  void CheckAnswer(const Call& call) {
    HttpReader& answer = call.caller->answer();
    if (answer.fields().Find("X-Request-Id") != call.id ||
        answer.fields().Count("X-Server-Signature") != 1) {
      AddViolation("answer to another request or without signature: " +
                   call.id);
    }
    const bool stream = call.route == "report" || call.route == "ask";
    if (answer.body() != (stream ? SampleStreamBody() : "body")) {
      AddViolation("incomplete or wrong answer: " + call.id);
    }
    if (stream) {
      delivered_tokens_ += kSampleStreamTokens;
      delivered_streams_.push_back(call.id);
      if (delivered_tokens_ > prepaid_tokens_) {
        AddViolation(absl::StrCat("overspent: ", delivered_tokens_, " of ",
                                  prepaid_tokens_));
      }
    }
  }

  void CheckNewRuns(Endpoint* it) {
    const auto& ran = it->stand_in->started_requests();
    for (; it->checked_requests < ran.size(); ++it->checked_requests) {
      const std::string id(
          ran[it->checked_requests].fields.Find("X-Request-Id").value_or(""));
      ++run_count_by_id_[id];
      const Instance* from = InstanceOfRequest(id);
      // Runs are noticed up to one kPollInterval late.
      if (from != nullptr && it->draining_since > Millis(0) &&
          loop_.Now() - it->draining_since >
              kPropagationBound + kPollInterval &&
          BoundsApply(*from)) {
        AddViolation(absl::StrCat(id, " ran at ", it->stand_in->id(), " ",
                                  (loop_.Now() - it->draining_since).count(),
                                  " ms after it started to drain"));
      }
    }
  }

  void CheckNewArrivals(Endpoint* it) {
    const auto& arrivals = it->stand_in->arrivals();
    for (; it->checked_arrivals < arrivals.size(); ++it->checked_arrivals) {
      const StandInEndpoint::Arrival& arrival = arrivals[it->checked_arrivals];
      const Instance* from = InstanceOfRequest(arrival.request_id);
      if (from == nullptr) {
        continue;
      }
      if (arrival.crashes) {
        CheckCrash(*from, arrival);
      }
      CheckAskedWaits(it, *from, arrival);
      if (it->limit_named_at > Millis(0) && arrival.at >= it->limit_named_at) {
        CheckLimit(it, *from, arrival.at);
      }
    }
  }

  void CheckCrash(const Instance& from,
                  const StandInEndpoint::Arrival& arrival) {
    if (++crashes_ <= kMaxCrashes) {
      third_crash_at_ = arrival.at;
    } else if (arrival.at - third_crash_at_ > kLimitGrace &&
               BoundsApply(from) && ++late_crashes_ > kMaxLateCrashes) {
      AddViolation(absl::StrCat(arrival.request_id, " crashed an endpoint ",
                                (arrival.at - third_crash_at_).count(),
                                " ms after the third crash"));
    }
  }

  //! Counts requests of instances that the endpoint has told its limit.
  void CheckLimit(Endpoint* it, const Instance& from, Millis at) {
    Millis& told_at = it->told_at[&from];
    if (told_at <= from.process_disturbed_at) {
      told_at = at;
    }
    if (at - told_at < kToldGrace || at - it->limit_named_at < kLimitGrace ||
        from.paused || at - from.process_disturbed_at < kUndisturbedTime) {
      return;
    }
    std::deque<Millis>& counted = it->counted_arrivals;
    counted.push_back(at);
    while (at - counted.front() > kLimitSpan) {
      counted.pop_front();
    }
    const double span_s = static_cast<double>(kLimitSpan.count()) / 1000;
    if (static_cast<double>(counted.size()) > 1.5 * it->limit * span_s + 5) {
      AddViolation(absl::StrCat(it->stand_in->id(), " named a limit of ",
                                it->limit, " and got ", counted.size(),
                                " requests in 4 s"));
    }
  }

  //! Counts requests of an instance that the endpoint has asked to wait.
  void CheckAskedWaits(Endpoint* it,
                       const Instance& from,
                       const StandInEndpoint::Arrival& arrival) {
    std::deque<AskedWait>& waits = it->asked_waits;
    while (!waits.empty() && arrival.at - waits.front().asked_at > kAskedWait) {
      waits.pop_front();
    }
    const bool is_excused =
        !BoundsApply(from) || it->link->mode() != FaultProxy::Mode::kPass ||
        loop_.Now() - it->link_disturbed_at < kUndisturbedTime;
    for (AskedWait& wait : waits) {
      if (wait.from == &from && !is_excused &&
          arrival.at - wait.asked_at > kToldGrace &&
          ++wait.arrivals == kMaxInAskedWait + 1) {
        AddViolation(
            absl::StrCat(it->stand_in->id(), " asked ", from.process->name(),
                         " to wait and got ", arrival.request_id, " ",
                         (arrival.at - wait.asked_at).count(), " ms later"));
      }
    }
    if (arrival.asked_to_wait) {
      waits.push_back({&from, arrival.at});
    }
  }

  //! Checks the retries of each service over sliding windows. A request counts
  //! from its first arrival on; one that never arrived is left out.
  void CheckRetries() {
    for (const char* service : {"llm", "app"}) {
      std::vector<std::pair<Millis, std::string>> arrivals;
      for (const Endpoint& it : endpoints_) {
        if (it.service == service) {
          for (const auto& arrival : it.stand_in->arrivals()) {
            // Probes of the configuration share an id.
            if (InstanceOfRequest(arrival.request_id) != nullptr) {
              arrivals.emplace_back(arrival.at, arrival.request_id);
            }
          }
        }
      }
      std::sort(arrivals.begin(), arrivals.end());
      std::set<std::string> seen;
      std::vector<Millis> requests;
      std::vector<Millis> retries;
      for (const auto& [at, id] : arrivals) {
        (seen.insert(id).second ? requests : retries).push_back(at);
      }
      const auto count = [](const std::vector<Millis>& times, Millis after,
                            Millis until) {
        return std::upper_bound(times.begin(), times.end(), until) -
               std::upper_bound(times.begin(), times.end(), after);
      };
      for (const Millis end : retries) {
        const auto n = count(retries, end - kRetryWindow, end);
        const auto of = count(requests, end - kRetryWindow, end);
        if (static_cast<double>(n) >
            kRetryRatio * static_cast<double>(of) + kRetryExtra) {
          AddViolation(absl::StrCat(service, " got ", n, " retries of ", of,
                                    " requests in 10 s"));
          break;
        }
      }
    }
  }

  const Instance* InstanceOfRequest(const std::string& id) const {
    for (const Instance& it : instances_) {
      if (id.rfind(it.process->name() + ".", 0) == 0) {
        return &it;
      }
    }
    return nullptr;
  }

  // --- Configuration probes --------------------------------------------------

  void ProbeConfigs() {
    if (finished_) {
      return;
    }
    for (int i = 0; i < static_cast<int>(instances_.size()); ++i) {
      Probe(i, version_);
      Probe(i, std::max<int64_t>(1, version_ - 1));
    }
    loop_.After(kProbeInterval, [this] { ProbeConfigs(); });
  }

  void Probe(int instance, int64_t version) {
    Instance& it = instances_[instance];
    const int start_count = it.process->start_count();
    if (it.seen_start_count != start_count) {
      it.seen_start_count = start_count;
      it.newest_version_seen = 0;
    }
    auto caller = std::make_shared<Caller>(
        &loop_, it.process->callers_address(),
        SampleRequest(absl::StrCat("version-", version), "probe"));
    const bool expected =
        version == version_ && BoundsApply(it) &&
        loop_.Now() - version_published_at_ > kPropagationBound;
    // Concurrent probes may see a change in either order, so a probe is
    // compared with the newest version seen before it was sent.
    const int64_t newest_version_before = it.newest_version_seen;
    AwaitCaller(caller, /*polls_left=*/100, [=, this, &it] {
      if (it.process->start_count() != start_count) {
        return;
      }
      if (caller->status() == 200) {
        if (version < newest_version_before) {
          AddViolation(absl::StrCat(it.process->name(),
                                    " went back to version ", version, " from ",
                                    newest_version_before));
        }
        it.newest_version_seen = std::max(it.newest_version_seen, version);
      } else if (caller->status() == 404 && expected && BoundsApply(it)) {
        AddViolation(absl::StrCat(it.process->name(), " did not apply version ",
                                  version, " in time"));
      }
    });
  }

  void AwaitCaller(const std::shared_ptr<Caller>& caller,
                   int polls_left,
                   const std::function<void()>& then) {
    if (caller->finished() || polls_left == 0) {
      then();
      return;
    }
    loop_.After(kPollInterval,
                [=, this] { AwaitCaller(caller, polls_left - 1, then); });
  }

  // --- End of the run --------------------------------------------------------

  void CheckRecovery() {
    // All faults ended kRecoveryTime ago: every instance must serve every
    // route.
    for (Instance& it : instances_) {
      for (const char* route : {"safe", "fee", "report", "ask"}) {
        const std::string id =
            absl::StrCat(it.process->name(), ".last-", route);
        auto caller = std::make_shared<Caller>(
            &loop_, it.process->callers_address(), SampleRequest(route, id));
        AwaitCaller(caller, /*polls_left=*/100, [this, id, caller] {
          if (caller->status() != 200) {
            AddViolation(absl::StrCat(id, " got ", caller->status(),
                                      " after all faults had ended"));
          }
        });
      }
    }
    finished_ = true;
    // The calls above are polled for 2 s. The instances then get 6 s for a
    // graceful stop.
    loop_.After(Millis(2500), [this] {
      for (Instance& it : instances_) {
        SendSignal(&it, SIGTERM);
      }
      loop_.After(Millis(6000), [this] { loop_.Quit(); });
    });
  }

  void CheckResults() {
    CheckRetries();
    // Repeatable requests have max_attempts 2 in SampleConfig.
    for (const auto& [id, n] : run_count_by_id_) {
      if (id != "probe" && n > (non_repeatable_ids_.count(id) > 0 ? 1 : 2)) {
        AddViolation(absl::StrCat(id, " ran ", n, " times"));
      }
    }
    for (const auto& [id, status] : status_by_id_) {
      // No request that got one of these statuses may have run; 408 is exempt.
      if (status >= 400 && status <= 429 && status != 408 &&
          run_count_by_id_[id] > 0) {
        AddViolation(absl::StrCat(id, " ran and got ", status));
      }
      if (status == 503 && run_count_by_id_[id] > 0) {
        AddViolation(id + " ran and got 503, which states that it did not run");
      }
    }
    for (const Instance& it : instances_) {
      if (!it.killed) {
        CheckLog(it);
      }
    }
  }

  //! Checks that the instance's log file has a charge for each stream that it
  //! delivered.
  void CheckLog(const Instance& it) {
    std::ifstream in(it.process->log_path());
    std::set<std::string> charged;
    for (std::string line; std::getline(in, line);) {
      const size_t at = line.find("event=charge id=");
      if (at != std::string::npos) {
        const size_t from = at + sizeof("event=charge id=") - 1;
        charged.insert(line.substr(from, line.find(' ', from) - from));
      }
    }
    for (const std::string& id : delivered_streams_) {
      if (InstanceOfRequest(id) == &it && charged.count(id) == 0) {
        AddViolation(id + " was delivered and has no charge in the log file");
      }
    }
  }

  ProcessRunOptions options_;
  std::mt19937_64 random_;
  std::mt19937_64 call_random_;
  std::mt19937_64 restore_random_;
  std::mt19937_64 wait_random_;
  EventLoop loop_;
  StandInStore store_;
  std::deque<Endpoint> endpoints_;  //!< Including removed ones.
  std::vector<Instance> instances_;
  std::vector<Call> calls_;
  std::vector<std::pair<int, std::unique_ptr<Caller>>> reusable_callers_;
  std::map<std::string, int> status_by_id_;
  std::map<std::string, int> run_count_by_id_;
  std::set<std::string> non_repeatable_ids_;
  std::vector<std::string> delivered_streams_;
  std::set<std::string> violations_;
  int64_t version_ = 0;
  Millis version_published_at_;
  int64_t prepaid_tokens_ = kInitialPrepaidTokens;
  int64_t delivered_tokens_ = 0;
  Millis endpoints_disturbed_at_;
  int crashes_ = 0;  //!< By the crashing part.
  int late_crashes_ = 0;
  Millis third_crash_at_;
  bool faults_ended_ = false;
  bool finished_ = false;
  ProcessRunReport report_;
};

}  // namespace

ProcessRunReport RunProcesses(const ProcessRunOptions& options) {
  return ProcessRun(options).Run();
}

}  // namespace tamaracktrail
