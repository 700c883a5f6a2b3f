// What crosses the watch on the list of hosts: docs/crossings.md has the list.
#include <chrono>

#include "proxy_support.h"

namespace client_proxy::test {
namespace {

// The module's longest waits before it asks again (decision/balancer_impl.h): after a watch that broke, and
// after calls that failed.
constexpr Time kAfterBreak = 700 * kMillisecond, kAfterFailure = 2 * kSecond;
constexpr Time kAnswered = kSecond;  // discovery works through calls in turn, or turns them away by then
constexpr Time kTold = 6 * kSecond;  // after discovery had a change and could be reached

class ListWatch : public ProxyTest {
 protected:
  void startPushed(const json& known) {
    start(known, [](Config& c) { c.site.settings.discovery = load_balancer::Discovery::Push; });
  }
  // The host that is asked next says so.
  std::string served() {
    const auto c = client();
    c->say(request("r" + std::to_string(++asked_)));
    std::string by;
    const bool done = loop.until([&] {
      for (auto* h : {&host, &other}) {
        for (const auto& p : h->peers) {
          if (!p->heard("X-Correlation-Id: r" + std::to_string(asked_) + "\r\n")) continue;
          if (by.empty()) p->say(answerOf("ok"));
          by = h == &host ? "host" : "other";
        }
      }
      return c->ended || c->heard("ok") || c->heard("503");
    });
    EXPECT_TRUE(done);
    return c->heard("503") ? "refused" : by;
  }
  int asked_ = 0;
};

TEST(ListClock, EachWayToTheNextAnswerTakesSixSecondsAtMost) {
  const Discovery::Limits ask;
  EXPECT_LE(ask.silence + kAfterBreak + kAnswered, kTold);
  EXPECT_LE(ask.first_line + kAfterFailure + kAnswered, kTold);
  EXPECT_LE(ask.connect + kAfterFailure + kAnswered, kTold);
  // A heartbeat comes every two seconds: two that are missing are silence, one is not.
  EXPECT_GT(ask.silence, 4 * kSecond);
  const Discovery::Limits agent = Discovery::agentLimits();
  EXPECT_LE(agent.first_line + Discovery::kAgentAgain, 400 * kMillisecond);
}

// What the agent has counts as told whether or not a watch is open: half a second without one is too long
// where the grace of a drain is that.
TEST_F(ListWatch, WherePushedAResetWatchIsBegunAnewAtOnceAndADrainBehindItIsKept) {
  startPushed(json::array({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())}));
  auto w = watch(discovery);
  ASSERT_NE(w, nullptr);
  w->say(kWatch +
         line(5, true, json::array({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())})));
  ASSERT_TRUE(loop.until([&] { return w->said == 1; }));
  const Time reset = loop.clock.now();
  w->close();
  ASSERT_TRUE(
      loop.until([&] { return discovery.peers.size() == 2 && discovery.peers[1]->heard("from=5 "); }));
  EXPECT_LT(loop.clock.now() - reset, 500 * kMillisecond);
  discovery.peers[1]->say(kWatch + line(6, false, json::array({entry("s-1", host.endpoint(), "leaving")})));
  ASSERT_TRUE(loop.until([&] { return served() == "other"; }));
  for (int i = 0; i < 5; ++i) EXPECT_EQ(served(), "other");
}

// An agent that accepts and says nothing: it answers at once, or the call is broken.
TEST_F(ListWatch, WherePushedACallThatIsNotAnsweredIsMadeAgainAtOnce) {
  startPushed(json::array({entry("s-1", host.endpoint())}));
  ASSERT_NE(watch(discovery), nullptr);
  const Time asked = loop.clock.now();
  ASSERT_TRUE(loop.until([&] { return discovery.peers.size() == 2; }));
  EXPECT_LT(loop.clock.now() - asked, kSecond);
  EXPECT_TRUE(loop.until([&] { return discovery.peers[0]->ended; })) << "one watch at a time";
}

