// Forwards each call of the public interface to the component in Balancer::Impl that handles it.
#include "balancer_impl.h"

namespace load_balancer {

Balancer::Balancer(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::reconfigure(Settings settings) { impl_->reconfigure(std::move(settings)); }
void Balancer::onServers(Time now, ListKind kind, std::span<const Host> hosts, Actions& out) {
  impl_->at(now).events.onServers(kind, hosts, out);
}
void Balancer::onRequest(Time now, const Request& request, Actions& out) {
  impl_->at(now).lifecycle.onRequest(request, out);
}
void Balancer::onOutcome(Time now, const Outcome& outcome, Actions& out) {
  impl_->at(now).lifecycle.onOutcome(outcome, out);
}
bool Balancer::mayStart(Time now, RequestId request, std::int32_t attempt) {
  return impl_->at(now).lifecycle.mayStart(request, attempt);
}
bool Balancer::mayComplete(Time now, RequestId request, std::int32_t attempt) {
  return impl_->at(now).lifecycle.mayComplete(request, attempt);
}
void Balancer::finishBy(Time now, Time last, Actions& out) { impl_->at(now).lifecycle.finishBy(last, out); }
void Balancer::onResponseStarted(Time now, RequestId request, std::int32_t attempt, Actions&) {
  impl_->at(now).lifecycle.onResponseStarted(request, attempt);
}
void Balancer::onClientDisconnected(Time now, RequestId request, Actions& out) {
  impl_->at(now).lifecycle.onClientDisconnected(request, out);
}
void Balancer::onHealthCheck(Time now, std::string_view server, bool ok, Time latency, const LoadReport& load,
                             Actions& out) {
  impl_->at(now).events.onHealthCheck(server, ok, latency, load, out);
}
void Balancer::onTimer(Time now, std::uint64_t timer, Actions& out) {
  impl_->at(now).events.onTimer(timer, out);
}
bool Balancer::setMaintenance(Time now, std::string_view server, bool in_maintenance) {
  return impl_->at(now).events.setMaintenance(server, in_maintenance);
}
std::vector<HostSnapshot> Balancer::snapshot() const { return impl_->snapshot(); }
void Balancer::setZone(Time now, std::int32_t zone, ZoneDirective directive, Actions& out) {
  impl_->at(now).components.zones.setDirective(zone, directive, out);
}
ZoneObservation Balancer::observeZone(Time now, std::int32_t zone, const ZoneObservedSince& since) {
  return impl_->at(now).components.zones.observe(zone, since);
}
void Balancer::restore(Time now, std::span<const HostSnapshot> servers, Actions& out) {
  impl_->at(now).restore(servers, out);
}
HostCounts Balancer::hostCounts() const { return impl_->hostCounts(); }
RuleViolations Balancer::ruleViolations() const { return impl_->components.invariants.counts(); }
SlowStartCounts Balancer::slowStartCounts() const { return impl_->slowStartCounts(); }
std::vector<std::string> Balancer::subset(Time now) {
  std::vector<std::string> ids;
  for (const policy::Endpoint* endpoint : impl_->at(now).components.subset.span()) {
    if (endpoint->usable()) ids.push_back(endpoint->host.id);
  }
  return ids;
}
std::size_t Balancer::liveRequests() const { return impl_->components.requests.size(); }
std::size_t Balancer::slotCount() const { return impl_->components.endpoints.slots().size(); }
std::uint64_t Balancer::hostsExamined() const { return impl_->components.selector.examined(); }
std::size_t Balancer::knownServers() const { return impl_->components.endpoints.all().size(); }

}  // namespace load_balancer
