// Encoding of the messages that members exchange about grants and leases. Each message is one application
// payload of a fleet datagram. No I/O, no clock.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "leases/types.h"

namespace client_proxy::leases {

enum class MessageKind : std::uint8_t {
  SyncRequest = 1,  // a member that has just started requests all grants known to others
  SyncReply,        // all grants known to the sender, in parts
  Renew,            // a site's leader requests renewal: of all its grants (by digest) or of the listed ones
  Claim,       // a site's leader requests promises of a new grant, or repeats it to a voter that lacks it
  Vote,        // the reply to Renew or Claim
  LeaseQuery,  // a proxy requests the leases held by a site's leader
  LeaseReply,  // those leases, in parts
};

// The part of a message that concerns one service.
struct Entry {
  ServiceId service = 0;
  Grant grant;
  // One bit on the wire, whose meaning depends on the message.
  // Vote: the request is granted; if not, `grant` is the newest grant known to the voter.
  // LeaseReply: requests may be sent under this grant.
  // Renew, Claim: the sender has the grant from its storage, and no quorum has confirmed it since the
  // sender's process started.
  bool granted = false;
  // Vote: the voter knows of no grant with a term as high as the requested one.
  bool unknown = false;
  // Remaining time. LeaseReply: of the lease. Vote: of the voter's current promise.
  std::uint16_t valid_ms = 0;
  // LeaseReply: time until the first request may be sent. Refusing Vote: nonzero if the voter is not
  // synchronized, in which case its `grant` must not be relied on.
  std::uint16_t wait_ms = 0;
};

// The value of Message::digest in a Vote.
enum class VoteForm : std::uint32_t {
  SetDiffers = 0,  // the digest does not match the voter's promises to this site: send the grants listed
  WholeSet = 1,    // all grants of the digest are renewed
  Listed = 2,      // the entries hold one vote for each grant
};

struct Message {
  MessageKind kind = MessageKind::SyncRequest;
  std::uint32_t round = 0;         // chosen by the requester and repeated in the reply
  std::uint32_t installation = 0;  // identifies the sender's storage; 0: it has none
  std::uint32_t config_hash = 0;   // the sender's Settings::config_hash
  // Renew without entries: digestOf() the grants. SyncReply, LeaseReply: number of entries in all parts.
  // Vote: a VoteForm.
  std::uint32_t digest = 0;
  SiteId site = kNoSite;      // the sender's
  bool synchronized = false;  // the sender has received the grants of a majority, or loaded grants from disk
  std::vector<Entry> entries;
};
constexpr std::size_t kMaxEntries = 12;  // that fit into one payload

std::string encode(const Message& message);
// std::nullopt if the message is malformed.
std::optional<Message> decode(std::string_view bytes);
// Splits the entries into messages of at most kMaxEntries each. Returns at least one message.
std::vector<Message> splitIntoParts(const Message& message);

// Hash of a set of grants, independent of their order.
std::uint32_t digestOf(const std::vector<StoredGrant>& grants);

}  // namespace client_proxy::leases
