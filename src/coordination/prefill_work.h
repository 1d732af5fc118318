#ifndef COORDINATION_PREFILL_WORK_H_
#define COORDINATION_PREFILL_WORK_H_

#include <cstdint>

namespace tamaracktrail {

//! What an engine has to do before the first event of a request.
struct PrefillWork {
  int64_t tokens = 0;   //!< Prompt tokens to prefill and queued before them.
  double slowdown = 1;  //!< Factor of the time because of open requests.
  //! Time beyond that of the tokens' number, for attention, ms.
  double attention_ms = 0;

  friend bool operator==(const PrefillWork&, const PrefillWork&) = default;
};

}  // namespace tamaracktrail

#endif  // COORDINATION_PREFILL_WORK_H_
