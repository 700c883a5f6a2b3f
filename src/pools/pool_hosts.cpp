// A pool's list of hosts: what discovery, operators and staff say of them.
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

bool Pool::maintain(const std::string& host, bool in_maintenance) {
  if (!balancer_.setMaintenance(clock_.now(), host, in_maintenance)) return false;
  if (in_maintenance) upstream_.closeIdleTo(host);
  log("host " + host + (in_maintenance ? " is out of use, by hand" : " is in use again, by hand"));
  return true;
}

void Pool::setZone(std::int32_t zone, load_balancer::ZoneDirective order) {
  dispatch([this, zone, order](Time now) { balancer_.setZone(now, zone, order, actions_); });
}

// What the list means together with what is known. An entry that could not be read leaves its host as it was.
// An address has one host, the one that started last: a machine that has been replaced may still be listed
// beside the new one, and what is sent to it then would come on top of what the new, cold one can take. This
// would harm a fleet in which hosts share an address, which the protocol does not have.
HostList Pool::mergedWithKnown(HostList list) const {
  for (const std::string& uid : list.unread) {
    const auto known = listed_.find(uid);
    if (known == listed_.end()) continue;
    list.hosts.push_back(known->second.host);
    list.endpoints.push_back(known->second.endpoint);
  }
  std::map<std::string_view, std::size_t> named;
  for (std::size_t i = 0; i < list.hosts.size(); ++i) named[list.hosts[i].id] = i;
  std::map<Endpoint, load_balancer::Host> holders;
  const auto claim = [&](const Endpoint& at, const load_balancer::Host& host) {
    if (host.state == load_balancer::HostState::Removed) return;
    const auto [it, first] = holders.emplace(at, host);
    if (!first && host.started_at >= it->second.started_at) it->second = host;
  };
  if (!list.full) {
    for (const auto& [uid, known] : listed_) {
      if (!named.count(uid)) claim(known.endpoint, known.host);
    }
  }
  for (std::size_t i = 0; i < list.hosts.size(); ++i) claim(list.endpoints[i], list.hosts[i]);
  const auto lost = [&](const Endpoint& at, const std::string& uid) { return holders.at(at).id != uid; };
  for (std::size_t i = 0; i < list.hosts.size(); ++i) {
    load_balancer::Host& host = list.hosts[i];
    if (host.state != load_balancer::HostState::Removed && lost(list.endpoints[i], host.id)) {
      host.state = load_balancer::HostState::Removed;
    }
  }
  std::vector<load_balancer::Host> replaced;
  for (const auto& [uid, known] : listed_) {
    if (!list.full && !named.count(uid) && lost(known.endpoint, uid)) replaced.push_back(known.host);
  }
  for (load_balancer::Host& host : replaced) {
    host.state = load_balancer::HostState::Removed;
    list.hosts.push_back(std::move(host));
    list.endpoints.emplace_back();
  }
  return list;
}

void Pool::applyHosts(const HostList& list) {
  std::map<std::string, Listed, std::less<>> left;
  if (list.full) left.swap(listed_);
  for (std::size_t i = 0; i < list.hosts.size(); ++i) {
    const load_balancer::Host& host = list.hosts[i];
    left.erase(host.id);
    if (host.state == load_balancer::HostState::Removed) {
      upstream_.removeHost(host.id);
      listed_.erase(host.id);
    } else {
      upstream_.setHost(host.id, list.endpoints[i]);
      listed_[host.id] = {host, list.endpoints[i]};
    }
  }
  for (const auto& [uid, known] : left) upstream_.removeHost(uid);
}

void Pool::onHostList(const HostList& news) {
  if (!news.unread.empty()) log("discovery: an entry is passed over: " + news.complaint, LogLevel::Warning);
  applyList(news, news.full ? ListKind::Full : ListKind::Changes);
}

void Pool::applyList(HostList news, ListKind kind) {
  const HostList list = mergedWithKnown(std::move(news));
  applyHosts(list);
  dispatch([this, list, kind](Time now) { balancer_.onServers(now, kind, list.hosts, actions_); });
}

void Pool::onDiscoveryLost(const std::string& why) {
  log("discovery: " + why, LogLevel::Warning);
  if (pushed()) timers_.after(Discovery::kAgentAgain, [this] { discovery_->subscribe(); });
  dispatch([this](Time now) { balancer_.onServers(now, ListKind::Unavailable, {}, actions_); });
}

}  // namespace client_proxy
