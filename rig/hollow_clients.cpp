// The clients that a hollow member runs: the very classes that the program runs.
#include <algorithm>
#include <utility>

#include "hollow_member.h"
#include "leases/types.h"
#include "net/discovery.h"
#include "ownership/ownership_service.h"
#include "random/random.h"

namespace client_proxy::rig {
namespace {

// Leases of services, without a memory on disk.
class LeaseClient final : public HollowClient {
 public:
  explicit LeaseClient(const HollowContext& context)
      : services_(context.plan.services->services),
        ownership_(context.io, context.clock, context.log, settingsOf(context), context.neighbours,
                   [] { return true; }) {}
  void start() override { ownership_.start(false); }
  void stop() override { ownership_.stop(); }
  std::string name() const override { return "leases"; }
  nlohmann::ordered_json report() const override {
    const auto served = std::count_if(services_.begin(), services_.end(), [&](const ServiceSetting& service) {
      return ownership_.permission(leases::serviceId(service.name)).allowed;
    });
    return {{"served", served}, {"services", services_.size()}};
  }

 private:
  static ownership::OwnershipService::Settings settingsOf(const HollowContext& context) {
    ownership::OwnershipService::Settings settings;
    settings.own = *context.plan.services;
    settings.fleet = context.fleet.name;
    settings.number = context.fleet.number;
    settings.longest_deadline = context.plan.longest_deadline;
    settings.pending = [] { return ServiceSettings{}; };
    settings.zone_capacity = [] { return std::map<std::string, double>{}; };
    return settings;
  }

  const std::vector<ServiceSetting> services_;
  ownership::OwnershipService ownership_;
};

// The watch on discovery. When it is asked for again the decision module says in the program; here the same
// waits are drawn (decision/balancer_impl.h, askLater()).
class DiscoveryClient final : public HollowClient, private DiscoverySink {
 public:
  explicit DiscoveryClient(const HollowContext& context)
      : clock_(context.clock),
        timers_(context.timers),
        zones_(context.plan.zones),
        random_(static_cast<std::uint64_t>(context.clock.now()) + context.fleet.number),
        discovery_(context.io, context.timers, zones_, *this, *context.plan.discovery, 0,
                   Discovery::Limits{}) {}

  void start() override { askAfter(random_.unit() * kAskWithin); }
  void stop() override { stopped_ = true; }
  std::string name() const override { return "discovery"; }
  nlohmann::ordered_json report() const override {
    return {{"watching", told_}, {"revision", discovery_.revision()}, {"hosts", hosts_}, {"lost", lost_}};
  }

 private:
  static constexpr double kAskWithin = 3e6, kSoon = 0.7e6, kFirstBackoff = 0.8e6;  // microseconds

  void onHostList(const HostList& list) override {
    told_ = true;
    backoff_ = kFirstBackoff;
    if (list.full) hosts_ = list.hosts.size();
  }
  void onDiscoveryLost(const std::string&) override {
    ++lost_;
    const bool broke = std::exchange(told_, false);
    askAfter(broke ? kSoon * random_.unit() : backoff_ * (0.75 + 0.5 * random_.unit()));
    backoff_ = broke ? kFirstBackoff : 2 * kFirstBackoff;
  }
  void askAfter(double microseconds) {
    timers_.after(static_cast<Time>(microseconds), [this] {
      if (!stopped_) discovery_.subscribe();
    });
  }

  const Clock& clock_;
  Timers& timers_;
  Zones zones_;
  load_balancer::Random random_;
  Discovery discovery_;
  double backoff_ = kFirstBackoff;
  std::size_t hosts_ = 0, lost_ = 0;
  bool told_ = false, stopped_ = false;
};

}  // namespace

std::vector<std::unique_ptr<HollowClient>> makeHollowClients(const HollowContext& context) {
  std::vector<std::unique_ptr<HollowClient>> clients;
  if (context.plan.services) clients.push_back(std::make_unique<LeaseClient>(context));
  if (context.plan.discovery) clients.push_back(std::make_unique<DiscoveryClient>(context));
  return clients;
}

}  // namespace client_proxy::rig
