// Tests of events between the choice of a host and the first byte of the request: the connection to the host
// is established late, and something changes meanwhile. docs/crossings.md lists these cases.
#include "late_host.h"
#include "pools/pool.h"

namespace client_proxy::test {
namespace {

using load_balancer::HostState;
using load_balancer::Idempotency;

struct Recorder : PoolSink {
  void onDispatched(std::int32_t) override { ++dispatched; }
  void onAnswer(const AdmittedRequest& request, Answer answer) override {
    ++answers;
    last_answer = std::move(answer);
    static_cast<void>(request);
  }
  void onCompleted(const AdmittedRequest&) override { ++completed; }
  int dispatched = 0, answers = 0, completed = 0;
  Answer last_answer;
};

// A service gate with one service, whose owner zone and term the test sets.
struct TestServiceGate : ServiceGate {
  Match serviceOf(const RequestHead&, std::string_view, Idempotency) const override { return {0U, false}; }
  Permission permission(Service) const override { return {true, zone, term, 0}; }
  std::optional<Time> delayAfterRestart(const load_balancer::RequestClass&, bool) const override {
    return {};
  }
  void onCompleted(const CompletedRequest&) override {}
  void onRejectedByHost(Service, std::uint32_t) override {}
  std::string zone = "a";
  std::uint32_t term = 1;
};

// Classes: 0 is idempotent, 1 is not, 2 is idempotent by key with a short deduplication window.
load_balancer::Settings settings() {
  load_balancer::Settings s;
  for (const Idempotency idempotency :
       {Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::IdempotentWithKey}) {
    load_balancer::RequestClass c;
    c.latency_objective = c.deadline = 3 * kSecond;
    c.idempotency = idempotency;
    c.deduplication_window = 700 * kMillisecond;
    s.classes.push_back(c);
  }
  s.max_attempts = 2;
  s.may_cancel = false;  // a started attempt can't be cancelled, so it must not start
  s.slow_start_initial_capacity = 0.3;
  s.slow_start_duration = 20 * kSecond;
  s.slow_start_overload_factor = 3;
  return s;
}

class LateConnection : public ::testing::Test {
 protected:
  LateConnection() {
    Pool::Config config;
    config.settings = settings();
    // With so many clients, each has a small share of a host in slow start. With this seed the share
    // initially allows no request.
    config.settings.clients = 1000;
    config.seed = 3;
    config.upstream.connect_timeout = 2500 * kMillisecond;
    pool = std::make_unique<Pool>(loop.io, loop.timers, loop.descriptors, loop.log, zones, sink, config);
  }
  static void add(HostList& list, const std::string& id, const tcp::endpoint& endpoint,
                  HostState state = HostState::Healthy, Time started_at = 0) {
    load_balancer::Host host;
    host.id = id;
    host.state = state;
    host.started_at = started_at;
    list.hosts.push_back(host);
    list.endpoints.push_back(endpoint);
  }
  HostList listOfLateHost(HostState state = HostState::Healthy, Time started_at = 0) const {
    HostList list;
    add(list, "s-late", late.endpoint(), state, started_at);
    return list;
  }
  // Opens the only request, of this class, while the connection to its host is not established.
  void openRequest(std::int32_t request_class, std::optional<ServiceGate::Service> service = {},
                   std::optional<Time> dropped_for = {}) {
    AdmittedRequest request;
    if (dropped_for) request.dropped_until = loop.clock.now() + *dropped_for;
    request.service = service;
    if (service) request.zone = service_gate.zone;
    request.exchange = 1;
    request.request.head.method = request_class == 0 ? "GET" : "POST";
    request.request.head.target = "/a/7";
    request.request.head.forward = "X-Correlation-Id: x\r\n";
    request.request_class = request_class;
    request.idempotency = settings().classes[static_cast<std::size_t>(request_class)].idempotency;
    request.deadline = deadline = loop.clock.now() + kClientTimeout;
    pool->open(std::move(request));
    loop.turn();  // starts connecting
  }
  // Lets the connection be established, then leaves time for everything that would be written.
  void openLateHost() {
    late.open();
    ASSERT_TRUE(loop.until([&] { return late.connections() > 0; }));
    for (int i = 0; i < 20; ++i) loop.turn();
  }
  // The value of a header field that the late host received; empty: it received no field of this name.
  std::string headerReceivedByLateHost(const std::string& name) const {
    const std::string text = late.received();
    const std::size_t start = text.find("\r\n" + name + ": ");
    if (start == std::string::npos) return {};
    const std::size_t value = start + name.size() + 4;
    return text.substr(value, text.find("\r\n", value) - value);
  }
  static constexpr Time kClientTimeout = 3 * kSecond;
  Time deadline = 0;  // the client's
  TestServiceGate service_gate;
  Loop loop;
  LateHost late{loop};
  Host other{loop};
  Zones zones;
  Recorder sink;
  std::unique_ptr<Pool> pool;
};

TEST_F(LateConnection, RequestIsServedOnceConnected) {
  pool->start(listOfLateHost());
  openRequest(1);
  openLateHost();
  ASSERT_TRUE(loop.until([&] { return late.received().find("\r\n\r\n") != std::string::npos; }));
  late.answer("served");
  ASSERT_TRUE(loop.until([&] { return sink.completed == 1; }));
  EXPECT_EQ(sink.last_answer.status, 200);
}

// The kernel retransmits the SYN after one second, so that much time has passed by the first byte.
TEST_F(LateConnection, TimeLeftHeaderIsComputedWhenTheFirstByteIsWritten) {
  constexpr Time kSlack = 150 * kMillisecond;
  pool->start(listOfLateHost());
  openRequest(1);
  openLateHost();
  ASSERT_TRUE(loop.until([&] { return late.received().find("\r\n\r\n") != std::string::npos; }));
  const std::optional<Time> time_left = parseSeconds(headerReceivedByLateHost("X-Time-Left"));
  ASSERT_TRUE(time_left);
  EXPECT_LE(*time_left, kClientTimeout - kSecond + kSlack);
  EXPECT_GE(*time_left, deadline - loop.clock.now()) << "less than the client has left";
}

TEST_F(LateConnection, ServiceTermHeaderHasTheTermAtTheFirstByte) {
  pool->setGate(&service_gate);
  pool->start(listOfLateHost());
  openRequest(1, ServiceGate::Service{0});
  service_gate.term = 2;
  openLateHost();
  ASSERT_TRUE(loop.until([&] { return late.received().find("\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(headerReceivedByLateHost("X-Service-Term"), "2");
}

TEST_F(LateConnection, NothingIsSentIfServiceOwnerChanges) {
  pool->setGate(&service_gate);
  pool->start(listOfLateHost());
  openRequest(1, ServiceGate::Service{0});
  service_gate.zone = "b";
  openLateHost();
  ASSERT_TRUE(loop.until([&] { return sink.completed == 1; }));
  EXPECT_EQ(late.received(), "");
  EXPECT_EQ(sink.last_answer.status, 503);
}

TEST_F(LateConnection, NothingIsSentIfClientDisconnects) {
  pool->start(listOfLateHost());
  openRequest(1);
  pool->onClientDisconnected(1);
  openLateHost();
  ASSERT_TRUE(loop.until([&] { return sink.completed == 1; }));
  EXPECT_EQ(late.received(), "");
  EXPECT_EQ(sink.dispatched, 0);
  EXPECT_EQ(sink.answers, 0);
}

TEST_F(LateConnection, NothingIsSentIfHostStartsDraining) {
  pool->start(listOfLateHost());
  openRequest(1);
  pool->setHosts(listOfLateHost(HostState::Draining));
  openLateHost();
  ASSERT_TRUE(loop.until([&] { return sink.completed == 1; }));
  EXPECT_EQ(late.received(), "");
  EXPECT_EQ(sink.last_answer.status, 503) << "it never ran, so a retry is safe";
}

TEST_F(LateConnection, NothingIsSentIfHostIsRemovedFromList) {
  pool->start(listOfLateHost());
  openRequest(1);
  pool->setHosts({});
  openLateHost();
  ASSERT_TRUE(loop.until([&] { return sink.completed == 1; }));
  EXPECT_EQ(late.received(), "");
  EXPECT_EQ(sink.last_answer.status, 503);
}

TEST_F(LateConnection, RequestGoesToNewEndpointIfHostMoves) {
  pool->start(listOfLateHost());
  openRequest(1);
  HostList moved;
  add(moved, "s-late", other.endpoint());
  pool->setHosts(std::move(moved));
  openLateHost();
  ASSERT_TRUE(loop.until([&] { return !other.peers.empty() && other.peers[0]->heard("\r\n\r\n"); }));
  EXPECT_EQ(late.received(), "") << "the old endpoint may belong to another host";
  other.peers[0]->say(answerOf("moved"));
  ASSERT_TRUE(loop.until([&] { return sink.completed == 1; }));
  EXPECT_EQ(sink.last_answer.body, "moved");
}

TEST_F(LateConnection, NothingIsSentBeyondSlowStartShareIfHostRestarts) {
  pool->start(listOfLateHost());
  openRequest(1);
  pool->setHosts(listOfLateHost(HostState::Healthy, loop.clock.now()));
  openLateHost();
  for (int i = 0; i < 20; ++i) loop.turn();
  EXPECT_EQ(late.received(), "") << "the slow start share has to be checked at the first byte too";
}

TEST_F(LateConnection, NothingIsRetriedAfterDeduplicationWindow) {
  HostList first;
  add(first, "s-a", other.endpoint());
  pool->start(first);
  openRequest(2);
  ASSERT_TRUE(loop.until([&] { return !other.peers.empty() && other.peers[0]->heard("\r\n\r\n"); }));
  pool->setHosts(listOfLateHost());
  other.peers[0]->close();  // the attempt may have run
  loop.turn();
  openLateHost();  // one second after the first attempt; the window is 0.7 s
  ASSERT_TRUE(loop.until([&] { return sink.completed == 1; }));
  EXPECT_EQ(late.received(), "");
  EXPECT_EQ(sink.dispatched, 1);
  EXPECT_NE(sink.last_answer.status, 200);
}

// Guards against a client's repeat of a key that hosts no longer drop: the connection came up after the
// window of the first request with that key.
TEST_F(LateConnection, RepeatOfAKeyIsNotSentAfterTheWindowOfTheFirstRequest) {
  pool->start(listOfLateHost());
  openRequest(2, {}, 300 * kMillisecond);
  openLateHost();  // one second later
  ASSERT_TRUE(loop.until([&] { return sink.completed == 1; }));
  EXPECT_EQ(late.received(), "");
  EXPECT_EQ(sink.dispatched, 0);
  EXPECT_EQ(sink.last_answer.status, 503);
}

TEST_F(LateConnection, RepeatOfAKeyIsSentWithinTheWindowOfTheFirstRequest) {
  pool->start(listOfLateHost());
  openRequest(2, {}, kClientTimeout);
  openLateHost();
  ASSERT_TRUE(loop.until([&] { return sink.dispatched == 1; }));
}

TEST_F(LateConnection, RequestIsAnsweredByShutdownDeadlineWithoutConnection) {
  pool->start(listOfLateHost());
  openRequest(1);
  const Time shutdown_deadline = loop.clock.now() + 300 * kMillisecond;
  pool->finishBy(shutdown_deadline);
  ASSERT_TRUE(loop.until([&] { return sink.answers == 1; }));
  EXPECT_GE(loop.clock.now(), shutdown_deadline);
  late.open();
  loop.until([&] { return sink.completed == 1; });
  EXPECT_EQ(late.received(), "");
  EXPECT_EQ(sink.dispatched, 0);
}

}  // namespace
}  // namespace client_proxy::test
