#ifndef STATE_CALL_KIND_H_
#define STATE_CALL_KIND_H_

namespace tamaracktrail {

//! Whether a call may run more than once.
enum class CallKind {
  kSafe,    //!< May run more than once.
  kUnsafe,  //!< Runs at most once.
  kStream,  //!< Event stream; runs at most once unless resumable.
};

}  // namespace tamaracktrail

#endif  // STATE_CALL_KIND_H_
