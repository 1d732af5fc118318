#ifndef TRANSPORT_HTTP_REPLY_H_
#define TRANSPORT_HTTP_REPLY_H_

#include <string>

namespace tamaracktrail {

//! A complete HTTP answer.
struct HttpReply {
  int status = 0;
  std::string body;
  std::string content_type;
  bool not_run = false;  //!< The server states that it did not run the call.
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_HTTP_REPLY_H_
