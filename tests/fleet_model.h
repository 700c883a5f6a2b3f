// A fleet in one process: decision modules as compiled into the daemon, with a model of the hosts and of a
// discovery service of limited throughput. Time is simulated and random numbers are seeded, so that runs are
// reproducible. Hosts serve requests in the order of arrival, need a slow start, and hold a limited number of
// connections; the load of all clients together on each host is counted in steps of 100 ms.
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

// Settings of a site that has many clients.
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
    double hot = 1;        // the rate of every tenth client, as a multiple of `rate`
    Time work = 85 * kMs;  // mean service time of a request, on one core of a host after its slow start
    int cores = 2;
    std::size_t connections = 1000;    // of a host, at most
    std::size_t queue = 40;            // requests that wait at a host, at most
    Time network = 2 * kMs;            // latency one way
    Time idle_timeout = 7 * kSec;      // of a connection
    Time all_calls = 8 * kSec;         // the time in which discovery serves one call of every client
    Time discovery_timeout = kSec;     // of a call
    std::int32_t zones = 3;            // hosts are assigned to them in turn
    Time connect_timeout = 250 * kMs;  // of a connection attempt
  };
  static constexpr Time kStep = 100 * kMs;

  // A count of events by steps since the start.
  class Count {
   public:
    void add(Time since_start) {
      const auto step = static_cast<std::size_t>(since_start / kStep);
      if (steps_.size() <= step) steps_.resize(step + 1);
      ++steps_[step];
    }
    // The highest count within any `span`.
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
    std::uint32_t between(Time from, Time to) const {  // times since the start
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
  // A host and what all clients together have sent to it.
  struct Machine {
    Host listed;
    // In the model's time, from which that in `listed` may differ by a clock error; 0: long before the start.
    Time started = 0;
    std::uint64_t generation = 0;  // grows with each restart, which resets requests in work
    bool up = true, unresponsive = false;
    std::vector<Time> free_at;            // by core
    std::size_t open = 0, most_open = 0;  // connections: now, and at most so far
    Count sends, cold_sends, connects, probes;
  };

  FleetModel(const Shape& shape, const Settings& settings, std::uint64_t seed)
      : shape_(shape), settings_(settings), random_(seed), now_(kStart) {
    for (std::uint32_t h = 0; h < shape.hosts; ++h) addHost(0);
    clients_.resize(shape.clients);
    for (std::uint32_t c = 0; c < shape.clients; ++c) {
      start(c);
      arrive(c);
    }
  }

  // ---- events ----

  void runFor(Time time) {
    const Time end = now_ + time;
    while (!events_.empty() && events_.top().when <= end) {
      const Event next = events_.top();
      events_.pop();
      now_ = next.when;
      next.handle();
    }
    now_ = end;
  }
  // Restarts this fraction of the clients at once; each has only the stored list of hosts.
  void restartClients(double part) {
    for (std::uint32_t c = 0; c < clients_.size(); ++c) {
      if (uniform() >= part) continue;
      restarted_ += 1;
      for (const auto& [h, held] : clients_[c].held) hosts_[h].open -= held;
      start(c);
    }
  }
  void stopHost(std::size_t host) { hosts_[host].up = false; }
  // Sets the arrival rate at all clients from now on, as a multiple of the rate in Shape.
  void setLoad(double factor) { load_ = factor; }
  // Restarts hosts at once, which then need a slow start; every client that watches discovery is notified.
  // `clock_error`: how far the clock that reports their start is ahead of the clients' clocks.
  void restartHosts(std::size_t from, std::size_t to, Time clock_error = 0) {
    std::vector<Host> changed;
    for (std::size_t h = from; h < to; ++h) {
      Machine& host = hosts_[h];
      ++host.generation;
      host.started = now_;
      host.listed.started_at = now_ + clock_error;
      std::fill(host.free_at.begin(), host.free_at.end(), now_);
      changed.push_back(host.listed);
    }
    notifyWatchers(changed);
  }
  // Whether the hosts of a zone send nothing at all, not even a reset of a connection.
  void setUnresponsive(std::int32_t zone, bool unresponsive) {
    for (Machine& h : hosts_) h.unresponsive = h.listed.zone == zone ? unresponsive : h.unresponsive;
  }
  // Sets the directive on a zone at all clients; with Eject the first `checkers` of them check its hosts.
  void setZoneDirective(std::int32_t zone, ZoneDirective directive, std::size_t checkers) {
    for (std::size_t c = 0; c < clients_.size(); ++c) {
      const ZoneDirective own =
          c < checkers && directive == ZoneDirective::Eject ? ZoneDirective::EjectAndCheck : directive;
      call(clients_[c], [&](Actions& out) { clients_[c].balancer->setZone(now_, zone, own, out); });
    }
  }
  // The same for one client.
  void setZoneDirective(std::size_t client, std::int32_t zone, ZoneDirective directive) {
    Client& c = clients_[client];
    call(c, [&](Actions& out) { c.balancer->setZone(now_, zone, directive, out); });
  }
  // What this client has observed of a zone itself.
  ZoneObservation zoneObservation(std::size_t client, std::int32_t zone, const ZoneObservedSince& since) {
    return clients_[client].balancer->observeZone(now_, zone, since);
  }
  Time now() const { return now_; }
  // Adds hosts that need a slow start; every client that watches discovery is notified at once.
  void addColdHosts(std::size_t count) {
    std::vector<Host> changed;
    for (std::size_t i = 0; i < count; ++i) changed.push_back(hosts_[addHost(now_)].listed);
    notifyWatchers(changed);
  }

  // ---- results ----

  const std::vector<Machine>& hosts() const { return hosts_; }
  const Count& rejected() const { return rejected_; }
  const Count& failed() const { return failed_; }
  const Count& discoveryCalls() const { return calls_; }
  std::uint32_t restarted() const { return restarted_; }
  std::uint64_t requests() const { return requests_; }
  std::uint64_t successes() const { return successes_; }
  // Clients whose watch on discovery is established.
  std::size_t watching() const {
    return static_cast<std::size_t>(
        std::count_if(clients_.begin(), clients_.end(), [](const Client& c) { return c.watches; }));
  }
  // Rule violations that the clients' own checks have prevented.
  std::uint64_t violations() const {
    std::uint64_t all = 0;
    for (const Client& c : clients_) {
      const RuleViolations counts = c.balancer->ruleViolations();
      all += counts.lost + counts.duplicate + counts.drain + counts.failback;
    }
    return all;
  }
  // The number of requests that a host serves in this time after its slow start.
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
    std::uint64_t generation = 0;  // grows with each start, after which earlier events are ignored
    bool watches = false;
    std::map<std::size_t, std::size_t> idle, held;  // connections by host: the idle ones, and all
    std::unordered_map<RequestId, std::vector<Attempt>> attempts;
    Actions actions;
  };
  struct Event {
    Time when;
    std::uint64_t sequence;  // orders events of the same time
    std::function<void()> handle;
    bool operator<(const Event& o) const { return when != o.when ? when > o.when : sequence > o.sequence; }
  };

  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  Time exponential(double mean) {
    return static_cast<Time>(std::exponential_distribution<double>(1 / mean)(random_)) + 1;
  }
  void at(Time when, std::function<void()> handle) {
    events_.push({std::max(when, now_), next_sequence_++, std::move(handle)});
  }
  // Schedules an event that is ignored if the client has been restarted by then.
  void later(Client& c, Time when, std::function<void()> handle) {
    at(when, [&c, generation = c.generation, handle = std::move(handle)] {
      if (c.generation == generation) handle();
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

  void notifyWatchers(const std::vector<Host>& changed) {
    for (Client& c : clients_) {
      if (c.watches)
        call(c, [&](Actions& out) { c.balancer->onServers(now_, ListKind::Changes, changed, out); });
    }
  }

  std::vector<Host> list() const {
    std::vector<Host> all;
    for (const Machine& h : hosts_) all.push_back(h.listed);
    return all;
  }

  void start(std::uint32_t number) {
    Client& c = clients_[number];
    ++c.generation;
    c.watches = false;
    c.idle.clear();
    c.held.clear();
    c.attempts.clear();
    Settings s = settings_;
    s.client = number;
    s.clients = shape_.clients;
    c.balancer = std::make_unique<Balancer>(s, random_());
    const std::vector<Host> listed = list();
    call(c, [&](Actions& out) { c.balancer->onServers(now_, ListKind::Restored, listed, out); });
  }

  void arrive(std::uint32_t number) {
    const double rate = shape_.rate * (number % 10 == 0 ? shape_.hot : 1);
    at(now_ + exponential(1e6 / (rate * load_)), [this, number] {
      Client& c = clients_[number];
      Request r;
      r.id = ++requests_;
      r.request_class = static_cast<std::int32_t>(r.id % settings_.classes.size());
      r.time_left = settings_.classes[static_cast<std::size_t>(r.request_class)].deadline;
      call(c, [&](Actions& out) { c.balancer->onRequest(now_, r, out); });
      arrive(number);
    });
  }

  template <typename Function>
  void call(Client& c, Function function) {
    c.actions.clear();
    function(c.actions);
    const Actions actions = std::move(c.actions);
    c.actions = {};
    for (const Action& a : actions) act(c, a);
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
          call(c, [&](Actions& out) { c.balancer->onTimer(now_, timer, out); });
        });
      case ActionKind::Reject:
        return rejected_.add(now_ - kStart);
      case ActionKind::Fail:
        return failed_.add(now_ - kStart);
      default:
        return;
    }
  }

  void send(Client& c, RequestId id, std::size_t host, Time limit) {
    Machine& h = hosts_[host];
    auto& attempts = c.attempts[id];
    const auto number = static_cast<std::int32_t>(attempts.size());
    attempts.push_back({host, false});
    const Time round_trip = 2 * shape_.network;
    std::size_t& idle = c.idle[host];
    if (idle > 0) {
      --idle;
    } else {
      h.connects.add(now_ - kStart);
      if (h.unresponsive)
        return later(c, now_ + std::min(limit, shape_.connect_timeout), [=, this, &c] {
          end(c, id, number, Result::ConnectFailed, std::min(limit, shape_.connect_timeout));
        });
      if (!h.up || h.open >= shape_.connections)
        return later(c, now_ + round_trip,
                     [=, this, &c] { end(c, id, number, Result::ConnectFailed, round_trip); });
      h.most_open = std::max(h.most_open, ++h.open);
      ++c.held[host];
    }
    h.sends.add(now_ - kStart);
    if (h.started != 0 && now_ - h.started < settings_.slow_start_duration) h.cold_sends.add(now_ - kStart);
    if (!h.up)
      return later(c, now_ + round_trip, [=, this, &c] { end(c, id, number, Result::Reset, round_trip); });
    Time& core = *std::min_element(h.free_at.begin(), h.free_at.end());
    const Time begins = std::max(now_ + shape_.network, core);
    if (begins - now_ > static_cast<Time>(shape_.queue) * shape_.work / shape_.cores)
      return later(c, now_ + round_trip, [=, this, &c] { end(c, id, number, Result::Rejected, round_trip); });
    core = begins +
           static_cast<Time>(static_cast<double>(exponential(static_cast<double>(shape_.work))) / speed(h));
    const Time taken = core - now_ + shape_.network;
    const Time sent = now_;
    if (taken <= limit) {
      later(c, now_ + taken, [=, this, &c, generation = h.generation] {
        if (hosts_[host].generation != generation) return end(c, id, number, Result::Reset, taken);
        if (!hosts_[host].unresponsive) return end(c, id, number, Result::Ok, taken);
        later(c, sent + limit, [=, this, &c] { end(c, id, number, Result::TimedOut, limit); });
      });
    } else {
      later(c, now_ + limit, [=, this, &c] { end(c, id, number, Result::TimedOut, limit); });
    }
  }

  double speed(const Machine& h) const {
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
      later(c, now_ + shape_.idle_timeout, [this, &c, host] {
        if (c.idle[host] == 0) return;
        --c.idle[host];
        close(c, host);
      });
    } else if (result != Result::ConnectFailed) {
      close(c, host);  // the connection is not usable any more
    }
    successes_ += result == Result::Ok ? 1U : 0U;
    Outcome o;
    o.request = id;
    o.attempt = number;
    o.result = result;
    o.final = result == Result::Ok;
    o.latency = latency;
    call(c, [&](Actions& out) { c.balancer->onOutcome(now_, o, out); });
  }

  void close(Client& c, std::size_t host) {
    --c.held[host];
    --hosts_[host].open;
  }

  void probe(Client& c, const std::string& id) {
    Machine& h = hosts_[index_.at(id)];
    h.probes.add(now_ - kStart);
    later(c, now_ + (h.unresponsive ? shape_.connect_timeout : 2 * shape_.network),
          [this, &c, id, up = h.up && !h.unresponsive] {
            call(c,
                 [&](Actions& out) { c.balancer->onHealthCheck(now_, id, up, 2 * shape_.network, {}, out); });
          });
  }

  // Discovery serves calls in the order of arrival; one that can't be served in time fails at its timeout.
  void subscribe(Client& c) {
    calls_.add(now_ - kStart);
    const Time service_time = shape_.all_calls / static_cast<Time>(clients_.size());
    const bool served = discovery_free_ + service_time <= now_ + shape_.discovery_timeout;
    if (served) discovery_free_ = std::max(discovery_free_, now_) + service_time;
    later(c, served ? discovery_free_ : now_ + shape_.discovery_timeout, [this, &c, served] {
      c.watches = served;
      const std::vector<Host> hosts = served ? list() : std::vector<Host>();
      call(c, [&](Actions& out) {
        c.balancer->onServers(now_, served ? ListKind::Full : ListKind::Unavailable, hosts, out);
      });
    });
  }

  const Shape shape_;
  const Settings settings_;
  std::mt19937_64 random_;
  Time now_;
  std::uint64_t next_sequence_ = 0, requests_ = 0, successes_ = 0;
  std::uint32_t restarted_ = 0;
  double load_ = 1;
  std::priority_queue<Event> events_;
  std::vector<Machine> hosts_;
  std::unordered_map<std::string, std::size_t> index_;
  std::vector<Client> clients_;
  Time discovery_free_ = 0;
  Count calls_, rejected_, failed_;
};

}  // namespace load_balancer::test
