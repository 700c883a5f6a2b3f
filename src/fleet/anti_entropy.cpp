// Anti-entropy repairs what gossip has missed: members compare digests over blocks of their views and
// exchange the blocks that differ.
#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "fleet/fleet.h"
#include "fleet/shuffle.h"

namespace client_proxy::fleet {
namespace {

constexpr Time kCompareAfter = 400 * kMillisecond;        // without a member that reports the same view
constexpr Time kCompareInterval = 300 * kMillisecond;     // standings
constexpr Time kCompareRecordsSoon = 500 * kMillisecond;  // after records were found to differ
constexpr std::size_t kMaxBlocksPerReply = 8;             // sent in reply to one digest
constexpr std::size_t kMaxDigestHashes = 50;              // hashes in one digest
constexpr std::size_t kMaxHeldPerDatagram = 12;           // versions that fit a datagram
constexpr std::size_t kRecordOverhead = 17;               // bytes of a record beside its facts

}  // namespace

// Standings are compared only after no member has reported the same view for some time: until then gossip is
// expected to make the views equal.
void Fleet::compareStandings(Time now, std::size_t slot, std::uint32_t their_view, Out& out) {
  if (their_view == roster_.hash() || now - agreed_at_ <= kCompareAfter || now < compare_standings_at_)
    return;
  if (!maySpend(2 * kMostDatagram) || leaving_) return;
  compare_standings_at_ = now + kCompareInterval;
  sendDigest(now, slot, Digest::Of::Standings, out);
}

// Compares records with one random member, even if no difference is known.
void Fleet::compareRecords(Time now, Out& out) {
  compare_records_at_ = now + kCompareRecordsInterval;
  if (!maySpend()) return;
  for (const std::size_t to : pick(1, self_)) sendDigest(now, to, Digest::Of::Records, out);
}

void Fleet::sendDigest(Time now, std::size_t slot, Digest::Of of, Out& out) {
  const std::uint16_t blocks = roster_.blocks();
  Digest digest;
  digest.of = of;
  // One of a fixed set of windows at random: with windows that start at any block, the blocks at both ends
  // would hardly ever be compared.
  const auto parts = static_cast<std::uint32_t>((blocks + kMaxDigestHashes - 1) / kMaxDigestHashes);
  digest.first = static_cast<std::uint16_t>(random_.below(std::max(1U, parts)) * kMaxDigestHashes);
  for (std::uint16_t b = digest.first; b < blocks && digest.hashes.size() < kMaxDigestHashes; ++b)
    digest.hashes.push_back(of == Digest::Of::Standings ? roster_.standingsHash(b) : roster_.recordsHash(b));
  send(now, slot, Kind::Gossip, 0, {digest}, out);
}

void Fleet::answerDigest(Time now, std::size_t slot, const Digest& digest, Out& out) {
  const bool records = digest.of == Digest::Of::Records;
  std::vector<std::uint16_t> differing;
  for (std::size_t i = 0; i < digest.hashes.size(); ++i) {
    const auto block = static_cast<std::uint16_t>(digest.first + i);
    const std::uint32_t ours = records ? roster_.recordsHash(block) : roster_.standingsHash(block);
    if (ours != digest.hashes[i]) differing.push_back(block);
  }
  if (records && !differing.empty())
    compare_records_at_ = std::min(compare_records_at_, now + kCompareRecordsSoon);
  shuffle(differing, random_);
  const std::size_t answered = std::min(differing.size(), records ? 1 : kMaxBlocksPerReply);
  for (std::size_t i = 0; i < answered && maySpend(); ++i) {
    if (records)
      sendHeldVersions(now, slot, differing[i], out);
    else
      sendBlock(now, slot, differing[i], out);
  }
}

void Fleet::sendBlock(Time now, std::size_t slot, std::uint16_t block, Out& out) {
  std::vector<Item> items = {Block{block, true}};
  for (const Member& m : roster_.membersOf(block)) {
    if (m.standing.state != State::Unknown) items.emplace_back(rumourOf(m));
  }
  send(now, slot, Kind::Gossip, 0, items, out);
}

// Sends the versions of this member's records of a block, in as many datagrams as needed.
void Fleet::sendHeldVersions(Time now, std::size_t slot, std::uint16_t block, Out& out) {
  std::vector<Item> items;
  for (const Member& m : roster_.membersOf(block)) {
    items.emplace_back(Held{m.listed.number, m.version, true});
    if (items.size() < kMaxHeldPerDatagram) continue;
    send(now, slot, Kind::Gossip, 0, items, out);
    items.clear();
  }
  if (!items.empty()) send(now, slot, Kind::Gossip, 0, items, out);
}

// The block's rumours have been applied already; sends back the standings that are newer here.
void Fleet::answerBlock(Time now, std::size_t slot, const Block& block, const Message& message, Out& out) {
  if (!block.reply_requested) return;
  std::map<Number, Standing> theirs;
  for (const Item& item : message.items) {
    if (const auto* const rumour = std::get_if<Rumour>(&item)) theirs[rumour->member] = rumour->standing;
  }
  std::vector<Item> items = {Block{block.block, false}};
  for (const Member& m : roster_.membersOf(block.block)) {
    if (m.standing > theirs[m.listed.number]) items.emplace_back(rumourOf(m));
  }
  if (items.size() > 1 && maySpend()) send(now, slot, Kind::Gossip, 0, items, out);
}

// Sends the records that are newer here, and requests those that are newer at the sender.
void Fleet::answerHeldVersions(Time now, std::size_t slot, const Message& message, Out& out) {
  std::vector<Item> records, requests;
  for (const Item& item : message.items) {
    const auto* const held = std::get_if<Held>(&item);
    const auto of = held != nullptr ? roster_.find(held->member) : std::nullopt;
    if (!of) continue;
    const Member& m = roster_.at(*of);
    if (m.version > held->version && held->reply_requested)
      records.emplace_back(Record{held->member, m.version, false, m.facts});
    if (m.version < held->version && *of != self_) requests.emplace_back(Held{held->member, m.version, true});
  }
  if (!requests.empty() && maySpend()) send(now, slot, Kind::Gossip, 0, requests, out);
  sendRecords(now, slot, std::move(records), out);
}

// Packs as many records into each datagram as fit, and sends as many datagrams as the budget allows.
void Fleet::sendRecords(Time now, std::size_t slot, std::vector<Item> records, Out& out) {
  while (!records.empty() && maySpend()) {
    std::vector<Item> fitting;
    std::size_t bytes = kHeader;
    while (!records.empty()) {
      bytes += kRecordOverhead + std::get<Record>(records.back()).facts.size();
      if (bytes > kMostDatagram) break;
      fitting.push_back(std::move(records.back()));
      records.pop_back();
    }
    send(now, slot, Kind::Gossip, 0, fitting, out);
  }
}

}  // namespace client_proxy::fleet
