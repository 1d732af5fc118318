#ifndef BENCH_KEEPER_HARNESS_H_
#define BENCH_KEEPER_HARNESS_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <glog/logging.h>

#include "coordination/keeper.h"
#include "state/ledger_fold.h"
#include "support/event_queue.h"

namespace tamaracktrail {

//! One keeper a data centre over one ledger shard in passed-in time, for
//! comparing share policies under faults. Records of one batch a tick and data
//! centre go through a log with latency, outages and cuts.
template <SharePolicy Policy>
class KeeperLab {
 public:
  static constexpr int kCentres = 4;

  struct Options {
    uint64_t seed = 1;
    double calls_per_second = 4;
    int64_t worst_case = 600;
    Millis log_latency{60};
  };

  struct Result {
    uint64_t calls = 0;
    uint64_t served = 0;
    uint64_t refused = 0;
    uint64_t false_refusals = 0;
    uint64_t log_appends = 0;
    int64_t overspend = 0;
    int64_t largest_unused = 0;  //!< Unspent at a false refusal.
  };

  KeeperLab(Options options, Policy policy)
      : options_(options), policy_(policy), random_(options.seed) {
    for (int i = 0; i < kCentres; ++i) {
      StartKeeper(i);
      Tick(i);
      ScheduleCall(i);
    }
  }

  Millis now() const { return events_.now(); }
  void RunFor(Millis time) { events_.RunUntil(events_.now() + time); }
  void At(Millis time, std::function<void()> event) {
    events_.At(time, std::move(event));
  }

  void TopUp(int64_t tokens) {
    Append(0, {tamaracktrail::TopUp{kName, std::to_string(++top_ups_), tokens,
                                    ""}});
  }
  void SetLogDown(bool down) { log_down_ = down; }
  void Cut(int centre, bool cut) { centres_[centre].cut = cut; }
  void Pause(int centre, bool paused) { centres_[centre].paused = paused; }

  //! Kills a keeper; the next one starts and the sweep's release is recorded
  //! after `sweep`.
  void Kill(int centre, Millis sweep) {
    Centre& it = centres_[centre];
    const uint64_t dead = it.id;
    std::vector<KeptShare> kept;
    for (const auto& [attempt, tokens] : it.open) {
      kept.push_back({kName, attempt, tokens});
    }
    it.up = false;
    events_.After(sweep, [this, centre, dead, kept] {
      Append(centre, {Release{dead, "exit", kept}});
      StartKeeper(centre);
    });
    // The next sweep frees what the settled attempts did not use.
    events_.After(sweep + kMinute, [this, centre, dead] {
      Append(centre, {Release{dead, "", {}}});
    });
  }

  Result Finish() {
    const Budget& budget = observer_.BudgetOf(kName);
    result_.overspend = std::max<int64_t>(0, budget.charged - budget.prepaid);
    return result_;
  }

 private:
  static constexpr char kName[] = "org";
  static constexpr Millis kTick{100};
  static constexpr std::array<double, kCentres> kWeights{0.5, 0.3, 0.15, 0.05};

  struct Centre {
    uint64_t id = 0;
    std::unique_ptr<LedgerFold> fold;
    std::unique_ptr<Keeper<Policy>> keeper;
    size_t read = 0;
    std::vector<Record> unsent;
    std::map<uint64_t, int64_t> open;     //!< Reserved, by attempt.
    std::map<uint64_t, uint64_t> holder;  //!< By open attempt.
    bool up = true;
    bool cut = false;
    bool paused = false;
  };

  struct Logged {
    AppliedBatch batch;  //!< Verdicts are filled in by each reader.
    Millis visible;
  };

  void StartKeeper(int i) {
    Centre& it = centres_[i];
    it.id = ++next_id_;
    it.fold = std::make_unique<LedgerFold>(kHour * 24);
    typename Keeper<Policy>::Options options;
    options.data_centres = kCentres;
    it.keeper = std::make_unique<Keeper<Policy>>(it.id, policy_, options,
                                                 it.fold.get());
    it.read = 0;
    it.unsent.clear();
    it.up = true;
  }

  void Tick(int i) {
    events_.After(kTick, [this, i] {
      Centre& it = centres_[i];
      if (it.up && !it.paused) {
        Outbox outbox;
        Read(it, outbox);
        it.keeper->OnTick(now(), true, outbox);
        Take(i, outbox);
        if (!it.unsent.empty() && !it.cut && !log_down_) {
          Append(i, std::exchange(it.unsent, {}));
        }
      }
      Tick(i);
    });
  }

