// A pool by itself, and two side by side: each request one final answer, and one pool's trouble stays in it.
#include "pools/pool.h"

#include <gtest/gtest.h>

#include <map>

#include "net_support.h"

namespace client_proxy::test {
namespace {

struct Recorder : PoolSink {
  void onDispatched(std::int32_t) override { ++dispatched; }
  void onAnswer(const AdmittedRequest& request, Answer answer) override {
    const ExchangeId id = request.exchange;
    ++answers[id];
    last[id] = std::move(answer);
  }
  void onCompleted(const AdmittedRequest& request) override { ++over[request.exchange]; }
  int status(ExchangeId id) const {
    const auto it = last.find(id);
    return it == last.end() ? 0 : it->second.status;
  }
  int dispatched = 0;
  std::map<ExchangeId, int> answers, over;
  std::map<ExchangeId, Answer> last;
};

load_balancer::Settings settings() {
  load_balancer::Settings s;
  load_balancer::RequestClass safe, unsafe;
  safe.latency_objective = unsafe.latency_objective = 400 * kMillisecond;
  safe.deadline = unsafe.deadline = 600 * kMillisecond;
  safe.idempotency = load_balancer::Idempotency::Idempotent;
  s.classes = {safe, unsafe};
  s.max_attempts = 3;
  s.may_cancel = true;
  return s;
}

class PoolTest : public ::testing::Test {
 protected:
  std::unique_ptr<Pool> make(const std::string& name, const std::vector<tcp::endpoint>& hosts) {
    Pool::Config config;
    config.name = name;
    config.settings = settings();
    auto pool = std::make_unique<Pool>(loop.io, loop.timers, loop.descriptors, loop.log, zones, sink, config);
    pool->start(listOf(hosts));
    return pool;
  }
  static HostList listOf(const std::vector<tcp::endpoint>& hosts) {
    HostList list;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      load_balancer::Host host;
      host.id = "s-" + std::to_string(i + 1);
      list.hosts.push_back(host);
      list.endpoints.push_back(hosts[i]);
    }
    return list;
  }
  AdmittedRequest taken(ExchangeId id, bool safe, const std::string& correlation = "x") {
    AdmittedRequest t;
    t.exchange = id;
    t.request.head.method = safe ? "GET" : "POST";
    t.request.head.target = "/a/7";
    t.request.head.correlation = correlation;
    t.request.head.forward = "X-Correlation-Id: " + correlation + "\r\n";
    t.request_class = safe ? 0 : 1;
    t.idempotency = safe ? load_balancer::Idempotency::Idempotent : load_balancer::Idempotency::NonIdempotent;
    t.deadline = loop.clock.now() + 600 * kMillisecond;
    return t;
  }
  static bool asked(const Host& host, std::size_t connections) {
    if (host.peers.size() < connections) return false;
    for (const auto& p : host.peers) {
      if (!p->heard("\r\n\r\n")) return false;
    }
    return true;
  }
  Loop loop;
  Host host{loop}, other{loop};
  Zones zones;
  Recorder sink;
};

TEST_F(PoolTest, AnAnswerIsPassedOnOnceAndThenItIsOver) {
  const auto pool = make("", {host.endpoint()});
  pool->open(taken(1, true));
  ASSERT_TRUE(loop.until([&] { return asked(host, 1); }));
  EXPECT_EQ(pool->openRequests(), 1U);
  host.peers[0]->say(answerOf("served"));
  ASSERT_TRUE(loop.until([&] { return sink.over[1] == 1; }));
  EXPECT_EQ(sink.answers[1], 1);
  EXPECT_EQ(sink.last[1].body, "served");
  EXPECT_EQ(pool->openRequests(), 0U);
}

TEST_F(PoolTest, AHostThatIsSilentCostsItsRequestAnAnswerInTimeAndNoMore) {
  const auto pool = make("", {host.endpoint()});
  pool->open(taken(1, false));
  ASSERT_TRUE(loop.until([&] { return sink.over[1] == 1; }));
  EXPECT_EQ(sink.status(1), 504);
  EXPECT_EQ(sink.answers[1], 1);
  EXPECT_EQ(host.peers.size(), 1U) << "it may have run: it was not sent again";
}

TEST_F(PoolTest, WhoseClientHasGoneIsOverWithoutAnAnswer) {
  const auto pool = make("", {host.endpoint()});
  pool->open(taken(1, true));
  ASSERT_TRUE(loop.until([&] { return asked(host, 1); }));
  pool->onClientDisconnected(1);
  pool->onClientDisconnected(1);
  ASSERT_TRUE(loop.until([&] { return sink.over[1] == 1; }));
  EXPECT_EQ(sink.answers[1], 0);
  EXPECT_EQ(pool->openRequests(), 0U);
}

TEST_F(PoolTest, HostsThatAreTakenOutEndWhatTheyHave) {
  const auto pool = make("", {host.endpoint()});
  pool->open(taken(1, false));
  ASSERT_TRUE(loop.until([&] { return asked(host, 1); }));
  pool->setHosts(listOf({}));
  pool->open(taken(2, false, "y"));
  host.peers[0]->say(answerOf("old"));
  ASSERT_TRUE(loop.until([&] { return sink.over[1] == 1 && sink.over[2] == 1; }));
  EXPECT_EQ(sink.status(1), 200);
  EXPECT_EQ(sink.status(2), 503) << "nothing ran: repeating is harmless";
  EXPECT_EQ(host.peers.size(), 1U);
}

// All hosts of one accept and never answer; the other's requests are all served meanwhile, also under the
// same ids.
TEST_F(PoolTest, OnePoolsTroubleStaysInIt) {
  const auto silent = make("readings", {host.endpoint()}), sound = make("charges", {other.endpoint()});
  for (ExchangeId id = 1; id <= 40; ++id) silent->open(taken(id, false, "id-" + std::to_string(id)));
  for (ExchangeId id = 1'001; id <= 1'040; ++id) {
    const std::string same = "id-" + std::to_string(id - 1'000);
    sound->open(taken(id, false, same));
    std::shared_ptr<Peer> holder;
    ASSERT_TRUE(loop.until([&] {
      for (const auto& p : other.peers) {
        if (p->heard("X-Correlation-Id: " + same + "\r\n")) holder = p;
      }
      return holder != nullptr;
    })) << id;
    holder->say(answerOf("charged"));
    ASSERT_TRUE(loop.until([&] { return sink.over[id] == 1; })) << id;
  }
  for (ExchangeId id = 1'001; id <= 1'040; ++id) EXPECT_EQ(sink.status(id), 200) << id;
  ASSERT_TRUE(loop.until([&] { return silent->openRequests() == 0; }));
  for (ExchangeId id = 1; id <= 40; ++id) {
    EXPECT_EQ(sink.answers[id], 1) << id;
    EXPECT_GE(sink.status(id), 500) << id;
  }
}

}  // namespace
}  // namespace client_proxy::test
