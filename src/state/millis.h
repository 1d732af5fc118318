#ifndef STATE_MILLIS_H_
#define STATE_MILLIS_H_

#include <compare>
#include <cstdint>

namespace tamaracktrail {

//! A time or a duration in milliseconds.
//!
//! State machines receive the time as an argument and never read a clock, which
//! keeps them deterministic. Value type without shared state.
class Millis {
 public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t count) : count_(count) {}

  constexpr int64_t count() const { return count_; }

  friend constexpr auto operator<=>(const Millis&, const Millis&) = default;
  friend constexpr Millis operator+(Millis a, Millis b) {
    return Millis(a.count_ + b.count_);
  }
  friend constexpr Millis operator-(Millis a, Millis b) {
    return Millis(a.count_ - b.count_);
  }
  friend constexpr Millis operator*(Millis a, int64_t n) {
    return Millis(a.count_ * n);
  }

  //! Returns this value times `factor`, truncated to whole milliseconds.
  constexpr Millis Scaled(double factor) const {
    return Millis(static_cast<int64_t>(static_cast<double>(count_) * factor));
  }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(count_);
  }

 private:
  int64_t count_ = 0;
};

constexpr Millis kSecond{1000};
constexpr Millis kMinute{60 * 1000};
constexpr Millis kHour{60 * 60 * 1000};

}  // namespace tamaracktrail

#endif  // STATE_MILLIS_H_
