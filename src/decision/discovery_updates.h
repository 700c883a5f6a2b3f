// What discovery reports: lists of endpoints, and when it is asked for them again.
#pragma once

#include "outlier_detection.h"

namespace load_balancer::policy {

class DiscoveryUpdates {
 public:
  static constexpr std::uint64_t kTimer = 0;

  DiscoveryUpdates(PolicyContext& context, RateLimitedLog& log, EndpointTable& endpoints,
                   SlowStart& slow_start)
      : context_(context), log_(log), endpoints_(endpoints), slow_start_(slow_start) {}

  // Returns whether the endpoints that may be used are others than before.
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
  // Clients that restart together must not call together: the first call waits at random.
  void scheduleFirstCall(ListKind kind, Actions& out) {
    if (!polls() || kind == ListKind::Unavailable) return;
    subscribed_ = subscribed_ || kind != ListKind::Restored;
    if (kind != ListKind::Restored) return;
    const double within = std::min(3e6, static_cast<double>(context_.settings.poll_interval) / 3);
    context_.setTimer(context_.now + static_cast<Time>(context_.random.unit() * within), kTimer, out);
  }
  void onTimer(Actions& out) const {
    if (!subscribed_) out.push_back({.kind = ActionKind::Subscribe});
  }
  // The list is another Balancer's: it is asked for anew.
  void onRestored(Actions& out) {
    synchronized_ = true;
    if (polls() && !subscribed_) context_.setTimer(context_.now, kTimer, out);
  }

 private:
  void noteNewestStart(std::span<const Host> hosts) {
    for (const Host& host : hosts) newest_start_ = std::max(newest_start_, host.started_at);
  }
  // How long a host has run that this client knew nothing of, or before its restart; rather too short. What
  // was not in an earlier list of discovery's has started since, whatever any clock says. Else starts are
  // compared with the newest of them, and with this client's clock, which may be another than that which
  // tells them.
  Time ageOf(const Host& host) const {
    if (synchronized_) return 0;
    return std::max<Time>(0, std::min(context_.now, newest_start_) - host.started_at);
  }

  // A change counts as known 6 s after discovery had it and could be reached (net/discovery.h adds it up).
  static constexpr double kReconnectWithin = 0.7e6;                 // microseconds, after a broken watch
  static constexpr double kFirstBackoff = 0.8e6, kBackoff = 1.6e6;  // after a failed call

  bool polls() const { return context_.settings.discovery == Discovery::Poll; }

  void retry(Actions& out) {
    const bool watch_broke = std::exchange(subscribed_, false);
    const double wait = watch_broke ? kReconnectWithin * context_.random.unit() : context_.jittered(backoff_);
    context_.setTimer(context_.now + static_cast<Time>(wait), kTimer, out);
    backoff_ = watch_broke ? kFirstBackoff : kBackoff;
  }

  // `changes`: what the list lacks stays; else it is gone.
  bool applyList(bool changes, std::span<const Host> hosts) {
    bool changed = false;
    noteNewestStart(hosts);
    std::vector<Endpoint*> added;
    for (auto& [id, endpoint] : endpoints_.all()) endpoint.in_update = changes;
    for (const Host& host : hosts) changed |= applyEntry(host, added);
    for (auto& [id, endpoint] : endpoints_.all()) {
      if (!endpoint.listed || endpoint.in_update) continue;
      endpoints_.remove(endpoint);
      changed = true;
    }
    // The lowest free slots, in the order of ids: alike at all clients.
    std::sort(added.begin(), added.end(), [](auto* a, auto* b) { return a->host.id < b->host.id; });
    for (Endpoint* endpoint : added) endpoints_.takeSlot(*endpoint);
    return changed;
  }
  bool applyEntry(const Host& host, std::vector<Endpoint*>& added) {
    if (host.state == HostState::Removed) {
      Endpoint* const gone = endpoints_.find(host.id);
      const bool was_listed = gone != nullptr && gone->listed;
      if (was_listed) endpoints_.remove(*gone);
      return was_listed;
    }
    Endpoint& endpoint = endpoints_.findOrAdd(host.id);
    const bool restarted = host.started_at != 0 && host.started_at != endpoint.host.started_at;
    const bool changed = !endpoint.listed || endpoint.host.state != host.state || restarted;
    endpoint.host = host;
    if (restarted) {
      beginSlowStart(endpoint);
      endpoint.forgetFailures();
    }
    if (!endpoint.listed) added.push_back(&endpoint);
    endpoint.listed = endpoint.in_update = true;
    return changed;
  }

  void beginSlowStart(Endpoint& endpoint) {
    const Time age = ageOf(endpoint.host);
    if (age >= context_.settings.slow_start_duration) return;
    slow_start_.begin(endpoint, context_.now - age, StartEvidence::Told);
    ++starts_;
  }

  PolicyContext& context_;
  RateLimitedLog& log_;
  EndpointTable& endpoints_;
  SlowStart& slow_start_;
  double backoff_ = kFirstBackoff;
  bool subscribed_ = false, stale_ = false;
  bool synchronized_ = false;  // discovery itself has told the list, not only the process before this one
  std::size_t starts_ = 0;     // that the present list has told
  Time newest_start_ = 0;      // of all hosts, by the clock that tells them
};

}  // namespace load_balancer::policy
