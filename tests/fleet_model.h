// A fleet in one process: decision modules as compiled into the daemon, against one model of hosts and of a
// discovery that is overbooked. Time is a number and chance is seeded, so a run is the same every time. Hosts
// queue first come first served, start cold, hold so many connections; what all clients together do to each
// of them is counted by steps of 100 ms.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "support.h"

namespace load_balancer::test {

// As a site's that has many clients.
inline Settings fleetSettings() {
  Settings s;
  RequestClass safe, unsafe;
  safe.latency_objective = 800 * kMs, safe.deadline = 2500 * kMs, safe.idempotency = Idempotency::Idempotent;
  unsafe.latency_objective = kSec, unsafe.deadline = 2500 * kMs,
  unsafe.idempotency = Idempotency::NonIdempotent;
  s.classes = {safe, safe, unsafe};
  s.discovery = Discovery::Poll;
  s.max_attempts = 6;
  s.may_health_check = s.may_cancel = true;
  s.slow_start_initial_capacity = 0.32;
  s.slow_start_duration = 8900 * kMs;
  s.slow_start_overload_factor = 3;
  s.slow_start_overload_window = 2 * kSec;
  s.poll_interval = 10 * kSec;
  s.tick = 5 * kMs;
  return s;
}

class FleetModel {
 public:
  struct Shape {
    std::uint32_t clients = 48, hosts = 40;
    double rate = 10;      // requests a second of each client
    double hot = 1;        // times that, of every tenth client
    Time work = 85 * kMs;  // mean, on one core of a warm host
    int cores = 2;
    std::size_t connections = 1000;  // that a host holds
    std::size_t queue = 40;          // that wait at a host
    Time network = 2 * kMs;          // one way
    Time idle = 7 * kSec;            // a connection is kept so long
    Time all_calls = 8 * kSec;       // discovery takes a call from every client in this time
    Time patience = kSec;            // of a call on discovery
    std::int32_t zones = 3;          // hosts lie in them in turn
    Time connect = 250 * kMs;        // until a connection that does not come up is given up
  };
  static constexpr Time kStep = 100 * kMs;

  // What happened at one place, by steps since the start.
  class Count {
   public:
    void note(Time since_start) {
      const auto step = static_cast<std::size_t>(since_start / kStep);
      if (steps_.size() <= step) steps_.resize(step + 1);
      ++steps_[step];
    }
    // The most within any `span`.
    std::uint32_t most(Time span = kStep) const {
      const auto steps = static_cast<std::size_t>(span / kStep);
      std::uint32_t within = 0, most = 0;
      for (std::size_t i = 0; i < steps_.size(); ++i) {
        within += steps_[i];
        if (i >= steps) within -= steps_[i - steps];
        most = std::max(most, within);
      }
      return most;
    }
    std::uint32_t between(Time from, Time to) const {  // since the start
      std::uint32_t n = 0;
      for (auto i = static_cast<std::size_t>(from / kStep);
           i < std::min(steps_.size(), static_cast<std::size_t>(to / kStep)); ++i)
        n += steps_[i];
      return n;
    }
    std::uint32_t all() const {
      std::uint32_t n = 0;
      for (const std::uint32_t s : steps_) n += s;
      return n;
    }

   private:
    std::vector<std::uint32_t> steps_;
  };
  struct Machine {
    Host listed;
    Time started = 0;        // in true time, which `listed` may not tell; 0: long ago
    std::uint64_t life = 0;  // restarts so far: what an earlier life had in work is reset
    bool up = true, silent = false;
    std::vector<Time> free_at;  // by core
    std::size_t open = 0, most_open = 0;
    Count sends, cold_sends, connects, probes;
  };

  FleetModel(const Shape& shape, const Settings& settings, std::uint64_t seed)
      : shape_(shape), settings_(settings), random_(seed), now_(kStart) {
    for (std::uint32_t h = 0; h < shape.hosts; ++h) addHost(0);
    clients_.resize(shape.clients);
    for (std::uint32_t c = 0; c < shape.clients; ++c) {
      begin(c);
      arrive(c);
    }
  }

  // ---- what may happen to it ----

