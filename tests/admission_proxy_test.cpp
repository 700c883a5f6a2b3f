// Admission in the whole client proxy: places, the queue, repeats, and what operators see of it.
#include <algorithm>

#include "proxy_support.h"

namespace client_proxy::test {
namespace {

class AdmissionProxyTest : public ProxyTest {
 protected:
  void start(const std::function<void(Config&)>& change) {
    ProxyTest::start(json::array({entry("s-1", host.endpoint())}), change);
  }
  std::shared_ptr<Peer> ask(const std::string& id, const std::string& extra = "") {
    const auto c = client();
    c->say(request(id, extra));
    return c;
  }
  static std::string named(const char* kind, int number) {
    std::string name = kind;
    name += std::to_string(number);
    return name;
  }
  // The host's connection that has this request.
  std::shared_ptr<Peer> holder(const std::string& id) {
    for (const auto& p : host.peers) {
      if (p->heard("Correlation-Id: " + id + "\r\n")) return p;
    }
    return nullptr;
  }
  bool reaches(const std::string& id) {
    return loop.until([&] { return holder(id) != nullptr; });
  }
  void serve(const std::string& id) {
    const auto p = holder(id);
    p->got.clear();
    p->say(answerOf("for " + id));
  }
  // Answers whatever comes, until `done`.
  bool serveAllUntil(const std::function<bool()>& done) {
    return loop.until([&] {
      for (const auto& p : host.peers) {
        if (!p->heard("\r\n\r\n")) continue;
        p->got.clear();
        p->say(answerOf("served"));
      }
      return done();
    });
  }
  json report() { return json::parse(proxy->admissionReport()); }
};

TEST_F(AdmissionProxyTest, AtTheBoundARequestWaitsAndIsServedOnceAPlaceIsFree) {
  start([](Config& c) { c.own.open = 1, c.own.waiting = 2; });
  const auto first = ask("a");
  ASSERT_TRUE(reaches("a"));
  const auto second = ask("b");
  ASSERT_TRUE(loop.until([&] { return proxy->requests().waiting() == 1; }));
  EXPECT_EQ(holder("b"), nullptr);
  serve("a");
  ASSERT_TRUE(reaches("b"));
  serve("b");
  ASSERT_TRUE(loop.until([&] { return second->heard("for b"); }));
  EXPECT_TRUE(first->heard("for a"));
  EXPECT_EQ(proxy->requests().open() + proxy->requests().waiting(), 0U);
}

TEST_F(AdmissionProxyTest, BeyondTheQueueItIsRefusedAtOnceAndToldWhenToComeBack) {
  start([](Config& c) { c.own.open = 1, c.own.waiting = 0; });
  const auto first = ask("a");
  ASSERT_TRUE(reaches("a"));
  const auto second = ask("b");
  ASSERT_TRUE(loop.until([&] { return second->heard("\r\n\r\n"); }));
  EXPECT_TRUE(second->heard("HTTP/1.1 503"));
  EXPECT_TRUE(second->heard("Retry-After: 0."));
  EXPECT_FALSE(second->heard("Connection: close")) << "a refusal costs no connection";
  EXPECT_EQ(report()["requests"]["refused"]["open_full"]["slot-status"]["acme"], 1);
  serve("a");
  ASSERT_TRUE(loop.until([&] { return first->heard("for a"); }));
  second->got.clear();
  second->say(request("b"));  // its id is free again
  ASSERT_TRUE(reaches("b"));
}

TEST_F(AdmissionProxyTest, AClientThatLeavesWhileItWaitsIsNeverSentAnywhere) {
  start([](Config& c) { c.own.open = 1, c.own.waiting = 2; });
  const auto first = ask("a");
  ASSERT_TRUE(reaches("a"));
  const auto gone = ask("b");
  ASSERT_TRUE(loop.until([&] { return proxy->requests().waiting() == 1; }));
  gone->close();
  ASSERT_TRUE(loop.until([&] { return proxy->requests().waiting() == 0; }));
  const auto next = ask("c");
  ASSERT_TRUE(loop.until([&] { return proxy->requests().waiting() == 1; }));
  serve("a");
  ASSERT_TRUE(reaches("c"));
  EXPECT_EQ(holder("b"), nullptr);
}

TEST_F(AdmissionProxyTest, WhoWaitsTooLongIsTurnedAwayBeforeItsTimeIsUp) {
  start([](Config& c) { c.own.open = 1, c.own.waiting = 2; });
  const auto first = ask("a");
  ASSERT_TRUE(reaches("a"));
  const auto second = ask("b", "X-Time-Left: 0.2\r\n");
  ASSERT_TRUE(loop.until([&] { return second->heard("\r\n\r\n"); }));
  EXPECT_TRUE(second->heard("HTTP/1.1 503"));
  EXPECT_EQ(report()["requests"]["refused"]["too_late"]["slot-status"]["acme"], 1);
  EXPECT_EQ(holder("b"), nullptr);
}

TEST_F(AdmissionProxyTest, AnUnsafeRequestThatMayHaveRunFailsAndIsNotRefusedWhateverIsFull) {
  start([](Config& c) { c.own.open = 1, c.own.waiting = 0; });
  const auto c = client();
  c->say(
      "POST /swap-charge/7 HTTP/1.1\r\nHost: h\r\nX-Account: acme\r\nX-Correlation-Id: u\r\n"
      "Content-Length: 2\r\n\r\nhi");
  ASSERT_TRUE(reaches("u"));
  const auto refused = ask("b");
  ASSERT_TRUE(loop.until([&] { return refused->heard("HTTP/1.1 503"); }));
  holder("u")->close();
  ASSERT_TRUE(loop.until([&] { return c->heard("\r\n\r\n"); }));
  EXPECT_TRUE(c->heard("HTTP/1.1 502"));
}

TEST_F(AdmissionProxyTest, ATenantThatTakesAllLeavesTheOtherItsGuarantee) {
  start([](Config& c) {
    c.site.tenants = {"acme", "quiet"};
    c.site.settings.tenants = {{.quota = 0.5}, {.quota = 0.5}};
    c.own.open = 8;
    c.own.waiting = 4;
    c.own.tenants = {{}, {.guaranteed = 2}};
  });
  std::vector<std::shared_ptr<Peer>> greedy;
  for (int i = 0; i < 20; ++i) greedy.push_back(ask(named("g", i)));
  ASSERT_TRUE(loop.until([&] { return proxy->requests().open() == 6 && proxy->requests().waiting() == 4; }));
  const auto quiet = client();
  quiet->say("GET /slot-status/7 HTTP/1.1\r\nHost: h\r\nX-Account: quiet\r\nX-Correlation-Id: q\r\n\r\n");
  ASSERT_TRUE(reaches("q"));
  EXPECT_GE(report()["requests"]["refused"]["tenant_full"]["slot-status"]["acme"], 8);
}

// All hosts were silent for longer than clients wait; then all repeat at once.
TEST_F(AdmissionProxyTest, AStormOfRepeatsAfterSilenceLeavesRoomForFirstTries) {
  start([](Config& c) { c.own.open = 100, c.own.retries_least = 5, c.own.retries_part = 0.5; });
  std::vector<std::shared_ptr<Peer>> first, again;
  for (int i = 0; i < 30; ++i) first.push_back(ask(named("f", i), "X-Time-Left: 0.3\r\n"));
  ASSERT_TRUE(loop.until([&] {  // the hosts' silence outlasts every one of them
    return std::all_of(first.begin(), first.end(), [](const auto& c) { return c->heard("HTTP/1.1 5"); });
  }));
  for (int i = 0; i < 30; ++i) again.push_back(ask(named("r", i), "X-Repeat: 1\r\n"));
  ASSERT_TRUE(loop.until([&] {
    return std::count_if(again.begin(), again.end(),
                         [](const auto& c) { return c->heard("HTTP/1.1 503"); }) == 25;
  }));
  EXPECT_EQ(proxy->requests().retries(), 5U);
  EXPECT_EQ(report()["requests"]["refused"]["retry_budget"]["slot-status"]["acme"], 25);
  const auto fresh = ask("fresh");
  ASSERT_TRUE(serveAllUntil([&] { return fresh->heard("served"); }));
}

TEST_F(AdmissionProxyTest, ARestartMetByAllClientsAtOnceServesThemAll) {
  start({});
  // None of them is accepted before all have connected and asked.
  std::vector<std::shared_ptr<Peer>> all;
  for (int i = 0; i < 300; ++i) all.push_back(ask(named("c", i)));
  ASSERT_TRUE(serveAllUntil(
      [&] { return std::all_of(all.begin(), all.end(), [](const auto& c) { return c->heard("served"); }); }));
}

TEST_F(AdmissionProxyTest, TheReportTellsWhatIsHeldAndWhatItGoesBy) {
  start([](Config& c) { c.own.open = 7; });
  const auto c = ask("a");
  ASSERT_TRUE(reaches("a"));
  const json r = report();
  EXPECT_EQ(r["requests"]["open"], 1);
  EXPECT_EQ(r["requests"]["most_open"], 7);
  EXPECT_EQ(r["requests"]["admitted"], 1);
  EXPECT_EQ(r["connections"]["busy"], 1);
  EXPECT_EQ(r["descriptors"]["hosts"]["used"], 1);
}

}  // namespace
}  // namespace client_proxy::test
