#include "support/fault_proxy.h"

#include <gtest/gtest.h>

#include "support/caller.h"
#include "support/sample_config.h"
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

TEST_F(FaultProxyTest, ForwardsRequestsAndAnswers) {
  Caller caller(&loop_, proxy_.address(), SampleRequest("fee", "1"));
  RunFor(Millis(100));
  EXPECT_EQ(caller.status(), 200);
  EXPECT_TRUE(caller.complete());
}

TEST_F(FaultProxyTest, StallHoldsBytesUntilPassMode) {
  proxy_.SetMode(FaultProxy::Mode::kStallToClient);
  Caller caller(&loop_, proxy_.address(), SampleRequest("fee", "1"));
  RunFor(Millis(100));
  EXPECT_EQ(server_.RunCount("1"), 1);
  EXPECT_FALSE(caller.finished());
  proxy_.SetMode(FaultProxy::Mode::kPass);
  RunFor(Millis(100));
  EXPECT_EQ(caller.status(), 200);
}

// Guards against events of an endpoint that arrive in another order.
TEST_F(FaultProxyTest, DelayedBytesStayBeforeLaterOnes) {
  server_.behaviour().event_interval = Millis(40);
  proxy_.SetMode(FaultProxy::Mode::kDelay);
  Caller caller(&loop_, proxy_.address(), SampleRequest("ask", "1"));
  RunFor(Millis(230));
  proxy_.SetMode(FaultProxy::Mode::kPass);
  RunFor(Millis(500));
  EXPECT_TRUE(caller.complete());
  EXPECT_EQ(caller.answer().body(), SampleStreamBody());
}

TEST_F(FaultProxyTest, BlackholedConnectionNeverRecovers) {
  proxy_.SetMode(FaultProxy::Mode::kBlackhole);
  Caller caller(&loop_, proxy_.address(), SampleRequest("fee", "1"));
  RunFor(Millis(50));
  proxy_.SetMode(FaultProxy::Mode::kPass);
  RunFor(Millis(100));
  EXPECT_EQ(server_.RunCount("1"), 0);
  EXPECT_FALSE(caller.finished());
  Caller next(&loop_, proxy_.address(), SampleRequest("fee", "2"));
  RunFor(Millis(100));
  EXPECT_EQ(next.status(), 200);
}

TEST_F(FaultProxyTest, ResetModeEndsConnections) {
  proxy_.SetMode(FaultProxy::Mode::kReset);
  Caller caller(&loop_, proxy_.address(), SampleRequest("fee", "1"));
  RunFor(Millis(100));
  EXPECT_TRUE(caller.finished());
  EXPECT_FALSE(caller.complete());
}

}  // namespace
}  // namespace tamaracktrail
