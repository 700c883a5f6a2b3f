// Four replicas in one process: messages are lost, doubled and overtaken, machines stop between a write and
// what depends on it, regions are cut, disks are full, old or empty. What must hold is checked at each thing
// that any of them tells to anyone.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "consensus/node.h"
#include "distribution/digest.h"

namespace client_proxy::consensus::test {

/// What is broken on purpose, to see that the checker sees it.
struct Mutations {
  bool quorum_of_two = false;
  bool send_before_disk = false;         // messages and results leave before the write
  bool tell_before_disk = false;         // subscribers are told before the write
  bool promises_without_values = false;  // what was accepted is not told to a proposer
  bool accept_any_ballot = false;        // an accept is not held against the promise
  bool no_join_rule = false;             // a replica votes at once after a start, and nobody notices its disk
  bool new_id_at_each_try = false;       // a repeated publish is a new one
  bool votes_not_told = false;           // to a replica that has forgotten its own
  bool slots_not_told = false;           // where others have voted, to the same
  bool learn_anything = false;           // a change is taken without those before it
};

class Checker {
 public:
  /// Somebody was told that this is the change of that version.
  void told(const Change& change) { told(change.version, change.id, change.digest); }
  void told(Version version, const std::string& id, const std::string& digest) {
    const auto [at, first] = texts_.try_emplace(version, std::make_pair(id, digest));
    if (!first && at->second != std::make_pair(id, digest))
      violation("two texts under version " + std::to_string(version));
    const auto [same, once] = versions_.try_emplace(id, version);
    if (!once && same->second != version) violation("publish " + id + " has two versions");
  }
  void acknowledged(const std::string& publish, const distribution::Published& published) {
    const Version version = published.version;
    told(version, publish, published.digest);
    acknowledged_digests_[version] = published.digest;
    const auto [at, first] = acknowledged_.try_emplace(publish, version);
    if (!first && at->second != version) violation("publish " + publish + " was told two versions");
  }
  void atSubscribers(ReplicaId replica, Version version, bool disk_replaced) {
    Version& last = shown_[replica];
    if (version < last && !disk_replaced)
      violation("replica " + std::to_string(replica) + " went back from " + std::to_string(last) + " to " +
                std::to_string(version));
    last = version;
  }
  void violation(const std::string& what) { violations.insert(what); }
  /// Once all have healed: what replicas hold now.
  void atEnd(const std::vector<const History*>& histories) {
    for (const History* history : histories) {
      for (const auto& [publish, version] : acknowledged_) {
        if (history->find(version) == nullptr)
          violation("acknowledged version " + std::to_string(version) + " is lost");
      }
      for (Version v = 1; v <= history->version(); ++v) {
        if (history->find(v) == nullptr) violation("version " + std::to_string(v) + " is missing");
      }
    }
    Version expected = 1;
    for (const auto& [version, text] : texts_) {
      if (version != expected++) violation("a gap before version " + std::to_string(version));
    }
  }

  std::set<std::string> violations;
  Version newest() const { return texts_.empty() ? 0 : texts_.rbegin()->first; }
  std::size_t acknowledgedCount() const { return acknowledged_.size(); }

 private:
  std::map<Version, std::pair<std::string, std::string>> texts_;
  std::map<std::string, Version> versions_, acknowledged_;
  std::map<Version, std::string> acknowledged_digests_;
  std::map<ReplicaId, Version> shown_;
};

struct Disk {
  DurableState state;
  std::map<Version, Change> texts;

  void apply(const Write& write) {
    if (const auto* start = std::get_if<SaveStart>(&write)) {
      state.start_count = start->start_count;
      state.runs.insert(start->run);
      state.recovering = start->recovering;
      state.first_vote = start->first_vote;
    } else if (const auto* vote = std::get_if<SaveVote>(&write)) {
      state.vote = vote->vote;
    } else if (const auto* peer = std::get_if<SavePeer>(&write)) {
      state.peers[peer->peer] = peer->record;
    } else {
      const Change& change = std::get<SaveChosen>(write).change;
      state.changes.push_back(headOf(change));
      texts[change.version] = change;
      if (state.vote.slot <= change.version) state.vote = {};
    }
  }
  Version version() const { return state.version(); }
};

class ReplicaGroup {
 public:
  struct Faults {
    double loss = 0, doubled = 0, late = 0;
  };

  ReplicaGroup(std::size_t count, std::uint64_t seed, Mutations mutations = {})
      : mutations_(mutations), random_(seed), machines_(count) {
    for (ReplicaId id = 1; id <= count; ++id) start(id);
  }

  // ---- faults ----

  Faults faults;
  std::function<bool(ReplicaId, ReplicaId)> cut = [](ReplicaId, ReplicaId) { return false; };
  std::set<ReplicaId> full;  // disks
  Time disk_time{8};         // at most, of one write

