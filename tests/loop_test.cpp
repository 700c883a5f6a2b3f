// A loop ends, also where its timer was due before it was told to.
#include "tasks/loop.h"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <cstdlib>
#include <future>

namespace client_proxy::tasks {
namespace {

TEST(LoopTest, EndsThoughItsTimerWasDueBefore) {
  constexpr int kRounds = 10;
  auto rounds = std::async(std::launch::async, [] {
    for (int round = 0; round < kRounds; ++round) {
      Loop loop("test");
      std::promise<void> busy;
      // Longer than the timer's time; what is posted meanwhile waits together with the timer.
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
  std::fprintf(stderr, "the loop has not ended\n");
  std::_Exit(1);  // its thread can't be joined
}

}  // namespace
}  // namespace client_proxy::tasks
