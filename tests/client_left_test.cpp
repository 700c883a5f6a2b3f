// Clients that leave: nothing more is sent for them. docs/crossings.md has the list.
#include <sys/socket.h>

#include "proxy_support.h"

namespace client_proxy::test {
namespace {

class ClientLeft : public ProxyTest {
 protected:
  std::string heardByHost() const {
    std::string all;
    for (const auto& p : host.peers) all += p->got;
    return all;
  }
  // A host that keeps a connection open: what is sent on begins in the same turn of the loop.
  void startWithAKeptConnection() {
    start(json::array({entry("s-1", host.endpoint())}));
    const auto c = client();
    c->say(request("warm"));
    ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("warm"); }));
    host.peers[0]->say(answerOf("warm"));
    ASSERT_TRUE(loop.until([&] { return c->heard("warm"); }));
  }
};

// Its request stood in a queue of the system's while the process was not scheduled, say, or had no
// descriptor.
TEST_F(ClientLeft, BeforeItsRequestIsReadAndNothingIsSentForIt) {
  startWithAKeptConnection();
  tcp::socket gone(loop.io);
  gone.connect(proxy->localEndpoint());
  asio::write(gone, asio::buffer(request("gone")));
  gone.close();  // the loop has not turned: all of it is there when it is read first
  const auto c = client();
  c->say(request("after"));
  ASSERT_TRUE(loop.until([&] { return heardByHost().find("after") != std::string::npos; }));
  EXPECT_EQ(heardByHost().find("gone"), std::string::npos);
}

// It has sent so much behind its first request that nothing more is read of it until that is answered. The
// attempt fails then: there is no next one.
TEST_F(ClientLeft, BehindMoreThanIsReadAheadAndItsAttemptIsCancelled) {
  start(json::array({entry("s-1", host.endpoint())}), [](Config& c) {
    for (load_balancer::RequestClass& k : c.site.settings.classes)
      k.latency_objective = k.deadline = 20 * kSecond;
  });
  const auto c = client();
  std::string behind;
  for (int i = 0; i < 100; ++i) behind += request("behind-" + std::to_string(i));
  c->say(request("first") + behind);
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("first"); }));
  ASSERT_TRUE(loop.until([&] { return c->said == 1; }));
  const Time left = loop.clock.now();
  c->close();
  ASSERT_TRUE(loop.until([&] { return host.peers[0]->ended; })) << "nobody waits for it";
  EXPECT_LT(loop.clock.now() - left, 5 * kSecond) << "its time was not over";
  EXPECT_EQ(heardByHost().find("behind"), std::string::npos);
  ASSERT_TRUE(loop.until([&] { return proxy->openRequests() == 0 && proxy->server().connections() == 0; }));
}

// A burst that sends much at once and goes: none of it reaches a host, and who stays is served.
TEST_F(ClientLeft, ABurstThatSendsAndGoesCostsHostsNothing) {
  startWithAKeptConnection();
  for (int i = 0; i < 40; ++i) {
    tcp::socket gone(loop.io);
    gone.connect(proxy->localEndpoint());
    asio::write(gone,
                asio::buffer(request("gone-" + std::to_string(i)) + request("too-" + std::to_string(i))));
    gone.close();
  }
  const auto c = client();
  c->say(request("stays"));
  ASSERT_TRUE(loop.until([&] { return heardByHost().find("stays") != std::string::npos; }));
  for (const auto& p : host.peers) {
    if (p->heard("stays")) p->say(answerOf("served"));
  }
  ASSERT_TRUE(loop.until([&] { return c->heard("served"); }));
  EXPECT_EQ(heardByHost().find("gone"), std::string::npos);
  EXPECT_EQ(heardByHost().find("too"), std::string::npos);
}

}  // namespace
}  // namespace client_proxy::test
