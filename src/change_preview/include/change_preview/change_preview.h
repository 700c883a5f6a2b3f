// Previews a pending change of services and routes: replays recorded requests over the current and the
// pending routing, sums up the differences so that the totals of several members can be added, and assesses
// the risk by fixed rules. No I/O, no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "traffic_sample/traffic_sample.h"

namespace client_proxy::change_preview {

using traffic_sample::Time;

// Where a request would be routed, as computed by the code that routes live requests.
struct Placement {
  std::int32_t service = -1;                      // -1: none
  std::int32_t route = -1;                        // -1: none
  std::string_view service_name = {}, zone = {};  // the zone of the service's owner; empty: any zone
};
// The routing that follows from one services file and the ownership of its services.
struct RoutingSnapshot {
  std::function<Placement(const traffic_sample::SampledRequest&)> place;
  std::vector<std::string> routes;  // names, indexed by Placement::route
};

// Weighted counts of requests, unless noted otherwise. "Restricted" requests may not run twice: they are
// IdempotentWithKey or NonIdempotent.
struct PreviewTotals {
  double all = 0, squares = 0;                     // the sums of the weights and of their squares
  double to_other_service = 0, to_other_site = 0;  // restricted, whose service or zone would change
  double left_alone = 0;  // restricted, that have a service now and would have none: any zone may run them
  double taken_in = 0;    // restricted, that have no service now and would have one
  double keys_split = 0;  // restricted, that have a service now, and whose service and zone would both change
  std::map<std::string, double> work;              // seconds of host time, by zone
  std::map<std::string, double> classes, tenants;  // restricted, whose service or zone would change, by name
  std::map<std::string, double> routes;            // all requests by route of the pending file
  std::size_t members = 0;                         // whose totals these are
  double seconds = 0;                              // of recorded traffic, summed over members
  void add(const PreviewTotals& other);
  bool operator==(const PreviewTotals&) const = default;
};

// The totals of one member's sample. `names` resolves the numbers in its entries; `until` is the end of the
// recorded time. Idempotent requests are counted as work of the zone that served them.
PreviewTotals replay(const traffic_sample::TrafficSample& record, const traffic_sample::NameTable& names,
                     const RoutingSnapshot& now, const RoutingSnapshot& pending, Time until);

enum class Risk : std::uint8_t { Safe, Risky, Unsafe };
constexpr std::string_view nameOf(Risk risk) {
  constexpr std::string_view kNames[] = {"safe", "risky", "unsafe"};
  return kNames[static_cast<std::size_t>(risk)];
}

// The inputs of an assessment besides the totals. It is void as soon as any of them changes.
struct PreviewInputs {
  std::uint32_t file = 0, pending = 0;  // hashes of the current and the pending file
  std::uint32_t services = 0;           // digest of services, owners and terms
  std::uint32_t members = 0;            // hash of the live members
  bool operator==(const PreviewInputs&) const = default;
};

// The limits beyond which a change is risky.
struct Rules {
  double min_coverage = 0.8;   // the least fraction of live members with totals
  double max_zone_load = 0.9;  // the greatest load of a zone as a fraction of its capacity
  double max_error = 0.02;     // the greatest sampling error of a fraction of requests, at 95 % confidence
};

// The assessed risk of a change, with its causes.
struct Assessment {
  Risk risk = Risk::Safe;
  std::vector<std::string> causes;  // the unsafe ones first
  double coverage = 0, error = 0;   // as limited by Rules
  PreviewInputs inputs;
  // False if the inputs have changed, so that the assessment is void.
  bool holds(const PreviewInputs& now) const { return inputs == now; }
};

// Assesses the totals of all members that have reported. `zone_capacity`: the capacity of each zone in
// seconds of host time per second. `live_members`: the number of live members. `differing`: how many of them
// have a different pending file.
Assessment assess(const PreviewTotals& totals, const std::map<std::string, double>& zone_capacity,
                  std::size_t live_members, std::size_t differing, const PreviewInputs& inputs,
                  const Rules& rules = {});

}  // namespace client_proxy::change_preview
