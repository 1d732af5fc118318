#ifndef TRANSPORT_RELAY_REQUEST_TASK_H_
#define TRANSPORT_RELAY_REQUEST_TASK_H_

#include <functional>
#include <memory>

namespace tamaracktrail {

class CallerConnection;
struct CallerRequest;

//! Handles one request, from the receipt of its last byte to the end of its
//! answer. It is destroyed when the answer is complete or the caller has
//! disconnected, which cancels what is still in progress.
class RequestTask {
 public:
  virtual ~RequestTask() = default;

  //! Starts the work; may answer before it returns.
  virtual void Start() = 0;

  //! All output for the caller has been handed to the kernel.
  virtual void OnCallerDrained() = 0;
};

//! Creates the task for a request. The connection outlives the task.
using RequestHandler =
    std::function<std::unique_ptr<RequestTask>(CallerConnection* connection,
                                               CallerRequest request)>;

}  // namespace tamaracktrail

#endif  // TRANSPORT_RELAY_REQUEST_TASK_H_
