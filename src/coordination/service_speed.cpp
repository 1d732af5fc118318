#include "coordination/service_speed.h"

#include <algorithm>
#include <cmath>

namespace tamaracktrail {

namespace {

//! Samples decay to 1/e in this time.
constexpr double kDecayMs = 10000;

//! Bounds of the measured values: base time in ms, and 10 to 500 tokens per ms.
constexpr double kMinBaseMs = 2;
constexpr double kMaxBaseMs = 1000;
constexpr double kMinMsPerKTokens = 2;
constexpr double kMaxMsPerKTokens = 100;

//! A sample counts with at most this multiple of the predicted time, so that
//! one that waited behind unknown requests does not determine the result.
constexpr double kMaxOutlier = 4;

//! Times differ by a factor of 100, and their deviations are relative: samples
//! are weighted by the square of kWeightMs over the predicted time.
constexpr double kWeightMs = 100;
constexpr double kMinWeightedMs = 10;

//! Prior samples, at which the regression starts: this many at no tokens and at
//! kPriorKTokens, with the times of the values before the first samples.
constexpr double kPriorSamples = 2;
constexpr double kPriorKTokens = 6;
constexpr double kPriorBaseMs = 45;
constexpr double kPriorMsPerKTokens = 1000.0 / 60;

//! Weight of one sample in the smoothed time of answers.
constexpr double kAnswerWeight = 0.05;

//! Sums of a peer below this weight are dropped.
constexpr float kMinWeight = 0.01F;

//! Largest sum that is believed in a report.
constexpr float kMaxReportedSum = 1e12F;

double Weight(double predicted_ms) {
  const double ratio = kWeightMs / std::max(kMinWeightedMs, predicted_ms);
  return ratio * ratio;
}

void AddSample(double weight, double k_tokens, double ms, PrefillSums* sums) {
  sums->weight += static_cast<float>(weight);
  sums->tokens += static_cast<float>(weight * k_tokens);
  sums->ms += static_cast<float>(weight * ms);
  sums->tokens_squared += static_cast<float>(weight * k_tokens * k_tokens);
  sums->tokens_ms += static_cast<float>(weight * k_tokens * ms);
}

void AddSums(const PrefillSums& from, PrefillSums* sums) {
  sums->weight += from.weight;
  sums->tokens += from.tokens;
  sums->ms += from.ms;
  sums->tokens_squared += from.tokens_squared;
  sums->tokens_ms += from.tokens_ms;
}

void Scale(float factor, PrefillSums* sums) {
  sums->weight *= factor;
  sums->tokens *= factor;
  sums->ms *= factor;
  sums->tokens_squared *= factor;
  sums->tokens_ms *= factor;
}

}  // namespace

void ServiceSpeed::OnSample(double tokens, double ms) {
  const double predicted = TimeToFirstEvent(tokens);
  AddSample(Weight(predicted), tokens / 1000,
            std::min(ms, kMaxOutlier * predicted), &own_);
}

void ServiceSpeed::OnReported(uint64_t peer, const PrefillSums& sums) {
  const auto all = {sums.weight, sums.tokens, sums.ms, sums.tokens_squared,
                    sums.tokens_ms};
  // Also false for values that are not numbers.
  const bool possible = std::all_of(all.begin(), all.end(), [](float it) {
    return it >= 0 && it <= kMaxReportedSum;
  });
  if (possible) {
    peers_[peer] = sums;
  }
}

void ServiceSpeed::OnAnswered(double ms) {
  answer_ms_ += kAnswerWeight * (ms - answer_ms_);
}

void ServiceSpeed::OnTick(Millis now) {
  const Millis age = decayed_at_ == Millis(0) ? Millis(0) : now - decayed_at_;
  const auto kept = static_cast<float>(
      std::exp(-static_cast<double>(age.count()) / kDecayMs));
  decayed_at_ = now;
  Scale(kept, &own_);
  PrefillSums sums = own_;
  for (auto& [peer, it] : peers_) {
    Scale(kept, &it);
    AddSums(it, &sums);
  }
  std::erase_if(peers_,
                [](const auto& it) { return it.second.weight < kMinWeight; });
  Solve(sums);
}

void ServiceSpeed::Solve(const PrefillSums& sums) {
  PrefillSums all = sums;
  for (const double k_tokens : {0.0, kPriorKTokens}) {
    const double ms = kPriorBaseMs + kPriorMsPerKTokens * k_tokens;
    AddSample(kPriorSamples * Weight(ms), k_tokens, ms, &all);
  }
  const double weight = all.weight;
  const double tokens = all.tokens;
  // Positive, since the prior samples differ in their tokens.
  const double determinant = weight * all.tokens_squared - tokens * tokens;
  const double slope =
      std::clamp((weight * all.tokens_ms - tokens * all.ms) / determinant,
                 kMinMsPerKTokens, kMaxMsPerKTokens);
  base_ms_ =
      std::clamp((all.ms - slope * tokens) / weight, kMinBaseMs, kMaxBaseMs);
  ms_per_k_tokens_ = std::clamp(
      (all.tokens_ms - base_ms_ * tokens) / double{all.tokens_squared},
      kMinMsPerKTokens, kMaxMsPerKTokens);
}

}  // namespace tamaracktrail
