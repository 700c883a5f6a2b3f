// Snapshot of what a member knows of its fleet, for packages whose decisions depend on it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/facts.h"
#include "fleet/roster.h"
#include "fleet/types.h"

namespace client_proxy::fleet {

// Why a view is not reliable; the first reason that applies. Callers then use behaviour that needs no
// coordination.
enum class Doubt : std::uint8_t {
  None,             // the view is reliable
  Starting,         // started too recently to know all members
  Alone,            // other members are listed, but none is live
  DuplicateNumber,  // another process uses this member's number
  Paused,           // this process was suspended recently: its state is out of date
  Minority,         // at least half of the members live in the last minute are not: likely a partition
  Degraded,         // too many of its own probes fail: it may itself be slow or cut off
  ViewsDiffer,      // no other member has reported the same view for some seconds
};
// Name on the operators' page.
constexpr std::string_view nameOf(Doubt d) {
  constexpr std::string_view kNames[] = {"sure",   "starting", "alone",  "twice",
                                         "paused", "minority", "unwell", "differs"};
  return kNames[static_cast<std::size_t>(d)];
}

// One member in a View.
struct ViewedMember {
  Number number = 0;
  State state = State::Unknown;
  Incarnation incarnation = 0;
  Time since = 0;
  Time last_contact = kLongAgo;  // when a datagram from it was last received
  std::vector<Number> accusers;
  std::string zone, region;  // from the list, else from its record
  Facts facts;
};

struct View {
  std::vector<ViewedMember> members;  // sorted by number, including this one
  Number self = 0;
  std::size_t live = 0, suspects = 0, dead = 0, left = 0, unknown = 0;  // live includes suspects
  std::size_t rank = 0;    // of this member among the live ones, by number
  Time unchanged = 0;      // time since any member's liveness last changed
  std::uint32_t hash = 0;  // equal for equal views, see Roster::hash()
  Doubt doubt = Doubt::Starting;
  bool sure() const { return doubt == Doubt::None; }
};

// A change of one member's liveness.
struct Change {
  Number member = 0;
  State was = State::Unknown, is = State::Unknown;
  Number by = 0;  // of a suspect: its first accuser
};

}  // namespace client_proxy::fleet
