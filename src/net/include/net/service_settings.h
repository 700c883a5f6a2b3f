// Services that one site alone may run, as the operator file has them: plain values, so that a build without
// them can read them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "net/clock.h"

namespace client_proxy {

struct ServiceRoute {
  std::string name;
  std::string path, method, request_class;  // empty: any
};

struct ServiceSetting {
  std::string name;
  std::string home, stand_by;  // zones; stand_by may be empty
  std::vector<ServiceRoute> routes;
};

struct ServiceSettings {
  std::vector<ServiceSetting> services;
  Time lease = 0;
  std::string memory;  // the folder of what is remembered over a power cut; empty: nothing is
};

}  // namespace client_proxy
