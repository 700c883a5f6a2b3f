// Tests admission in the complete client proxy: places, the queue, client retries and the operators' report.
#include <algorithm>

#include "proxy_support.h"

namespace client_proxy::test {
namespace {

class AdmissionProxyTest : public ProxyTest {
 protected:
  void start(const std::function<void(Config&)>& change) {
    ProxyTest::start(json::array({entry("s-1", host.endpoint())}), change);
  }
  std::shared_ptr<Peer> sendRequest(const std::string& id, const std::string& extra = "") {
    const auto c = client();
    c->say(request(id, extra));
    return c;
  }
  static std::string numbered(const char* kind, int number) {
    std::string name = kind;
    name += std::to_string(number);
    return name;
  }
  // The host's connection on which this request arrived; null if there is none.
  std::shared_ptr<Peer> hostConnectionWith(const std::string& id) {
    for (const auto& p : host.peers) {
      if (p->heard("Correlation-Id: " + id + "\r\n")) return p;
    }
    return nullptr;
  }
  bool reachesHost(const std::string& id) {
    return loop.until([&] { return hostConnectionWith(id) != nullptr; });
  }
  void answerRequest(const std::string& id) {
    const auto p = hostConnectionWith(id);
    p->got.clear();
    p->say(answerOf("for " + id));
  }
  // Answers every request that reaches the host, until `done` returns true.
  bool answerAllUntil(const std::function<bool()>& done) {
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

TEST_F(AdmissionProxyTest, ARequestAtTheLimitIsQueuedAndServedOnceAPlaceIsFree) {
  start([](Config& c) { c.own.open = 1, c.own.waiting = 2; });
  const auto first = sendRequest("a");
  ASSERT_TRUE(reachesHost("a"));
  const auto second = sendRequest("b");
  ASSERT_TRUE(loop.until([&] { return proxy->requests().waiting() == 1; }));
  EXPECT_EQ(hostConnectionWith("b"), nullptr);
  answerRequest("a");
  ASSERT_TRUE(reachesHost("b"));
  answerRequest("b");
  ASSERT_TRUE(loop.until([&] { return second->heard("for b"); }));
  EXPECT_TRUE(first->heard("for a"));
  EXPECT_EQ(proxy->requests().open() + proxy->requests().waiting(), 0U);
}

TEST_F(AdmissionProxyTest, ARequestBeyondTheQueueIsRefusedAtOnceWithRetryAfter) {
  start([](Config& c) { c.own.open = 1, c.own.waiting = 0; });
  const auto first = sendRequest("a");
  ASSERT_TRUE(reachesHost("a"));
  const auto second = sendRequest("b");
  ASSERT_TRUE(loop.until([&] { return second->heard("\r\n\r\n"); }));
  EXPECT_TRUE(second->heard("HTTP/1.1 503"));
  EXPECT_TRUE(second->heard("Retry-After: 0."));
  EXPECT_FALSE(second->heard("Connection: close")) << "a refusal does not close the connection";
  EXPECT_EQ(report()["requests"]["refused"]["open_full"]["slot-status"]["acme"], 1);
  answerRequest("a");
  ASSERT_TRUE(loop.until([&] { return first->heard("for a"); }));
  second->got.clear();
  second->say(request("b"));  // its id may be used again
  ASSERT_TRUE(reachesHost("b"));
}

TEST_F(AdmissionProxyTest, AQueuedRequestWhoseClientDisconnectsIsNotSent) {
  start([](Config& c) { c.own.open = 1, c.own.waiting = 2; });
  const auto first = sendRequest("a");
  ASSERT_TRUE(reachesHost("a"));
  const auto disconnecting = sendRequest("b");
  ASSERT_TRUE(loop.until([&] { return proxy->requests().waiting() == 1; }));
  disconnecting->close();
  ASSERT_TRUE(loop.until([&] { return proxy->requests().waiting() == 0; }));
  const auto next = sendRequest("c");
  ASSERT_TRUE(loop.until([&] { return proxy->requests().waiting() == 1; }));
  answerRequest("a");
  ASSERT_TRUE(reachesHost("c"));
  EXPECT_EQ(hostConnectionWith("b"), nullptr);
}

TEST_F(AdmissionProxyTest, AQueuedRequestIsRefusedBeforeItsDeadline) {
  start([](Config& c) { c.own.open = 1, c.own.waiting = 2; });
  const auto first = sendRequest("a");
  ASSERT_TRUE(reachesHost("a"));
  const auto second = sendRequest("b", "X-Time-Left: 0.2\r\n");
  ASSERT_TRUE(loop.until([&] { return second->heard("\r\n\r\n"); }));
  EXPECT_TRUE(second->heard("HTTP/1.1 503"));
  EXPECT_EQ(report()["requests"]["refused"]["too_late"]["slot-status"]["acme"], 1);
  EXPECT_EQ(hostConnectionWith("b"), nullptr);
}

TEST_F(AdmissionProxyTest, AnUnsafeRequestThatMayHaveRunGets502AndNot503WhenFull) {
  start([](Config& c) { c.own.open = 1, c.own.waiting = 0; });
  const auto c = client();
  c->say(
      "POST /swap-charge/7 HTTP/1.1\r\nHost: h\r\nX-Account: acme\r\nX-Correlation-Id: u\r\n"
      "Content-Length: 2\r\n\r\nhi");
  ASSERT_TRUE(reachesHost("u"));
  const auto refused = sendRequest("b");
  ASSERT_TRUE(loop.until([&] { return refused->heard("HTTP/1.1 503"); }));
  hostConnectionWith("u")->close();
  ASSERT_TRUE(loop.until([&] { return c->heard("\r\n\r\n"); }));
  EXPECT_TRUE(c->heard("HTTP/1.1 502"));
}

TEST_F(AdmissionProxyTest, ATenantUnderLoadLeavesTheOtherItsGuarantee) {
  start([](Config& c) {
    c.site.tenants = {"acme", "quiet"};
    c.site.settings.tenants = {{.quota = 0.5}, {.quota = 0.5}};
    c.own.open = 8;
    c.own.waiting = 4;
    c.own.tenants = {{}, {.guaranteed = 2}};
  });
  std::vector<std::shared_ptr<Peer>> greedy;
  for (int i = 0; i < 20; ++i) greedy.push_back(sendRequest(numbered("g", i)));
  ASSERT_TRUE(loop.until([&] { return proxy->requests().open() == 6 && proxy->requests().waiting() == 4; }));
  const auto quiet = client();
  quiet->say("GET /slot-status/7 HTTP/1.1\r\nHost: h\r\nX-Account: quiet\r\nX-Correlation-Id: q\r\n\r\n");
  ASSERT_TRUE(reachesHost("q"));
  EXPECT_GE(report()["requests"]["refused"]["tenant_full"]["slot-status"]["acme"], 8);
}

// All hosts are silent until the clients' deadlines have expired; then all clients retry at once.
TEST_F(AdmissionProxyTest, ARetryStormAfterAnOutageLeavesRoomForFirstAttempts) {
  start([](Config& c) { c.own.open = 100, c.own.retries_least = 5, c.own.retries_part = 0.5; });
  std::vector<std::shared_ptr<Peer>> first, retried;
  for (int i = 0; i < 30; ++i) first.push_back(sendRequest(numbered("f", i), "X-Time-Left: 0.3\r\n"));
  ASSERT_TRUE(loop.until([&] {  // every request expires while the hosts are silent
    return std::all_of(first.begin(), first.end(), [](const auto& c) { return c->heard("HTTP/1.1 5"); });
  }));
  for (int i = 0; i < 30; ++i) retried.push_back(sendRequest(numbered("r", i), "X-Repeat: 1\r\n"));
  ASSERT_TRUE(loop.until([&] {
    return std::count_if(retried.begin(), retried.end(),
                         [](const auto& c) { return c->heard("HTTP/1.1 503"); }) == 25;
  }));
  EXPECT_EQ(proxy->requests().retries(), 5U);
  EXPECT_EQ(report()["requests"]["refused"]["retry_budget"]["slot-status"]["acme"], 25);
  const auto fresh = sendRequest("fresh");
  ASSERT_TRUE(answerAllUntil([&] { return fresh->heard("served"); }));
}

TEST_F(AdmissionProxyTest, ServesAllClientsThatConnectAtOnceAfterARestart) {
  start({});
  // No connection is accepted before all clients have connected and sent their request.
  std::vector<std::shared_ptr<Peer>> all;
  for (int i = 0; i < 300; ++i) all.push_back(sendRequest(numbered("c", i)));
  ASSERT_TRUE(answerAllUntil(
      [&] { return std::all_of(all.begin(), all.end(), [](const auto& c) { return c->heard("served"); }); }));
}

TEST_F(AdmissionProxyTest, TheReportShowsUsageAndLimits) {
  start([](Config& c) { c.own.open = 7; });
  const auto c = sendRequest("a");
  ASSERT_TRUE(reachesHost("a"));
  const json r = report();
  EXPECT_EQ(r["requests"]["open"], 1);
  EXPECT_EQ(r["requests"]["most_open"], 7);
  EXPECT_EQ(r["requests"]["admitted"], 1);
  EXPECT_EQ(r["connections"]["busy"], 1);
  EXPECT_EQ(r["descriptors"]["hosts"]["used"], 1);
}

}  // namespace
}  // namespace client_proxy::test
