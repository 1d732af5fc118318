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

//! Prints the points of one cost, and the line through them with its largest
//! residual as a part of the largest value.
void Report(const std::string& name, const std::vector<Point>& points) {
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  const auto n = static_cast<double>(points.size());
  for (const auto& [x, y] : points) {
    sx += x;
    sy += y;
    sxx += x * x;
    sxy += x * y;
    std::cout << "point," << name << "," << x << "," << y << "\n";
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double base = (sy - slope * sx) / n;
  double residual = 0;
  double largest = 0;
  for (const auto& [x, y] : points) {
    residual = std::max(residual, std::abs(y - base - slope * x));
    largest = std::max(largest, std::abs(y));
  }
  std::cout << "fit," << name << "," << slope << "," << base << ","
            << residual / largest << std::endl;
}

size_t Allocated() {
  return mallinfo2().uordblks;
}

double MicrosOf(const std::function<void()>& work) {
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
  Charge it;
  it.organisation = Organisation(i % 100);
  it.key = "018bcfe5-6800-7000-8000-" + std::to_string(100000000000 + i);
  it.holder = 7;
  it.entry = 9;
  it.attempt = static_cast<uint64_t>(i) + 1;
  it.service = "assistant";
  it.endpoint = "engine-117";
  it.prompt_tokens = 200;
  it.completion_tokens = 224;
  it.tokens = 424;
  it.config_version = 990;
  return it;
}

void MeasureBudgets() {
  std::vector<Point> memory;
  std::vector<Point> snapshot;
  for (const int n : {2500, 5000, 10000, 20000}) {
    const BatchCodec codec("a key for tests");
    const size_t before = Allocated();
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
    memory.emplace_back(n, Allocated() - before);
    const Record record = view.MakeSnapshot();
    snapshot.emplace_back(n, std::get<LedgerSnapshot>(record).state.size());
  }
  Report("fold_bytes_per_budget_7_shares", memory);
  Report("snapshot_bytes_per_budget_7_shares", snapshot);
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
    const size_t before = Allocated();
    StreamView<LedgerFold> view(&codec, LedgerFold(kHour));
    const double time = MicrosOf([&] {
      for (size_t i = 0; i < payloads.size(); ++i) {
        view.Feed({i + 1, payloads[i]});
      }
    });
    memory.emplace_back(n, Allocated() - before);
    log_bytes.emplace_back(n, bytes);
    micros.emplace_back(n, time);
  }
  Report("fold_bytes_per_remembered_key", memory);
  Report("log_bytes_per_charge_batches_of_100", log_bytes);
  Report("read_and_fold_us_per_charge", micros);
}

void MeasureHeartbeats() {
  const FrameCodec codec("a key for tests");
  std::vector<Point> bytes;
  for (const int n : {1, 2, 4, 8}) {
    Heartbeat it;
    it.from = {"10.0.0.12:7000", 123456789};
    it.data_centre = "region-1-dc-3";
    for (int i = 0; i < n; ++i) {
      it.probe_reports.push_back(
          {"engine-" + std::to_string(100 + i), Millis(200), 1, 5});
    }
    bytes.emplace_back(n, codec.Encode(it).size());
  }
  Report("heartbeat_bytes_per_endpoint_news", bytes);
}

//! Whole data centres of coordinators without requests, for a minute.
void MeasureFleet() {
  std::vector<Point> micros;
  std::vector<Point> memory;
  std::vector<Point> appends;
  for (const int n : {7, 14, 28, 56}) {
    const size_t before = Allocated();
    FakeFleet::Options options;
    options.data_centres = 1;
    options.instances = n;
    options.coordinator.shards = 64;
    auto fleet = std::make_unique<FakeFleet>(options);
    fleet->Publish(0, "first");
    fleet->RunFor(kSecond * 10);
    const uint64_t appended = fleet->log().appends();
    const double time = MicrosOf([&] { fleet->RunFor(kSecond * 20); });
    micros.emplace_back(n, time / n / 20);
    memory.emplace_back(n, static_cast<double>(Allocated() - before) / n);
    appends.emplace_back(
        n, static_cast<double>(fleet->log().appends() - appended) / 20);
  }
  Report("idle_us_a_second_per_instance_by_peers", micros);
  Report("bytes_per_instance_by_peers", memory);
  Report("idle_appends_a_second_by_instances", appends);
}

//! Time from a publication to the last instance that has it in force.
void MeasureConfiguration() {
  std::vector<Point> spread;
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
    bool all = false;
    while (!all) {
      fleet.RunFor(Millis(5));
      all = true;
      for (size_t i = 0; i < fleet.size(); ++i) {
        all &= fleet.coordinator(i).config_version() == version;
      }
    }
    spread.emplace_back(n, (fleet.now() - start).count());
  }
  Report("configuration_in_force_everywhere_ms", spread);
}

void MeasureEndpoints() {
  std::vector<Point> memory;
  for (const int n : {110, 220, 440, 770}) {
    const size_t before = Allocated();
    EndpointTable table("dc", {});
    std::vector<EndpointSpec> specs;
    for (int i = 0; i < n; ++i) {
      specs.push_back({"engine-" + std::to_string(i), "10.0.0.1:8000",
                       "assistant", "dc", 16, true});
    }
    table.SetSpecs(specs);
    for (const EndpointSpec& it : specs) {
      table.Observe(
          {it.name, EndpointHealth::kUp, 3, "boot", {"model"}, Millis(1)});
    }
    memory.emplace_back(n, Allocated() - before);
  }
  Report("table_bytes_per_endpoint", memory);
}

//! Time of audit verify over an export of charges.
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
        n, MicrosOf([&] {
          CHECK(VerifyExport(folder, codec, kHour.count())->faults.empty());
        }));
    std::filesystem::remove_all(folder);
  }
  Report("audit_verify_us_per_charge_batches_of_10", micros);
}

}  // namespace
}  // namespace tamaracktrail

//! Measures the slopes that docs/CAPACITY.md is worked out from; prints CSV:
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
