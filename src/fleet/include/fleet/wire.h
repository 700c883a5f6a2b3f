// Wire format of a datagram between members: a header, then items of tag, length and value. No I/O, no clock.
//
// The header, little-endian, sizes in bytes: magic 2, version 1, newest version that the sender reads 1,
// checksum 4 (XXH3 of all other bytes, with the fleet's seed), kind 1, reserved 1, from 2, to 2, sender's
// incarnation 8, sequence 4, hash of the sender's view 4. Items with an unknown tag are skipped, so that
// later programs can add items without a new version.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/types.h"

namespace client_proxy::fleet {

constexpr std::size_t kMostDatagram = 256;  // bytes, including the header
constexpr std::size_t kHeader = 30;         // bytes
constexpr std::uint8_t kOldestVersion = 1, kNewestVersion = 1;

enum class Kind : std::uint8_t {
  Ping = 1,      // direct or relayed probe
  Ack,           // reply to a ping, with its sequence
  IndirectPing,  // asks the receiver to ping the subject on the sender's behalf
  IndirectAck,   // reply to IndirectPing: the subject has replied
  Nack,          // reply to IndirectPing: the subject has not replied in time
  Gossip,        // carries items only
};

// `from` and `to` are member numbers, `view` is the hash of the sender's view (Roster::hash()).
struct Header {
  Kind kind = Kind::Gossip;
  Number from = 0, to = 0;
  Incarnation incarnation = 0;
  std::uint32_t sequence = 0, view = 0;
  std::uint8_t version = kOldestVersion, newest = kNewestVersion;
};

// Items of a datagram.

// The member that an IndirectPing, IndirectAck or Nack is about.
struct Subject {
  Number member = 0;
};
// A member's standing.
struct Rumour {
  Number member = 0;
  Standing standing{};
  Number by = 0;  // of a Suspect: the member that accuses it
};
// A member's facts, as published by it.
struct Record {
  Number member = 0;
  RecordVersion version{};
  bool urgent = false;  // gossiped as fast as rumours
  std::string facts{};
};
// One hash for each block of members, from block `first` on.
struct Digest {
  enum class Of : std::uint8_t { Standings, Records };
  std::uint16_t first = 0;
  Of of = Of::Standings;
  std::vector<std::uint32_t> hashes{};
};
// Marks a datagram whose rumours are all that the sender knows of a block.
struct Block {
  std::uint16_t block = 0;
  bool reply_requested = false;  // the receiver sends back standings that are newer there
};
// The version of a member's record that the sender holds.
struct Held {
  Number member = 0;
  RecordVersion version{};
  bool reply_requested = false;  // the receiver sends its record if it is newer
};
// Another package's message, not interpreted here.
struct ApplicationPayload {
  std::string bytes{};
};
using Item = std::variant<Subject, Rumour, Record, Digest, Block, Held, ApplicationPayload>;
// Bytes: what a datagram leaves after its header and the item's tag and length.
constexpr std::size_t kMaxApplicationPayload = kMostDatagram - kHeader - 2;

struct Message {
  Header header;
  std::vector<Item> items;
};

// Why a datagram was rejected. Foreign: its magic number is not this protocol's. Version: not supported here.
enum class Fault : std::uint8_t { None, Short, Long, Foreign, Version, Checksum, Malformed };

// Encodes one datagram.
class Writer {
 public:
  // `fleet` seeds the checksum (fleetSeed()), so that datagrams of another fleet are rejected.
  Writer(const Header& header, std::uint64_t fleet);
  // Returns false, and adds nothing, if the item does not fit.
  bool add(const Item& item);
  // Bytes left.
  std::size_t room() const { return kMostDatagram - bytes_.size(); }
  // Returns the datagram with its checksum. The writer must not be used afterwards.
  std::string finish();

 private:
  std::string bytes_;
  std::uint64_t fleet_;
  std::size_t rumours_begin_ = 0;  // offset of the item that consecutive rumours are appended to; 0: none
};

struct Decoded {
  Fault fault = Fault::None;
  Message message{};
};
// Parses a datagram; `newest` is the newest supported version. On a fault the message is incomplete.
Decoded decode(std::string_view datagram, std::uint64_t fleet, std::uint8_t newest = kNewestVersion);

// Returns the datagram with its checksum field recomputed.
std::string sealed(std::string datagram, std::uint64_t fleet);

// Checksum seed of the fleet with this name.
std::uint64_t fleetSeed(std::string_view name);
// Hash of one member's standing or record version; 0 if nothing is known. Hashes of views and blocks are the
// XOR of their members' hashes, so that one change is one update.
std::uint64_t hashOf(Number member, const Standing& standing);
std::uint64_t hashOf(Number member, const RecordVersion& version);

}  // namespace client_proxy::fleet
