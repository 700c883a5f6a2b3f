// What the client proxy is told: the PROXY_* variables and the JSON file, as typed values.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "net/fleet_settings.h"
#include "net/host_list.h"
#include "net/operator_settings.h"
#include "net/service_settings.h"
#include "net/subscription_settings.h"
#include "platform/settings.h"

namespace client_proxy {

struct Config {
  std::string name;
  Endpoint listen;
  Endpoint discovery;
  std::optional<Endpoint> console;  // where staff call (docs/on-call.md); not set: nowhere
  std::optional<int> inherited;     // the descriptor of a listening socket, to be used instead of `listen`
  std::string shared_folder;        // $TMPDIR: where processes of one proxy find one another; empty: nowhere
  std::uint64_t seed = 0;
  double cores = 1;
  std::size_t memory_mb = 256;
  std::size_t sockets = 1024;
  load_balancer::platform::Site site;
  Zones zones;
  OperatorSettings own;  // of the operator file
  HostList known;        // the list as this client proxy last had it, perhaps old
  // No platform: `known` is the whole list as it is now, there is no discovery, and `hosts_file`, if it is
  // not empty, is where a newer list comes from.
  bool alone = false;
  std::string hosts_file;
  // Where peers may talk and are named; not set: no word is sent to any.
  std::optional<FleetSettings> fleet;
  // Services that one site alone may run; not set: there are none.
  std::optional<ServiceSettings> services;
  // The shared configuration; not set: no replica is asked.
  std::optional<SubscriptionSettings> subscription;
};

// Reads the variables with `getenv` (null: not set) and the file that PROXY_CONFIG names. Variables win over
// the file. Throws std::runtime_error: one line that names the variable or key at fault.
Config readConfig(const std::function<const char*(const char*)>& getenv);
// The same after the file was replaced: discovery is where the file says now, as the variables are from the
// start.
Config rereadConfig(const std::function<const char*(const char*)>& getenv);

}  // namespace client_proxy
