// Loop::end() returns even if a timer of the loop is already due when it is called.
#include "tasks/loop.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <cstdlib>
#include <future>

namespace client_proxy::tasks {
namespace {

TEST(LoopTest, EndsWhenItsTimerIsAlreadyDue) {
  constexpr int kRounds = 10;
  auto rounds = std::async(std::launch::async, [] {
    for (int round = 0; round < kRounds; ++round) {
      Loop loop("test");
      std::promise<void> busy;
      // Sleeps longer than the timer's interval, so that the expired timer and the posted handlers are ready
      // at once.
      for (int n = 0; n < 2; ++n)
        boost::asio::post(loop.io(), [&busy, n] {
          if (n == 0) busy.set_value();
          std::this_thread::sleep_for(std::chrono::milliseconds(110));
        });
      busy.get_future().wait();
      loop.end();
    }
  });
  if (rounds.wait_for(std::chrono::seconds(30)) == std::future_status::ready) return;
  std::fprintf(stderr, "Loop::end() did not return within 30 s\n");
  std::_Exit(1);  // the loop's thread can't be joined
}

}  // namespace
}  // namespace client_proxy::tasks
