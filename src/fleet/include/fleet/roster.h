// The listed members and the known state of each. Merging is independent of order and repetition. No I/O, no
// clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "fleet/types.h"

namespace client_proxy::fleet {

// A member as configured in the list of members.
struct Listed {
  Number number = 0;
  std::string zone{}, region{};  // empty: taken from the member's own record, if set there
};

// A listed member and what is known of it.
struct Member {
  Listed listed;
  Standing standing;
  Time since = 0;                // time of the last change of state
  Time last_contact = kLongAgo;  // when a datagram from it was last received
  Time last_live_at = kLongAgo;  // when its state last changed from live to not live
  RecordVersion version;
  std::string facts;        // encoded, as published by the member
  std::uint8_t newest = 1;  // newest datagram version that it reads

  // Valid while it is a suspect: since when, and by which members.
  std::vector<Number> accusers;  // distinct, the first kMaxAccusers
  Time suspected_at = 0;

  // How many more times each is gossiped.
  int standing_sends_left = 0, record_sends_left = 0;
  bool urgent = false;  // of the record
};
constexpr std::size_t kMaxAccusers = 4;

// Anti-entropy compares views block by block. A block holds the members whose numbers differ only in the last
// four bits.
constexpr Number kBlockSize = 16;
constexpr std::uint16_t blockOf(Number n) { return n / kBlockSize; }

// Members are kept sorted by number; a slot is an index into this order, valid until setMembers().
class Roster {
 public:
  // Replaces the list. Members that stay keep their state, those no longer listed are removed.
  void setMembers(const std::vector<Listed>& members);

  std::size_t size() const { return members_.size(); }
  Member& at(std::size_t slot) { return members_[slot]; }
  const Member& at(std::size_t slot) const { return members_[slot]; }
  const std::vector<Member>& all() const { return members_; }  // sorted by number
  std::optional<std::size_t> find(Number number) const;

  // Stores the standing if it is greater than the known one, and returns whether it was.
  bool merge(std::size_t slot, const Standing& standing, Time now);
  // Stores the standing unconditionally.
  void set(std::size_t slot, const Standing& standing, Time now);
  // Stores the record if its version is greater than the known one, and returns whether it was.
  bool merge(std::size_t slot, const RecordVersion& version, std::string_view facts);

  std::size_t count(State state) const { return counts_[static_cast<std::size_t>(state)]; }
  // Number of members that are alive or suspect.
  std::size_t live() const { return count(State::Alive) + count(State::Suspect); }
  // Hash of all known standings, without suspicions: views with the same standings have equal hashes.
  std::uint32_t hash() const { return static_cast<std::uint32_t>(hash_ ^ (hash_ >> 32)); }

  // Number of blocks, up to the last one with a listed member.
  std::uint16_t blocks() const;
  std::span<const Member> membersOf(std::uint16_t block) const;
  // Hash of the standings, or of the record versions, of a block's members.
  std::uint32_t standingsHash(std::uint16_t block) const;
  std::uint32_t recordsHash(std::uint16_t block) const;

 private:
  std::vector<Member> members_;
  std::vector<std::int32_t> slots_;  // by number; -1: not listed
  std::size_t counts_[5] = {};
  std::uint64_t hash_ = 0;
};

}  // namespace client_proxy::fleet
