#include "cli/log_session.h"

#include <glib.h>

#include <optional>
#include <random>

#include "transport/http_client.h"
#include "transport/http_log_service.h"

namespace tamaracktrail {

namespace {

constexpr size_t kPageEntries = 500;

}  // namespace

LogSession::LogSession(const std::string& log_url, const std::string& fleet_key)
    : codec_(fleet_key), context_(g_main_context_new()) {
  g_main_context_push_thread_default(context_);
  http_ = std::make_unique<HttpClient>();
  log_ = std::make_unique<HttpLogService>(http_.get(), log_url);
}

LogSession::~LogSession() {
  http_.reset();
  g_main_context_pop_thread_default(context_);
  g_main_context_unref(context_);
}

absl::StatusOr<LogPage> LogSession::Read(const std::string& stream,
                                         uint64_t from,
                                         Millis wait) {
  std::optional<absl::StatusOr<LogPage>> result;
  log_->Read(stream, from, kPageEntries, wait,
             [&](auto page) { result = std::move(page); });
  while (!result.has_value()) {
    g_main_context_iteration(context_, TRUE);
  }
  return *std::move(result);
}

absl::StatusOr<uint64_t> LogSession::Append(const std::string& stream,
                                            const std::string& payload) {
  std::optional<absl::StatusOr<uint64_t>> result;
  log_->Append(stream, payload, [&](auto offset) { result = offset; });
  while (!result.has_value()) {
    g_main_context_iteration(context_, TRUE);
  }
  return *std::move(result);
}

uint64_t LogSession::NewWriter() {
  // Sets the lowest bit, so that the id is never 0.
  std::random_device device;
  return (uint64_t{device()} << 32 | device()) | 1;
}

}  // namespace tamaracktrail
