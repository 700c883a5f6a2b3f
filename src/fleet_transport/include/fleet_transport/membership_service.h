// The other proxies of the fleet, as the daemon deals with them. What stands behind it depends on the build.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "load_balancer/balancer.h"
#include "net/clock.h"
#include "net/fleet_settings.h"
#include "net/log.h"

namespace client_proxy::fleet_transport {

// This proxy, as what is talked about has to do with it.
class LocalNode {
 public:
  virtual ~LocalNode() = default;
  virtual std::uint64_t admitted() const = 0;          // requests that were let in since the start
  virtual std::vector<std::string> zones() const = 0;  // of hosts
  // As Balancer::observeZone.
  virtual load_balancer::ZoneObservation seen(const std::string& zone, Time now,
                                              const load_balancer::ZoneObservedSince& since) = 0;
  virtual void setZone(const std::string& zone, load_balancer::ZoneDirective order) = 0;
};

class MembershipService {
 public:
  using Number = std::uint16_t;
  struct Member {
    Number number = 0;
    std::string zone;  // as the list has it, or it says itself; empty: not known
    bool live = false;
  };
  // Datagrams and their bytes (UDP payload) since the start. Those that carry a parcel, send() and
  // onApplicationMessage(), are counted in both.
  struct Traffic {
    std::uint64_t datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0;
    std::uint64_t messages_in = 0, messages_out = 0, message_bytes_in = 0, message_bytes_out = 0;
  };
  virtual ~MembershipService() = default;
  virtual Traffic traffic() const = 0;
  // Another part's words to a member: once, late or never. Before start() nothing is sent.
  virtual void send(Number to, std::string bytes) = 0;
  virtual void onApplicationMessage(std::function<void(Number from, std::string_view bytes)> take) = 0;
  virtual std::vector<Member> members() const = 0;         // by number; this one is among them
  virtual std::vector<std::string> lostZones() const = 0;  // by the verdict that holds
  // `remembered`: what the process before this one handed on; empty: there was none, and the address must be
  // free. Throws std::runtime_error where it is not.
  virtual void start(const std::string& remembered) = 0;
  // What a next process goes on with. This one is still from then on, since the other one may speak already,
  // until resume() or some seconds have passed.
  virtual std::string handOn() = 0;
  // The next process has gone without taking over, or serves: then this one is silent for good.
  virtual void resume() = 0;
  virtual void stop() = 0;
  // Tells the others that it goes.
  virtual void leave() = 0;
  // Throws std::runtime_error, and all is as before.
  virtual void setMembers(const std::vector<FleetPeer>& members) = 0;
  virtual std::string page() const = 0;     // JSON: docs/fleet.md
  virtual std::string summary() const = 0;  // the same without its members
  virtual std::string zones() const = 0;    // JSON: docs/zones.md
  virtual std::string figures() const = 0;  // Prometheus' text format
};

// Null where the program was built without them, which the log tells. `local` must outlive them. Throws
// std::runtime_error with what is wrong with the settings.
std::unique_ptr<MembershipService> makeMembershipService(boost::asio::io_context& io, const Clock& clock,
                                                         Log& log, const FleetSettings& settings,
                                                         LocalNode& local);

}  // namespace client_proxy::fleet_transport
