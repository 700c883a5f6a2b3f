// A short overload of hosts that slow down under load and recover only after a time of low load: when the
// burst is over, the fleet must serve again. Guards against a metastable failure: slowed hosts, work on
// requests whose clients have stopped waiting, and retries of clients keep the fleet overloaded unless
// clients reduce their load below what the hosts can just sustain.
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <queue>
#include <random>

#include "support.h"

namespace load_balancer::test {
namespace {

constexpr int kClients = 40, kHosts = 30, kCores = 4, kMaxTries = 3;
constexpr std::size_t kMaxHeld = 26;          // requests that a host queues or processes; it rejects more
constexpr Time kWork = 300 * kMs;             // mean per request, on one core of a host that is not slowed
constexpr double kLoad = 0.65, kBurst = 1.7;  // of the capacity of all hosts; factor during the burst of 5 s
constexpr Time kBurstFrom = 8 * kSec, kBurstTo = 13 * kSec;
constexpr Time kRetryDelay = 30 * kMs;  // of a user, after a rejected, failed or timed out try
// A host that holds at least kSlowdownLoad requests per core for kSlowdownDelay takes kSlowdownFactor times
// as long per request, until it has held fewer than kRecoveryLoad per core for kRecoveryDelay.
constexpr double kSlowdownLoad = 4, kSlowdownFactor = 2.5, kRecoveryLoad = 1.5;
constexpr Time kSlowdownDelay = 1900 * kMs, kRecoveryDelay = 3900 * kMs;

Settings overloadSettings() {
  Settings s = makeSettings();
  RequestClass c;
  c.latency_objective = 1200 * kMs, c.deadline = 3 * kSec, c.idempotency = Idempotency::Idempotent;
  s.classes = {c};
  s.max_attempts = 4;
  s.may_cancel = s.may_health_check = s.retry_after = true;
  s.max_retry_after = 2 * kSec;
  return s;
}

class DegradingFleet {
 public:
  explicit DegradingFleet(std::uint64_t seed) : random_(seed) {
    std::vector<Host> list;
    for (int h = 0; h < kHosts; ++h) list.push_back(makeHost(h));
    for (int c = 0; c < kClients; ++c) {
      Settings s = overloadSettings();
      s.client = static_cast<std::uint32_t>(c);
      clients_.push_back({Balancer(s, seed + s.client), {}});
      notify(c, [&](Balancer& b, Actions& out) { b.onServers(now_, ListKind::Restored, list, out); });
      scheduleArrival(c);
    }
  }
  void runUntil(Time end) {
    while (!events_.empty() && events_.top().when <= kStart + end) {
      const Event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.callback();
    }
  }
  // The fraction of the users that arrived in this second who got a response within the latency objective.
  double fractionServed(int second) const {
    const auto s = static_cast<std::size_t>(second);
    return static_cast<double>(in_time_[s]) / std::max(1, arrivals_[s]);
  }

 private:
  struct Job {
    int client;
    RequestId request;
    std::int32_t attempt;
    Time work;
  };
  struct HostModel {
    std::deque<Job> waiting;
    int busy = 0;
    bool slowed = false;
    Time changing_since = -1;  // start of high load, or of low load if slowed; -1: neither
    std::size_t held() const { return waiting.size() + static_cast<std::size_t>(busy); }
  };
  struct User {
    Time arrived, work;
    int tries = 0;
  };
  struct Try {
    User user;
    bool open = true;  // the user is waiting for a response
    std::vector<bool> ended;
    std::vector<Time> sent;
  };
  struct Client {
    Balancer balancer;
    std::map<RequestId, Try> tries;
  };
  struct Event {
    Time when;
    std::uint64_t order;
    std::function<void()> callback;
    bool operator<(const Event& o) const { return when != o.when ? when > o.when : order > o.order; }
  };

  void schedule(Time delay, std::function<void()> callback) {
    events_.push({now_ + std::max<Time>(delay, 1), order_++, std::move(callback)});
  }
  Time exponential(double mean) {
    return static_cast<Time>(std::exponential_distribution<>(1 / mean)(random_)) + 1;
  }
  template <typename Call>
  void notify(int client, Call call) {
    Actions out;
    call(clients_[static_cast<std::size_t>(client)].balancer, out);
    for (const Action& a : out) perform(client, a);
  }
  Try& findTry(int client, RequestId id) { return clients_[static_cast<std::size_t>(client)].tries.at(id); }

