#include "coordination/connection_account.h"

#include <bit>
#include <cstdint>

#include <glog/logging.h>

namespace tamaracktrail {

namespace {

//! A connection is closed for a small request only if it holds more than this
//! multiple of it.
constexpr size_t kMinRatioToSmall = 4;

}  // namespace

void ConnectionAccount::Add(Millis now, Id id) {
  Connection connection;
  connection.since = now;
  CHECK(connections_.emplace(id, connection).second)
      << "event=connection_added_twice";
  held_ += kConnectionBytes;
}

void ConnectionAccount::Set(Millis now, Id id, size_t bytes, bool may_close) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  Connection& connection = found->second;
  LeaveBucket(&connection);
  held_ = held_ - connection.bytes + bytes;
  connection.bytes = bytes;
  connection.since = now;
  if (may_close && bytes >= kMinClosedBytes) {
    connection.bucket = BucketOf(bytes);
    std::list<Id>& bucket = closable_[connection.bucket];
    connection.position = bucket.insert(bucket.end(), id);
  }
}

void ConnectionAccount::Remove(Id id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return;
  }
  LeaveBucket(&found->second);
  held_ -= found->second.bytes + kConnectionBytes;
  connections_.erase(found);
}

ConnectionAccount::Decision ConnectionAccount::Request(Millis now,
                                                       Id id,
                                                       size_t bytes) const {
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return {};
  }
  const size_t own = found->second.bytes;
  const bool is_small = bytes <= kSmallBytes;
  const size_t limit = is_small ? budget_ : budget_ / 4 * 3;
  if (bytes <= own || held_ - own + bytes <= limit) {
    return {true, std::nullopt};
  }
  for (size_t i = closable_.size(); i-- > 0;) {
    // Only the first of a bucket, or the one behind the requester, has been
    // without progress for the longest time.
    for (const Id it : closable_[i]) {
      if (it == id) {
        continue;
      }
      const Connection& other = connections_.at(it);
      const bool stalled = now - other.since >= kStalledTime;
      if (stalled || (is_small && other.bytes > kMinRatioToSmall * bytes)) {
        return {false, it};
      }
      break;
    }
  }
  return {};
}

std::optional<ConnectionAccount::Id> ConnectionAccount::ChooseToClose() const {
  for (size_t i = closable_.size(); i-- > 0;) {
    if (!closable_[i].empty()) {
      return closable_[i].front();
    }
  }
  return std::nullopt;
}

int ConnectionAccount::BucketOf(size_t bytes) {
  return std::bit_width(static_cast<uint64_t>(bytes)) - 1;
}

void ConnectionAccount::LeaveBucket(Connection* connection) {
  if (connection->bucket >= 0) {
    closable_[connection->bucket].erase(connection->position);
    connection->bucket = -1;
  }
}

}  // namespace tamaracktrail
