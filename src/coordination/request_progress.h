#ifndef COORDINATION_REQUEST_PROGRESS_H_
#define COORDINATION_REQUEST_PROGRESS_H_

#include "state/call_kind.h"
#include "state/millis.h"

namespace tamaracktrail {

//! State of a request after one of its attempts has ended.
struct RequestProgress {
  CallKind kind = CallKind::kUnsafe;
  bool resumable = false;  //!< Whether a stream can be resumed.
  int max_attempts = 1;    //!< Limit of `sends`.
  int sends = 0;           //!< Endpoints that have or may have received it.
  int connection_attempts = 0;  //!< Including those that reached no endpoint.
  bool may_have_run = false;    //!< In at least one of its attempts.
  bool head_sent = false;       //!< The caller was sent the head of an answer.
  bool event_sent = false;      //!< The caller was sent an event of the stream.
  bool caller_gone = false;
  bool retry_allowed = false;      //!< The fleet's retry budget allows a retry.
  bool crashes_endpoints = false;  //!< Its content has crashed an endpoint.
  bool has_untried_endpoint =
      false;         //!< There is a usable endpoint not tried yet.
  Millis remaining;  //!< Until the caller's or the route's deadline.
};

//! What to do after an attempt or a timeout.
enum class NextStep {
  kTryAnother,  //!< Send the request to another endpoint from its start.
  kResume,      //!< Continue the stream at another endpoint.
  kDeliver,     //!< Forward the endpoint's answer.
  kRefuse,      //!< 503: the request has not run and will not run.
  kBadGateway,  //!< 502: it may have run.
  kTimeOut,     //!< 504: it may have run.
  //! Close the caller's connection, so that the answer is recognised as
  //! incomplete.
  kAbort,
  kDrop,  //!< The caller has disconnected; send nothing.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_REQUEST_PROGRESS_H_
