#ifndef TRANSPORT_ENTRY_SERVER_H_
#define TRANSPORT_ENTRY_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "absl/status/status.h"
#include "coordination/catalog.h"
#include "coordination/endpoint_choice.h"
#include "transport/entry_limits.h"

typedef struct _SoupServer SoupServer;
typedef struct _SoupServerMessage SoupServerMessage;

namespace tamaracktrail {

class Metrics;
enum class ResultCode : int32_t;
struct Admission;
struct EntryCall;
struct FlowSpec;

//! The HTTP server for callers: validates requests and passes the valid ones to
//! its handler. Belongs to the task that created it.
class EntryServer {
 public:
  struct Options {
    std::string listen;       //!< "IP:port".
    std::string certificate;  //!< PEM file; empty for plain HTTP.
    std::string private_key;  //!< PEM file.
    EntryLimits limits;
  };

  struct Handler {
    std::function<void(Admission)> on_request;
    //! Answers the message, which is paused, with the instance's status.
    std::function<void(SoupServerMessage*)> on_status;
  };

  //! Precondition: `random` and `metrics` outlive the server.
  EntryServer(Options options,
              Handler handler,
              Random* random,
              Metrics* metrics);
  ~EntryServer();

  EntryServer(const EntryServer&) = delete;
  EntryServer& operator=(const EntryServer&) = delete;

  absl::Status Listen();

  void SetCatalog(std::shared_ptr<const Catalog> catalog) {
    catalog_ = std::move(catalog);
  }

  //! Refuses new requests from now on.
  void Drain() { draining_ = true; }

 private:
  //! The organisation and the idempotency key of a request.
  struct CallerIdentity {
    const OrganisationSpec* organisation = nullptr;
    std::string key;
  };

  absl::Status SetCertificate();
  void AddHandlers();
  void Route(SoupServerMessage* message, const std::string& path);
  void AnswerHealthCheck(SoupServerMessage* message, bool ok);
  void ServeMetrics(SoupServerMessage* message);
  void ServeModels(SoupServerMessage* message);
  void ServeModelCall(SoupServerMessage* message, bool chat);
  void ServePlainCall(SoupServerMessage* message, const std::string& path);
  //! Authenticates a request; answers with an error and returns none if its
  //! bearer key or idempotency key is invalid.
  std::optional<CallerIdentity> Identify(SoupServerMessage* message);
  void Refuse(SoupServerMessage* message,
              ResultCode code,
              const std::string& detail);
  void Submit(SoupServerMessage* message,
              const CallerIdentity& caller,
              const ServiceSpec& service,
              std::unique_ptr<EntryCall> call,
              FlowSpec spec);

  Options options_;
  Handler handler_;
  Random* random_;
  Metrics* metrics_;
  SoupServer* server_ = nullptr;
  std::shared_ptr<const Catalog> catalog_;
  bool draining_ = false;
};

}  // namespace tamaracktrail

#endif  // TRANSPORT_ENTRY_SERVER_H_
