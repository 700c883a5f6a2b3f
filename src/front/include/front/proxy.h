// The front of the proxy: the client listener, admission, classification of requests and configuration
// reload. Admitted requests go to the pool, which answers each of them exactly once.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/duplicate_detector.h"
#include "admission/index_registry.h"
#include "admission/rejection_counters.h"
#include "admission/requests.h"
#include "hot_restart/state.h"
#include "hot_restart/successor.h"
#include "lifecycle/lifecycle.h"
#include "metrics/metrics.h"
#include "net/config.h"
#include "net/server.h"
#include "pools/pool.h"

namespace client_proxy {

class Proxy final : private RequestSink, private PoolSink {
 public:
  Proxy(boost::asio::io_context& io, Config config, Log& log, const Clock& clock);
  ~Proxy() override;

  // Sets which requests only one site may run; must outlive the proxy. Call before start().
  void setGate(ServiceGate* gate) {
    gate_ = gate;
    pool_.setGate(gate);
  }
  // Listens, and gives the pool the known hosts.
  void start();
  // The same for a hot restart, with the state of the previous process.
  void start(hot_restart::State state);
  // The state handed over to the next process in a hot restart.
  hot_restart::State state() const;
  // The successor serves now: this process stops accepting and passes each client connection to it as soon as
  // that is idle.
  void handOn(hot_restart::Successor successor);
  // The successor exited: serves as before.
  void rollBack();
  // Takes over an idle client connection from the previous process.
  void adopt(int descriptor) { server_.adopt(descriptor); }
  // Requests known to the previous process that must not run a second time here.
  void recordPredecessorRequests(std::vector<admission::RequestRecord> tried);
  // No client connection and no request is left here.
  bool idle() const { return remainingConnections() == 0 && pool_.openRequests() == 0; }
  // File descriptors in use: client and host connections, and those of the process itself.
  std::size_t descriptorsHeld() const;
  // During a hot restart: the other process holds this many of the descriptors that both share.
  void setDescriptorsHeldByOther(std::size_t descriptors);

  // Graceful shutdown: keeps accepting while new connections may still arrive, finishes the requests it has,
  // then calls `done`.
  void shutdown(std::function<void()> done);
  // Applies a new configuration as a whole, or throws std::exception and changes nothing. Requests in flight
  // or waiting finish under the settings they began with; the known state of hosts is kept. With a platform
  // configuration, the platform's part stays as at start, except the discovery endpoint. What can't change at
  // run time stays too (listener, client number and zone, sockets, memory); the caller reports that.
  void reload(Config next);
  // Replaces the whole host list, in a configuration without a platform. Resolve its zones with zones().
  void setHosts(HostList list);
  Zones& zones() { return config_.zones; }

  // ---- operator commands (docs/on-call.md) ----

  // Ready to serve: it listens and has received a host list.
  bool canServe() const { return lifecycle_.serves() && pool_.hostCounts().listed > 0; }
  // Takes a host out of use: no new requests until enableHost(). Returns false if no host has this id.
  bool disableHost(const std::string& host) { return pool_.disableHost(host); }
  bool enableHost(const std::string& host) { return pool_.enableHost(host); }
  // The fleet's directive for a zone, and this proxy's observation of it: as in Balancer, with zones by name.
  void setZone(const std::string& zone, load_balancer::ZoneDirective directive) {
    pool_.setZone(config_.zones.indexOf(zone), directive);
  }
  load_balancer::ZoneObservation observeZone(const std::string& zone, Time now,
                                             const load_balancer::ZoneObservedSince& since) {
    return pool_.observeZone(config_.zones.indexOf(zone), now, since);
  }
  std::vector<std::string> zoneNames() const { return config_.zones.names(); }
  // The sum of the capacities of the healthy hosts of each zone.
  std::map<std::string, double> zoneCapacities() const {
    std::map<std::string, double> capacities;
    for (const load_balancer::Host& h : pool_.hosts().hosts) {
      if (h.state == load_balancer::HostState::Healthy)
        capacities[config_.zones.nameOf(h.zone)] += h.capacity;
    }
    return capacities;
  }
  // Draining: /healthz answers 503 so that clients are sent elsewhere, each answer closes its connection, and
  // idle connections are closed soon after. The listener stays open. Both are idempotent.
  void drainClients();
  void undrainClients();
  bool drained() const { return lifecycle_.drained(); }
  // Metrics in the Prometheus text format.
  std::string stats() const;
  // The number of requests admitted since start.
  std::uint64_t admitted() const { return rejection_counters_.total(admission::RejectionReason::None); }

  Endpoint localEndpoint() const { return server_.localEndpoint(); }
  // Admission decisions and the state behind them, as JSON; docs/admission.md describes the fields.
  std::string admissionReport();
  std::size_t openRequests() const { return pool_.openRequests(); }
  const admission::RequestGate& requests() const { return requests_; }
  const Server& server() const { return server_; }
  const Upstream& upstream() const { return pool_.upstream(); }

