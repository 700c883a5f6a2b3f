// Tests the server's admission over loopback sockets: connection floods, connections that clients hold
// without using them, and limits per address, on descriptors and on memory.
#include <algorithm>
#include <vector>

#include "net/server.h"
#include "net_support.h"

namespace client_proxy::test {
namespace {

using admission::RejectionReason;

// Answers each request at once or, if `hold` is set, when release() is called.
struct RecordingSink : RequestSink {
  std::optional<Answer> onHead(const RequestHead& head, bool room) override {
    if (head.target == "/healthz" || room) return std::nullopt;
    ++refused;
    return Answer{.status = 503, .body = {}, .content_type = {}, .retry_after = kSecond};
  }
  Time clientWait(const RequestHead&) const override { return 20 * kSecond; }
  void onRequest(ExchangeId id, ClientRequest) override {
    ++received;
    held.push_back(id);
    if (!hold) release();
  }
  void onUploaded(ExchangeId, Time) override {}
  void onClientGone(ExchangeId) override {}
  void onStreamed(ExchangeId, bool) override {}
  void release() {
    for (const ExchangeId id : std::exchange(held, {})) {
      server->answer(id, {.status = 200, .body = "served", .content_type = {}, .retry_after = {}});
    }
  }
  Server* server = nullptr;
  bool hold = false;
  int received = 0, refused = 0;
  std::vector<ExchangeId> held;
};

class AdmissionServerTest : public ::testing::Test {
 protected:
  void serve(std::size_t descriptors = 4096) {
    descriptor_pool = std::make_unique<Descriptors>(loop.clock, descriptors);
    server = std::make_unique<Server>(loop.io, loop.timers, *descriptor_pool, loop.log, sink, limits, memory);
    sink.server = server.get();
    server->listen(anyPort());
  }
  std::shared_ptr<Peer> client(const char* from = "127.0.0.1") {
    return Peer::connect(loop, server->localEndpoint(), from);
  }
  // Sends a request on a new connection and waits for the response.
  bool sendRequestOnNewConnection(std::vector<std::shared_ptr<Peer>>& kept) {
    const auto c = client();
    c->say(kRequest);
    kept.push_back(c);
    if (!loop.until([&] { return c->heard("served"); })) return false;
    loop.turn();
    if (c->ended) c->close();
    return true;
  }
  std::uint64_t closedFor(RejectionReason reason) const {
    return server->gate().closed()[static_cast<std::size_t>(reason)];
  }
  const std::string kRequest = "GET /open HTTP/1.1\r\nHost: h\r\n\r\n";
  Loop loop;
  std::unique_ptr<Descriptors> descriptor_pool;
  RecordingSink sink;
  Server::Limits limits;
  std::shared_ptr<MemoryAccount> memory = MemoryAccount::unlimited();
  std::unique_ptr<Server> server;
};

TEST_F(AdmissionServerTest, ServesFiftyClientsDuringAFloodOfTwoThousandSilentConnections) {
  limits.connections.most = 200;
  limits.connections.kept = 64;  // all of the requesting clients
  serve();
  std::vector<std::shared_ptr<Peer>> silent, clients;
  for (int i = 0; i < 2000; ++i) {
    silent.push_back(client());
    if (i % 40 != 0) continue;
    clients.push_back(client());
    clients.back()->say(kRequest);
    loop.turn();
  }
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->heard("served"); });
  }));
  EXPECT_EQ(sink.received, 50);
  // The idle connections are reused while the silent ones are still open.
  for (const auto& c : clients) c->got.clear(), c->say(kRequest);
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& c) { return c->heard("served") || c->ended; });
  }));
  EXPECT_EQ(sink.received, 100) << "no idle connection was evicted for a silent one";
  EXPECT_GE(closedFor(RejectionReason::SilentEvicted) + closedFor(RejectionReason::FirstByteTimeout), 1800U);
}

TEST_F(AdmissionServerTest, ClientsThatHoldUnusedConnectionsDoNotRunOutOfThem) {
  limits.connections.kept = 4;
  serve();
  std::vector<std::shared_ptr<Peer>> all;
  for (int i = 0; i < 200; ++i) ASSERT_TRUE(sendRequestOnNewConnection(all));
  loop.turn();
  // A client with a limit on its connections can't send requests on those that it holds open.
  const auto open = std::count_if(all.begin(), all.end(), [](const auto& c) { return !c->ended; });
  EXPECT_LT(open, 60);
  EXPECT_GT(closedFor(RejectionReason::NotReused), 0U);
  EXPECT_TRUE(all.back()->heard("Connection: close"));
}

TEST_F(AdmissionServerTest, KeepsBusyConnectionsAtTheLimitAndRefusesTheNextAtOnce) {
  limits.connections.most = 8;
  limits.connections.overflow = 4;
  sink.hold = true;
  serve();
  std::vector<std::shared_ptr<Peer>> busy;
  for (int i = 0; i < 8; ++i) {
    busy.push_back(client());
    busy.back()->say(kRequest);
    ASSERT_TRUE(loop.until([&] { return sink.received == i + 1; }));
  }
  const auto next = client();
  next->say(kRequest);
  ASSERT_TRUE(loop.until([&] { return next->ended; }));
  EXPECT_EQ(next->got.substr(0, 12), "HTTP/1.1 503");
  EXPECT_TRUE(next->heard("Retry-After: "));
  EXPECT_EQ(sink.refused, 1);
  sink.release();
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(busy.begin(), busy.end(), [](const auto& c) { return c->heard("served"); });
  }));
}

