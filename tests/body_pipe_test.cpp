// Tests the parts that stream long bodies: BodyPipe and UploadClock.
#include "net/body_pipe.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "admission/upload_clock.h"

namespace client_proxy {
namespace {

using admission::Time;
using admission::UploadClock;
constexpr Time kSecond = 1'000'000, kMs = 1000;

RC_GTEST_PROP(BodyPipe, PreservesOrderAndHoldsAtMostAWindowAndARead, ()) {
  const auto pieces = *rc::gen::container<std::vector<std::string>>(
      rc::gen::container<std::string>(rc::gen::inRange('a', 'z')));
  BodyPipe pipe(std::nullopt);
  std::string in, out;
  std::size_t most = 0;
  bool room = true;
  pipe.onRoom([&] { room = true; });
  for (std::size_t i = 0; i < pieces.size(); ++i) {
    const std::string large(*rc::gen::inRange<std::size_t>(0, 20'000), 'x');
    for (const std::string& piece : {pieces[i], large}) {
      if (!room) out += pipe.take();
      RC_ASSERT(room);
      pipe.put(piece);
      in += piece;
      most = std::max(most, in.size() - out.size());
      room = pipe.hasRoom();
    }
  }
  pipe.finish();
  for (std::string piece = pipe.take(); !piece.empty(); piece = pipe.take()) out += piece;
  RC_ASSERT(in == out);
  RC_ASSERT(pipe.end() == BodyPipe::End::Whole);
  RC_ASSERT(most <= BodyPipe::kWindow + 20'000);
}

TEST(BodyPipe, NotifiesTheReaderOnceOfDataAndOfTheEndAndKeepsEarlierData) {
  BodyPipe pipe(7);
  int notified = 0;
  pipe.onMore([&] { ++notified; });
  int started = 0;
  pipe.onStarted([&] { ++started; });
  EXPECT_FALSE(pipe.started());
  EXPECT_EQ(pipe.take(), "");
  EXPECT_FALSE(pipe.started());
  pipe.put("abc");
  pipe.put("");
  EXPECT_EQ(notified, 1);
  pipe.breakOff();
  pipe.finish();  // no effect after breakOff()
  pipe.put("x");
  EXPECT_EQ(notified, 2);
  EXPECT_EQ(pipe.end(), BodyPipe::End::Open);
  EXPECT_EQ(pipe.take(), "abc");
  EXPECT_TRUE(pipe.started());
  EXPECT_EQ(started, 1);
  EXPECT_EQ(pipe.end(), BodyPipe::End::Broken);
}

TEST(BodyPipe, NotifiesTheWriterOfAbandonmentUnlessTheBodyHadEnded) {
  BodyPipe open(std::nullopt), ended(std::nullopt);
  int abandoned_count = 0;
  open.onAbandoned([&] { ++abandoned_count; });
  ended.onAbandoned([&] { abandoned_count += 10; });
  open.put("abc");
  open.giveUp();
  open.giveUp();
  EXPECT_EQ(abandoned_count, 1);
  EXPECT_EQ(open.take(), "");
  ended.finish();
  ended.giveUp();
  EXPECT_EQ(abandoned_count, 1);
}

TEST(UploadClock, AClientAtTheMinimumRateIsNeverOverdue) {
  Time now = 5 * kSecond;
  UploadClock clock(now);
  for (int n = 0; n < 10'000; ++n) {
    now += 100 * kMs;
    ASSERT_LT(now, clock.due()) << n;
    clock.onBytes(now, static_cast<std::size_t>(UploadClock::kMinRate / 10) + 1);
  }
}

TEST(UploadClock, AStalledOrTricklingUploadIsOverdue) {
  UploadClock half(0);
  half.onBytes(10 * kMs, 30 * 1024 * 1024);
  EXPECT_EQ(half.due(), 10 * kMs + UploadClock::kMaxStall);
  UploadClock trickle(0);
  Time now = 0;
  while (now < trickle.due() && now < 60 * kSecond) trickle.onBytes(now += 100 * kMs, 1);
  EXPECT_LE(now, UploadClock::kGrace + 200 * kMs);
}

TEST(UploadClock, TimeWhilePausedIsNotCounted) {
  UploadClock clock(0);
  clock.onBytes(100 * kMs, 1000);
  const Time due = clock.due();
  clock.pause(200 * kMs);
  clock.pause(300 * kMs);
  EXPECT_GT(clock.due(), 1000 * kSecond);
  clock.resume(9'200 * kMs);
  clock.resume(9'900 * kMs);
  EXPECT_EQ(clock.due(), due + 9 * kSecond);
}

}  // namespace
}  // namespace client_proxy
