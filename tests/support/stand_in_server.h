#ifndef SUPPORT_STAND_IN_SERVER_H_
#define SUPPORT_STAND_IN_SERVER_H_

#include <functional>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

typedef struct _SoupServer SoupServer;
typedef struct _SoupServerMessage SoupServerMessage;

namespace tamaracktrail {

//! Base of the platform's and the endpoints' stand-ins: an HTTP server whose
//! faults are switched by POST /control with a JSON object. Belongs to the
//! thread that made it.
class StandInServer {
 public:
  StandInServer();
  virtual ~StandInServer();

  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  //! Listens on 127.0.0.1; port 0 takes a free one. Returns the port.
  int Listen(int port);

  //! Stops listening and cuts all connections; Listen may follow.
  void Close();

  //! Sets faults and other switches.
  void Control(const nlohmann::json& switches);

  int port() const { return port_; }

 protected:
  using Query = std::map<std::string, std::string>;

  virtual void OnRequest(SoupServerMessage* message,
                         const std::string& path,
                         const Query& query) = 0;
  virtual void OnControl() {}

  //! The switch of this name, or the fallback.
  template <class T>
  T Switch(const char* name, T fallback) const {
    return switches_.value(name, fallback);
  }
  nlohmann::json& switches() { return switches_; }

  static void Reply(SoupServerMessage* message,
                    int status,
                    const nlohmann::json& body);
  static std::string Body(SoupServerMessage* message);
  static std::string Header(SoupServerMessage* message, const char* name);
  static std::string Method(SoupServerMessage* message);

  //! Closes the caller's connection without an answer.
  static void Cut(SoupServerMessage* message);

  //! Calls `action` once after `ms`, unless this server is gone.
  void After(int64_t ms, std::function<void()> action);

 private:
  SoupServer* server_ = nullptr;
  int port_ = 0;
  nlohmann::json switches_ = nlohmann::json::object();
  std::shared_ptr<bool> alive_;
};

}  // namespace tamaracktrail

#endif  // SUPPORT_STAND_IN_SERVER_H_
