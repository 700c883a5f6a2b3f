// One datagram between members: a header, then items of a tag, a length and a value. No I/O, no clock.
//
// Bytes, least significant first: magic 2, version 1, the newest version that the sender reads 1, checksum 4
// (of all else, XXH3 with the fleet's seed), kind 1, spare 1, from 2, to 2, the sender's incarnation
// 8, sequence 4, hash of its view 4. An item of an unknown tag is passed over, so that a later program can
// say more without another version.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fleet/types.h"

namespace client_proxy::fleet {

constexpr std::size_t kMostDatagram = 256;  // by the protocol
constexpr std::size_t kHeader = 30;
constexpr std::uint8_t kOldestVersion = 1, kNewestVersion = 1;

enum class Kind : std::uint8_t {
  Ping = 1,      // are you there?
  Ack,           // yes; to a ping's sequence
  IndirectPing,  // ask the subject for me
  IndirectAck,   // the subject answers
  Nack,          // it does not answer me either
  Gossip,        // news and nothing else
};

struct Header {
  Kind kind = Kind::Gossip;
  Number from = 0, to = 0;
  Incarnation incarnation = 0;
  std::uint32_t sequence = 0, view = 0;
  std::uint8_t version = kOldestVersion, newest = kNewestVersion;
};

// Items.
struct Subject {  // of IndirectPing, IndirectAck, Nack
  Number member = 0;
};
struct Rumour {
  Number member = 0;
  Standing standing{};
  Number by = 0;  // of a Suspect: who accuses it
};
struct Record {
  Number member = 0;
  RecordVersion version{};
  bool urgent = false;  // to be passed on as fast as rumours
  std::string facts{};
};
struct Digest {  // a hash for each block from `first` on
  enum class Of : std::uint8_t { Standings, Records };
  std::uint16_t first = 0;
  Of of = Of::Standings;
  std::vector<std::uint32_t> hashes{};
};
struct Block {  // the rumours of this datagram are all that the sender knows of a block
  std::uint16_t block = 0;
  bool reply_requested = false;  // what the other knows better
};
struct Held {  // the record of a member that the sender has
  Number member = 0;
  RecordVersion version{};
  bool reply_requested = false;  // the record itself, if the other has that one or a newer
};
struct ApplicationPayload {  // another part's words, kept as they came
  std::string bytes{};
};
using Item = std::variant<Subject, Rumour, Record, Digest, Block, Held, ApplicationPayload>;
constexpr std::size_t kMaxApplicationPayload = kMostDatagram - kHeader - 2;

struct Message {
  Header header;
  std::vector<Item> items;
};

// Why a datagram was not read.
enum class Fault : std::uint8_t { None, Short, Long, Foreign, Version, Checksum, Malformed };

class Writer {
 public:
  // `fleet`: seeds the checksum, so that another fleet's datagrams are not ours.
  Writer(const Header& header, std::uint64_t fleet);
  // False: it does not fit any more, and was not added.
  bool add(const Item& item);
  std::size_t room() const { return kMostDatagram - bytes_.size(); }
  // The datagram; nothing may be added after it.
  std::string finish();

 private:
  std::string bytes_;
  std::uint64_t fleet_;
  std::size_t rumours_begin_ = 0;  // where the item begins that further rumours join; 0: none
};

struct Decoded {
  Fault fault = Fault::None;
  Message message{};
};
// `newest`: the newest version that is read.
Decoded decode(std::string_view datagram, std::uint64_t fleet, std::uint8_t newest = kNewestVersion);

// The same datagram with the checksum that belongs to its bytes.
std::string sealed(std::string datagram, std::uint64_t fleet);

// A fleet's seed, by its name.
std::uint64_t fleetSeed(std::string_view name);
// Of one member's standing or record, for hashes of views and blocks: these are the exclusive or of their
// members', so that one change costs one step.
std::uint64_t hashOf(Number member, const Standing& standing);
std::uint64_t hashOf(Number member, const RecordVersion& version);

}  // namespace client_proxy::fleet
