// Coordinates a change preview over the fleet. Each member replays a sample of the requests that it has
// served against its pending operator file; the member that an operator started the preview on collects the
// totals of all members and assesses them.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "change_preview/change_preview.h"
#include "leases/types.h"
#include "net/service_gate.h"
#include "ownership/services.h"
#include "traffic_sample/traffic_sample.h"

namespace client_proxy::ownership {

// Encodes totals and splits the result into pieces of at most `max_bytes`, so that each fits into one
// message.
std::vector<std::string> encodeToPieces(const change_preview::PreviewTotals& totals, std::size_t max_bytes);
// std::nullopt if the pieces don't form one valid encoding.
std::optional<change_preview::PreviewTotals> decodeTotals(const std::vector<std::string>& pieces);

class ChangePreviewCoordinator {
 public:
  using Number = std::uint16_t;
  struct Environment {  // what the coordinator needs from its process
    std::function<leases::Grant(leases::ServiceId)> known_grant;
    std::function<std::string(leases::SiteId)> zone_of;
    std::function<ServiceSettings()> load_pending;  // throws std::exception if the pending file is invalid
    std::function<std::vector<Number>()> live_members;
    std::function<std::map<std::string, double>()> zone_capacity;  // seconds of hosts' time a second, by zone
    std::function<void(Number, std::string)> send;
  };
  // `current`: the services of the current operator file, `settings`: the same as configured. Both must
  // outlive the coordinator.
  ChangePreviewCoordinator(const Services& current, const std::vector<ServiceSetting>& settings, Number self,
                           Environment environment);

  // Whether an application message belongs to previews; messages of src/leases have a nonzero low nibble.
  static bool isPreviewMessage(std::string_view message) {
    return !message.empty() && (message.front() & 0x0F) == 0;
  }
  // Adds a completed request to the sample.
  void note(const ServiceGate::CompletedRequest& request, Time now);
  // Starts a preview on all live members. Returns the reason if the pending file can't be used, or
  // std::nullopt if the preview has started.
  std::optional<std::string> begin(Time now);
  void receive(Time now, Number from, std::string_view message);
  void onTime(Time now);  // to be called several times a second
  // Whether all live members have replied, or the time to wait for them is over.
  bool done(Time now) const;
  std::string page(Time now) const;  // JSON: docs/rehearsal.md

 private:
  struct Pending {
    std::uint32_t hash = 0;  // never 0, which stands for an invalid file
    std::vector<ServiceSetting> settings;
    Services services;
  };
  struct InvalidPending {
    std::string reason;
  };
  std::variant<Pending, InvalidPending> readPending() const;
  change_preview::PreviewTotals replay(const Pending& pending, Time now) const;
  change_preview::PreviewInputs inputs() const;
  void requestTotals(Number to);

  const Services& current_;
  const std::vector<ServiceSetting>& settings_;
  const Number self_;
  const Environment environment_;
  traffic_sample::NameTable names_;
  traffic_sample::TrafficSample sample_;

  struct Reply {
    std::uint32_t pending = 0;                   // hash of the member's pending file; 0: none or invalid
    std::map<std::uint8_t, std::string> pieces;  // by index
    std::size_t piece_count = 0;
    std::optional<change_preview::PreviewTotals> totals;  // once all pieces have arrived
  };
  std::uint32_t round_ = 0, pending_ = 0;  // round 0: no preview yet; hash of the pending file
  Time started_at_ = 0, last_request_at_ = 0;
  std::map<Number, Reply> replies_;
  change_preview::PreviewInputs inputs_;
};

}  // namespace client_proxy::ownership
