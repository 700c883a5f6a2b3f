// The clients' side: real sockets, scripted clients, a sink that notes what it is told.
#include "net/server.h"

#include <vector>

#include "net_support.h"

namespace client_proxy::test {
namespace {

struct Taken : RequestSink {
  std::optional<Answer> onHead(const RequestHead& head, bool) override {
    if (!head.ambiguous) return std::nullopt;
    return Answer{.status = 400, .body = {}, .content_type = {}, .retry_after = {}};
  }
  Time clientWait(const RequestHead&) const override { return 20 * kSecond; }
  void onRequest(ExchangeId id, ClientRequest request) override {
    requests.push_back(request.head.target);
    server->answer(id, {.status = 200, .body = "served", .content_type = {}, .retry_after = {}});
  }
  void onUploaded(ExchangeId, Time) override {}
  void onClientGone(ExchangeId) override {}
  void onStreamed(ExchangeId, bool) override {}
  Server* server = nullptr;
  std::vector<std::string> requests;
};

class ServerTest : public ::testing::Test {
 protected:
  void serve() {
    server = std::make_unique<Server>(loop.io, loop.timers, loop.descriptors, loop.log, taken, limits);
    taken.server = server.get();
    server->listen(anyPort());
  }
  std::shared_ptr<Peer> client() { return Peer::connect(loop, server->localEndpoint()); }
  Loop loop;
  Taken taken;
  Server::Limits limits;
  std::unique_ptr<Server> server;
};

TEST_F(ServerTest, WhatCanBeReadTwoWaysIsRefusedAndNothingBehindItIsServed) {
  serve();
  const std::string hidden = "0\r\n\r\nGET /hidden HTTP/1.1\r\nX-Correlation-Id: b\r\n\r\n";
  const std::vector<std::string> heads = {
      "Content-Length: " + std::to_string(hidden.size()) + "\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n",
      "Content-Length: " + std::to_string(hidden.size()) +
          "\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n",
      "Content-Length: " + std::to_string(hidden.size()) +
          "\r\nX-Correlation-Id: a\r\nX-Correlation-Id: b\r\n",
      "Content-Length: -1\r\n"};
  for (const std::string& head : heads) {
    const auto c = client();
    c->say("POST /open HTTP/1.1\r\nHost: h\r\n" + head + "\r\n" + hidden);
    ASSERT_TRUE(loop.until([&] { return c->ended; })) << head;
    EXPECT_EQ(c->got.substr(0, 12), "HTTP/1.1 400") << head;
  }
  EXPECT_TRUE(taken.requests.empty());
}

TEST_F(ServerTest, AnErrorIsReadWholeThoughTheUploadGoesOn) {
  serve();
  const auto c = client();
  c->say("POST /open HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n");
  for (int i = 0; i < 16; ++i) c->say(std::string(512 * 1024, 'x'));
  ASSERT_TRUE(loop.until([&] { return c->said == 17 || c->failed > 0; }));
  EXPECT_EQ(c->failed, 0);
  c->endSending();
  ASSERT_TRUE(loop.until([&] { return c->ended; }));
  EXPECT_FALSE(c->reset);
  EXPECT_EQ(c->got.substr(0, 12), "HTTP/1.1 413");
}

TEST_F(ServerTest, BytesNowAndThenRenewNoLimit) {
  limits.connections.request = 300 * kMillisecond;
  serve();
  const auto c = client();
  c->say("GET /open HTTP/1.1\r\nX-Pad: ");
  std::function<void()> trickle = [&] {
    if (c->ended) return;
    c->say("x");
    loop.timers.after(20 * kMillisecond, trickle);
  };
  trickle();
  ASSERT_TRUE(loop.until([&] { return c->heard("HTTP/1.1 408"); }));
  c->close();
}

TEST_F(ServerTest, RequestsInOneBreathAreAnsweredInTurn) {
  serve();
  const auto c = client();
  std::string all;
  for (int i = 0; i < 200; ++i) all += "GET /n" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\n\r\n";
  c->say(all + "no request at all\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return c->ended; }));
  ASSERT_EQ(taken.requests.size(), 200U);
  for (std::size_t i = 0; i < 200; ++i) EXPECT_EQ(taken.requests[i], "/n" + std::to_string(i));
  EXPECT_TRUE(c->heard("HTTP/1.1 400"));
}

TEST_F(ServerTest, SilentConnectionsAreClosedAndGiveWayToThoseThatAsk) {
  limits.connections.most = 4;
  limits.connections.silent = 400 * kMillisecond;
  serve();
  std::vector<std::shared_ptr<Peer>> silent;
  for (int i = 0; i < 12; ++i) silent.push_back(client());
  const auto asks = client();
  asks->say("GET /open HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return asks->heard("served"); }));
  EXPECT_LE(server->connections(), limits.connections.most + limits.connections.overflow);
  ASSERT_TRUE(loop.until(
      [&] { return std::all_of(silent.begin(), silent.end(), [](const auto& s) { return s->ended; }); }));
}

// What it says in that moment is read and forgotten: it hears the end of our sending, no reset, and asks
// again elsewhere. One that does not close in turn does not stay for long.
TEST_F(ServerTest, AConnectionThatRestedTooLongIsEndedWithoutAReset) {
  limits.connections.idle = 300 * kMillisecond;
  serve();
  const auto closes = client(), stays = client();
  for (const auto& c : {closes, stays}) c->say("GET /a HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return closes->heard("served") && stays->heard("served"); }));
  ASSERT_TRUE(loop.until([&] { return closes->ended && stays->ended; }));
  for (int n = 2; n <= 3; ++n) {
    closes->say("GET /crossing HTTP/1.1\r\n\r\n");
    ASSERT_TRUE(loop.until([&] { return closes->said + closes->failed == n; }));
  }
  EXPECT_EQ(closes->failed, 0);
  EXPECT_FALSE(closes->reset);
  EXPECT_EQ(server->connections(), 2U);
  closes->close();
  ASSERT_TRUE(loop.until([&] { return server->connections() == 1; }));
  ASSERT_TRUE(loop.until([&] { return server->connections() == 0; }));
  EXPECT_EQ(taken.requests, (std::vector<std::string>{"/a", "/a"}));
}

}  // namespace
}  // namespace client_proxy::test
