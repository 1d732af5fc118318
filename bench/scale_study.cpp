#include <malloc.h>
#include <unistd.h>

#include <chrono>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include <glog/logging.h>

#include "absl/strings/escaping.h"
#include "cli/audit.h"
#include "coordination/coordinator.h"
#include "coordination/endpoint_table.h"
#include "protocol/frame_codec.h"
#include "state/batch.h"
#include "state/batch_codec.h"
#include "state/stream_view.h"
#include "support/fake_fleet.h"

namespace tamaracktrail {
namespace {

using Point = std::pair<double, double>;

//! Prints the measured points of one cost and a least-squares line through
//! them. The last column is the largest residual divided by the largest value.
void PrintFit(const std::string& name, const std::vector<Point>& points) {
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  const auto n = static_cast<double>(points.size());
  for (const auto& [x, y] : points) {
    sum_x += x;
    sum_y += y;
    sum_xx += x * x;
    sum_xy += x * y;
    std::cout << "point," << name << "," << x << "," << y << "\n";
  }
  const double slope =
      (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x);
  const double intercept = (sum_y - slope * sum_x) / n;
  double residual = 0;
  double largest = 0;
  for (const auto& [x, y] : points) {
    residual = std::max(residual, std::abs(y - intercept - slope * x));
    largest = std::max(largest, std::abs(y));
  }
  std::cout << "fit," << name << "," << slope << "," << intercept << ","
            << residual / largest << std::endl;
}

size_t AllocatedBytes() {
  return mallinfo2().uordblks;
}

double MeasureMicros(const std::function<void()>& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  const std::chrono::duration<double, std::micro> time =
      std::chrono::steady_clock::now() - start;
  return time.count();
}

std::string Organisation(int i) {
  return "organisation-" + std::to_string(i);
}

Charge MakeCharge(int i) {
  Charge charge;
  charge.organisation = Organisation(i % 100);
  charge.key = "018bcfe5-6800-7000-8000-" + std::to_string(100000000000 + i);
  charge.holder = 7;
  charge.entry = 9;
  charge.attempt = static_cast<uint64_t>(i) + 1;
  charge.service = "assistant";
  charge.endpoint = "engine-117";
  charge.prompt_tokens = 200;
  charge.completion_tokens = 224;
  charge.tokens = 424;
  charge.config_version = 990;
  return charge;
}

void MeasureBudgets() {
  std::vector<Point> memory;
  std::vector<Point> snapshot;
  for (const int n : {2500, 5000, 10000, 20000}) {
    const BatchCodec codec("a key for tests");
    const size_t before = AllocatedBytes();
    StreamView<LedgerFold> view(&codec, LedgerFold(kHour));
    Batch batch{1, 1, "", Millis(1), {}};
    for (int i = 0; i < n; ++i) {
      batch.records.emplace_back(TopUp{Organisation(i), "t", 1000, ""});
      for (uint64_t holder = 1; holder <= 7; ++holder) {
        batch.records.emplace_back(Draw{Organisation(i), holder, 100});
      }
    }
    view.Feed({1, codec.Encode(batch)});
    batch.records.clear();
    batch.records.shrink_to_fit();
    memory.emplace_back(n, AllocatedBytes() - before);
    const Record record = view.MakeSnapshot();
    snapshot.emplace_back(n, std::get<LedgerSnapshot>(record).state.size());
  }
  PrintFit("fold_bytes_per_budget_7_shares", memory);
  PrintFit("snapshot_bytes_per_budget_7_shares", snapshot);
}

void MeasureKeys() {
  std::vector<Point> memory;
  std::vector<Point> log_bytes;
  std::vector<Point> micros;
  for (const int n : {20000, 40000, 80000, 160000}) {
    const BatchCodec codec("a key for tests");
    std::vector<std::string> payloads;
    std::string previous;
    size_t bytes = 0;
    const auto add = [&](std::vector<Record> records) {
      const Batch batch{1, payloads.size() + 1, previous, Millis(1),
                        std::move(records)};
      payloads.push_back(codec.Encode(batch));
      previous = BatchCodec::ChainDigest(payloads.back());
      bytes += payloads.back().size();
    };
    std::vector<Record> start;
    for (int i = 0; i < 100; ++i) {
      start.emplace_back(TopUp{Organisation(i), "t", 1LL << 50, ""});
      start.emplace_back(Draw{Organisation(i), 7, 1LL << 50});
    }
    add(std::move(start));
    for (int i = 0; i < n; i += 100) {
      std::vector<Record> records;
      for (int k = i; k < i + 100; ++k) {
        records.emplace_back(MakeCharge(k));
      }
      add(std::move(records));
    }
    const size_t before = AllocatedBytes();
    StreamView<LedgerFold> view(&codec, LedgerFold(kHour));
    const double time = MeasureMicros([&] {
      for (size_t i = 0; i < payloads.size(); ++i) {
        view.Feed({i + 1, payloads[i]});
      }
    });
    memory.emplace_back(n, AllocatedBytes() - before);
    log_bytes.emplace_back(n, bytes);
    micros.emplace_back(n, time);
  }
  PrintFit("fold_bytes_per_remembered_key", memory);
  PrintFit("log_bytes_per_charge_batches_of_100", log_bytes);
  PrintFit("read_and_fold_us_per_charge", micros);
}

void MeasureHeartbeats() {
  const FrameCodec codec("a key for tests");
  std::vector<Point> bytes;
  for (const int n : {1, 2, 4, 8}) {
    Heartbeat heartbeat;
    heartbeat.from = {"10.0.0.12:7000", 123456789};
    heartbeat.data_centre = "region-1-dc-3";
    for (int i = 0; i < n; ++i) {
      heartbeat.probe_reports.push_back(
          {"engine-" + std::to_string(100 + i), Millis(200), 1, 5});
    }
    bytes.emplace_back(n, codec.Encode(heartbeat).size());
  }
  PrintFit("heartbeat_bytes_per_endpoint_news", bytes);
}

//! Measures the run time and memory per instance and the log appends of one
//! data centre of coordinators without requests, over 20 s of simulated time.
void MeasureFleet() {
  std::vector<Point> micros;
  std::vector<Point> memory;
  std::vector<Point> appends;
  for (const int n : {7, 14, 28, 56}) {
    const size_t before = AllocatedBytes();
    FakeFleet::Options options;
    options.data_centres = 1;
    options.instances = n;
    options.coordinator.shards = 64;
    auto fleet = std::make_unique<FakeFleet>(options);
    fleet->Publish(0, "first");
    fleet->RunFor(kSecond * 10);
    const uint64_t appends_before = fleet->log().appends();
    const double time = MeasureMicros([&] { fleet->RunFor(kSecond * 20); });
    micros.emplace_back(n, time / n / 20);
    memory.emplace_back(n, static_cast<double>(AllocatedBytes() - before) / n);
    appends.emplace_back(
        n, static_cast<double>(fleet->log().appends() - appends_before) / 20);
  }
  PrintFit("idle_us_a_second_per_instance_by_peers", micros);
  PrintFit("bytes_per_instance_by_peers", memory);
  PrintFit("idle_appends_a_second_by_instances", appends);
}

//! Measures the time from the publication of a configuration until it is in
//! force at all instances.
void MeasureConfiguration() {
  std::vector<Point> delays_ms;
  for (const int n : {14, 28, 56, 112}) {
    FakeFleet::Options options;
    options.data_centres = 7;
    options.instances = n / 7;
    options.coordinator.shards = 1;
    FakeFleet fleet(options);
    fleet.Publish(0, "first");
    fleet.RunFor(kSecond * 5);
    const uint64_t version =
        fleet.Publish(fleet.coordinator(0).config_version(), "next");
    const Millis start = fleet.now();
    bool in_force = false;
    while (!in_force) {
      fleet.RunFor(Millis(5));
      in_force = true;
      for (size_t i = 0; i < fleet.size(); ++i) {
        in_force &= fleet.coordinator(i).config_version() == version;
      }
    }
    delays_ms.emplace_back(n, (fleet.now() - start).count());
  }
  PrintFit("configuration_in_force_everywhere_ms", delays_ms);
}

void MeasureEndpoints() {
  std::vector<Point> memory;
  for (const int n : {110, 220, 440, 770}) {
    const size_t before = AllocatedBytes();
    EndpointTable table("dc", {});
    std::vector<EndpointSpec> specs;
    for (int i = 0; i < n; ++i) {
      specs.push_back({"engine-" + std::to_string(i), "10.0.0.1:8000",
                       "assistant", "dc", 16, true});
    }
    table.SetSpecs(specs);
    for (const EndpointSpec& spec : specs) {
      table.Observe(
          {spec.name, EndpointHealth::kUp, 3, "boot", {"model"}, Millis(1)});
    }
    memory.emplace_back(n, AllocatedBytes() - before);
  }
  PrintFit("table_bytes_per_endpoint", memory);
}

//! Measures the time that `audit verify` takes for an export of charges.
void MeasureAudit() {
  std::vector<Point> micros;
  const std::string folder = std::filesystem::temp_directory_path() /
                             ("scale_study_" + std::to_string(getpid()));
  for (const int n : {20000, 40000, 80000, 160000}) {
    std::filesystem::create_directories(folder);
    const BatchCodec codec("a key for tests");
    std::ofstream out(folder + "/ledger-0.jsonl");
    std::string previous;
    uint64_t sequence = 0;
    const auto add = [&](std::vector<Record> records) {
      const Batch batch{7, ++sequence, previous, Millis(1), std::move(records)};
      const std::string payload = codec.Encode(batch);
      previous = BatchCodec::ChainDigest(payload);
      out << "{\"offset\":" << sequence << ",\"data\":\""
          << absl::Base64Escape(payload) << "\"}\n";
    };
    for (int i = 0; i < 100; ++i) {
      add({TopUp{Organisation(i), "t", 1LL << 50, ""},
           Draw{Organisation(i), 7, 1LL << 50}});
    }
    for (int i = 0; i < n; i += 10) {
      std::vector<Record> records;
      for (int k = i; k < i + 10; ++k) {
        records.emplace_back(MakeCharge(k));
      }
      add(std::move(records));
    }
    out.close();
    micros.emplace_back(
        n, MeasureMicros([&] {
          CHECK(VerifyExport(folder, codec, kHour.count())->faults.empty());
        }));
    std::filesystem::remove_all(folder);
  }
  PrintFit("audit_verify_us_per_charge_batches_of_10", micros);
}

}  // namespace
}  // namespace tamaracktrail

//! Measures the slopes from which docs/CAPACITY.md is calculated; prints CSV:
//! point,NAME,SIZE,VALUE and fit,NAME,SLOPE,BASE,RESIDUAL.
int main(int, char** argv) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_WARNING;
  google::InitGoogleLogging(argv[0]);
  tamaracktrail::MeasureBudgets();
  tamaracktrail::MeasureKeys();
  tamaracktrail::MeasureAudit();
  tamaracktrail::MeasureHeartbeats();
  tamaracktrail::MeasureEndpoints();
  tamaracktrail::MeasureConfiguration();
  tamaracktrail::MeasureFleet();
  return 0;
}
