// Which server takes a request: the least busy member of the subset, ties by turn.
#pragma once

#include <iterator>

#include "containers/generational_slot_map.h"
#include "repeats.h"

namespace load_balancer::decision {

struct Picking : Repeats {
  std::uint64_t looked_at = 0;  // servers weighed in picks, for tests of cost

  // How many turns a server gets: its listed size and its measured speed.
  double weight(const Server& s) const {
    const double size = settings.weighted && s.host.capacity > 0 ? s.host.capacity : 1;
    const double latency_ratio = std::clamp(s.latency_ratio, 0.5, 8.0);
    return size /
           (latency_ratio * latency_ratio * latency_ratio);  // cubed: at half the pace a queue is far longer
  }
  void takeTurn(Server& s) const { s.turn += 1 / weight(s); }

  bool eligible(const Live& r, Server& s, bool last_resort = false) {
    if (!gate(r, s)) return false;
    if (last_resort) return coldAllows(s, true);
    if (r.tried(s)) return false;
    if (s.out) return trialAllowed(s, r);
    if (coldAllows(s, false)) return true;
    // No turns are saved up for later: they would come in a burst.
    s.turn = std::max(s.turn, recent_turn);
    return false;
  }

  // The member with the fewest own requests in flight, ties by turn.
  Server* leastBusy(const Live& r, std::size_t from, std::size_t to, bool last_resort = false) {
    Server* best = nullptr;
    for (std::size_t i = from; i < to; ++i) {
      Server* s = order[i];
      ++looked_at;
      const bool better =
          best == nullptr || std::pair(busy(*s), s->turn) < std::pair(busy(*best), best->turn);
      if (better && eligible(r, *s, last_resort)) best = s;
    }
    return best;
  }

  Server* pick(const Live& r) {
    const std::size_t to = bound(r) ? order.size() : reach;  // then any server of the group will do
    if (Server* s = leastBusy(r, 0, to)) return s;
    // None of the subset can take it: the next in order stand in, one subset's length further at a time.
    const std::size_t end = std::min(order.size(), to + kStandIns);
    for (std::size_t from = to; from < end; from += kSubset) {
      if (Server* s = leastBusy(r, from, std::min(end, from + kSubset))) return s;
    }
    return leastBusy(r, 0, to, true);
  }

  // Why this server: asked for before the send is booked. Walks the order, hence only where settings.explain.
  Reason explain(const Live& r, const Server& s, bool by_report) const {
    const auto at = static_cast<std::size_t>(std::find(order.begin(), order.end(), &s) - order.begin());
    if (s.out) return Reason::EjectionTrial;
    if (bound(r)) return Reason::ScopedRetry;
    if (s.cold_since != 0) return Reason::SlowStart;
    if (by_report) return Reason::LeastReportedLoad;
    if (at >= wanted || at >= reach) return Reason::Substitute;
    return at >= kSubset ? Reason::ExtendedSubset : Reason::LeastLoaded;
  }

  static constexpr std::size_t kStandIns = 48;  // looked at beyond it: a pick's cost stays the subset's
  static constexpr double kSlow = 2;            // times the others: not what chance makes of equal servers

  // An ejected server whose time is over takes one request that may be repeated; a probe is cheaper.
  bool trialAllowed(const Server& s, const Live& r) const {
    return s.out && now >= s.out_until && s.in_flight == 0 && !settings.may_health_check && fitForTrial(r);
  }
  // Requests in flight; at a server that has been slow for long each counts for more.
  static double busy(const Server& s) {
    return s.latency_ratio < kSlow ? s.in_flight : s.in_flight * s.latency_ratio / kSlow;
  }
};

// Asking servers for their load before a send, where they report it to probes only.
struct Asking : Picking {
  client_proxy::containers::GenerationalSlotMap<RequestId, Live> requests;

  bool mayAsk(const Live& r) const {
    return settings.reports == ReportSource::HealthChecks && settings.may_health_check &&
           now >= distrust_until && !r.asking && r.outstanding == 0 && r.give_up - now > 4 * timeFor(r);
  }

