#ifndef STATE_BOUNDED_INPUT_ARCHIVE_H_
#define STATE_BOUNDED_INPUT_ARCHIVE_H_

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cstdint>
#include <string_view>
#include <type_traits>

namespace tamaracktrail {

//! Reads what cereal::PortableBinaryOutputArchive wrote, from bytes that any
//! sender may have chosen.
//!
//! cereal resizes a string or vector to the length it reads. Here a length that
//! exceeds the number of bytes left throws cereal::Exception before that. Not
//! thread-safe.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  //! Precondition: `bytes` outlive the archive. Throws cereal::Exception if
  //! they come from a machine with another byte order.
  explicit BoundedInputArchive(std::string_view bytes)
      : InputArchive(this), bytes_(bytes) {
    uint8_t little_endian = 0;
    Load(&little_endian, 1);
    if (little_endian != cereal::portable_binary_detail::is_little_endian()) {
      throw cereal::Exception("another byte order");
    }
  }

  bool at_end() const { return bytes_.empty(); }

  //! Copies the next `n` bytes. Throws cereal::Exception if fewer are left.
  void Load(void* to, size_t n) {
    CheckLength(n);
    std::copy_n(bytes_.data(), n, static_cast<char*>(to));
    bytes_.remove_prefix(n);
  }

  //! Throws cereal::Exception if `n` elements can't be left, each of a byte or
  //! more.
  void CheckLength(uint64_t n) const {
    if (n > bytes_.size()) {
      throw cereal::Exception("a length exceeds the bytes left");
    }
  }

 private:
  std::string_view bytes_;
};

template <class T>
requires std::is_arithmetic_v<T>
void load(BoundedInputArchive& archive, T& value) {
  archive.Load(&value, sizeof(value));
}

template <class T>
void load(BoundedInputArchive& archive, cereal::SizeTag<T>& tag) {
  archive(tag.size);
  archive.CheckLength(tag.size);
}

template <class T>
void load(BoundedInputArchive& archive, cereal::BinaryData<T>& data) {
  archive.Load(data.data, static_cast<size_t>(data.size));
}

template <class T>
void load(BoundedInputArchive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

}  // namespace tamaracktrail

#endif  // STATE_BOUNDED_INPUT_ARCHIVE_H_
