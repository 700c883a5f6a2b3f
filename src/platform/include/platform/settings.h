// Reads the settings that a POWER_ON line carries; the real client proxy finds the same object in its
// configuration.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "load_balancer/balancer.h"

namespace load_balancer::platform {

// What is wrong with a line, and in which of its fields.
struct BadField : std::runtime_error {
  BadField(std::string name, const std::string& what) : std::runtime_error(what), field(std::move(name)) {}
  std::string field;
};

// The values that a load report may name.
bool isInFlightGauge(std::string_view name);  // the report's value for requests that the server holds

Settings parseSettings(std::string_view json);

// What an embedder on sockets reads of the same object: the module deals in numbers, the network in names.
struct Site {
  Settings settings;
  std::vector<std::string> classes, tenants, zones;  // by index
  Time idle = 15'000'000;                            // a host closes idle connections after this
  Time connect_timeout = 250'000;
  std::int32_t max_open = 20'000;  // requests open at once
  bool reports = false;            // hosts report their load
  bool peers = false;              // client proxies may send one another datagrams
};
Site parseSite(std::string_view json);

}  // namespace load_balancer::platform
