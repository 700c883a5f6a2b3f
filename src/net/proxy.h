// The embedder: sole owner of the Balancer, its clock and timers, and of the table of open requests. It turns
// what server, upstream and discovery report into the module's events, and carries out the module's actions
// in order. It decides nothing but what the protocol leaves no choice in.
#pragma once

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "admission/indices.h"
#include "admission/ledger.h"
#include "admission/requests.h"
#include "config.h"
#include "discovery.h"
#include "server.h"
#include "upstream.h"
#include "weldflow/balancer.h"

namespace quinceline {

class Proxy final : private RequestSink, private AttemptSink, private DiscoverySink {
 public:
  Proxy(boost::asio::io_context& io, Config config, Log& log, const Clock& clock);
  ~Proxy() override;

  // Tells the module the known hosts, then listens.
  void start();
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

  Endpoint localEndpoint() const { return server_.localEndpoint(); }
  // What admission has decided and what it goes by, as JSON: docs/admission.md explains it.
  std::string admissionReport();
  std::size_t openRequests() const { return open_.size(); }
  const admission::RequestGate& requests() const { return requests_; }
  const Server& server() const { return server_; }
  const Upstream& upstream() const { return upstream_; }

 private:
  using RequestId = weldflow::RequestId;

  struct Attempt {
    Time sent = 0;
    bool over = false;  // its outcome is known
  };
  struct Open {  // unanswered, or with an attempt out
    ExchangeId exchange = 0;
    ClientRequest request;
    std::int32_t request_class = 0, tenant = -1;
    Time deadline = 0;
    std::vector<Attempt> attempts;
    std::int32_t outstanding = 0;
    bool answered = false;   // the client has its answer, or is gone
    bool timed_out = false;  // an attempt has
    bool unrepeatable = false;
  };
  struct ClassInfo {
    std::int32_t index = 0;
    Time deadline = 0;
    weldflow::Effect effect = weldflow::Effect::Unsafe;
  };
  struct TenantInfo {  // what changes of a tenant is taken at once
    bool operator==(const TenantInfo&) const = default;
  };
  struct Known {  // classes by the path's first part, tenants by account
    admission::Indices<weldflow::RequestClass> classes;
    admission::Indices<TenantInfo> tenants;
    explicit Known(const Config& config) { assign(config); }
    void assign(const Config& config);
    weldflow::Settings settings(const Config& config) const;
    admission::RequestGate::Limits limits(const Config& config) const;
  };
  struct Held {  // waits for a place
    ClientRequest request;
    ClassInfo info;
    admission::Ask ask;
  };

  // What server, upstream and discovery report.
  std::optional<Answer> onHead(const RequestHead& head, bool room) override;
  void onRequest(ExchangeId id, ClientRequest request) override;
  void onClientGone(ExchangeId id) override;
  void onAttemptEnd(AttemptId id, AttemptEnd end) override;
  void onProbeEnd(const std::string& uid, bool ok, Time latency, const std::string& load) override;
  void onHostList(const HostList& list) override;
  void onDiscoveryLost(const std::string& why) override;

  // Calls into the Balancer are never nested: what happens while actions are carried out waits in line.
  template <typename Event>
  void tell(Event event);
  void carryOut();
  void act(const weldflow::Action& action);
  void send(const weldflow::Action& action);
  admission::Ask askOf(ExchangeId id, const RequestHead& head, const ClassInfo& info, std::size_t bytes,
                       Time deadline) const;
  Answer refusal(const admission::Ask& ask, admission::Cause cause);
  void refuseWaiting(const std::vector<admission::Refusal>& refused);
  void admitWaiting();
  void awaitPlaces();
  void settled(Open& request);
  void summarize();
  void finish(RequestId id, const Answer& answer);
  void onAttemptTimeout(RequestId id, std::int32_t attempt);
  void onDeadline(RequestId id);
  void outcome(Time now, RequestId id, std::int32_t attempt, AttemptEnd end);
  void closeIfOver(RequestId id);
  HostList completed(HostList list) const;
  void applyHosts(const HostList& list);
  bool pushed() const;
  void waitUntilDone();
  weldflow::LoadReport parseLoad(std::string_view text) const;
  std::optional<ClassInfo> classOf(std::string_view target) const;
  void open(const admission::Ask& ask, ClientRequest request, const ClassInfo& info);
  void use(const admission::Ask& ask);
  void unuse(std::int32_t request_class, std::int32_t tenant);
  void applyList(HostList list, weldflow::ListKind kind);
  std::string headFor(const Open& request, Time time_left) const;

  static AttemptId attemptId(RequestId request, std::int32_t attempt) {
    return request * kMostAttempts + static_cast<AttemptId>(attempt);
  }
  static constexpr AttemptId kMostAttempts = 64;

  boost::asio::io_context& io_;
  Config config_;
  Known known_;
  Log& log_;
  const Clock& clock_;
  Timers timers_;
  Descriptors descriptors_;
  weldflow::Balancer balancer_;
  Server server_;
  Upstream upstream_;
  Discovery discovery_;

  std::unordered_map<RequestId, Open> open_;
  std::unordered_map<ExchangeId, RequestId> by_exchange_;
  std::unordered_set<std::string> ids_;  // X-Correlation-Id of each in open_
  struct Listed {
    weldflow::Host host;
    Endpoint endpoint;
  };
  std::map<std::string, Listed, std::less<>> listed_;  // the hosts that upstream knows
  admission::RequestGate requests_;                    // by exchange
  admission::Ledger ledger_;
  std::unordered_map<ExchangeId, Held> waiting_;
  Time places_due_ = kNever;   // when the gate is asked again for sure
  bool places_freed_ = false;  // it will be asked in this turn of the loop
  RequestId next_request_ = 1;
  std::deque<std::function<void(Time)>> events_;
  bool telling_ = false;
  weldflow::Actions actions_;
  std::function<void()> done_;
};

}  // namespace quinceline
