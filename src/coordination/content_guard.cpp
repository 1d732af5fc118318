#include "coordination/content_guard.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "state/digest.h"

namespace tamaracktrail {

namespace {

//! Crashes after which a content is not run again.
constexpr size_t kMaxCrashes = 2;

}  // namespace

void ContentGuard::Check(Millis now,
                         uint64_t attempt,
                         const std::string& content,
                         Outbox& outbox) {
  pending_[attempt] = Pending{content, now + readback_timeout_, false};
  Decide(now, attempt, outbox);
}

void ContentGuard::OnCrash(Millis now,
                           uint64_t attempt,
                           const Crash& crash,
                           std::span<const uint64_t> peers,
                           Outbox& outbox) {
  outbox.Append(crash);
  OnNotice(crash);
  for (const uint64_t peer : peers) {
    outbox.Send(peer, CrashNotice{crash});
  }
  Check(now, attempt, crash.content, outbox);
}

void ContentGuard::OnNotice(const Crash& crash) {
  reported_crashes_[crash.content].insert(
      StableHash(crash.endpoint, crash.attempt));
}

void ContentGuard::OnEnd(uint64_t attempt,
                         const std::string& content,
                         bool succeeded,
                         Outbox& outbox) {
  if (fold_->TrialOf(content) != attempt) {
    return;
  }
  if (succeeded) {
    reported_crashes_.erase(content);
  }
  outbox.Append(TrialEnd{content, attempt, succeeded});
}

void ContentGuard::OnTick(Millis now, Outbox& outbox) {
  std::vector<uint64_t> attempts;
  for (const auto& [attempt, pending] : pending_) {
    attempts.push_back(attempt);
  }
  for (const uint64_t it : attempts) {
    Decide(now, it, outbox);
  }
}

void ContentGuard::Decide(Millis now, uint64_t attempt, Outbox& outbox) {
  Pending& pending = pending_.at(attempt);
  const size_t crashes = CrashCount(pending.content);
  const std::optional<uint64_t> trial = fold_->TrialOf(pending.content);
  ResultCode code = ResultCode::kOk;
  if (crashes >= kMaxCrashes) {
    code = ResultCode::kPoisonRequest;
  } else if (crashes == 1 && trial.has_value() && *trial != attempt) {
    code = ResultCode::kContentOnTrial;
  } else if (crashes == 1 && trial != attempt) {
    if (!pending.trial_appended) {
      pending.trial_appended = true;
      outbox.Append(Trial{pending.content, attempt, self_});
    }
    if (now < pending.deadline) {
      return;
    }
    code = ResultCode::kLogUnavailable;
  }
  verdicts_.push_back({attempt, code});
  pending_.erase(attempt);
}

size_t ContentGuard::CrashCount(const std::string& content) const {
  const size_t recorded = fold_->CrashCount(content);
  auto it = reported_crashes_.find(content);
  const size_t reported = it == reported_crashes_.end() ? 0 : it->second.size();
  return std::max(recorded, reported);
}

std::vector<ContentVerdict> ContentGuard::TakeVerdicts() {
  return std::exchange(verdicts_, {});
}

}  // namespace tamaracktrail
