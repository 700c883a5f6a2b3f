// Simulates a fleet of lease members in one process. Member clocks drift, messages are delayed, lost or
// blocked, and members crash, freeze and restart with their own storage, an older copy of it, another
// member's or none. The simulated true time is a plain number; the safety invariants are checked in every
// step.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "leases/member.h"

namespace client_proxy::leases::test {

using fleet::kMillisecond;
using fleet::kSecond;

constexpr Time kStep = 10 * kMillisecond;

class LeasesFleet {
 public:
  struct Options {
    std::size_t members = 12, sites = 3;
    std::vector<Service> services;
    double loss = 0;
    Time max_delay = 20 * kMillisecond;  // of one message
    Time sync_time = 5 * kMillisecond;   // of a write to disk
    bool has_storage = true;
    Settings settings{};
  };
  static std::string zone(std::size_t n) { return std::string(1, static_cast<char>('a' + n)); }
  static SiteId site(std::size_t n) { return siteId(zone(n)); }
  static Service service(const std::string& name, std::size_t home, std::optional<std::size_t> stand_by) {
    return {name, serviceId(name), site(home), stand_by ? site(*stand_by) : kNoSite};
  }

  LeasesFleet(const Options& options, std::uint64_t seed) : options_(options), random_(seed) {
    options_.settings.drain = 2 * kSecond;
    for (std::size_t n = 0; n < options.members; ++n)
      listed_.push_back({static_cast<Number>(n), site(n % options.sites)});
    nodes_.resize(options.members);
    for (std::size_t n = 0; n < options.members; ++n) {
      nodes_[n].clock_rate = 1 + (random_.unit() - 0.5) * 2 * options_.settings.drift * 0.98;
      nodes_[n].clock_offset = static_cast<Time>(random_.unit() * 1e9);
      nodes_[n].services = options.services;
      nodes_[n].installation = static_cast<std::uint32_t>(1000 + n);
      start(n);
    }
  }

  // ---- faults ----

  // Whether messages from one member to another are blocked.
  std::function<bool(std::size_t, std::size_t)> link_cut = [](auto, auto) { return false; };
  std::set<SiteId> lost_sites;  // sites whose hosts don't respond; members see it within 100 ms
  void crash(std::size_t n) { nodes_[n].member.reset(), ++nodes_[n].incarnation; }
  void start(std::size_t n) {
    Node& node = nodes_[n];
    ++node.incarnation;
    Settings settings = options_.settings;
    settings.config_hash = node.config_hash;
    node.member =
        std::make_unique<Member>(settings, node.services, listed_, static_cast<Number>(n), random_.next());
    std::vector<StoredGrant> stored;
    for (const auto& [id, grant] : node.disk) stored.push_back(grant);
    node.member->start(localTime(n), options_.has_storage ? stored : std::vector<StoredGrant>(),
                       options_.has_storage ? node.installation : 0);
    Output out;
    node.member->onTime(localTime(n), out);
    perform(n, out);
  }
  void freeze(std::size_t n, bool frozen) { nodes_[n].frozen = frozen; }
  std::map<ServiceId, StoredGrant>& disk(std::size_t n) { return nodes_[n].disk; }
  void setInstallation(std::size_t n, std::uint32_t installation) { nodes_[n].installation = installation; }
  void setOperatorFile(std::size_t n, std::uint32_t config_hash, std::vector<Service> services) {
    nodes_[n].config_hash = config_hash;
    nodes_[n].services = std::move(services);
  }
  std::string overrideOwner(std::size_t n, ServiceId s, std::size_t to) {
    Output out;
    const std::string overridden = nodes_[n].member->overrideOwner(localTime(n), s, site(to), out);
    perform(n, out);
    return overridden;
  }
  void reportHostTerm(std::size_t n, ServiceId s, Term term) {
    Output out;
    nodes_[n].member->onHostTerm(localTime(n), s, term, out);
    perform(n, out);
  }

