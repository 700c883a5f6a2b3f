// The values of the distribution of configuration: what operators publish, replicas keep and proxies follow.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace client_proxy::distribution {

/// The number of a change: 1, 2, 3 ... without gaps. 0: nothing was published yet.
using Version = std::uint64_t;
/// A replica as the operators' lists number it, from 1.
using ReplicaId = std::uint16_t;
/// A proxy as the operators' lists number it.
using MemberId = std::uint32_t;

/// The longest text of a change, in bytes.
constexpr std::size_t kMaxTextBytes = std::size_t{1} << 20;
/// The longest name of an author, in bytes.
constexpr std::size_t kMaxAuthorBytes = 200;
/// The longest error that a proxy may report, in bytes.
constexpr std::size_t kMaxErrorBytes = 1000;
/// The most splices of one delta.
constexpr std::size_t kMaxSplices = 64;
/// The longest JSON body of a call. JSON writes each line break and quote of a text with two bytes; a text
/// with so many control characters that it exceeds this is refused.
constexpr std::size_t kMaxBodyBytes = 2 * kMaxTextBytes + std::size_t{16} * 1024;

/// One published version of the shared configuration.
struct Change {
  Version version = 0;
  std::string id;                 ///< 32 hex digits drawn by the publisher; the same in each of its tries
  std::string author;             ///< who published it
  std::int64_t published_ms = 0;  ///< wall clock since 1970, for people; nothing is decided by it
  std::string text;               ///< UTF-8
  std::string digest;             ///< digestOf(text)
  std::string previous_digest;    ///< of the version before it; of the empty text for version 1

  bool operator==(const Change&) const = default;
};

/// Puts `insert` in place of `remove` bytes at `offset`, both counted in bytes of the base text.
struct Splice {
  std::uint64_t offset = 0;
  std::uint64_t remove = 0;
  std::string insert;

  bool operator==(const Splice&) const = default;
};

/// How a text follows from an earlier one.
struct Delta {
  Version base = 0;
  std::string base_digest;
  std::vector<Splice> splices;  ///< ascending, without overlap

  bool operator==(const Delta&) const = default;
};

// ---- lines of a watch ----

/// A change as a subscriber receives it: its whole text or a delta to a version that the subscriber has.
struct ChangeNotice {
  Version version = 0;
  std::string id;
  std::string author;
  std::int64_t published_ms = 0;
  std::string digest;
  std::string previous_digest;
  std::variant<std::string, Delta> content;

  bool operator==(const ChangeNotice&) const = default;
};

/// Sent when a replica has not heard from a quorum for some time, and with true when it hears one again.
struct QuorumNotice {
  ReplicaId replica = 0;
  bool quorum = false;

  bool operator==(const QuorumNotice&) const = default;
};

/// An empty line: the replica is there, and there is nothing new.
struct Heartbeat {
  bool operator==(const Heartbeat&) const = default;
};

using WatchLine = std::variant<Heartbeat, QuorumNotice, ChangeNotice>;

// ---- calls ----

/// A version that a proxy does not take, and why.
struct Refusal {
  Version version = 0;
  std::string digest;
  std::string error;  ///< with file, line, column and key

  bool operator==(const Refusal&) const = default;
};

/// What is in force at a proxy.
struct Acknowledgement {
  MemberId member = 0;
  std::uint64_t sequence = 0;  ///< grows over all lives of a proxy; the newest counts
  Version version = 0;
  std::string digest;
  bool restart_needed = false;  ///< part of the version takes effect at the next start only
  std::optional<Refusal> refused;

  bool operator==(const Acknowledgement&) const = default;
};

struct PublishRequest {
  std::string id;
  std::string author;
  Version base = 0;  ///< the version that the author has seen; another newest one is a conflict
  std::string text;

  bool operator==(const PublishRequest&) const = default;
};

/// 200: chosen, and on the disks of a quorum.
struct Published {
  Version version = 0;
  std::string digest;

  bool operator==(const Published&) const = default;
};

/// 409: the base is not the newest version.
struct Conflict {
  Version version = 0;  ///< the newest
  std::string author;   ///< of the newest

  bool operator==(const Conflict&) const = default;
};

/// 400, 404, 503, 507: not done. 503 leaves open whether it is chosen later: ask again with the same id.
struct CallError {
  std::string error;   ///< "no quorum", "disk full", or what is wrong with the request
  std::string detail;  ///< may be empty

  bool operator==(const CallError&) const = default;
};

// ---- status ----

struct PeerStatus {
  ReplicaId replica = 0;
  bool reachable = false;
  std::optional<std::int64_t> heard_ms_ago;    ///< nothing: not since this replica's start
  Version version = 0;                         ///< the newest that it said it has
  std::optional<std::int64_t> clock_ms_apart;  ///< its wall clock less this one's

  bool operator==(const PeerStatus&) const = default;
};

struct MemberStatus {
  MemberId member = 0;
  bool connected = false;  ///< watches this replica now
  std::int64_t heard_ms_ago = 0;
  Version version = 0;
  std::string digest;
  bool restart_needed = false;
  std::optional<Refusal> refused;

  bool operator==(const MemberStatus&) const = default;
};

struct Status {
  ReplicaId replica = 0;
  std::string region;
  Version version = 0;
  std::string digest;
  std::uint64_t start_count = 0;
  std::vector<std::string> faults;  ///< "kind: what"; empty: none
  std::vector<PeerStatus> peers;
  bool quorum = false;  ///< this replica and those it heard of late are a quorum, and it may vote
  std::vector<MemberStatus> members;

  bool operator==(const Status&) const = default;
};

}  // namespace client_proxy::distribution
