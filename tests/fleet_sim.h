// Simulation of a fleet: the daemon's own membership state machines in simulated time, on links that lose,
// delay, duplicate and reorder datagrams, and with network cuts. Deterministic for a seed. Invariants are
// checked at every step.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "random/random.h"

namespace client_proxy::fleet::sim {

struct Link {
  double loss = 0, duplication = 0;
  Time min_delay = 200, max_delay = 2000;  // µs, uniformly distributed, so datagrams may be reordered
};

class World {
 public:
  struct Node {
    Number number = 0;
    std::unique_ptr<Fleet> fleet;  // null: the process is not running
    Time clock_offset = 0;
    double clock_rate = 1;
    Time frozen_until = 0, timer_at = kNever;
    std::deque<std::pair<Number, std::string>> queued;  // received by the kernel while the process is frozen
    std::uint64_t bytes_out = 0, sent = 0, starts = 0;
    Incarnation max_incarnation = 0;  // the highest it ever had
    std::map<Number, Standing> last_standings;
    std::vector<Change> changes;
  };

  World(std::size_t members, std::uint64_t seed) : random_(seed), member_count_(members), nodes(members) {
    for (std::size_t n = 0; n < members; ++n) {
      list.push_back({static_cast<Number>(n), "", ""});
      nodes[n].number = static_cast<Number>(n);
    }
    settings.fleet = fleetSeed("sim");
  }

  Time now = 0;
  Link link;
  Settings settings;
  std::vector<Listed> list;
  std::function<bool(Number from, Number to)> cut = [](Number, Number) { return false; };
  std::function<void(Settings&)> adjust_settings = [](Settings&) {};  // applied before a member starts
  bool check = true;
  std::function<void(const std::string&)> on_datagram;  // called for each datagram sent
  std::vector<std::string> violations;                  // of invariants, with time and member

 private:
  load_balancer::Random random_;
  const std::size_t member_count_;  // nodes from this index on are duplicates of a number

 public:
  std::vector<Node> nodes;

  Time local(const Node& n, Time t) const {
    return n.clock_offset + static_cast<Time>(static_cast<double>(t) * n.clock_rate);
  }
  // Starts another process with a number that is already in use: datagrams to the number reach both. Returns
  // its index in `nodes`.
  std::size_t twin(Number number) {
    nodes.emplace_back();
    nodes.back().number = number;
    start(nodes.size() - 1);
    return nodes.size() - 1;
  }
  void start(std::size_t n, const MembershipSnapshot* remembered = nullptr) {
    Node& node = nodes[n];
    Settings own = settings;
    own.self = node.number;
    adjust_settings(own);
    ++node.starts;
    const auto nonce = static_cast<std::uint16_t>(random_.next());
    node.fleet = std::make_unique<Fleet>(
        own, list, incarnationAt(1'700'000'000'000 + local(node, now) / 1000, nonce), random_.next());
    node.frozen_until = 0;
    node.queued.clear();
    node.last_standings.clear();
    Out out;
    if (remembered != nullptr) node.fleet->restore(*remembered, local(node, now));
    node.fleet->setFacts(local(node, now),
                         Facts{1, "zone-" + std::to_string(n % 3), "south", static_cast<double>(n), {}});
    node.fleet->start(local(node, now), out);
    process(n, out);
  }
  void startAll() {
    for (std::size_t n = 0; n < nodes.size(); ++n) start(n);
  }
  void kill(std::size_t n) { nodes[n].fleet.reset(); }
  void leave(std::size_t n) {
    Out out;
    nodes[n].fleet->leave(local(nodes[n], now), out);
    process(n, out);
    kill(n);
  }
  void freeze(std::size_t n, Time time) {
    nodes[n].frozen_until = now + time;
    push(now + time, n, Event::Resume, 0, {});
  }
  bool runs(std::size_t n) const { return nodes[n].fleet != nullptr; }
  Time localNow(std::size_t n) const { return local(nodes[n], now); }

  // Indices of the processes with this number: more than one only after twin().
  std::vector<std::size_t> processesOf(Number number) const {
    std::vector<std::size_t> all;
    if (number < member_count_) all.push_back(number);
    for (std::size_t i = member_count_; i < nodes.size(); ++i) {
      if (nodes[i].number == number) all.push_back(i);
    }
    return all;
  }

  void inject(Number from, std::size_t to, std::string bytes) {
    push(now, to, Event::Arrive, from, std::move(bytes));
  }

  // Runs until `holds` is true, checked every 50 ms, for at most `most`. Returns the elapsed time, or kNever
  // if it never was true.
  Time until(Time most, const std::function<bool()>& holds) {
    const Time began = now, end = now + most;
    for (Time look = now;; look += 50 * kMillisecond) {
      run(std::min(look, end));
      if (holds()) return now - began;
      if (look >= end) return kNever;
    }
  }
  void run(Time to) {
    while (!events_.empty() && events_.top().at <= to) {
      Event e = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now = e.at;
      handle(e);
    }
    now = to;
  }
  void runFor(Time time) { run(now + time); }