  void crash(ReplicaId id) {
    Machine& m = machine(id);
    m.node.reset();
    m.waiting.clear();
    m.restart = Time(0);
    for (const std::size_t number : std::exchange(m.publishing, {})) tries[number].done = true;
  }
  void start(ReplicaId id) {
    Machine& m = machine(id);
    crash(id);
    Rules rules;
    rules.self = id;
    for (ReplicaId other = 1; other <= machines_.size(); ++other) {
      if (other != id) rules.others.push_back(other);
    }
    if (mutations_.quorum_of_two) rules.quorum_override = 2;
    const Version version = m.disk.version();
    checker.atSubscribers(id, version, m.replaced);
    Output out;
    m.run = random_.next();
    m.node = std::make_unique<Node>(rules, m.disk.state, m.run, now, out);
    take(id, std::move(out));
  }
  Disk diskOf(ReplicaId id) { return machine(id).disk; }
  /// Stops the machine; start() follows with that disk.
  void replaceDisk(ReplicaId id, Disk disk) {
    crash(id);
    Machine& m = machine(id);
    m.replaced = true;
    m.named = false;
    m.has_to_name = m.joined_run != 0 && disk.state.runs.count(m.joined_run) == 0;
    m.disk = std::move(disk);
  }

  // ---- publishing ----

  struct Try {
    std::string id;
    bool done = false;
    std::optional<PublishOutcome> outcome;  // nothing: the replica is gone
  };
  /// `again`: an earlier try, whose id and text are repeated.
  std::size_t publish(ReplicaId at, std::optional<std::size_t> again = {}) {
    const std::size_t number = tries.size();
    const std::string id = again ? tries[*again].id : idOf(number);
    tries.push_back({id, false, {}});
    Machine& m = machine(at);
    if (!m.node) return number;
    const std::string sent = mutations_.new_id_at_each_try ? idOf(number) : id;
    m.publishing.push_back(number);
    Output out;
    m.node->publish(now, number, {sent, "author", m.node->history().version(), "text of " + id}, 0, out);
    take(at, std::move(out));
    return number;
  }
  bool succeeded(std::size_t number) const {
    const auto& outcome = tries[number].outcome;
    return outcome && std::holds_alternative<distribution::Published>(*outcome);
  }

  // ---- time ----

