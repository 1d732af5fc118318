#include "support/fault_proxy.h"

#include <gtest/gtest.h>

#include "support/caller.h"
#include "support/sample_site.h"
#include "support/stand_in_endpoint.h"
#include "transport/event_loop.h"

namespace tamaracktrail {
namespace {

class FaultProxyTest : public testing::Test {
 protected:
  FaultProxyTest() : server_(&loop_, "a"), proxy_(&loop_, server_.address()) {}

  void RunFor(Millis time) {
    loop_.After(time, [this] { loop_.Quit(); });
    loop_.Run();
  }

  EventLoop loop_;
  StandInEndpoint server_;
  FaultProxy proxy_;
};

TEST_F(FaultProxyTest, PassesRequestsAndAnswers) {
  Caller caller(&loop_, proxy_.address(), SampleRequest("fee", "1"));
  RunFor(Millis(100));
  EXPECT_EQ(caller.status(), 200);
  EXPECT_TRUE(caller.whole());
}

TEST_F(FaultProxyTest, ACutHoldsBytesUntilItIsHealed) {
  proxy_.SetMode(FaultProxy::Mode::kCutBack);
  Caller caller(&loop_, proxy_.address(), SampleRequest("fee", "1"));
  RunFor(Millis(100));
  EXPECT_EQ(server_.Runs("1"), 1);
  EXPECT_FALSE(caller.over());
  proxy_.SetMode(FaultProxy::Mode::kPass);
  RunFor(Millis(100));
  EXPECT_EQ(caller.status(), 200);
}

TEST_F(FaultProxyTest, ASilencedConnectionStaysSilent) {
  proxy_.SetMode(FaultProxy::Mode::kSilence);
  Caller caller(&loop_, proxy_.address(), SampleRequest("fee", "1"));
  RunFor(Millis(50));
  proxy_.SetMode(FaultProxy::Mode::kPass);
  RunFor(Millis(100));
  EXPECT_EQ(server_.Runs("1"), 0);
  EXPECT_FALSE(caller.over());
  Caller next(&loop_, proxy_.address(), SampleRequest("fee", "2"));
  RunFor(Millis(100));
  EXPECT_EQ(next.status(), 200);
}

TEST_F(FaultProxyTest, AResetEndsConnections) {
  proxy_.SetMode(FaultProxy::Mode::kReset);
  Caller caller(&loop_, proxy_.address(), SampleRequest("fee", "1"));
  RunFor(Millis(100));
  EXPECT_TRUE(caller.over());
  EXPECT_FALSE(caller.whole());
}

}  // namespace
}  // namespace tamaracktrail
