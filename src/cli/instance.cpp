#include "cli/instance.h"

#include <random>
#include <thread>

#include <glog/logging.h>

#include "cli/settings.h"
#include "state/digest.h"
#include "transport/clock.h"
#include "transport/coordination_task.h"
#include "transport/entry_task.h"
#include "transport/metrics.h"

namespace tamaracktrail {

namespace {

uint64_t RandomIncarnation() {
  std::random_device device;
  uint64_t incarnation = 0;
  while (incarnation == 0) {
    incarnation = uint64_t{device()} << 32 | device();
  }
  return incarnation;
}

}  // namespace

struct Instance::Parts {
  explicit Parts(const Settings& settings)
      : incarnation(RandomIncarnation()),
        shutdown_timeout(settings.Duration("shutdown", "deadline_ms")),
        entry(settings.EntryOptions(incarnation), &metrics),
        coordination(settings.CoordinationOptions(incarnation),
                     &metrics,
                     [this](std::vector<EntryNotice> notices) {
                       entry.Notify(std::move(notices));
                     }) {}

  uint64_t incarnation;
  Millis shutdown_timeout;
  Metrics metrics;
  EntryTask entry;
  CoordinationTask coordination;
};

Instance::Instance(const Settings& settings)
    : parts_(std::make_unique<Parts>(settings)) {}

Instance::~Instance() = default;

absl::Status Instance::Start() {
  // The entry task starts first because the coordination task sends notices to
  // it from its start.
  absl::Status status = parts_->entry.Start(&parts_->coordination);
  if (!status.ok()) {
    return status;
  }
  status = parts_->coordination.Start();
  if (!status.ok()) {
    parts_->entry.Stop();
    return status;
  }
  LOG(INFO) << "event=started incarnation=" << Hex(parts_->incarnation);
  return status;
}

absl::Status Instance::Shutdown() {
  constexpr auto kPollInterval = std::chrono::milliseconds(20);
  const Millis deadline = MonotonicNow() + parts_->shutdown_timeout;
  LOG(INFO) << "event=shutdown_started";
  parts_->entry.Drain();
  while (parts_->entry.OpenCalls() > 0 && MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
  }
  const size_t aborted_requests = parts_->entry.OpenCalls();
  const bool exited = parts_->coordination.DrainAndRecordExit(deadline);
  parts_->entry.Stop();
  parts_->coordination.Stop();
  LOG(INFO) << "event=shutdown_ended cut=" << aborted_requests
            << " left=" << exited;
  if (aborted_requests > 0 || !exited) {
    return absl::DeadlineExceededError("the shutdown exceeded its deadline");
  }
  return absl::OkStatus();
}

}  // namespace tamaracktrail
