// The one owner of the fleet's view in a process: its socket, its timer, and what staff are shown of it. What
// is said, and what follows from what is heard, src/fleet decides.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "fleet_transport/membership_service.h"
#include "fleet_transport/zone_watch.h"
#include "net/clock.h"
#include "net/fleet_settings.h"
#include "net/log.h"

namespace client_proxy::fleet_transport {

class UdpTransport final : public MembershipService {
 public:
  using Endpoint = boost::asio::ip::udp::endpoint;

  // As makeMembershipService().
  UdpTransport(boost::asio::io_context& io, const Clock& clock, Log& log, FleetSettings settings,
               LocalNode& local);
  ~UdpTransport() override;

  void start(const std::string& remembered) override;
  std::string handOn() override;
  void resume() override;
  void stop() override;
  void leave() override;
  void setMembers(const std::vector<FleetPeer>& members) override;
  std::string page() const override;
  std::string summary() const override;
  void send(Number to, std::string bytes) override;
  Traffic traffic() const override;
  void onApplicationMessage(std::function<void(Number, std::string_view)> take) override {
    take_ = std::move(take);
  }
  std::vector<Member> members() const override;
  std::vector<std::string> lostZones() const override { return zones_.lost(); }
  std::string figures() const override;
  std::string zones() const override { return zones_.page(clock_.now()); }
  fleet::View view() const { return fleet_->view(clock_.now()); }

 private:
  using Steps = fleet::Out;
  static std::vector<fleet::Listed> listed(const std::vector<FleetPeer>& members);
  void know(const std::vector<FleetPeer>& members);
  void open();
  void openLater(const std::string& why);
  void listen();
  void readWaiting();
  void take(std::size_t size);
  void carryOut(const Steps& out);
  void arm();
  void tellFacts();
  void tell(bool urgent);
  void lookAtZones();

  boost::asio::io_context& io_;
  const Clock& clock_;
  Log& log_;
  const FleetSettings settings_;
  LocalNode& local_;
  std::optional<fleet::Fleet> fleet_;
  std::map<Endpoint, fleet::Number> numbers_;
  std::map<fleet::Number, Endpoint> addresses_;

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer due_, facts_, reopen_, zones_due_;
  Time armed_for_ = kNever;
  Endpoint from_;
  std::array<char, fleet::kMostDatagram + 1>
      bytes_{};  // one more: what is longer is told from what just fits
  bool started_ = false, silent_ = false, twice_told_ = false, waiting_told_ = false;

  std::uint64_t in_ = 0, out_ = 0, bytes_in_ = 0, bytes_out_ = 0, strangers_ = 0, unsent_ = 0;
  std::uint64_t parcels_in_ = 0, parcels_out_ = 0, parcel_bytes_in_ = 0, parcel_bytes_out_ = 0;
  std::uint64_t requests_before_ = 0;
  Time facts_at_ = 0;
  double traffic_ = 0;
  ZoneWatch zones_;
  std::function<void(Number, std::string_view)> take_;
};

}  // namespace client_proxy::fleet_transport
