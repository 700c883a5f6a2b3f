#include "fleet/gossip_queue.h"

#include <algorithm>
#include <cmath>

#include "fleet/shuffle.h"

namespace client_proxy::fleet {
namespace {

constexpr std::size_t kBacklogThreshold = 44;  // queued standings, more than two datagrams hold
constexpr int kSendsPerRecord = 3;             // not urgent ones
constexpr std::size_t kMinStandingSize = 12, kMinRecordSize = 19;  // bytes of the smallest item

// What addItems() needs to know of standings or records.
struct ItemKind {
  int Member::*sends_left = nullptr;
  int cost = 1;              // subtracted from the sends left, for each send
  std::size_t min_size = 0;  // bytes
};

// Adds as many items to the datagram as fit, those with the most sends left first, equal ones in random
// order.
template <typename ItemOf>
void addItems(Writer& writer, Roster& roster, std::size_t to, std::vector<std::size_t>& slots,
              const ItemKind& kind, load_balancer::Random& random, ItemOf item_of) {
  int Member::*const sends_left = kind.sends_left;
  shuffle(slots, random);
  std::stable_sort(slots.begin(), slots.end(), [&](std::size_t a, std::size_t b) {
    return roster.at(a).*sends_left > roster.at(b).*sends_left;
  });
  for (const std::size_t slot : slots) {
    if (writer.room() < kind.min_size) break;
    if (slot != to && writer.add(item_of(roster.at(slot)))) roster.at(slot).*sends_left -= kind.cost;
  }
  std::erase_if(slots, [&](std::size_t slot) { return roster.at(slot).*sends_left <= 0; });
}

}  // namespace

Rumour rumourOf(const Member& member) {
  return {member.listed.number, member.standing,
          member.accusers.empty() ? Number{0} : member.accusers.back()};
}

void GossipQueue::rebuild(const Roster& roster) {
  standings_.clear();
  records_.clear();
  for (std::size_t slot = 0; slot < roster.size(); ++slot) {
    if (roster.at(slot).standing_sends_left > 0) standings_.push_back(slot);
    if (roster.at(slot).record_sends_left > 0) records_.push_back(slot);
  }
}

int GossipQueue::sendsPerUpdate(const Roster& roster) {
  return 4 * static_cast<int>(std::ceil(std::log10(static_cast<double>(roster.live() + 1))));
}

// With a large backlog each update is sent less often: repairing the missed ones by anti-entropy costs less.
int GossipQueue::sendCost() const { return standings_.size() > kBacklogThreshold ? 3 : 1; }

void GossipQueue::addStanding(Roster& roster, std::size_t slot) {
  Member& member = roster.at(slot);
  if (member.standing_sends_left <= 0) standings_.push_back(slot);
  member.standing_sends_left = sendsPerUpdate(roster);
}

void GossipQueue::addRecord(Roster& roster, std::size_t slot, bool urgent) {
  Member& member = roster.at(slot);
  if (member.record_sends_left <= 0) records_.push_back(slot);
  member.record_sends_left = urgent ? sendsPerUpdate(roster) : kSendsPerRecord;
  member.urgent = urgent;
  urgent_ = urgent_ || urgent;
}

void GossipQueue::receivedAgain(Member& member) const {
  if (member.standing_sends_left > 1)
    member.standing_sends_left = std::max(1, member.standing_sends_left - sendCost());
}

void GossipQueue::roundEnded(const Roster& roster) {
  urgent_ =
      std::any_of(records_.begin(), records_.end(), [&](std::size_t slot) { return roster.at(slot).urgent; });
}

void GossipQueue::fill(Writer& writer, Roster& roster, std::size_t to, bool with_records,
                       load_balancer::Random& random) {
  const Member& receiver = roster.at(to);
  if (receiver.standing.state > State::Alive) writer.add(rumourOf(receiver));
  addItems(writer, roster, to, standings_, {&Member::standing_sends_left, sendCost(), kMinStandingSize},
           random, [](const Member& of) { return Item(rumourOf(of)); });
  if (!with_records) return;
  addItems(writer, roster, to, records_, {&Member::record_sends_left, 1, kMinRecordSize}, random,
           [](const Member& of) {
             return Item(Record{of.listed.number, of.version, of.urgent, of.facts});
           });
}

}  // namespace client_proxy::fleet
