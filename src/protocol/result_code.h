#ifndef PROTOCOL_RESULT_CODE_H_
#define PROTOCOL_RESULT_CODE_H_

#include <cstdint>

namespace tamaracktrail {

//! Numeric results of requests, listed in docs/RESULT_CODES.md. Numbers are
//! never reused.
//!
//! 1xxx: the request ran; 2xxx: the request itself is refused; 3xxx: budget;
//! 4xxx: load, time limits and the caller's connection; 5xxx: state of the
//! instance, the log, the keeper or the request key; 6xxx: endpoints,
//! and content that crashes them.
enum class ResultCode : int32_t {
  kOk = 1000,
  kAlreadyBilled = 1001,
  kAlreadyRan = 1002,

  kBadRequest = 2001,
  kUnauthorized = 2002,
  kUnknownModel = 2003,
  kUnknownService = 2004,
  kBodyTooLarge = 2005,
  kTooManyTokens = 2006,
  kKeyTooOld = 2007,
  kHeadersTooLarge = 2008,

  kBudgetExhausted = 3001,
  kBudgetHeldElsewhere = 3002,
  kBudgetUnavailable = 3003,

  kQueueFull = 4001,
  kDeadlineExceeded = 4002,
  kTooManyStreams = 4003,
  kSlowReader = 4004,
  kCallerGone = 4005,
  kRetryBudgetSpent = 4006,

  kNoConfiguration = 5001,
  kLogUnavailable = 5002,
  kKeeperUnreachable = 5003,
  kShuttingDown = 5004,
  kRequestInProgress = 5005,
  kOutcomeUnknown = 5006,
  kChargeNotSafe = 5007,

  kNoEndpoint = 6001,
  kEndpointRefused = 6002,
  kEndpointLost = 6003,
  kAnswerIncomplete = 6004,
  kPoisonRequest = 6005,
  kEndpointError = 6006,
  kContentOnTrial = 6007,
};

}  // namespace tamaracktrail

#endif  // PROTOCOL_RESULT_CODE_H_