  // Ties tell nothing of the others' load. Some of the tied are asked first: of the own zone, of them one by
  // the key (warm keys are met again), the last from all.
  bool ask(Live& r, Actions& out) {
    r.asked.clear();
    const Server* first = leastBusy(r, 0, reach);
    if (first == nullptr) return false;
    const auto begin = order.begin();
    std::vector<Server*> tied;
    std::copy_if(begin, begin + static_cast<std::ptrdiff_t>(reach), std::back_inserter(tied),
                 [&](Server* s) { return !s->out && s->in_flight == first->in_flight && eligible(r, *s); });
    if (tied.size() < 2) return false;
    while (r.asked.size() < kAsked && !tied.empty()) {
      const bool by_key = keyed(r, r.asked.size()), anywhere = r.asked.size() + 1 == kAsked;
      const auto best = std::min_element(tied.begin(), tied.end(), [&](const Server* a, const Server* b) {
        if (!anywhere && home(*a) != home(*b)) return home(*a);
        return by_key ? affinity(r, *a) < affinity(r, *b) : a->turn < b->turn;
      });
      r.asked.push_back(*best);
      tied.erase(best);
    }
    for (Server* s : r.asked) probe(*s, out);
    r.asking = true;
    r.asking_since = now;
    asking.push_back(r.id);
    setTimer(out, now + timeFor(r), r.timer);
    return true;
  }

  // A probe has come back: whoever waited for it last, or finds an idle server in its zone, goes on.
  std::vector<RequestId> heard(const Server& s, bool ok) {
    std::vector<RequestId> ready;
    for (const RequestId id : asking) {
      const Live* r = requests.find(id);
      if (r == nullptr || std::find(r->asked.begin(), r->asked.end(), &s) == r->asked.end()) continue;
      const bool all = std::none_of(r->asked.begin(), r->asked.end(), [](auto* a) { return a->probing; });
      if (all || (ok && s.reported < 1 && home(s))) ready.push_back(id);
    }
    return ready;
  }

  // Reported least, in requests: one from afar counts one more, one that the key is bound to one less.
  Server* leastReported(Live& r) {
    Server* best = nullptr;
    double least = 0;
    for (std::size_t n = 0; r.asking && n < r.asked.size(); ++n) {
      Server& s = *r.asked[n];
      if (s.reported_at < r.asking_since || s.out || !eligible(r, s)) continue;
      const double latency_ratio = std::clamp(s.latency_ratio, 0.5, 8.0);
      const double cost = (s.reported + 1) * latency_ratio + (home(s) ? 0 : 1) - (keyed(r, n) ? 1 : 0);
      if (best == nullptr || cost < least) best = &s, least = cost;
    }
    stopAsking(r);
    return best;
  }
  void stopAsking(Live& r) {
    if (std::exchange(r.asking, false)) std::erase(asking, r.id);
  }
  // After each change of who is listed.
  void relist() {
    rebuildOrder();
    for (const RequestId id : asking)
      std::erase_if(requests.find(id)->asked, [](auto* s) { return !s->listed; });
    forgetGone();
  }

  // Late reports lead all clients to servers that were idle a while ago; late answers from those show it.
  void trust(const Live& r, const Attempt& a, const Outcome& o) {
    if (!a.by_report || (o.result != Result::Ok && o.result != Result::TimedOut)) return;
    const bool surprise = o.result == Result::TimedOut || o.latency > classOf(r).latency_objective;
    surprises += 0.2 * ((surprise ? 1 : 0) - surprises);
    if (surprises < kDistrust) return;
    surprises = kDistrust / 2;
    distrust_until = now + kDistrusted;
  }

  static constexpr std::size_t kAsked = 3;  // members asked before a send: more tell little more
  static constexpr Time kAskPart = 10;      // of the aim: longer than a probe takes, short beside the work
  static constexpr double kDistrust = 0.3;  // two surprises in a row
  static constexpr Time kDistrusted = 5 * kSecond;  // late reports last; trying again costs a surprise or two

  Time timeFor(const Live& r) const { return classOf(r).latency_objective / kAskPart; }
  bool home(const Server& s) const { return s.host.zone == settings.zone; }
  bool keyed(const Live& r, std::size_t n) const { return n == 0 && settings.warm_keys && r.key != kUnset; }
  static std::uint64_t affinity(const Live& r, const Server& s) {
    auto h = static_cast<std::uint64_t>(r.key);
    for (const char c : s.host.id) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
    return Random(h).next();
  }

  double surprises = 0;           // part of the sends by report that took far longer than it let expect
  Time distrust_until = 0;        // reports come late, it seems: they decide nothing meanwhile
  std::vector<RequestId> asking;  // for load reports
};

}  // namespace load_balancer::decision
