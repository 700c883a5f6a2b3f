// What members say to one another of deeds: one message in one parcel of the fleet's datagrams. No I/O, no
// clock.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "leases/types.h"

namespace quinceline::leases {

enum class Kind : std::uint8_t {
  Hello = 1,  // who has just started asks what others know
  Known,      // all that a member knows, in parts; the answer to a Hello
  Renew,  // a keeper asks for its site's promises anew: all of them, told by a digest; or those in the list
  Claim,  // a keeper asks for a promise of a new deed, or tells one to who lacks it
  Vow,    // the answer to a Renew or a Claim
  Ask,    // a proxy asks a keeper what may be sent
  Told,   // the answer, in parts
};

struct Entry {
  ServiceId service = 0;
  Deed deed;
  // Of a Vow: whether it is promised; else `deed` is what this member knows instead. Of a Renew or Claim: it
  // comes from a memory that nobody has confirmed in this process's life. Of a Told: it may be sent.
  bool yes = false;
  bool unknown = false;     // of a Vow: this member has heard of no such deed
  std::uint16_t first = 0;  // milliseconds. Of a Told: for how long; of a Vow: until who is bound is free
  // Of a Told: until the first may be sent. Of a Vow that is none: not 0 if what it says instead is a memory
  // that nobody has confirmed.
  std::uint16_t second = 0;
};

struct Message {
  Kind kind = Kind::Hello;
  std::uint32_t round = 0;         // the asker's, in the answer too
  std::uint32_t installation = 0;  // whose memory the sender has; 0: it has none
  std::uint32_t file = 0;          // as Rules::file
  std::uint32_t digest = 0;  // of a Renew without list: of the deeds; of a Known or Told: how many there are
  SiteId site = kNowhere;    // the sender's
  bool informed = false;     // the sender knows what a majority has promised, or remembers its own part
  std::vector<Entry> entries;
};
constexpr std::size_t kMostEntries = 12;  // in one parcel

std::string encode(const Message& message);
// Nothing: malformed.
std::optional<Message> decode(std::string_view bytes);
// In parcels of at most kMostEntries; one at least.
std::vector<Message> inParts(const Message& message);

// Of deeds in any order.
std::uint32_t digestOf(const std::vector<Kept>& deeds);

}  // namespace quinceline::leases
