// load_balancer: the decisions of a client-side load balancer. This header is its complete interface.
//
// One Balancer serves one client process. The embedder reports events (the on… functions) together with the
// current time, then carries out, in order, the actions that the call appended to its buffer. The library
// reads no clock, does no I/O, starts no threads and shares no state between Balancers. A Balancer is not
// thread-safe: call it from one thread at a time. All times and durations are in microseconds; the clock may
// have any origin. A time before that of the previous call is treated as equal to it.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace load_balancer {

using Time = std::int64_t;           // microseconds
using RequestId = std::uint64_t;     // chosen by the embedder, never reused during a Balancer's lifetime
constexpr std::int32_t kUnset = -1;  // an index that was not given

enum class Idempotency : std::uint8_t {
  Idempotent,         // may be retried and rejected without limit
  IdempotentWithKey,  // some hosts discard repeats of its idempotency key for a while
  NonIdempotent,      // must never run twice
};
enum class DeduplicationScope : std::uint8_t { All, Zone, Cell };  // which hosts discard repeats of a key

struct RequestClass {
  Time latency_objective = 0;  // a response within this time has the full priority weight; > 0
  Time deadline = 0;           // how long clients of this class wait at most; > 0
  Idempotency idempotency = Idempotency::NonIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::All;  // with a key
  Time deduplication_window = 0;  // with a key: repeats are discarded this long after the first send; > 0
  double priority_weight = 1;     // value of a response within the latency objective; >= 0
  double late_weight = 0;         // fraction of that for a response between objective and deadline; >= 0
  double objective_per_work = 0;  // the objective grows by this multiple of the request's expected work
  std::int32_t max_attempts = 0;  // per request; 0: Settings::max_attempts
  // The latency objective of a request with this expected work, in microseconds.
  Time objectiveFor(Time work) const {
    return latency_objective + static_cast<Time>(objective_per_work * static_cast<double>(work));
  }
  bool operator==(const RequestClass&) const = default;
};

struct Tenant {
  double quota = 0;  // fraction of the service, 0 to 1; requests beyond it are shed first
};

enum class Discovery : std::uint8_t { Push, Poll };
enum class ReportSource : std::uint8_t { None, Responses, HealthChecks };

// Settings of one client, given to the constructor and to reconfigure(). Both throw std::invalid_argument
// that names the field if a value is out of range.
struct Settings {
  std::uint32_t client = 0;   // this client's number among all clients, from 0
  std::uint32_t clients = 0;  // number of clients; 0: unknown, `client` + 1 is assumed
  std::int32_t zone = 0;      // the zone this client is in
  Discovery discovery = Discovery::Push;
  ReportSource reports = ReportSource::None;
  bool weighted = false;              // Host::capacity is comparable between hosts
  bool warm_keys = false;             // a host that served a key recently needs less work for it
  std::vector<RequestClass> classes;  // at least one
  std::vector<Tenant> tenants;        // may be empty
  double over_quota_weight = 1;       // factor on the priority weight of a request beyond its tenant's quota
  // What the deployment permits.
  std::int32_t max_attempts = 1;  // per request, >= 1
  bool may_cancel = false;
  bool may_health_check = false;
  bool retry_after = false;  // rejections advise clients when to retry
  Time max_retry_after = 0;
  // Parameters of the deployment's rules.
  Time drain_grace = 0;  // sends to a draining host must have stopped after this; this library stops at once
  // A host starts with at least this fraction of its capacity, in (0, 1], and has all of it after the
  // duration.
  double slow_start_initial_capacity = 1;
  Time slow_start_duration = 0;
  // A host in slow start is overloaded when it is sent more than this multiple of its current capacity during
  // the window. The window has no effect here: this library never saves up for a burst of two requests.
  double slow_start_overload_factor = 1;
  Time slow_start_overload_window = 0;
  Time poll_interval = 0;  // Discovery::Poll: without news for this long, the last list counts as current
  Time tick = 1000;        // minimum time between two rounds of events
  bool explain = false;    // fill in Action::reason; each Send then searches the host order
};

enum class HostState : std::uint8_t { Healthy, Draining, Removed };

// One entry of the list of hosts.
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
  Full,         // the complete list; hosts missing from it were removed
  Restored,     // the complete list as this client last stored it, possibly stale
  Unavailable,  // a call failed or the subscription broke; no entries
};

struct Request {
  RequestId id = 0;
  Time time_left = 0;                   // until the client stops waiting
  Time expected_work = 0;               // on a standard core; 0: unknown
  std::int32_t request_class = 0;       // index into Settings::classes
  std::int32_t tenant = kUnset;         // index into Settings::tenants
  std::int64_t key = kUnset;            // identifies what the request operates on, for Settings::warm_keys
  std::int32_t required_zone = kUnset;  // only hosts in this zone may receive it; kUnset: any host
  // If it repeats the idempotency key of an earlier request, which may have run: for how long hosts still
  // discard the repeat. It is not sent after that.
  std::optional<Time> deduplication_time_left = {};
};

