// The front: the listener, who is let in, which class a request is of, and what a reload means. Requests that
// were let in go to the pool, which answers each of them once.
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

  // Before start(): who says which requests one site alone may run; must outlive it.
  void setGate(ServiceGate* gate) {
    gate_ = gate;
    pool_.setGate(gate);
  }
  // Tells the module the known hosts, then listens.
  void start();
  // The same with what the process before this one knew.
  void start(hot_restart::State state);
  // What the process after this one is to know.
  hot_restart::State state() const;
  // That one serves now: nobody is accepted here, and it gets each client's connection at rest.
  void handOn(hot_restart::Successor successor);
  // It has gone: serve as before.
  void rollBack();
  // A client's connection at rest, from the process before this one.
  void adopt(int descriptor) { server_.adopt(descriptor); }
  // What may not run a second time here, from the process before this one.
  void recordPredecessorRequests(std::vector<admission::RequestRecord> tried);
  // Nothing is left here.
  bool idle() const { return remainingConnections() == 0 && pool_.openRequests() == 0; }
  // Of clients and hosts, and the process's own.
  std::size_t descriptorsHeld() const;
  // Another process holds so many of those that both may hold together.
  void setDescriptorsHeldByOther(std::size_t descriptors);

  // Graceful: goes on accepting while new connections may still come, finishes what was taken; then `done`.
  void shutdown(std::function<void()> done);
  // The configuration was replaced: all of it is taken, or nothing and std::exception is thrown. Requests
  // that are in flight or wait end under what they began with; what is known of hosts stays. The platform's
  // part is as at start, but for discovery's address. What can't change while running (the listener, the
  // client's number and zone, sockets, memory) is as at start too: the caller tells.
  void reload(Config next);
  // Alone: the whole list of hosts is this from now on; zones by zones().
  void setHosts(HostList list);
  Zones& zones() { return config_.zones; }

  // ---- by hand (docs/on-call.md) ----

  // This process can serve: it listens and has had a list of hosts.
  bool canServe() const { return lifecycle_.serves() && pool_.hostCounts().listed > 0; }
  // Nothing new to this host, or again. False: no host has this id.
  bool disableHost(const std::string& host) { return pool_.disableHost(host); }
  bool enableHost(const std::string& host) { return pool_.enableHost(host); }
  // What the fleet holds of a zone, and what this proxy has seen of it: as Balancer's, by name.
  void setZone(const std::string& zone, load_balancer::ZoneDirective order) {
    pool_.setZone(config_.zones.indexOf(zone), order);
  }
  load_balancer::ZoneObservation observeZone(const std::string& zone, Time now,
                                             const load_balancer::ZoneObservedSince& since) {
    return pool_.observeZone(config_.zones.indexOf(zone), now, since);
  }
  std::vector<std::string> zoneNames() const { return config_.zones.names(); }
  // What the listed hosts of each zone can take: the sum of their capacities.
  std::map<std::string, double> zoneCapacities() const {
    std::map<std::string, double> rooms;
    for (const load_balancer::Host& h : pool_.hosts().hosts) {
      if (h.state == load_balancer::HostState::Healthy) rooms[config_.zones.nameOf(h.zone)] += h.capacity;
    }
    return rooms;
  }
  // The front is told to send clients elsewhere; their connections are closed with their answers, and those
  // that rest before long. Listening goes on. Either may be called twice.
  void drainClients();
  void undrainClients();
  bool drained() const { return lifecycle_.drained(); }
  // In Prometheus' text format.
  std::string stats() const;
  // Requests that were let in since the start.
  std::uint64_t admitted() const { return rejection_counters_.total(admission::RejectionReason::None); }

  Endpoint localEndpoint() const { return server_.localEndpoint(); }
  // What admission has decided and what it goes by, as JSON: docs/admission.md explains it.
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
  struct TenantInfo {  // what changes of a tenant is taken at once
    bool operator==(const TenantInfo&) const = default;
  };
  struct Registry {  // classes by the path's first part, tenants by account
    admission::IndexRegistry<load_balancer::RequestClass> classes;
    admission::IndexRegistry<TenantInfo> tenants;
    explicit Registry(const Config& config) { assign(config); }
    void assign(const Config& config);
    load_balancer::Settings settings(const Config& config) const;
    admission::RequestGate::Limits limits(const Config& config) const;
  };
  struct ServiceClaim {  // by a service, and where it may run
    ServiceGate::Service service = 0;
    std::string zone;
  };
  struct QueuedRequest {  // waits for a place
    ClientRequest request;
    ClassInfo info;
    admission::AdmissionRequest admission_request;
    Time uploaded = 0;  // when the last byte of a long one came; 0: not yet
    std::optional<ServiceClaim> service_claim = {};
  };

  // What server and pool report.
  std::optional<Answer> onHead(const RequestHead& head, bool room) override;
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
  // A request's final answer.
  void conclude(ExchangeId id, std::int32_t request_class, Answer answer);
  // Tells the life cycle, and carries out what follows.
  template <typename Event>
  void withLifecycle(Event event);
  void carryOut(const lifecycle::Step& step);
  // Connections that would be lost if this process left.
  std::size_t remainingConnections() const {
    return server_.connections() + (successor_.waiting ? successor_.waiting() : 0);
  }
  void awaitLifecycle();
  void answerAll(Time by);
  Answer rejection(const admission::AdmissionRequest& admission_request, admission::RejectionReason reason);
  // By its service: nothing, or why it is refused at once.
  std::optional<Answer> rejectionBeforeAdmission(const RequestHead& head, const ClassInfo& info,
                                                 const admission::AdmissionRequest& admission_request,
                                                 std::optional<ServiceClaim>& service_claim);
  void rejectWaiting(const std::vector<admission::Refusal>& rejected);
  void admitWaiting();
  void awaitPermits();
  void releasePermit(ExchangeId id);
  void logSummary();
  void listen();
  std::optional<ClassInfo> classOf(std::string_view target) const;
  void open(const admission::AdmissionRequest& admission_request, ClientRequest request,
            const ClassInfo& info, const std::optional<ServiceClaim>& service_claim);
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
  Time predecessor_clock_shift_ = 0;  // from the times of the process before this one to ours
  Timers timers_;
  Descriptors descriptors_;
  Server server_;
  Pool pool_;

  admission::DuplicateDetector duplicates_;
  admission::RequestGate requests_;  // by exchange
  admission::RejectionCounters rejection_counters_;
  metrics::RequestCounters counts_;
  std::unordered_map<ExchangeId, QueuedRequest> waiting_;
  std::unordered_map<ExchangeId, Time> uploads_;           // how long each client waits after its last byte
  std::unordered_map<ExchangeId, std::int32_t> streamed_;  // classes of the long answers on their way
  Time permits_due_ = kNever;                              // when the gate is asked again for sure
  bool permits_released_ = false;                          // it will be asked in this turn of the loop
  lifecycle::Lifecycle lifecycle_;
  Time shutdown_deadline_ = kNever;   // nothing may be open longer: the process has to leave
  Time lifecycle_due_ = kNever;       // when it is asked again for sure
  hot_restart::Successor successor_;  // while another process serves
  std::function<void()> done_;
  ServiceGate* gate_ = nullptr;
};

}  // namespace client_proxy
