#include "ownership/services.h"

#include <map>
#include <stdexcept>

#include "routing/target.h"

namespace client_proxy::ownership {

Services::Services(const std::vector<ServiceSetting>& settings) {
  std::vector<routing::Rule> rules;
  std::map<leases::ServiceId, std::string> ids;
  std::map<leases::SiteId, std::string> sites;
  const auto require_distinct = [](auto& names, auto id, const std::string& name) {
    const auto [it, inserted] = names.emplace(id, name);
    if (!inserted && it->second != name)
      throw std::runtime_error("services: '" + name + "' and '" + it->second +
                               "' have the same hash: rename one of them");
  };
  for (std::size_t n = 0; n < settings.size(); ++n) {
    const ServiceSetting& s = settings[n];
    services_.push_back(
        {s.name, leases::serviceId(s.name), leases::siteId(s.home), leases::siteId(s.stand_by)});
    require_distinct(ids, services_.back().id, s.name);
    require_distinct(sites, services_.back().home, s.home);
    if (!s.stand_by.empty()) require_distinct(sites, services_.back().stand_by, s.stand_by);
    std::string description = s.name + "|" + s.home + "|" + s.stand_by;
    for (const ServiceRoute& r : s.routes) {
      rules.push_back({.name = s.name + "/" + r.name,
                       .path = r.path,
                       .method = r.method,
                       .request_class = r.request_class});
      service_of_route_.push_back(n);
      description += "|" + r.path + " " + r.method + " " + r.request_class;
    }
    hash_ ^= leases::serviceId(description);  // XOR makes the hash independent of the order of services
  }
  try {
    routes_.emplace(rules);
  } catch (const routing::InvalidRule& e) {
    throw std::runtime_error("services: route " + rules[e.rule].name + ": " + e.what());
  }
}

Services::Match Services::find(std::string_view target, std::string_view method,
                               std::string_view request_class) const {
  const routing::Target parsed = routing::targetOf(target);
  if (!parsed.ok()) return {std::nullopt, true, 0};
  routing::RouteQuery request;
  request.path = parsed.path;
  request.method = method;
  request.request_class = request_class;
  const auto route = routes_->find(request);
  if (!route) return {};
  return {service_of_route_[*route], false, *route};
}

}  // namespace client_proxy::ownership
