// A pool of hosts: sole owner of its decision module, its list of hosts, its connections to them and the
// table of its open requests. It turns what these report into the module's events and carries out the
// module's actions in order. It decides nothing but what the protocol leaves no choice in, and knows nothing
// of clients, other pools or who was let in.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
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

// A request that was let in, with what it came under.
struct AdmittedRequest {
  ExchangeId exchange = 0;
  ClientRequest request;
  std::int32_t request_class = 0, tenant = load_balancer::kUnset;  // the module's numbers
  load_balancer::Idempotency idempotency = load_balancer::Idempotency::NonIdempotent;
  Time deadline = 0;
  Time patience = 0;          // of a long one: how long its client waits after the last byte, at most
  bool may_have_run = false;  // told by onCompleted(): an attempt of it may have
  std::optional<ServiceGate::Service> service = {};  // that one site alone may run
  std::string zone = {};                             // that site's zone
  std::string last_zone = {};  // where there are services: the zone of its last attempt, and what that took
  Time last_duration = 0;
};

// What a pool tells. Calls back into it are allowed from each.
class PoolSink {
 public:
  virtual ~PoolSink() = default;
  // The one final answer of a request, unless its client has gone before.
  virtual void onAnswer(const AdmittedRequest& request, Answer answer) = 0;
  // An attempt of this class has been written whole to a host.
  virtual void onDispatched(std::int32_t request_class) = 0;
  // Nothing of it is in flight any more, after its answer: the last word on it.
  virtual void onCompleted(const AdmittedRequest& request) = 0;
};

class Pool final : private AttemptSink, private DiscoverySink {
 public:
  struct Config {
    std::string name;  // before its lines in the log; empty: none
    load_balancer::Settings settings;
    std::uint64_t seed = 0;
    Upstream::Limits upstream;
    bool reports = false;               // hosts report their load
    std::optional<Endpoint> discovery;  // where lists come from; nothing: setHosts() only
    std::uint64_t revision = 0;         // of the list that is known
  };

  // `zones` and all else by reference must outlive it.
  Pool(boost::asio::io_context& io, Timers& timers, Descriptors& descriptors, Log& log, Zones& zones,
       PoolSink& sink, Config config);
  ~Pool() override;

  // Who says whether requests of a service may be sent; must outlive it. Null: there are no services.
  void setGate(ServiceGate* gate) { gate_ = gate; }
  // The list as it was last known, perhaps old; then the watch on discovery, if there is one.
  void start(HostList known);
  // The same with what the process before this one knew: `known` is how the list was a moment ago.
  void start(HostList known, const std::vector<load_balancer::HostSnapshot>& servers);
  // What the process after this one is to know.
  HostList hosts() const;
  std::vector<load_balancer::HostSnapshot> snapshot() const { return balancer_.snapshot(); }
  void keepConnections(bool keep) { upstream_.keepConnections(keep); }
  // The whole list is this from now on.
  void setHosts(HostList list);
  // Throws std::invalid_argument like load_balancer::validateChange, and then nothing has changed.
  void reconfigure(load_balancer::Settings settings, const Upstream::Limits& upstream);
  void moveDiscovery(const Endpoint& to);

  void open(AdmittedRequest request);
  // The last byte of a long request came at `received`; its client waits until `deadline`.
  void uploaded(ExchangeId id, Time received, Time deadline);
  // The process has to leave: every request has its answer by then, whatever time its client has.
  void finishBy(Time last);
  // Its client has gone: no answer is owed. False: none was, it is not here or has been answered.
  bool clientGone(ExchangeId id);

  // By hand: nothing new to this host, or again. False: no host has this id.
  bool disableHost(const std::string& host) { return maintain(host, true); }
  bool enableHost(const std::string& host) { return maintain(host, false); }
  // As Balancer's.
  load_balancer::ZoneObservation observeZone(std::int32_t zone, Time now,
                                             const load_balancer::ZoneObservedSince& since) {
    return balancer_.observeZone(now, zone, since);
  }
  void setZone(std::int32_t zone, load_balancer::ZoneDirective order);
  load_balancer::HostCounts hostCounts() const { return balancer_.hostCounts(); }
  load_balancer::SlowStartCounts slowStartCounts() const { return balancer_.slowStartCounts(); }
  // With requests that had no answer at their deadline.
  load_balancer::RuleViolations ruleViolations() const {
    load_balancer::RuleViolations counts = balancer_.ruleViolations();
    counts.lost += missing_answers_;
    return counts;
  }

