// A simulation of four replicas in one process. Messages are lost, duplicated and reordered, machines crash
// between a write and the messages that depend on it, regions are partitioned, disks are full, old or empty.
// The invariants are checked on everything that a replica reports to a publisher or a subscriber.
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

/// Deliberate faults in the protocol, each of which the checker has to detect.
struct Mutations {
  bool quorum_of_two = false;
  bool send_before_disk = false;         // messages and results are sent before the write
  bool notify_before_disk = false;       // subscribers are notified before the write
  bool promises_without_values = false;  // promises omit the accepted value
  bool accept_any_ballot = false;        // accepts are not checked against the promise
  bool no_join_rule = false;  // a replica votes right after a start, and an old disk is not detected
  bool new_id_at_each_attempt = false;  // a repeated publish is sent with a new id
  bool omit_votes = false;        // hello replies omit the vote, which a replica needs that has lost its own
  bool omit_voted_slots = false;  // hello replies omit the highest slot with a vote
  bool accept_gaps = false;       // a change is accepted without those before it
};

/// Collects what the replicas report and records each violated invariant.
class Checker {
 public:
  /// A publisher or a subscriber has received this change under its version.
  void recordText(const Change& change) { recordText(change.version, change.id, change.digest); }
  void recordText(Version version, const std::string& id, const std::string& digest) {
    const auto [at, first] = known_texts_.try_emplace(version, std::make_pair(id, digest));
    if (!first && at->second != std::make_pair(id, digest))
      violation("two texts under version " + std::to_string(version));
    const auto [same, once] = versions_.try_emplace(id, version);
    if (!once && same->second != version) violation("publish " + id + " has two versions");
  }
  void acknowledged(const std::string& publish, const distribution::Published& published) {
    const Version version = published.version;
    recordText(version, publish, published.digest);
    acknowledged_digests_[version] = published.digest;
    const auto [at, first] = acknowledged_.try_emplace(publish, version);
    if (!first && at->second != version)
      violation("publish " + publish + " was acknowledged with two versions");
  }
  void onSubscribersNotified(ReplicaId replica, Version version, bool disk_replaced) {
    Version& last = notified_[replica];
    if (version < last && !disk_replaced)
      violation("replica " + std::to_string(replica) + " went back from " + std::to_string(last) + " to " +
                std::to_string(version));
    last = version;
  }
  void violation(const std::string& what) { violations.insert(what); }
  /// Called after all faults have ended and all replicas have caught up, with their histories.
  void checkFinalState(const std::vector<const History*>& histories) {
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
    for (const auto& [version, text] : known_texts_) {
      if (version != expected++) violation("a gap before version " + std::to_string(version));
    }
  }

  std::set<std::string> violations;
  Version newest() const { return known_texts_.empty() ? 0 : known_texts_.rbegin()->first; }
  std::size_t acknowledgedCount() const { return acknowledged_.size(); }

 private:
  std::map<Version, std::pair<std::string, std::string>> known_texts_;
  std::map<std::string, Version> versions_, acknowledged_;
  std::map<Version, std::string> acknowledged_digests_;
  std::map<ReplicaId, Version> notified_;
};

/// The durable state of one replica.
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

/// The simulated replicas, their disks and the network between them. Time advances in steps of 1 ms.
class ReplicaGroup {
 public:
  struct Faults {
    double loss = 0, duplicated = 0, delayed = 0;  // probabilities for each message
  };

  ReplicaGroup(std::size_t count, std::uint64_t seed, Mutations mutations = {})
      : mutations_(mutations), random_(seed), machines_(count) {
    for (ReplicaId id = 1; id <= count; ++id) start(id);
  }

  // ---- faults ----

  Faults faults;
  std::function<bool(ReplicaId, ReplicaId)> isCut = [](ReplicaId, ReplicaId) { return false; };
  std::set<ReplicaId> full_disks;  // replicas whose disk is full
  Time disk_time{8};               // the longest duration of one write

