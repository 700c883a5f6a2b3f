// Every decision of weldflow. Types, events and actions: include/weldflow/balancer.h.
// The ordinary path is Rocksteadier subsetting and least in flight, ties by turn; each exception says beside
// it under which condition it acts.
#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <limits>
#include <map>
#include <numeric>
#include <unordered_map>
#include <utility>

#include "locality/sight.h"
#include "random.h"
#include "weldflow/balancer.h"

namespace weldflow {
namespace {

constexpr Time kSecond = 1'000'000;

// ---- constants, each with its reason ----
constexpr std::uint32_t kLot = 10;     // the paper's lot size: diverse enough, hardly unbalanced
constexpr std::uint32_t kSubset = 12;  // some stand-ins beyond the spread of a few failures, few connections
constexpr std::size_t kStandIns = 48;  // looked at beyond it: a pick's cost stays the subset's
constexpr double kReach = 4;           // members for each own request in flight: a hot client spreads out
constexpr Time kShorten = 10 * kSecond;  // a lengthened subset stays this long, so that bursts do not flap it
constexpr double kRateMemory = 4e6;      // arrivals are averaged over this: longer than bursts
constexpr Time kFirstOut = kSecond;      // first ejection: about what one trial costs is risked each second
constexpr Time kLongestOut = 8 * kSecond;  // a server that returns is found within seconds
constexpr double kStrikeHalf = 10e6;       // evidence against a server halves in this time
constexpr double kTimeoutEvidence = 0.5;   // long requests time out at sound servers: two in a row tell more
constexpr double kBrokenEvidence = 0.3;    // spoilt or cut short: sound servers do it too, only a run tells
constexpr double kEnough = 0.9;            // evidence that ejects: one clear failure, decayed a little
constexpr double kAnswerMends = 0.8;  // an answer takes back less than a failure adds, so part failures show
constexpr double kMaxOut = 0.4;       // of the subset: if more fail, the fault is not theirs
constexpr double kMaxUnreachable = 0.75;  // of those that can't be connected to, which are of no use at all
constexpr double kBudgetShare = 0.15;     // repeats allowed for each request: bounded extra load in overload;
                                          // as many may be sent for clients that will not wait for the answer
constexpr double kBudgetMost = 10;        // a burst of either: what a small failure needs at once
constexpr double kRecent = 0.99;          // the mix of arrivals is taken over the last hundred
constexpr double kShedGain = 0.05;        // shedding follows some twenty outcomes: faster than a queue fills
constexpr double kLateFrom = 0.4;         // an answer after this part of its aim begins to count as late
constexpr double kLateTarget = 0.2;  // so much lateness on average is a full fleet; more is a growing queue
constexpr double kMostShed = 0.95;   // a few requests keep telling whether the overload is over
constexpr double kAtEase = 0.7;      // of the others' time: a cold server that is not pushed over
constexpr double kEaseGain = 1.5;    // its share grows by this: what is served at once is within its capacity
constexpr double kSlow = 2;          // times the others: not what chance makes of equal servers
constexpr double kShedNoted = 0.1;   // of arrivals: less is the noise of a busy hour, not worth a line
constexpr double kFullLate = 0.35;   // a full server: overload once more than half are full
constexpr std::size_t kAsked = 3;    // members asked for their load before a send: more tell little more
constexpr Time kAskPart = 10;        // of the aim: longer than a probe takes, short beside the work
constexpr double kDistrust = 0.3;    // two surprises in a row
constexpr Time kDistrusted = 5 * kSecond;  // late reports last; trying again costs a surprise or two

// The van der Corput point of n as a 32-bit fraction of the circle: its bits reversed.
std::uint32_t ringPoint(std::uint32_t n) {
  std::uint32_t r = 0;
  for (int i = 0; i < 32; ++i, n >>= 1) r = (r << 1) | (n & 1U);
  return r;
}

}  // namespace

// ---- slots and subset ----

std::vector<std::uint32_t> lotOrder(std::uint32_t client_lot, std::uint32_t server_lots) {
  std::vector<std::uint32_t> ring(server_lots);
  std::iota(ring.begin(), ring.end(), 0U);
  std::sort(ring.begin(), ring.end(), [](auto a, auto b) { return ringPoint(a) < ringPoint(b); });
  if (server_lots == 0) return ring;
  // Server lots are spaced evenly in that order, lot number r at r / n; the client lot stays at its own
  // point.
  const std::uint64_t scaled = std::uint64_t{ringPoint(client_lot)} * server_lots;
  const auto first = static_cast<std::ptrdiff_t>(((scaled + 0xFFFFFFFFULL) >> 32) % server_lots);
  std::rotate(ring.begin(), ring.begin() + first, ring.end());
  return ring;
}

std::vector<std::uint32_t> subsetOrder(std::uint32_t client, std::uint32_t slots) {
  static constexpr std::array<std::uint32_t, kLot> kStartRow = {0, 8, 2, 4, 6, 1, 9, 5, 3, 7};
  const std::uint32_t lots = (slots + kLot - 1) / kLot;
  Random random(client / kLot);
  std::vector<std::array<std::uint32_t, kLot>> shuffled(lots);
  for (std::uint32_t lot = 0; lot < lots; ++lot) {
    std::iota(shuffled[lot].begin(), shuffled[lot].end(), lot * kLot);
    for (std::uint32_t i = kLot - 1; i > 0; --i)
      std::swap(shuffled[lot][i], shuffled[lot][random.below(i + 1)]);
  }
  const std::vector<std::uint32_t> columns = lotOrder(client / kLot, lots);
  std::vector<std::uint32_t> order;
  order.reserve(slots);
  for (std::uint32_t row = 0; row < kLot; ++row) {
    for (const std::uint32_t lot : columns) {
      const std::uint32_t slot = shuffled[lot][(kStartRow[client % kLot] + row) % kLot];
      if (slot < slots) order.push_back(slot);  // the rest are placeholders
    }
  }
  return order;
}

struct Balancer::Impl {
  struct Server {
    Host host;
    bool listed = false, named = false;
    bool banned = false;  // taken out by hand: nothing new, whatever is listed, until it is put back
    bool member = false;  // of the subset's prefix
    std::int32_t slot = kUnset;
    std::int32_t in_flight = 0;  // this client's attempts that have no outcome yet
    double turn = 0;             // ties go to the lowest; each send adds to it
    double slowness = 1;         // latency relative to what its classes take on average
    Time last_answer = std::numeric_limits<Time>::min();
    double strikes = 0;  // decaying evidence of failure
    Time struck_at = 0;
    bool out = false;       // ejected: passed over like a placeholder
    bool silent = false;    // ejected for silence: it may come back cold
    bool by_zone = false;   // ejected with its whole zone
    bool unproven = false;  // a probe has readmitted it, and no request was answered since
    bool probing = false;
    Time out_since = 0;
    Time out_until = 0;                    // then a probe or a trial may prove it
    Time cold_since = 0;                   // 0: warm
    double cold_tokens = 0, reported = 0;  // reported: requests it held when it last said so
    Time reported_at = std::numeric_limits<Time>::min();
    Time cold_refilled = 0;
  };
  enum class Run : std::uint8_t { Outstanding, MayHaveRun, NeverRan };
  struct Attempt {
    Server* server = nullptr;
    std::int32_t zone = 0, cell = 0;
    Time sent = 0;
    Run run = Run::Outstanding;
    bool by_report = false;  // sent there because of the load it reported
  };
  struct Live {  // a request that is unanswered or has attempts out
    RequestId id = 0;
    bool used = false, ended = false, streaming = false, asking = false;
    bool faulty = false;  // a server found fault with it: repeating is of no use
    std::uint32_t generation = 0;
    std::int32_t request_class = 0;
    Time arrived = 0, deadline = 0, give_up = 0;
    std::vector<Attempt> attempts;
    std::int32_t outstanding = 0;
    std::int64_t key = kUnset;
    Time asking_since = 0;
    std::vector<Server*> asked;  // for their load, before the next send
  };
  Settings settings;
  Random random;
  Time now = 0, started = 0;
  std::map<std::string, std::unique_ptr<Server>, std::less<>> servers;  // sorted: no decision hangs on a hash
  std::vector<Server*> slots;                                           // by slot; null: free
  quinceline::locality::Sight sight;
  std::map<std::int32_t, ZoneOrder> zone_orders;  // that are not free
  std::vector<Server*> order;                     // this client's reading order of the listed servers
  std::size_t reach = 0;                          // the subset is the usable part of order[0, reach)
  std::uint32_t members = 0;                      // how many usable servers that is
  std::uint32_t wanted = kSubset;
  Time lengthened = 0;
  double demand = 0;  // own requests in flight, averaged
  std::int32_t in_flight = 0;
  double recent_turn = 0;
  Time next_return = 0;  // when the next ejected server may prove itself; 0: none is out
  std::vector<Live> live;
  std::vector<std::uint32_t> unused;
  std::unordered_map<RequestId, std::uint32_t> index;  // look-ups only
  std::vector<double> latency;                         // by class, mean of answers; 0: none yet
  std::vector<double> tenant_recent;
  double tenant_total = 0;
  double surprises = 0;           // part of the sends by report that took far longer than it let expect
  Time distrust_until = 0;        // reports come late, it seems: they decide nothing meanwhile
  std::vector<RequestId> asking;  // those that wait for load reports
  double arrivals = 0;
  Time last_arrival = 0;
  std::uint64_t looked_at = 0;  // servers weighed in picks, for tests of cost
  double budget = kBudgetMost / 2;
  double futile_budget = kBudgetMost / 2;
  double shed_part = 0;              // of the arrivals, refused on arrival
  std::vector<double> level_recent;  // arrivals by class, within and beyond the share
  Time ask_backoff = kSecond;
  bool started_up = false, subscribed = false, list_stale = false, shedding = false, some_repeatable = false;
  std::array<Time, 6> next_trace{};

