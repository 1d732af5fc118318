#ifndef PROTOCOL_RESULT_INFO_H_
#define PROTOCOL_RESULT_INFO_H_

#include <span>

#include "protocol/result_code.h"
#include "protocol/run_state.h"

namespace tamaracktrail {

//! How a result code is reported to callers.
struct ResultInfo {
  ResultCode code = ResultCode::kOk;
  const char* name = "";
  int http_status = 0;
  //! Default; an answer may override it.
  RunState run_state = RunState::kNotRun;
  int retry_after_s = 0;  //!< 0 if a retry cannot help.
  const char* description = "";
};

//! All result codes in ascending order. Thread-safe.
std::span<const ResultInfo> AllResults();

//! Entry of a result code. Precondition: `code` is an enumerator of ResultCode.
//! Thread-safe.
const ResultInfo& InfoOf(ResultCode code);

}  // namespace tamaracktrail

#endif  // PROTOCOL_RESULT_INFO_H_
