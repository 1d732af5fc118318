#ifndef TRANSPORT_METRICS_H_
#define TRANSPORT_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace tamaracktrail {

//! Counters, gauges and summaries in the Prometheus text format. Thread-safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  //! Adds to a counter. `name` may include labels: name{key="value"}.
  void Count(const std::string& name, int64_t n = 1);

  //! Sets a gauge.
  void Set(const std::string& name, double value);

  //! Adds a sample to a summary with count, sum, maximum and the quantiles 0.5
  //! and 0.95.
  void Observe(const std::string& name, double value);

  //! All metrics in the text format.
  std::string Text() const;

 private:
  struct Summary;

  mutable std::mutex mutex_;
  std::map<std::string, int64_t> counters_;
  std::map<std::string, double> gauges_;
  std::map<std::string, std::unique_ptr<Summary>> summaries_;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_METRICS_H_
