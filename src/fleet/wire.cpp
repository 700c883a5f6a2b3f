#include "fleet/wire.h"

#include <xxhash.h>

#include <array>
#include <utility>

#include "fleet/bytes.h"

namespace client_proxy::fleet {
namespace {

constexpr std::uint16_t kMagic = 0xB17D;
constexpr std::size_t kChecked = 8;  // offset of the bytes covered by the checksum

// Tags of items.
constexpr std::uint8_t kSubject = 1, kRumours = 2, kRecord = 3, kDigest = 4, kBlock = 5, kHeld = 6,
                       kCarried = 7;

// An incarnation's highest bits are zero for all times of this century; in a rumour they hold the state.
constexpr unsigned kStateShift = 61;

// Covers all bytes but the checksum itself: the four bytes before it are mixed into the seed.
std::uint32_t checksumOf(std::string_view datagram, std::uint64_t fleet) {
  const std::uint64_t seed = fleet ^ static_cast<std::uint64_t>(Reader(datagram).get<std::uint32_t>()) << 32;
  const std::string_view rest = datagram.substr(kChecked);
  return static_cast<std::uint32_t>(XXH3_64bits_withSeed(rest.data(), rest.size(), seed));
}

// Appends an item's value to `out` and returns its tag.
struct Encoder {
  std::string& out;
  std::uint8_t operator()(const Subject& s) const {
    put(out, s.member);
    return kSubject;
  }
  std::uint8_t operator()(const Rumour& r) const {
    put(out, r.member);
    put(out, r.standing.incarnation | static_cast<Incarnation>(r.standing.state) << kStateShift);
    if (r.standing.state == State::Suspect) put(out, r.by);
    return kRumours;
  }
  std::uint8_t operator()(const Record& r) const {
    put(out, r.member);
    put(out, r.version.incarnation);
    put(out, r.version.sequence);
    put(out, static_cast<std::uint8_t>(r.urgent));
    out += r.facts;
    return kRecord;
  }
  std::uint8_t operator()(const Digest& d) const {
    put(out, d.first);
    put(out, static_cast<std::uint8_t>(d.of));
    for (const std::uint32_t hash : d.hashes) put(out, hash);
    return kDigest;
  }
  std::uint8_t operator()(const Block& b) const {
    put(out, b.block);
    put(out, static_cast<std::uint8_t>(b.reply_requested));
    return kBlock;
  }
  std::uint8_t operator()(const ApplicationPayload& c) const {
    out += c.bytes;
    return kCarried;
  }
  std::uint8_t operator()(const Held& h) const {
    put(out, h.member);
    put(out, h.version.incarnation);
    put(out, h.version.sequence);
    put(out, static_cast<std::uint8_t>(h.reply_requested));
    return kHeld;
  }
};

// Each function decodes the items of one tag, and returns false if they are malformed.
bool readRumours(Reader& in, std::vector<Item>& items) {
  while (in.left() > 0) {
    Rumour rumour;
    rumour.member = in.get<Number>();
    const auto packed = in.get<Incarnation>();
    const Incarnation state = packed >> kStateShift;
    if (state < static_cast<Incarnation>(State::Alive) || state > static_cast<Incarnation>(State::Left))
      return false;
    rumour.standing = {packed & ~(~Incarnation{0} << kStateShift), static_cast<State>(state)};
    if (rumour.standing.state == State::Suspect) rumour.by = in.get<Number>();
    if (!in.ok()) return false;
    items.emplace_back(rumour);
  }
  return true;
}

bool readRecord(Reader& in, std::vector<Item>& items) {
  Record record;
  record.member = in.get<Number>();
  record.version.incarnation = in.get<Incarnation>();
  record.version.sequence = in.get<std::uint32_t>();
  record.urgent = in.get<std::uint8_t>() != 0;
  record.facts = in.take(in.left());
  items.emplace_back(std::move(record));
  return true;
}

bool readDigest(Reader& in, std::vector<Item>& items) {
  Digest digest;
  digest.first = in.get<std::uint16_t>();
  const auto of = in.get<std::uint8_t>();
  if (of > static_cast<std::uint8_t>(Digest::Of::Records)) return false;
  digest.of = static_cast<Digest::Of>(of);
  while (in.left() > 0) digest.hashes.push_back(in.get<std::uint32_t>());
  items.emplace_back(std::move(digest));
  return true;
}

bool readBlock(Reader& in, std::vector<Item>& items) {
  const auto block = in.get<std::uint16_t>();
  items.emplace_back(Block{block, in.get<std::uint8_t>() != 0});
  return true;
}

bool readHeld(Reader& in, std::vector<Item>& items) {
  Held held;
  held.member = in.get<Number>();
  held.version.incarnation = in.get<Incarnation>();
  held.version.sequence = in.get<std::uint32_t>();
  held.reply_requested = in.get<std::uint8_t>() != 0;
  items.emplace_back(held);
  return true;
}

bool readItem(std::uint8_t tag, std::string_view value, std::vector<Item>& items) {
  Reader in(value);
  bool valid = true;
  switch (tag) {
    case kSubject:
      items.emplace_back(Subject{in.get<Number>()});
      break;
    case kRumours:
      valid = readRumours(in, items);
      break;
    case kRecord:
      valid = readRecord(in, items);
      break;
    case kDigest:
      valid = readDigest(in, items);
      break;
    case kBlock:
      valid = readBlock(in, items);
      break;
    case kHeld:
      valid = readHeld(in, items);
      break;
    case kCarried:
      items.emplace_back(ApplicationPayload{std::string(in.take(in.left()))});
      break;
    default:
      return true;  // unknown tag, written by a later version
  }
  return valid && in.ok();
}

template <typename... Parts>
std::uint64_t hashOfAll(const Parts&... parts) {
  std::string bytes;
  (put(bytes, parts), ...);
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace

Writer::Writer(const Header& h, std::uint64_t fleet) : fleet_(fleet) {
  bytes_.reserve(kMostDatagram);
  put(bytes_, kMagic);
  put(bytes_, h.version);
  put(bytes_, h.newest);
  put(bytes_, std::uint32_t{0});
  put(bytes_, static_cast<std::uint8_t>(h.kind));
  put(bytes_, std::uint8_t{0});
  put(bytes_, h.from);
  put(bytes_, h.to);
  put(bytes_, h.incarnation);
  put(bytes_, h.sequence);
  put(bytes_, h.view);
}

bool Writer::add(const Item& item) {
  const std::size_t before = bytes_.size();
  const bool joins_rumours = rumours_begin_ != 0 && std::holds_alternative<Rumour>(item);
  const std::size_t begin = joins_rumours ? rumours_begin_ : before;
  if (!joins_rumours) bytes_.append(2, '\0');
  const std::uint8_t tag = std::visit(Encoder{bytes_}, item);
  if (bytes_.size() > kMostDatagram) {
    bytes_.resize(before);
    return false;
  }
  bytes_[begin] = static_cast<char>(tag);
  bytes_[begin + 1] = static_cast<char>(static_cast<std::uint8_t>(bytes_.size() - begin - 2));
  rumours_begin_ = std::holds_alternative<Rumour>(item) ? begin : 0;
  return true;
}

std::string Writer::finish() { return sealed(std::move(bytes_), fleet_); }

std::string sealed(std::string datagram, std::uint64_t fleet) {
  std::string sum;
  put(sum, checksumOf(datagram, fleet));
  datagram.replace(4, 4, sum);
  return datagram;
}

Decoded decode(std::string_view datagram, std::uint64_t fleet, std::uint8_t newest) {
  if (datagram.size() < kHeader) return {Fault::Short};
  if (datagram.size() > kMostDatagram) return {Fault::Long};
  Reader in(datagram);
  if (in.get<std::uint16_t>() != kMagic) return {Fault::Foreign};
  Decoded out;
  Header& h = out.message.header;
  h.version = in.get<std::uint8_t>();
  if (h.version < kOldestVersion || h.version > newest) return {Fault::Version};
  h.newest = in.get<std::uint8_t>();
  if (in.get<std::uint32_t>() != checksumOf(datagram, fleet)) return {Fault::Checksum};
  const auto kind = in.get<std::uint8_t>();
  in.get<std::uint8_t>();
  if (kind < static_cast<std::uint8_t>(Kind::Ping) || kind > static_cast<std::uint8_t>(Kind::Gossip))
    return {Fault::Malformed};
  h.kind = static_cast<Kind>(kind);
  h.from = in.get<Number>();
  h.to = in.get<Number>();
  h.incarnation = in.get<Incarnation>();
  if (h.incarnation > kMaxIncarnation) return {Fault::Malformed};
  h.sequence = in.get<std::uint32_t>();
  h.view = in.get<std::uint32_t>();
  while (in.left() > 0) {
    const auto tag = in.get<std::uint8_t>();
    const std::string_view value = in.take(in.get<std::uint8_t>());
    if (!in.ok() || !readItem(tag, value, out.message.items)) return {Fault::Malformed};
  }
  return out;
}

std::uint64_t fleetSeed(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

std::uint64_t hashOf(Number member, const Standing& s) {
  // A suspect counts as alive: suspicions come and go faster than views are compared.
  if (s.state == State::Unknown) return 0;
  const State state = s.state == State::Suspect ? State::Alive : s.state;
  return hashOfAll(member, s.incarnation, static_cast<std::uint8_t>(state));
}

std::uint64_t hashOf(Number member, const RecordVersion& v) {
  return v.incarnation == 0 ? 0 : hashOfAll(member, v.incarnation, v.sequence);
}

}  // namespace client_proxy::fleet