  void crash(ReplicaId id) {
    Machine& m = machine(id);
    m.node.reset();
    m.pending.clear();
    m.restart = Time(0);
    for (const std::size_t number : std::exchange(m.publishing, {})) attempts[number].done = true;
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
    checker.onSubscribersNotified(id, version, m.replaced);
    Output out;
    m.run = random_.next();
    m.node = std::make_unique<Node>(rules, m.disk.state, m.run, now, out);
    processOutput(id, std::move(out));
  }
  Disk diskOf(ReplicaId id) { return machine(id).disk; }
  /// Crashes the replica; the next start() uses `disk`.
  void replaceDisk(ReplicaId id, Disk disk) {
    crash(id);
    Machine& m = machine(id);
    m.replaced = true;
    m.fault_reported = false;
    m.must_report_fault = m.joined_run != 0 && disk.state.runs.count(m.joined_run) == 0;
    m.disk = std::move(disk);
  }

  // ---- publishing ----

  struct Attempt {
    std::string id;
    bool done = false;
    std::optional<PublishOutcome> outcome;  // none: the replica has crashed
  };
  /// Returns the number of the attempt. `again`: an earlier attempt whose id and text are repeated.
  std::size_t publish(ReplicaId at, std::optional<std::size_t> again = {}) {
    const std::size_t number = attempts.size();
    const std::string id = again ? attempts[*again].id : idOf(number);
    attempts.push_back({id, false, {}});
    Machine& m = machine(at);
    if (!m.node) return number;
    const std::string sent = mutations_.new_id_at_each_attempt ? idOf(number) : id;
    m.publishing.push_back(number);
    Output out;
    m.node->publish(now, number, {sent, "author", m.node->history().version(), "text of " + id}, 0, out);
    processOutput(at, std::move(out));
    return number;
  }
  bool succeeded(std::size_t number) const {
    const auto& outcome = attempts[number].outcome;
    return outcome && std::holds_alternative<distribution::Published>(*outcome);
  }

  // ---- time ----