enum class Result : std::uint8_t {
  Ok,
  Error,              // may have run
  Rejected,           // never ran: the host rejected it without processing
  TimedOut,           // may have run
  ConnectFailed,      // never ran
  Reset,              // may have run
  InvalidResponse,    // may have run: what was received is not a valid response
  BadRequest,         // may have run: the host considers the request itself invalid
  Cancelled,          // may have run
  NotSent,            // never ran: the embedder did not send it
  RequestIncomplete,  // never ran: the connection broke before the host had received all of it
};

// True if no host can have received the complete request.
constexpr bool provesNotProcessed(Result r) {
  return r == Result::Rejected || r == Result::ConnectFailed || r == Result::NotSent ||
         r == Result::RequestIncomplete;
}

// True if a host has responded to the request, with whatever result.
constexpr bool isResponse(Result r) {
  return r == Result::Ok || r == Result::Rejected || r == Result::Error || r == Result::InvalidResponse ||
         r == Result::BadRequest;
}

// The load that a host reports of itself; negative values were not reported. Taken from health checks if
// Settings::reports is HealthChecks.
struct LoadReport {
  double in_flight = -1;  // requests queued or being processed at the host
};

// How one attempt ended. Each Send gets exactly one Outcome.
struct Outcome {
  RequestId request = 0;
  std::int32_t attempt = 0;  // 0, 1, 2 … in the order of the request's Sends
  Result result = Result::Ok;
  bool final = false;  // the client has received its final answer (always the case for Ok)
  Time latency = 0;
  LoadReport load;
};

// What the embedder must do. Fields not mentioned for a kind have no meaning for it.
enum class ActionKind : std::uint8_t {
  Send,    // start an attempt of `request` at `server` now, time it out after `time` microseconds (0: when
           // the client stops waiting) and report exactly one Outcome; if it cannot be sent, Result::NotSent.
           // An attempt whose response is being received at that time may take up to `longest` in total
  Cancel,  // stop waiting for `attempt` of `request`; its Outcome still follows, Cancelled or as it ended
  Reject,  // final answer to the client of `request`: not processed, may be repeated safely; `time`: advised
           // delay before a retry, in microseconds (0: no advice)
  Fail,    // final answer to the client of `request`: failed, effect unknown
  HealthCheck,  // check `server` once; report with onHealthCheck, also if it fails or takes long
  Subscribe,    // watch discovery from now on; report with onServers, failures as Unavailable
  SetTimer,  // call onTimer(`timer`) at or soon after clock time `time`; timers are never cancelled, and one
             // that is no longer needed has no effect
  Log,       // a log line for operators: `text`; may be dropped
};

// How many hosts are listed, and how many of those are avoided: they are draining, ejected or in maintenance.
struct HostCounts {
  std::size_t listed = 0, avoided = 0;
};

// Actions that would have broken a rule and were suppressed, by rule, since the start. Each indicates a
// defect of the library.
struct RuleViolations {
  std::uint64_t lost = 0;       // an attempt for a request that already has its answer
  std::uint64_t duplicate = 0;  // a retry, or a rejection as safe to repeat, of a request that may have run
  std::uint64_t drain = 0;      // an attempt at a host that is draining, removed or in maintenance
  std::uint64_t failback = 0;   // an attempt beyond this client's share of a host in slow start
};
// Number of hosts in slow start, and of attempts sent to hosts in slow start since the start.
struct SlowStartCounts {
  std::size_t hosts = 0;
  std::uint64_t sent = 0;
};

// What a Balancer has learnt about a host, for the Balancer of the process that replaces this one. Both must
// use the same clock.
struct HostSnapshot {
  std::string id;
  std::int32_t slot = kUnset;
  bool in_maintenance = false;                 // operators have taken it out of service
  bool ejected = false, unresponsive = false;  // unresponsive: it may have restarted when it responds again
  Time ejected_since = 0, ejected_until = 0;
  double failure_score = 0;  // decaying evidence of failure
  Time failure_score_at = 0;
  Time slow_start_since = 0;  // 0: it is warm
  double latency_ratio = 1;
  bool operator==(const HostSnapshot&) const = default;
};

// Why a host was chosen for a Send; toString returns a description.
enum class Reason : std::uint8_t {
  None,               // not a Send, or Settings::explain is off
  LeastLoaded,        // fewest own requests in flight within the subset, ties by weighted fair queueing
  ExtendedSubset,     // the same, in the part of the subset added because own load exceeds its default size
  Substitute,         // the same, in place of a member that is draining, ejected or not permitted now
  LeastReportedLoad,  // lowest reported load among tied members
  EjectionTrial,      // trial request to a host whose ejection has expired
  ScopedRetry,        // a retry that only hosts in the scope of its first attempt may receive
  SlowStart,          // this client's share of the capacity of a host in slow start
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
  None,           // decide by this client's own attempts
  EjectAndCheck,  // send no requests there, but check its hosts from this client
  Eject,          // send no requests there; other clients check its hosts
};
enum class ZoneObservation : std::uint8_t { None, Responding, Unresponsive };
// Observations before these times are ignored.
struct ZoneObservedSince {
  Time responses = 0, no_responses = 0;
};

