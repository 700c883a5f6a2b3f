// Admission over loopback sockets: crowds, and clients that keep what they don't use.
#include <algorithm>
#include <vector>

#include "net/server.h"
#include "net_support.h"

namespace client_proxy::test {
namespace {

using admission::RejectionReason;

// Answers each request at once or, if `hold`, when release() is called.
struct Taken : RequestSink {
  std::optional<Answer> onHead(const RequestHead& head, bool room) override {
    if (head.target == "/healthz" || room) return std::nullopt;
    ++refused;
    return Answer{.status = 503, .body = {}, .content_type = {}, .retry_after = kSecond};
  }
  void onRequest(ExchangeId id, ClientRequest) override {
    ++taken;
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
  int taken = 0, refused = 0;
  std::vector<ExchangeId> held;
};

class AdmissionServerTest : public ::testing::Test {
 protected:
  void serve(std::size_t descriptors = 4096) {
    places = std::make_unique<Descriptors>(loop.clock, descriptors);
    server = std::make_unique<Server>(loop.io, loop.timers, *places, loop.log, taken, limits);
    taken.server = server.get();
    server->listen(anyPort());
  }
  std::shared_ptr<Peer> client(const char* from = "127.0.0.1") {
    return Peer::connect(loop, server->localEndpoint(), from);
  }
  // Asks on a connection of its own and waits for the answer.
  bool askOnce(std::vector<std::shared_ptr<Peer>>& kept) {
    const auto c = client();
    c->say(kAsk);
    kept.push_back(c);
    if (!loop.until([&] { return c->heard("served"); })) return false;
    loop.turn();
    if (c->ended) c->close();
    return true;
  }
  std::uint64_t closedFor(RejectionReason reason) const {
    return server->gate().closed()[static_cast<std::size_t>(reason)];
  }
  const std::string kAsk = "GET /open HTTP/1.1\r\nHost: h\r\n\r\n";
  Loop loop;
  std::unique_ptr<Descriptors> places;
  Taken taken;
  Server::Limits limits;
  std::unique_ptr<Server> server;
};

TEST_F(AdmissionServerTest, FiftyRealClientsAreServedAmongTwoThousandThatSayNothing) {
  limits.connections.most = 200;
  limits.connections.kept = 64;  // all of the real ones
  serve();
  std::vector<std::shared_ptr<Peer>> crowd, real;
  for (int i = 0; i < 2000; ++i) {
    crowd.push_back(client());
    if (i % 40 != 0) continue;
    real.push_back(client());
    real.back()->say(kAsk);
    loop.turn();
  }
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(real.begin(), real.end(), [](const auto& c) { return c->heard("served"); });
  }));
  EXPECT_EQ(taken.taken, 50);
  // Those that are kept ask again while the crowd stands there.
  for (const auto& c : real) c->got.clear(), c->say(kAsk);
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(real.begin(), real.end(),
                       [](const auto& c) { return c->heard("served") || c->ended; });
  }));
  EXPECT_EQ(taken.taken, 100) << "no kept connection went for one that says nothing";
  EXPECT_GE(closedFor(RejectionReason::SilentEvicted) + closedFor(RejectionReason::FirstByteTimeout), 1800U);
}

TEST_F(AdmissionServerTest, ClientsThatAskOnceAndStayCanGoOnAsking) {
  limits.connections.kept = 4;
  serve();
  std::vector<std::shared_ptr<Peer>> all;
  for (int i = 0; i < 200; ++i) ASSERT_TRUE(askOnce(all));
  loop.turn();
  // What is open on their side is what they can't ask on.
  const auto open = std::count_if(all.begin(), all.end(), [](const auto& c) { return !c->ended; });
  EXPECT_LT(open, 60);
  EXPECT_GT(closedFor(RejectionReason::NotReused), 0U);
  EXPECT_TRUE(all.back()->heard("Connection: close"));
}

TEST_F(AdmissionServerTest, BusyConnectionsAtTheBoundAreKeptAndTheNextIsRefusedAtOnce) {
  limits.connections.most = 8;
  limits.connections.overflow = 4;
  taken.hold = true;
  serve();
  std::vector<std::shared_ptr<Peer>> busy;
  for (int i = 0; i < 8; ++i) {
    busy.push_back(client());
    busy.back()->say(kAsk);
    ASSERT_TRUE(loop.until([&] { return taken.taken == i + 1; }));
  }
  const auto next = client();
  next->say(kAsk);
  ASSERT_TRUE(loop.until([&] { return next->ended; }));
  EXPECT_EQ(next->got.substr(0, 12), "HTTP/1.1 503");
  EXPECT_TRUE(next->heard("Retry-After: "));
  EXPECT_EQ(taken.refused, 1);
  taken.release();
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(busy.begin(), busy.end(), [](const auto& c) { return c->heard("served"); });
  }));
}