  void Append(int i, std::vector<Record> records) {
    ++result_.log_appends;
    Logged entry;
    entry.batch.offset = log_.size() + 1;
    entry.batch.batch.writer = centres_[i].id;
    entry.batch.batch.wall = now();
    entry.batch.batch.records = std::move(records);
    entry.visible = now() + options_.log_latency;
    const FoldContext context{entry.batch.offset, centres_[i].id, now()};
    for (const Record& record : entry.batch.batch.records) {
      observer_.Apply(record, context);
    }
    log_.push_back(std::move(entry));
  }

  void Read(Centre& it, Outbox& outbox) {
    while (!it.cut && !log_down_ && it.read < log_.size() &&
           log_[it.read].visible <= now()) {
      AppliedBatch batch = log_[it.read++].batch;
      const FoldContext context{batch.offset, batch.batch.writer,
                                batch.batch.wall};
      for (const Record& record : batch.batch.records) {
        batch.verdicts.push_back(it.fold->Apply(record, context));
      }
      it.keeper->OnApplied(now(), batch, outbox);
    }
  }

  void Take(int i, Outbox& outbox) {
    Centre& it = centres_[i];
    for (Record& record : outbox.records) {
      it.unsent.push_back(std::move(record));
    }
    outbox.records.clear();
    for (const Outbox::Message& letter : outbox.messages) {
      if (const auto* reply = std::get_if<ReserveReply>(&letter.message)) {
        OnReply(i, *reply);
      }
    }
    outbox.messages.clear();
  }

  void ScheduleCall(int i) {
    const double rate = options_.calls_per_second * kWeights[i];
    const double wait = std::exponential_distribution<double>(rate)(random_);
    events_.After(Millis(static_cast<int64_t>(wait * 1000) + 1), [this, i] {
      Call(i);
      ScheduleCall(i);
    });
  }

  void Call(int i) {
    Centre& it = centres_[i];
    ++result_.calls;
    const uint64_t attempt = ++next_id_;
    if (!it.up || it.paused) {
      // The entry asks the next keeper in rendezvous order after a moment;
      // here the call waits for the successor.
      events_.After(kSecond * 2, [this, i] {
        --result_.calls;
        Call(i);
      });
      return;
    }
    Outbox outbox;
    it.keeper->OnReserve(
        now(), now(),
        ReserveRequest{kName, std::to_string(attempt), "s", attempt, kEntry,
                       options_.worst_case, false},
        outbox);
    Take(i, outbox);
  }

  void OnReply(int i, const ReserveReply& reply) {
    if (reply.code != static_cast<int32_t>(ResultCode::kOk)) {
      ++result_.refused;
      const Budget& budget = observer_.BudgetOf(kName);
      const int64_t unspent = budget.prepaid - budget.charged;
      if (unspent >= options_.worst_case) {
        ++result_.false_refusals;
        result_.largest_unused = std::max(result_.largest_unused, unspent);
      }
      return;
    }
    ++result_.served;
    centres_[i].open[reply.attempt] = reply.tokens;
    centres_[i].holder[reply.attempt] = reply.holder;
    events_.After(Millis(500),
                  [this, i, attempt = reply.attempt] { Settle(i, attempt); });
  }

  void Settle(int i, uint64_t attempt) {
    Centre& it = centres_[i];
    if (it.paused) {
      events_.After(kTick, [this, i, attempt] { Settle(i, attempt); });
      return;
    }
    Charge charge;
    charge.organisation = kName;
    charge.key = std::to_string(attempt);
    charge.holder = it.holder[attempt];
    charge.entry = kEntry;
    charge.attempt = attempt;
    charge.tokens = std::uniform_int_distribution<int64_t>(
        1, options_.worst_case * 2 / 3)(random_);
    it.open.erase(attempt);
    if (!it.up || charge.holder != it.id) {
      // The entry's custody appends it under the exited holder.
      it.unsent.push_back(charge);
      return;
    }
    Outbox outbox;
    it.keeper->OnSettle(now(), SettleRequest{charge, options_.worst_case},
                        outbox);
    Take(i, outbox);
  }

  static constexpr uint64_t kEntry = 1ULL << 60;

  Options options_;
  Policy policy_;
  std::mt19937_64 random_;
  EventQueue events_;
  LedgerFold observer_{kHour * 24};
  std::deque<Logged> log_;
  std::array<Centre, kCentres> centres_;
  Result result_;
  uint64_t next_id_ = 0;
  int top_ups_ = 0;
  bool log_down_ = false;
};

}  // namespace tamaracktrail

#endif  // BENCH_KEEPER_HARNESS_H_
