// What this member may send, and where: asked at the moment of sending. No I/O, no clock.
#pragma once

#include <deque>
#include <map>
#include <string_view>

#include "leases/wire.h"

namespace quinceline::leases {

// Why not. All are refusals before anything ran.
enum class Bar : std::uint8_t {
  None,
  Unheard,   // nobody has told yet who owns it
  Unproven,  // the owner's lease is over, as far as is known here
  Owed,      // what the owner before it sent may still be under way
  Unserved,  // no such service
};
constexpr std::string_view nameOf(Bar b) {
  constexpr std::string_view kNames[] = {"may-be-sent", "no-owner-heard", "lease-over", "owed", "no-service"};
  return kNames[static_cast<std::size_t>(b)];
}

struct Permit {
  Bar bar = Bar::Unheard;
  SiteId site = kNowhere;
  Term term = 0;
  Time wait = 0;  // of Owed: how long yet
  bool ok() const { return bar == Bar::None; }
};

class Permits {
 public:
  explicit Permits(const Rules& rules) : rules_(rules) {}

  std::uint32_t begin(Time now);  // a round of questions
  // An answer to it: counted from when it was asked.
  void told(Time now, std::uint32_t round, const Entry& entry);
  // From this member's own holding.
  void held(ServiceId service, const Deed& deed, Time until, Time ready_at);
  // Something is known that this contradicts.
  void bar(ServiceId service) { known_.erase(service); }
  void clear() { known_.clear(); }

  Permit at(ServiceId service, Time now) const;
  // For whom speaks for the site from now on: when what was owed will be over. kNever: not known.
  Time readyAt(ServiceId service, const Deed& deed) const;

 private:
  struct Known {
    Deed deed;
    Time until = fleet::kLongAgo, ready_at = fleet::kNever;
  };
  void take(ServiceId service, const Known& known);

  const Rules& rules_;
  std::map<ServiceId, Known> known_;
  struct Round {
    std::uint32_t number;
    Time asked;
  };
  std::deque<Round> rounds_;
  std::uint32_t last_ = 0;
};

}  // namespace quinceline::leases
