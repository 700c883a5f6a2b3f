// What the module does at each event. The ordinary path is Rocksteadier subsetting and least in flight, ties
// by turn; each exception says beside it when it acts.
#pragma once

#include "requests.h"

namespace load_balancer {

struct Balancer::Impl : decision::Serving {
  using Server = decision::Server;
  Impl(Settings s, std::uint64_t seed) {
    validate(s);
    settings = std::move(s);
    random = Random(seed);
    fit();
  }
  void fit() {
    shedding.fit();
    fitRepeats();
  }
  void reconfigure(Settings next) {
    validateChange(settings, next);
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
      if (!(next.classes[i] == settings.classes[i])) shedding.forgetClass(i);
    }
    settings = std::move(next);
    fit();
  }
  Impl& at(Time t) {
    if (begin(t)) arrivals.begin(t), distrust_until = t;
    return *this;
  }

  // True: who is listed, or may be used, is not who it was.
  bool takeList(ListKind kind, std::span<const Host> hosts, Actions& out) {
    if (kind == ListKind::Unavailable) {
      list_stale = true;
      if (settings.discovery == Discovery::Poll) askLater(out);
      trace(out, Line::Listing, "list stale: discovery unavailable");
      return false;
    }
    if (kind != ListKind::Restored && std::exchange(list_stale, false))
      trace(out, Line::Listing, "list fresh again");
    bool changed = false;
    std::vector<Server*> newcomers;
    // Else what the list lacks is gone.
    for (auto& [id, s] : table) s.named = kind == ListKind::Changes;
    for (const Host& h : hosts) changed |= takeEntry(h, newcomers);
    for (auto& [id, s] : table) {
      if (s.listed && !s.named) remove(s), changed = true;
    }
    // Newcomers of one update take the lowest free slots in the order of their ids.
    std::sort(newcomers.begin(), newcomers.end(), [](auto* a, auto* b) { return a->host.id < b->host.id; });
    for (Server* s : newcomers) slots.take(*s);
    return changed;
  }

  // A restart of many clients must not stampede discovery: the first call waits at random, failures back off.
  void discoveryAnswered(ListKind kind, Actions& out) {
    if (settings.discovery != Discovery::Poll || kind == ListKind::Unavailable) return;
    if (kind == ListKind::Restored) {
      const double within = std::min(3e6, static_cast<double>(settings.poll_interval) / 3);
      setTimer(out, now + static_cast<Time>(random.unit() * within), kDiscoveryTimer);
    } else {
      subscribed = true;
    }
  }
  void onTimer(std::uint64_t timer, Actions& out) {
    if (timer == kDiscoveryTimer && !subscribed) out.push_back({.kind = ActionKind::Subscribe});
    Serving::onTimer(timer, out);
  }

  bool takeEntry(const Host& h, std::vector<Server*>& newcomers) {
    if (h.state == HostState::Gone) {
      Server* const gone = find(h.id);
      if (gone == nullptr || !gone->listed) return false;
      remove(*gone);
      return true;
    }
    Server& s = table[h.id];
    const bool restarted = s.listed && h.started_at > s.host.started_at;
    const bool changed = !s.listed || s.host.state != h.state || restarted;
    s.host = h;
    const bool news = s.cold_since == 0 || h.started_at > s.cold_since;
    if (h.started_at != 0 && news && now - h.started_at < settings.slow_start_duration)
      startCold(s, h.started_at);
    if (restarted)
      s.out = false, s.failure_score = 0, s.latency_ratio = 1;  // what the old process did says nothing
    if (!s.listed) newcomers.push_back(&s);
    s.listed = s.named = true;
    return changed;
  }

  // A change counts as told 6 s after discovery had it and could be reached (net/discovery.h adds it up): a
  // watch that broke is asked for anew soon, and no call waits longer than 2 s.
  void askLater(Actions& out) {
    const bool broke = std::exchange(subscribed, false);
    const double wait = broke ? kSoon * random.unit() : ask_backoff * spreadOut();
    setTimer(out, now + static_cast<Time>(wait), kDiscoveryTimer);
    ask_backoff = broke ? kFirstBackoff : 2 * kFirstBackoff;
  }

  static constexpr std::uint64_t kDiscoveryTimer = 0;
  static constexpr double kSoon = 0.7e6, kFirstBackoff = 0.8e6;
  double ask_backoff = kFirstBackoff;
  bool subscribed = false, list_stale = false;

  void onServers(ListKind kind, std::span<const Host> hosts, Actions& out) {
    if (takeList(kind, hosts, out)) relist();
    discoveryAnswered(kind, out);
  }

  void onHealthCheck(std::string_view id, bool ok, Time latency, const LoadReport& load, Actions& out) {
    Server* const probed = find(id);
    if (probed == nullptr || !probed->probing) return;
    Server& s = *probed;
    s.probing = false;
    if (ok && load.in_flight >= 0) {
      s.reported = load.in_flight;
      s.reported_at = now;
    }
    if (!s.out) {
      if (ok) zone_observations.answered(s.host.zone, now - latency, now);
      if (!ok && zone_observations.suspected(s.host.zone)) silence(s, now - latency, true, out);
      for (const RequestId waiting : heard(s, ok)) resume(*requests.find(waiting), out);
    } else if (s.listed && ok) {
      s.unproven = true;
      answered(s, now, out);
      readmit(s, now, out);
    } else if (s.listed) {
      strike(s, true, 1, out);
      stillSilent(s, now - latency);
    } else if (s.by_zone) {
      next_return = now;  // another of its zone is asked
    }
  }

  // Staff take a server out, or put it back: it has been restarted meanwhile and is cold.
  bool maintain(std::string_view id, bool in_maintenance) {
    Server* const s = find(id);
    if (s == nullptr || !(s->listed || s->banned)) return false;
    if (s->banned == in_maintenance) return true;
    s->banned = in_maintenance;
    if (!in_maintenance) {
      s->out = false, s->failure_score = 0, s->latency_ratio = 1;
      startCold(*s, now);
      if (!s->listed) slots.give(*s);
    }
    relist();
    return true;
  }

  std::vector<HostSnapshot> snapshot() const {
    std::vector<HostSnapshot> all;
    for (const auto& [id, s] : table) {
      if (!s.listed && !s.banned) continue;
      all.push_back({id, s.slot, s.banned, s.out, s.unresponsive, s.out_since, s.out_until, s.failure_score,
                     s.failure_score_at, s.cold_since, s.latency_ratio});
    }
    return all;
  }
  void restore(std::span<const HostSnapshot> known, Actions& out) {
    for (const HostSnapshot& k : known) {
      Server* s = find(k.id);
      if (s == nullptr && k.in_maintenance) {
        s = &table[k.id];
        s->host = {.id = k.id, .state = HostState::Gone};
      }
      if (s == nullptr) continue;
      s->banned = k.in_maintenance;
      recallOne(*s, k);
    }
    recallSlots(known);
    relist();
    if (settings.discovery == Discovery::Poll && !subscribed) setTimer(out, now, kDiscoveryTimer);
  }

  HostCounts hostCounts() const {
    HostCounts all;
    for (const auto& [id, s] : table) {
      all.listed += s.listed ? 1U : 0U;
      all.avoided += s.listed && !s.usable() ? 1U : 0U;
    }
    return all;
  }
};

}  // namespace load_balancer
