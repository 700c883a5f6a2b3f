// What staff do by hand, through the whole proxy: hosts out of use, figures, a drain.
#include "proxy_support.h"

namespace client_proxy::test {
namespace {

class ByHand : public ProxyTest {
 protected:
  long long figure(const std::string& name) {
    const std::string text = proxy->stats();
    const std::size_t at = text.find("\n" + name + ' ');
    return at == std::string::npos ? -1 : std::stoll(text.substr(at + name.size() + 2));
  }
  static constexpr const char* kHealthz = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
};

TEST_F(ByHand, AHostThatIsOutGetsNothingNewAndEndsWhatItHas) {
  start({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())});
  const auto c = client();
  c->say(request("first"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() + other.peers.size() == 1; }));
  const bool at_host = !host.peers.empty();
  Host& asked = at_host ? host : other;
  Host& rest = at_host ? other : host;
  const char* const id = at_host ? "s-1" : "s-2";
  ASSERT_TRUE(loop.until([&] { return asked.peers[0]->heard("first"); }));
  EXPECT_TRUE(proxy->disableHost(id));
  EXPECT_FALSE(proxy->disableHost("nobody"));
  EXPECT_EQ(figure("app_targets"), 2);
  EXPECT_EQ(figure("app_targets_disabled"), 1);
  asked.peers[0]->say(answerOf("done"));
  ASSERT_TRUE(loop.until([&] { return c->heard("done"); }));
  for (int i = 0; i < 6; ++i) {
    const auto next = client();
    next->say(request("n" + std::to_string(i)));
    ASSERT_TRUE(
        loop.until([&] { return !rest.peers.empty() && rest.peers.back()->heard("n" + std::to_string(i)); }));
    rest.peers.back()->say(answerOf("x"));
    ASSERT_TRUE(loop.until([&] { return next->heard("200"); }));
  }
  EXPECT_EQ(asked.peers.size(), 1U);
  EXPECT_EQ(asked.peers[0]->got.find("n0"), std::string::npos);
  EXPECT_TRUE(proxy->enableHost(id));
  EXPECT_EQ(figure("app_targets_disabled"), 0);
}

TEST_F(ByHand, FiguresCountEndsAttemptsAndWhatIsOpen) {
  start(json::array({entry("s-1", host.endpoint())}));
  EXPECT_EQ(figure("app_success{type=\"slot-status\"}"), 0);
  const auto c = client();
  c->say(request("a"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("a"); }));
  EXPECT_EQ(figure("app_concurrent"), 1);
  EXPECT_EQ(figure("app_dispatches{type=\"slot-status\"}"), 1);
  host.peers[0]->say(answerOf("hello"));
  ASSERT_TRUE(loop.until([&] { return c->heard("hello"); }));
  ASSERT_TRUE(loop.until([&] { return figure("app_concurrent") == 0; }));
  EXPECT_EQ(figure("app_success{type=\"slot-status\"}"), 1);
  ASSERT_TRUE(proxy->disableHost("s-1"));
  c->say(request("b"));
  ASSERT_TRUE(loop.until([&] { return c->heard("HTTP/1.1 503"); }));
  EXPECT_TRUE(c->heard("Retry-After"));
  EXPECT_EQ(figure("app_overload{type=\"slot-status\"}"), 1);
  c->say("GET /swap-charge/1 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: c\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return c->heard("HTTP/1.1 405"); }));
  EXPECT_EQ(figure("app_error{type=\"swap-charge\"}"), 1);
}

TEST_F(ByHand, ADrainSaysNoClosesWithAnswersAndThenWhatRests) {
  start(json::array({entry("s-1", host.endpoint())}));
  const auto busy = client(), resting = client(), front = client();
  busy->say(request("a"));
  front->say(kHealthz);
  resting->say(kHealthz);
  ASSERT_TRUE(loop.until([&] { return front->heard("HTTP/1.1 200") && resting->heard("HTTP/1.1 200"); }));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("a"); }));
  proxy->drainClients();
  proxy->drainClients();
  front->say(kHealthz);
  ASSERT_TRUE(loop.until([&] { return front->heard("HTTP/1.1 503") && front->ended; }));
  const auto late = client();  // still taken and served
  late->say(request("b"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 2 && host.peers[1]->heard("b"); }));
  ASSERT_TRUE(loop.until([&] { return resting->ended; }));
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

TEST_F(ByHand, TheConsoleIsWhereTheVariableSaysElseTheKeyElseNowhere) {
  start(json::array());
  EXPECT_FALSE(readConfig(file->environment()).console);
  file->doc["console"] = "127.0.0.1:19000";
  file->write(file->doc.dump());
  EXPECT_EQ(textOf(readConfig(file->environment()).console.value()), "127.0.0.1:19000");
  const auto named = [&](const char* name) -> const char* {
    return std::string_view(name) == "PROXY_CONSOLE" ? "127.0.0.1:19001" : file->environment()(name);
  };
  EXPECT_EQ(textOf(readConfig(named).console.value()), "127.0.0.1:19001");
  file->doc["console"] = "nowhere";
  file->write(file->doc.dump());
  try {
    readConfig(file->environment());
    FAIL() << "was taken";
  } catch (const std::runtime_error& e) {
    EXPECT_NE(std::string(e.what()).find("console: is not an address"), std::string::npos) << e.what();
  }
}

}  // namespace
}  // namespace client_proxy::test
