// Sending: gossip, piggybacked and in rounds, this member's own record, and other packages' payloads.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet.h"

namespace client_proxy::fleet {
namespace {

constexpr double kRepairReserve =
    4.0 * kMostDatagram;  // bytes of the budget that gossip leaves to anti-entropy

}  // namespace

double Fleet::budgetCapacity() const {
  return std::max(settings_.burst_bytes,
                  settings_.burst_bytes_per_member * static_cast<double>(roster_.size()));
}

// Slots of up to `count` random alive members, without this one and the one in slot `excluded`.
std::vector<std::size_t> Fleet::pick(std::size_t count, std::size_t excluded) {
  std::vector<std::size_t> live;
  for (std::size_t slot = 0; slot < roster_.size(); ++slot) {
    if (slot == self_ || slot == excluded) continue;
    if (roster_.at(slot).standing.state == State::Alive) live.push_back(slot);
  }
  const std::size_t picked = std::min(count, live.size());
  for (std::size_t i = 0; i < picked; ++i)
    std::swap(live[i], live[i + random_.below(static_cast<std::uint32_t>(live.size() - i))]);
  live.resize(picked);
  return live;
}

Header Fleet::headerFor(const Member& to, Kind kind, std::uint32_t sequence) const {
  Header header;
  header.kind = kind;
  header.from = settings_.self;
  header.to = to.listed.number;
  header.incarnation = incarnation();
  header.sequence = sequence;
  header.view = roster_.hash();
  header.newest = settings_.newest;
  header.version = std::min(settings_.newest, to.newest);
  return header;
}

// Sends these items, then as much gossip as fits. A datagram with a Block carries nothing else, since the
// receiver takes its rumours as the complete contents of that block.
void Fleet::send(Time now, std::size_t to, Kind kind, std::uint32_t sequence, const std::vector<Item>& items,
                 Out& out) {
  if (now < sending_suspended_until_) return;
  const Member& receiver = roster_.at(to);
  Writer writer(headerFor(receiver, kind, sequence), settings_.fleet);
  for (const Item& item : items) writer.add(item);
  const bool whole_block =
      std::any_of(items.begin(), items.end(), [](const Item& i) { return std::holds_alternative<Block>(i); });
  if (!whole_block && isLive(receiver.standing.state)) {
    gossip_queue_.fill(writer, roster_, to, budget_.has(kRepairReserve), random_);
  } else if (!whole_block && receiver.standing.state > State::Unknown) {
    writer.add(rumourOf(receiver));
  }
  std::string bytes = writer.finish();
  budget_.spend(bytes.size());
  out.datagrams.push_back({receiver.listed.number, std::move(bytes)});
}

bool Fleet::sendMessage(Time now, Number to, std::string bytes, Out& out) {
  const auto slot = roster_.find(to);
  if (!slot || *slot == self_ || bytes.size() > kMaxApplicationPayload) return false;
  send(now, *slot, Kind::Gossip, 0, {ApplicationPayload{std::move(bytes)}}, out);
  return true;
}

// Sends a round of gossip to some random members, for updates that are not yet carried by probes.
void Fleet::gossip(Time now, Out& out) {
  next_gossip_at_ = now + settings_.gossip_interval;
  if (!gossip_queue_.needsRound() || !budget_.has(kRepairReserve)) return;
  for (const std::size_t to : pick(settings_.gossip_fanout, self_)) {
    if (budget_.has(kRepairReserve)) send(now, to, Kind::Gossip, 0, {}, out);
  }
  gossip_queue_.roundEnded(roster_);
}

void Fleet::setFacts(Time now, const Facts& facts, bool urgent) {
  std::string bytes = encode(facts);
  if (bytes == self().facts) {
    unpublished_.reset();
    return;
  }
  unpublished_ = std::move(bytes);
  if (urgent || now - published_at_ >= recordInterval()) publishRecord(now, urgent);
  if (started_) schedule(now);
}

Time Fleet::recordInterval() const { return static_cast<Time>(roster_.live()) * kSecond / 5; }

void Fleet::publishRecord(Time now, bool urgent) {
  const RecordVersion& last = self().version;
  const std::uint32_t sequence = last.incarnation == incarnation() ? last.sequence + 1 : 1;
  roster_.merge(self_, RecordVersion{incarnation(), sequence}, *unpublished_);
  unpublished_.reset();
  published_at_ = now;
  gossip_queue_.addRecord(roster_, self_, urgent);
}

}  // namespace client_proxy::fleet