  void scheduleArrival(int client) {
    const Time since = now_ - kStart;
    const double load_factor = since >= kBurstFrom && since < kBurstTo ? kBurst : 1;
    const double gap = static_cast<double>(kWork) * kClients / (kLoad * load_factor * kHosts * kCores);
    schedule(exponential(gap), [=, this] {
      ++arrivals_[static_cast<std::size_t>((now_ - kStart) / kSec)];
      startTry(client, {now_, exponential(static_cast<double>(kWork))});
      scheduleArrival(client);
    });
  }
  void startTry(int client, User user) {
    ++user.tries;
    const RequestId id = ++last_id_;
    clients_[static_cast<std::size_t>(client)].tries[id] = {user, true, {}, {}};
    const Time time_left = overloadSettings().classes[0].deadline / 2;
    notify(client,
           [&](Balancer& b, Actions& out) { b.onRequest(now_, {.id = id, .time_left = time_left}, out); });
    schedule(time_left, [=, this] {
      if (!findTry(client, id).open) return;
      notify(client, [&](Balancer& b, Actions& out) { b.onClientDisconnected(now_, id, out); });
      endTry(client, id);
    });
  }
  void endTry(int client, RequestId id) {
    Try& t = findTry(client, id);
    if (!std::exchange(t.open, false) || t.user.tries == kMaxTries) return;
    schedule(kRetryDelay, [=, this, user = t.user] { startTry(client, user); });
  }
  void perform(int client, const Action& a) {
    const RequestId id = a.request;
    switch (a.kind) {
      case ActionKind::Send:
        return send(client, id, std::stoi(std::string(a.server.substr(7))), a.time);
      case ActionKind::Reject:
      case ActionKind::Fail:
        return endTry(client, id);
      case ActionKind::Cancel:
        return endAttempt(client, id, a.attempt, Result::Cancelled);
      case ActionKind::HealthCheck:
        return schedule(kMs, [=, this, server = std::string(a.server)] {
          notify(client,
                 [&](Balancer& b, Actions& out) { b.onHealthCheck(now_, server, true, kMs, {}, out); });
        });
      case ActionKind::SetTimer:
        return schedule(a.time - now_, [=, this, timer = a.timer] {
          notify(client, [&](Balancer& b, Actions& out) { b.onTimer(now_, timer, out); });
        });
      default:
        return;
    }
  }

  // A host processes every request that it has accepted, even if the client has stopped waiting.
  void send(int client, RequestId id, int host, Time limit) {
    Try& t = findTry(client, id);
    const auto attempt = static_cast<std::int32_t>(t.ended.size());
    t.ended.push_back(false);
    t.sent.push_back(now_);
    schedule(limit, [=, this] { endAttempt(client, id, attempt, Result::TimedOut); });
    HostModel& h = hosts_[static_cast<std::size_t>(host)];
    if (h.held() == kMaxHeld)
      return schedule(kMs, [=, this] { endAttempt(client, id, attempt, Result::Rejected); });
    h.waiting.push_back({client, id, attempt, t.user.work});
    processQueue(host);
  }
  void processQueue(int host) {
    HostModel& h = hosts_[static_cast<std::size_t>(host)];
    updateSlowdown(h);
    while (h.busy < kCores && !h.waiting.empty()) {
      const Job job = h.waiting.front();
      h.waiting.pop_front();
      ++h.busy;
      schedule(static_cast<Time>(static_cast<double>(job.work) * (h.slowed ? kSlowdownFactor : 1)),
               [=, this] {
                 --hosts_[static_cast<std::size_t>(host)].busy;
                 endAttempt(job.client, job.request, job.attempt, Result::Ok);
                 processQueue(host);
               });
    }
  }
  void updateSlowdown(HostModel& h) const {
    const double held_per_core = static_cast<double>(h.held()) / kCores;
    const bool changing = h.slowed ? held_per_core < kRecoveryLoad : held_per_core >= kSlowdownLoad;
    if (!changing) h.changing_since = -1;
    if (changing && h.changing_since < 0) h.changing_since = now_;
    if (!changing || now_ - h.changing_since < (h.slowed ? kRecoveryDelay : kSlowdownDelay)) return;
    h.slowed = !h.slowed;
    h.changing_since = -1;
  }

  void endAttempt(int client, RequestId id, std::int32_t attempt, Result result) {
    Try& t = findTry(client, id);
    const auto n = static_cast<std::size_t>(attempt);
    if (t.ended[n]) return;
    t.ended[n] = true;
    Outcome o;
    o.request = id, o.attempt = attempt, o.result = result, o.latency = now_ - t.sent[n];
    if (result == Result::Ok && std::exchange(t.open, false)) {
      const bool in_time = now_ - t.user.arrived <= overloadSettings().classes[0].latency_objective;
      in_time_[static_cast<std::size_t>((t.user.arrived - kStart) / kSec)] += in_time ? 1 : 0;
    }
    o.final = !t.open;
    notify(client, [&](Balancer& b, Actions& out) { b.onOutcome(now_, o, out); });
  }

  std::mt19937_64 random_;
  Time now_ = kStart;
  std::uint64_t order_ = 0;
  RequestId last_id_ = 0;
  std::priority_queue<Event> events_;
  std::vector<Client> clients_;
  std::vector<HostModel> hosts_ = std::vector<HostModel>(kHosts);
  std::vector<int> arrivals_ = std::vector<int>(60), in_time_ = std::vector<int>(60);
};

class Overload : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(Overload, FleetOfHostsThatSlowDownUnderLoadRecoversAfterABurst) {
  DegradingFleet fleet(GetParam());
  fleet.runUntil(30 * kSec);
  double before = 0, during = 0, afterwards = 0;
  for (int s = 3; s < 8; ++s) before += fleet.fractionServed(s) / 5;
  for (int s = 8; s < 13; ++s) during += fleet.fractionServed(s) / 5;
  for (int s = 15; s < 25; ++s) afterwards += fleet.fractionServed(s) / 10;
  EXPECT_GT(before, 0.88);
  EXPECT_GT(during, 0.55) << "at a load of 1.1 times the capacity of the hosts";
  EXPECT_GT(afterwards, 0.7) << "from two seconds after the burst on";
}

INSTANTIATE_TEST_SUITE_P(Seeds, Overload, ::testing::Range<std::uint64_t>(1, 6));

}  // namespace
}  // namespace load_balancer::test
