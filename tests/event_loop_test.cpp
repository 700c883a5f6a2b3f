// The event loop takes what other threads post to it.
#include "net/event_loop.h"

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <thread>

namespace client_proxy::test {
namespace {

TEST(EventLoop, LosesNothingThatAnotherThreadPostsWhileItRuns) {
  constexpr int kPosts = 200'000;
  EventLoop loop;
  auto work = boost::asio::make_work_guard(loop);
  int own = 0, foreign = 0;  // of the loop's thread
  std::function<void()> again = [&] {
    if (++own < kPosts) boost::asio::post(loop, again);
  };
  boost::asio::post(loop, again);
  std::thread other([&] {
    for (int i = 0; i < kPosts; ++i) boost::asio::post(loop, [&foreign] { ++foreign; });
    boost::asio::post(loop, [&work] { work.reset(); });
  });
  loop.run();
  other.join();
  EXPECT_EQ(own, kPosts);
  EXPECT_EQ(foreign, kPosts);
}

}  // namespace
}  // namespace client_proxy::test