TEST_F(AdmissionServerTest, OneAddressThatOpensEverythingDoesNotCostAnotherItsConnection) {
  limits.connections.most = 60;
  serve();
  std::vector<std::shared_ptr<Peer>> quiet, greedy;
  for (int i = 0; i < 3; ++i) {
    quiet.push_back(client("127.0.0.2"));
    quiet.back()->say(kAsk);
    ASSERT_TRUE(loop.until([&] { return quiet.back()->heard("served"); }));
  }
  // Each asks once, so that none of them is silent.
  for (int i = 0; i < 300; ++i) {
    greedy.push_back(client("127.0.0.3"));
    greedy.back()->say(kAsk);
    loop.turn();
  }
  ASSERT_TRUE(loop.until([&] { return taken.taken >= 300; }));
  for (const auto& c : quiet) c->got.clear(), c->say(kAsk);
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(quiet.begin(), quiet.end(), [](const auto& c) { return c->heard("served"); });
  }));
  EXPECT_GT(closedFor(RejectionReason::PeerQuota) + closedFor(RejectionReason::NotReused), 0U);
}

TEST_F(AdmissionServerTest, AnAddressAtItsBoundGivesUpItsOwn) {
  limits.connections.per_peer = 5;
  serve();
  const auto other = client("127.0.0.2");
  other->say(kAsk);
  std::vector<std::shared_ptr<Peer>> greedy;
  for (int i = 0; i < 20; ++i) {
    greedy.push_back(client("127.0.0.3"));
    greedy.back()->say(kAsk);
    ASSERT_TRUE(loop.until([&] { return greedy.back()->got.find("HTTP/1.1") == 0; }));
  }
  ASSERT_TRUE(loop.until([&] {
    return std::count_if(greedy.begin(), greedy.end(), [](const auto& c) { return !c->ended; }) <= 6;
  }));
  EXPECT_FALSE(other->ended);
}

TEST_F(AdmissionServerTest, ClientsCannotTakeTheHostsDescriptorsNorHostsTheirs) {
  serve(64);
  std::vector<std::shared_ptr<Peer>> crowd;
  for (int i = 0; i < 200; ++i) crowd.push_back(client()), loop.turn();
  std::size_t hosts = 0;
  while (places->take(Side::Hosts)) ++hosts;
  EXPECT_GE(hosts, 16U);
  // The hosts' side took what it could; a client that asks is still answered.
  const auto c = client();
  c->say(kAsk);
  ASSERT_TRUE(loop.until([&] { return c->heard("served"); }));
  while (hosts-- > 0) places->release(Side::Hosts);
}

TEST_F(AdmissionServerTest, UploadsThatTakeAllMemoryDoNotHoldUpSmallRequests) {
  limits.body_bytes = 192 * 1024;
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
  small->say(kAsk);
  ASSERT_TRUE(loop.until([&] { return small->heard("served"); }));
  EXPECT_EQ(taken.taken, 1);
  // Each of them is told in the end, those that waited for memory that trying again is harmless.
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(uploads.begin(), uploads.end(), [](const auto& c) { return c->heard("HTTP/1.1 "); });
  }));
  const auto refused =
      std::count_if(uploads.begin(), uploads.end(), [](const auto& c) { return c->heard("HTTP/1.1 503"); });
  EXPECT_GT(refused, 0);
  for (const auto& c : uploads) EXPECT_TRUE(c->heard("HTTP/1.1 503") || c->heard("HTTP/1.1 408"));
}

TEST_F(AdmissionServerTest, AStormOfHealthCallsLeavesKeptConnectionsAlone) {
  limits.connections.most = 60;
  serve();
  std::vector<std::shared_ptr<Peer>> kept, storm;
  for (int i = 0; i < 10; ++i) {
    kept.push_back(client());
    for (int n = 1; n <= 2; ++n) {
      kept.back()->got.clear();
      kept.back()->say(kAsk);
      ASSERT_TRUE(loop.until([&] { return kept.back()->heard("served"); }));
    }
  }
  for (int i = 0; i < 500; ++i) {
    storm.push_back(client());
    storm.back()->say("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
    loop.turn();
  }
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(storm.begin(), storm.end(), [](const auto& c) { return c->heard("200"); });
  }));
  for (const auto& c : kept) EXPECT_FALSE(c->ended);
}

}  // namespace
}  // namespace client_proxy::test
