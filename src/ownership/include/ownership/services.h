// The services of an operator file and their routes: finds the service that a request belongs to. No I/O, no
// clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "leases/types.h"
#include "net/service_settings.h"
#include "routing/routes.h"

namespace client_proxy::ownership {

class Services {
 public:
  // Throws std::runtime_error if a route is invalid, if two routes are ambiguous, or if the hashes of two
  // names of services or of zones collide.
  explicit Services(const std::vector<ServiceSetting>& settings);

  struct Match {
    std::optional<std::size_t> service;  // index in the settings; std::nullopt: the request is of no service
    bool malformed = false;              // the request target can't be parsed
    std::size_t route = 0;  // index among the routes of all services, in the order of the settings
  };
  Match find(std::string_view target, std::string_view method, std::string_view request_class) const;
  const std::vector<leases::Service>& services() const { return services_; }
  // Hash of the configured services, independent of their order.
  std::uint32_t hash() const { return hash_; }

 private:
  std::vector<leases::Service> services_;
  std::vector<std::size_t> service_of_route_;  // by index of the route
  std::optional<routing::Routes> routes_;
  std::uint32_t hash_ = 0;
};

}  // namespace client_proxy::ownership
