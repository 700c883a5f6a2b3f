// A fleet of processes of the program and hollow members together, in two regions of five zones: what one
// machine can hold of a large one.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "discovery_stub.h"
#include "fleet_rig.h"
#include "fleet_transport/membership_service.h"
#include "hollow_process.h"

namespace client_proxy::rig {

struct MixedPlan {
  std::size_t members = 60;
  std::size_t real = 0;                // the last so many are processes of the program
  std::size_t hollow_a_process = 100;  // at most
  std::size_t services = 84;           // with leases; 0: none
  std::size_t hosts = 0;               // that discovery lists; 0: as many as members
  std::chrono::milliseconds lease{3000};
  std::chrono::milliseconds between_regions{15};  // one way
  double loss = 0;  // of all datagrams: then all pass the relay, else only those between regions
  std::uint64_t seed = 1;
};

struct MemberTraffic {
  std::size_t number = 0;
  bool hollow = false;
  double at_s = 0;                                     // when it was read, by a clock of its own kind
  fleet_transport::MembershipService::Traffic counts;  // of a real one without parcels apart
  std::uint64_t worst_out = 0, worst_in = 0;  // bytes in one second since the last reset; hollow ones only
};

class MixedFleet {
 public:
  using Numbers = std::set<std::size_t>;
  // `program`: client-proxy; not used where there are no real members. `hollow`: client_proxy_hollow.
  MixedFleet(const std::string& program, const std::string& hollow, const MixedPlan& plan);
  ~MixedFleet();

  const MixedPlan& plan() const { return plan_; }
  std::size_t hollow() const { return plan_.members - plan_.real; }
  bool isHollow(std::size_t n) const { return n < hollow(); }
  std::string zoneOf(std::size_t n) const { return layout_.zones[layout_.zoneOfProxy(n)].name; }
  std::string regionOf(std::size_t n) const { return layout_.zones[layout_.zoneOfProxy(n)].region; }
  Numbers all() const;
  // Those that hold.
  Numbers which(const std::function<bool(std::size_t)>& holds) const;
  // Who speaks for the zones' leases while all are live: the lowest number of each.
  Numbers keepers() const;

  void start(const Numbers& members);
  void startAll() { start(all()); }
  void crash(const Numbers& members);
  // All these hold equal views with so many live.
  bool agree(const Numbers& members, std::size_t live);
  // All these have just so many live; what they hold of suspects may differ.
  bool count(const Numbers& members, std::size_t live);
  // How many live members are held by how many of the hollow ones, as text.
  std::string viewsOfHollow();
  // Seconds until it holds, looked at every `look`; negative: not within `limit`.
  static double until(const std::function<bool()>& holds, std::chrono::milliseconds look,
                      std::chrono::seconds limit);

  std::vector<MemberTraffic> traffic();
  void resetWorstSeconds();
  // Hollow members of which all services may be sent somewhere, and those with an open watch.
  std::size_t served();
  std::size_t watching();
  // Regions lose each other, datagrams only; and find each other again.
  void cutRegions(bool cut);
  DatagramRelay& relay() { return rig_->relay(); }
  DiscoveryStub& discovery() { return *discovery_; }

  struct Usage {
    double hollow_cpu_ms = 0, real_cpu_ms = 0,
           own_cpu_ms = 0;              // since their starts; own: with relay and stub
    double hollow_mb = 0, real_mb = 0;  // of all members; hollow: above the empty processes
  };
  Usage usage() const;
  std::string logs() const;

 private:
  struct View {
    std::size_t live = 0;
    std::uint32_t hash = 0;
    bool operator==(const View&) const = default;
  };
  // Each of these members' views; false from `take` ends it. False: a view was missing or not taken.
  bool eachView(const Numbers& members, const std::function<bool(const View&)>& take);
  void writeMembersFile(const std::string& path, const std::vector<std::size_t>& held) const;
  // To each process that holds some of these: the command with their numbers. The answers.
  std::vector<nlohmann::json> command(const std::string& what, const Numbers& members);

  const MixedPlan plan_;
  const Plan layout_;
  std::unique_ptr<DiscoveryStub> discovery_;
  std::unique_ptr<FleetRig> rig_;
  std::vector<std::unique_ptr<HollowProcess>> processes_;
  Numbers running_;
};

}  // namespace client_proxy::rig
