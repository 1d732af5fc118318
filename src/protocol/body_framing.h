#ifndef PROTOCOL_BODY_FRAMING_H_
#define PROTOCOL_BODY_FRAMING_H_

namespace tamaracktrail {

//! How the end of a message's body is recognised.
enum class BodyFraming {
  kLength,  //!< By its length, which is known from the head.
  kChunks,  //!< By the last chunk.
  //! By the end of the connection. A sender that dies ends it in the same way,
  //! so the body is not known to be complete.
  kConnectionEnd,
};

//! Returns a name for log lines and metrics.
constexpr const char* BodyFramingName(BodyFraming framing) {
  switch (framing) {
    case BodyFraming::kLength:
      return "length";
    case BodyFraming::kChunks:
      return "chunks";
    case BodyFraming::kConnectionEnd:
      return "connection_end";
  }
  return "";
}

}  // namespace tamaracktrail

#endif  // PROTOCOL_BODY_FRAMING_H_
