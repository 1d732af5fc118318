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

//! Runs one keeper per data centre over one ledger shard in simulated time, to
//! compare share policies under faults. Each data centre appends at most one
//! batch of its keeper's records per tick. The log has a latency and can be
//! unavailable to all data centres or partitioned from one.
template <SharePolicy Policy>
class KeeperHarness {
 public:
  static constexpr int kDataCentres = 4;

  struct Options {
    uint64_t seed = 1;
    double calls_per_second = 4;
    int64_t worst_case_tokens = 600;
    Millis log_latency{60};
  };

  struct Result {
    uint64_t calls = 0;
    uint64_t served = 0;
    uint64_t refused = 0;
    uint64_t false_refusals = 0;
    uint64_t log_appends = 0;
    int64_t overspend = 0;
    //! Largest unspent part of the budget at a false refusal.
    int64_t largest_unspent = 0;
  };

  KeeperHarness(Options options, Policy policy)
      : options_(options), policy_(policy), random_(options.seed) {
    for (int index = 0; index < kDataCentres; ++index) {
      StartKeeper(index);
      Tick(index);
      ScheduleCall(index);
    }
  }

  Millis now() const { return events_.now(); }
  void RunFor(Millis duration) { events_.RunUntil(events_.now() + duration); }
  void At(Millis time, std::function<void()> event) {
    events_.At(time, std::move(event));
  }

  void TopUp(int64_t tokens) {
    Append(0, {tamaracktrail::TopUp{kOrganisation, std::to_string(++top_ups_),
                                    tokens, ""}});
  }
  void SetLogDown(bool down) { log_down_ = down; }
  void SetPartitioned(int index, bool partitioned) {
    data_centres_[index].partitioned = partitioned;
  }
  void SetPaused(int index, bool paused) {
    data_centres_[index].paused = paused;
  }

  //! Kills a keeper. After `sweep_delay`, the exit sweep's release is appended
  //! and the successor starts.
  void Kill(int index, Millis sweep_delay) {
    DataCentre& data_centre = data_centres_[index];
    const uint64_t exited_holder = data_centre.id;
    std::vector<KeptShare> kept_shares;
    for (const auto& [attempt, tokens] : data_centre.open_reservations) {
      kept_shares.push_back({kOrganisation, attempt, tokens});
    }
    data_centre.running = false;
    events_.After(sweep_delay, [this, index, exited_holder, kept_shares] {
      Append(index, {Release{exited_holder, "exit", kept_shares}});
      StartKeeper(index);
    });
    // A second release one minute later keeps nothing: it frees the reserved
    // tokens that the attempts settled meanwhile did not use.
    events_.After(sweep_delay + kMinute, [this, index, exited_holder] {
      Append(index, {Release{exited_holder, "", {}}});
    });
  }

  Result Finish() {
    const Budget& budget = observer_.BudgetOf(kOrganisation);
    result_.overspend = std::max<int64_t>(0, budget.charged - budget.prepaid);
    return result_;
  }

 private:
  static constexpr char kOrganisation[] = "org";
  static constexpr Millis kTickInterval{100};
  static constexpr std::array<double, kDataCentres> kWeights{0.5, 0.3, 0.15,
                                                             0.05};

  struct DataCentre {
    uint64_t id = 0;
    std::unique_ptr<LedgerFold> fold;
    std::unique_ptr<Keeper<Policy>> keeper;
    size_t next_read = 0;
    std::vector<Record> unsent_records;
    //! Reserved tokens by attempt.
    std::map<uint64_t, int64_t> open_reservations;
    //! Holder of the share by open attempt.
    std::map<uint64_t, uint64_t> holders;
    bool running = true;
    bool partitioned = false;
    bool paused = false;
  };

  struct LogEntry {
    AppliedBatch batch;  //!< Each reader fills in the verdicts of its own fold.
    Millis visible_at;
  };

  void StartKeeper(int index) {
    DataCentre& data_centre = data_centres_[index];
    data_centre.id = ++next_id_;
    data_centre.fold = std::make_unique<LedgerFold>(kHour * 24);
    typename Keeper<Policy>::Options options;
    options.data_centres = kDataCentres;
    data_centre.keeper = std::make_unique<Keeper<Policy>>(
        data_centre.id, policy_, options, data_centre.fold.get());
    data_centre.next_read = 0;
    data_centre.unsent_records.clear();
    data_centre.running = true;
  }

  void Tick(int index) {
    events_.After(kTickInterval, [this, index] {
      DataCentre& data_centre = data_centres_[index];
      if (data_centre.running && !data_centre.paused) {
        Outbox outbox;
        ReadLog(data_centre, outbox);
        data_centre.keeper->OnTick(now(), true, outbox);
        ProcessOutbox(index, outbox);
        if (!data_centre.unsent_records.empty() && !data_centre.partitioned &&
            !log_down_) {
          Append(index, std::exchange(data_centre.unsent_records, {}));
        }
      }
      Tick(index);
    });
  }

