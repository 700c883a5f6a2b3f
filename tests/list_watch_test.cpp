// Tests of failures and reordering in the watch on the host list. docs/crossings.md lists these cases.
#include <chrono>

#include "proxy_support.h"

namespace client_proxy::test {
namespace {

// The balancer's longest waits before it subscribes again (decision/balancer_impl.h): after a watch broke,
// and after calls failed.
constexpr Time kWaitAfterBreak = 700 * kMillisecond, kWaitAfterFailure = 2 * kSecond;
constexpr Time kMaxAnswerTime = kSecond;   // discovery answers or rejects a call by then
constexpr Time kMaxListAge = 6 * kSecond;  // from when discovery had a change and was reachable

class ListWatch : public ProxyTest {
 protected:
  void startPushed(const json& known) {
    start(known, [](Config& c) { c.site.settings.discovery = load_balancer::Discovery::Push; });
  }
  // Sends a request and answers it. Returns which host got it, or "rejected" for a 503.
  std::string served() {
    const auto c = client();
    c->say(request("r" + std::to_string(++requests_)));
    std::string host_name;
    const bool answered = loop.until([&] {
      for (auto* h : {&host, &other}) {
        for (const auto& p : h->peers) {
          if (!p->heard("X-Correlation-Id: r" + std::to_string(requests_) + "\r\n")) continue;
          if (host_name.empty()) p->say(answerOf("ok"));
          host_name = h == &host ? "host" : "other";
        }
      }
      return c->ended || c->heard("ok") || c->heard("503");
    });
    EXPECT_TRUE(answered);
    return c->heard("503") ? "rejected" : host_name;
  }
  int requests_ = 0;
};

TEST(ListClock, EveryRetryPathTakesAtMostSixSeconds) {
  const Discovery::Limits poll;
  EXPECT_LE(poll.silence + kWaitAfterBreak + kMaxAnswerTime, kMaxListAge);
  EXPECT_LE(poll.first_line + kWaitAfterFailure + kMaxAnswerTime, kMaxListAge);
  EXPECT_LE(poll.connect + kWaitAfterFailure + kMaxAnswerTime, kMaxListAge);
  // A heartbeat arrives every two seconds: the watch must survive one lost heartbeat, and fail after two.
  EXPECT_GT(poll.silence, 4 * kSecond);
  const Discovery::Limits agent = Discovery::agentLimits();
  EXPECT_LE(agent.first_line + Discovery::kAgentAgain, 400 * kMillisecond);
}

// With push discovery the proxy is held to what the agent has even while no watch is open, so the gap after a
// broken watch must be shorter than the drain grace period, which may be half a second.
TEST_F(ListWatch, PushWatchIsReopenedAtOnceAfterCloseAndDeliversADrain) {
  startPushed(json::array({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())}));
  auto w = watch(discovery);
  ASSERT_NE(w, nullptr);
  w->say(kWatch +
         line(5, true, json::array({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())})));
  ASSERT_TRUE(loop.until([&] { return w->said == 1; }));
  const Time closed_at = loop.clock.now();
  w->close();
  ASSERT_TRUE(
      loop.until([&] { return discovery.peers.size() == 2 && discovery.peers[1]->heard("from=5 "); }));
  EXPECT_LT(loop.clock.now() - closed_at, 500 * kMillisecond);
  discovery.peers[1]->say(kWatch + line(6, false, json::array({entry("s-1", host.endpoint(), "leaving")})));
  ASSERT_TRUE(loop.until([&] { return served() == "other"; }));
  for (int i = 0; i < 5; ++i) EXPECT_EQ(served(), "other");
}

// An agent that accepts the call but does not respond: it would respond at once, so the call is considered
// failed.
TEST_F(ListWatch, UnansweredPushCallIsRetriedAtOnce) {
  startPushed(json::array({entry("s-1", host.endpoint())}));
  ASSERT_NE(watch(discovery), nullptr);
  const Time called_at = loop.clock.now();
  ASSERT_TRUE(loop.until([&] { return discovery.peers.size() == 2; }));
  EXPECT_LT(loop.clock.now() - called_at, kSecond);
  EXPECT_TRUE(loop.until([&] { return discovery.peers[0]->ended; })) << "more than one watch is open";
}

// The agent sends the response head and nothing after it.
TEST_F(ListWatch, PushResponseWithoutAListLineIsRetried) {
  startPushed(json::array({entry("s-1", host.endpoint())}));
  const auto w = watch(discovery);
  ASSERT_NE(w, nullptr);
  w->say(kWatch);
  ASSERT_TRUE(loop.until([&] { return discovery.peers.size() == 2; }));
}

// The watch breaks in the middle of a line: the partial line is discarded and requested again.
TEST_F(ListWatch, TruncatedLineIsRequestedAgainFromLastCompleteRevision) {
  startPushed(json::array({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())}));
  const auto w = watch(discovery);
  ASSERT_NE(w, nullptr);
  const std::string truncated = line(6, false, json::array({entry("s-1", host.endpoint(), "leaving")}));
  w->say(kWatch +
         line(5, true, json::array({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())})) +
         truncated.substr(0, truncated.size() / 2));
  ASSERT_TRUE(loop.until([&] { return w->said == 1; }));
  w->close();
  ASSERT_TRUE(
      loop.until([&] { return discovery.peers.size() == 2 && discovery.peers[1]->heard("from=5 "); }));
}

TEST_F(ListWatch, RejectedPollCallIsRetriedWithinTheMaximumWait) {
  start(json::array({entry("s-1", host.endpoint())}));
  for (std::size_t call = 1; call <= 3; ++call) {
    ASSERT_TRUE(loop.until(
        [&] { return discovery.peers.size() == call && discovery.peers.back()->heard("\r\n\r\n"); }));
    const Time rejected_at = loop.clock.now();
    discovery.peers.back()->say("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    ASSERT_TRUE(loop.until([&] { return discovery.peers.size() == call + 1; }));
    EXPECT_LT(loop.clock.now() - rejected_at, kWaitAfterFailure + 200 * kMillisecond) << call;
  }
}

// A reordered older line must be ignored: it would put a draining host back into use.
TEST_F(ListWatch, OlderRevisionAfterNewerOneInAWatchIsIgnored) {
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

// A new watch with an older revision comes from a lagging replica, or from a discovery that lost its state:
// its full list is requested once more, and then applied.
TEST_F(ListWatch, OlderListInANewWatchIsAppliedAfterASecondRequest) {
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
  EXPECT_EQ(served(), "other") << "applied before the second request";
  discovery.peers[2]->say(kWatch + line(3, true, older));
  ASSERT_TRUE(loop.until([&] { return served() == "host"; }));
}

}  // namespace
}  // namespace client_proxy::test