  // Number of running, not frozen processes whose state for member `of` satisfies `state`.
  std::size_t holding(Number of, const std::function<bool(State)>& state) const {
    std::size_t n = 0;
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (i == of || !nodes[i].fleet || now < nodes[i].frozen_until) continue;
      const auto slot = nodes[i].fleet->roster().find(of);
      n += slot && state(nodes[i].fleet->roster().at(*slot).standing.state) ? 1 : 0;
    }
    return n;
  }
  std::size_t running() const {
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [](const Node& n) { return n.fleet != nullptr; }));
  }
  // Whether all running processes have the same view, with exactly the running ones live.
  bool settled() const {
    const std::size_t live = running();
    std::set<std::uint32_t> hashes;
    for (const Node& n : nodes) {
      if (!n.fleet) continue;
      if (n.fleet->roster().live() != live) return false;
      hashes.insert(n.fleet->roster().hash());
    }
    return hashes.size() == 1;
  }
  bool recordsSettled() const {
    for (const Node& n : nodes) {
      if (!n.fleet) continue;
      for (const Member& m : n.fleet->roster().all()) {
        const auto& owner = nodes[m.listed.number].fleet;
        if (owner && m.version != owner->roster().at(*owner->roster().find(m.listed.number)).version)
          return false;
      }
    }
    return true;
  }
  // Declarations of death of a running process, by any member.
  std::size_t falseDeaths = 0;
  std::uint64_t datagrams = 0, lost = 0;

 private:
  struct Event {
    enum Kind : std::uint8_t { Arrive, Timer, Resume };
    Time at = 0;
    std::uint64_t order = 0;
    std::size_t node = 0;
    Kind kind = Timer;
    Number from = 0;
    std::string bytes;
    bool operator<(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  void push(Time at, std::size_t node, Event::Kind kind, Number from, std::string bytes) {
    events_.push({at, order_++, node, kind, from, std::move(bytes)});
  }

  void handle(Event& e) {
    Node& node = nodes[e.node];
    if (e.kind == Event::Timer && node.timer_at == e.at) node.timer_at = kNever;
    if (!node.fleet) return;
    if (now < node.frozen_until) {
      constexpr std::size_t kReceiveBuffer = 200;
      if (e.kind == Event::Arrive && node.queued.size() < kReceiveBuffer)
        node.queued.emplace_back(e.from, std::move(e.bytes));
      return;
    }
    Out out;
    if (e.kind == Event::Resume) {
      for (const auto& [from, bytes] : node.queued) node.fleet->receive(local(node, now), from, bytes, out);
      node.queued.clear();
      if (node.fleet->due() <= local(node, now)) node.fleet->onTime(local(node, now), out);
    } else if (e.kind == Event::Arrive) {
      node.fleet->receive(local(node, now), e.from, e.bytes, out);
    } else {
      if (node.fleet->due() > local(node, now)) return armTimer(e.node);
      node.fleet->onTime(local(node, now), out);
    }
    process(e.node, out);
  }

  void armTimer(std::size_t n) {
    Node& node = nodes[n];
    const Time due = node.fleet->due();
    if (due == kNever) return;
    // The first microsecond of simulated time at which the node's own clock has reached `due`.
    auto at = static_cast<Time>(static_cast<double>(due - node.clock_offset) / node.clock_rate);
    while (local(node, at) < due) ++at;
    at = std::max(at, now);
    if (at >= node.timer_at) return;
    node.timer_at = at;
    push(at, n, Event::Timer, 0, {});
  }

  void process(std::size_t n, Out& out) {
    Node& node = nodes[n];
    for (Datagram& d : out.datagrams) {
      if (d.bytes.size() > kMostDatagram)
        fail(n, "sends a datagram of bytes: " + std::to_string(d.bytes.size()));
      node.bytes_out += d.bytes.size();
      ++node.sent;
      ++datagrams;
      if (on_datagram) on_datagram(d.bytes);
      const int copies = 1 + (random_.unit() < link.duplication ? 1 : 0);
      for (int c = 0; c < copies; ++c) {
        if (cut(node.number, d.to) || random_.unit() < link.loss) {
          ++lost;
          continue;
        }
        const auto delay =
            link.min_delay +
            static_cast<Time>(random_.unit() * static_cast<double>(link.max_delay - link.min_delay));
        for (const std::size_t to : processesOf(d.to))
          push(now + delay, to, Event::Arrive, node.number, d.bytes);
      }
    }
    for (const Change& c : out.changes) {
      node.changes.push_back(c);
      if (c.is == State::Dead && runs(c.member) && now >= nodes[c.member].frozen_until) ++falseDeaths;
    }
    node.max_incarnation = std::max(node.max_incarnation, node.fleet->incarnation());
    if (check) checkNode(n);
    armTimer(n);
  }

  // Invariants: no member knows a higher incarnation of another than that one ever had; known standings never
  // decrease; no member considers itself dead.
  void checkNode(std::size_t n) {
    Node& node = nodes[n];
    for (const Member& m : node.fleet->roster().all()) {
      const Number of = m.listed.number;
      Incarnation most = 0;
      for (const std::size_t i : this->processesOf(of)) most = std::max(most, nodes[i].max_incarnation);
      if (m.standing.incarnation > most)
        fail(n, "knows an incarnation that member " + std::to_string(of) + " never had");
      Standing& before = node.last_standings[of];
      if (m.standing < before) fail(n, "has moved to a lower standing of member " + std::to_string(of));
      before = m.standing;
      if (of == node.number && m.standing.state != State::Alive && m.standing.state != State::Left)
        fail(n, "considers itself " + std::string(nameOf(m.standing.state)));
      if (m.facts.size() > kMaxFactsBytes)
        fail(n, "holds a record of bytes: " + std::to_string(m.facts.size()));
    }
  }
  void fail(std::size_t n, const std::string& what) {
    if (violations.size() < 20)
      violations.push_back("at " + std::to_string(now) + " us member " + std::to_string(n) + " " + what);
  }

  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
};

}  // namespace client_proxy::fleet::sim
