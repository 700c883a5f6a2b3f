// Interface between the daemon and fleet membership. The implementation depends on the build.
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

// What membership needs of the local proxy.
class LocalNode {
 public:
  virtual ~LocalNode() = default;
  virtual std::uint64_t admitted() const = 0;          // requests admitted since the start
  virtual std::vector<std::string> zones() const = 0;  // of hosts
  // See Balancer::observeZone.
  virtual load_balancer::ZoneObservation seen(const std::string& zone, Time now,
                                              const load_balancer::ZoneObservedSince& since) = 0;
  // Applies the fleet's decision on a zone to load balancing.
  virtual void setZone(const std::string& zone, load_balancer::ZoneDirective order) = 0;
};

// This process's membership in the fleet.
class MembershipService {
 public:
  using Number = std::uint16_t;
  struct Member {
    Number number = 0;
    std::string zone;  // from the list, else as published by the member; empty: not known
    bool live = false;
  };
  // Datagrams and their bytes (UDP payload) since the start. Datagrams with an application message, of send()
  // and onApplicationMessage(), count in both groups.
  struct Traffic {
    std::uint64_t datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0;
    std::uint64_t messages_in = 0, messages_out = 0, message_bytes_in = 0, message_bytes_out = 0;
  };
  virtual ~MembershipService() = default;
  virtual Traffic traffic() const = 0;
  // Sends another package's message to a member, once and without acknowledgement: it may arrive late or
  // never. Messages before start() are dropped.
  virtual void send(Number to, std::string bytes) = 0;
  // Sets the handler of received messages.
  virtual void onApplicationMessage(std::function<void(Number from, std::string_view bytes)> take) = 0;
  virtual std::vector<Member> members() const = 0;         // sorted by number, including this one
  virtual std::vector<std::string> lostZones() const = 0;  // zones currently declared lost
  // `previous_state` is what handOn() returned in the previous process. If it is empty there was none, and
  // std::runtime_error is thrown if the address is in use.
  virtual void start(const std::string& previous_state) = 0;
  // Returns the state that the next process continues with. Since that process may already send, this one
  // stops sending until resume() is called or some seconds have passed.
  virtual std::string handOn() = 0;
  // Takes part again after the next process has exited without taking over, or a takeover was rolled back.
  virtual void resume() = 0;
  // The next process has taken over: sends and receives nothing unless resume() is called.
  virtual void stop() = 0;
  // Announces to the other members that this one leaves.
  virtual void leave() = 0;
  // Replaces the list of members. Throws std::runtime_error, and changes nothing, if the list is invalid.
  virtual void setMembers(const std::vector<FleetPeer>& members) = 0;
  virtual std::string page() const = 0;     // JSON: docs/fleet.md
  virtual std::string summary() const = 0;  // JSON: number, sure, live and hash of page()
  virtual std::string zones() const = 0;    // JSON: docs/zones.md
  virtual std::string figures() const = 0;  // metrics in Prometheus text format
};

// Returns null, and logs a warning, if the program was built without fleet membership. `clock`, `log` and
// `local` must outlive the service. Throws std::runtime_error if the settings are invalid.
std::unique_ptr<MembershipService> makeMembershipService(boost::asio::io_context& io, const Clock& clock,
                                                         Log& log, const FleetSettings& settings,
                                                         LocalNode& local);

}  // namespace client_proxy::fleet_transport