  void runFor(Time time) {
    const Time end = now_ + time;
    while (!events_.empty() && events_.top().when <= end) {
      const Event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.happen();
    }
    now_ = end;
  }
  // At once, knowing only the list they had.
  void restartClients(double part) {
    for (std::uint32_t c = 0; c < clients_.size(); ++c) {
      if (chance() >= part) continue;
      restarted_ += 1;
      for (const auto& [h, held] : clients_[c].held) hosts_[h].open -= held;
      begin(c);
    }
  }
  void stopHost(std::size_t host) { hosts_[host].up = false; }
  // Arrivals at all clients from now on, as a multiple of the ordinary ones.
  void setLoad(double factor) { load_ = factor; }
  // They start anew at once, cold, and every client that watches is told. `clock_error`: of the clock that
  // tells when they started, against the clients' own.
  void restartHosts(std::size_t from, std::size_t to, Time clock_error = 0) {
    std::vector<Host> news;
    for (std::size_t h = from; h < to; ++h) {
      Machine& host = hosts_[h];
      ++host.life;
      host.started = now_;
      host.listed.started_at = now_ + clock_error;
      std::fill(host.free_at.begin(), host.free_at.end(), now_);
      news.push_back(host.listed);
    }
    tellWatchers(news);
  }
  // Nothing comes from there any more, no reset either; or again.
  void setUnresponsive(std::int32_t zone, bool silent) {
    for (Machine& h : hosts_) h.silent = h.listed.zone == zone ? silent : h.silent;
  }
  // What all hold of a zone; a few look after it.
  void setZoneDirective(std::int32_t zone, ZoneDirective order, std::size_t watchers) {
    for (std::size_t c = 0; c < clients_.size(); ++c) {
      const ZoneDirective own =
          c < watchers && order == ZoneDirective::Eject ? ZoneDirective::EjectAndCheck : order;
      tell(clients_[c], [&](Actions& out) { clients_[c].balancer->setZone(now_, zone, own, out); });
    }
  }
  // The same for one client, and what it has seen itself.
  void setZoneDirective(std::size_t client, std::int32_t zone, ZoneDirective order) {
    Client& c = clients_[client];
    tell(c, [&](Actions& out) { c.balancer->setZone(now_, zone, order, out); });
  }
  ZoneObservation zoneObservation(std::size_t client, std::int32_t zone, const ZoneObservedSince& since) {
    return clients_[client].balancer->observeZone(now_, zone, since);
  }
  Time now() const { return now_; }
  // Cold ones, told to every client that watches in the same moment.
  void addColdHosts(std::size_t count) {
    std::vector<Host> news;
    for (std::size_t i = 0; i < count; ++i) news.push_back(hosts_[addHost(now_)].listed);
    tellWatchers(news);
  }

  // ---- what came of it ----

