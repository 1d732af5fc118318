#ifndef TESTS_SUPPORT_BATCH_ENGINE_H_
#define TESTS_SUPPORT_BATCH_ENGINE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tamaracktrail {

//! Model of a batch engine: all streams get one token a step, and a step also
//! prefills a chunk of the oldest prompt. Times in ms. Not thread-safe.
class BatchEngine {
 public:
  struct Options {
    double step_ms = 3.3;  //!< Of a step without requests and prompts.
    double step_ms_per_request = 0.08;
    double prefill_tokens_per_ms = 60;
    double first_event_ms = 60;  //!< Of a short prompt at an idle engine.
    int chunk_tokens = 2048;
    int slots = 16;
    int tokens_per_event = 10;
    int64_t kv_cache_tokens = 400000;
    double slowness = 1;  //!< Multiple of the usual time.
  };

  struct Call {
    std::string session;  //!< "": the prompt has no shared part.
    int64_t shared_tokens = 0;
    int64_t prompt_tokens = 0;  //!< With the shared part.
    int64_t output_tokens = 1;
    bool fetches = false;  //!< The shared part comes from another engine.
    std::function<void(double now)> on_event;
    std::function<void(double now)> on_end;
  };

  explicit BatchEngine(Options options) : options_(options) {}

  void Start(double now, Call call);
  //! Runs the steps that end until `now`.
  void RunUntil(double now);

 private:
  struct Run {
    Call call;
    double ready_at = 0;
    int64_t to_prefill = -1;  //!< -1 before it has a slot.
    int64_t output = 0;
  };

  void Admit(double now);
  //! Starts a step; returns false without work.
  bool StartStep(double now);
  void EndStep();

  Options options_;
  std::deque<Run> waiting_;
  std::vector<Run> running_;
  std::map<std::string, double> cached_;  //!< Sessions, by the last use.
  double clock_ = 0;
  double step_end_ = -1;  //!< -1 while idle.
  size_t prefilling_ = 0;
  int64_t chunk_ = 0;
  int64_t kv_used_ = 0;
};

}  // namespace tamaracktrail

#endif  // TESTS_SUPPORT_BATCH_ENGINE_H_