  Time now{0};
  void runFor(Time time) {
    const Time end = now + time;
    while (now < end) step();
  }
  /// Returns whether `holds` came true within `most`.
  bool runUntil(const std::function<bool()>& holds, Time most = Time(20'000)) {
    for (const Time end = now + most; now < end;) {
      step();
      if (holds()) return true;
    }
    return false;
  }
  /// Publishes at `at`, with a new publish after each failure, until one is chosen.
  bool publishUntilChosen(ReplicaId at, Time most = Time(30'000)) {
    std::size_t number = publish(at);
    return runUntil(
        [&] {
          if (succeeded(number)) return true;
          if (attempts[number].done || !up(at)) number = publish(at);
          return false;
        },
        most);
  }
  /// Runs until all replicas have joined and hold the newest version.
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
  void checkFinalState() {
    std::vector<const History*> all;
    for (const Machine& m : machines_) all.push_back(&m.node->history());
    checker.checkFinalState(all);
  }

  // ---- state and results ----

  Node& node(ReplicaId id) { return *machine(id).node; }
  bool up(ReplicaId id) { return machine(id).node != nullptr; }
  std::size_t size() const { return machines_.size(); }
  load_balancer::Random& random() { return random_; }
  const std::vector<std::string>& lines(ReplicaId id) { return machine(id).lines; }
  Checker checker;
  std::vector<Attempt> attempts;

 private:
  struct PendingOutput {
    Time ready;
    Output out;
  };
  struct Machine {
    std::unique_ptr<Node> node;
    Disk disk;
    std::deque<PendingOutput> pending;      // outputs whose write is pending, in order
    bool replaced = false;                  // the disk was replaced by one that may be older
    bool fault_reported = false;            // the replica has reported the old disk
    bool must_report_fault = false;         // it has voted in a run that the disk doesn't have
    std::uint64_t run = 0, joined_run = 0;  // of the current start, and of the last one that joined
    std::vector<std::string> lines;
    std::vector<std::size_t> publishing;  // attempts without a result
    Time restart{0};                      // when it restarts after a failed write; 0: not due
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
      if (!up(delivery.to) || isCut(delivery.from, delivery.to)) continue;
      Output out;
      machine(delivery.to).node->onMessage(now, delivery.from, delivery.message, out);
      processOutput(delivery.to, std::move(out));
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
      processOutput(id, std::move(out));
    }
    while (m.node && !m.pending.empty() && m.pending.front().ready <= now) finishWrite(id);
  }

  void processOutput(ReplicaId id, Output out) {
    if (out.empty()) return;
    Machine& m = machine(id);
    if (mutations_.send_before_disk) sendMessages(id, out);
    if (mutations_.notify_before_disk) notifySubscribers(id, out);
    const Time took =
        out.writes.empty()
            ? Time(0)
            : disk_time / 2 + Time(1 + random_.below(static_cast<std::uint32_t>(disk_time.count() / 2)));
    const Time free = m.pending.empty() ? now : m.pending.back().ready;
    m.pending.push_back({std::max(now, free) + took, std::move(out)});
    while (m.node && !m.pending.empty() && m.pending.front().ready <= now) finishWrite(id);
  }

  void finishWrite(ReplicaId id) {
    Machine& m = machine(id);
    Output out = std::move(m.pending.front().out);
    m.pending.pop_front();
    if (!out.writes.empty() && full_disks.count(id) > 0) {
      crash(id);
      m.restart = now + Time(1000);
      return;
    }
    for (const Write& write : out.writes) m.disk.apply(write);
    for (const std::string& line : out.lines) {
      m.fault_reported = m.fault_reported || line.rfind("old disk", 0) == 0;
      m.lines.push_back(line);
    }
    if (m.node->joined() && m.pending.empty()) joined(id);  // all earlier outputs are sent
    if (!mutations_.send_before_disk) sendMessages(id, out);
    if (!mutations_.notify_before_disk) notifySubscribers(id, out);
  }

  void joined(ReplicaId id) {
    Machine& m = machine(id);
    m.joined_run = m.run;
    if (m.must_report_fault && !m.fault_reported)
      checker.violation("replica " + std::to_string(id) + " votes with an old disk that it has not reported");
    m.replaced = m.must_report_fault = false;
  }

  void sendMessages(ReplicaId id, const Output& out) {
    for (const Outgoing& outgoing : out.messages) post(id, outgoing.to, outgoing.message);
    for (const SendChanges& request : out.changes) {
      for (const auto& [version, change] : machine(id).disk.texts) {
        if (version >= request.from)
          post(id, request.to, Chosen{change, machine(id).node->history().oldestKept()});
      }
    }
    for (const PublishResult& result : out.results) {
      Attempt& attempt = attempts[result.token];
      attempt.done = true;
      attempt.outcome = result.outcome;
      if (const auto* published = std::get_if<distribution::Published>(&result.outcome))
        checker.acknowledged(attempt.id, *published);
    }
  }

  void notifySubscribers(ReplicaId id, const Output& out) {
    for (const Change& change : out.chosen) {
      checker.recordText(change);
      checker.onSubscribersNotified(id, change.version, machine(id).replaced);
    }
  }

  void post(ReplicaId from, ReplicaId to, Message message) {
    mutate(message);
    const int copies = random_.unit() < faults.loss ? 0 : random_.unit() < faults.duplicated ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
      const Time delay(1 + random_.below(random_.unit() < faults.delayed ? 2000 : 20));
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
    if (auto* const reply = std::get_if<HelloReply>(&message); reply && mutations_.omit_votes)
      reply->vote = {};
    if (auto* const reply = std::get_if<HelloReply>(&message); reply && mutations_.omit_voted_slots)
      reply->voted = 0;
    if (auto* const chosen = std::get_if<Chosen>(&message); chosen && mutations_.accept_gaps)
      chosen->oldest_kept = chosen->change.version;
  }

  const Mutations mutations_;
  load_balancer::Random random_;
  std::vector<Machine> machines_;
  std::priority_queue<Delivery> deliveries_;
  std::uint64_t order_ = 0;
};

}  // namespace client_proxy::consensus::test
