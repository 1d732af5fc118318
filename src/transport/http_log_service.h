#ifndef TRANSPORT_HTTP_LOG_SERVICE_H_
#define TRANSPORT_HTTP_LOG_SERVICE_H_

#include <string>
#include <utility>

#include "transport/log_service.h"

namespace tamaracktrail {

class HttpClient;

//! The platform's log over HTTP and JSON. Belongs to the task of its client.
class HttpLogService {
 public:
  //! Precondition: `client` outlives this object. `url` has no trailing slash.
  HttpLogService(HttpClient* client, std::string url)
      : client_(client), url_(std::move(url)) {}

  void Append(const std::string& stream,
              const std::string& payload,
              AppendDone done);
  void Read(const std::string& stream,
            uint64_t from,
            size_t max_entries,
            Millis wait,
            ReadDone done);

 private:
  HttpClient* client_;
  std::string url_;
};

static_assert(LogService<HttpLogService>);

}  // namespace tamaracktrail

#endif  // TRANSPORT_HTTP_LOG_SERVICE_H_