  static constexpr std::uint64_t kDiscoveryTimer = 0;

  Impl(Settings s, std::uint64_t seed) : settings(std::move(s)), random(seed) {
    validate(settings);
    fitTables();
  }

  void fitTables() {
    latency.resize(settings.classes.size());
    tenant_recent.resize(settings.tenants.size());
    level_recent.resize(2 * settings.classes.size());
    some_repeatable = false;
    for (const RequestClass& c : settings.classes) some_repeatable |= c.effect != Effect::Unsafe;
  }

  // What was learnt of a class says nothing of another in its place.
  void reconfigure(Settings next) {
    validateChange(settings, next);
    for (std::size_t i = 0; i < settings.classes.size(); ++i) {
      if (next.classes[i] == settings.classes[i]) continue;
      latency[i] = level_recent[2 * i] = level_recent[2 * i + 1] = 0;
    }
    settings = std::move(next);
    fitTables();
  }

  // A clock may start anywhere; later, a time that runs backwards is no time at all.
  Impl& at(Time t) {
    if (!std::exchange(started_up, true))
      now = started = last_arrival = distrust_until = t, next_trace.fill(t);
    now = std::max(now, t);
    return *this;
  }

  // A line for staff at a change of state; at most one of each kind a second.
  enum TraceKind : std::uint8_t { Ejected, Readmitted, Lengthened, Shedding, Listing, Zoned };
  void trace(Actions& out, TraceKind kind, std::string text) {
    if (now < next_trace[kind]) return;
    next_trace[kind] = now + kSecond;
    out.push_back({.kind = ActionKind::Trace, .text = std::move(text)});
  }

  // A server is usable if new requests may go to it as a matter of course.
  static bool usable(const Server& s) { return inService(s) && !s.out; }
  // Neither discovery nor staff want it left alone.
  static bool inService(const Server& s) {
    return s.listed && s.host.state == HostState::Healthy && !s.banned;
  }

  void rebuildOrder() {
    order.clear();
    for (const std::uint32_t slot : subsetOrder(settings.client, static_cast<std::uint32_t>(slots.size()))) {
      if (slots[slot] != nullptr) order.push_back(slots[slot]);
    }
    measureReach();
  }

  // The subset is the shortest prefix of the order with `wanted` usable servers: the next in order stand in
  // for the rest. Whoever joins starts where the members' turns stand, not with a burst of overdue ones.
  void measureReach() {
    double base = recent_turn;
    for (const Server* s : order) {
      if (s->member && usable(*s)) base = std::min(base, s->turn);
    }
    members = 0;
    reach = 0;
    for (Server* s : order) {
      s->member = members < wanted;
      if (!s->member) continue;
      ++reach;
      members += usable(*s) ? 1U : 0U;
      s->turn = std::max(s->turn, base);
    }
  }

  // A client whose own demand outgrows its subset lengthens it; the prefix property keeps what it had.
  void adjustLength(Actions& out) {
    const auto asked = static_cast<std::uint32_t>(std::ceil(kReach * demand));
    const auto want = std::max(kSubset, std::min(asked, static_cast<std::uint32_t>(order.size())));
    if (want > wanted) {
      wanted = want;
      lengthened = now;
      measureReach();
      trace(out, Lengthened, "subset lengthened to " + std::to_string(wanted));
    } else if (want < wanted && now - lengthened > kShorten) {
      wanted = std::max(want, wanted - std::max(1U, wanted / 8));
      lengthened = now - kShorten / 2;
      measureReach();
    }
  }

