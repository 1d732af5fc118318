#ifndef REVIEW_STANDINS_2_RECORD_H_
#define REVIEW_STANDINS_2_RECORD_H_

#include <cstdio>

#include "net.h"

namespace review {

//! What was sent, run and answered, in a file and for the check. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : out_(fopen(path.c_str(), "w")) {
    if (out_ == nullptr) {
      throw CaseError("cannot write " + path);
    }
  }
  ~Record() { fclose(out_); }

  void Line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    fprintf(out_, "%7lld ms  %s\n", static_cast<long long>(NowMs()),
            text.c_str());
    fflush(out_);
  }

  struct Run {
    int64_t at = 0;
    std::string engine;
    std::string request;
  };

  //! An engine begins to work on a request.
  void OnRun(const std::string& engine, const std::string& request) {
    Line("engine " + engine + " runs " + request);
    const std::lock_guard<std::mutex> lock(mutex_);
    runs_.push_back({NowMs(), engine, request});
  }

  std::vector<Run> runs() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return runs_;
  }

 private:
  std::mutex mutex_;
  FILE* out_;
  std::vector<Run> runs_;
};

}  // namespace review

#endif  // REVIEW_STANDINS_2_RECORD_H_
