#ifndef COORDINATION_ATTEMPT_OUTCOME_H_
#define COORDINATION_ATTEMPT_OUTCOME_H_

namespace tamaracktrail {

//! How one attempt of a request at an endpoint ended.
enum class AttemptOutcome {
  kAnswered,     //!< The complete answer arrived.
  kNotSent,      //!< No connection: no byte of the request was sent.
  kRefused,      //!< The endpoint reports that it did not run the request.
  kMisdirected,  //!< Another endpoint has the address; the request did not run.
  kFailed,       //!< The endpoint answered with an error; the request ran.
  kBroken,       //!< Connection lost or protocol violated; it may have run.
  kTimedOut,     //!< No answer began within the timeout; it may have run.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_ATTEMPT_OUTCOME_H_
