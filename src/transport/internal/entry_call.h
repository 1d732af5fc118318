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
  //! Id of this request at this entry; the same for all tries at endpoints.
  uint64_t attempt = 0;
  std::unique_ptr<CallerStream> caller;
  std::unique_ptr<RequestFlow> flow;
  std::unique_ptr<UpstreamCall> upstream;

  bool model_call = true;
  ModelCall model;     //!< For a model call.
  std::string method;  //!< For a plain call.
  std::string path;    //!< At the endpoint, for a plain call.
  std::string body;    //!< For a plain call.
  //! Of a plain call's request; of the answer once the endpoint completed it.
  std::string content_type;
  int priority = 5;

  Millis received_at;
  Millis first_chunk_at;
  std::string text;  //!< Collected text of an answer that is not streamed.
  //! Last event of a stream, sent once the charge is safe.
  std::string usage_event;
  //! Event that ended the call at the endpoint. Its data is the body of a plain
  //! answer, sent once the charge is safe.
  UpstreamEvent end_event;
  //! Endpoint whose in-flight count includes this call; empty for none.
  std::string in_flight_endpoint;
  Millis dispatched_at;
  Charge charge;  //!< Charge of the latest settlement.
  //! Whether the request succeeded and its charge has not been withdrawn, which
  //! happens if the answer is not written completely.
  bool charge_valid = false;
  bool queued = true;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_INTERNAL_ENTRY_CALL_H_
