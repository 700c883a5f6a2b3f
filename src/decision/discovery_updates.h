// Applies the lists of hosts that discovery reports, and schedules calls to discovery.
#pragma once

#include "outlier_detection.h"

namespace load_balancer::policy {

class DiscoveryUpdates {
 public:
  static constexpr std::uint64_t kTimer = 0;

  DiscoveryUpdates(PolicyContext& context, RateLimitedLog& log, EndpointTable& endpoints,
                   SlowStart& slow_start)
      : context_(context), log_(log), endpoints_(endpoints), slow_start_(slow_start) {}

  // Returns whether the set of endpoints or their state has changed.
  bool apply(ListKind kind, std::span<const Host> hosts, Actions& out) {
    if (kind == ListKind::Unavailable) {
      stale_ = true;
      if (polls()) retry(out);
      log_.write(RateLimitedLog::Kind::Discovery, "list stale: discovery unavailable", out);
      return false;
    }
    if (kind != ListKind::Restored && std::exchange(stale_, false))
      log_.write(RateLimitedLog::Kind::Discovery, "list fresh again", out);
    starts_ = 0;
    const bool changed = applyList(kind == ListKind::Changes, hosts);
    synchronized_ = synchronized_ || kind != ListKind::Restored;
    if (starts_ > 0)
      log_.write(RateLimitedLog::Kind::SlowStart,
                 "slow start began hosts=" + std::to_string(starts_) + " reason=listed", out);
    return changed;
  }
  // Schedules the first call at a random time, so that clients that restart together do not call together.
  void scheduleFirstCall(ListKind kind, Actions& out) {
    if (!polls() || kind == ListKind::Unavailable) return;
    subscribed_ = subscribed_ || kind != ListKind::Restored;
    if (kind != ListKind::Restored) return;
    const double max_delay = std::min(3e6, static_cast<double>(context_.settings.poll_interval) / 3);
    context_.setTimer(context_.now + static_cast<Time>(context_.random.unit() * max_delay), kTimer, out);
  }
  void onTimer(Actions& out) const {
    if (!subscribed_) out.push_back({.kind = ActionKind::Subscribe});
  }
  // Another Balancer's snapshot was restored: its list is current, but the subscription has to be renewed.
  void onRestored(Actions& out) {
    synchronized_ = true;
    if (polls() && !subscribed_) context_.setTimer(context_.now, kTimer, out);
  }

 private:
  void updateNewestStart(std::span<const Host> hosts) {
    for (const Host& host : hosts) newest_start_ = std::max(newest_start_, host.started_at);
  }
  // How long a host that is new to this client, or has restarted, has been running; underestimated rather
  // than overestimated. A host missing from an earlier list of discovery has started since, whatever the
  // clocks show. Otherwise its start is compared with the newest start of all hosts and with this client's
  // clock, as the starts may be stated by a different clock.
  Time ageOf(const Host& host) const {
    if (synchronized_) return 0;
    return std::max<Time>(0, std::min(context_.now, newest_start_) - host.started_at);
  }

  // A change must be known here within 6 s after discovery has it and is reachable (net/discovery.h has the
  // sum).
  static constexpr double kMaxReconnectDelay = 0.7e6;  // microseconds, after a broken subscription
  static constexpr double kFirstBackoff = 0.8e6, kRepeatedBackoff = 1.6e6;  // after a failed call

  bool polls() const { return context_.settings.discovery == Discovery::Poll; }

  void retry(Actions& out) {
    const bool was_subscribed = std::exchange(subscribed_, false);
    const double delay =
        was_subscribed ? kMaxReconnectDelay * context_.random.unit() : context_.jittered(backoff_);
    context_.setTimer(context_.now + static_cast<Time>(delay), kTimer, out);
    backoff_ = was_subscribed ? kFirstBackoff : kRepeatedBackoff;
  }

  // `changes`: endpoints missing from the list stay; otherwise they are removed.
  bool applyList(bool changes, std::span<const Host> hosts) {
    bool changed = false;
    updateNewestStart(hosts);
    std::vector<Endpoint*> added;
    for (auto& [id, endpoint] : endpoints_.all()) endpoint.in_update = changes;
    for (const Host& host : hosts) changed |= applyEntry(host, added);
    for (auto& [id, endpoint] : endpoints_.all()) {
      if (!endpoint.listed || endpoint.in_update) continue;
      endpoints_.remove(endpoint);
      changed = true;
    }
    // New endpoints get the lowest free slots in the order of their ids, so all clients assign them alike.
    std::sort(added.begin(), added.end(), [](auto* a, auto* b) { return a->host.id < b->host.id; });
    for (Endpoint* endpoint : added) endpoints_.assignSlot(*endpoint);
    return changed;
  }
  bool applyEntry(const Host& host, std::vector<Endpoint*>& added) {
    if (host.state == HostState::Removed) {
      Endpoint* const removed = endpoints_.find(host.id);
      const bool was_listed = removed != nullptr && removed->listed;
      if (was_listed) endpoints_.remove(*removed);
      return was_listed;
    }
    Endpoint& endpoint = endpoints_.findOrAdd(host.id);
    const bool restarted = host.started_at != 0 && host.started_at != endpoint.host.started_at;
    const bool changed = !endpoint.listed || endpoint.host.state != host.state || restarted;
    endpoint.host = host;
    if (restarted) {
      beginSlowStart(endpoint);
      endpoint.resetFailures();
    }
    if (!endpoint.listed) added.push_back(&endpoint);
    endpoint.listed = endpoint.in_update = true;
    return changed;
  }

  void beginSlowStart(Endpoint& endpoint) {
    const Time age = ageOf(endpoint.host);
    if (age >= context_.settings.slow_start_duration) return;
    slow_start_.begin(endpoint, context_.now - age, StartEvidence::Reported);
    ++starts_;
  }

  PolicyContext& context_;
  RateLimitedLog& log_;
  EndpointTable& endpoints_;
  SlowStart& slow_start_;
  double backoff_ = kFirstBackoff;
  bool subscribed_ = false, stale_ = false;
  bool synchronized_ = false;  // a list came from discovery, or from the Balancer that this one replaces
  std::size_t starts_ = 0;     // slow starts begun by the current list
  Time newest_start_ = 0;      // of all hosts, by the clock that states their starts
};

}  // namespace load_balancer::policy