class Balancer {
 public:
  // Throws std::invalid_argument that names the field if a setting is out of range. `seed`: of all random
  // choices.
  Balancer(Settings settings, std::uint64_t seed);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // For every on… function: `now` is the caller's clock; the actions appended to `out` are to be carried out
  // in order before the next call. Arguments are read during the call only and not kept by reference. Unknown
  // ids, second outcomes and late answers are ignored.

  // Replaces the settings and keeps the state of hosts: slots, ejections, slow start. A class whose
  // definition changes must have no request in flight; new classes are appended; none can be removed. Client,
  // zone and discovery must not change. Throws std::invalid_argument that names the field, and then leaves
  // everything unchanged.
  void reconfigure(Settings settings);
  // A list from discovery. The first call should be the Restored one (it may be empty).
  void onServers(Time now, ListKind kind, std::span<const Host> hosts, Actions& out);
  // A client's request. It gets exactly one final answer: an Outcome with `final`, Reject or Fail.
  void onRequest(Time now, const Request& request, Actions& out);
  // For an attempt that could not be written at once: whether its first byte may be written now. If not, it
  // ends as Result::NotSent. Since its host was chosen the client may have disconnected, its deadline or its
  // key's window may have passed, or the host may be draining, removed or restarted.
  bool mayStart(Time now, RequestId request, std::int32_t attempt);
  // For an attempt of which bytes have been written, but not all: whether its host may still receive the
  // rest. Not once the window has ended in which hosts discard repeats of its key.
  bool mayComplete(Time now, RequestId request, std::int32_t attempt);
  // The process is about to exit: all requests in progress must be answered by clock time `last`. For
  // requests that arrive later the caller has to limit Request::time_left accordingly.
  void finishBy(Time now, Time last, Actions& out);
  // An attempt has ended, including one whose request was answered before.
  void onOutcome(Time now, const Outcome& outcome, Actions& out);
  // The response has begun to reach the client: the request cannot be retried any more.
  void onResponseStarted(Time now, RequestId request, std::int32_t attempt, Actions& out);
  // The client has disconnected; it needs no answer.
  void onClientDisconnected(Time now, RequestId request, Actions& out);
  // A health check has ended. `ok`: the host responded; `load`: its load report, if any.
  void onHealthCheck(Time now, std::string_view server, bool ok, Time latency, const LoadReport& load,
                     Actions& out);
  // Takes a host into or out of maintenance. In maintenance it receives no new requests, whatever discovery
  // lists, even if it is removed and listed again. At the end of maintenance it is treated as just started.
  // Returns false if no host has this id.
  bool setMaintenance(Time now, std::string_view server, bool in_maintenance);
  // A timer requested by SetTimer is due.
  void onTimer(Time now, std::uint64_t timer, Actions& out);

  HostCounts hostCounts() const;
  RuleViolations ruleViolations() const;
  SlowStartCounts slowStartCounts() const;
  // Applies the fleet's decision on a zone. A zone is ejected only while usable hosts in other zones are
  // left.
  void setZone(Time now, std::int32_t zone, ZoneDirective directive, Actions& out);
  // What this client has observed of a zone, taking into account observations from the times in `since` on.
  ZoneObservation observeZone(Time now, std::int32_t zone, const ZoneObservedSince& since);
  // The state of all hosts, by id.
  std::vector<HostSnapshot> snapshot() const;
  // Restores another Balancer's snapshot for the same client; to be called once, after the Restored list.
  // Ignores hosts that are not listed, except those in maintenance, and values out of range. Hosts in slow
  // start receive nothing at first, as the other Balancer may have used up its share.
  void restore(Time now, std::span<const HostSnapshot> servers, Actions& out);
  // For tests and operators: the ids of the usable members of the subset, in order of preference.
  std::vector<std::string> subset(Time now);
  // For tests: requests without an answer or with an attempt in flight; hosts that are listed or have an
  // attempt in flight; slots; hosts examined in all selections so far.
  std::size_t liveRequests() const;
  std::size_t knownServers() const;
  std::size_t slotCount() const;
  std::uint64_t hostsExamined() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// Throws std::invalid_argument that names the field if a value is out of range; the constructor calls it.
void validate(const Settings& settings);
// Throws likewise if `settings` cannot replace `before`; reconfigure() calls it.
void validateChange(const Settings& before, const Settings& settings);

// The order in which client `client` prefers `slots` host slots (0 … slots-1): Rocksteadier subsetting.
std::vector<std::uint32_t> subsetOrder(std::uint32_t client, std::uint32_t slots);
// The order in which client lot `client_lot` visits `server_lots` lots.
std::vector<std::uint32_t> lotOrder(std::uint32_t client_lot, std::uint32_t server_lots);

}  // namespace load_balancer
