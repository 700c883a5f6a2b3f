#include "hollow_member.h"

#include <utility>

namespace client_proxy::rig {

class HollowMember::NoRequests final : public fleet_transport::LocalNode {
 public:
  explicit NoRequests(std::vector<std::string> zones) : zones_(std::move(zones)) {}
  std::uint64_t admitted() const override { return 0; }
  std::vector<std::string> zones() const override { return zones_; }
  load_balancer::ZoneObservation seen(const std::string&, Time,
                                      const load_balancer::ZoneObservedSince&) override {
    return {};
  }
  void setZone(const std::string&, load_balancer::ZoneDirective) override {}

 private:
  const std::vector<std::string> zones_;
};

HollowMember::HollowMember(boost::asio::io_context& io, const Clock& clock, const HollowPlan& plan,
                           FleetSettings fleet)
    : fleet_(std::move(fleet)),
      log_(clock, "hollow-" + std::to_string(fleet_.number)),
      timers_(io, clock),
      local_(std::make_unique<NoRequests>(plan.zones)) {
  log_.setLevel(LogLevel::Error);
  neighbours_ = fleet_transport::makeMembershipService(io, clock, log_, fleet_, *local_);
  clients_ = makeHollowClients({io, clock, log_, timers_, plan, fleet_, *neighbours_});
}

HollowMember::~HollowMember() = default;

void HollowMember::start() {
  neighbours_->start({});
  for (const auto& client : clients_) client->start();
}

void HollowMember::crash() {
  for (const auto& client : clients_) client->stop();
  neighbours_->stop();
}

void HollowMember::leave() {
  neighbours_->leave();
  crash();
}

nlohmann::json HollowMember::view() const { return nlohmann::json::parse(neighbours_->summary()); }

nlohmann::ordered_json HollowMember::clients() const {
  nlohmann::ordered_json all = nlohmann::ordered_json::object();
  for (const auto& client : clients_) all[client->name()] = client->report();
  return all;
}

}  // namespace client_proxy::rig
