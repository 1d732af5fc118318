#ifndef TRANSPORT_INTERNAL_ENTRY_CALL_H_
#define TRANSPORT_INTERNAL_ENTRY_CALL_H_

#include <cstdint>
#include <memory>
#include <string>

#include "coordination/request_flow.h"
#include "protocol/model_call.h"
#include "state/millis.h"
#include "transport/internal/caller_stream.h"
#include "transport/internal/upstream_call.h"

namespace tamaracktrail {

//! One open request of an entry. Belongs to the entry's task.
struct EntryCall {
  uint64_t attempt = 0;
  std::unique_ptr<CallerStream> caller;
  std::unique_ptr<RequestFlow> flow;
  std::unique_ptr<UpstreamCall> upstream;

  bool model_call = true;
  ModelCall model;     //!< For a model call.
  std::string method;  //!< For a plain call.
  std::string path;    //!< At the endpoint.
  std::string body;
  std::string content_type;
  int priority = 5;

  Millis received_at;
  Millis first_chunk_at;
  std::string text;  //!< Collected text of an answer that is not streamed.
  std::string usage_event;  //!< Held back until the charge is safe.
  UpstreamEvent end_event;
  //! Endpoint whose in-flight count includes this call; empty for none.
  std::string in_flight_endpoint;
  Millis dispatched_at;
  Charge charge;  //!< Charge of the latest settlement.
  bool settled = false;
  bool queued = true;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_INTERNAL_ENTRY_CALL_H_
