// A hollow member of the fleet: the program's own membership, on a socket of its own, and the clients that
// speak over it or beside it, without a request path. Many share a process and its event loop, so that fleets
// that are larger than one machine's processes can be measured.
#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fleet_transport/membership_service.h"
#include "net/clock.h"
#include "net/fleet_settings.h"
#include "net/host_list.h"
#include "net/log.h"
#include "net/service_settings.h"
#include "net/timers.h"

namespace client_proxy::rig {

// What the members of one process have in common, but for their addresses.
struct HollowPlan {
  std::vector<std::string> zones;
  std::optional<ServiceSettings> services;  // nothing: no leases
  std::optional<Endpoint> discovery;        // nothing: no watch
  Time longest_deadline = 0;                // of all request classes, microseconds
};

// What a client of a hollow member may use. All outlive it.
struct HollowContext {
  boost::asio::io_context& io;
  const Clock& clock;
  Log& log;
  Timers& timers;
  const HollowPlan& plan;
  const FleetSettings& fleet;
  fleet_transport::MembershipService& neighbours;
};

// One client for control, as the program runs it: leases, the watch on discovery, and what comes later. A new
// one is a class in hollow_clients.cpp and a line in makeHollowClients().
class HollowClient {
 public:
  virtual ~HollowClient() = default;
  virtual void start() = 0;
  // No word of its own from now on: the member has crashed or left.
  virtual void stop() = 0;
  virtual std::string name() const = 0;
  // Its state, for tests and measurements.
  virtual nlohmann::ordered_json report() const = 0;
};

std::vector<std::unique_ptr<HollowClient>> makeHollowClients(const HollowContext& context);

class HollowMember {
 public:
  // `io`, `clock` and `plan` must outlive it. Throws std::runtime_error for settings that the program
  // refuses.
  HollowMember(boost::asio::io_context& io, const Clock& clock, const HollowPlan& plan, FleetSettings fleet);
  ~HollowMember();

  // Throws std::runtime_error where its address is taken.
  void start();
  // Silent from now on, as after SIGKILL. It may be destroyed once no handler of the event loop is ready.
  void crash();
  // Tells the others that it goes, then is silent.
  void leave();

  std::uint16_t number() const { return fleet_.number; }
  fleet_transport::MembershipService::Traffic traffic() const { return neighbours_->traffic(); }
  // MembershipService::summary(), parsed.
  nlohmann::json view() const;
  // Of each client by its name.
  nlohmann::ordered_json clients() const;

 private:
  class NoRequests;  // what membership asks of a proxy

  const FleetSettings fleet_;
  Log log_;
  Timers timers_;
  std::unique_ptr<NoRequests> local_;
  std::unique_ptr<fleet_transport::MembershipService> neighbours_;
  std::vector<std::unique_ptr<HollowClient>> clients_;
};

}  // namespace client_proxy::rig