  void Append(int index, std::vector<Record> records) {
    ++result_.log_appends;
    LogEntry log_entry;
    log_entry.batch.offset = log_.size() + 1;
    log_entry.batch.batch.writer = data_centres_[index].id;
    log_entry.batch.batch.wall = now();
    log_entry.batch.batch.records = std::move(records);
    log_entry.visible_at = now() + options_.log_latency;
    const FoldContext context{log_entry.batch.offset, data_centres_[index].id,
                              now()};
    for (const Record& record : log_entry.batch.batch.records) {
      observer_.Apply(record, context);
    }
    log_.push_back(std::move(log_entry));
  }

  void ReadLog(DataCentre& data_centre, Outbox& outbox) {
    while (!data_centre.partitioned && !log_down_ &&
           data_centre.next_read < log_.size() &&
           log_[data_centre.next_read].visible_at <= now()) {
      AppliedBatch batch = log_[data_centre.next_read++].batch;
      const FoldContext context{batch.offset, batch.batch.writer,
                                batch.batch.wall};
      for (const Record& record : batch.batch.records) {
        batch.verdicts.push_back(data_centre.fold->Apply(record, context));
      }
      data_centre.keeper->OnApplied(now(), batch, outbox);
    }
  }

  void ProcessOutbox(int index, Outbox& outbox) {
    DataCentre& data_centre = data_centres_[index];
    for (Record& record : outbox.records) {
      data_centre.unsent_records.push_back(std::move(record));
    }
    outbox.records.clear();
    for (const Outbox::Message& letter : outbox.messages) {
      if (const auto* reply = std::get_if<ReserveReply>(&letter.message)) {
        OnReply(index, *reply);
      }
    }
    outbox.messages.clear();
  }

  void ScheduleCall(int index) {
    const double rate = options_.calls_per_second * kWeights[index];
    const double wait_s = std::exponential_distribution<double>(rate)(random_);
    events_.After(Millis(static_cast<int64_t>(wait_s * 1000) + 1),
                  [this, index] {
                    StartCall(index);
                    ScheduleCall(index);
                  });
  }

  void StartCall(int index) {
    DataCentre& data_centre = data_centres_[index];
    ++result_.calls;
    const uint64_t attempt = ++next_id_;
    if (!data_centre.running || data_centre.paused) {
      // A real entry briefly waits and then asks the next keeper in rendezvous
      // order. Here the call is repeated every 2 s until the data centre's
      // keeper runs again.
      events_.After(kSecond * 2, [this, index] {
        --result_.calls;
        StartCall(index);
      });
      return;
    }
    Outbox outbox;
    data_centre.keeper->OnReserve(
        now(), now(),
        ReserveRequest{kOrganisation, std::to_string(attempt), "s", attempt,
                       kEntryId, options_.worst_case_tokens, false},
        outbox);
    ProcessOutbox(index, outbox);
  }

  void OnReply(int index, const ReserveReply& reply) {
    if (reply.code != static_cast<int32_t>(ResultCode::kOk)) {
      ++result_.refused;
      const Budget& budget = observer_.BudgetOf(kOrganisation);
      const int64_t unspent = budget.prepaid - budget.charged;
      if (unspent >= options_.worst_case_tokens) {
        ++result_.false_refusals;
        result_.largest_unspent = std::max(result_.largest_unspent, unspent);
      }
      return;
    }
    ++result_.served;
    data_centres_[index].open_reservations[reply.attempt] = reply.tokens;
    data_centres_[index].holders[reply.attempt] = reply.holder;
    events_.After(Millis(500), [this, index, attempt = reply.attempt] {
      Settle(index, attempt);
    });
  }

  void Settle(int index, uint64_t attempt) {
    DataCentre& data_centre = data_centres_[index];
    if (data_centre.paused) {
      events_.After(kTickInterval,
                    [this, index, attempt] { Settle(index, attempt); });
      return;
    }
    Charge charge;
    charge.organisation = kOrganisation;
    charge.key = std::to_string(attempt);
    charge.holder = data_centre.holders[attempt];
    charge.entry = kEntryId;
    charge.attempt = attempt;
    charge.tokens = std::uniform_int_distribution<int64_t>(
        1, options_.worst_case_tokens * 2 / 3)(random_);
    data_centre.open_reservations.erase(attempt);
    if (!data_centre.running || charge.holder != data_centre.id) {
      // The granting keeper has exited: the entry's custody appends the charge
      // under the exited holder.
      data_centre.unsent_records.push_back(charge);
      return;
    }
    Outbox outbox;
    data_centre.keeper->OnSettle(
        now(), SettleRequest{charge, options_.worst_case_tokens}, outbox);
    ProcessOutbox(index, outbox);
  }

  static constexpr uint64_t kEntryId = 1ULL << 60;

  Options options_;
  Policy policy_;
  std::mt19937_64 random_;
  EventQueue events_;
  LedgerFold observer_{kHour * 24};
  std::deque<LogEntry> log_;
  std::array<DataCentre, kDataCentres> data_centres_;
  Result result_;
  uint64_t next_id_ = 0;
  int top_ups_ = 0;
  bool log_down_ = false;
};

}  // namespace tamaracktrail

#endif  // BENCH_KEEPER_HARNESS_H_
