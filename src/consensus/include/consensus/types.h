// The values of the consensus state machine, its durable state and its settings.
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

/// Milliseconds of a monotonic clock, counted from an arbitrary fixed point.
using Time = std::chrono::milliseconds;

/// The number of a proposal, ordered by round. `run` is drawn at random at each start of the process, so that
/// two runs of a replica never use the same ballot, even if the disk was lost or replaced in between.
struct Ballot {
  std::uint64_t round = 0;  ///< 0: none
  ReplicaId replica = 0;
  std::uint64_t run = 0;

  auto operator<=>(const Ballot&) const = default;
};

/// What this replica has promised and accepted in the slot that follows its newest chosen change.
struct Vote {
  Version slot = 0;
  Ballot promised;
  Ballot accepted;              ///< round 0: none
  std::optional<Change> value;  ///< the accepted value

  bool operator==(const Vote&) const = default;
};

/// What a peer has reported about itself.
struct PeerRecord {
  std::uint64_t start_count = 0;
  std::uint64_t run = 0;  ///< drawn at that start; 0: no contact yet
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
/// The change without its text.
ChangeHead headOf(const Change& change);

/// All that a replica has on its disk, except the texts of the changes.
struct DurableState {
  std::uint64_t start_count = 0;
  std::set<std::uint64_t> runs;  ///< of all starts that used this disk
  bool recovering = false;       ///< the disk is old or empty, and the first slot to vote in is not known yet
  Version first_vote = 1;        ///< this replica votes in no slot before this one
  Vote vote;
  std::map<ReplicaId, PeerRecord> peers;
  std::vector<ChangeHead> changes;  ///< the kept ones, ascending

  Version version() const { return changes.empty() ? 0 : changes.back().version; }
};

// ---- writes to disk: each replaces the stored value, except where noted ----

/// The state of this start.
struct SaveStart {
  std::uint64_t start_count = 0;
  std::uint64_t run = 0;  ///< added to the runs of earlier starts
  bool recovering = false;
  Version first_vote = 1;
};
/// The vote in the undecided slot.
struct SaveVote {
  Vote vote;
};
/// What a peer has reported.
struct SavePeer {
  ReplicaId peer = 0;
  PeerRecord record;
};
/// Appends a chosen change; a stored vote in its slot or an earlier one can be deleted.
struct SaveChosen {
  Change change;
};
using Write = std::variant<SaveStart, SaveVote, SavePeer, SaveChosen>;

/// The settings of a replica's consensus.
struct Rules {
  ReplicaId self = 1;
  std::vector<ReplicaId> others;  ///< all other listed replicas

  std::size_t quorum() const { return quorum_override ? *quorum_override : (others.size() + 1) / 2 + 1; }
  /// How many joined peers must reply after a start: more than half of the peers, so that any two such sets
  /// share a replica, and any such set shares one with the peers in each quorum.
  std::size_t requiredJoinedReplies() const { return others.empty() ? 0 : others.size() / 2 + 1; }

  /// For tests only: overrides the quorum size, which is not safe.
  std::optional<std::size_t> quorum_override;

  Time hello_interval{1000};         ///< between two hellos to a peer
  Time hello_interval_joining{250};  ///< the same until this replica has joined
  Time resend_interval{300};         ///< of a proposal to peers that have not replied
  Time publish_timeout{5000};        ///< an undecided publish fails with NoQuorum after this time
  Time base_wait{2000};  ///< how long a publish waits for a base that this replica doesn't have yet
  Time back_off{30};     ///< the longest delay after a first rejection; doubled by each further one
  Time back_off_limit{500};
  Time contact_timeout{5000};      ///< a peer counts towards the quorum for this time after the last contact
  Time fetch_retry_interval{500};  ///< a fetch without a useful reply is repeated after this time
  std::size_t max_publishes = 16;  ///< that may wait at once
  std::size_t kept = 1000;         ///< changes that are kept
};

}  // namespace client_proxy::consensus
