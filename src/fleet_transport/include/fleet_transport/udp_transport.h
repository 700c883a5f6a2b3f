// Runs the membership protocol of src/fleet on a UDP socket: owns the state machine, its timers, and the
// operators' page and metrics. Protocol decisions are made in src/fleet.
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

  // See makeMembershipService().
  UdpTransport(boost::asio::io_context& io, const Clock& clock, Log& log, FleetSettings settings,
               LocalNode& local);
  ~UdpTransport() override;

  void start(const std::string& previous_state) override;
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
    on_message_ = std::move(take);
  }
  std::vector<Member> members() const override;
  std::vector<std::string> lostZones() const override { return zone_watch_.lostZones(); }
  std::string figures() const override;
  std::string zones() const override { return zone_watch_.page(clock_.now()); }
  fleet::View view() const { return fleet_->view(clock_.now()); }

 private:
  using Output = fleet::Out;
  static std::vector<fleet::Listed> listed(const std::vector<FleetPeer>& members);
  void setAddresses(const std::vector<FleetPeer>& members);
  void open();
  void retryOpen(const std::string& why);
  void awaitDatagrams();
  void readPending();
  void onDatagram(std::size_t size);
  void apply(const Output& out);
  void armTimer();
  void refreshFacts();
  void publishFacts(bool urgent);
  void evaluateZones();

  boost::asio::io_context& io_;
  const Clock& clock_;
  Log& log_;
  const FleetSettings settings_;
  LocalNode& local_;
  std::optional<fleet::Fleet> fleet_;
  std::map<Endpoint, fleet::Number> numbers_;
  std::map<fleet::Number, Endpoint> addresses_;

  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer protocol_timer_, facts_timer_, reopen_timer_, zones_timer_;
  Time armed_for_ = kNever;
  Endpoint sender_;
  std::array<char, fleet::kMostDatagram + 1>
      buffer_{};  // one more byte, to detect datagrams that are too long
  bool started_ = false, silent_ = false, duplicate_logged_ = false, retry_logged_ = false;

  std::uint64_t datagrams_in_ = 0, datagrams_out_ = 0, bytes_in_ = 0, bytes_out_ = 0, unknown_senders_ = 0,
                datagrams_unsent_ = 0;
  std::uint64_t messages_in_ = 0, messages_out_ = 0, message_bytes_in_ = 0, message_bytes_out_ = 0;
  std::uint64_t last_admitted_ = 0;
  Time traffic_measured_at_ = 0;
  double traffic_ = 0;
  ZoneWatch zone_watch_;
  std::function<void(Number, std::string_view)> on_message_;
};

}  // namespace client_proxy::fleet_transport
