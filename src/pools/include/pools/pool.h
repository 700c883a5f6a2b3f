// A pool of hosts. It owns its load balancer (the decision module), its host list, its connections to the
// hosts and the table of its open requests. Requests, attempt results and list updates become balancer
// events; the balancer's actions are carried out in order. The pool itself decides only what the protocol
// leaves no choice about. It has no access to client connections, other pools or admission.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "load_balancer/balancer.h"
#include "net/discovery.h"
#include "net/exchange.h"
#include "net/service_gate.h"
#include "net/upstream.h"

namespace client_proxy {

// A request that passed admission, with the class, tenant and limits that apply to it. A request is long if
// its body is streamed: `request.rest` is set.
struct AdmittedRequest {
  ExchangeId exchange = 0;
  ClientRequest request;
  std::int32_t request_class = 0, tenant = load_balancer::kUnset;  // the balancer's indices
  load_balancer::Idempotency idempotency = load_balancer::Idempotency::NonIdempotent;
  Time deadline = 0;
  Time time_after_upload = 0;  // of a long request: how long its client waits after the last byte, at most
  // Of a repeat of an earlier request's key: hosts drop it until then, and it is not sent later.
  std::optional<Time> dropped_until = {};
  bool may_have_run = false;  // set before onCompleted(): a host may have processed one of its attempts
  std::optional<ServiceGate::Service> service = {};  // set if only one site may run it
  std::string zone = {};                             // the zone of that site
  std::string last_zone = {};                        // with a service gate: the zone of its last attempt
  Time last_duration = 0;                            // and how long that attempt took
};

// Receives the pool's reports. Every callback may call back into the pool.
class PoolSink {
 public:
  virtual ~PoolSink() = default;
  // The final answer to a request; exactly one, unless its client disconnected first.
  virtual void onAnswer(const AdmittedRequest& request, Answer answer) = 0;
  // An attempt of this class was written in full to a host.
  virtual void onDispatched(std::int32_t request_class) = 0;
  // The request is answered and none of its attempts is in flight. The last callback for it.
  virtual void onCompleted(const AdmittedRequest& request) = 0;
};

class Pool final : private AttemptSink, private DiscoverySink {
 public:
  struct Config {
    std::string name;  // prefix of its log lines; empty: no prefix
    load_balancer::Settings settings;
    std::uint64_t seed = 0;
    Upstream::Limits upstream;
    bool hosts_report_load = false;     // parse the load reports in responses and health checks
    std::optional<Endpoint> discovery;  // the source of host lists; unset: setHosts() only
    std::uint64_t known_revision = 0;   // of the host list given to start()
  };

  // `zones` and all other references must outlive the pool.
  // `memory`: of the buffers of all connections.
  Pool(boost::asio::io_context& io, Timers& timers, Descriptors& descriptors, Log& log, Zones& zones,
       PoolSink& sink, Config config, std::shared_ptr<MemoryAccount> memory = MemoryAccount::unlimited());
  ~Pool() override;

  // Decides whether requests of a service may be sent; must outlive the pool. Null: there are no services.
  void setGate(ServiceGate* gate) { gate_ = gate; }
  // Starts from the last known host list, which may be stale, then watches discovery if it is configured.
  void start(HostList known);
  // The same for a hot restart: `known` and `servers` are the previous process's list and host snapshots.
  void start(HostList known, const std::vector<load_balancer::HostSnapshot>& servers);
  // The state handed over to the next process in a hot restart.
  HostList hosts() const;
  std::vector<load_balancer::HostSnapshot> snapshot() const { return balancer_.snapshot(); }
  // Whether connections to hosts are kept open for reuse.
  void keepConnections(bool keep) { upstream_.keepConnections(keep); }
  // Replaces the whole host list.
  void setHosts(HostList list);
  // Throws std::invalid_argument like load_balancer::validateChange; nothing has changed then.
  void reconfigure(load_balancer::Settings settings, const Upstream::Limits& upstream);
  void moveDiscovery(const Endpoint& to);

  void open(AdmittedRequest request);
  // The last byte of a long request arrived at `received`; its client waits until `deadline`.
  void onUploadComplete(ExchangeId id, Time received, Time deadline);
  // The process is shutting down: every request is answered by `last`, even if its own deadline is later.
  void finishBy(Time last);
  // The client disconnected and no answer is owed. Returns false if the request is not open here or is
  // already answered.
  bool onClientDisconnected(ExchangeId id);

  // Takes a host out of use by operator command: it gets no new requests until enableHost(). Returns false if
  // no host has this id.
  bool disableHost(const std::string& host) { return setMaintenance(host, true); }
  bool enableHost(const std::string& host) { return setMaintenance(host, false); }
  // See Balancer::observeZone.
  load_balancer::ZoneObservation observeZone(std::int32_t zone, Time now,
                                             const load_balancer::ZoneObservedSince& since) {
    return balancer_.observeZone(now, zone, since);
  }
  void setZone(std::int32_t zone, load_balancer::ZoneDirective directive);
  load_balancer::HostCounts hostCounts() const { return balancer_.hostCounts(); }
  load_balancer::SlowStartCounts slowStartCounts() const { return balancer_.slowStartCounts(); }
  // The balancer's counts; `lost` includes requests that the balancer left unanswered at their deadline.
  load_balancer::RuleViolations ruleViolations() const {
    load_balancer::RuleViolations counts = balancer_.ruleViolations();
    counts.lost += missing_answers_;
    return counts;
  }

