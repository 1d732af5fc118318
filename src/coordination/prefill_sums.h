#ifndef COORDINATION_PREFILL_SUMS_H_
#define COORDINATION_PREFILL_SUMS_H_

namespace tamaracktrail {

//! Weighted sums of samples (tokens to prefill in thousands, time to the first
//! event in ms) for a linear regression.
struct PrefillSums {
  float weight = 0;
  float tokens = 0;
  float ms = 0;
  float tokens_squared = 0;
  float tokens_ms = 0;

  friend bool operator==(const PrefillSums&, const PrefillSums&) = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(weight, tokens, ms, tokens_squared, tokens_ms);
  }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_PREFILL_SUMS_H_
