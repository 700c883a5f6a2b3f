#include "operator/operator_file.h"

#include <algorithm>
#include <limits>
#include <stdexcept>
#include <utility>

#include "conf/report.h"
#include "conf/units.h"

namespace client_proxy {
namespace {

using admission::RequestGate;
using conf::Configuration;
using conf::Model;

constexpr std::size_t kMegabyte = 1024 * 1024;

Endpoint endpointOf(const conf::Address& a) { return {boost::asio::ip::make_address(a.host), a.port}; }

constexpr std::size_t kToldErrors = 3;

[[noreturn]] void refuse(const std::vector<conf::Diagnostic>& found, const conf::Sources& sources) {
  std::vector<std::string> errors;
  std::size_t all = 0;
  for (const conf::Diagnostic& d : found) {
    if (d.severity != conf::Severity::Error) continue;
    if (++all <= kToldErrors) errors.push_back(conf::oneLine(d, sources));
  }
  if (all > kToldErrors) errors.back() += " (and " + std::to_string(all - kToldErrors) + " more)";
  throw ConfigurationRefused(std::move(errors));
}

RequestGate::Share shareOf(const conf::Share& s, double weight) {
  return {.guaranteed = s.guaranteed,
          .most = s.most.value_or(admission::kNoBound),
          .weight = s.weight.value_or(weight)};
}

OperatorSettings settingsOf(const Model& m, const std::string& path) {
  OperatorSettings s;
  s.file = path;
  if (m.status) s.status = endpointOf(*m.status);
  s.log_level = static_cast<LogLevel>(m.log_level);
  s.connections = m.connections;
  s.connections_per_address = m.connections_per_address;
  s.idle_kept = m.idle_kept;
  s.open = m.open;
  s.waiting = m.waiting;
  s.retries_least = m.retries_least;
  s.retries_part = m.retries_part;
  s.first_byte = m.first_byte;
  s.request = m.request;
  s.idle = m.idle;
  s.write = m.write;
  s.linger = m.linger;
  s.connect = m.connect;
  s.upstream_idle = m.upstream_idle;
  s.health_check_timeout = m.health_check_timeout;
  s.answer = m.answer;
  return s;
}

// Shares by the platform's names; a name that it does not have is an error.
template <typename Named>
std::vector<RequestGate::Share> sharesOf(Configuration& c, const char* kind, const std::vector<Named>& all,
                                         const std::vector<std::string>& names) {
  std::vector<RequestGate::Share> shares;
  if (all.empty()) return shares;
  shares.resize(names.size());
  for (const Named& n : all) {
    const auto known = std::find(names.begin(), names.end(), n.name);
    if (known == names.end()) {
      const std::string meant = conf::nearest(n.name, names);
      std::string what = "the platform has no ";
      what += kind;
      what += " '" + n.name + "'";
      c.found.push_back(
          {conf::Severity::Error, n.at, what, meant.empty() ? "delete it" : "did you mean " + meant + "?"});
      continue;
    }
    shares[static_cast<std::size_t>(known - names.begin())] = shareOf(n.share, 1);
  }
  return shares;
}

load_balancer::RequestClass classOf(const conf::ClassModel& c) {
  load_balancer::RequestClass out;
  out.latency_objective = c.latency_objective;
  out.deadline = c.deadline;
  out.idempotency = effectOf(c.idempotency);
  out.deduplication_scope =
      c.deduplication_scope == conf::DeduplicationScope::All    ? load_balancer::DeduplicationScope::All
      : c.deduplication_scope == conf::DeduplicationScope::Zone ? load_balancer::DeduplicationScope::Zone
                                                                : load_balancer::DeduplicationScope::Cell;
  out.deduplication_window = c.deduplication_window;
  out.max_attempts = c.attempts.value_or(0);
  out.priority_weight = c.priority_weight;
  out.late_weight = c.late_weight;
  return out;
}

load_balancer::Settings moduleSettings(const Model& m) {
  const conf::PoolModel& p = *m.pool;
  load_balancer::Settings s;
  s.client = m.client;
  s.discovery = load_balancer::Discovery::Push;
  s.reports = load_balancer::ReportSource::None;
  s.weighted = true;
  for (const conf::ClassModel& c : m.classes) s.classes.push_back(classOf(c));
  for (const conf::TenantModel& t : m.tenants) s.tenants.push_back({.quota = t.part});
  s.max_attempts = p.attempts;
  s.may_cancel = p.cancel;
  s.may_health_check = p.probe;
  s.retry_after = p.retry_after_most > 0;
  s.max_retry_after = p.retry_after_most;
  s.drain_grace = p.drain_grace;
  s.slow_start_initial_capacity = p.slow_start_initial_capacity;
  s.slow_start_duration = p.slow_start_duration;
  s.slow_start_overload_factor = p.slow_start_overload_factor;
  s.slow_start_overload_window = 2 * kSecond;
  return s;
}

HostList listOf(const std::vector<conf::HostModel>& hosts, Zones& zones) {
  HostList list;
  list.full = true;
  for (const conf::HostModel& h : hosts) {
    load_balancer::Host host;
    host.id = h.name;
    host.capacity = h.capacity;
    host.zone = zones.indexOf(h.zone);
    host.cell = h.cell;
    list.hosts.push_back(std::move(host));
    list.endpoints.push_back(endpointOf(h.address));
  }
  return list;
}

boost::asio::ip::udp::endpoint datagramsAt(const conf::Address& a) {
  return {boost::asio::ip::make_address(a.host), a.port};
}

std::vector<FleetPeer> peersOf(const std::vector<conf::MemberModel>& members) {
  std::vector<FleetPeer> peers;
  for (const conf::MemberModel& m : members)
    peers.push_back({m.number, datagramsAt(m.address), m.zone, m.region});
  return peers;
}

FleetSettings fleetOf(const conf::FleetModel& m, std::uint32_t client, const std::string& zone,
                      conf::FileSource& files) {
  FleetSettings f;
  f.name = m.name;
  f.number = static_cast<std::uint16_t>(client);
  f.listen = datagramsAt(m.listen);
  f.members_file = m.members_file;
  f.members = m.members_file.empty() ? peersOf(m.members) : readMembers(files, m.members_file);
  f.zone = zone;
  f.region = m.region;
  for (const FleetPeer& p : f.members) {
    if (p.number != f.number) continue;
    if (f.zone.empty()) f.zone = p.zone;
    if (f.region.empty()) f.region = p.region;
  }
  return f;
}

std::optional<ServiceSettings> servicesOf(const Model& m) {
  if (m.services.empty()) return std::nullopt;
  ServiceSettings s;
  s.memory = m.memory_folder;
  s.lease = m.services.front().lease;
  for (const conf::ServiceModel& from : m.services) {
    ServiceSetting to{from.name, from.home, from.stand_by, {}};
    for (const conf::RouteModel& r : from.routes)
      to.routes.push_back({r.name, r.path, r.method, r.request_class});
    s.lease = std::min(s.lease, from.lease);
    s.services.push_back(std::move(to));
  }
  return s;
}

std::optional<SubscriptionSettings> subscriptionOf(const Model& m) {
  if (!m.configuration) return std::nullopt;
  SubscriptionSettings s;
  s.file = m.configuration->file;
  s.region = m.configuration->region;
  for (const conf::ReplicaModel& r : m.configuration->replicas)
    s.replicas.push_back({r.number, endpointOf(r.address), r.region});
  return s;
}

// The region of its fleet where its own is not said.
void setSubscription(const Model& m, Config& c) {
  c.subscription = subscriptionOf(m);
  if (c.subscription && c.subscription->region.empty() && c.fleet) c.subscription->region = c.fleet->region;
}

// `zones`: as they are numbered already; nothing: at start.
Config aloneConfig(const Model& m, conf::FileSource& files, const std::string& path,
                   const std::optional<Zones>& zones) {
  Config c;
  c.alone = true;
  c.name = m.name;
  c.listen = endpointOf(m.listen);
  c.seed = m.client;
  c.sockets = m.sockets.value_or(std::numeric_limits<std::size_t>::max());  // what the system gives
  if (m.memory) c.memory_mb = *m.memory / kMegabyte;
  c.own = settingsOf(m, path);
  c.site.settings = moduleSettings(m);
  for (const conf::ClassModel& k : m.classes) {
    c.site.classes.push_back(k.name);
    c.own.classes.push_back(shareOf(k.share, 1));
  }
  for (const conf::TenantModel& t : m.tenants) {
    c.site.tenants.push_back(t.name);
    c.own.tenants.push_back(shareOf(t.share, std::max(t.part, 0.01)));
  }
  c.zones = zones ? *zones : Zones({m.zone});
  if (m.fleet) c.fleet = fleetOf(*m.fleet, m.client, m.zone, files);
  c.services = servicesOf(m);
  setSubscription(m, c);
  c.hosts_file = m.pool->hosts_file;
  if (c.hosts_file.empty()) {
    c.known = listOf(m.pool->hosts, c.zones);
  } else {
    c.known = readHosts(files, c.hosts_file, c.zones);
  }
  return c;
}

}  // namespace

load_balancer::Idempotency effectOf(conf::Idempotency idempotency) {
  return idempotency == conf::Idempotency::Idempotent          ? load_balancer::Idempotency::Idempotent
         : idempotency == conf::Idempotency::IdempotentWithKey ? load_balancer::Idempotency::IdempotentWithKey
                                                               : load_balancer::Idempotency::NonIdempotent;
}

OperatorSource::OperatorSource(conf::FileSource& files, std::string path, Environment getenv)
    : files_(files), path_(std::move(path)), getenv_(std::move(getenv)) {}

Config OperatorSource::read(const std::optional<Zones>& zones) {
  conf::Configuration read = conf::readConfiguration(files_, path_);
  if (!read.ok()) refuse(read.found, read.sources);
  Config c = configOf(read, zones);
  notes_.clear();
  if (in_force_) {
    for (const conf::Change& change : conf::compare(in_force_->root, read.root))
      notes_.push_back(change.text());
  }
  for (const conf::Diagnostic& d : read.found) notes_.push_back(conf::oneLine(d, read.sources));
  read_ = std::move(read);
  return c;
}

void OperatorSource::taken() {
  in_force_ = std::exchange(read_, std::nullopt);
  if (!at_start_ && in_force_) at_start_ = in_force_->root;
}

bool OperatorSource::restartNeeded() const {
  if (!at_start_ || !in_force_) return false;
  const std::vector<conf::Change> changes = conf::compare(*at_start_, in_force_->root);
  return std::any_of(changes.begin(), changes.end(), [](const conf::Change& c) { return c.restart; });
}

Config OperatorSource::configOf(conf::Configuration& read, const std::optional<Zones>& zones) {
  const Model& m = read.model;
  if (m.pool) return aloneConfig(m, files_, path_, zones);
  Config c = in_force_ ? rereadConfig(getenv_) : readConfig(getenv_);
  c.own = settingsOf(m, path_);
  if (m.sockets) c.sockets = std::min(c.sockets, *m.sockets);
  if (m.memory) c.memory_mb = std::min(c.memory_mb, *m.memory / kMegabyte);
  c.own.classes = sharesOf(read, "class", m.classes, c.site.classes);
  c.own.tenants = sharesOf(read, "tenant", m.tenants, c.site.tenants);
  if (m.fleet && !c.site.peers) {
    read.found.push_back({conf::Severity::Error, m.fleet->at,
                          "the platform does not allow talk between client proxies (limits.peers)",
                          "delete the block"});
  } else if (m.fleet) {
    c.fleet = fleetOf(*m.fleet, c.site.settings.client, c.fleet ? c.fleet->zone : "", files_);
  }
  c.services = servicesOf(m);
  setSubscription(m, c);
  if (!read.ok()) refuse(read.found, read.sources);
  return c;
}

std::optional<ServiceSettings> readServices(conf::FileSource& files, const std::string& path) {
  const conf::Configuration read = conf::readConfiguration(files, path);
  if (!read.ok()) refuse(read.found, read.sources);
  return servicesOf(read.model);
}

std::vector<FleetPeer> readMembers(conf::FileSource& files, const std::string& path) {
  const conf::MembersFile read = conf::readMembersFile(files, path);
  if (!read.ok()) refuse(read.found, read.sources);
  return peersOf(read.members);
}

HostList readHosts(conf::FileSource& files, const std::string& path, Zones& zones) {
  const conf::HostsFile read = conf::readHostsFile(files, path);
  if (!read.ok()) refuse(read.found, read.sources);
  return listOf(read.hosts, zones);
}

}  // namespace client_proxy