  Time now{0};
  void runFor(Time time) {
    const Time end = now + time;
    while (now < end) step();
  }
  bool runUntil(const std::function<bool()>& holds, Time most = Time(20'000)) {
    for (const Time end = now + most; now < end;) {
      step();
      if (holds()) return true;
    }
    return false;
  }
  /// Publishes at `at` until it is chosen, as a publisher would who repeats.
  bool publishUntilChosen(ReplicaId at, Time most = Time(30'000)) {
    std::size_t number = publish(at);
    return runUntil(
        [&] {
          if (succeeded(number)) return true;
          if (tries[number].done || !up(at)) number = publish(at);
          return false;
        },
        most);
  }
  /// Until all hold the newest and have joined.
  bool settle(Time most = Time(30'000)) {
    return runUntil(
        [&] {
          for (ReplicaId id = 1; id <= machines_.size(); ++id) {
            if (!up(id) || !node(id).joined() || node(id).history().version() != checker.newest())
              return false;
          }
          return true;
        },
        most);
  }
  void checkEnd() {
    std::vector<const History*> all;
    for (const Machine& m : machines_) all.push_back(&m.node->history());
    checker.atEnd(all);
  }

  // ---- what came of it ----

  Node& node(ReplicaId id) { return *machine(id).node; }
  bool up(ReplicaId id) { return machine(id).node != nullptr; }
  std::size_t size() const { return machines_.size(); }
  load_balancer::Random& random() { return random_; }
  const std::vector<std::string>& lines(ReplicaId id) { return machine(id).lines; }
  Checker checker;
  std::vector<Try> tries;

 private:
  struct Waiting {
    Time ready;
    Output out;
  };
  struct Machine {
    std::unique_ptr<Node> node;
    Disk disk;
    std::deque<Waiting> waiting;            // for the disk, in order
    bool replaced = false;                  // the disk, by one that may be older
    bool named = false;                     // the replica has said so
    bool has_to_name = false;               // it has voted in a later life than the disk's
    std::uint64_t run = 0, joined_run = 0;  // of this life, and of the last that voted
    std::vector<std::string> lines;
    std::vector<std::size_t> publishing;  // tries that it has not answered, or had
    Time restart{0};                      // after a write that failed
  };
  struct Delivery {
    Time when;
    std::uint64_t order;
    ReplicaId from, to;
    Message message;
    bool operator<(const Delivery& o) const { return when != o.when ? when > o.when : order > o.order; }
  };

  Machine& machine(ReplicaId id) { return machines_.at(id - 1); }
  static std::string idOf(std::size_t number) {
    return distribution::digestOf("publish " + std::to_string(number));
  }

  void step() {
    now += Time(1);
    while (!deliveries_.empty() && deliveries_.top().when <= now) {
      const Delivery delivery = deliveries_.top();
      deliveries_.pop();
      if (!up(delivery.to) || cut(delivery.from, delivery.to)) continue;
      Output out;
      machine(delivery.to).node->onMessage(now, delivery.from, delivery.message, out);
      take(delivery.to, std::move(out));
    }
    for (ReplicaId id = 1; id <= machines_.size(); ++id) stepOf(id);
  }

  void stepOf(ReplicaId id) {
    Machine& m = machine(id);
    if (m.restart.count() > 0 && now >= m.restart) {
      m.restart = Time(0);
      start(id);
    }
    if (m.node && m.node->nextTime() <= now) {
      Output out;
      m.node->onTime(now, out);
      take(id, std::move(out));
    }
    while (m.node && !m.waiting.empty() && m.waiting.front().ready <= now) finishWrite(id);
  }

  void take(ReplicaId id, Output out) {
    if (out.empty()) return;
    Machine& m = machine(id);
    if (mutations_.send_before_disk) tellOthers(id, out);
    if (mutations_.tell_before_disk) tellSubscribers(id, out);
    const Time took =
        out.writes.empty()
            ? Time(0)
            : disk_time / 2 + Time(1 + random_.below(static_cast<std::uint32_t>(disk_time.count() / 2)));
    const Time free = m.waiting.empty() ? now : m.waiting.back().ready;
    m.waiting.push_back({std::max(now, free) + took, std::move(out)});
    while (m.node && !m.waiting.empty() && m.waiting.front().ready <= now) finishWrite(id);
  }

  void finishWrite(ReplicaId id) {
    Machine& m = machine(id);
    Output out = std::move(m.waiting.front().out);
    m.waiting.pop_front();
    if (!out.writes.empty() && full.count(id) > 0) {
      crash(id);
      m.restart = now + Time(1000);
      return;
    }
    for (const Write& write : out.writes) m.disk.apply(write);
    for (const std::string& line : out.lines) {
      m.named = m.named || line.rfind("old disk", 0) == 0;
      m.lines.push_back(line);
    }
    if (m.node->joined() && m.waiting.empty()) joined(id);  // what it said before is out
    if (!mutations_.send_before_disk) tellOthers(id, out);
    if (!mutations_.tell_before_disk) tellSubscribers(id, out);
  }

  void joined(ReplicaId id) {
    Machine& m = machine(id);
    m.joined_run = m.run;
    if (m.has_to_name && !m.named)
      checker.violation("replica " + std::to_string(id) + " votes with an old disk and has not named it");
    m.replaced = m.has_to_name = false;
  }

  void tellOthers(ReplicaId id, const Output& out) {
    for (const Outgoing& outgoing : out.messages) post(id, outgoing.to, outgoing.message);
    for (const SendChanges& request : out.changes) {
      for (const auto& [version, change] : machine(id).disk.texts) {
        if (version >= request.from)
          post(id, request.to, Chosen{change, machine(id).node->history().oldestKept()});
      }
    }
    for (const PublishResult& result : out.results) {
      Try& mine = tries[result.token];
      mine.done = true;
      mine.outcome = result.outcome;
      if (const auto* published = std::get_if<distribution::Published>(&result.outcome))
        checker.acknowledged(mine.id, *published);
    }
  }

  void tellSubscribers(ReplicaId id, const Output& out) {
    for (const Change& change : out.chosen) {
      checker.told(change);
      checker.atSubscribers(id, change.version, machine(id).replaced);
    }
  }

  void post(ReplicaId from, ReplicaId to, Message message) {
    mutate(message);
    const int copies = random_.unit() < faults.loss ? 0 : random_.unit() < faults.doubled ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const Time delay(1 + random_.below(random_.unit() < faults.late ? 2000 : 20));
      deliveries_.push({now + delay, order_++, from, to, message});
    }
  }

  void mutate(Message& message) const {
    if (auto* const promise = std::get_if<Promise>(&message); promise && mutations_.promises_without_values)
      promise->value.reset();
    if (auto* const accept = std::get_if<Accept>(&message); accept && mutations_.accept_any_ballot)
      accept->ballot.round += 1'000'000;
    if (auto* const accepted = std::get_if<Accepted>(&message); accepted && mutations_.accept_any_ballot)
      accepted->ballot.round -= 1'000'000;
    if (auto* const reply = std::get_if<HelloReply>(&message); reply && mutations_.no_join_rule) {
      reply->seen.run = reply->run;
      reply->joined = true;
      reply->version = reply->voted = 0;
    }
    if (auto* const reply = std::get_if<HelloReply>(&message); reply && mutations_.votes_not_told)
      reply->vote = {};
    if (auto* const reply = std::get_if<HelloReply>(&message); reply && mutations_.slots_not_told)
      reply->voted = 0;
    if (auto* const chosen = std::get_if<Chosen>(&message); chosen && mutations_.learn_anything)
      chosen->oldest_kept = chosen->change.version;
  }

  const Mutations mutations_;
  load_balancer::Random random_;
  std::vector<Machine> machines_;
  std::priority_queue<Delivery> deliveries_;
  std::uint64_t order_ = 0;
};

}  // namespace client_proxy::consensus::test
