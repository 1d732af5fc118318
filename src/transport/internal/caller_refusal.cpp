#include "transport/internal/caller_refusal.h"

#include <glog/logging.h>

#include "protocol/result_info.h"
#include "transport/internal/caller_stream.h"
#include "transport/metrics.h"

namespace tamaracktrail {

void RefuseCaller(SoupServerMessage* message,
                  ResultCode code,
                  const std::string& detail,
                  Metrics* metrics) {
  // Only sends the error. Its destruction ends the callbacks, not the answer.
  CallerStream caller(message, {nullptr, nullptr, [](bool) {}});
  const ResultInfo& info = InfoOf(code);
  caller.SendError(code, info.run_state, detail);
  const std::string name = info.name;
  metrics->Count("tamaracktrail_requests_total{result=\"" + name + "\"}");
  LOG(INFO) << "event=request_refused code=" << static_cast<int>(code)
            << " name=" << name << " detail=\"" << detail << "\"";
}

}  // namespace tamaracktrail