  void remove(Server& s) {
    if (!s.banned) freeSlot(s);  // one that is out by hand is to come back, and then shifts nobody
    s.listed = false;
    s.host.state = HostState::Gone;
  }

  void freeSlot(Server& s) {
    if (s.slot != kUnset) slots[static_cast<std::size_t>(s.slot)] = nullptr;
    s.slot = kUnset;
  }

  void takeFreeSlots(const std::vector<Server*>& without) {
    std::size_t free = 0;
    for (Server* s : without) {
      if (s->slot != kUnset) continue;  // kept for it
      while (free < slots.size() && slots[free] != nullptr) ++free;
      if (free == slots.size()) slots.push_back(nullptr);
      slots[free] = s;
      s->slot = static_cast<std::int32_t>(free);
    }
  }

  // Of servers that nobody lists and nothing waits for, nothing is kept but what staff have said.
  void forgetGone() {
    while (!slots.empty() && slots.back() == nullptr) slots.pop_back();
    rebuildOrder();
    for (const RequestId id : asking) std::erase_if(find(id)->asked, [](auto* s) { return !s->listed; });
    std::erase_if(servers, [](const auto& e) {
      const Server& s = *e.second;
      return !s.listed && !s.banned && s.in_flight == 0 && !s.probing;
    });
  }

  // Staff take a server out, or put it back: it has been restarted meanwhile and is cold.
  bool maintain(std::string_view id, bool out_of_use) {
    const auto it = servers.find(id);
    if (it == servers.end() || !(it->second->listed || it->second->banned)) return false;
    Server& s = *it->second;
    if (s.banned == out_of_use) return true;
    s.banned = out_of_use;
    if (!out_of_use) {
      s.out = false, s.strikes = 0, s.slowness = 1;
      startCold(s, now);
      if (!s.listed) freeSlot(s);
    }
    forgetGone();
    return true;
  }

  // ---- what another Balancer takes over ----

  std::vector<Remembered> remember() const {
    std::vector<Remembered> all;
    for (const auto& [id, s] : servers) {
      if (!s->listed && !s->banned) continue;
      all.push_back({id, s->slot, s->banned, s->out, s->silent, s->out_since, s->out_until, s->strikes,
                     s->struck_at, s->cold_since, s->slowness});
    }
    return all;
  }

  void recall(std::span<const Remembered> known, Actions& out) {
    constexpr std::int32_t kMostSlots = 1 << 20;
    for (const Remembered& k : known) {
      auto it = servers.find(k.id);
      if (it == servers.end() && k.out_of_use) {
        it = servers.emplace(k.id, std::make_unique<Server>()).first;
        it->second->host = {.id = k.id, .state = HostState::Gone};
      }
      if (it == servers.end()) continue;
      Server& s = *it->second;
      s.banned = k.out_of_use;
      if (std::isfinite(k.slowness) && k.slowness > 0) s.slowness = std::min(k.slowness, 8.0);
      if (std::isfinite(k.strikes) && k.strikes >= 0) s.strikes = k.strikes;
      s.struck_at = std::min(std::max<Time>(k.struck_at, 0), now);
      if (k.cold_since > 0 && k.cold_since <= now && now - k.cold_since < settings.cold_time)
        startCold(s, k.cold_since);
      if (s.cold_since != 0) s.cold_tokens = 0;
      if (!k.ejected) continue;
      s.out = true;
      s.silent = k.silent;
      s.out_since = std::min(k.ejected_since, now);
      s.out_until = std::min(k.ejected_until, now + kLongestOut);
      next_return = next_return == 0 ? s.out_until : std::min(next_return, s.out_until);
    }
    // Slots as they were; whoever has none takes what is free.
    std::vector<Server*> rest;
    slots.clear();
    for (auto& [id, s] : servers) s->slot = kUnset;
    for (const Remembered& k : known) {
      const auto it = servers.find(k.id);
      if (it == servers.end() || k.slot < 0 || k.slot >= kMostSlots || it->second->slot != kUnset) continue;
      const auto slot = static_cast<std::size_t>(k.slot);
      if (slots.size() <= slot) slots.resize(slot + 1);
      if (slots[slot] == nullptr) slots[slot] = it->second.get(), it->second->slot = k.slot;
    }
    for (auto& [id, s] : servers) {
      if (s->listed && s->slot == kUnset) rest.push_back(s.get());
    }
    takeFreeSlots(rest);
    forgetGone();
    if (settings.discovery == Discovery::Ask && !subscribed) setTimer(out, now, kDiscoveryTimer);
  }

  Standing standing() const {
    Standing all;
    for (const auto& [id, s] : servers) {
      all.listed += s->listed ? 1U : 0U;
      all.avoided += s->listed && !usable(*s) ? 1U : 0U;
    }
    return all;
  }

  void onServers(ListKind kind, std::span<const Host> hosts, Actions& out) {
    if (kind == ListKind::Unavailable) {
      list_stale = true;
      if (settings.discovery == Discovery::Ask) askLater(out);
      trace(out, Listing, "list stale: discovery unavailable");
      return;
    }
    if (kind != ListKind::Restored && std::exchange(list_stale, false))
      trace(out, Listing, "list fresh again");
    bool changed = false;
    std::vector<Server*> newcomers;
    for (auto& [id, s] : servers) s->named = kind == ListKind::Changes;  // else what the list lacks is gone
    for (const Host& h : hosts) {
      auto it = servers.find(h.id);
      if (h.state == HostState::Gone) {
        if (it != servers.end() && it->second->listed) remove(*it->second), changed = true;
        continue;
      }
      if (it == servers.end()) it = servers.emplace(h.id, std::make_unique<Server>()).first;
      Server& s = *it->second;
      const bool restarted = s.listed && h.up_since > s.host.up_since;
      changed |= !s.listed || s.host.state != h.state || restarted;
      s.host = h;
      if (h.up_since != 0 && (s.cold_since == 0 || h.up_since > s.cold_since) &&
          now - h.up_since < settings.cold_time) {
        startCold(s, h.up_since);
      }
      if (restarted) s.out = false, s.strikes = 0, s.slowness = 1;  // what the old process did says nothing
      if (!s.listed) newcomers.push_back(&s);
      s.listed = s.named = true;
    }
    for (auto& [id, s] : servers) {
      if (s->listed && !s->named) remove(*s), changed = true;
    }
    // Newcomers of one update take the lowest free slots in the order of their ids.
    std::sort(newcomers.begin(), newcomers.end(), [](auto* a, auto* b) { return a->host.id < b->host.id; });
    takeFreeSlots(newcomers);
    if (changed) forgetGone();
    discoveryAnswered(kind, out);
  }

