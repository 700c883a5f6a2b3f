// A fleet of members that hold deeds, in one process: their clocks run apart, their messages are late, lost
// or cut off, they stop, freeze and come back with their memory, an older one, another's or none. True time
// is a number; what must hold of it is looked at in every step.
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
  struct Shape {
    std::size_t members = 12, sites = 3;
    std::vector<Service> services;
    double loss = 0;
    Time delay = 20 * kMillisecond;  // at most, of one message
    Time sync = 5 * kMillisecond;    // of the disk
    bool memory = true;
    Settings settings{};
  };
  static std::string zone(std::size_t n) { return std::string(1, static_cast<char>('a' + n)); }
  static SiteId site(std::size_t n) { return siteId(zone(n)); }
  static Service service(const std::string& name, std::size_t home, std::optional<std::size_t> stand_by) {
    return {name, serviceId(name), site(home), stand_by ? site(*stand_by) : kNoSite};
  }

  LeasesFleet(const Shape& shape, std::uint64_t seed) : shape_(shape), random_(seed) {
    shape_.settings.drain = 2 * kSecond;
    for (std::size_t n = 0; n < shape.members; ++n)
      listed_.push_back({static_cast<Number>(n), site(n % shape.sites)});
    nodes_.resize(shape.members);
    for (std::size_t n = 0; n < shape.members; ++n) {
      nodes_[n].rate = 1 + (random_.unit() - 0.5) * 2 * shape_.settings.drift * 0.98;
      nodes_[n].offset = static_cast<Time>(random_.unit() * 1e9);
      nodes_[n].services = shape.services;
      nodes_[n].installation = static_cast<std::uint32_t>(1000 + n);
      begin(n);
    }
  }

  // ---- faults ----

  std::function<bool(std::size_t, std::size_t)> cut = [](auto, auto) { return false; };
  std::set<SiteId> lost;  // whose hosts are silent to all; known half a second later
  void crash(std::size_t n) { nodes_[n].member.reset(), ++nodes_[n].life; }
  void begin(std::size_t n) {
    Node& node = nodes_[n];
    ++node.life;
    Settings settings = shape_.settings;
    settings.config_hash = node.file;
    node.member =
        std::make_unique<Member>(settings, node.services, listed_, static_cast<Number>(n), random_.next());
    std::vector<StoredGrant> remembered;
    for (const auto& [id, k] : node.disk) remembered.push_back(k);
    node.member->start(local(n), shape_.memory ? remembered : std::vector<StoredGrant>(),
                       shape_.memory ? node.installation : 0);
    Output out;
    node.member->onTime(local(n), out);
    carryOut(n, out);
  }
  void freeze(std::size_t n, bool frozen) { nodes_[n].frozen = frozen; }
  std::map<ServiceId, StoredGrant>& disk(std::size_t n) { return nodes_[n].disk; }
  void setInstallation(std::size_t n, std::uint32_t installation) { nodes_[n].installation = installation; }
  void setFile(std::size_t n, std::uint32_t file, std::vector<Service> services) {
    nodes_[n].file = file;
    nodes_[n].services = std::move(services);
  }
  std::string decree(std::size_t n, ServiceId s, std::size_t to) {
    Output out;
    const std::string said = nodes_[n].member->overrideOwner(local(n), s, site(to), out);
    carryOut(n, out);
    return said;
  }
  void hostTerm(std::size_t n, ServiceId s, Term term) {
    Output out;
    nodes_[n].member->onHostTerm(local(n), s, term, out);
    carryOut(n, out);
  }

  // ---- time ----

  Time now = 0;
  void runFor(Time time) {
    for (const Time end = now + time; now < end; now += kStep) step();
  }
  bool runUntil(const std::function<bool()>& holds, Time most) {
    for (const Time end = now + most; now < end; now += kStep) {
      step();
      if (holds()) return true;
    }
    return false;
  }

  // ---- what came of it ----

  Member& member(std::size_t n) { return *nodes_[n].member; }
  bool up(std::size_t n) const { return nodes_[n].member != nullptr && !nodes_[n].frozen; }
  Permit permit(std::size_t n, ServiceId s) const { return nodes_[n].member->permit(s, local(n)); }
  // All that run may send this service there.
  bool served(ServiceId s, std::size_t at) const {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!up(n)) continue;
      const Permit p = permit(n, s);
      if (!p.ok() || p.site != site(at)) return false;
    }
    return true;
  }
  bool servedBySome(ServiceId s) const {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (up(n) && permit(n, s).ok()) return true;
    }
    return false;
  }
  std::size_t found(ConflictKind kind) const {
    std::size_t all = 0;
    for (const Node& node : nodes_) all += node.member ? node.member->conflicts().count(kind) : 0;
    return all;
  }
  // What each holds of a service, for messages.
  std::string state(ServiceId s) const {
    std::string all;
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!up(n)) continue;
      const Grant d = nodes_[n].member->known(s);
      const Permit p = permit(n, s);
      all += std::to_string(n) + ": knows term " + std::to_string(d.term) + " at " + std::to_string(d.site) +
             ", " + std::string(nameOf(p.denial)) +
             (nodes_[n].member->synchronized(local(n)) ? "" : ", has not heard") +
             (nodes_[n].member->disputed(s) ? ", disputed" : "") +
             (nodes_[n].member->isSiteLeader() ? ", keeper" : "") + "\n";
    }
    return all;
  }
  const std::vector<std::string>& broken() const { return broken_; }
  const std::string& log() const { return log_; }
  std::size_t messages() const { return messages_; }

 private:
  struct Node {
    std::unique_ptr<Member> member;
    std::uint64_t life = 0;
    double rate = 1;
    Time offset = 0;
    bool frozen = false;
    std::map<ServiceId, StoredGrant> disk;
    std::uint32_t installation = 0, file = 1;
    std::vector<Service> services;
  };
  struct Event {
    Time when;
    std::uint64_t order;
    std::function<void()> happen;
    bool operator<(const Event& o) const { return when != o.when ? when > o.when : order > o.order; }
  };

  Time local(std::size_t n) const {
    return nodes_[n].offset + static_cast<Time>(static_cast<double>(now) * nodes_[n].rate);
  }
  void later(std::size_t n, Time when, std::function<void(Member&, Output&)> what) {
    events_.push({when, order_++, [this, n, life = nodes_[n].life, what = std::move(what)] {
                    Node& node = nodes_[n];
                    if (node.life != life || !node.member) return;
                    if (node.frozen) return later(n, now + kStep, what);  // it waits in the socket
                    Output out;
                    what(*node.member, out);
                    carryOut(n, out);
                  }});
  }

  void carryOut(std::size_t n, Output& out) {
    for (const std::string& line : out.log_lines)
      log_ += std::to_string(static_cast<double>(now) / 1e6).substr(0, 6) + " " + std::to_string(n) + " " +
              line + "\n";
    if (out.discard_storage) nodes_[n].disk.clear(), nodes_[n].installation += 100'000;
    for (const StoredGrant& k : out.writes) {
      events_.push({now + shape_.sync, order_++, [this, n, k, life = nodes_[n].life] {
                      Node& node = nodes_[n];
                      if (node.life != life || !node.member) return;  // the cut came before the sync
                      if (shape_.memory) {
                        StoredGrant& kept = node.disk[k.service];
                        if (k.grant.term >= kept.grant.term) kept = k;
                      }
                      if (node.frozen)
                        return later(n, now + kStep, [this, n, k](Member& m, Output& o) {
                          m.onStored(local(n), k, true, o);
                        });
                      Output more;
                      node.member->onStored(local(n), k, true, more);
                      carryOut(n, more);
                    }});
    }
    for (const OutgoingMessage& p : out.messages) {
      ++messages_;
      if (random_.unit() < shape_.loss || cut(n, p.to)) continue;
      const Time at = now + 1 + static_cast<Time>(random_.unit() * static_cast<double>(shape_.delay));
      later(p.to, at, [this, n, p](Member& m, Output& o) {
        if (!cut(n, p.to)) m.receive(local(p.to), static_cast<Number>(n), p.bytes, o);
      });
    }
  }

  void step() {
    while (!events_.empty() && events_.top().when <= now) {
      const auto happen = events_.top().happen;
      events_.pop();
      happen();
    }
    if (now % (100 * kMillisecond) == 0) {
      const auto known_lost = std::vector<SiteId>(lost.begin(), lost.end());
      for (std::size_t n = 0; n < nodes_.size(); ++n) {
        if (up(n)) look(n, known_lost);
      }
    }
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!up(n) || nodes_[n].member->due() > local(n)) continue;
      Output out;
      nodes_[n].member->onTime(local(n), out);
      carryOut(n, out);
    }
    check();
  }

  // Who is there: by links as they are, a second late.
  void look(std::size_t n, const std::vector<SiteId>& known_lost) {
    LivenessView outlook;
    for (std::size_t o = 0; o < nodes_.size(); ++o) {
      Time& seen = seen_[{n, o}];
      if (o == n || (up(o) && !cut(n, o) && !cut(o, n))) seen = now;
      if (o == n || (seen != 0 && now - seen < kSecond)) outlook.live.push_back(static_cast<Number>(o));
    }
    outlook.lost = known_lost;
    nodes_[n].member->observe(local(n), std::move(outlook));
  }

  // In true time no two sites may be sent work, and the later one only once nothing of the earlier can be
  // under way. Terms that may be sent under only grow.
  void check() {
    for (std::size_t n = 0; n < nodes_.size(); ++n) {
      if (!up(n)) continue;
      for (const Service& s : nodes_[n].services) {
        const Permit p = permit(n, s.id);
        if (!p.ok()) continue;
        for (const auto& [other, last] : last_[s.id]) {
          if (other != p.site && now - last < shape_.settings.drain)
            say(n, s, "sent while another site's may run");
        }
        Term& term = terms_[s.id];
        if (p.term < term && last_[s.id][p.site] != now) say(n, s, "sent under an old term");
        term = std::max(term, p.term);
        last_[s.id][p.site] = now;
      }
    }
  }
  void say(std::size_t n, const Service& s, const std::string& what) {
    if (broken_.size() < 5)
      broken_.push_back(std::to_string(static_cast<double>(now) / 1e6) + " member " + std::to_string(n) +
                        ", " + s.name + ": " + what);
  }

  Shape shape_;
  load_balancer::Random random_;
  std::vector<ListedMember> listed_;
  std::vector<Node> nodes_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  std::size_t messages_ = 0;
  std::map<std::pair<std::size_t, std::size_t>, Time> seen_;
  std::map<ServiceId, std::map<SiteId, Time>> last_;
  std::map<ServiceId, Term> terms_;
  std::vector<std::string> broken_;
  std::string log_;
};

}  // namespace client_proxy::leases::test
