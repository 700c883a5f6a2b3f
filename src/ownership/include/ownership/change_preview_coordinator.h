// A change preview over the fleet: replays what this member has served on the pending file; the member that
// was asked for the preview gathers the totals of all and assesses them.
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

// In pieces that fit a parcel; whatever is lost of them is asked for again.
std::vector<std::string> piecesOf(const change_preview::PreviewTotals& totals, std::size_t most);
std::optional<change_preview::PreviewTotals> totalsOf(const std::vector<std::string>& pieces);

class ChangePreviewCoordinator {
 public:
  using Number = std::uint16_t;
  struct Environment {
    std::function<leases::Grant(leases::ServiceId)> known;
    std::function<std::string(leases::SiteId)> zone_of;
    std::function<ServiceSettings()> pending;  // throws std::exception: it can't be read
    std::function<std::vector<Number>()> live;
    std::function<std::map<std::string, double>()> rooms;
    std::function<void(Number, std::string)> send;
  };
  // `now` must outlive it.
  ChangePreviewCoordinator(const Services& now, const std::vector<ServiceSetting>& settings, Number self,
                           Environment environment);

  static bool isMine(std::string_view parcel) { return !parcel.empty() && (parcel.front() & 0x0F) == 0; }
  void note(const ServiceGate::CompletedRequest& request, Time now);
  // Asks all live members. Returns what is wrong with the pending file; nothing: the preview has begun.
  std::optional<std::string> begin(Time now);
  void receive(Time now, Number from, std::string_view parcel);
  void onTime(Time now);  // some times a second
  // Whether all that are live have told, or will not.
  bool done(Time now) const;
  std::string page(Time now) const;  // JSON: docs/rehearsal.md

 private:
  struct Pending {
    std::uint32_t hash = 0;
    std::vector<ServiceSetting> settings;
    Services services;
  };
  struct InvalidPending {
    std::string reason;
  };
  std::variant<Pending, InvalidPending> readPending() const;
  change_preview::PreviewTotals replay(const Pending& pending, Time now) const;
  change_preview::PreviewInputs inputs() const;
  void ask(Number to);

  const Services& now_;
  const std::vector<ServiceSetting>& settings_;
  const Number self_;
  const Environment environment_;
  traffic_sample::NameTable names_;
  traffic_sample::TrafficSample record_;

  struct Heard {
    std::uint32_t pending = 0;
    std::map<std::uint8_t, std::string> pieces;
    std::size_t of = 0;
    std::optional<change_preview::PreviewTotals> totals;
  };
  std::uint32_t round_ = 0, pending_ = 0;
  Time began_ = 0, asked_ = 0;
  std::map<Number, Heard> heard_;
  change_preview::PreviewInputs inputs_;
};

}  // namespace client_proxy::ownership
