// Tests that nothing more is sent to hosts for clients that disconnected. docs/crossings.md lists these
// cases.
#include <sys/socket.h>

#include "late_host.h"
#include "proxy_support.h"

namespace client_proxy::test {
namespace {

constexpr Time kLongerThanTheTest = 60 * kSecond;

class ClientLeft : public ProxyTest {
 protected:
  // Everything the host has received, over all connections.
  std::string receivedByHost() const {
    std::string all;
    for (const auto& p : host.peers) all += p->got;
    return all;
  }
  static constexpr const char* kLastBytes = "the last bytes";
  static std::string longUpload(const std::string& id, std::size_t size = std::size_t{256} * 1024) {
    const std::string body = std::string(size, 'x') + kLastBytes;
    return "POST /swap-charge/7 HTTP/1.1\r\nHost: h\r\nX-Account: acme\r\nX-Correlation-Id: " + id +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // `patience`: for its connections, and of the clients.
  void startWithLateHost(const LateHost& late, Time patience) {
    start(json::array({entry("s-1", late.endpoint())}), [patience](Config& c) {
      c.own.connect = patience;
      for (load_balancer::RequestClass& k : c.site.settings.classes)
        k.latency_objective = k.deadline = patience;
    });
  }
  // The connection to the host stays open, so a request is forwarded in the same iteration of the event loop.
  void startWithOpenHostConnection() {
    start(json::array({entry("s-1", host.endpoint())}));
    const auto c = client();
    c->say(request("warm"));
    ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("warm"); }));
    host.peers[0]->say(answerOf("warm"));
    ASSERT_TRUE(loop.until([&] { return c->heard("warm"); }));
    awaitReuse();
  }
};

// The request waits in a kernel queue, for instance while the process is not scheduled or has no descriptor
// left.
TEST_F(ClientLeft, DisconnectBeforeRequestIsReadSendsNothingToHosts) {
  startWithOpenHostConnection();
  tcp::socket disconnecting(loop.io);
  disconnecting.connect(proxy->localEndpoint());
  asio::write(disconnecting, asio::buffer(request("disconnected")));
  disconnecting.close();  // the event loop has not run, so its first read finds the request and the close
  const auto c = client();
  c->say(request("after"));
  ASSERT_TRUE(loop.until([&] { return receivedByHost().find("after") != std::string::npos; }));
  EXPECT_EQ(receivedByHost().find("disconnected"), std::string::npos);
}

// The client has pipelined so many requests that the proxy stops reading until the first one is answered. The
// disconnect still has to be noticed, and the attempt cancelled without a retry.
TEST_F(ClientLeft, DisconnectWithFullReadAheadCancelsTheAttempt) {
  start(json::array({entry("s-1", host.endpoint())}), [](Config& c) {
    for (load_balancer::RequestClass& k : c.site.settings.classes)
      k.latency_objective = k.deadline = 20 * kSecond;
  });
  const auto c = client();
  std::string pipelined;
  for (int i = 0; i < 100; ++i) pipelined += request("pipelined-" + std::to_string(i));
  c->say(request("first") + pipelined);
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("first"); }));
  ASSERT_TRUE(loop.until([&] { return c->said == 1; }));
  const Time disconnected_at = loop.clock.now();
  c->close();
  ASSERT_TRUE(loop.until([&] { return host.peers[0]->ended; })) << "the attempt was not cancelled";
  EXPECT_LT(loop.clock.now() - disconnected_at, 5 * kSecond) << "cancelled at its deadline only";
  EXPECT_EQ(receivedByHost().find("pipelined"), std::string::npos);
  ASSERT_TRUE(loop.until([&] { return proxy->openRequests() == 0 && proxy->server().connections() == 0; }));
}

// Guards against requests that begin long after their client has closed: so many pipelined ones lay unread
// that the end of the connection behind them could not be seen.
TEST_F(ClientLeft, DisconnectBehindManyUnreadRequestsIsNoticed) {
  LateHost late(loop);
  startWithLateHost(late, kLongerThanTheTest);
  const auto c = client();
  std::string pipelined;
  for (int i = 0; pipelined.size() < 1'000'000; ++i) pipelined += request("pipelined-" + std::to_string(i));
  c->say(request("disconnected") + pipelined);
  ASSERT_TRUE(loop.until([&] { return c->said == 1 && proxy->openRequests() == 1; }));
  c->close();
  ASSERT_TRUE(loop.until([&] { return proxy->openRequests() == 0; }));
  late.open();
  const auto next = client();
  next->say(request("after"));
  ASSERT_TRUE(loop.until([&] { return late.received().find("after") != std::string::npos; }));
  EXPECT_EQ(late.received().find("disconnected"), std::string::npos);
  EXPECT_EQ(late.received().find("pipelined"), std::string::npos);
}

