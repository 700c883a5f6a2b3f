// What a member knows of its fleet at one moment, for those who decide by it.
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

// Why a view is not to be relied on: who would decide by it then does what needs no talk. The first that
// holds.
enum class Doubt : std::uint8_t {
  None,             // sure
  Starting,         // it has not been there for long enough to have heard of everyone
  Alone,            // others are listed, and none is live
  DuplicateNumber,  // another process holds this one's number
  Paused,           // this process stood still a moment ago: what it knows is old
  Minority,     // half or more of those that were live in the last minute are not: a part of a split looks so
  Degraded,     // its own probes fail too often: it may be the one that is cut off or slow
  ViewsDiffer,  // no other member has held the same view for some seconds
};
constexpr std::string_view nameOf(Doubt d) {
  constexpr std::string_view kNames[] = {"sure",   "starting", "alone",  "twice",
                                         "paused", "minority", "unwell", "differs"};
  return kNames[static_cast<std::size_t>(d)];
}

struct ViewedMember {
  Number number = 0;
  State state = State::Unknown;
  Incarnation incarnation = 0;
  Time since = 0;
  Time last_contact = kLongAgo;  // the last datagram of its own
  std::vector<Number> accusers;
  std::string zone, region;  // the list's word, else its record's
  Facts facts;
};

struct View {
  std::vector<ViewedMember> members;  // by number; this one is among them
  Number self = 0;
  std::size_t live = 0, suspects = 0, dead = 0, left = 0, unknown = 0;  // live: suspects too
  std::size_t rank = 0;    // of this one among the live ones, by number
  Time unchanged = 0;      // for so long nobody's liveness has changed
  std::uint32_t hash = 0;  // equal views have equal ones
  Doubt doubt = Doubt::Starting;
  bool sure() const { return doubt == Doubt::None; }
};

// A change of one member's liveness.
struct Change {
  Number member = 0;
  State was = State::Unknown, is = State::Unknown;
  Number by = 0;  // of a suspect: who accused it first
};

}  // namespace client_proxy::fleet
