// Tests of a single pool and of two pools side by side: every request gets exactly one final answer, and a
// failing pool does not affect another.
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
    last_answer[id] = std::move(answer);
  }
  void onCompleted(const AdmittedRequest& request) override { ++completed[request.exchange]; }
  int status(ExchangeId id) const {
    const auto it = last_answer.find(id);
    return it == last_answer.end() ? 0 : it->second.status;
  }
  int dispatched = 0;
  std::map<ExchangeId, int> answers, completed;
  std::map<ExchangeId, Answer> last_answer;
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
  AdmittedRequest admittedRequest(ExchangeId id, bool safe, const std::string& correlation = "x") {
    AdmittedRequest request;
    request.exchange = id;
    request.request.head.method = safe ? "GET" : "POST";
    request.request.head.target = "/a/7";
    request.request.head.correlation = correlation;
    request.request.head.forward = "X-Correlation-Id: " + correlation + "\r\n";
    request.request_class = safe ? 0 : 1;
    request.idempotency =
        safe ? load_balancer::Idempotency::Idempotent : load_balancer::Idempotency::NonIdempotent;
    request.deadline = loop.clock.now() + 600 * kMillisecond;
    return request;
  }
  // Every connection of the host has received a request head, and there are at least so many.
  static bool allReceivedRequest(const Host& host, std::size_t connections) {
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

TEST_F(PoolTest, ResponseIsForwardedOnceAndRequestCompletes) {
  const auto pool = make("", {host.endpoint()});
  pool->open(admittedRequest(1, true));
  ASSERT_TRUE(loop.until([&] { return allReceivedRequest(host, 1); }));
  EXPECT_EQ(pool->openRequests(), 1U);
  host.peers[0]->say(answerOf("served"));
  ASSERT_TRUE(loop.until([&] { return sink.completed[1] == 1; }));
  EXPECT_EQ(sink.answers[1], 1);
  EXPECT_EQ(sink.last_answer[1].body, "served");
  EXPECT_EQ(pool->openRequests(), 0U);
}

// Guards against memory that grows with the rate of requests: the timers of each that had ended stayed until
// its deadline.
TEST_F(PoolTest, RequestsThatHaveEndedLeaveNoTimers) {
  const auto pool = make("", {host.endpoint()});
  const std::size_t before = loop.timers.pending();
  constexpr ExchangeId kRequests = 10;
  for (ExchangeId id = 1; id <= kRequests; ++id) pool->open(admittedRequest(id, true));
  ASSERT_TRUE(loop.until([&] { return allReceivedRequest(host, kRequests); }));
  const std::size_t most = loop.timers.pending();
  EXPECT_GE(most, before + 2 * kRequests);
  for (const auto& p : host.peers) p->say(answerOf("served"));
  ASSERT_TRUE(loop.until([&] { return sink.completed.size() == kRequests; }));
  // Each has had one more since, which looks after its answer; its deadline and its attempt's limit are gone.
  EXPECT_LE(loop.timers.pending(), most - kRequests);
}

TEST_F(PoolTest, UnresponsiveHostTimesOutWithoutRetryOfUnsafeRequest) {
  const auto pool = make("", {host.endpoint()});
  pool->open(admittedRequest(1, false));
  ASSERT_TRUE(loop.until([&] { return sink.completed[1] == 1; }));
  EXPECT_EQ(sink.status(1), 504);
  EXPECT_EQ(sink.answers[1], 1);
  EXPECT_EQ(host.peers.size(), 1U) << "retried although it may have run";
}

TEST_F(PoolTest, RequestOfDisconnectedClientCompletesWithoutAnswer) {
  const auto pool = make("", {host.endpoint()});
  pool->open(admittedRequest(1, true));
  ASSERT_TRUE(loop.until([&] { return allReceivedRequest(host, 1); }));
  pool->onClientDisconnected(1);
  pool->onClientDisconnected(1);
  ASSERT_TRUE(loop.until([&] { return sink.completed[1] == 1; }));
  EXPECT_EQ(sink.answers[1], 0);
  EXPECT_EQ(pool->openRequests(), 0U);
}

TEST_F(PoolTest, RemovedHostFinishesInFlightRequestAndGetsNoNewOne) {
  const auto pool = make("", {host.endpoint()});
  pool->open(admittedRequest(1, false));
  ASSERT_TRUE(loop.until([&] { return allReceivedRequest(host, 1); }));
  pool->setHosts(listOf({}));
  pool->open(admittedRequest(2, false, "y"));
  host.peers[0]->say(answerOf("old"));
  ASSERT_TRUE(loop.until([&] { return sink.completed[1] == 1 && sink.completed[2] == 1; }));
  EXPECT_EQ(sink.status(1), 200);
  EXPECT_EQ(sink.status(2), 503) << "it never ran, so a retry is safe";
  EXPECT_EQ(host.peers.size(), 1U);
}

// The host of one pool accepts connections and never answers. All requests of the other pool are served
// meanwhile, even though they have the same correlation ids.
TEST_F(PoolTest, FailingPoolDoesNotAffectAnotherPool) {
  const auto failing = make("readings", {host.endpoint()}), healthy = make("charges", {other.endpoint()});
  for (ExchangeId id = 1; id <= 40; ++id)
    failing->open(admittedRequest(id, false, "id-" + std::to_string(id)));
  for (ExchangeId id = 1'001; id <= 1'040; ++id) {
    const std::string correlation = "id-" + std::to_string(id - 1'000);
    healthy->open(admittedRequest(id, false, correlation));
    std::shared_ptr<Peer> connection;
    ASSERT_TRUE(loop.until([&] {
      for (const auto& p : other.peers) {
        if (p->heard("X-Correlation-Id: " + correlation + "\r\n")) connection = p;
      }
      return connection != nullptr;
    })) << id;
    connection->say(answerOf("charged"));
    ASSERT_TRUE(loop.until([&] { return sink.completed[id] == 1; })) << id;
  }
  for (ExchangeId id = 1'001; id <= 1'040; ++id) EXPECT_EQ(sink.status(id), 200) << id;
  ASSERT_TRUE(loop.until([&] { return failing->openRequests() == 0; }));
  for (ExchangeId id = 1; id <= 40; ++id) {
    EXPECT_EQ(sink.answers[id], 1) << id;
    EXPECT_GE(sink.status(id), 500) << id;
  }
}

}  // namespace
}  // namespace client_proxy::test