  const std::vector<Machine>& hosts() const { return hosts_; }
  const Count& rejected() const { return refused_; }
  const Count& failed() const { return failed_; }
  const Count& discoveryCalls() const { return calls_; }
  std::uint32_t restarted() const { return restarted_; }
  std::uint64_t requests() const { return asked_; }
  std::uint64_t successes() const { return answered_; }
  std::size_t watching() const {
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(), [](const Client& c) { return c.watches; }));
  }
  // What the clients' own checks have stopped.
  std::uint64_t violations() const {
    std::uint64_t all = 0;
    for (const Client& c : clients_) {
      const RuleViolations counts = c.balancer->ruleViolations();
      all += counts.lost + counts.duplicate + counts.drain + counts.failback;
    }
    return all;
  }
  // Requests that a warm host serves in this time.
  double capacity(Time span) const {
    return shape_.cores * static_cast<double>(span) / static_cast<double>(shape_.work);
  }

 private:
  struct Attempt {
    std::size_t host = 0;
    bool over = false;
  };
  struct Client {
    std::unique_ptr<Balancer> balancer;
    std::uint64_t life = 0;  // restarts so far: what an earlier life began means nothing
    bool watches = false;
    std::map<std::size_t, std::size_t> idle, held;  // connections by host: at rest, and all
    std::unordered_map<RequestId, std::vector<Attempt>> attempts;
    Actions actions;
  };
  struct Event {
    Time when;
    std::uint64_t order;
    std::function<void()> happen;
    bool operator<(const Event& o) const { return when != o.when ? when > o.when : order > o.order; }
  };

  double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  Time drawn(double mean) {
    return static_cast<Time>(std::exponential_distribution<double>(1 / mean)(random_)) + 1;
  }
  void at(Time when, std::function<void()> happen) {
    events_.push({std::max(when, now_), order_++, std::move(happen)});
  }
  // For a client of this life only.
  void later(Client& c, Time when, std::function<void()> happen) {
    at(when, [&c, life = c.life, happen = std::move(happen)] {
      if (c.life == life) happen();
    });
  }

  std::size_t addHost(Time started_at) {
    Machine h;
    h.listed = makeHost(static_cast<int>(hosts_.size()));
    h.listed.started_at = h.started = started_at;
    h.listed.zone = static_cast<std::int32_t>(hosts_.size()) % shape_.zones;
    h.free_at.assign(static_cast<std::size_t>(shape_.cores), 0);
    index_[h.listed.id] = hosts_.size();
    hosts_.push_back(std::move(h));
    return hosts_.size() - 1;
  }

  void tellWatchers(const std::vector<Host>& news) {
    for (Client& c : clients_) {
      if (c.watches)
        tell(c, [&](Actions& out) { c.balancer->onServers(now_, ListKind::Changes, news, out); });
    }
  }

  std::vector<Host> list() const {
    std::vector<Host> all;
    for (const Machine& h : hosts_) all.push_back(h.listed);
    return all;
  }

  void begin(std::uint32_t number) {
    Client& c = clients_[number];
    ++c.life;
    c.watches = false;
    c.idle.clear();
    c.held.clear();
    c.attempts.clear();
    Settings s = settings_;
    s.client = number;
    s.clients = shape_.clients;
    c.balancer = std::make_unique<Balancer>(s, random_());
    const std::vector<Host> known = list();
    tell(c, [&](Actions& out) { c.balancer->onServers(now_, ListKind::Restored, known, out); });
  }

  void arrive(std::uint32_t number) {
    const double rate = shape_.rate * (number % 10 == 0 ? shape_.hot : 1);
    at(now_ + drawn(1e6 / (rate * load_)), [this, number] {
      Client& c = clients_[number];
      Request r;
      r.id = ++asked_;
      r.request_class = static_cast<std::int32_t>(r.id % settings_.classes.size());
      r.time_left = settings_.classes[static_cast<std::size_t>(r.request_class)].deadline;
      tell(c, [&](Actions& out) { c.balancer->onRequest(now_, r, out); });
      arrive(number);
    });
  }

  template <typename Call>
  void tell(Client& c, Call call) {
    c.actions.clear();
    call(c.actions);
    const Actions todo = std::move(c.actions);
    c.actions = {};
    for (const Action& a : todo) act(c, a);
  }

  void act(Client& c, const Action& a) {
    switch (a.kind) {
      case ActionKind::Send:
        return send(c, a.request, index_.at(std::string(a.server)), a.time);
      case ActionKind::HealthCheck:
        return probe(c, std::string(a.server));
      case ActionKind::Subscribe:
        return subscribe(c);
      case ActionKind::SetTimer:
        return later(c, a.time, [this, &c, timer = a.timer] {
          tell(c, [&](Actions& out) { c.balancer->onTimer(now_, timer, out); });
        });
      case ActionKind::Reject:
        return refused_.note(now_ - kStart);
      case ActionKind::Fail:
        return failed_.note(now_ - kStart);
      default:
        return;
    }
  }

  void send(Client& c, RequestId id, std::size_t host, Time limit) {
    Machine& h = hosts_[host];
    auto& attempts = c.attempts[id];
    const auto number = static_cast<std::int32_t>(attempts.size());
    attempts.push_back({host, false});
    const Time round = 2 * shape_.network;
    std::size_t& idle = c.idle[host];
    if (idle > 0) {
      --idle;
    } else {
      h.connects.note(now_ - kStart);
      if (h.silent)
        return later(c, now_ + std::min(limit, shape_.connect), [=, this, &c] {
          end(c, id, number, Result::ConnectFailed, std::min(limit, shape_.connect));
        });
      if (!h.up || h.open >= shape_.connections)
        return later(c, now_ + round, [=, this, &c] { end(c, id, number, Result::ConnectFailed, round); });
      h.most_open = std::max(h.most_open, ++h.open);
      ++c.held[host];
    }
    h.sends.note(now_ - kStart);
    if (h.started != 0 && now_ - h.started < settings_.slow_start_duration) h.cold_sends.note(now_ - kStart);
    if (!h.up) return later(c, now_ + round, [=, this, &c] { end(c, id, number, Result::Reset, round); });
    Time& core = *std::min_element(h.free_at.begin(), h.free_at.end());
    const Time begins = std::max(now_ + shape_.network, core);
    if (begins - now_ > static_cast<Time>(shape_.queue) * shape_.work / shape_.cores)
      return later(c, now_ + round, [=, this, &c] { end(c, id, number, Result::Rejected, round); });
    core =
        begins + static_cast<Time>(static_cast<double>(drawn(static_cast<double>(shape_.work))) / warmth(h));
    const Time taken = core - now_ + shape_.network;
    const Time sent = now_;
    if (taken <= limit) {
      later(c, now_ + taken, [=, this, &c, life = h.life] {
        if (hosts_[host].life != life) return end(c, id, number, Result::Reset, taken);
        if (!hosts_[host].silent) return end(c, id, number, Result::Ok, taken);
        later(c, sent + limit, [=, this, &c] { end(c, id, number, Result::TimedOut, limit); });
      });
    } else {
      later(c, now_ + limit, [=, this, &c] { end(c, id, number, Result::TimedOut, limit); });
    }
  }

  double warmth(const Machine& h) const {
    if (h.started == 0) return 1;
    const double age =
        static_cast<double>(now_ - h.started) / static_cast<double>(settings_.slow_start_duration);
    return std::min(
        1.0, settings_.slow_start_initial_capacity + (1 - settings_.slow_start_initial_capacity) * age);
  }

  void end(Client& c, RequestId id, std::int32_t number, Result result, Time latency) {
    Attempt& a = c.attempts[id][static_cast<std::size_t>(number)];
    if (std::exchange(a.over, true)) return;
    const std::size_t host = a.host;
    if (result == Result::Ok || result == Result::Rejected) {
      ++c.idle[host];
      later(c, now_ + shape_.idle, [this, &c, host] {
        if (c.idle[host] == 0) return;
        --c.idle[host];
        close(c, host);
      });
    } else if (result != Result::ConnectFailed) {
      close(c, host);  // given up by that
    }
    answered_ += result == Result::Ok ? 1U : 0U;
    Outcome o;
    o.request = id;
    o.attempt = number;
    o.result = result;
    o.final = result == Result::Ok;
    o.latency = latency;
    tell(c, [&](Actions& out) { c.balancer->onOutcome(now_, o, out); });
  }

  void close(Client& c, std::size_t host) {
    --c.held[host];
    --hosts_[host].open;
  }

  void probe(Client& c, const std::string& id) {
    Machine& h = hosts_[index_.at(id)];
    h.probes.note(now_ - kStart);
    later(c, now_ + (h.silent ? shape_.connect : 2 * shape_.network), [this, &c, id, up = h.up && !h.silent] {
      tell(c, [&](Actions& out) { c.balancer->onHealthCheck(now_, id, up, 2 * shape_.network, {}, out); });
    });
  }

  // Calls are worked off in turn; one that would wait too long fails when its time is up.
  void subscribe(Client& c) {
    calls_.note(now_ - kStart);
    const Time cost = shape_.all_calls / static_cast<Time>(clients_.size());
    const bool served = discovery_free_ + cost <= now_ + shape_.patience;
    if (served) discovery_free_ = std::max(discovery_free_, now_) + cost;
    later(c, served ? discovery_free_ : now_ + shape_.patience, [this, &c, served] {
      c.watches = served;
      const std::vector<Host> news = served ? list() : std::vector<Host>();
      tell(c, [&](Actions& out) {
        c.balancer->onServers(now_, served ? ListKind::Full : ListKind::Unavailable, news, out);
      });
    });
  }

  const Shape shape_;
  const Settings settings_;
  std::mt19937_64 random_;
  Time now_;
  std::uint64_t order_ = 0, asked_ = 0, answered_ = 0;
  std::uint32_t restarted_ = 0;
  double load_ = 1;
  std::priority_queue<Event> events_;
  std::vector<Machine> hosts_;
  std::unordered_map<std::string, std::size_t> index_;
  std::vector<Client> clients_;
  Time discovery_free_ = 0;
  Count calls_, refused_, failed_;
};

}  // namespace load_balancer::test
