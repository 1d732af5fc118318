#ifndef COORDINATION_ATTEMPT_OUTCOME_H_
#define COORDINATION_ATTEMPT_OUTCOME_H_

namespace tamaracktrail {

//! How one attempt of a request at an endpoint ended.
enum class AttemptOutcome {
  kAnswered,     //!< The whole answer arrived.
  kNotSent,      //!< No connection: no byte of the request left.
  kRefused,      //!< The endpoint says that it did not run the request.
  kMisdirected,  //!< Another endpoint has the address; it did not run it.
  kFailed,       //!< The endpoint's own error answer; the request ran.
  kBroken,       //!< Broke off, or broke the protocol; it may have run.
  kSilent,       //!< No sign of an answer in the time that was allowed.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ATTEMPT_OUTCOME_H_