// Guards against an unsafe request that begins long after its client has closed: the end of the connection
// lay unread behind the body, while the connection to the host was not established.
TEST_F(ClientLeft, DisconnectBehindALongUploadThatHasNotBegunIsNoticed) {
  LateHost late(loop);
  startWithLateHost(late, kLongerThanTheTest);
  const auto c = client();
  c->say(longUpload("disconnected"));
  ASSERT_TRUE(loop.until([&] { return c->said == 1 && proxy->openRequests() == 1; }));
  c->close();
  ASSERT_TRUE(loop.until([&] { return proxy->openRequests() == 0; }));
  late.open();
  const auto next = client();
  next->say(request("after"));
  ASSERT_TRUE(loop.until([&] { return late.received().find("after") != std::string::npos; }));
  EXPECT_EQ(late.received().find("disconnected"), std::string::npos);
}

// So much of it lies unread that the proxy can't see whether its client is still there.
TEST_F(ClientLeft, LongUploadThatStoodStillIsNotBegunLate) {
  LateHost late(loop);
  startWithLateHost(late, 20 * kSecond);
  const auto c = client();
  c->say(longUpload("unseen", 8 * BodyPipe::kUploadReadAhead));
  ASSERT_TRUE(loop.until([&] { return proxy->openRequests() == 1; }));
  late.open();  // its connections come up a second after they were begun
  ASSERT_TRUE(loop.until([&] { return c->heard("HTTP/1.1 503"); }));
  EXPECT_EQ(late.received().find("unseen"), std::string::npos);
}

// Guards against the same for a long request that waited in a kernel queue: nothing is sent of one whose end
// was visible from the start, and not the last bytes of one that lay before it.
TEST_F(ClientLeft, DisconnectBeforeALongUploadIsReadSendsNoWholeRequest) {
  startWithOpenHostConnection();
  constexpr std::size_t kSmall = std::size_t{80} * 1024;
  tcp::socket small(loop.io), large(loop.io);
  for (tcp::socket* s : {&small, &large}) s->connect(proxy->localEndpoint());
  asio::write(small, asio::buffer(longUpload("small", kSmall)));
  asio::write(large, asio::buffer(longUpload("large")));
  for (tcp::socket* s : {&small, &large}) s->close();
  const auto c = client();
  c->say(request("after"));
  ASSERT_TRUE(loop.until([&] { return receivedByHost().find("after") != std::string::npos; }));
  constexpr std::size_t kRemaining = 2;  // the clients of "warm" and "after"
  ASSERT_TRUE(loop.until([&] { return proxy->server().connections() == kRemaining; }));
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(host.peers.begin(), host.peers.end(),
                       [](const auto& p) { return p->ended || !p->heard("large"); });
  }));
  EXPECT_EQ(receivedByHost().find("small"), std::string::npos);
  EXPECT_EQ(receivedByHost().find(kLastBytes), std::string::npos);
}

// Many clients send two requests each and disconnect at once: none of these reaches a host, and a client that
// stays connected is served.
TEST_F(ClientLeft, BurstOfDisconnectingClientsSendsNothingToHosts) {
  startWithOpenHostConnection();
  for (int i = 0; i < 40; ++i) {
    tcp::socket disconnecting(loop.io);
    disconnecting.connect(proxy->localEndpoint());
    asio::write(disconnecting, asio::buffer(request("disconnected-" + std::to_string(i)) +
                                            request("pipelined-" + std::to_string(i))));
    disconnecting.close();
  }
  const auto c = client();
  c->say(request("remaining"));
  ASSERT_TRUE(loop.until([&] { return receivedByHost().find("remaining") != std::string::npos; }));
  for (const auto& p : host.peers) {
    if (p->heard("remaining")) p->say(answerOf("served"));
  }
  ASSERT_TRUE(loop.until([&] { return c->heard("served"); }));
  EXPECT_EQ(receivedByHost().find("disconnected"), std::string::npos);
  EXPECT_EQ(receivedByHost().find("pipelined"), std::string::npos);
}

}  // namespace
}  // namespace client_proxy::test
