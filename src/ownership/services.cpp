#include "ownership/services.h"

#include <map>
#include <stdexcept>

#include "routing/target.h"

namespace client_proxy::ownership {

Services::Services(const std::vector<ServiceSetting>& settings) {
  std::vector<routing::Rule> rules;
  std::map<leases::ServiceId, std::string> ids;
  std::map<leases::SiteId, std::string> sites;
  const auto distinct = [](auto& known, auto id, const std::string& name) {
    const auto [it, first] = known.emplace(id, name);
    if (!first && it->second != name)
      throw std::runtime_error("services: '" + name + "' and '" + it->second +
                               "' can't be told apart: rename one");
  };
  for (std::size_t n = 0; n < settings.size(); ++n) {
    const ServiceSetting& s = settings[n];
    list_.push_back({s.name, leases::serviceId(s.name), leases::siteId(s.home), leases::siteId(s.stand_by)});
    distinct(ids, list_.back().id, s.name);
    distinct(sites, list_.back().home, s.home);
    if (!s.stand_by.empty()) distinct(sites, list_.back().stand_by, s.stand_by);
    std::string all = s.name + "|" + s.home + "|" + s.stand_by;
    for (const ServiceRoute& r : s.routes) {
      rules.push_back({.name = s.name + "/" + r.name,
                       .path = r.path,
                       .method = r.method,
                       .request_class = r.request_class});
      service_of_.push_back(n);
      all += "|" + r.path + " " + r.method + " " + r.request_class;
    }
    hash_ ^= leases::serviceId(all);  // whichever comes first
  }
  try {
    routes_.emplace(rules);
  } catch (const routing::InvalidRule& e) {
    throw std::runtime_error("services: route " + rules[e.rule].name + ": " + e.what());
  }
}

Services::Match Services::find(std::string_view target, std::string_view method,
                               std::string_view request_class) const {
  const routing::Target one = routing::targetOf(target);
  if (!one.ok()) return {std::nullopt, true, 0};
  routing::RouteQuery asked;
  asked.path = one.path;
  asked.method = method;
  asked.request_class = request_class;
  const auto route = routes_->find(asked);
  if (!route) return {};
  return {service_of_[*route], false, *route};
}

}  // namespace client_proxy::ownership
