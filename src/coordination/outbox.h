#ifndef COORDINATION_OUTBOX_H_
#define COORDINATION_OUTBOX_H_

#include <cstdint>
#include <utility>
#include <vector>

#include "protocol/peer_message.h"
#include "state/record.h"

namespace tamaracktrail {

//! Output of a state machine: messages to send to instances and records to
//! append to the log. Not thread-safe.
struct Outbox {
  struct Message {
    uint64_t to = 0;  //!< Incarnation of the receiver.
    PeerMessage message;
  };

  std::vector<Message> messages;
  std::vector<Record> records;

  void Send(uint64_t to, PeerMessage message) {
    messages.push_back({to, std::move(message)});
  }
  void Append(Record record) { records.push_back(std::move(record)); }
};

}  // namespace tamaracktrail

#endif  // COORDINATION_OUTBOX_H_
