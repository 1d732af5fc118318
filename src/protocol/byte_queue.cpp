#include "protocol/byte_queue.h"

#include <glog/logging.h>

namespace tamaracktrail {

void ByteQueue::Consume(size_t n) {
  CHECK_LE(n, size());
  begin_ += n;
  if (begin_ == bytes_.size()) {
    Clear();
  } else if (begin_ >= size()) {
    moved_bytes_ += size();
    bytes_.erase(0, begin_);
    begin_ = 0;
  }
}

void ByteQueue::Clear() {
  bytes_.clear();
  begin_ = 0;
}

void ByteQueue::Free() {
  std::string().swap(bytes_);
  begin_ = 0;
}

}  // namespace tamaracktrail
