// Many state machines of the fleet, as compiled into the daemon, on links that lose, delay, double, reorder
// and cut, in simulated time: the same for the same seed. Invariants are checked at every step.
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
  double loss = 0, doubled = 0;
  Time least = 200, most = 2000;  // delay; what overtakes is reordered
};

class World {
 public:
  struct Node {
    Number number = 0;
    std::unique_ptr<Fleet> fleet;  // null: the process does not run
    Time clock_offset = 0;
    double clock_rate = 1;
    Time frozen_until = 0, armed = kNever;
    std::deque<std::pair<Number, std::string>> held;  // by the kernel of a frozen one
    std::uint64_t bytes_out = 0, sent = 0, starts = 0;
    Incarnation most = 0;  // that it ever had
    std::map<Number, Standing> seen;
    std::vector<Change> changes;
  };

  World(std::size_t members, std::uint64_t seed) : random_(seed), members_(members), nodes(members) {
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
  std::function<void(Settings&)> adapt = [](Settings&) {};  // before a member starts
  bool check = true;
  std::function<void(const std::string&)> spy;  // sees each datagram
  std::vector<std::string> broken;              // invariants

 private:
  load_balancer::Random random_;
  const std::size_t members_;  // what lies beyond are twins

 public:
  std::vector<Node> nodes;

  Time local(const Node& n, Time t) const {
    return n.clock_offset + static_cast<Time>(static_cast<double>(t) * n.clock_rate);
  }
  // Another process of a number that one holds already: datagrams to the number reach both. Its place among
  // nodes.
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
    adapt(own);
    ++node.starts;
    const auto nonce = static_cast<std::uint16_t>(random_.next());
    node.fleet = std::make_unique<Fleet>(
        own, list, incarnationAt(1'700'000'000'000 + local(node, now) / 1000, nonce), random_.next());
    node.frozen_until = 0;
    node.held.clear();
    node.seen.clear();
    Out out;
    if (remembered != nullptr) node.fleet->restore(*remembered, local(node, now));
    node.fleet->setFacts(local(node, now),
                         Facts{1, "zone-" + std::to_string(n % 3), "south", static_cast<double>(n), {}});
    node.fleet->start(local(node, now), out);
    after(n, out);
  }
  void startAll() {
    for (std::size_t n = 0; n < nodes.size(); ++n) start(n);
  }
  void kill(std::size_t n) { nodes[n].fleet.reset(); }
  void leave(std::size_t n) {
    Out out;
    nodes[n].fleet->leave(local(nodes[n], now), out);
    after(n, out);
    kill(n);
  }
  void freeze(std::size_t n, Time time) {
    nodes[n].frozen_until = now + time;
    push(now + time, n, Event::Wake, 0, {});
  }
  bool runs(std::size_t n) const { return nodes[n].fleet != nullptr; }
  Time localNow(std::size_t n) const { return local(nodes[n], now); }

  // The processes of a number: one, but for twins.
  std::vector<std::size_t> of(Number number) const {
    std::vector<std::size_t> all;
    if (number < members_) all.push_back(number);
    for (std::size_t i = members_; i < nodes.size(); ++i) {
      if (nodes[i].number == number) all.push_back(i);
    }
    return all;
  }

  void inject(Number from, std::size_t to, std::string bytes) {
    push(now, to, Event::Arrive, from, std::move(bytes));
  }

  // Runs for so long, or until it holds: looked at every 50 ms. The time it took; kNever: it never did.
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

  // What the live processes hold of one.
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
  // Every running process holds the same view, and holds just the running ones for live.
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
  // Deaths of processes that ran, as seen by any.
  std::size_t falseDeaths = 0;
  std::uint64_t datagrams = 0, lost = 0;

 private:
  struct Event {
    enum Kind : std::uint8_t { Arrive, Timer, Wake };
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
    if (e.kind == Event::Timer && node.armed == e.at) node.armed = kNever;
    if (!node.fleet) return;
    if (now < node.frozen_until) {
      constexpr std::size_t kKernelHolds = 200;
      if (e.kind == Event::Arrive && node.held.size() < kKernelHolds)
        node.held.emplace_back(e.from, std::move(e.bytes));
      return;
    }
    Out out;
    if (e.kind == Event::Wake) {
      for (const auto& [from, bytes] : node.held) node.fleet->receive(local(node, now), from, bytes, out);
      node.held.clear();
      if (node.fleet->due() <= local(node, now)) node.fleet->onTime(local(node, now), out);
    } else if (e.kind == Event::Arrive) {
      node.fleet->receive(local(node, now), e.from, e.bytes, out);
    } else {
      if (node.fleet->due() > local(node, now)) return arm(e.node);
      node.fleet->onTime(local(node, now), out);
    }
    after(e.node, out);
  }

  void arm(std::size_t n) {
    Node& node = nodes[n];
    const Time due = node.fleet->due();
    if (due == kNever) return;
    // The first whole microsecond at which its own clock shows that time.
    auto at = static_cast<Time>(static_cast<double>(due - node.clock_offset) / node.clock_rate);
    while (local(node, at) < due) ++at;
    at = std::max(at, now);
    if (at >= node.armed) return;
    node.armed = at;
    push(at, n, Event::Timer, 0, {});
  }

  void after(std::size_t n, Out& out) {
    Node& node = nodes[n];
    for (Datagram& d : out.datagrams) {
      if (d.bytes.size() > kMostDatagram) fail(n, "sends a datagram of " + std::to_string(d.bytes.size()));
      node.bytes_out += d.bytes.size();
      ++node.sent;
      ++datagrams;
      if (spy) spy(d.bytes);
      const int copies = 1 + (random_.unit() < link.doubled ? 1 : 0);
      for (int c = 0; c < copies; ++c) {
        if (cut(node.number, d.to) || random_.unit() < link.loss) {
          ++lost;
          continue;
        }
        const auto delay =
            link.least + static_cast<Time>(random_.unit() * static_cast<double>(link.most - link.least));
        for (const std::size_t to : of(d.to)) push(now + delay, to, Event::Arrive, node.number, d.bytes);
      }
    }
    for (const Change& c : out.changes) {
      node.changes.push_back(c);
      if (c.is == State::Dead && runs(c.member) && now >= nodes[c.member].frozen_until) ++falseDeaths;
    }
    node.most = std::max(node.most, node.fleet->incarnation());
    if (check) checkNode(n);
    arm(n);
  }

  // Nobody knows more of a member than it ever said; what is known never goes back; nobody holds itself for
  // gone.
  void checkNode(std::size_t n) {
    Node& node = nodes[n];
    for (const Member& m : node.fleet->roster().all()) {
      const Number of = m.listed.number;
      Incarnation most = 0;
      for (const std::size_t i : this->of(of)) most = std::max(most, nodes[i].most);
      if (m.standing.incarnation > most) fail(n, "knows more of " + std::to_string(of) + " than it said");
      Standing& before = node.seen[of];
      if (m.standing < before) fail(n, "forgets what it knew of " + std::to_string(of));
      before = m.standing;
      if (of == node.number && m.standing.state != State::Alive && m.standing.state != State::Left)
        fail(n, "holds itself for " + std::string(nameOf(m.standing.state)));
      if (m.facts.size() > kMaxFactsBytes) fail(n, "holds a record of " + std::to_string(m.facts.size()));
    }
  }
  void fail(std::size_t n, const std::string& what) {
    if (broken.size() < 20)
      broken.push_back("at " + std::to_string(now) + " us member " + std::to_string(n) + " " + what);
  }

  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
};

}  // namespace client_proxy::fleet::sim