  std::size_t openRequests() const { return open_.size(); }
  // Returns false if there is no idle connection.
  bool closeOneIdle() { return upstream_.closeOneIdle(); }
  const Upstream& upstream() const { return upstream_; }
  std::optional<Endpoint> discoveryEndpoint() const;

 private:
  using RequestId = load_balancer::RequestId;  // an ExchangeId

  struct Attempt {
    Time sent_at = 0;
    Time time_limit = 0;           // from `sent_at`, or from a long request's last byte
    Time streaming_limit = 0;      // the same if its response is being received by then
    Time response_started_at = 0;  // of a streamed response; 0: not started
    bool ended = false;            // its outcome is known
    Timers::Id timeout = {};
  };
  struct OpenRequest {  // unanswered, or with an attempt in flight
    AdmittedRequest admitted;
    std::vector<Attempt> attempts;
    std::int32_t outstanding = 0;
    Time upload_completed_at = 0;  // of a long request; 0: not yet
    Timers::Id deadline_timer = {};
    bool answered = false;   // or its client disconnected
    bool timed_out = false;  // at least one attempt timed out
  };
  struct ListedHost {
    load_balancer::Host host;
    Endpoint endpoint;
  };

  void onAttemptEnd(AttemptId id, AttemptEnd end) override;
  std::optional<std::string> onAttemptReady(AttemptId id, bool late) override;
  bool mayComplete(AttemptId id) override;
  void onAttemptWritten(AttemptId id) override;
  void onAttemptAnswers(AttemptId id, LongAnswer answer) override;
  void onHealthCheckEnd(const std::string& uid, bool ok, Time latency, const std::string& load) override;
  void onHostList(const HostList& list) override;
  void onDiscoveryLost(const std::string& why) override;

  // Calls into the Balancer never nest: events raised while actions are carried out are queued.
  template <typename Event>
  void dispatch(Event event);
  void performActions();
  void perform(const load_balancer::Action& action);
  void send(const load_balancer::Action& action);
  void finish(RequestId id, Answer answer);
  void onAttemptTimeout(RequestId id, std::int32_t attempt);
  void onDeadline(RequestId id);
  void armDeadline(RequestId id, OpenRequest& request);
  void armAttemptTimeout(RequestId id, OpenRequest& request, std::int32_t attempt);
  // The earliest time the host could start processing: a long request needs its last byte first.
  static Time processingStart(const OpenRequest& request, const Attempt& attempt) {
    return std::max(attempt.sent_at, request.upload_completed_at);
  }
  void handleAttemptEnd(Time now, RequestId id, std::int32_t attempt, AttemptEnd end);
  void removeIfDone(RequestId id);
  bool setMaintenance(const std::string& host, bool in_maintenance);
  HostList mergedWithKnown(HostList list) const;
  void applyHosts(const HostList& list);
  void applyList(HostList list, load_balancer::ListKind kind);
  bool usesPush() const;
  load_balancer::LoadReport parseLoad(std::string_view text) const;
  // The term under which the request may be sent to its service's zone; 0 if it has no service. Empty: the
  // service has another owner by now, or may not be sent to.
  std::optional<std::uint32_t> termFor(const OpenRequest& request) const;
  static bool clientMayHaveLeft(const OpenRequest& request, Time now);
  // The time announced to the host for an attempt that starts now: never more than the client has left.
  static Time timeLeft(const OpenRequest& request, const Attempt& attempt, Time now);
  std::string headFor(const OpenRequest& request, Time time_left, std::uint32_t term) const;
  void log(std::string_view text, LogLevel level = LogLevel::Info);

  static AttemptId attemptId(RequestId request, std::int32_t attempt) {
    return request * kMaxAttempts + static_cast<AttemptId>(attempt);
  }
  static constexpr AttemptId kMaxAttempts = 64;  // per request

  Config config_;
  Timers& timers_;
  const Clock& clock_;
  Log& log_;
  PoolSink& sink_;
  Zones& zones_;
  ServiceGate* gate_ = nullptr;
  load_balancer::Balancer balancer_;
  Upstream upstream_;
  std::optional<Discovery> discovery_;
  std::unordered_map<RequestId, OpenRequest> open_;
  std::map<std::string, ListedHost, std::less<>> listed_;  // the hosts registered with upstream_
  std::deque<std::function<void(Time)>> events_;           // waiting for the event in progress
  Time shutdown_deadline_ = kNever;                        // no request stays open beyond this
  std::uint64_t missing_answers_ = 0;                      // requests the balancer left unanswered
  bool dispatching_ = false;
  load_balancer::Actions actions_;
};

template <typename Event>
void Pool::dispatch(Event event) {
  if (dispatching_) {
    events_.emplace_back(std::move(event));
    return;
  }
  dispatching_ = true;
  event(clock_.now());
  performActions();
  while (!events_.empty()) {
    const std::function<void(Time)> next = std::move(events_.front());
    events_.pop_front();
    next(clock_.now());
    performActions();
  }
  dispatching_ = false;
}

}  // namespace client_proxy
