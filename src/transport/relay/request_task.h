#ifndef TRANSPORT_RELAY_REQUEST_TASK_H_
#define TRANSPORT_RELAY_REQUEST_TASK_H_

#include <functional>
#include <memory>

namespace tamaracktrail {

class CallerConnection;
struct CallerRequest;

//! Work on one request, from its last byte to the end of its answer. Destroying
//! it ends the work: the caller has left or the answer is complete.
class RequestTask {
 public:
  virtual ~RequestTask() = default;

  //! Starts the work; may answer at once.
  virtual void Start() = 0;

  //! The caller has taken all that was written to it.
  virtual void OnCallerDrained() = 0;
};

//! Makes the task of a request. The connection outlives the task.
using RequestHandler =
    std::function<std::unique_ptr<RequestTask>(CallerConnection* connection,
                                               CallerRequest request)>;

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_REQUEST_TASK_H_
