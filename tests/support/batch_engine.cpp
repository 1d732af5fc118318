#include "tests/support/batch_engine.h"

#include <algorithm>
#include <utility>

namespace tamaracktrail {

namespace {

//! A shared part stays cached for this time.
constexpr double kCacheMs = 20000;

}  // namespace

void BatchEngine::Start(double now, Call call) {
  Run run;
  run.ready_at =
      now + (options_.first_event_ms - options_.step_ms) * options_.slowness;
  run.call = std::move(call);
  waiting_.push_back(std::move(run));
}

void BatchEngine::Admit(double now) {
  while (!waiting_.empty() && waiting_.front().ready_at <= now &&
         running_.size() < static_cast<size_t>(options_.slots)) {
    Run& run = waiting_.front();
    const int64_t tokens = run.call.prompt_tokens + run.call.output_tokens;
    if (kv_used_ + tokens > options_.kv_cache_tokens && kv_used_ > 0) {
      return;
    }
    kv_used_ += tokens;
    const auto cached = cached_.find(run.call.session);
    const bool is_cached =
        run.call.fetches ||
        (cached != cached_.end() && now - cached->second < kCacheMs);
    run.to_prefill = std::max<int64_t>(
        1, run.call.prompt_tokens - (is_cached ? run.call.shared_tokens : 0));
    if (!run.call.session.empty()) {
      cached_[run.call.session] = now;
    }
    running_.push_back(std::move(run));
    waiting_.pop_front();
  }
}

bool BatchEngine::StartStep(double now) {
  Admit(now);
  if (running_.empty()) {
    return false;
  }
  const auto it = std::find_if(running_.begin(), running_.end(),
                               [](const Run& r) { return r.to_prefill > 0; });
  prefilling_ = static_cast<size_t>(it - running_.begin());
  chunk_ = it == running_.end()
               ? 0
               : std::min<int64_t>(it->to_prefill, options_.chunk_tokens);
  const double ms =
      options_.step_ms +
      options_.step_ms_per_request * static_cast<double>(running_.size()) +
      static_cast<double>(chunk_) / options_.prefill_tokens_per_ms;
  step_end_ = now + ms * options_.slowness;
  return true;
}

void BatchEngine::EndStep() {
  for (size_t i = 0; i < running_.size(); ++i) {
    Run& run = running_[i];
    if (i == prefilling_) {
      run.to_prefill -= chunk_;
    }
    if (run.to_prefill > 0) {
      continue;
    }
    ++run.output;
    // The first event has the first token alone.
    if (run.output % options_.tokens_per_event == 1 ||
        run.output == run.call.output_tokens) {
      run.call.on_event(step_end_);
    }
    if (run.output == run.call.output_tokens) {
      kv_used_ -= run.call.prompt_tokens + run.call.output_tokens;
      run.call.on_end(step_end_);
    }
  }
  std::erase_if(running_, [](const Run& it) {
    return it.output >= it.call.output_tokens;
  });
}

void BatchEngine::RunUntil(double now) {
  while (true) {
    if (step_end_ < 0) {
      const double start =
          waiting_.empty() ? now : std::max(clock_, waiting_.front().ready_at);
      if (waiting_.empty() || start > now || !StartStep(start)) {
        clock_ = now;
        return;
      }
    }
    if (step_end_ > now) {
      return;
    }
    EndStep();
    clock_ = step_end_;
    if (!StartStep(clock_)) {
      step_end_ = -1;
    }
  }
}

}  // namespace tamaracktrail
