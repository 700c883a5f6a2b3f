// `client-proxy ctl`: a call on a running proxy's console, for people and scripts.
#pragma once

#include <string>

namespace client_proxy {

struct CtlOptions {
  std::string console;  // address:port; empty: $PROXY_CONSOLE
  std::string what;     // stats, healthy, ban, ready, drain, undrain, fleet, zones, deeds, recovery, give
  std::string host;     // of ban and ready; of give: the service
  std::string zone;     // of give
  bool json = false;    // of stats and fleet
};

// Prints what the console says. 0: yes; 1: it says no; 2: there is no address, or nobody answers there in 3
// s.
int ctl(const CtlOptions& options);

// Figures as a table for people, or as JSON: {"success": {"CLASS": 7}, "concurrent": 2}.
std::string figuresAsTable(const std::string& text);
std::string figuresAsJson(const std::string& text);

// The console's page of the fleet as a table.
std::string fleetAsTable(const std::string& page);
// Its pages of deeds and of the recovery for people.
std::string deedsAsTable(const std::string& page);
std::string recoveryAsTable(const std::string& page);

}  // namespace client_proxy
