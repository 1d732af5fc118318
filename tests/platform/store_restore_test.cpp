#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "platform/front_fixture.h"
#include "platform/wire_names.h"
#include "transport/peer_exchange.h"

namespace tamaracktrail {
namespace {

//! The store comes back from an older copy while one instance runs.
class StoreRestoreTest : public FrontTest {
 protected:
  //! Calls `then` once the instance has had time to read the restored topics.
  void RestoreFrom(const StandInStore::Copy& copy,
                   bool rewrite,
                   const std::function<void()>& then) {
    store_.Restore(copy, rewrite);
    loop_.After(Millis(900), then);
  }
};

TEST_F(StoreRestoreTest, ConfigurationOfTheCopyDoesNotReplaceANewerOne) {
  Caller* newer = nullptr;
  Caller* older = nullptr;
  const auto copy = store_.MakeCopy();
  Run([&] {
    PutConfig(2, 1000000);
    AwaitRoute("version-2", [&] {
      RestoreFrom(*copy, false, [&] {
        newer = Send(VersionRequest("version-2"));
        older = Send(VersionRequest("version-1"));
        AwaitOver(newer, [&] { AwaitOver(older, [] { Stop(); }); });
      });
    });
  });
  EXPECT_EQ(newer->status(), 200);
  EXPECT_EQ(older->status(), 404);
}

TEST_F(StoreRestoreTest, ConfigurationAfterTheRestoreIsInForceInTime) {
  Millis put_at;
  const auto copy = store_.MakeCopy();
  Run([&] {
    PutConfig(2, 1000000);
    PutConfig(3, 1000000);
    AwaitRoute("version-3", [&] {
      store_.Restore(*copy);
      PutConfig(4, 1000000);
      put_at = loop_.Now();
      AwaitRoute("version-4", [] { Stop(); });
    });
  });
  EXPECT_LT(in_force_at_ - put_at, Millis(2000));
}

TEST_F(StoreRestoreTest, InstanceWritesItsLostEntryAgain) {
  const auto copy = store_.MakeCopy();
  Run([&] { RestoreFrom(*copy, true, [] { Stop(); }); });
  EXPECT_NE(store_.Newest(platform::kInstanceTopic, "node-1"), "");
}

TEST_F(StoreRestoreTest, DrainingEndpointOfTheCopyGetsNothing) {
  std::shared_ptr<const StandInStore::Copy> copy;
  Caller* caller = nullptr;
  Run([&] {
    copy = store_.MakeCopy();
    PutEndpoint(a_, "app", 2, true);
    store_.Put(platform::kEndpointTopic, "b", "");
    loop_.After(Millis(700), [&] {
      RestoreFrom(*copy, false, [&] {
        caller = Send(SampleRequest("fee", "id-1"));
        AwaitOver(caller, [] { Stop(); });
      });
    });
  });
  EXPECT_EQ(caller->status(), 503);
  EXPECT_TRUE(a_.started_requests().empty() && b_.started_requests().empty());
}

TEST_F(StoreRestoreTest, EndpointThatTheCopyLacksIsKeptUntilItIsWrittenAgain) {
  std::shared_ptr<const StandInStore::Copy> copy;
  Caller* caller = nullptr;
  store_.Put(platform::kEndpointTopic, "a", "");
  store_.Put(platform::kEndpointTopic, "b", "");
  copy = store_.MakeCopy();
  PutEndpoint(a_, "app", 3, false);
  Run([&] {
    RestoreFrom(*copy, false, [&] {
      caller = Send(SampleRequest("fee", "id-1"));
      AwaitOver(caller, [] { Stop(); });
    });
  });
  EXPECT_EQ(caller->status(), 200);
}

}  // namespace
}  // namespace tamaracktrail
