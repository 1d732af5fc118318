#include "protocol/frame_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "protocol/byte_queue.h"

namespace tamaracktrail {
namespace {

const FrameCodec kCodec("a key for tests");

std::string Frame() {
  return kCodec.Encode(ReserveRequest{"org", "key", "s", 1, 2, 300, true});
}

TEST(FrameCodecTest, AnyReserveRequestIsUnchangedAfterEncodeAndDecode) {
  const bool ok = rc::check([](const std::string& organisation,
                               const std::string& key, uint64_t attempt,
                               int64_t tokens, bool claim) {
    const ReserveRequest it{organisation, key, "s", attempt, 7, tokens, claim};
    const auto message = kCodec.Decode(kCodec.Encode(it));
    RC_ASSERT(message.ok());
    RC_ASSERT(std::get<ReserveRequest>(*message) == it);
  });
  EXPECT_TRUE(ok);
}

//! A change to a valid frame and the status code that Decode must return.
struct FaultCase {
  const char* name;
  std::function<void(std::string&)> change;
  absl::StatusCode code;
};

TEST(FrameCodecTest, DamagedFrameIsRejectedWithExpectedStatus) {
  const FaultCase kCases[] = {
      {"truncated", [](auto& it) { it.pop_back(); },
       absl::StatusCode::kOutOfRange},
      {"header without its tag", [](auto& it) { it.resize(10); },
       absl::StatusCode::kOutOfRange},
      {"bytes after the end", [](auto& it) { it += "x"; },
       absl::StatusCode::kOutOfRange},
      {"another version", [](auto& it) { it[5] ^= 1; },
       absl::StatusCode::kFailedPrecondition},
      {"too long", [](auto& it) { it[6] = '\x7f'; },
       absl::StatusCode::kOutOfRange},
      {"wrong magic", [](auto& it) { it[0] = 'x'; },
       absl::StatusCode::kDataLoss},
      {"wrong tag", [](auto& it) { it[12] ^= 1; },
       absl::StatusCode::kUnauthenticated},
      {"changed body", [](auto& it) { it.back() ^= 1; },
       absl::StatusCode::kUnauthenticated},
  };
  for (const FaultCase& it : kCases) {
    std::string frame = Frame();
    it.change(frame);
    EXPECT_EQ(kCodec.Decode(frame).status().code(), it.code) << it.name;
  }
}

TEST(FrameCodecTest, FrameAuthenticatedWithAnotherKeyIsRejected) {
  const FrameCodec other("another key for tests");
  EXPECT_TRUE(absl::IsUnauthenticated(other.Decode(Frame()).status()));
}

TEST(FrameCodecTest, AllFramesAreDecodedFromStreamInPiecesOfAnySize) {
  const std::string stream = Frame() + Frame() + Frame();
  for (size_t piece = 1; piece < stream.size(); piece += 7) {
    ByteQueue buf;
    int n = 0;
    for (size_t at = 0; at < stream.size(); at += piece) {
      buf.Append(std::string_view(stream).substr(at, piece));
      while (true) {
        const auto message = kCodec.TakeFrom(&buf);
        ASSERT_TRUE(message.ok());
        if (!message->has_value()) {
          break;
        }
        ++n;
      }
    }
    EXPECT_EQ(n, 3);
    EXPECT_TRUE(buf.empty());
  }
}

// Guards against results that depend on where a stream is cut.
TEST(FrameCodecTest, FramesDoNotDependOnCuts) {
  for (uint64_t seed = 1; seed <= 2000; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937_64 random(seed);
    std::string stream;
    std::vector<ReserveRequest> sent;
    for (uint64_t i = 0, n = random() % 5; i < n; ++i) {
      sent.push_back({std::string(random() % 30, 'o'), "key", "s", i, 2,
                      static_cast<int64_t>(random() % 1000), true});
      stream += kCodec.Encode(sent.back());
    }
    stream += Frame().substr(0, random() % Frame().size());
    ByteQueue buf;
    std::vector<ReserveRequest> received;
    for (size_t at = 0; at < stream.size();) {
      const size_t n = random() % 90;
      buf.Append(std::string_view(stream).substr(at, n));
      at += n;
      for (auto message = kCodec.TakeFrom(&buf); message.ok() && *message;
           message = kCodec.TakeFrom(&buf)) {
        received.push_back(std::get<ReserveRequest>(**message));
      }
    }
    ASSERT_EQ(received, sent);
  }
}

// Guards against a buffer that is moved as a whole for each frame in it.
TEST(FrameCodecTest, BufferIsNotMovedForEachFrame) {
  ByteQueue buf;
  size_t bytes = 0;
  while (bytes < 64 * 1024) {
    buf.Append(Frame());
    bytes += Frame().size();
  }
  buf.Append(Frame().substr(0, 20));
  for (auto message = kCodec.TakeFrom(&buf); message.ok() && *message;
       message = kCodec.TakeFrom(&buf)) {
  }
  EXPECT_EQ(buf.size(), 20U);
  EXPECT_LE(buf.moved_bytes(), bytes);
}

}  // namespace
}  // namespace tamaracktrail