  const RequestClass& classOf(const Live& r) const {
    return settings.classes[static_cast<std::size_t>(r.request_class)];
  }
  bool mayTryAgain(const Live& r) const {
    const std::int32_t own = classOf(r).max_attempts;
    return static_cast<std::int32_t>(r.attempts.size()) < (own > 0 ? own : settings.max_attempts);
  }

  // ---- discovery ----

  // A restart of many clients must not stampede discovery: the first call waits at random, failures back off.
  void discoveryAnswered(ListKind kind, Actions& out) {
    if (settings.discovery != Discovery::Ask) return;
    if (kind == ListKind::Restored) {
      const double spread = std::min(3e6, static_cast<double>(settings.ask_within) / 3);
      setTimer(out, now + static_cast<Time>(random.unit() * spread), kDiscoveryTimer);
    } else {
      subscribed = true;
      ask_backoff = kSecond;
    }
  }

  void askLater(Actions& out) {
    subscribed = false;
    const double wait = static_cast<double>(ask_backoff) * (0.5 + random.unit());
    setTimer(out, now + static_cast<Time>(wait), kDiscoveryTimer);
    ask_backoff = std::min<Time>(2 * ask_backoff, std::max<Time>(kSecond, settings.ask_within / 2));
  }

  void setTimer(Actions& out, Time when, std::uint64_t timer) {
    out.push_back({.kind = ActionKind::SetTimer, .time = std::max(when, now + 1), .timer = timer});
  }

  // ---- cold start ----

  void startCold(Server& s, Time since) {
    s.cold_since = since;
    s.cold_refilled = now;
    s.cold_tokens = random.unit() * hardFactor();  // clients that learn of it together do not come together
  }

  // How far above its ordinary share a client may go where nothing but cold servers is left.
  double hardFactor() const { return std::max(1.0, settings.cold_multiple / 2); }

  // Least in flight favours a cold, empty server. A client's own ordinary share times the least capacity of a
  // cold server keeps the sum over all clients within it, without talk; the bucket holds one request at most.
  bool coldAllows(Server& s, bool hard) {
    if (s.cold_since == 0) return true;
    const auto age = static_cast<double>(now - s.cold_since);
    const auto full = static_cast<double>(settings.cold_time);
    if (age >= full) {
      s.cold_since = 0;
      return true;
    }
    const double capacity = settings.cold_from + (1 - settings.cold_from) * std::max(0.0, age) / full;
    const double share = rate() / std::max(1U, members) * relativeSize(s) * capacity * hardFactor() *
                         (atEase(s) ? kEaseGain : 1);
    s.cold_tokens += share * static_cast<double>(now - s.cold_refilled) / 1e6;
    s.cold_tokens = std::min(s.cold_tokens, hardFactor());
    s.cold_refilled = now;
    return s.cold_tokens >= (hard || atEase(s) ? 1 : hardFactor());
  }

  // What warm servers of like size take: more than the average for a large one, less for a small one.
  double relativeSize(const Server& s) const {
    if (!settings.weighted || s.host.capacity <= 0) return 1;
    double sum = 0;
    int count = 0;
    for (std::size_t i = 0; i < reach; ++i) {
      if (!usable(*order[i]) || order[i]->host.capacity <= 0) continue;
      sum += order[i]->host.capacity;
      ++count;
    }
    return count == 0 ? 1 : std::clamp(s.host.capacity * count / sum, 0.5, 2.0);
  }

  // A cold server that answers much faster than the others has room for the share that it may have at most:
  // with many taken out by hand the others are full meanwhile.
  static bool atEase(const Server& s) { return s.in_flight <= 1 && s.slowness < kAtEase; }

  // Requests a second that arrive here, averaged; early on over the time since the start.
  double rate() const {
    const double age = std::max(0.5e6, static_cast<double>(now - started));
    const double faded = arrivals * std::exp(-static_cast<double>(now - last_arrival) / kRateMemory);
    return faded / (kRateMemory / 1e6 * (1 - std::exp(-age / kRateMemory)));
  }

  // ---- health ----

  // Evidence against a server. False if it is not ejected: too little, or many fail and it is not their
  // fault.
  bool strike(Server& s, bool silent, double evidence, Actions& out, double most_out = kMaxOut) {
    s.strikes = s.strikes * std::exp2(-static_cast<double>(now - s.struck_at) / kStrikeHalf) + evidence;
    s.struck_at = now;
    if (s.strikes < kEnough) return false;
    if (!s.out) {
      const auto outs = std::count_if(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(reach),
                                      [](const Server* o) { return o->out; });
      // Never too many of them, and the last one is better than none.
      if (members <= 1 || static_cast<double>(outs + 1) > std::max(1.0, most_out * members)) return false;
    }
    if (!std::exchange(s.out, true)) s.out_since = now;
    s.silent = silent;
    const double length = std::min<double>(kLongestOut, kFirstOut * std::exp2(std::max(0.0, s.strikes - 1)));
    s.out_until = now + static_cast<Time>(length * (0.75 + 0.5 * random.unit()));
    next_return = next_return == 0 ? s.out_until : std::min(next_return, s.out_until);
    measureReach();
    trace(out, Ejected, "ejected " + s.host.id);
    return true;
  }

  // `asked`: when it was asked what it has answered now. A silent one has perhaps restarted and is cold; an
  // answer to what it had before it was ejected shows that it has not.
  void readmit(Server& s, Time asked, Actions& out) {
    if (!s.out) return;
    s.out = s.by_zone = false;
    if (s.silent && settings.cold_time > 0 && asked > s.out_since) startCold(s, now);
    measureReach();
    trace(out, Readmitted, "readmitted " + s.host.id);
  }

  // Silence of a zone is the zone's: it is lost, or cut off from here. Where most zones are beyond a cut no
  // bound on the ejected would let all its servers go.
  void silence(const Server& s, Time sent, Actions& out) {
    if (!sight.silent(s.host.zone, s.host.id, sent, now)) return;
    ejectZone(s.host.zone, now + static_cast<Time>(kFirstOut * (0.75 + 0.5 * random.unit())), out);
  }

