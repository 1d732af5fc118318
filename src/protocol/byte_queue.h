#ifndef PROTOCOL_BYTE_QUEUE_H_
#define PROTOCOL_BYTE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tamaracktrail {

//! Bytes that are appended at the end and consumed from the front.
//!
//! Consuming a byte takes amortized constant time: what remains is moved only
//! after at least as many bytes have been consumed. Not thread-safe.
class ByteQueue {
 public:
  void Append(std::string_view bytes) { bytes_.append(bytes); }
  //! For functions that append to a string. Precondition: nothing but appending
  //! is done with it.
  std::string* tail() { return &bytes_; }

  //! Valid until the next call of another function.
  std::string_view view() const {
    return std::string_view(bytes_).substr(begin_);
  }
  size_t size() const { return bytes_.size() - begin_; }
  bool empty() const { return size() == 0; }
  //! Memory of the buffer.
  size_t capacity() const { return bytes_.capacity(); }

  //! Removes the first `n` bytes. Precondition: n <= size().
  void Consume(size_t n);
  //! Removes all bytes and keeps the memory.
  void Clear();
  //! Removes all bytes and frees the memory.
  void Free();

  //! Bytes that were moved within the buffer so far.
  uint64_t moved_bytes() const { return moved_bytes_; }

 private:
  std::string bytes_;
  size_t begin_ = 0;
  uint64_t moved_bytes_ = 0;
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_BYTE_QUEUE_H_
