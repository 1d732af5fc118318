#ifndef SUPPORT_STAND_IN_SERVER_H_
#define SUPPORT_STAND_IN_SERVER_H_

#include <functional>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

typedef struct _SoupServer SoupServer;
typedef struct _SoupServerMessage SoupServerMessage;

namespace tamaracktrail {

//! Base class of the stand-ins for the platform's services and for endpoints:
//! an HTTP server whose faults are set by POST /control with a JSON object of
//! control keys. To be used only on the thread that created it.
class StandInServer {
 public:
  StandInServer();
  virtual ~StandInServer();

  StandInServer(const StandInServer&) = delete;
  StandInServer& operator=(const StandInServer&) = delete;

  //! Listens on 127.0.0.1; port 0 chooses a free port. Returns the port.
  int Listen(int port);

  //! Stops listening and closes all connections. Listen() may be called again.
  void Close();

  //! Updates the control values, as POST /control does. Ignores a value that is
  //! not a JSON object.
  void Control(const nlohmann::json& control_values);

  int port() const { return port_; }

 protected:
  using Query = std::map<std::string, std::string>;

  virtual void OnRequest(SoupServerMessage* message,
                         const std::string& path,
                         const Query& query) = 0;
  virtual void OnControl() {}

  //! The control value of this key, or `fallback` if it is not set.
  template <class T>
  T ControlValue(const char* name, T fallback) const {
    return control_values_.value(name, fallback);
  }
  nlohmann::json& control_values() { return control_values_; }

  static void Reply(SoupServerMessage* message,
                    int status,
                    const nlohmann::json& body);
  static std::string Body(SoupServerMessage* message);
  static std::string Header(SoupServerMessage* message, const char* name);
  static std::string Method(SoupServerMessage* message);

  //! Closes the caller's connection without an answer.
  static void CutConnection(SoupServerMessage* message);

  //! Calls `action` once after `ms`, unless this server has been destroyed.
  void After(int64_t ms, std::function<void()> action);

 private:
  SoupServer* server_ = nullptr;
  int port_ = 0;
  nlohmann::json control_values_ = nlohmann::json::object();
  std::shared_ptr<bool> alive_;
};

}  // namespace tamaracktrail

#endif  // SUPPORT_STAND_IN_SERVER_H_