// Silent after its head only.
TEST_F(ListWatch, WherePushedAHeadWithoutALineIsNoAnswer) {
  startPushed(json::array({entry("s-1", host.endpoint())}));
  const auto w = watch(discovery);
  ASSERT_NE(w, nullptr);
  w->say(kWatch);
  ASSERT_TRUE(loop.until([&] { return discovery.peers.size() == 2; }));
}

// In the middle of a line: what is not whole is not taken, and is asked for again.
TEST_F(ListWatch, ALineThatBreaksOffIsAskedForAgainFromTheLastWholeOne) {
  startPushed(json::array({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())}));
  const auto w = watch(discovery);
  ASSERT_NE(w, nullptr);
  const std::string half = line(6, false, json::array({entry("s-1", host.endpoint(), "leaving")}));
  w->say(kWatch +
         line(5, true, json::array({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())})) +
         half.substr(0, half.size() / 2));
  ASSERT_TRUE(loop.until([&] { return w->said == 1; }));
  w->close();
  ASSERT_TRUE(
      loop.until([&] { return discovery.peers.size() == 2 && discovery.peers[1]->heard("from=5 "); }));
}

TEST_F(ListWatch, WhereAskedARefusedCallIsMadeAgainWithinTheWaitThatTheClockHolds) {
  start(json::array({entry("s-1", host.endpoint())}));
  for (std::size_t call = 1; call <= 3; ++call) {
    ASSERT_TRUE(loop.until(
        [&] { return discovery.peers.size() == call && discovery.peers.back()->heard("\r\n\r\n"); }));
    const Time turned_away = loop.clock.now();
    discovery.peers.back()->say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(loop.until([&] { return discovery.peers.size() == call + 1; }));
    EXPECT_LT(loop.clock.now() - turned_away, kAfterFailure + 200 * kMillisecond) << call;
  }
}

// Late words of a watch are not news: a host that drains would be in use again.
TEST_F(ListWatch, AnOlderLineBehindANewerOneOfAWatchIsPassedOver) {
  start(json::array({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())}));
  const auto w = watch(discovery);
  ASSERT_NE(w, nullptr);
  w->say(kWatch +
         line(5, true, json::array({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())})) +
         line(7, false, json::array({entry("s-1", host.endpoint(), "leaving")})) +
         line(6, false, json::array({entry("s-1", host.endpoint(), "active")})) +
         line(8, false, json::array({entry("s-3", moved.endpoint(), "left")})));
  ASSERT_TRUE(loop.until([&] { return served() == "other"; }));
  for (int i = 0; i < 6; ++i) EXPECT_EQ(served(), "other");
  EXPECT_EQ(discovery.peers.size(), 1U);
}

// A replica that lags behind, or a discovery that has lost what it knew: it is asked for all it has, and then
// that is how it is.
TEST_F(ListWatch, AnOlderListInANewWatchIsAskedForOnceMoreAndThenTaken) {
  startPushed(json::array({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())}));
  auto w = watch(discovery);
  ASSERT_NE(w, nullptr);
  w->say(kWatch +
         line(41, true,
              json::array({entry("s-1", host.endpoint(), "leaving"), entry("s-2", other.endpoint())})));
  ASSERT_TRUE(loop.until([&] { return served() == "other"; }));
  w->close();
  ASSERT_TRUE(
      loop.until([&] { return discovery.peers.size() == 2 && discovery.peers[1]->heard("from=41 "); }));
  const json older = {entry("s-1", host.endpoint()), entry("s-2", other.endpoint(), "leaving")};
  discovery.peers[1]->say(kWatch + line(3, true, older));
  ASSERT_TRUE(
      loop.until([&] { return discovery.peers.size() == 3 && discovery.peers[2]->heard("from=0 "); }));
  EXPECT_EQ(served(), "other") << "not taken yet";
  discovery.peers[2]->say(kWatch + line(3, true, older));
  ASSERT_TRUE(loop.until([&] { return served() == "host"; }));
}

}  // namespace
}  // namespace client_proxy::test
