// A rehearsal over the fleet: what this member has served, tried on the pending file; and, where it was asked
// for, the others' sums gathered and judged.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "leases/types.h"
#include "net/service_gate.h"
#include "ownership/services.h"
#include "record/record.h"
#include "rehearsal/rehearsal.h"

namespace client_proxy::ownership {

// In pieces that fit a parcel; whatever is lost of them is asked for again.
std::vector<std::string> piecesOf(const rehearsal::Tally& tally, std::size_t most);
std::optional<rehearsal::Tally> tallyOf(const std::vector<std::string>& pieces);

class Rehearsing {
 public:
  using Number = std::uint16_t;
  struct World {
    std::function<leases::Grant(leases::ServiceId)> known;
    std::function<std::string(leases::SiteId)> zone_of;
    std::function<ServiceSettings()> pending;  // throws std::exception: it can't be read
    std::function<std::vector<Number>()> live;
    std::function<std::map<std::string, double>()> rooms;
    std::function<void(Number, std::string)> send;
  };
  // `now` must outlive it.
  Rehearsing(const Services& now, const std::vector<ServiceSetting>& settings, Number self, World world);

  static bool isMine(std::string_view parcel) { return !parcel.empty() && (parcel.front() & 0x0F) == 0; }
  void note(const ServiceGate::Ended& request, Time now);
  // Asks all live members. What is wrong with the pending file; empty: it has begun.
  std::string begin(Time now);
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
  std::optional<Pending> readPending(std::string& fault) const;
  rehearsal::Tally replay(const Pending& pending, Time now) const;
  rehearsal::Grounds grounds() const;
  void ask(Number to);

  const Services& now_;
  const std::vector<ServiceSetting>& settings_;
  const Number self_;
  const World world_;
  record::Names names_;
  record::Record record_;

  struct Heard {
    std::uint32_t pending = 0;
    std::map<std::uint8_t, std::string> pieces;
    std::size_t of = 0;
    std::optional<rehearsal::Tally> tally;
  };
  std::uint32_t round_ = 0, pending_ = 0;
  Time began_ = 0, asked_ = 0;
  std::map<Number, Heard> heard_;
  rehearsal::Grounds grounds_;
};

}  // namespace client_proxy::ownership
