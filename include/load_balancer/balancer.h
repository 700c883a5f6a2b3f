// load_balancer: the decisions of a client-side load balancer. This file is the whole interface.
//
// One Balancer serves one client process. The embedder reports events (the on… functions) together with the
// current time and then carries out, in order, the actions that were appended to its buffer. The library has
// no clock, does no I/O, starts no thread and shares nothing between two Balancers. A Balancer is not
// thread-safe: call it from one thread at a time. Every time and duration is in microseconds; the clock may
// start anywhere. A time that runs backwards is read as "no time has passed".
#pragma once

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace load_balancer {

using Time = std::int64_t;           // microseconds
using RequestId = std::uint64_t;     // chosen by the embedder, never used twice in one Balancer's life
constexpr std::int32_t kUnset = -1;  // an index that was not given

enum class Idempotency : std::uint8_t {
  Idempotent,         // may be retried and rejected without limit
  IdempotentWithKey,  // some hosts discard repeats of its idempotency key for a while
  NonIdempotent,      // must never run twice
};
enum class DeduplicationScope : std::uint8_t { All, Zone, Cell };  // which hosts discard the repeats of a key

struct RequestClass {
  Time latency_objective = 0;  // a response within this time earns the full weight; > 0
  Time deadline = 0;           // how long clients of this class wait at most; > 0
  Idempotency idempotency = Idempotency::NonIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::All;  // with a key
  Time deduplication_window = 0;  // with a key: repeats are discarded this long after the first send; > 0
  double priority_weight = 1;     // of a response in time; >= 0
  double late_weight = 0;         // part of the weight for a response between objective and deadline
  double objective_per_work = 0;  // the objective grows by this multiple of the request's own work
  std::int32_t max_attempts = 0;  // per request; 0: Settings::max_attempts
  // The latency objective of a request of this much work.
  Time objectiveFor(Time work) const {
    return latency_objective + static_cast<Time>(objective_per_work * static_cast<double>(work));
  }
  bool operator==(const RequestClass&) const = default;
};

struct Tenant {
  double quota = 0;  // its part of the service, 0 to 1; its requests beyond that are shed first
};

enum class Discovery : std::uint8_t { Push, Poll };
enum class ReportSource : std::uint8_t { None, Responses, HealthChecks };

// What the deployment states once, at start. The constructor throws std::invalid_argument naming the field
// if a value is impossible.
struct Settings {
  std::uint32_t client = 0;   // this client's number among all clients, from 0
  std::uint32_t clients = 0;  // how many there are; 0: not told, and those with lower numbers are counted
  std::int32_t zone = 0;      // the zone this client is in
  Discovery discovery = Discovery::Push;
  ReportSource reports = ReportSource::None;
  bool weighted = false;              // Host::capacity tells sizes apart
  bool warm_keys = false;             // a host that served a key lately needs less work for it
  std::vector<RequestClass> classes;  // at least one
  std::vector<Tenant> tenants;        // may be empty
  double over_quota_weight = 1;       // weight of a request beyond its tenant's quota, as a factor
  // What the deployment permits.
  std::int32_t max_attempts = 1;  // per request, >= 1
  bool may_cancel = false;
  bool may_health_check = false;
  bool retry_after = false;  // clients are told when to retry after a rejection
  Time max_retry_after = 0;
  // The figures of the rules.
  Time drain_grace = 0;  // sends to a draining host must have stopped after this; here they stop at once
  double slow_start_initial_capacity =
      1;                         // a host starts with at least this fraction of its capacity; in (0, 1]
  Time slow_start_duration = 0;  // and is warm no later than this
  double slow_start_overload_factor = 1;  // sent more than this multiple of its present capacity ...
  Time slow_start_overload_window =
      0;  // ... for this long, a host in slow start is overloaded; here no burst of two is saved up
  Time poll_interval = 0;  // Discovery::Poll: silence this long counts as knowing what was listed then
  Time tick = 1000;        // the least time between two rounds of events
  bool explain = false;    // fill in Action::reason; costs a walk along the subset for each Send
};

enum class HostState : std::uint8_t { Healthy, Draining, Removed };

// One entry of the server list.
struct Host {
  std::string id;
  HostState state = HostState::Healthy;
  Time started_at = 0;  // when its process last started; 0: long ago
  double capacity = 1;  // comparable between hosts if Settings::weighted
  std::int32_t zone = 0;
  std::int32_t cell = 0;
};

enum class ListKind : std::uint8_t {
  Changes,      // only the entries that changed
  Full,         // the whole list; what it lacks is gone
  Restored,     // the whole list as this client last held it, possibly stale
  Unavailable,  // a call failed or the subscription broke; no entries
};

struct Request {
  RequestId id = 0;
  Time time_left = 0;                   // until the client gives this try up
  Time expected_work = 0;               // on a standard core; 0: unknown
  std::int32_t request_class = 0;       // index into Settings::classes
  std::int32_t tenant = kUnset;         // index into Settings::tenants
  std::int64_t key = kUnset;            // what the request is about
  std::int32_t required_zone = kUnset;  // no server elsewhere may have it; kUnset: any may
};

enum class Result : std::uint8_t {
  Ok,
  Error,              // may have run
  Rejected,           // never ran: rejected unseen
  TimedOut,           // may have run
  ConnectFailed,      // never ran
  Reset,              // may have run
  InvalidResponse,    // may have run: what came back is no response to it
  BadRequest,         // may have run: the host finds fault with the request itself
  Cancelled,          // may have run
  NotSent,            // never ran: the embedder did not send it
  RequestIncomplete,  // never ran: the connection broke before the host had all of it
};

// No host can have had the whole request.
constexpr bool provesNotProcessed(Result r) {
  return r == Result::Rejected || r == Result::ConnectFailed || r == Result::NotSent ||
         r == Result::RequestIncomplete;
}

// A host has answered the request, in whatever way.
constexpr bool isResponse(Result r) {
  return r == Result::Ok || r == Result::Rejected || r == Result::Error || r == Result::InvalidResponse ||
         r == Result::BadRequest;
}

// What a host says about its own load; a negative value was not reported. Read from health checks where
// Settings::reports is HealthChecks.
struct LoadReport {
  double in_flight = -1;  // requests it holds
};

// How one attempt ended. Each Send gets exactly one.
struct Outcome {
  RequestId request = 0;
  std::int32_t attempt = 0;  // 0, 1, 2 … in the order of the request's Sends
  Result result = Result::Ok;
  bool final = false;  // the client has its final answer (an Ok always is one)
  Time latency = 0;
  LoadReport load;
};

// What the caller must do. Fields not named for a kind have no meaning there.
enum class ActionKind : std::uint8_t {
  Send,    // start an attempt of `request` at `server` now, give it up after `time` microseconds (0: when
           // the client gives up) and report exactly one Outcome; if it cannot be sent, Result::NotSent.
           // One whose response is being received then, and keeps coming, may take `longest` in all
  Cancel,  // stop waiting for `attempt` of `request`; its Outcome still follows, Cancelled or as it ended
  Reject,  // final answer to the client of `request`: not done, repeating is harmless; `time` advises how
           // many microseconds to stay away (0: no advice)
  Fail,    // final answer to the client of `request`: failed, effect unknown
  HealthCheck,  // check `server` once; report with onHealthCheck, also if it fails or takes long
  Subscribe,    // watch discovery from now on; report with onServers, failures as Unavailable
  SetTimer,  // call onTimer(`timer`) at or soon after clock time `time`; timers are never withdrawn, and one
             // that is no longer needed does nothing
  Log,       // a line for staff: `text`; dropping it is harmless
};

// How many hosts are listed, and how many of them get nothing as a matter of course: they drain, are ejected
// or in maintenance.
struct HostCounts {
  std::size_t listed = 0, avoided = 0;
};

// What was about to break a rule and was stopped, by rule: each is a defect of the library. Since the start.
struct RuleViolations {
  std::uint64_t lost = 0;       // an attempt for a request that has its answer
  std::uint64_t duplicate = 0;  // a repeat, or a promise that it is harmless, of what may have run
  std::uint64_t drain = 0;      // an attempt at a host that drains, has left or is in maintenance
  std::uint64_t failback = 0;   // an attempt beyond this client's share of a host in slow start
};
// Hosts in slow start, and what was sent to hosts in slow start since the start.
struct SlowStartCounts {
  std::size_t hosts = 0;
  std::uint64_t sent = 0;
};

// What a Balancer has found out about a host, for the one that takes its place. Times are of the same clock.
struct HostSnapshot {
  std::string id;
  std::int32_t slot = kUnset;
  bool in_maintenance = false;                 // staff have taken it out of service
  bool ejected = false, unresponsive = false;  // unresponsive: it may return cold
  Time ejected_since = 0, ejected_until = 0;
  double failure_score = 0;  // decaying evidence of failure
  Time failure_score_at = 0;
  Time slow_start_since = 0;  // 0: it is warm
  double latency_ratio = 1;
  bool operator==(const HostSnapshot&) const = default;
};

// Why a Send goes where it goes; toString gives the words.
enum class Reason : std::uint8_t {
  None,               // not a Send, or Settings::explain is off
  LeastLoaded,        // fewest own requests in flight within the subset, ties by weighted turns
  ExtendedSubset,     // the same, beyond the subset's ordinary length: own demand has outgrown it
  Substitute,         // the same, in place of a member that drains, is ejected or may not have it now
  LeastReportedLoad,  // of the tied members whose load was asked
  EjectionTrial,      // the ejection of a host is over and it may prove itself
  ScopedRetry,        // a retry that only the scope of its first attempt may have
  SlowStart,          // this client's part of what a host in slow start can take
};
std::string_view toString(Reason reason);

struct Action {
  ActionKind kind;
  RequestId request = 0;
  std::int32_t attempt = 0;
  std::string_view server{};  // a Host::id; valid until the next call on the Balancer
  Time time = 0;
  Time longest = 0;
  std::uint64_t timer = 0;
  std::string text{};
  Reason reason = Reason::None;  // for Send, if Settings::explain
};
using Actions = std::vector<Action>;

enum class ZoneDirective : std::uint8_t {
  None,           // as this client's own attempts show
  EjectAndCheck,  // nothing goes there, but its hosts are checked from here
  Eject,          // nothing goes there, and other clients check its hosts
};
enum class ZoneObservation : std::uint8_t { None, Responding, Unresponsive };
struct ZoneObservedSince {
  Time responses = 0, no_responses = 0;  // since when each counts
};

class Balancer {
 public:
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // Every on… function: `now` is the caller's clock; what it appends to `out` is to be carried out in order
  // before the next call. Arguments are read during the call only; nothing is kept by reference. Unknown ids,
  // second outcomes and answers that come too late are ignored.

  // The settings are others from now on. What is known of servers stays: slots, ejections, cold shares. A
  // class whose definition is replaced must have no request in flight; new ones go to the end; none can be
  // taken out. Client, zone and discovery must be the same. Throws std::invalid_argument that names the
  // field, and then nothing has changed.
  void reconfigure(Settings settings);
  // A list from discovery. The first call should be the Restored one (it may be empty).
  void onServers(Time now, ListKind kind, std::span<const Host> hosts, Actions& out);
  // A client's request. It gets exactly one final answer: an Outcome with `final`, Refuse or Fail.
  void onRequest(Time now, const Request& request, Actions& out);
  // For an attempt that could not be written at once: may its first byte be written now? If not it ends as
  // Result::NotSent. Since its host was chosen the client may have disconnected, its deadline or its key's
  // window may have passed, the host may drain, be gone or have restarted.
  bool mayStart(Time now, RequestId request, std::int32_t attempt);
  // The process has to leave: all that is open is to have its answer by `last`. What comes later is to have
  // no more time than that either.
  void finishBy(Time now, Time last, Actions& out);
  // An attempt has ended, also one whose request was answered before.
  void onOutcome(Time now, const Outcome& outcome, Actions& out);
  // The response has begun to reach the client: it can't be retried any more.
  void onResponseStarted(Time now, RequestId request, std::int32_t attempt, Actions& out);
  // The client has disconnected; no answer is owed.
  void onClientDisconnected(Time now, RequestId request, Actions& out);
  // A health check has ended. `ok`: the host responded; `load`: its load report, if any.
  void onHealthCheck(Time now, std::string_view server, bool ok, Time latency, const LoadReport& load,
                     Actions& out);
  // Maintenance: nothing new goes to the host, whatever is listed, also if it leaves the list and comes back,
  // until staff put it back. Then it counts as started now. False: no host has this id.
  bool setMaintenance(Time now, std::string_view server, bool in_maintenance);
  // A timer that SetTimer asked for is due.
  void onTimer(Time now, std::uint64_t timer, Actions& out);

  HostCounts hostCounts() const;
  RuleViolations ruleViolations() const;
  SlowStartCounts slowStartCounts() const;
  // What the fleet holds of a zone: nothing goes there but where no other is left. A directive never makes a
  // client send to a zone that it does not use.
  void setZone(Time now, std::int32_t zone, ZoneDirective order, Actions& out);
  // What this client has observed of a zone: responses since one time, attempts without one since the other.
  ZoneObservation observeZone(Time now, std::int32_t zone, const ZoneObservedSince& since);
  // All that is known of hosts, by id.
  std::vector<HostSnapshot> snapshot() const;
  // What another Balancer of this client has found out; to be called once, after the Restored list. Hosts
  // that are not listed are ignored, but for those in maintenance. Impossible values are ignored too. A host
  // in slow start gets nothing at first: the other may have spent its share.
  void restore(Time now, std::span<const HostSnapshot> servers, Actions& out);
  // For tests and operators: the ids of the present subset, in order of preference.
  std::vector<std::string> subset(Time now);
  // For tests: requests without an answer or with an attempt in flight, hosts that are listed or have one in
  // flight, slots, and hosts examined in all choices so far.
  std::size_t liveRequests() const;
  std::size_t knownServers() const;
  std::size_t slotCount() const;
  std::uint64_t hostsExamined() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Throws std::invalid_argument that names the field if a value is impossible; the constructor calls it.
void validate(const Settings& settings);
// The same for what can't take the place of `before`; reconfigure() calls it.
void validateChange(const Settings& before, const Settings& settings);

// The order in which client `client` reads `slots` server slots (0 … slots-1): Rocksteadier subsetting.
std::vector<std::uint32_t> subsetOrder(std::uint32_t client, std::uint32_t slots);
// The order in which client lot `client_lot` visits `server_lots` lots.
std::vector<std::uint32_t> lotOrder(std::uint32_t client_lot, std::uint32_t server_lots);

}  // namespace load_balancer
