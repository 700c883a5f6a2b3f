#include "fleet/roster.h"

#include <algorithm>
#include <utility>

#include "fleet/wire.h"

namespace client_proxy::fleet {
namespace {

std::uint32_t foldTo32Bits(std::uint64_t hash) { return static_cast<std::uint32_t>(hash ^ (hash >> 32)); }

}  // namespace

void Roster::setMembers(const std::vector<Listed>& members) {
  std::vector<Listed> sorted = members;
  std::sort(sorted.begin(), sorted.end(),
            [](const Listed& a, const Listed& b) { return a.number < b.number; });
  std::vector<Member> next;
  next.reserve(sorted.size());
  for (Listed& listed : sorted) {
    const auto known = find(listed.number);
    next.push_back(known ? std::move(members_[*known]) : Member{});
    next.back().listed = std::move(listed);
  }
  members_ = std::move(next);
  slots_.assign(members_.empty() ? 0 : std::size_t{members_.back().listed.number} + 1, -1);
  std::fill(std::begin(counts_), std::end(counts_), 0);
  hash_ = 0;
  for (std::size_t slot = 0; slot < members_.size(); ++slot) {
    const Member& m = members_[slot];
    slots_[m.listed.number] = static_cast<std::int32_t>(slot);
    ++counts_[static_cast<std::size_t>(m.standing.state)];
    hash_ ^= hashOf(m.listed.number, m.standing);
  }
}

std::optional<std::size_t> Roster::find(Number number) const {
  if (number >= slots_.size() || slots_[number] < 0) return std::nullopt;
  return static_cast<std::size_t>(slots_[number]);
}

bool Roster::merge(std::size_t slot, const Standing& standing, Time now) {
  if (standing <= members_[slot].standing) return false;
  set(slot, standing, now);
  return true;
}

void Roster::set(std::size_t slot, const Standing& standing, Time now) {
  Member& m = members_[slot];
  hash_ ^= hashOf(m.listed.number, m.standing) ^ hashOf(m.listed.number, standing);
  if (standing.state != m.standing.state) {
    --counts_[static_cast<std::size_t>(m.standing.state)];
    ++counts_[static_cast<std::size_t>(standing.state)];
    if (isLive(m.standing.state) && !isLive(standing.state)) m.last_live_at = now;
    m.since = now;
  }
  m.accusers.clear();
  m.suspected_at = now;
  m.standing = standing;
}

bool Roster::merge(std::size_t slot, const RecordVersion& version, std::string_view facts) {
  Member& m = members_[slot];
  if (version <= m.version) return false;
  m.version = version;
  m.facts = facts;
  return true;
}

std::uint16_t Roster::blocks() const {
  return members_.empty() ? 0 : static_cast<std::uint16_t>(blockOf(members_.back().listed.number) + 1);
}

std::span<const Member> Roster::membersOf(std::uint16_t block) const {
  const auto from = [&](std::uint32_t number) {
    return std::lower_bound(members_.begin(), members_.end(), number,
                            [](const Member& m, std::uint32_t n) { return m.listed.number < n; });
  };
  const std::uint32_t first = std::uint32_t{block} * kBlockSize;
  return {from(first), from(first + kBlockSize)};
}

std::uint32_t Roster::standingsHash(std::uint16_t block) const {
  std::uint64_t hash = 0;
  for (const Member& m : membersOf(block)) hash ^= hashOf(m.listed.number, m.standing);
  return foldTo32Bits(hash);
}

std::uint32_t Roster::recordsHash(std::uint16_t block) const {
  std::uint64_t hash = 0;
  for (const Member& m : membersOf(block)) hash ^= hashOf(m.listed.number, m.version);
  return foldTo32Bits(hash);
}

}  // namespace client_proxy::fleet
