#ifndef TRANSPORT_HTTP_PLATFORM_H_
#define TRANSPORT_HTTP_PLATFORM_H_

#include <string>
#include <utility>

#include "transport/platform_services.h"

namespace tamaracktrail {

class HttpClient;

//! The platform's instance list over HTTP and JSON. Belongs to the task of its
//! client.
class HttpInstanceList {
 public:
  //! Precondition: `client` outlives this object.
  HttpInstanceList(HttpClient* client, std::string url)
      : client_(client), url_(std::move(url)) {}

  void Fetch(ListDone done);

 private:
  HttpClient* client_;
  std::string url_;
};

//! The platform's weight store over HTTP and JSON. Belongs to the task of its
//! client.
class HttpWeightStore {
 public:
  //! Precondition: `client` outlives this object.
  HttpWeightStore(HttpClient* client, std::string url)
      : client_(client), url_(std::move(url)) {}

  //! kResourceExhausted if the call exceeds the store's rate limit.
  void List(WeightsDone done);

 private:
  HttpClient* client_;
  std::string url_;
};

static_assert(InstanceList<HttpInstanceList>);
static_assert(WeightStore<HttpWeightStore>);

}  // namespace tamaracktrail

#endif  // TRANSPORT_HTTP_PLATFORM_H_
