// Messages between members about grants and leases; one message in one payload of the fleet's datagrams. No
// I/O, no clock.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "leases/types.h"

namespace client_proxy::leases {

enum class Kind : std::uint8_t {
  SyncRequest = 1,  // a member that has just started asks what others know
  SyncReply,        // all grants that a member knows, in parts
  Renew,       // a site's leader asks voters to renew: all its grants by a digest, or those that are listed
  Claim,       // a site's leader asks for promises of a new grant, or tells one to a voter that lacks it
  Vote,        // the answer to Renew or Claim
  LeaseQuery,  // a proxy asks a site's leader which leases it holds
  LeaseReply,  // the answer, in parts
};

struct Entry {
  ServiceId service = 0;
  Grant grant;
  // Vote: granted; if not, `grant` is what the voter knows instead. Renew, Claim: comes from storage that
  // nobody has confirmed since this process started. LeaseReply: requests may be sent under it.
  bool yes = false;
  // Vote: the voter has heard of no such grant.
  bool unknown = false;
  // Milliseconds. LeaseReply: the lease lasts for so long. Vote: the voter's present promise does.
  std::uint16_t valid_ms = 0;
  // Milliseconds. LeaseReply: until the first request may be sent. Vote that refuses: not 0 if the voter is
  // not synchronized, so that its `grant` is no evidence.
  std::uint16_t wait_ms = 0;
};

// What a Vote says in Message::digest.
enum class VoteForm : std::uint32_t {
  SetDiffers = 0,  // the voter's promises to this site are not those of the digest: list them
  WholeSet = 1,    // all of them are renewed
  Listed = 2,      // see the entries
};

struct Message {
  Kind kind = Kind::SyncRequest;
  std::uint32_t round = 0;         // the asker's, repeated in the answer
  std::uint32_t installation = 0;  // identifies the sender's storage; 0: it has none
  std::uint32_t config_hash = 0;   // Settings::config_hash
  // Renew without a list: of the grants. SyncReply, LeaseReply: how many entries there are in all. Vote: a
  // VoteForm.
  std::uint32_t digest = 0;
  SiteId site = kNoSite;      // the sender's
  bool synchronized = false;  // the sender knows what a majority has promised, or has its own storage
  std::vector<Entry> entries;
};
constexpr std::size_t kMostEntries = 12;  // in one payload

std::string encode(const Message& message);
// Nothing if it is malformed.
std::optional<Message> decode(std::string_view bytes);
// In messages of at most kMostEntries entries; at least one.
std::vector<Message> inParts(const Message& message);

// The same for the same grants in any order.
std::uint32_t digestOf(const std::vector<StoredGrant>& grants);

}  // namespace client_proxy::leases
