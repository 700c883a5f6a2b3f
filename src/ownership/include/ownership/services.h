// The services of an operator file as routes: which one a request belongs to. No I/O, no clock.
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
  // Throws std::runtime_error where two routes could take one request, or two names can't be told apart.
  explicit Services(const std::vector<ServiceSetting>& settings);

  struct Match {
    std::optional<std::size_t> service;  // by its place in the settings
    bool malformed = false;
    std::size_t route = 0;  // of all services' in order
  };
  Match find(std::string_view target, std::string_view method, std::string_view request_class) const;
  const std::vector<leases::Service>& services() const { return list_; }
  // The same for files that say the same of services, in whatever order.
  std::uint32_t hash() const { return hash_; }

 private:
  std::vector<leases::Service> list_;
  std::vector<std::size_t> service_of_;  // by route
  std::optional<routing::Routes> routes_;
  std::uint32_t hash_ = 0;
};

}  // namespace client_proxy::ownership
