// What a replica decides with and what it has to keep on its disk.
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "distribution/types.h"

namespace client_proxy::consensus {

using distribution::Change;
using distribution::ReplicaId;
using distribution::Version;

/// Since any fixed point; of a clock that never goes back.
using Time = std::chrono::milliseconds;

/// The number of a proposal. `run` is drawn at each start of a process, so that no two of its lives ever use
/// the same ballot, whatever became of the disk in between.
struct Ballot {
  std::uint64_t round = 0;  ///< 0: none
  ReplicaId replica = 0;
  std::uint64_t run = 0;

  auto operator<=>(const Ballot&) const = default;
};

/// What this replica has promised and accepted in the one slot that it knows to be undecided.
struct Vote {
  Version slot = 0;
  Ballot promised;
  Ballot accepted;              ///< round 0: nothing
  std::optional<Change> value;  ///< what was accepted

  bool operator==(const Vote&) const = default;
};

/// What a peer has claimed of itself.
struct PeerRecord {
  std::uint64_t start_count = 0;
  std::uint64_t run = 0;  ///< drawn at that start; 0: it was never heard
  Version version = 0;
  Version voted = 0;  ///< the highest slot in which it may have voted

  bool operator==(const PeerRecord&) const = default;
};

/// A chosen change without its text.
struct ChangeHead {
  Version version = 0;
  std::string id;
  std::string author;
  std::string digest;

  bool operator==(const ChangeHead&) const = default;
};
ChangeHead headOf(const Change& change);

/// All that a replica has on its disk but the texts.
struct DurableState {
  std::uint64_t start_count = 0;
  std::set<std::uint64_t> runs;  ///< of all starts with this disk
  bool recovering = false;       ///< the disk is old or new, and it is not yet known where to vote again
  Version first_vote = 1;        ///< it votes in no slot before this one
  Vote vote;
  std::map<ReplicaId, PeerRecord> peers;
  std::vector<ChangeHead> changes;  ///< those kept, ascending

  Version version() const { return changes.empty() ? 0 : changes.back().version; }
};

// ---- writes: each in place of what was there ----

struct SaveStart {
  std::uint64_t start_count = 0;
  std::uint64_t run = 0;  ///< kept besides those of earlier starts
  bool recovering = false;
  Version first_vote = 1;
};
struct SaveVote {
  Vote vote;
};
struct SavePeer {
  ReplicaId peer = 0;
  PeerRecord record;
};
/// A change is chosen; a vote in its slot or before is of no use any more.
struct SaveChosen {
  Change change;
};
using Write = std::variant<SaveStart, SaveVote, SavePeer, SaveChosen>;

struct Rules {
  ReplicaId self = 1;
  std::vector<ReplicaId> others;  ///< all other listed replicas

  std::size_t quorum() const { return quorum_override ? *quorum_override : (others.size() + 1) / 2 + 1; }
  /// How many joined others have to answer after a start: more than half of the others, so that any two such
  /// sets share a replica, and any such set shares one with the others of each quorum.
  std::size_t joinedAnswers() const { return others.empty() ? 0 : others.size() / 2 + 1; }

  /// For tests only: another size of a quorum, which is not safe.
  std::optional<std::size_t> quorum_override;

  Time hello_interval{1000};         ///< between two hellos to a peer
  Time hello_interval_joining{250};  ///< the same until this replica has joined
  Time resend_interval{300};         ///< of a proposal to those that have not answered
  Time publish_timeout{5000};        ///< after so long a publish that is not decided is answered so
  Time base_wait{2000};  ///< how long a publish waits for a base that this replica does not have yet
  Time back_off{30};     ///< at most, after the first lost duel; twice that after each further one
  Time back_off_limit{500};
  Time contact_timeout{5000};      ///< a peer counts for a quorum so long after it was heard
  Time fetch_retry_interval{500};  ///< a fetch that brought nothing is repeated
  std::size_t max_publishes = 16;  ///< waiting at once
  std::size_t kept = 1000;         ///< changes
};

}  // namespace client_proxy::consensus
