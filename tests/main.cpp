#include <gtest/gtest.h>

#include <cstdlib>

#include <glog/logging.h>

int main(int argc, char** argv) {
  // A fixed seed, so that property tests check the same cases in every run.
  setenv("RC_PARAMS", "seed=20261204 max_success=200", 1);
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = google::GLOG_ERROR;
  google::InitGoogleLogging(argv[0]);
  testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
