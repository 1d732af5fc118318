#ifndef COORDINATION_FLOW_ACTION_H_
#define COORDINATION_FLOW_ACTION_H_

#include <cstdint>
#include <set>
#include <string>
#include <variant>

#include "protocol/reservation_end.h"
#include "protocol/reserve_request.h"
#include "protocol/result_code.h"
#include "protocol/run_state.h"
#include "protocol/settle_request.h"
#include "state/record.h"

namespace tamaracktrail {

//! Requests a check whether the content may run; answered by
//! RequestFlow::OnContent.
struct CheckContent {
  std::string content;
};

//! Sends the call to an endpoint that is not in `exclude`; answered by
//! RequestFlow::OnDispatched or OnNoEndpoint.
struct DispatchCall {
  int try_number = 1;
  uint64_t resume_from = 0;  //!< Index of the first chunk to send.
  std::set<std::string> exclude;
};

//! Cancels the current try at its endpoint; further events of that try are
//! ignored.
struct CancelCall {};

//! Requests a check whether the endpoint has crashed; answered by
//! RequestFlow::OnCrashVerdict.
struct ConfirmCrash {
  std::string endpoint;
};

//! Records the crash and claims the single repeat that the content is allowed
//! after it; answered by RequestFlow::OnContent.
struct RecordCrash {
  Crash crash;
};

//! Forwards a chunk of the answer to the caller.
struct ForwardChunk {
  std::string data;
};

//! Transfers the charge into custody; answered by RequestFlow::OnSettled.
struct SettleCharge {
  SettleRequest request;
};

//! Voids the charge of an earlier SettleCharge, because the caller is gone
//! before the final event.
struct WithdrawCharge {
  Charge charge;
};

//! Appends a record to the organisation's ledger shard.
struct AppendRecord {
  Record record;
};

//! Sends the final event of the answer, or an error. Always the last action of
//! a flow.
struct FinishRequest {
  ResultCode code = ResultCode::kOk;
  RunState run_state = RunState::kNotRun;
};

//! An action that the owner of a request flow has to execute.
using FlowAction = std::variant<CheckContent,
                                ReserveRequest,
                                ReservationEnd,
                                DispatchCall,
                                CancelCall,
                                ConfirmCrash,
                                RecordCrash,
                                ForwardChunk,
                                SettleCharge,
                                WithdrawCharge,
                                AppendRecord,
                                FinishRequest>;

}  // namespace tamaracktrail

#endif  // COORDINATION_FLOW_ACTION_H_