  std::size_t openRequests() const { return open_.size(); }
  bool closeOneIdle() { return upstream_.closeOneIdle(); }
  const Upstream& upstream() const { return upstream_; }
  std::optional<Endpoint> discoveryEndpoint() const;

 private:
  using RequestId = load_balancer::RequestId;  // an ExchangeId

  struct Attempt {
    Time sent = 0;
    Time time_limit = 0;       // from then, or from a long request's last byte
    Time streaming_limit = 0;  // the same where its answer is being written by then
    Time answered = 0;         // when its long answer began; 0: it has not
    bool ended = false;        // its outcome is known
  };
  struct Open {  // unanswered, or with an attempt out
    AdmittedRequest admitted;
    std::vector<Attempt> attempts;
    std::int32_t outstanding = 0;
    Time uploaded = 0;       // when the last byte of a long request came; 0: not yet
    bool answered = false;   // the client has its answer, or is gone
    bool timed_out = false;  // an attempt has
  };
  struct Listed {
    load_balancer::Host host;
    Endpoint endpoint;
  };

  void onAttemptEnd(AttemptId id, AttemptEnd end) override;
  std::optional<std::string> onAttemptReady(AttemptId id, bool late) override;
  void onAttemptWritten(AttemptId id) override;
  void onAttemptAnswers(AttemptId id, LongAnswer answer) override;
  void onHealthCheckEnd(const std::string& uid, bool ok, Time latency, const std::string& load) override;
  void onHostList(const HostList& list) override;
  void onDiscoveryLost(const std::string& why) override;

  // Calls into the Balancer are never nested: what happens while actions are carried out waits in line.
  template <typename Event>
  void dispatch(Event event);
  void performActions();
  void perform(const load_balancer::Action& action);
  void send(const load_balancer::Action& action);
  void finish(RequestId id, Answer answer);
  void onAttemptTimeout(RequestId id, std::int32_t attempt);
  void onDeadline(RequestId id);
  void armAttemptTimeout(RequestId id, const Open& request, std::int32_t attempt);
  // When a host could begin with it: a long request's last byte counts.
  static Time startedAt(const Open& request, const Attempt& attempt) {
    return std::max(attempt.sent, request.uploaded);
  }
  void outcome(Time now, RequestId id, std::int32_t attempt, AttemptEnd end);
  void forgetIfDone(RequestId id);
  bool maintain(const std::string& host, bool in_maintenance);
  HostList mergedWithKnown(HostList list) const;
  void applyHosts(const HostList& list);
  void applyList(HostList list, load_balancer::ListKind kind);
  bool pushed() const;
  load_balancer::LoadReport parseLoad(std::string_view text) const;
  // The term under which a request of a service may be sent where it was meant to go, 0 for one of no
  // service. Nothing: its service has another owner by now.
  std::optional<std::uint32_t> termFor(const Open& request) const;
  // What the host of an attempt is told that begins now: never more than the client has left.
  static Time timeLeft(const Open& request, const Attempt& attempt, Time now);
  std::string headFor(const Open& request, Time time_left, std::uint32_t term) const;
  void log(std::string_view text, LogLevel level = LogLevel::Info);

  static AttemptId attemptId(RequestId request, std::int32_t attempt) {
    return request * kMostAttempts + static_cast<AttemptId>(attempt);
  }
  static constexpr AttemptId kMostAttempts = 64;

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
  std::unordered_map<RequestId, Open> open_;
  std::map<std::string, Listed, std::less<>> listed_;  // the hosts that upstream knows
  std::deque<std::function<void(Time)>> events_;
  Time shutdown_deadline_ = kNever;    // no request may be open longer
  std::uint64_t missing_answers_ = 0;  // by the module, at a deadline
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