 private:
  struct ClassInfo {
    std::int32_t index = 0;
    Time deadline = 0;
    load_balancer::Idempotency idempotency = load_balancer::Idempotency::NonIdempotent;
  };
  struct TenantInfo {  // empty: every change to a tenant applies at once
    bool operator==(const TenantInfo&) const = default;
  };
  struct Registry {  // classes by first path segment, tenants by account
    admission::IndexRegistry<load_balancer::RequestClass> classes;
    admission::IndexRegistry<TenantInfo> tenants;
    explicit Registry(const Config& config) { assign(config); }
    void assign(const Config& config);
    load_balancer::Settings settings(const Config& config) const;
    admission::RequestGate::Limits limits(const Config& config) const;
  };
  struct ServicePlacement {  // the service of a request and the zone that may run it
    ServiceGate::Service service = 0;
    std::string zone;
  };
  struct QueuedRequest {  // waits for a permit, or has just got one
    ClientRequest request;
    ClassInfo info;
    admission::AdmissionRequest admission_request;
    Time upload_completed_at = 0;  // of a long request; 0: not yet
    std::optional<ServicePlacement> placement = {};
    std::optional<Time> dropped_until = {};  // see AdmittedRequest
  };

  // Callbacks of the server and the pool.
  std::optional<Answer> onHead(const RequestHead& head, bool room) override;
  Time clientWait(const RequestHead& head) const override;
  void onRequest(ExchangeId id, ClientRequest request) override;
  void onUploaded(ExchangeId id, Time received) override;
  void onClientGone(ExchangeId id) override;
  void onStreamed(ExchangeId id, bool whole) override;
  void onAnswer(const AdmittedRequest& request, Answer answer) override;
  void onDispatched(std::int32_t request_class) override {
    counts_.dispatched(static_cast<std::size_t>(request_class));
  }
  void onCompleted(const AdmittedRequest& request) override;

  admission::AdmissionRequest admissionRequestOf(ExchangeId id, const RequestHead& head,
                                                 const ClassInfo& info, std::size_t bytes,
                                                 Time deadline) const;
  // Counts a request's final answer and passes it to the server.
  void sendFinalAnswer(ExchangeId id, std::int32_t request_class, Answer answer);
  // Passes an event to the life cycle and executes the steps that follow from it.
  template <typename Event>
  void withLifecycle(Event event);
  void executeStep(const lifecycle::Step& step);
  // Connections that would be lost if this process exited.
  std::size_t remainingConnections() const {
    return server_.connections() + (successor_.waiting ? successor_.waiting() : 0);
  }
  void armLifecycleTimer();
  void setShutdownDeadline(Time by);
  Answer rejection(const admission::AdmissionRequest& admission_request, admission::RejectionReason reason);
  // The checks of a request's service. Returns the answer if the request is rejected at once; otherwise sets
  // `placement` if only one site may run the request.
  std::optional<Answer> rejectionBeforeAdmission(const RequestHead& head, const ClassInfo& info,
                                                 const admission::AdmissionRequest& admission_request,
                                                 std::optional<ServicePlacement>& placement);
  void rejectWaiting(const std::vector<admission::Refusal>& rejected);
  void admitWaiting();
  void armPermitTimer();
  void releasePermit(ExchangeId id);
  void logSummary();
  void listen();
  std::optional<ClassInfo> classOf(std::string_view target) const;
  static Time clientWait(const RequestHead& head, const ClassInfo& info);
  void open(QueuedRequest admitted);
  void acquireIndices(const admission::AdmissionRequest& admission_request);
  void releaseIndices(const ClientRequest& request, std::int32_t request_class, std::int32_t tenant,
                      bool may_have_run = false);
  void onRequestDone(const std::string& correlation, bool may_have_run);
  admission::RequestRecord requestRecordOf(const RequestHead& head, std::int32_t request_class) const;
  static Pool::Config poolConfig(const Config& config, load_balancer::Settings settings);

  boost::asio::io_context& io_;
  Config config_;
  Registry registry_;
  Log& log_;
  const Clock& clock_;
  Time predecessor_clock_shift_ = 0;  // added to times of the previous process
  Timers timers_;
  Descriptors descriptors_;
  std::shared_ptr<MemoryAccount> memory_;  // of the buffers of all connections
  Server server_;
  Pool pool_;

  admission::DuplicateDetector duplicates_;
  admission::RequestGate requests_;  // by exchange
  admission::RejectionCounters rejection_counters_;
  metrics::RequestCounters counts_;
  std::unordered_map<ExchangeId, QueuedRequest> waiting_;
  std::unordered_map<ExchangeId, Time> time_after_upload_;  // of uploads in progress; see AdmittedRequest
  std::unordered_map<ExchangeId, std::int32_t> streaming_;  // classes of the responses being streamed
  Time permit_timer_due_ = kNever;                          // the earliest timer set for admitWaiting()
  bool admission_posted_ = false;                           // admitWaiting() is posted to the event loop
  lifecycle::Lifecycle lifecycle_;
  Time shutdown_deadline_ = kNever;    // no request stays open beyond this
  Time lifecycle_timer_due_ = kNever;  // the earliest timer set for the life cycle
  hot_restart::Successor successor_;   // while another process serves
  std::function<void()> done_;
  ServiceGate* gate_ = nullptr;
};

}  // namespace client_proxy
