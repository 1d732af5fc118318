#include "transport/relay/connection_memory.h"

#include <optional>

#include "transport/metrics.h"
#include "transport/relay/caller_connection.h"

namespace tamaracktrail {

ConnectionMemory::ConnectionMemory(EventLoop* loop,
                                   Metrics* metrics,
                                   size_t budget)
    : loop_(loop), metrics_(metrics), account_(budget) {}

uint64_t ConnectionMemory::Add(CallerConnection* connection) {
  const uint64_t id = ++last_id_;
  account_.Add(loop_->Now(), id);
  connections_.emplace(id, connection);
  return id;
}

void ConnectionMemory::Remove(uint64_t id) {
  account_.Remove(id);
  connections_.erase(id);
}

void ConnectionMemory::Set(uint64_t id, size_t bytes, bool may_close) {
  account_.Set(loop_->Now(), id, bytes, may_close);
  if (account_.is_over() && !close_scheduled_) {
    close_scheduled_ = true;
    // A handler of the connection to close may be running.
    loop_->Defer([this] {
      close_scheduled_ = false;
      CloseUntilWithinBudget();
    });
  }
}

bool ConnectionMemory::Request(uint64_t id, size_t bytes) {
  while (true) {
    const ConnectionAccount::Decision decision =
        account_.Request(loop_->Now(), id, bytes);
    if (decision.holds) {
      return true;
    }
    if (!decision.closes) {
      ++refused_;
      metrics_->Count("requests_refused_for_memory_total");
      return false;
    }
    CloseOne(*decision.closes);
  }
}

void ConnectionMemory::CloseUntilWithinBudget() {
  while (account_.is_over()) {
    const std::optional<uint64_t> id = account_.ChooseToClose();
    if (!id) {
      return;
    }
    CloseOne(*id);
  }
}

void ConnectionMemory::CloseOne(uint64_t id) {
  ++closed_;
  metrics_->Count("connections_closed_for_memory_total");
  CallerConnection* const connection = connections_.at(id);
  // It is closed by the end of this wake-up, so it no longer counts.
  Remove(id);
  connection->CloseForMemory();
}

}  // namespace tamaracktrail
