// The interface of the module, include/load_balancer/balancer.h: every call goes to Balancer::Impl, which
// decides.
#include "balancer_impl.h"

namespace load_balancer {

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
bool Balancer::mayStart(Time now, RequestId request, std::int32_t attempt) {
  return impl_->at(now).mayStart(request, attempt);
}
void Balancer::finishBy(Time now, Time last, Actions& out) { impl_->at(now).finishBy(last, out); }
void Balancer::onResponseStarted(Time now, RequestId request, std::int32_t attempt, Actions&) {
  impl_->at(now).onResponseStarted(request, attempt);
}
void Balancer::onClientGone(Time now, RequestId request, Actions& out) { impl_->at(now).end(request, out); }
void Balancer::onHealthCheck(Time now, std::string_view server, bool ok, Time latency, const LoadReport& load,
                             Actions& out) {
  impl_->at(now).onHealthCheck(server, ok, latency, load, out);
}
void Balancer::onTimer(Time now, std::uint64_t timer, Actions& out) { impl_->at(now).onTimer(timer, out); }
bool Balancer::setMaintenance(Time now, std::string_view server, bool in_maintenance) {
  return impl_->at(now).maintain(server, in_maintenance);
}
std::vector<HostSnapshot> Balancer::snapshot() const { return impl_->snapshot(); }
void Balancer::setZone(Time now, std::int32_t zone, ZoneDirective order, Actions& out) {
  impl_->at(now).setZone(zone, order, out);
}
ZoneObservation Balancer::observeZone(Time now, std::int32_t zone, const ZoneObservedSince& since) {
  return impl_->at(now).observeZone(zone, since);
}
void Balancer::restore(Time now, std::span<const HostSnapshot> servers, Actions& out) {
  impl_->at(now).restore(servers, out);
}
HostCounts Balancer::hostCounts() const { return impl_->hostCounts(); }
std::vector<std::string> Balancer::subset(Time now) {
  const decision::Servers& servers = impl_->at(now);
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < servers.reach; ++i) {
    if (servers.order[i]->usable()) ids.push_back(servers.order[i]->host.id);
  }
  return ids;
}
std::size_t Balancer::liveRequests() const { return impl_->requests.size(); }
std::size_t Balancer::slotCount() const { return impl_->slots.size(); }
std::uint64_t Balancer::hostsExamined() const { return impl_->looked_at; }
std::size_t Balancer::knownServers() const { return impl_->table.size(); }

}  // namespace load_balancer
