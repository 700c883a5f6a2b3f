// A short overload of hosts that slow down when crowded and recover only when they had rest: once it is over
// the fleet has to serve again. Slowed hosts, work that nobody waits for any more and clients that come again
// keep a fleet down that goes on sending them as much as they can just bear (a metastable failure).
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <queue>
#include <random>

#include "support.h"

namespace load_balancer::test {
namespace {

constexpr int kClients = 40, kHosts = 30, kCores = 4, kTries = 3;
constexpr std::size_t kPlaces = 26;           // a host turns away what is beyond
constexpr Time kWork = 300 * kMs;             // mean, on one core of a host that is not slowed
constexpr double kLoad = 0.65, kBurst = 1.7;  // of what all hosts can do; times that, for five seconds
constexpr Time kBurstFrom = 8 * kSec, kBurstTo = 13 * kSec;
constexpr Time kComeAgain = 30 * kMs;  // after a refusal, or when a try was given up
// A host that holds so many a core for so long takes so many times as long, until it has held few for a rest.
constexpr double kCrowded = 4, kSlower = 2.5, kRested = 1.5;
constexpr Time kCrowdedFor = 1900 * kMs, kRest = 3900 * kMs;

Settings patientSettings() {
  Settings s = makeSettings();
  RequestClass c;
  c.latency_objective = 1200 * kMs, c.deadline = 3 * kSec, c.idempotency = Idempotency::Idempotent;
  s.classes = {c};
  s.max_attempts = 4;
  s.may_cancel = s.may_health_check = s.retry_after = true;
  s.max_retry_after = 2 * kSec;
  return s;
}

class ChokingFleet {
 public:
  explicit ChokingFleet(std::uint64_t seed) : random_(seed) {
    std::vector<Host> list;
    for (int h = 0; h < kHosts; ++h) list.push_back(makeHost(h));
    for (int c = 0; c < kClients; ++c) {
      Settings s = patientSettings();
      s.client = static_cast<std::uint32_t>(c);
      clients_.push_back({Balancer(s, seed + s.client), {}});
      tell(c, [&](Balancer& b, Actions& out) { b.onServers(now_, ListKind::Restored, list, out); });
      arrive(c);
    }
  }
  void runUntil(Time end) {
    while (!events_.empty() && events_.top().when <= kStart + end) {
      const Event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.happen();
    }
  }
  // Of the users that came in this second, the part that had an answer in time.
  double served(int second) const {
    const auto s = static_cast<std::size_t>(second);
    return static_cast<double>(in_time_[s]) / std::max(1, came_[s]);
  }

 private:
  struct Job {
    int client;
    RequestId request;
    std::int32_t attempt;
    Time work;
  };
  struct Machine {
    std::deque<Job> waiting;
    int busy = 0;
    bool slowed = false;
    Time since = -1;  // it is crowded, or has rest if it is slowed; -1: neither
    std::size_t held() const { return waiting.size() + static_cast<std::size_t>(busy); }
  };
  struct User {
    Time came, work;
    int tries = 0;
  };
  struct Try {
    User user;
    bool open = true;  // the user waits
    std::vector<bool> over;
    std::vector<Time> sent;
  };
  struct Client {
    Balancer balancer;
    std::map<RequestId, Try> tries;
  };
  struct Event {
    Time when;
    std::uint64_t order;
    std::function<void()> happen;
    bool operator<(const Event& o) const { return when != o.when ? when > o.when : order > o.order; }
  };

  void after(Time wait, std::function<void()> happen) {
    events_.push({now_ + std::max<Time>(wait, 1), order_++, std::move(happen)});
  }
  Time drawn(double mean) {
    return static_cast<Time>(std::exponential_distribution<>(1 / mean)(random_)) + 1;
  }
  template <typename Call>
  void tell(int client, Call call) {
    Actions out;
    call(clients_[static_cast<std::size_t>(client)].balancer, out);
    for (const Action& a : out) act(client, a);
  }
  Try& tryOf(int client, RequestId id) { return clients_[static_cast<std::size_t>(client)].tries.at(id); }

