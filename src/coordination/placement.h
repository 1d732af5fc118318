#ifndef COORDINATION_PLACEMENT_H_
#define COORDINATION_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/prompt_shape.h"
#include "state/millis.h"

namespace tamaracktrail {

class EndpointBoard;
class PrefixMemory;
struct EndpointState;
struct RoutedService;

//! Chooses the endpoint of a request by what it is predicted to cost there.
//!
//! Load pattern: prompts differ a hundredfold in length, so counting requests
//! says little about when an engine gets to a new one; and a session's
//! requests come through all instances, which have to choose the same engine
//! for its shared part without asking each other. Not thread-safe.
class Placement {
 public:
  struct Request {
    const RoutedService* service = nullptr;
    const PromptShape* prompt = nullptr;  //!< nullptr for plain services.
    const std::vector<uint64_t>* chain = nullptr;
    //! Incarnations that this request was sent to before.
    const std::set<uint64_t>* tried = nullptr;
  };

  struct Choice {
    std::string id;
    int64_t born = 0;
    uint64_t hash = 0;
    std::string address;
    //! To the first event of a stream, or to the answer of a plain service.
    Millis predicted;
    int64_t prompt_tokens = 0;  //!< That the endpoint has to read.
    std::string fetch_from;     //!< Engine that holds the shared part, or "".
  };

  //! Precondition: board and memory outlive the placement.
  Placement(const EndpointBoard* board,
            const PrefixMemory* memory,
            std::string data_centre);

  //! nullopt where no endpoint may get the request. `jitter` is uniform in
  //! [0, 1) and drawn for each call.
  std::optional<Choice> Choose(Millis now,
                               const Request& request,
                               double jitter) const;

 private:
  struct Estimate;

  //! Whether an engine read the beginning of late.
  bool Holds(Millis now, uint64_t beginning, const EndpointState& state) const;
  //! An engine that is likely to hold the beginning; `home` where none is
  //! known.
  const EndpointState* FindHolder(Millis now,
                                  uint64_t beginning,
                                  const EndpointState* home) const;
  Estimate EstimateEngine(Millis now,
                          const Request& request,
                          const EndpointState& state,
                          const EndpointState* home) const;
  Estimate EstimateAt(Millis now,
                      const Request& request,
                      const EndpointState& state,
                      const EndpointState* home) const;
  //! The engine that all instances prefer for the request's session.
  static const EndpointState* FindHome(
      const Request& request,
      const std::vector<const EndpointState*>& usable);
  static double EstimatePlain(const EndpointState& state);

  const EndpointBoard* board_;
  const PrefixMemory* memory_;
  std::string data_centre_;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_PLACEMENT_H_
