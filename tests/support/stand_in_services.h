#ifndef SUPPORT_STAND_IN_SERVICES_H_
#define SUPPORT_STAND_IN_SERVICES_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "support/stand_in_server.h"

namespace tamaracktrail {

//! A plain service named "records" whose calls must not be repeated. It counts
//! the runs of each request id and returns the counts at /ran. Control keys:
//! "delay_ms", "cut_after_run" (number of next calls that run and get no
//! answer), "refuse", "leaving".
class StandInRecords : public StandInServer {
 public:
  const std::map<std::string, int>& run_counts() const { return run_counts_; }

 private:
  void OnRequest(SoupServerMessage* message,
                 const std::string& path,
                 const Query& query) override;
  void Serve(SoupServerMessage* message, const std::string& path);

  std::map<std::string, int> run_counts_;
};

//! A stand-in for the platform's list of instances. A change of "instances"
//! becomes visible after "lag_ms".
//! Control keys: "instances" (array), "outage", "lag_ms".
class StandInInstanceList : public StandInServer {
 private:
  void OnRequest(SoupServerMessage* message,
                 const std::string& path,
                 const Query& query) override;
  void OnControl() override;

  nlohmann::json visible_instances_ = nlohmann::json::array();
};

//! A stand-in for the platform's weight store with its rate limit. Control
//! keys: "weights" (array), "per_minute" (reads).
class StandInWeights : public StandInServer {
 private:
  void OnRequest(SoupServerMessage* message,
                 const std::string& path,
                 const Query& query) override;

  int64_t current_minute_ = 0;
  int64_t reads_in_minute_ = 0;
};

}  // namespace tamaracktrail

#endif  // SUPPORT_STAND_IN_SERVICES_H_
