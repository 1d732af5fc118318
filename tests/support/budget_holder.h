#ifndef TESTS_SUPPORT_BUDGET_HOLDER_H_
#define TESTS_SUPPORT_BUDGET_HOLDER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include "coordination/budget_shares.h"
#include "coordination/claim_batch.h"
#include "state/budget_claim.h"
#include "state/millis.h"
#include "state/share_lock.h"
#include "support/fake_budget_topic.h"

namespace tamaracktrail {

//! An instance with its read position in the topic.
class BudgetHolder {
 public:
  BudgetHolder(FakeBudgetTopic* topic,
               const std::string& name,
               uint64_t incarnation,
               Millis now,
               const std::string& boot)
      : topic_(topic),
        generation_(topic->generation()),
        shares_({name, incarnation, boot}) {
    shares_.SetPredecessorGoneAt(now);
    shares_.SetGeneration(now, topic->generation());
    List(now);
  }

  //! Learns that the topic came back from an older copy.
  void SeeRestore(Millis now) {
    batch_ = {};
    generation_ = topic_->generation();
    shares_.SetGeneration(now, generation_);
    List(now);
  }
  bool knows_restore() const { return generation_ == topic_->generation(); }

  void Read(Millis now) {
    for (; at_ < topic_->end(); ++at_) {
      std::visit([&](const auto& it) { shares_.Apply(it); }, topic_->at(at_));
    }
    shares_.OnSynced(now);
  }

  //! Applies a listing, as after the topic was compacted: the newest record of
  //! each key, ordered by key.
  void List(Millis now) {
    std::map<std::string, ShareLock> locks;
    std::map<std::pair<std::string, std::string>, BudgetClaim> claims;
    for (size_t i = 0; i < topic_->end(); ++i) {
      if (const auto* it = std::get_if<BudgetClaim>(&topic_->at(i))) {
        claims[{it->instance, it->organisation}] = *it;
      } else {
        const auto& lock = std::get<ShareLock>(topic_->at(i));
        locks[lock.instance] = lock;
      }
    }
    shares_.BeginListing();
    for (const auto& [instance, it] : locks) {
      shares_.Apply(it);
    }
    for (const auto& [key, it] : claims) {
      shares_.Apply(it);
    }
    shares_.EndListing();
    at_ = topic_->end();
    shares_.OnSynced(now);
  }

  //! Plans a batch and keeps it; `AppendBatch` appends it.
  bool Plan(Millis now) {
    batch_ = shares_.Plan(now);
    return !batch_.empty();
  }
  //! Like `Plan`, for the end of the process.
  bool PlanReturn(Millis now) {
    batch_ = shares_.PlanReturn(now);
    return !batch_.empty();
  }
  void AppendBatch() {
    topic_->Append(batch_);
    batch_ = {};
    shares_.OnAppended();
  }
  //! Appends the batch without the answer reaching the instance.
  void AppendBatchWithoutAnswer() { topic_->Append(batch_); }

  void AppendAndRead(Millis now) {
    if (Plan(now)) {
      AppendBatch();
    }
    Read(now);
  }

  bool has_batch() const { return !batch_.empty(); }
  const ClaimBatch& batch() const { return batch_; }
  BudgetShares& shares() { return shares_; }

 private:
  FakeBudgetTopic* topic_;
  int64_t generation_;
  BudgetShares shares_;
  size_t at_ = 0;
  ClaimBatch batch_;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_BUDGET_HOLDER_H_
