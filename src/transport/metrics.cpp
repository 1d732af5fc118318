#include "transport/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "absl/strings/str_cat.h"

namespace tamaracktrail {

namespace acc = boost::accumulators;

struct Metrics::Summary {
  using Moments = acc::accumulator_set<
      double,
      acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max>>;
  using Quantile =
      acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

  Moments moments;
  Quantile p50{acc::quantile_probability = 0.5};
  Quantile p95{acc::quantile_probability = 0.95};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name, int64_t n) {
  const std::lock_guard<std::mutex> lock(mutex_);
  counters_[name] += n;
}

void Metrics::Set(const std::string& name, double value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  gauges_[name] = value;
}

void Metrics::Observe(const std::string& name, double value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::unique_ptr<Summary>& summary = summaries_[name];
  if (summary == nullptr) {
    summary = std::make_unique<Summary>();
  }
  summary->moments(value);
  summary->p50(value);
  summary->p95(value);
}

std::string Metrics::Text() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::string out;
  for (const auto& [name, value] : counters_) {
    absl::StrAppend(&out, name, " ", value, "\n");
  }
  for (const auto& [name, value] : gauges_) {
    absl::StrAppend(&out, name, " ", value, "\n");
  }
  for (const auto& [name, it] : summaries_) {
    absl::StrAppend(&out, name, "{quantile=\"0.5\"} ",
                    acc::p_square_quantile(it->p50), "\n", name,
                    "{quantile=\"0.95\"} ", acc::p_square_quantile(it->p95),
                    "\n", name, "_max ", acc::max(it->moments), "\n", name,
                    "_sum ", acc::sum(it->moments), "\n", name, "_count ",
                    acc::count(it->moments), "\n");
  }
  return out;
}

}  // namespace tamaracktrail
