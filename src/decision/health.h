// Which servers are passed over because they failed, and when they may prove themselves.
#pragma once

#include "cold.h"

namespace load_balancer::decision {

constexpr Time kFirstOut = kSecond;        // first ejection: about what one trial costs is risked each second
constexpr Time kLongestOut = 8 * kSecond;  // a server that returns is found within seconds
constexpr double kTimeoutEvidence = 0.5;   // long requests time out at sound servers: two in a row tell more
constexpr double kBrokenEvidence = 0.3;    // spoilt or cut short: sound servers do it too, only a run tells
constexpr double kMaxOut = 0.4;            // of the subset: if more fail, the fault is not theirs
constexpr double kMaxUnreachable = 0.75;   // of those that can't be connected to, which are of no use at all

struct Health : ColdStart {
  // Evidence against a server. False if it is not ejected: too little, or too many fail for it to be theirs.
  bool strike(Server& s, bool unresponsive, double evidence, Actions& out, double most_out = kMaxOut) {
    s.failure_score =
        s.failure_score * std::exp2(-static_cast<double>(now - s.failure_score_at) / kStrikeHalf) + evidence;
    s.failure_score_at = now;
    if (s.failure_score < kEnough) return false;
    if (!s.out) {
      const auto outs = std::count_if(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(reach),
                                      [](const Server* o) { return o->out; });
      // Never too many of them, and the last one is better than none.
      if (members <= 1 || static_cast<double>(outs + 1) > std::max(1.0, most_out * members)) return false;
    }
    if (!std::exchange(s.out, true)) s.out_since = now;
    s.unresponsive = unresponsive;
    const double length =
        std::min<double>(kLongestOut, kFirstOut * std::exp2(std::max(0.0, s.failure_score - 1)));
    s.out_until = now + static_cast<Time>(length * spreadOut());
    returnAt(s.out_until);
    measureReach();
    trace(out, Line::Ejected, "ejected " + s.host.id);
    return true;
  }
  // An answer takes back less than a failure adds, so that part failures show.
  static void mend(Server& s) { s.failure_score *= kAnswerMends; }

  // `asked`: when it was asked what it answers now. A silent one may have restarted since it was ejected.
  void readmit(Server& s, Time asked, Actions& out) {
    if (!s.out) return;
    s.out = s.by_zone = false;
    if (s.unresponsive && settings.slow_start_duration > 0 && asked > s.out_since) startCold(s, now);
    measureReach();
    trace(out, Line::Readmitted, "readmitted " + s.host.id);
  }

  // Ejected servers whose time is over are probed where that is permitted; of a zone one.
  void proveReturning(Actions& out) {
    if (next_return == 0 || now < next_return) return;
    next_return = 0;
    std::vector<std::int32_t> asked_zones;
    for (Server* s : order) {
      if (!s->out) continue;
      if (s->by_zone && now >= s->out_until) {
        if (std::find(asked_zones.begin(), asked_zones.end(), s->host.zone) != asked_zones.end()) continue;
        asked_zones.push_back(s->host.zone);
      }
      if (now < s->out_until) {
        returnAt(s->out_until);
      } else if (settings.may_health_check && s->inService()) {
        probe(*s, out);
      }
    }
  }
  static void probe(Server& s, Actions& out) {
    if (!std::exchange(s.probing, true))
      out.push_back({.kind = ActionKind::HealthCheck, .server = s.host.id});
  }

  // As another Balancer has left it.
  void recallOne(Server& s, const HostSnapshot& k) {
    if (std::isfinite(k.latency_ratio) && k.latency_ratio > 0)
      s.latency_ratio = std::min(k.latency_ratio, 8.0);
    if (std::isfinite(k.failure_score) && k.failure_score >= 0) s.failure_score = k.failure_score;
    s.failure_score_at = std::min(std::max<Time>(k.failure_score_at, 0), now);
    if (k.cold_since > 0 && k.cold_since <= now && now - k.cold_since < settings.slow_start_duration)
      startCold(s, k.cold_since);
    if (s.cold_since != 0) s.cold_tokens = 0;
    if (!k.ejected) return;
    s.out = true;
    s.unresponsive = k.unresponsive;
    s.out_since = std::min(k.ejected_since, now);
    s.out_until = std::min(k.ejected_until, now + kLongestOut);
    returnAt(s.out_until);
  }

  // Clients that found out together do not come back together.
  double spreadOut() { return 0.75 + 0.5 * random.unit(); }

  static constexpr double kStrikeHalf = 10e6;  // evidence against a server halves in this time
  static constexpr double kEnough = 0.9;       // evidence that ejects: one clear failure, decayed a little
  static constexpr double kAnswerMends = 0.8;
};

}  // namespace load_balancer::decision