  // `whole`: those too that are out by themselves.
  void ejectZone(std::int32_t zone, Time until, Actions& out, bool whole = false) {
    const bool others =
        std::any_of(order.begin(), order.end(), [&](auto* o) { return usable(*o) && o->host.zone != zone; });
    if (!others) return;
    for (Server* o : order) {
      if (o->host.zone != zone || (o->out && !o->by_zone && !whole)) continue;
      if (!o->out) o->out_since = now;
      o->out = o->silent = o->by_zone = true;
      o->out_until = until;
    }
    next_return = next_return == 0 ? until : std::min(next_return, until);
    measureReach();
    trace(out, Zoned, "ejected zone " + std::to_string(zone));
  }

  void returnZone(std::int32_t zone, Time asked, Actions& out) {
    for (Server* o : order) {
      if (o->by_zone && o->host.zone == zone) readmit(*o, asked, out);
    }
  }

  void setZone(std::int32_t zone, ZoneOrder verdict, Actions& out) {
    const auto it = zone_orders.find(zone);
    if (verdict == (it == zone_orders.end() ? ZoneOrder::Free : it->second)) return;
    zone_orders.erase(zone);
    if (verdict == ZoneOrder::Free) {
      sight.forget(zone);
      return returnZone(zone, now, out);
    }
    zone_orders[zone] = verdict;
    const Time soon = now + static_cast<Time>(kFirstOut * (0.75 + 0.5 * random.unit()));
    ejectZone(zone, verdict == ZoneOrder::Watch ? soon : std::numeric_limits<Time>::max(), out, true);
  }

