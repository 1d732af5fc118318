#ifndef PROTOCOL_RESULT_INFO_H_
#define PROTOCOL_RESULT_INFO_H_

#include <span>

#include "protocol/result_code.h"
#include "protocol/run_state.h"

namespace tamaracktrail {

//! What a caller is told with a result code.
struct ResultInfo {
  ResultCode code = ResultCode::kOk;
  const char* name = "";
  int http_status = 0;
  RunState run_state = RunState::kNotRun;  //!< Unless the answer says more.
  int retry_after_s = 0;                   //!< 0 where a retry cannot help.
  const char* description = "";
};

//! All result codes in ascending order. Thread-safe.
std::span<const ResultInfo> AllResults();

//! Precondition: `code` is one of the enumeration. Thread-safe.
const ResultInfo& InfoOf(ResultCode code);

}  // namespace tamaracktrail

#endif  // PROTOCOL_RESULT_INFO_H_