  // ---- time ----

  Time now = 0;
  void runFor(Time time) {
    for (const Time end = now + time; now < end; now += kStep) step();
  }
  bool runUntil(const std::function<bool()>& condition, Time timeout) {
    for (const Time end = now + timeout; now < end; now += kStep) {
      step();
      if (condition()) return true;
    }
    return false;
  }

  // ---- results ----

  Member& member(std::size_t n) { return *nodes_[n].member; }
  bool isRunning(std::size_t n) const { return nodes_[n].member != nullptr && !nodes_[n].frozen; }
  Permit permit(std::size_t n, ServiceId s) const { return nodes_[n].member->permit(s, localTime(n)); }
  // Whether all running members may send requests of the service, and to this zone's site.
  bool allSendTo(ServiceId s, std::size_t zone) const {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!isRunning(n)) continue;
      const Permit p = permit(n, s);
      if (!p.ok() || p.site != site(zone)) return false;
    }
    return true;
  }
  bool anySends(ServiceId s) const {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (isRunning(n) && permit(n, s).ok()) return true;
    }
    return false;
  }
  std::size_t conflictCount(ConflictKind kind) const {
    std::size_t all = 0;
    for (const Node& node : nodes_) all += node.member ? node.member->conflicts().count(kind) : 0;
    return all;
  }
  // The state of a service on every running member, for failure messages.
  std::string state(ServiceId s) const {
    std::string all;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!isRunning(n)) continue;
      const Grant known = nodes_[n].member->known(s);
      const Permit p = permit(n, s);
      all += std::to_string(n) + ": knows term " + std::to_string(known.term) + " at " +
             std::to_string(known.site) + ", " + std::string(nameOf(p.denial)) +
             (nodes_[n].member->synchronized(localTime(n)) ? "" : ", not synchronized") +
             (nodes_[n].member->disputed(s) ? ", disputed" : "") +
             (nodes_[n].member->isSiteLeader() ? ", site leader" : "") + "\n";
    }
    return all;
  }
  const std::vector<std::string>& violations() const { return violations_; }
  const std::string& log() const { return log_; }
  std::size_t messages() const { return messages_; }

 private:
  struct Node {
    std::unique_ptr<Member> member;
    std::uint64_t incarnation = 0;
    double clock_rate = 1;
    Time clock_offset = 0;
    bool frozen = false;
    std::map<ServiceId, StoredGrant> disk;
    std::uint32_t installation = 0, config_hash = 1;
    std::vector<Service> services;
  };
  struct Event {
    Time when;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& o) const { return when != o.when ? when > o.when : order > o.order; }
  };

  Time localTime(std::size_t n) const {
    return nodes_[n].clock_offset + static_cast<Time>(static_cast<double>(now) * nodes_[n].clock_rate);
  }
  void schedule(std::size_t n, Time when, std::function<void(Member&, Output&)> handler) {
    events_.push(
        {when, event_count_++, [this, n, incarnation = nodes_[n].incarnation, handler = std::move(handler)] {
           Node& node = nodes_[n];
           if (node.incarnation != incarnation || !node.member) return;
           if (node.frozen) return schedule(n, now + kStep, handler);  // stays in the socket's buffer
           Output out;
           handler(*node.member, out);
           perform(n, out);
         }});
  }

  void perform(std::size_t n, Output& out) {
    for (const std::string& line : out.log_lines)
      log_ += std::to_string(static_cast<double>(now) / 1e6).substr(0, 6) + " " + std::to_string(n) + " " +
              line + "\n";
    if (out.discard_storage) nodes_[n].disk.clear(), nodes_[n].installation += 100'000;
    for (const StoredGrant& stored : out.writes) {
      events_.push(
          {now + options_.sync_time, event_count_++, [this, n, stored, incarnation = nodes_[n].incarnation] {
             Node& node = nodes_[n];
             if (node.incarnation != incarnation || !node.member) return;  // the crash came before the sync
             if (options_.has_storage) {
               StoredGrant& on_disk = node.disk[stored.service];
               if (stored.grant.term >= on_disk.grant.term) on_disk = stored;
             }
             if (node.frozen)
               return schedule(n, now + kStep, [this, n, stored](Member& m, Output& o) {
                 m.onStored(localTime(n), stored, true, o);
               });
             Output more;
             node.member->onStored(localTime(n), stored, true, more);
             perform(n, more);
           }});
    }
    for (const OutgoingMessage& message : out.messages) {
      ++messages_;
      if (random_.unit() < options_.loss || link_cut(n, message.to)) continue;
      const Time arrival =
          now + 1 + static_cast<Time>(random_.unit() * static_cast<double>(options_.max_delay));
      schedule(message.to, arrival, [this, n, message](Member& m, Output& o) {
        if (!link_cut(n, message.to))
          m.receive(localTime(message.to), static_cast<Number>(n), message.bytes, o);
      });
    }
  }

  void step() {
    while (!events_.empty() && events_.top().when <= now) {
      const auto action = events_.top().action;
      events_.pop();
      action();
    }
    if (now % (100 * kMillisecond) == 0) {
      const auto known_lost = std::vector<SiteId>(lost_sites.begin(), lost_sites.end());
      for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (isRunning(n)) observe(n, known_lost);
      }
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!isRunning(n) || nodes_[n].member->due() > localTime(n)) continue;
      Output out;
      nodes_[n].member->onTime(localTime(n), out);
      perform(n, out);
    }
    checkInvariants();
  }

  // A member is live to another one until a second after their last contact.
  void observe(std::size_t n, const std::vector<SiteId>& known_lost) {
    LivenessView liveness;
    for (std::size_t o = 0; o < nodes_.size(); ++o) {
      Time& last_contact = last_contact_[{n, o}];
      if (o == n || (isRunning(o) && !link_cut(n, o) && !link_cut(o, n))) last_contact = now;
      if (o == n || (last_contact != 0 && now - last_contact < kSecond))
        liveness.live.push_back(static_cast<Number>(o));
    }
    liveness.lost = known_lost;
    nodes_[n].member->observe(localTime(n), std::move(liveness));
  }

  // Safety invariants in true time: requests of a service may be sent to one site at a time, and to the next
  // one only after the drain time of the previous one. The terms under which requests may be sent only
  // increase.
  void checkInvariants() {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!isRunning(n)) continue;
      for (const Service& s : nodes_[n].services) {
        const Permit p = permit(n, s.id);
        if (!p.ok()) continue;
        for (const auto& [other, last] : last_sent_[s.id]) {
          if (other != p.site && now - last < options_.settings.drain)
            reportViolation(n, s, "may be sent while requests sent to another site may still run");
        }
        Term& term = newest_terms_[s.id];
        if (p.term < term && last_sent_[s.id][p.site] != now)
          reportViolation(n, s, "may be sent under an old term");
        term = std::max(term, p.term);
        last_sent_[s.id][p.site] = now;
      }
    }
  }
  void reportViolation(std::size_t n, const Service& s, const std::string& what) {
    if (violations_.size() < 5)
      violations_.push_back(std::to_string(static_cast<double>(now) / 1e6) + " member " + std::to_string(n) +
                            ", " + s.name + ": " + what);
  }

  Options options_;
  load_balancer::Random random_;
  std::vector<ListedMember> listed_;
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
  std::uint64_t event_count_ = 0;
  std::size_t messages_ = 0;
  std::map<std::pair<std::size_t, std::size_t>, Time> last_contact_;
  std::map<ServiceId, std::map<SiteId, Time>> last_sent_;
  std::map<ServiceId, Term> newest_terms_;
  std::vector<std::string> violations_;
  std::string log_;
};

}  // namespace client_proxy::leases::test
