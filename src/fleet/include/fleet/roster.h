// The listed members and what is known of each: merged in any order to the same. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "fleet/types.h"

namespace client_proxy::fleet {

// A member as the list of members names it.
struct Listed {
  Number number = 0;
  std::string zone{}, region{};  // empty: the member's own record says it, if anything does
};

struct Member {
  Listed listed;
  Standing standing;
  Time since = 0;                // of its state
  Time last_contact = kLongAgo;  // the last datagram of its own that came here
  Time last_live_at = kLongAgo;  // when it was last held for live
  RecordVersion version;
  std::string facts;        // as its owner wrote them
  std::uint8_t newest = 1;  // version of datagrams that it reads

  // While it is a suspect.
  std::vector<Number> accusers;  // without repeats, the first kMaxAccusers
  Time suspected_at = 0;

  // How often each is still to be passed on.
  int standing_sends_left = 0, record_sends_left = 0;
  bool urgent = false;  // of the record
};
constexpr std::size_t kMaxAccusers = 4;

// Members whose numbers share all but the last four bits are a block: what two views are compared by.
constexpr Number kBlockSize = 16;
constexpr std::uint16_t blockOf(Number n) { return n / kBlockSize; }

class Roster {
 public:
  // Members of the same number keep what is known of them; those no longer listed are forgotten.
  void setMembers(const std::vector<Listed>& members);

  std::size_t size() const { return members_.size(); }
  Member& at(std::size_t slot) { return members_[slot]; }
  const Member& at(std::size_t slot) const { return members_[slot]; }
  const std::vector<Member>& all() const { return members_; }  // by number
  std::optional<std::size_t> find(Number number) const;

  // Takes what is greater than what is known. True: it was.
  bool merge(std::size_t slot, const Standing& standing, Time now);
  // Whatever was known.
  void set(std::size_t slot, const Standing& standing, Time now);
  bool merge(std::size_t slot, const RecordVersion& version, std::string_view facts);

  std::size_t count(State state) const { return counts_[static_cast<std::size_t>(state)]; }
  std::size_t live() const { return count(State::Alive) + count(State::Suspect); }
  // Equal where two views hold the same of every member that was heard of, but for suspicions.
  std::uint32_t hash() const { return static_cast<std::uint32_t>(hash_ ^ (hash_ >> 32)); }

  // Blocks from 0 to the last one that a listed member lies in.
  std::uint16_t blocks() const;
  std::span<const Member> membersOf(std::uint16_t block) const;
  std::uint32_t standingsHash(std::uint16_t block) const;
  std::uint32_t recordsHash(std::uint16_t block) const;

 private:
  std::vector<Member> members_;
  std::vector<std::int32_t> slots_;  // by number; -1: not listed
  std::size_t counts_[5] = {};
  std::uint64_t hash_ = 0;
};

}  // namespace client_proxy::fleet