  void arrive(int client) {
    const Time since = now_ - kStart;
    const double now_times = since >= kBurstFrom && since < kBurstTo ? kBurst : 1;
    const double gap = static_cast<double>(kWork) * kClients / (kLoad * now_times * kHosts * kCores);
    after(drawn(gap), [=, this] {
      ++came_[static_cast<std::size_t>((now_ - kStart) / kSec)];
      begin(client, {now_, drawn(static_cast<double>(kWork))});
      arrive(client);
    });
  }
  void begin(int client, User user) {
    ++user.tries;
    const RequestId id = ++last_id_;
    clients_[static_cast<std::size_t>(client)].tries[id] = {user, true, {}, {}};
    const Time patience = patientSettings().classes[0].deadline / 2;
    tell(client,
         [&](Balancer& b, Actions& out) { b.onRequest(now_, {.id = id, .time_left = patience}, out); });
    after(patience, [=, this] {
      if (!tryOf(client, id).open) return;
      tell(client, [&](Balancer& b, Actions& out) { b.onClientDisconnected(now_, id, out); });
      giveUp(client, id);
    });
  }
  void giveUp(int client, RequestId id) {
    Try& t = tryOf(client, id);
    if (!std::exchange(t.open, false) || t.user.tries == kTries) return;
    after(kComeAgain, [=, this, user = t.user] { begin(client, user); });
  }
  void act(int client, const Action& a) {
    const RequestId id = a.request;
    switch (a.kind) {
      case ActionKind::Send:
        return send(client, id, std::stoi(std::string(a.server.substr(7))), a.time);
      case ActionKind::Reject:
      case ActionKind::Fail:
        return giveUp(client, id);
      case ActionKind::Cancel:
        return end(client, id, a.attempt, Result::Cancelled);
      case ActionKind::HealthCheck:
        return after(kMs, [=, this, server = std::string(a.server)] {
          tell(client, [&](Balancer& b, Actions& out) { b.onHealthCheck(now_, server, true, kMs, {}, out); });
        });
      case ActionKind::SetTimer:
        return after(a.time - now_, [=, this, timer = a.timer] {
          tell(client, [&](Balancer& b, Actions& out) { b.onTimer(now_, timer, out); });
        });
      default:
        return;
    }
  }

  // A host works off what it has taken, whether or not somebody waits for it.
  void send(int client, RequestId id, int host, Time limit) {
    Try& t = tryOf(client, id);
    const auto attempt = static_cast<std::int32_t>(t.over.size());
    t.over.push_back(false);
    t.sent.push_back(now_);
    after(limit, [=, this] { end(client, id, attempt, Result::TimedOut); });
    Machine& h = hosts_[static_cast<std::size_t>(host)];
    if (h.held() == kPlaces) return after(kMs, [=, this] { end(client, id, attempt, Result::Rejected); });
    h.waiting.push_back({client, id, attempt, t.user.work});
    work(host);
  }
  void work(int host) {
    Machine& h = hosts_[static_cast<std::size_t>(host)];
    crowd(h);
    while (h.busy < kCores && !h.waiting.empty()) {
      const Job job = h.waiting.front();
      h.waiting.pop_front();
      ++h.busy;
      after(static_cast<Time>(static_cast<double>(job.work) * (h.slowed ? kSlower : 1)), [=, this] {
        --hosts_[static_cast<std::size_t>(host)].busy;
        end(job.client, job.request, job.attempt, Result::Ok);
        work(host);
      });
    }
  }
  void crowd(Machine& h) const {
    const double a_core = static_cast<double>(h.held()) / kCores;
    const bool turning = h.slowed ? a_core < kRested : a_core >= kCrowded;
    if (!turning) h.since = -1;
    if (turning && h.since < 0) h.since = now_;
    if (!turning || now_ - h.since < (h.slowed ? kRest : kCrowdedFor)) return;
    h.slowed = !h.slowed;
    h.since = -1;
  }

  void end(int client, RequestId id, std::int32_t attempt, Result result) {
    Try& t = tryOf(client, id);
    const auto n = static_cast<std::size_t>(attempt);
    if (t.over[n]) return;
    t.over[n] = true;
    Outcome o;
    o.request = id, o.attempt = attempt, o.result = result, o.latency = now_ - t.sent[n];
    if (result == Result::Ok && std::exchange(t.open, false)) {
      const bool in_time = now_ - t.user.came <= patientSettings().classes[0].latency_objective;
      in_time_[static_cast<std::size_t>((t.user.came - kStart) / kSec)] += in_time ? 1 : 0;
    }
    o.final = !t.open;
    tell(client, [&](Balancer& b, Actions& out) { b.onOutcome(now_, o, out); });
  }

  std::mt19937_64 random_;
  Time now_ = kStart;
  std::uint64_t order_ = 0;
  RequestId last_id_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Client> clients_;
  std::vector<Machine> hosts_ = std::vector<Machine>(kHosts);
  std::vector<int> came_ = std::vector<int>(60), in_time_ = std::vector<int>(60);
};

class Overload : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Overload, OfHostsThatSlowDownWhenCrowdedEndsWithTheBurst) {
  ChokingFleet fleet(GetParam());
  fleet.runUntil(30 * kSec);
  double before = 0, during = 0, afterwards = 0;
  for (int s = 3; s < 8; ++s) before += fleet.served(s) / 5;
  for (int s = 8; s < 13; ++s) during += fleet.served(s) / 5;
  for (int s = 15; s < 25; ++s) afterwards += fleet.served(s) / 10;
  EXPECT_GT(before, 0.88);
  EXPECT_GT(during, 0.55) << "of one and a tenth of what the hosts can do";
  EXPECT_GT(afterwards, 0.7) << "two seconds after the burst";
}

INSTANTIATE_TEST_SUITE_P(Seeds, Overload, ::testing::Range<std::uint64_t>(1, 6));

}  // namespace
}  // namespace load_balancer::test
