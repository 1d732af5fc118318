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

//! Coordinators and request flows of several instances over a fake log, fake
//! connections and fake endpoints, all in passed-in time from one seed.
class FakeFleet {
 public:
  struct Options {
    uint64_t seed = 1;
    int data_centres = 2;
    int instances = 2;  //!< In each data centre.
    Millis log_latency{20};
    size_t keep = SIZE_MAX;  //!< Entries that the log keeps of a stream.
    Coordinator::Options coordinator;
  };

  //! What callers were told and what ran, by attempt.
  struct Told {
    std::string organisation;
    std::string key;
    bool repeatable = true;
    bool done = false;
    ResultCode code = ResultCode::kOk;
    RunState run_state = RunState::kNotRun;
    int runs = 0;
    int64_t worst_case = 0;
    size_t entry = 0;
    bool false_refusal = false;
    bool settling = false;  //!< The charge was handed over.
    //! All that held the charge, or its void, were killed before the log had
    //! it.
    bool lost = false;
  };

  explicit FakeFleet(const Options& options);
  ~FakeFleet();

  Millis now() const { return events_.now(); }
  void RunFor(Millis time) { events_.RunUntil(events_.now() + time); }

  //! Appends a record as an operator would.
  void Operate(const std::string& stream, Record record);
  void TopUpBudget(const std::string& organisation, int64_t tokens);
  uint64_t Publish(uint64_t base, const std::string& id);

  // Faults. Instances are numbered from 0, data centre by data centre.
  void Kill(size_t instance);
  void Restart(size_t instance);
  void Pause(size_t instance);
  void Wake(size_t instance);
  void Drain(size_t instance);
  void SetLogDown(bool down) { log_down_ = down; }
  void CutFromLog(int data_centre, bool cut);
  void LoseAnswers(double part) { lose_answers_ = part; }
  void LoseMessages(double part) { lose_messages_ = part; }
  void CutLink(size_t from, size_t to, bool cut);
  //! Endpoints cut the connection after this part of the calls.
  void CutCalls(double part) { cut_calls_ = part; }
  void Heal();

  bool alive(size_t instance) const { return nodes_[instance].alive; }
  bool paused(size_t instance) const { return nodes_[instance].paused; }
  bool ready(size_t instance) const;
  size_t size() const { return nodes_.size(); }
  Coordinator& coordinator(size_t instance) {
    return *nodes_[instance].coordinator;
  }

  //! Sends a request to an instance; returns its attempt, 0 where the instance
  //! does not take it.
  uint64_t Call(size_t instance,
                const std::string& organisation,
                const std::string& key,
                int64_t worst_case,
                bool repeatable);

  const std::map<uint64_t, Told>& told() const { return told_; }
  const FakeLog& log() const { return log_; }
  std::mt19937_64& random() { return random_; }

  //! Folds the whole log of an organisation's shard anew.
  LedgerFold Observe(const std::string& organisation) const;

  //! Tokens of an organisation not charged so far.
  int64_t Unspent(const std::string& organisation) const;

  //! Records about a key, and what its callers were told, one line each.
  std::vector<std::string> Explain(const std::string& key) const;

  struct Judgement {
    std::string violation;  //!< What breaks a promise; empty where all hold.
    //! Answers whose charge, or withheld answers whose void, was lost with
    //! every instance that held it.
    int lost = 0;
  };

  //! Call it when all faults are healed and nothing is in progress.
  Judgement Judge() const;

 private:
  struct Node {
    std::string address;
    std::string data_centre;
    int centre = 0;
    uint64_t life = 0;  //!< Changes with each kill and start.
    uint64_t incarnation = 0;
    bool alive = false;
    bool paused = false;
    bool draining = false;
    bool leaving = false;
    std::unique_ptr<Coordinator> coordinator;
    std::unique_ptr<RetryBudget> retries;
    std::map<uint64_t, std::unique_ptr<RequestFlow>> flows;
    std::set<std::string> reading;
    std::vector<std::function<void()>> held;  //!< Events during a pause.
  };

  void Start(size_t i);
  void On(size_t i, std::function<void(Node&)> event, Millis delay);
  void Tick(size_t i);
  void Flush(size_t i);
  void Send(size_t from, const Outbox::Letter& letter);
  void AppendFrom(size_t i, const Coordinator::AppendOrder& order);
  void ReadFor(size_t i, const std::string& stream, uint64_t from);
  void CheckExits(size_t i);
  void Notice(size_t i, const EntryNotice& notice);
  void Perform(size_t i, uint64_t attempt, const RequestFlow::Actions& actions);
  void Act(size_t i, uint64_t attempt, const FlowAction& action);
  void RunCall(size_t i, uint64_t attempt, int64_t worst_case);
  void MarkLost(size_t killed);
  static constexpr Millis kWallStart{1700000000000};

  static void JudgeKey(const std::string& key,
                       const std::vector<const Told*>& tries,
                       bool charged,
                       Judgement& out);
  bool LogReachable(const Node& node) const;
  int64_t Random(int64_t low, int64_t high);
  bool Chance(double part);
  Millis Wall() const;

  Options options_;
  std::mt19937_64 random_;
  EventQueue events_;
  BatchCodec codec_;
  FakeLog log_;
  std::vector<Node> nodes_;
  std::map<uint64_t, Told> told_;
  std::set<int> cut_centres_;
  std::set<std::pair<size_t, size_t>> cut_links_;
  //! Time of the last delivery; a connection keeps its order.
  std::map<std::pair<size_t, size_t>, Millis> delivered_at_;
  bool log_down_ = false;
  double lose_answers_ = 0;
  double lose_messages_ = 0;
  double cut_calls_ = 0;
};

}  // namespace tamaracktrail

#endif  // SUPPORT_FAKE_FLEET_H_
