#ifndef TRANSPORT_INTERNAL_CALLER_REFUSAL_H_
#define TRANSPORT_INTERNAL_CALLER_REFUSAL_H_

#include <string>

#include "protocol/result_code.h"

typedef struct _SoupServerMessage SoupServerMessage;

namespace tamaracktrail {

class Metrics;

//! Answers a request that was not admitted with an error, counts it and logs
//! it. Call it on the task of the message's server.
void RefuseCaller(SoupServerMessage* message,
                  ResultCode code,
                  const std::string& detail,
                  Metrics* metrics);

}  // namespace tamaracktrail

#endif  // TRANSPORT_INTERNAL_CALLER_REFUSAL_H_
