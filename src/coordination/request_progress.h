#ifndef COORDINATION_REQUEST_PROGRESS_H_
#define COORDINATION_REQUEST_PROGRESS_H_

#include "state/call_kind.h"
#include "state/millis.h"

namespace tamaracktrail {

//! Where a request stands when one of its attempts has ended.
struct RequestProgress {
  CallKind kind = CallKind::kUnsafe;
  bool resumable = false;     //!< Of a stream.
  int max_attempts = 1;       //!< Endpoints that the request may reach.
  int sends = 0;              //!< Endpoints that it has reached or may have.
  int dials = 0;              //!< Attempts, those included that reached nobody.
  bool may_have_run = false;  //!< After any of its attempts.
  bool head_sent = false;     //!< The caller has the head of an answer.
  bool event_sent = false;    //!< The caller has an event of the stream.
  bool caller_gone = false;
  bool retry_allowed = false;      //!< By the fleet's retry budget.
  bool crashes_endpoints = false;  //!< Content that has crashed endpoints.
  bool endpoint_left = false;      //!< Another usable endpoint remains untried.
  Millis remaining;                //!< Until the caller or the route gives up.
};

//! What to do next.
enum class NextStep {
  kTryAnother,  //!< Send the request to another endpoint from its start.
  kResume,      //!< Go on with the stream at another endpoint.
  kDeliver,     //!< Pass the endpoint's answer on.
  kRefuse,      //!< 503: not run, and it never will be.
  kBadGateway,  //!< 502: it may have run.
  kTimeOut,     //!< 504: it may have run.
  kBreakOff,    //!< End the connection so that the answer looks cut.
  kDrop,        //!< The caller has left; nothing is to be sent.
};

}  // namespace tamaracktrail

#endif  // COORDINATION_REQUEST_PROGRESS_H_
