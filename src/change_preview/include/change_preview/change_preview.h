// A pending change of services and routes, replayed over what was recorded: what each request would meet,
// told by sums that can be added up over members; and a judgement by rule. No I/O, no clock.
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

// Where a request would go: the same pure code that decides live says so.
struct Placement {
  std::int32_t service = -1;  // -1: none
  std::int32_t route = -1;
  std::string_view service_name = {}, zone = {};  // its owner's; empty: any zone
};
// One file with the deeds that it leads to.
struct RoutingSnapshot {
  std::function<Placement(const traffic_sample::SampledRequest&)> place;
  std::vector<std::string> routes;  // by number
};

// Weighted counts of requests, unless something else is said. Of several members they add up.
struct PreviewTotals {
  double all = 0, squares = 0;  // of the weights, and of their squares
  double to_other_service = 0, to_other_site = 0;
  double left_alone = 0;  // unsafe or keyed, of a service now and of none then: any zone may run it
  double taken_in = 0;    // of none now and of a service then
  double keys_split = 0;  // keyed or unsafe that another site would run, by another service's deed or by none
  std::map<std::string, double> work;              // seconds of hosts' time, by zone
  std::map<std::string, double> classes, tenants;  // that meet another service or site
  std::map<std::string, double> routes;            // of the pending file, each with its requests
  std::size_t members = 0;
  double seconds = 0;  // of traffic, of all members together
  void add(const PreviewTotals& other);
  bool operator==(const PreviewTotals&) const = default;
};

// Over one member's record. `names`: those of its entries. Safe traffic stays where it went.
PreviewTotals replay(const traffic_sample::TrafficSample& record, const traffic_sample::NameTable& names,
                     const RoutingSnapshot& now, const RoutingSnapshot& pending, Time until);

enum class Risk : std::uint8_t { Safe, Risky, Unsafe };
constexpr std::string_view nameOf(Risk j) {
  constexpr std::string_view kNames[] = {"safe", "risky", "unsafe"};
  return kNames[static_cast<std::size_t>(j)];
}

// What a judgement rests on beside the tally. When any of it is another than before, the judgement is void.
struct PreviewInputs {
  std::uint32_t file = 0, pending = 0;  // hashes
  std::uint32_t services = 0;           // digest of services, owners and terms
  std::uint32_t members = 0;            // hash of who is live
  bool operator==(const PreviewInputs&) const = default;
};

struct Rules {
  double coverage = 0.8;  // of the live members, at least
  double full = 0.9;      // of a zone's room
  double error = 0.02;    // of the parts that are told, at most (95 of 100 times)
};

struct Assessment {
  Risk risk = Risk::Safe;
  std::vector<std::string> causes;  // the gravest first
  double coverage = 0, error = 0;
  PreviewInputs inputs;
  bool holds(const PreviewInputs& now) const { return inputs == now; }
};

// `rooms`: seconds of hosts' time a second, by zone. `live`: members. `unlike`: those whose pending file is
// another.
Assessment assess(const PreviewTotals& totals, const std::map<std::string, double>& rooms, std::size_t live,
                  std::size_t unlike, const PreviewInputs& inputs, const Rules& rules = {});

}  // namespace client_proxy::change_preview
