// Between the choice of a host and the first byte of a request: its connection comes up late, and meanwhile
// something happens. docs/crossings.md has the list.
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "net_support.h"
#include "pools/pool.h"

namespace client_proxy::test {
namespace {

using load_balancer::HostState;
using load_balancer::Idempotency;

// Its queue of connections is full until open(): the system drops what would begin another, and the other
// side tries again a second later. So a connection comes up late, and is never refused.
class LateHost {
 public:
  explicit LateHost(Loop& loop) : loop_(loop), acceptor_(loop.io) {
    acceptor_.open(tcp::v4());
    acceptor_.bind(anyPort());
    acceptor_.listen(0);
    while (fill()) {
    }
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void open() {
    filled_ = std::exchange(fillers_, {}).size();
    accept();
  }
  // All that was ever said here.
  std::string heard() const {
    std::string all;
    for (const auto& p : peers_) all += p->got;
    return all;
  }
  // Whoever did not come before open() to fill the queue.
  std::size_t come() const { return peers_.size() - std::min(peers_.size(), filled_); }
  void answer(const std::string& body) {
    for (const auto& p : peers_) {
      if (p->heard("\r\n\r\n")) p->say(answerOf(body));
    }
  }

 private:
  // Whether one more has come up, within the time that loopback never takes.
  bool fill() {
    auto socket = std::make_shared<tcp::socket>(loop_.io);
    bool up = false;
    socket->async_connect(endpoint(), [&up, socket](error_code ec) { up = !ec; });
    loop_.io.restart();
    loop_.io.run_for(std::chrono::milliseconds(100));
    if (up) fillers_.push_back(socket);
    if (!up) socket->close();
    loop_.turn();
    return up;
  }
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      peers_.push_back(std::make_shared<Peer>(std::move(socket)));
      peers_.back()->listen();
      accept();
    });
  }
  Loop& loop_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<tcp::socket>> fillers_;
  std::vector<std::shared_ptr<Peer>> peers_;
  std::size_t filled_ = 0;
};

struct Recorder : PoolSink {
  void onDispatched(std::int32_t) override { ++dispatched; }
  void onAnswer(const AdmittedRequest& request, Answer answer) override {
    ++answers;
    last = std::move(answer);
    static_cast<void>(request);
  }
  void onCompleted(const AdmittedRequest&) override { ++over; }
  int dispatched = 0, answers = 0, over = 0;
  Answer last;
};

// One service, whose owner and term the test says.
struct Owners : ServiceGate {
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

// Classes: 0 safe, 1 unsafe, 2 keyed with a short window.
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
  s.may_cancel = false;  // what has begun goes on: it must not begin
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
    // Of so many clients each has a small share of a host that has just started; by this seed it holds no
    // request at first.
    config.settings.clients = 1000;
    config.seed = 3;
    config.upstream.connect_timeout = 2500 * kMillisecond;
    pool = std::make_unique<Pool>(loop.io, loop.timers, loop.descriptors, loop.log, zones, sink, config);
  }
  static void add(HostList& list, const std::string& id, const tcp::endpoint& at,
                  HostState state = HostState::Healthy, Time started_at = 0) {
    load_balancer::Host host;
    host.id = id;
    host.state = state;
    host.started_at = started_at;
    list.hosts.push_back(host);
    list.endpoints.push_back(at);
  }
  HostList onlyLate(HostState state = HostState::Healthy, Time started_at = 0) const {
    HostList list;
    add(list, "s-late", late.endpoint(), state, started_at);
    return list;
  }
  void ask(std::int32_t request_class, std::optional<ServiceGate::Service> service = {}) {
    AdmittedRequest t;
    t.service = service;
    if (service) t.zone = owners.zone;
    t.exchange = 1;
    t.request.head.method = request_class == 0 ? "GET" : "POST";
    t.request.head.target = "/a/7";
    t.request.head.forward = "X-Correlation-Id: x\r\n";
    t.request_class = request_class;
    t.idempotency = settings().classes[static_cast<std::size_t>(request_class)].idempotency;
    t.deadline = deadline = loop.clock.now() + kPatience;
    pool->open(std::move(t));
    loop.turn();  // its connection is under way
  }
  // It has come up at last; then whatever would be written is written.
  void comesUp() {
    late.open();
    ASSERT_TRUE(loop.until([&] { return late.come() > 0; }));
    for (int i = 0; i < 20; ++i) loop.turn();
  }
  // The value of a header line that the late host was sent; empty: it has heard none of this name.
  std::string toldLate(const std::string& name) const {
    const std::string heard = late.heard();
    const std::size_t at = heard.find("\r\n" + name + ": ");
    if (at == std::string::npos) return {};
    const std::size_t value = at + name.size() + 4;
    return heard.substr(value, heard.find("\r\n", value) - value);
  }
  static constexpr Time kPatience = 3 * kSecond;
  Time deadline = 0;  // the client's
  Owners owners;
  Loop loop;
  LateHost late{loop};
  Host other{loop};
  Zones zones;
  Recorder sink;
  std::unique_ptr<Pool> pool;
};

TEST_F(LateConnection, NothingHappensMeanwhileAndItIsServed) {
  pool->start(onlyLate());
  ask(1);
  comesUp();
  ASSERT_TRUE(loop.until([&] { return late.heard().find("\r\n\r\n") != std::string::npos; }));
  late.answer("served");
  ASSERT_TRUE(loop.until([&] { return sink.over == 1; }));
  EXPECT_EQ(sink.last.status, 200);
}

