// Tests of operator commands through the whole proxy: disabling hosts, metrics, draining clients.
#include "proxy_support.h"

namespace client_proxy::test {
namespace {

class ByHand : public ProxyTest {
 protected:
  // The value of a metric; -1: there is none of this name.
  long long metric(const std::string& name) {
    const std::string text = proxy->stats();
    const std::size_t at = text.find("\n" + name + ' ');
    return at == std::string::npos ? -1 : std::stoll(text.substr(at + name.size() + 2));
  }
  static constexpr const char* kHealthz = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
};

TEST_F(ByHand, DisabledHostGetsNoNewRequestsAndFinishesItsOpenOne) {
  start({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())});
  const auto c = client();
  c->say(request("first"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() + other.peers.size() == 1; }));
  const bool at_host = !host.peers.empty();
  Host& disabled = at_host ? host : other;
  Host& enabled = at_host ? other : host;
  const char* const id = at_host ? "s-1" : "s-2";
  ASSERT_TRUE(loop.until([&] { return disabled.peers[0]->heard("first"); }));
  EXPECT_TRUE(proxy->disableHost(id));
  EXPECT_FALSE(proxy->disableHost("unknown-host"));
  EXPECT_EQ(metric("app_targets"), 2);
  EXPECT_EQ(metric("app_targets_disabled"), 1);
  disabled.peers[0]->say(answerOf("done"));
  ASSERT_TRUE(loop.until([&] { return c->heard("done"); }));
  for (int i = 0; i < 6; ++i) {
    const auto next = client();
    next->say(request("n" + std::to_string(i)));
    ASSERT_TRUE(loop.until(
        [&] { return !enabled.peers.empty() && enabled.peers.back()->heard("n" + std::to_string(i)); }));
    enabled.peers.back()->say(answerOf("x"));
    ASSERT_TRUE(loop.until([&] { return next->heard("200"); }));
  }
  EXPECT_EQ(disabled.peers.size(), 1U);
  EXPECT_EQ(disabled.peers[0]->got.find("n0"), std::string::npos);
  EXPECT_TRUE(proxy->enableHost(id));
  EXPECT_EQ(metric("app_targets_disabled"), 0);
}

TEST_F(ByHand, MetricsCountResultsAttemptsAndOpenRequests) {
  start(json::array({entry("s-1", host.endpoint())}));
  EXPECT_EQ(metric("app_success{type=\"slot-status\"}"), 0);
  const auto c = client();
  c->say(request("a"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("a"); }));
  EXPECT_EQ(metric("app_concurrent"), 1);
  EXPECT_EQ(metric("app_dispatches{type=\"slot-status\"}"), 1);
  host.peers[0]->say(answerOf("hello"));
  ASSERT_TRUE(loop.until([&] { return c->heard("hello"); }));
  ASSERT_TRUE(loop.until([&] { return metric("app_concurrent") == 0; }));
  EXPECT_EQ(metric("app_success{type=\"slot-status\"}"), 1);
  ASSERT_TRUE(proxy->disableHost("s-1"));
  c->say(request("b"));
  ASSERT_TRUE(loop.until([&] { return c->heard("HTTP/1.1 503"); }));
  EXPECT_TRUE(c->heard("Retry-After"));
  EXPECT_EQ(metric("app_overload{type=\"slot-status\"}"), 1);
  c->say("GET /swap-charge/1 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: c\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return c->heard("HTTP/1.1 405"); }));
  EXPECT_EQ(metric("app_error{type=\"swap-charge\"}"), 1);
}

TEST_F(ByHand, DrainFailsHealthCheckAndClosesBusyAndIdleConnections) {
  start(json::array({entry("s-1", host.endpoint())}));
  const auto busy = client(), idle = client(), health_checker = client();
  busy->say(request("a"));
  health_checker->say(kHealthz);
  idle->say(kHealthz);
  ASSERT_TRUE(
      loop.until([&] { return health_checker->heard("HTTP/1.1 200") && idle->heard("HTTP/1.1 200"); }));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("a"); }));
  proxy->drainClients();
  proxy->drainClients();
  health_checker->say(kHealthz);
  ASSERT_TRUE(loop.until([&] { return health_checker->heard("HTTP/1.1 503") && health_checker->ended; }));
  const auto late = client();  // still accepted and served
  late->say(request("b"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 2 && host.peers[1]->heard("b"); }));
  ASSERT_TRUE(loop.until([&] { return idle->ended; }));
  EXPECT_FALSE(busy->ended);
  host.peers[0]->say(answerOf("one"));
  host.peers[1]->say(answerOf("two"));
  ASSERT_TRUE(loop.until([&] { return busy->ended && late->ended; }));
  EXPECT_TRUE(busy->heard("one") && busy->heard("Connection: close"));
  EXPECT_TRUE(late->heard("two"));
  proxy->undrainClients();
  const auto again = client();
  again->say(kHealthz);
  ASSERT_TRUE(loop.until([&] { return again->heard("HTTP/1.1 200"); }));
  EXPECT_FALSE(again->heard("Connection: close"));
}

TEST_F(ByHand, ConsoleAddressComesFromVariableThenKeyAndIsOtherwiseUnset) {
  start(json::array());
  EXPECT_FALSE(readConfig(file->environment()).console);
  file->doc["console"] = "127.0.0.1:19000";
  file->write(file->doc.dump());
  EXPECT_EQ(textOf(readConfig(file->environment()).console.value()), "127.0.0.1:19000");
  const auto with_variable = [&](const char* name) -> const char* {
    return std::string_view(name) == "PROXY_CONSOLE" ? "127.0.0.1:19001" : file->environment()(name);
  };
  EXPECT_EQ(textOf(readConfig(with_variable).console.value()), "127.0.0.1:19001");
  file->doc["console"] = "nowhere";
  file->write(file->doc.dump());
  try {
    readConfig(file->environment());
    FAIL() << "the invalid address was accepted";
  } catch (const std::runtime_error& e) {
    EXPECT_NE(std::string(e.what()).find("console: is not an address"), std::string::npos) << e.what();
  }
}

}  // namespace
}  // namespace client_proxy::test
