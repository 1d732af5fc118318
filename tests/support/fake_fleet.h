#ifndef SUPPORT_FAKE_FLEET_H_
#define SUPPORT_FAKE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/coordinator.h"
#include "coordination/request_flow.h"
#include "coordination/retry_budget.h"
#include "state/batch_codec.h"
#include "support/event_queue.h"
#include "support/fake_log.h"

namespace tamaracktrail {

//! Deterministic simulation of several instances: their coordinators and
//! request flows on a fake log, fake connections and fake endpoints, in
//! simulated time and with one random seed.
class FakeFleet {
 public:
  struct Options {
    uint64_t seed = 1;
    int data_centres = 2;
    int instances = 2;  //!< Per data centre.
    Millis log_latency{20};
    size_t log_retention = SIZE_MAX;  //!< Entries kept of each stream.
    Coordinator::Options coordinator;
  };

  //! Result that a caller got for one attempt, and how often the attempt
  //! ran at an endpoint.
  struct CallOutcome {
    std::string organisation;
    std::string key;
    bool repeatable = true;
    bool done = false;
    ResultCode code = ResultCode::kOk;
    RunState run_state = RunState::kNotRun;
    int runs = 0;
    int64_t worst_case = 0;
    size_t entry_instance = 0;  //!< Number of the instance that was called.
    //! Refused for its budget although the unspent tokens cover the worst case.
    bool falsely_refused = false;
    bool settle_requested = false;  //!< The charge went to the coordinator.
    //! The charge may be missing from the log, because every instance that held
    //! it was killed; or the record that voids the charge of a withheld answer
    //! may be missing, because the entry was killed.
    bool charge_lost = false;
  };

  explicit FakeFleet(const Options& options);
  ~FakeFleet();

  Millis now() const { return events_.now(); }
  void RunFor(Millis time) { events_.RunUntil(events_.now() + time); }

  //! Appends a record as an operator would.
  void AppendAsOperator(const std::string& stream, Record record);
  void TopUpBudget(const std::string& organisation, int64_t tokens);
  uint64_t Publish(uint64_t base, const std::string& id);

  // Faults. Instances are numbered from 0, data centre by data centre.
  void Kill(size_t instance);
  void Restart(size_t instance);
  void Pause(size_t instance);
  void Resume(size_t instance);
  void Drain(size_t instance);
  void SetLogDown(bool down) { log_down_ = down; }
  void CutFromLog(int data_centre, bool cut);
  void SetLostAnswerRate(double rate) { lost_answer_rate_ = rate; }
  void SetLostMessageRate(double rate) { lost_message_rate_ = rate; }
  void CutLink(size_t from, size_t to, bool cut);
  //! Fraction of calls that fail: the endpoint refuses one third of them
  //! without a run, the others lose their connection.
  void SetFailedCallRate(double rate) { failed_call_rate_ = rate; }
  //! Ends all faults, resumes paused instances and restarts killed ones.
  void EndAllFaults();

  bool alive(size_t instance) const { return nodes_[instance].alive; }
  bool paused(size_t instance) const { return nodes_[instance].paused; }
  bool ready(size_t instance) const;
  size_t size() const { return nodes_.size(); }
  Coordinator& coordinator(size_t instance) {
    return *nodes_[instance].coordinator;
  }

  //! Sends a request to an instance. Returns the id of the attempt, or 0 if the
  //! instance does not accept requests.
  uint64_t Call(size_t instance,
                const std::string& organisation,
                const std::string& key,
                int64_t worst_case,
                bool repeatable);

  const std::map<uint64_t, CallOutcome>& outcomes() const { return outcomes_; }
  const FakeLog& log() const { return log_; }
  std::mt19937_64& random() { return random_; }

  //! Folds the complete log of an organisation's shard.
  LedgerFold FoldLedger(const std::string& organisation) const;

  //! Prepaid tokens of an organisation that have not been charged.
  int64_t UnspentTokens(const std::string& organisation) const;

  //! Log records of a key and all Release records, then the results that the
  //! callers of the key got; one line each.
  std::vector<std::string> Explain(const std::string& key) const;

  struct CheckResult {
    std::string violation;  //!< Empty if all guarantees hold.
    //! Number of keys that were delivered and not charged, or charged and not
    //! delivered, because instances that held the charge or its void record
    //! were killed (CallOutcome::charge_lost).
    int lost_charges = 0;
  };

  //! Checks deliveries, runs and charges against the log. Precondition: all
  //! faults have ended and no request is in progress.
  CheckResult Check() const;

 private:
  struct Node {
    std::string address;
    std::string data_centre;
    int data_centre_index = 0;
    uint64_t generation = 0;  //!< Raised by each start and kill.
    uint64_t incarnation = 0;
    bool alive = false;
    bool paused = false;
    bool draining = false;
    bool exit_queued = false;
    std::unique_ptr<Coordinator> coordinator;
    std::unique_ptr<RetryBudget> retries;
    std::map<uint64_t, std::unique_ptr<RequestFlow>> flows;
    std::set<std::string> pending_reads;
    std::vector<std::function<void()>> deferred_events;  //!< Run after a pause.
  };

  void Start(size_t i);
  //! Runs an event on an instance after `delay`. It is deferred while the
  //! instance is paused and dropped once it has been killed.
  void RunOn(size_t i, std::function<void(Node&)> event, Millis delay);
  void Tick(size_t i);
  void Flush(size_t i);
  void Send(size_t from, const Outbox::Message& outgoing);
  void AppendToLog(size_t i, const Coordinator::StreamAppend& append);
  void ReadStream(size_t i, const std::string& stream, uint64_t from);
  void CheckExits(size_t i);
  void HandleNotice(size_t i, const EntryNotice& notice);
  void PerformActions(size_t i,
                      uint64_t attempt,
                      const RequestFlow::Actions& actions);
  void PerformAction(size_t i, uint64_t attempt, const FlowAction& action);
  void CallEndpoint(size_t i, uint64_t attempt, int64_t worst_case);
  void MarkLostCharges(size_t killed);
  //! Wall time at the start of the simulation.
  static constexpr Millis kWallStart{1700000000000};

  static void CheckKey(const std::string& key,
                       const std::vector<const CallOutcome*>& attempts,
                       bool charged,
                       CheckResult& out);
  bool LogReachable(const Node& node) const;
  int64_t RandomInt(int64_t low, int64_t high);
  bool Chance(double probability);
  Millis WallNow() const;

  Options options_;
  std::mt19937_64 random_;
  EventQueue events_;
  BatchCodec codec_;
  FakeLog log_;
  std::vector<Node> nodes_;
  std::map<uint64_t, CallOutcome> outcomes_;
  std::set<int> data_centres_cut_from_log_;
  std::set<std::pair<size_t, size_t>> cut_links_;
  //! Time of the latest delivery on each connection, which keeps messages in
  //! order.
  std::map<std::pair<size_t, size_t>, Millis> delivered_at_;
  bool log_down_ = false;
  double lost_answer_rate_ = 0;
  double lost_message_rate_ = 0;
  double failed_call_rate_ = 0;
};

}  // namespace tamaracktrail

#endif  // SUPPORT_FAKE_FLEET_H_