  // Somebody there answers again; the zone is back for others too only where it was not given up in common.
  void answered(Server& s, Time asked, Actions& out) {
    sight.answered(s.host.zone, now);
    if (s.by_zone && !zone_orders.contains(s.host.zone)) returnZone(s.host.zone, asked, out);
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
        next_return = next_return == 0 ? s->out_until : std::min(next_return, s->out_until);
      } else if (settings.may_probe && !s->probing && inService(*s)) {
        s->probing = true;
        out.push_back({.kind = ActionKind::Probe, .server = s->host.id});
      }
    }
  }

  void onProbe(std::string_view id, bool ok, const LoadReport& load, Actions& out) {
    const auto it = servers.find(id);
    if (it == servers.end() || !it->second->probing) return;
    Server& s = *it->second;
    s.probing = false;
    if (ok && load.in_flight >= 0) {
      s.reported = load.in_flight;
      s.reported_at = now;
    }
    if (!s.out) return heard(s, ok, out);
    if (s.listed && ok) {
      s.unproven = true;
      answered(s, now, out);
      readmit(s, now, out);
    } else if (s.listed) {
      strike(s, true, 1, out);
      if (s.by_zone) sight.silent(s.host.zone, s.host.id, now, now);
      for (Server* o : order) {
        if (s.by_zone && o->by_zone && o->host.zone == s.host.zone) o->out_until = s.out_until;
      }
    } else if (s.by_zone) {
      next_return = now;  // another of its zone is asked
    }
  }

  void learn(Server& s, std::int32_t cls, const Outcome& o) {
    double& usual = latency[static_cast<std::size_t>(cls)];
    const auto taken = static_cast<double>(std::max<Time>(o.latency, 1));
    if (usual == 0) usual = taken;
    const double ratio = std::min(8.0, taken / usual);
    usual += 0.05 * (taken - usual);
    s.slowness += 0.1 * (ratio - s.slowness);
  }

  // ---- pick ----

  // How many turns a server gets: its listed size and its measured speed.
  double weight(const Server& s) const {
    const double size = settings.weighted && s.host.capacity > 0 ? s.host.capacity : 1;
    const double slowness = std::clamp(s.slowness, 0.5, 8.0);
    return size / (slowness * slowness * slowness);  // cubed: at half the pace a queue is far longer
  }

  static bool tried(const Live& r, const Server& s) {
    return std::any_of(r.attempts.begin(), r.attempts.end(), [&](auto& a) { return a.server == &s; });
  }

  // An ejected server whose time is over takes one request that may be repeated; a probe is cheaper.
  bool trialAllowed(const Server& s, const Live& r) const {
    return s.out && s.listed && now >= s.out_until && s.in_flight == 0 && !settings.may_probe &&
           (classOf(r).effect != Effect::Unsafe || !some_repeatable);
  }

  bool eligible(const Live& r, Server& s, bool last_resort = false) {
    if (!gate(r, s)) return false;
    if (last_resort) return coldAllows(s, true);
    if (tried(r, s)) return false;
    if (s.out) return trialAllowed(s, r);
    if (coldAllows(s, false)) return true;
    s.turn = std::max(s.turn, recent_turn);  // no turns are saved up for later: they would come in a burst
    return false;
  }

  // Requests in flight; at a server that has been slow for long each counts for more.
  static double busy(const Server& s) {
    return s.slowness < kSlow ? s.in_flight : s.in_flight * s.slowness / kSlow;
  }

  // The member with the fewest own requests in flight, ties by turn.
  Server* leastBusy(const Live& r, std::size_t from, std::size_t to, bool last_resort = false) {
    Server* best = nullptr;
    for (std::size_t i = from; i < to; ++i) {
      Server* s = order[i];
      ++looked_at;
      if (best != nullptr && (busy(*s) > busy(*best) || (busy(*s) == busy(*best) && s->turn >= best->turn))) {
        continue;
      }
      if (eligible(r, *s, last_resort)) best = s;
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

  // ---- asking for load: where servers report it to probes only ----

  Time askTime(const Live& r) const { return classOf(r).aim / kAskPart; }
  bool mayAsk(const Live& r) const {
    return settings.reports == ReportSource::Probe && settings.may_probe && now >= distrust_until &&
           !r.asking && r.outstanding == 0 && r.give_up - now > 4 * askTime(r);
  }

  // A client with few requests has ties only, which tell nothing of the others' load. Before it sends it asks
  // some of the tied: first of its own zone, of them one by the key (warm keys are met again), the last from
  // all.
  bool ask(Live& r, Actions& out) {
    r.asked.clear();
    const Server* first = leastBusy(r, 0, reach);
    if (first == nullptr) return false;
    std::vector<Server*> tied;
    std::copy_if(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(reach), std::back_inserter(tied),
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
    for (Server* s : r.asked) {
      if (!std::exchange(s->probing, true)) out.push_back({.kind = ActionKind::Probe, .server = s->host.id});
    }
    r.asking = true;
    r.asking_since = now;
    asking.push_back(r.id);
    setTimer(out, now + askTime(r), timerOf(r));
    return true;
  }

  bool home(const Server& s) const { return s.host.zone == settings.zone; }
  bool keyed(const Live& r, std::size_t n) const { return n == 0 && settings.warm_keys && r.key != kUnset; }
  static std::uint64_t affinity(const Live& r, const Server& s) {
    auto h = static_cast<std::uint64_t>(r.key);
    for (const char c : s.host.id) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
    return Random(h).next();
  }

  // A probe has come back: whoever waited for it last, or finds an idle server in its zone, goes on.
  void heard(const Server& s, bool ok, Actions& out) {
    const std::vector<RequestId> waiting = asking;
    for (const RequestId id : waiting) {
      Live* r = find(id);
      if (r == nullptr || std::find(r->asked.begin(), r->asked.end(), &s) == r->asked.end()) continue;
      const bool all = std::none_of(r->asked.begin(), r->asked.end(), [](auto* a) { return a->probing; });
      if (!all && !(ok && s.reported < 1 && home(s))) continue;
      dispatch(*r, out);
      closeIfDone(*r);
    }
  }

  // Reported least, in requests: one from afar counts one more, one that the key is bound to one less.
  Server* leastReported(Live& r) {
    Server* best = nullptr;
    double least = 0;
    for (std::size_t n = 0; r.asking && n < r.asked.size(); ++n) {
      Server& s = *r.asked[n];
      if (s.reported_at < r.asking_since || s.out || !eligible(r, s)) continue;
      const double slowness = std::clamp(s.slowness, 0.5, 8.0);
      const double cost = (s.reported + 1) * slowness + (home(s) ? 0 : 1) - (keyed(r, n) ? 1 : 0);
      if (best == nullptr || cost < least) best = &s, least = cost;
    }
    stopAsking(r);
    return best;
  }

  void stopAsking(Live& r) {
    if (std::exchange(r.asking, false)) std::erase(asking, r.id);
  }

  // Late reports lead all clients to servers that were idle a while ago; late answers from those show it.
  void trust(const Live& r, const Attempt& a, const Outcome& o) {
    if (!a.by_report || (o.result != Result::Ok && o.result != Result::TimedOut)) return;
    const bool surprise = o.result == Result::TimedOut || o.latency > classOf(r).aim;
    surprises += 0.2 * ((surprise ? 1 : 0) - surprises);
    if (surprises < kDistrust) return;
    surprises = kDistrust / 2;
    distrust_until = now + kDistrusted;
  }

  // Why this server: asked for before the send is booked. Walks the order, hence only where settings.explain.
  Reason explain(const Live& r, const Server& s, bool by_report) const {
    const auto at = static_cast<std::size_t>(std::find(order.begin(), order.end(), &s) - order.begin());
    if (s.out) return Reason::Trial;
    if (bound(r)) return Reason::GroupBoundRepeat;
    if (s.cold_since != 0) return Reason::ColdShare;
    if (by_report) return Reason::LeastReported;
    if (at >= wanted || at >= reach) return Reason::StandIn;
    return at >= kSubset ? Reason::LengthenedSubset : Reason::OrdinaryPick;
  }

  // A repeat of a keyed request that may have run goes to the group of its first attempt only.
  bool bound(const Live& r) const {
    return classOf(r).effect == Effect::Keyed && classOf(r).group != Group::All &&
           std::any_of(r.attempts.begin(), r.attempts.end(), [](auto& a) { return a.run != Run::NeverRan; });
  }

  // ---- the gate: rule 2 and the drain check, for every send and every refusal ----

  // May this request be sent (to `s`), given what its attempts may have done? Without `s`: to anyone.
  bool mayRepeat(const Live& r, const Server* s) const {
    if (!mayTryAgain(r)) return false;
    const RequestClass& c = classOf(r);
    for (const Attempt& a : r.attempts) {
      if (a.run == Run::NeverRan) continue;
      if (a.run == Run::Outstanding) return false;  // never two at once
      if (c.effect == Effect::Unsafe) return false;
      if (c.effect == Effect::Safe) continue;
      if (now >= a.sent + c.window - settings.tick) return false;
      if (s != nullptr && c.group == Group::Zone && a.zone != s->host.zone) return false;
      if (s != nullptr && c.group == Group::Cell && a.cell != s->host.cell) return false;
    }
    return true;
  }

  bool gate(const Live& r, const Server& s) const {
    return !r.ended && !r.streaming && inService(s) && now < r.deadline && mayRepeat(r, &s);
  }

  bool mayRefuse(const Live& r) const {
    const RequestClass& c = classOf(r);
    if (c.effect == Effect::Safe || (c.effect == Effect::Keyed && c.group == Group::All)) return true;
    return std::all_of(r.attempts.begin(), r.attempts.end(),
                       [](const Attempt& a) { return a.run == Run::NeverRan; });
  }

  // ---- attempts and answers ----

  Live* find(RequestId id) {
    const auto it = index.find(id);
    return it == index.end() ? nullptr : &live[it->second];
  }

  // The attempt an event is about; null if it is unknown or has its outcome already.
  static Attempt* outstanding(Live* r, std::int32_t attempt) {
    if (r == nullptr || attempt < 0 || static_cast<std::size_t>(attempt) >= r->attempts.size())
      return nullptr;
    Attempt& a = r->attempts[static_cast<std::size_t>(attempt)];
    return a.run == Run::Outstanding ? &a : nullptr;
  }

  std::uint64_t timerOf(const Live& r) const {
    return (static_cast<std::uint64_t>(&r - live.data()) + 1) << 32 | r.generation;
  }

  Live& open(RequestId id) {
    if (unused.empty()) {
      unused.push_back(static_cast<std::uint32_t>(live.size()));
      live.emplace_back();
    }
    const std::uint32_t at = unused.back();
    unused.pop_back();
    index.emplace(id, at);
    Live& r = live[at];
    const std::uint32_t generation = r.generation + 1;
    r = {};
    r.id = id;
    r.used = true;
    r.generation = generation;
    return r;
  }

  void closeIfDone(Live& r) {
    if (!r.used || !r.ended || r.outstanding > 0) return;
    index.erase(r.id);
    r.used = false;
    unused.push_back(static_cast<std::uint32_t>(&r - live.data()));
  }

  void onRequest(const Request& q, Actions& out) {
    if (find(q.id) != nullptr) return;
    if (q.request_class < 0 || static_cast<std::size_t>(q.request_class) >= latency.size())
      return out.push_back({.kind = ActionKind::Refuse, .request = q.id});
    const RequestClass& c = settings.classes[static_cast<std::size_t>(q.request_class)];
    arrivals = arrivals * std::exp(-static_cast<double>(now - last_arrival) / kRateMemory) + 1;
    last_arrival = now;
    demand += 0.1 * (in_flight + 1 - demand);
    budget = std::min(kBudgetMost, budget + kBudgetShare);
    futile_budget = std::min(kBudgetMost, futile_budget + kBudgetShare);
    Live& r = open(q.id);
    r.request_class = q.request_class;
    r.key = q.key;
    r.arrived = now;
    r.deadline = now + q.time_left;
    r.give_up = r.deadline;
    // Past its aim an answer may be worth nothing: then waiting on only keeps a server busy.
    if (c.late_worth <= 0 && (c.aim_stretch <= 0 || q.expected_work > 0)) {
      const auto aim = c.aim + static_cast<Time>(c.aim_stretch * static_cast<double>(q.expected_work));
      r.give_up = std::min(r.deadline, now + aim);
    }
    proveReturning(out);
    adjustLength(out);
    (impatient(r) && futile_budget < 1) || shed(q) ? settle(r, out) : dispatch(r, out);
    closeIfDone(r);
  }

  void dispatch(Live& r, Actions& out) {
    // A request that may go nowhere any more (unsafe and perhaps run, say) is answered now, not held.
    if (r.give_up - now > settings.tick && mayRepeat(r, nullptr)) {
      if (mayAsk(r) && ask(r, out)) return;
      if (Server* s = leastReported(r)) return send(r, *s, out, true);
      if (Server* s = pick(r)) return send(r, *s, out);
      // Nobody can take it now: a newly listed or recovered server may, a moment later. Not if staff have
      // taken out all there are.
      const bool hope =
          order.empty() || std::any_of(order.begin(), order.end(), [](auto* s) { return !s->banned; });
      if (hope && now - r.arrived < (r.give_up - r.arrived) / 4) {
        return setTimer(out, now + std::max(4 * settings.tick, (r.give_up - r.arrived) / 16), timerOf(r));
      }
    }
    settle(r, out);
  }

  void send(Live& r, Server& s, Actions& out, bool by_report = false) {
    if (!gate(r, s)) return;  // pick asked already; nothing passes without it
    const Reason why = settings.explain ? explain(r, s, by_report) : Reason::None;
    ++s.in_flight;
    ++in_flight;
    ++r.outstanding;
    recent_turn = std::max(recent_turn, s.turn);
    s.turn += 1 / weight(s);
    if (s.cold_since != 0) s.cold_tokens = std::max(0.0, s.cold_tokens - hardFactor());
    r.attempts.push_back({&s, s.host.zone, s.host.cell, now, Run::Outstanding, by_report});
    out.push_back({.kind = ActionKind::Send, .request = r.id, .server = s.host.id, .time = r.give_up - now});
    // The work is done where an answer is on its way: to end it saves nothing, and what can't be repeated is
    // lost.
    out.back().longest = r.deadline - now;
    out.back().reason = why;
  }

  void settle(Live& r, Actions& out) {
    if (r.ended) return;
    r.ended = true;
    stopAsking(r);
    if (mayRefuse(r) && !r.faulty) {
      const Time stay_away =
          settings.retry_after ? std::min(settings.max_retry_after, classOf(r).aim / 8) : 0;
      out.push_back({.kind = ActionKind::Refuse, .request = r.id, .time = stay_away});
    } else {
      out.push_back({.kind = ActionKind::Fail, .request = r.id});
    }
  }

  void onOutcome(const Outcome& o, Actions& out) {
    Live* r = find(o.request);
    Attempt* const found = outstanding(r, o.attempt);
    if (found == nullptr) return;
    Attempt& a = *found;
    const bool never_ran = o.result == Result::Rejected || o.result == Result::ConnectFailed ||
                           o.result == Result::NotSent || o.result == Result::CutShort;
    a.run = never_ran ? Run::NeverRan : Run::MayHaveRun;
    r->faulty |= o.result == Result::BadRequest;
    Server& s = *a.server;
    --s.in_flight;
    --in_flight;
    --r->outstanding;
    trust(*r, a, o);
    judgePatience(*r, o.result);
    judge(s, *r, a, o, out);
    r->ended |= o.final || o.result == Result::Ok;
    if (!r->ended && !r->streaming && r->outstanding == 0) {
      const bool room = mayTryAgain(*r);
      if (room && o.result != Result::BadRequest && (never_ran || spend())) {
        dispatch(*r, out);
      } else {
        settle(*r, out);
      }
    }
    closeIfDone(*r);
  }

  double lateness(const Live& r, const Outcome& o) const {
    const double part = static_cast<double>(o.latency) / static_cast<double>(classOf(r).aim);
    return std::clamp((part - kLateFrom) / (1 - kLateFrom), 0.0, 1.0);
  }

  // Its client gives it up before its answer would have lost its worth.
  bool impatient(const Live& r) const { return r.deadline - r.arrived < classOf(r).aim; }

  // An attempt that its client gives up has cost its server as much as an answer. Clients that come again at
  // once can keep a whole fleet busy with what nobody waits for, and then nobody is answered in time: what
  // ends so is bounded like repeats. Where answers come in time again, they cost nothing here.
  void judgePatience(const Live& r, Result result) {
    if (impatient(r) && (result == Result::TimedOut || result == Result::Cancelled))
      futile_budget = std::max(0.0, futile_budget - 1);
  }

  // What an outcome says about its server and about the load.
  void judge(Server& s, const Live& r, const Attempt& a, const Outcome& o, Actions& out) {
    const bool silent_since = s.last_answer < a.sent;
    if (o.result == Result::Ok || o.result == Result::Rejected || o.result == Result::Error ||
        o.result == Result::Spoilt || o.result == Result::BadRequest) {
      s.last_answer = now;
      s.unproven = false;
      answered(s, a.sent, out);
    }
    double late = 0;
    switch (o.result) {
      case Result::Ok:
        learn(s, r.request_class, o);
        readmit(s, a.sent, out);
        s.strikes *= kAnswerMends;
        late = lateness(r, o);
        break;
      case Result::Rejected:
        s.turn += 1 / weight(s);  // full: let others have a turn
        late = kFullLate;
        break;
      case Result::Error:
        strike(s, false, 1, out);
        return;
      case Result::Spoilt:
      case Result::CutShort:
      case Result::Reset:  // a process that has died refuses the next connection
        strike(s, false, kBrokenEvidence, out);
        return;
      case Result::TimedOut:
        // Only silence is held against the server; late among answers, or silence of all, is load.
        s.turn += 1 / weight(s);
        learn(s, r.request_class, o);
        if (silent_since) silence(s, a.sent, out);
        // One that answers probes only is found out at once the next time.
        if (silent_since && strike(s, true, s.unproven ? 1 : kTimeoutEvidence, out)) return;
        late = lateness(r, o);  // not 1: an attempt that began late in its request's time had little of it
        break;
      case Result::ConnectFailed:
        silence(s, a.sent, out);
        strike(s, true, 1, out, kMaxUnreachable);
        return;
      case Result::BadRequest:  // says nothing of the server: a bad client must not eject sound ones
      case Result::Cancelled:
      case Result::NotSent:
        return;
    }
    late /= std::max(1.0, s.slowness);  // a slow server's lateness is its own, not the fleet's
    // While much is shed few answers come: each good one then counts for those that were not asked for.
    const double step = late < kLateTarget ? 1 / std::sqrt(1 - shed_part) : 1;
    shed_part = std::clamp(shed_part + kShedGain * step * (late - kLateTarget), 0.0, kMostShed);
    const bool noted = shed_part > (shedding ? 0.0 : kShedNoted);
    if (noted != shedding) trace(out, Shedding, noted ? "shedding begun" : "shedding ended");
    shedding = noted;
  }

  bool spend() { return budget >= 1 && (budget -= 1, true); }

  void onTimer(std::uint64_t timer, Actions& out) {
    if (timer == kDiscoveryTimer && !subscribed) out.push_back({.kind = ActionKind::Subscribe});
    const std::uint64_t at = (timer >> 32) - 1;
    if (at >= live.size()) return;
    Live& r = live[at];
    if (!r.used || r.ended || r.streaming || r.generation != static_cast<std::uint32_t>(timer)) return;
    proveReturning(out);
    if (r.outstanding == 0) dispatch(r, out);
    closeIfDone(r);
  }

  void onStreaming(RequestId id, std::int32_t attempt) {
    Live* r = find(id);
    Attempt* a = outstanding(r, attempt);
    if (a == nullptr || r->ended) return;
    r->streaming = true;
    a->server->last_answer = now;
  }

  void end(RequestId id, Actions& out) {
    Live* r = find(id);
    if (r == nullptr || r->ended) return;
    r->ended = true;
    stopAsking(*r);
    // An attempt still out would only waste work; a stream is the client's own.
    if (settings.may_cancel && !r->streaming && r->outstanding > 0)
      out.push_back({.kind = ActionKind::Cancel,
                     .request = id,
                     .attempt = static_cast<std::int32_t>(r->attempts.size()) - 1});
    closeIfDone(*r);
  }

  // ---- admission ----

  // Under overload a part is refused before it costs anything: first what is beyond a tenant's share, then
  // half of it by worth for the time it takes, half from all alike, so that no class starves.
  bool shed(const Request& q) {
    bool over = false;
    if (q.tenant >= 0 && static_cast<std::size_t>(q.tenant) < tenant_recent.size()) {
      for (double& t : tenant_recent) t *= kRecent;
      tenant_total = tenant_total * kRecent + 1;
      double& mine = tenant_recent[static_cast<std::size_t>(q.tenant)];
      mine += 1;
      const double fraction = settings.tenants[static_cast<std::size_t>(q.tenant)].fraction;
      over = random.unit() < 1 - fraction * tenant_total / mine;  // the part that is beyond its share here
    }
    for (double& l : level_recent) l *= kRecent;
    const auto level = 2 * static_cast<std::size_t>(q.request_class) + (over ? 1U : 0U);
    level_recent[level] += 1;
    if (shed_part <= 0) return false;
    const bool by_worth = random.unit() < 0.5;
    double lower = 0, same = 0, all = 0;
    for (std::size_t l = 0; l < level_recent.size(); ++l) {
      all += level_recent[l];
      if (worthOf(l, by_worth) < worthOf(level, by_worth)) {
        lower += level_recent[l];
      } else if (!(worthOf(level, by_worth) < worthOf(l, by_worth))) {
        same += level_recent[l];
      }
    }
    return lower + random.unit() * same < shed_part * all;
  }

  double worthOf(std::size_t level, bool by_worth) const {
    const double share = (level & 1U) != 0 ? settings.over_share_worth : 1;
    if (!by_worth) return share;
    const std::size_t cls = level / 2;
    const double takes = latency[cls] > 0 ? latency[cls] : static_cast<double>(settings.classes[cls].aim) / 2;
    return share * settings.classes[cls].worth / takes;
  }
};

// ---- the interface ----

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::reconfigure(Settings settings) { impl_->reconfigure(std::move(settings)); }
void Balancer::onServers(Time now, ListKind kind, std::span<const Host> hosts, Actions& out) {
  impl_->at(now).onServers(kind, hosts, out);
}
void Balancer::onRequest(Time now, const Request& request, Actions& out) {
  impl_->at(now).onRequest(request, out);
}
void Balancer::onOutcome(Time now, const Outcome& outcome, Actions& out) {
  impl_->at(now).onOutcome(outcome, out);
}
void Balancer::onStreaming(Time now, RequestId request, std::int32_t attempt, Actions&) {
  impl_->at(now).onStreaming(request, attempt);
}
void Balancer::onClientGone(Time now, RequestId request, Actions& out) { impl_->at(now).end(request, out); }
void Balancer::onProbe(Time now, std::string_view server, bool ok, Time, const LoadReport& load,
                       Actions& out) {
  impl_->at(now).onProbe(server, ok, load, out);
}
void Balancer::onTimer(Time now, std::uint64_t timer, Actions& out) { impl_->at(now).onTimer(timer, out); }
bool Balancer::setMaintenance(Time now, std::string_view server, bool out_of_use) {
  return impl_->at(now).maintain(server, out_of_use);
}
std::vector<Remembered> Balancer::remember() const { return impl_->remember(); }
void Balancer::setZone(Time now, std::int32_t zone, ZoneOrder order, Actions& out) {
  impl_->at(now).setZone(zone, order, out);
}
ZoneSeen Balancer::zoneSeen(Time now, std::int32_t zone) {
  return impl_->at(now).sight.seen(zone, impl_->now);
}
void Balancer::recall(Time now, std::span<const Remembered> servers, Actions& out) {
  impl_->at(now).recall(servers, out);
}
Standing Balancer::standing() const { return impl_->standing(); }
std::vector<std::string> Balancer::subset(Time now) {
  impl_->at(now);
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < impl_->reach; ++i) {
    if (Impl::usable(*impl_->order[i])) ids.push_back(impl_->order[i]->host.id);
  }
  return ids;
}
std::size_t Balancer::liveRequests() const { return impl_->index.size(); }
std::size_t Balancer::rememberedSlots() const { return impl_->slots.size(); }
std::uint64_t Balancer::serversLookedAt() const { return impl_->looked_at; }
std::size_t Balancer::knownServers() const { return impl_->servers.size(); }

}  // namespace weldflow
