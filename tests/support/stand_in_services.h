#ifndef SUPPORT_STAND_IN_SERVICES_H_
#define SUPPORT_STAND_IN_SERVICES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "support/stand_in_server.h"

namespace tamaracktrail {

//! A records service whose calls may not be repeated. It counts what really
//! ran, by request id, and shows the counts at /ran. Switches: "delay_ms",
//! "cut_after_run" (number of further calls that run unanswered), "refuse",
//! "leaving".
class StandInRecords : public StandInServer {
 public:
  const std::map<std::string, int>& ran() const { return ran_; }

 private:
  void OnRequest(SoupServerMessage* message,
                 const std::string& path,
                 const Query& query) override;
  void Serve(SoupServerMessage* message, const std::string& path);

  std::map<std::string, int> ran_;
};

//! The platform's list of instances. It shows changes only after "lag_ms".
//! Switches: "instances" (array), "outage", "lag_ms".
class StandInList : public StandInServer {
 private:
  void OnRequest(SoupServerMessage* message,
                 const std::string& path,
                 const Query& query) override;
  void OnControl() override;

  nlohmann::json shown_ = nlohmann::json::array();
};

//! The platform's weight store with its rate limit. Switches: "weights"
//! (array), "per_minute".
class StandInWeights : public StandInServer {
 private:
  void OnRequest(SoupServerMessage* message,
                 const std::string& path,
                 const Query& query) override;

  int64_t minute_ = 0;
  int64_t in_minute_ = 0;
};

}  // namespace tamaracktrail

#endif  // SUPPORT_STAND_IN_SERVICES_H_
