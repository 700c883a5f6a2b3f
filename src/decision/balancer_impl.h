// The implementation behind Balancer: the policy's components, their common clock, and snapshots.
#pragma once

#include "endpoint_snapshot.h"
#include "event_handling.h"

namespace load_balancer {

struct Balancer::Impl {
  Impl(Settings settings, std::uint64_t seed) {
    validate(settings);
    components.context.settings = std::move(settings);
    components.context.random = Random(seed);
    components.onSettings();
  }

  // Advances the current time; to be called first for each event.
  Impl& at(Time time) {
    const bool first = !std::exchange(started, true);
    components.context.now =
        first ? time : std::max(components.context.now, time);  // the clock may have any origin
    if (first) components.onFirstEvent();
    return *this;
  }

  void reconfigure(Settings next) {
    validateChange(components.context.settings, next);
    for (std::size_t i = 0; i < components.context.settings.classes.size(); ++i) {
      if (!(next.classes[i] == components.context.settings.classes[i])) components.shedder.resetClass(i);
    }
    components.context.settings = std::move(next);
    components.onSettings();
  }

  std::vector<HostSnapshot> snapshot() const {
    std::vector<HostSnapshot> all;
    for (const auto& [id, endpoint] : components.endpoints.all()) {
      if (endpoint.listed || endpoint.in_maintenance) all.push_back(policy::toSnapshot(endpoint));
    }
    return all;
  }
  void restore(std::span<const HostSnapshot> snapshots, Actions& out) {
    for (const HostSnapshot& snapshot : snapshots) {
      policy::Endpoint* endpoint = components.endpoints.find(snapshot.id);
      if (endpoint == nullptr && snapshot.in_maintenance) {
        endpoint = &components.endpoints.findOrAdd(snapshot.id);
        endpoint->host = {.id = snapshot.id, .state = HostState::Removed};
      }
      if (endpoint != nullptr)
        policy::restoreFrom(snapshot, components.context, components.slow_start, components.outliers,
                            *endpoint);
    }
    components.endpoints.restoreSlots(snapshots);
    events.onListChanged();
    components.discovery.onRestored(out);
  }

  HostCounts hostCounts() const {
    HostCounts counts;
    for (const auto& [id, endpoint] : components.endpoints.all()) {
      counts.listed += endpoint.listed ? 1U : 0U;
      counts.avoided += endpoint.listed && !endpoint.usable() ? 1U : 0U;
    }
    return counts;
  }

  SlowStartCounts slowStartCounts() const {
    SlowStartCounts counts{.sent = components.slow_start.sent()};
    for (const auto& [id, endpoint] : components.endpoints.all()) {
      const bool slow =
          endpoint.inSlowStart(components.context.now, components.context.settings.slow_start_duration);
      counts.hosts += endpoint.listed && slow ? 1U : 0U;
    }
    return counts;
  }

  policy::Components components;
  policy::RequestLifecycle lifecycle{components};
  policy::EventHandling events{components, lifecycle};
  bool started = false;  // an event has occurred
};

}  // namespace load_balancer