// The system asks for a dropped connection again after a second: that much is gone by the first byte.
TEST_F(LateConnection, TheHostIsToldTheTimeThatIsLeftWhenTheFirstByteIsWritten) {
  constexpr Time kSlack = 150 * kMillisecond;
  pool->start(onlyLate());
  ask(1);
  comesUp();
  ASSERT_TRUE(loop.until([&] { return late.heard().find("\r\n\r\n") != std::string::npos; }));
  const std::optional<Time> told = parseSeconds(toldLate("X-Time-Left"));
  ASSERT_TRUE(told);
  EXPECT_LE(*told, kPatience - kSecond + kSlack);
  EXPECT_GE(*told, deadline - loop.clock.now()) << "nor less than is left";
}

TEST_F(LateConnection, TheTermOfItsServiceChangesMeanwhileAndTheHostIsToldTheNewOne) {
  pool->setGate(&owners);
  pool->start(onlyLate());
  ask(1, ServiceGate::Service{0});
  owners.term = 2;
  comesUp();
  ASSERT_TRUE(loop.until([&] { return late.heard().find("\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(toldLate("X-Service-Term"), "2");
}

TEST_F(LateConnection, TheOwnerOfItsServiceChangesMeanwhileAndNothingIsSent) {
  pool->setGate(&owners);
  pool->start(onlyLate());
  ask(1, ServiceGate::Service{0});
  owners.zone = "b";
  comesUp();
  ASSERT_TRUE(loop.until([&] { return sink.over == 1; }));
  EXPECT_EQ(late.heard(), "");
  EXPECT_EQ(sink.last.status, 503);
}

TEST_F(LateConnection, TheClientLeavesMeanwhileAndNothingIsSent) {
  pool->start(onlyLate());
  ask(1);
  pool->onClientDisconnected(1);
  comesUp();
  ASSERT_TRUE(loop.until([&] { return sink.over == 1; }));
  EXPECT_EQ(late.heard(), "");
  EXPECT_EQ(sink.dispatched, 0);
  EXPECT_EQ(sink.answers, 0);
}

TEST_F(LateConnection, TheHostDrainsMeanwhileAndGetsNothing) {
  pool->start(onlyLate());
  ask(1);
  pool->setHosts(onlyLate(HostState::Draining));
  comesUp();
  ASSERT_TRUE(loop.until([&] { return sink.over == 1; }));
  EXPECT_EQ(late.heard(), "");
  EXPECT_EQ(sink.last.status, 503) << "it never ran: trying again is harmless";
}

TEST_F(LateConnection, TheHostIsTakenFromTheListMeanwhileAndGetsNothing) {
  pool->start(onlyLate());
  ask(1);
  pool->setHosts({});
  comesUp();
  ASSERT_TRUE(loop.until([&] { return sink.over == 1; }));
  EXPECT_EQ(late.heard(), "");
  EXPECT_EQ(sink.last.status, 503);
}

TEST_F(LateConnection, TheHostHasMovedMeanwhileAndIsAskedWhereItIsNow) {
  pool->start(onlyLate());
  ask(1);
  HostList moved;
  add(moved, "s-late", other.endpoint());
  pool->setHosts(std::move(moved));
  comesUp();
  ASSERT_TRUE(loop.until([&] { return !other.peers.empty() && other.peers[0]->heard("\r\n\r\n"); }));
  EXPECT_EQ(late.heard(), "") << "whoever is at its old address is not it";
  other.peers[0]->say(answerOf("moved"));
  ASSERT_TRUE(loop.until([&] { return sink.over == 1; }));
  EXPECT_EQ(sink.last.body, "moved");
}

TEST_F(LateConnection, TheHostStartsAnewMeanwhileAndIsNotSentWhatItsColdShareDoesNotHold) {
  pool->start(onlyLate());
  ask(1);
  pool->setHosts(onlyLate(HostState::Healthy, loop.clock.now()));
  comesUp();
  for (int i = 0; i < 20; ++i) loop.turn();
  EXPECT_EQ(late.heard(), "") << "its share was not spent when it was chosen";
}

TEST_F(LateConnection, TheWindowOfItsKeyPassesMeanwhileAndItIsNotRepeated) {
  HostList both;
  add(both, "s-a", other.endpoint());
  pool->start(both);
  ask(2);
  ASSERT_TRUE(loop.until([&] { return !other.peers.empty() && other.peers[0]->heard("\r\n\r\n"); }));
  pool->setHosts(onlyLate());
  other.peers[0]->close();  // it may have run
  loop.turn();
  comesUp();  // a second after the first attempt, whose window was 0.7 s
  ASSERT_TRUE(loop.until([&] { return sink.over == 1; }));
  EXPECT_EQ(late.heard(), "");
  EXPECT_EQ(sink.dispatched, 1);
  EXPECT_NE(sink.last.status, 200);
}

TEST_F(LateConnection, TheProcessHasToLeaveMeanwhileAndTheRequestHasItsAnswerInTime) {
  pool->start(onlyLate());
  ask(1);
  const Time last = loop.clock.now() + 300 * kMillisecond;
  pool->finishBy(last);
  ASSERT_TRUE(loop.until([&] { return sink.answers == 1; }));
  EXPECT_GE(loop.clock.now(), last);
  late.open();
  loop.until([&] { return sink.over == 1; });
  EXPECT_EQ(late.heard(), "");
  EXPECT_EQ(sink.dispatched, 0);
}

}  // namespace
}  // namespace client_proxy::test