TEST_F(AdmissionServerTest, AnAddressThatOpensManyConnectionsDoesNotEvictThoseOfAnother) {
  limits.connections.most = 60;
  serve();
  std::vector<std::shared_ptr<Peer>> quiet, greedy;
  for (int i = 0; i < 3; ++i) {
    quiet.push_back(client("127.0.0.2"));
    quiet.back()->say(kRequest);
    ASSERT_TRUE(loop.until([&] { return quiet.back()->heard("served"); }));
  }
  // Each sends one request, so that none of them is silent.
  for (int i = 0; i < 300; ++i) {
    greedy.push_back(client("127.0.0.3"));
    greedy.back()->say(kRequest);
    loop.turn();
  }
  ASSERT_TRUE(loop.until([&] { return sink.received >= 300; }));
  for (const auto& c : quiet) c->got.clear(), c->say(kRequest);
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(quiet.begin(), quiet.end(), [](const auto& c) { return c->heard("served"); });
  }));
  EXPECT_GT(closedFor(RejectionReason::PeerQuota) + closedFor(RejectionReason::NotReused), 0U);
}

TEST_F(AdmissionServerTest, AnAddressAtItsLimitLosesItsOwnConnections) {
  limits.connections.per_peer = 5;
  serve();
  const auto other = client("127.0.0.2");
  other->say(kRequest);
  std::vector<std::shared_ptr<Peer>> greedy;
  for (int i = 0; i < 20; ++i) {
    greedy.push_back(client("127.0.0.3"));
    greedy.back()->say(kRequest);
    ASSERT_TRUE(loop.until([&] { return greedy.back()->got.find("HTTP/1.1") == 0; }));
  }
  ASSERT_TRUE(loop.until([&] {
    return std::count_if(greedy.begin(), greedy.end(), [](const auto& c) { return !c->ended; }) <= 6;
  }));
  EXPECT_FALSE(other->ended);
}

TEST_F(AdmissionServerTest, ClientsAndHostsCannotTakeEachOthersDescriptors) {
  serve(64);
  std::vector<std::shared_ptr<Peer>> silent;
  for (int i = 0; i < 200; ++i) silent.push_back(client()), loop.turn();
  std::size_t hosts = 0;
  while (descriptor_pool->take(Side::Hosts)) ++hosts;
  EXPECT_GE(hosts, 16U);
  // All descriptors that hosts can take are in use; a request from a client is still answered.
  const auto c = client();
  c->say(kRequest);
  ASSERT_TRUE(loop.until([&] { return c->heard("served"); }));
  while (hosts-- > 0) descriptor_pool->release(Side::Hosts);
}

TEST_F(AdmissionServerTest, UploadsThatFillTheBodyMemoryDoNotDelaySmallRequests) {
  memory = std::make_shared<MemoryAccount>(192 * 1024);
  limits.connections.request = 1500 * kMillisecond;
  serve();
  std::vector<std::shared_ptr<Peer>> uploads;
  for (int i = 0; i < 12; ++i) {
    uploads.push_back(client());
    uploads.back()->say("POST /open HTTP/1.1\r\nContent-Length: 60000\r\n\r\n" + std::string(50'000, 'x'));
  }
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(uploads.begin(), uploads.end(), [](const auto& c) { return c->said == 1; });
  }));
  const auto small = client();
  small->say(kRequest);
  ASSERT_TRUE(loop.until([&] { return small->heard("served"); }));
  EXPECT_EQ(sink.received, 1);
  // Each upload gets a response; those that waited for memory get a 503, after which a retry is harmless.
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(uploads.begin(), uploads.end(), [](const auto& c) { return c->heard("HTTP/1.1 "); });
  }));
  const auto refused =
      std::count_if(uploads.begin(), uploads.end(), [](const auto& c) { return c->heard("HTTP/1.1 503"); });
  EXPECT_GT(refused, 0);
  for (const auto& c : uploads) EXPECT_TRUE(c->heard("HTTP/1.1 503") || c->heard("HTTP/1.1 408"));
}

TEST_F(AdmissionServerTest, AFloodOfHealthChecksDoesNotEvictIdleConnections) {
  limits.connections.most = 60;
  serve();
  std::vector<std::shared_ptr<Peer>> kept, flood;
  for (int i = 0; i < 10; ++i) {
    kept.push_back(client());
    for (int n = 1; n <= 2; ++n) {
      kept.back()->got.clear();
      kept.back()->say(kRequest);
      ASSERT_TRUE(loop.until([&] { return kept.back()->heard("served"); }));
    }
  }
  for (int i = 0; i < 500; ++i) {
    flood.push_back(client());
    flood.back()->say("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
    loop.turn();
  }
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(flood.begin(), flood.end(), [](const auto& c) { return c->heard("200"); });
  }));
  for (const auto& c : kept) EXPECT_FALSE(c->ended);
}

}  // namespace
}  // namespace client_proxy::test
