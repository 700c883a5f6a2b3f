// A pool's host list: updates from discovery, the operator's file and console commands.
#include <algorithm>
#include <utility>

#include "pools/pool.h"

namespace client_proxy {

using load_balancer::ListKind;

HostList Pool::hosts() const {
  HostList list;
  list.full = true;
  for (const auto& [uid, known] : listed_) {
    list.hosts.push_back(known.host);
    list.endpoints.push_back(known.endpoint);
  }
  return list;
}

void Pool::setHosts(HostList list) {
  list.full = true;
  applyList(std::move(list), ListKind::Full);
}

void Pool::moveDiscovery(const Endpoint& to) {
  if (discovery_) discovery_->moveTo(to);
}

bool Pool::setMaintenance(const std::string& host, bool in_maintenance) {
  if (!balancer_.setMaintenance(clock_.now(), host, in_maintenance)) return false;
  if (in_maintenance) upstream_.closeIdleTo(host);
  log("host " + host +
      (in_maintenance ? " is disabled by operator command" : " is enabled again by operator command"));
  return true;
}

void Pool::setZone(std::int32_t zone, load_balancer::ZoneDirective directive) {
  dispatch([this, zone, directive](Time now) { balancer_.setZone(now, zone, directive, actions_); });
}

// Combines a list update with the known hosts. An entry that could not be parsed leaves its host unchanged.
// If several hosts have one endpoint, only the one that started last is kept: a replaced machine may still be
// listed beside its replacement, and requests sent to it would exceed what the replacement can take during
// slow start. Hosts that share an endpoint on purpose would not work; the protocol has none.
HostList Pool::mergedWithKnown(HostList list) const {
  for (const std::string& uid : list.unread) {
    const auto known = listed_.find(uid);
    if (known == listed_.end()) continue;
    list.hosts.push_back(known->second.host);
    list.endpoints.push_back(known->second.endpoint);
  }
  std::map<std::string_view, std::size_t> index_by_id;
  for (std::size_t i = 0; i < list.hosts.size(); ++i) index_by_id[list.hosts[i].id] = i;
  std::map<Endpoint, load_balancer::Host> host_by_endpoint;
  const auto assign_endpoint = [&](const Endpoint& endpoint, const load_balancer::Host& host) {
    if (host.state == load_balancer::HostState::Removed) return;
    const auto [it, first] = host_by_endpoint.emplace(endpoint, host);
    if (!first && host.started_at >= it->second.started_at) it->second = host;
  };
  if (!list.full) {
    for (const auto& [uid, known] : listed_) {
      if (!index_by_id.count(uid)) assign_endpoint(known.endpoint, known.host);
    }
  }
  for (std::size_t i = 0; i < list.hosts.size(); ++i) assign_endpoint(list.endpoints[i], list.hosts[i]);
  const auto is_replaced = [&](const Endpoint& endpoint, const std::string& uid) {
    return host_by_endpoint.at(endpoint).id != uid;
  };
  for (std::size_t i = 0; i < list.hosts.size(); ++i) {
    load_balancer::Host& host = list.hosts[i];
    if (host.state != load_balancer::HostState::Removed && is_replaced(list.endpoints[i], host.id)) {
      host.state = load_balancer::HostState::Removed;
    }
  }
  std::vector<load_balancer::Host> replaced;
  for (const auto& [uid, known] : listed_) {
    if (!list.full && !index_by_id.count(uid) && is_replaced(known.endpoint, uid))
      replaced.push_back(known.host);
  }
  for (load_balancer::Host& host : replaced) {
    host.state = load_balancer::HostState::Removed;
    list.hosts.push_back(std::move(host));
    list.endpoints.emplace_back();
  }
  return list;
}

void Pool::applyHosts(const HostList& list) {
  std::map<std::string, ListedHost, std::less<>> removed;
  if (list.full) removed.swap(listed_);
  for (std::size_t i = 0; i < list.hosts.size(); ++i) {
    const load_balancer::Host& host = list.hosts[i];
    removed.erase(host.id);
    if (host.state == load_balancer::HostState::Removed) {
      upstream_.removeHost(host.id);
      listed_.erase(host.id);
    } else {
      upstream_.setHost(host.id, list.endpoints[i]);
      listed_[host.id] = {host, list.endpoints[i]};
    }
  }
  for (const auto& [uid, known] : removed) upstream_.removeHost(uid);
}

void Pool::onHostList(const HostList& update) {
  if (!update.unread.empty()) log("discovery: entry ignored: " + update.complaint, LogLevel::Warning);
  applyList(update, update.full ? ListKind::Full : ListKind::Changes);
}

void Pool::applyList(HostList update, ListKind kind) {
  const HostList list = mergedWithKnown(std::move(update));
  applyHosts(list);
  dispatch([this, list, kind](Time now) { balancer_.onServers(now, kind, list.hosts, actions_); });
}

void Pool::onDiscoveryLost(const std::string& why) {
  log("discovery: " + why, LogLevel::Warning);
  if (usesPush()) timers_.after(Discovery::kAgentAgain, [this] { discovery_->subscribe(); });
  dispatch([this](Time now) { balancer_.onServers(now, ListKind::Unavailable, {}, actions_); });
}

}  // namespace client_proxy
