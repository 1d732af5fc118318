#ifndef STATE_CALL_KIND_H_
#define STATE_CALL_KIND_H_

namespace tamaracktrail {

//! What may be repeated about a call.
enum class CallKind {
  kSafe,    //!< May run more than once.
  kUnsafe,  //!< Runs at most once.
  kStream,  //!< Answers with events; runs at most once unless resumable.
};

}  // namespace tamaracktrail

#endif  // STATE_CALL_KIND_H_
