// The values of the configuration distribution: operators publish changes, replicas store them, and proxies
// subscribe to them.
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
/// The number of a replica in the operators' lists, from 1.
using ReplicaId = std::uint16_t;
/// The number of a proxy in the operators' lists.
using MemberId = std::uint32_t;

/// The longest text of a change, in bytes.
constexpr std::size_t kMaxTextBytes = std::size_t{1} << 20;
/// The longest author name, in bytes.
constexpr std::size_t kMaxAuthorBytes = 200;
/// The longest error text that a proxy may report, in bytes.
constexpr std::size_t kMaxErrorBytes = 1000;
/// The highest number of splices in one delta.
constexpr std::size_t kMaxSplices = 64;
/// The longest JSON body of a call, in bytes. JSON escapes each line break and quote of a text to two bytes;
/// a text is refused if it has so many control characters that it exceeds this.
constexpr std::size_t kMaxBodyBytes = 2 * kMaxTextBytes + std::size_t{16} * 1024;

/// One published version of the shared configuration.
struct Change {
  Version version = 0;
  std::string id;                 ///< 32 hex digits drawn by the publisher; the same in each retry
  std::string author;             ///< who published it
  std::int64_t published_ms = 0;  ///< wall clock since 1970; informational only, no decision depends on it
  std::string text;               ///< UTF-8
  std::string digest;             ///< digestOf(text)
  std::string previous_digest;    ///< of the previous version; for version 1 that of the empty text

  bool operator==(const Change&) const = default;
};

/// Replaces `remove` bytes at `offset` by `insert`; both are counted in bytes of the base text.
struct Splice {
  std::uint64_t offset = 0;
  std::uint64_t remove = 0;
  std::string insert;

  bool operator==(const Splice&) const = default;
};

/// The difference of a text from that of an earlier version.
struct Delta {
  Version base = 0;
  std::string base_digest;
  std::vector<Splice> splices;  ///< ascending, without overlap

  bool operator==(const Delta&) const = default;
};

// ---- lines of a watch ----

/// A change as sent to a subscriber: with its whole text, or with a delta to a version that the subscriber
/// has.
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

/// Sent with false after a replica has had no contact with a quorum for some time, and with true once it has
/// again.
struct QuorumNotice {
  ReplicaId replica = 0;
  bool quorum = false;

  bool operator==(const QuorumNotice&) const = default;
};

/// An empty line: the connection is alive and there is no new change.
struct Heartbeat {
  bool operator==(const Heartbeat&) const = default;
};

using WatchLine = std::variant<Heartbeat, QuorumNotice, ChangeNotice>;

// ---- calls ----

/// A version that a proxy refuses, and why.
struct Refusal {
  Version version = 0;
  std::string digest;
  std::string error;  ///< with file, line, column and key

  bool operator==(const Refusal&) const = default;
};

/// Reports the version in force at a proxy to a replica.
struct Acknowledgement {
  MemberId member = 0;
  std::uint64_t sequence = 0;  ///< increases, also across restarts of a proxy; the highest one counts
  Version version = 0;
  std::string digest;
  bool restart_needed = false;  ///< part of the version takes effect at the next start only
  std::optional<Refusal> refused;

  bool operator==(const Acknowledgement&) const = default;
};

/// Requests that a text becomes the next version.
struct PublishRequest {
  std::string id;
  std::string author;
  Version base = 0;  ///< the version that the text is based on; a conflict if it is not the newest
  std::string text;

  bool operator==(const PublishRequest&) const = default;
};

/// 200: the change is chosen and on the disks of a quorum.
struct Published {
  Version version = 0;
  std::string digest;

  bool operator==(const Published&) const = default;
};

/// 409: the base is not the newest version.
struct Conflict {
  Version version = 0;  ///< the newest version
  std::string author;   ///< of the newest version

  bool operator==(const Conflict&) const = default;
};

/// 400, 404, 503, 507: the call has failed. After 503 to a publish, the change may still be chosen later:
/// retry with the same id.
struct CallError {
  std::string error;   ///< "no quorum", "disk full", or what is wrong with the request
  std::string detail;  ///< may be empty

  bool operator==(const CallError&) const = default;
};

// ---- status ----

/// Another replica, as the replica that answers sees it.
struct PeerStatus {
  ReplicaId replica = 0;
  bool reachable = false;
  std::optional<std::int64_t>
      heard_ms_ago;     ///< since the last contact; none: no contact since this replica's start
  Version version = 0;  ///< the newest one that it has reported
  std::optional<std::int64_t> clock_ms_apart;  ///< its wall clock minus this replica's

  bool operator==(const PeerStatus&) const = default;
};

/// A proxy, as its acknowledgements show it.
struct MemberStatus {
  MemberId member = 0;
  bool connected = false;         ///< has a watch open at this replica
  std::int64_t heard_ms_ago = 0;  ///< since the last contact
  Version version = 0;
  std::string digest;
  bool restart_needed = false;
  std::optional<Refusal> refused;

  bool operator==(const MemberStatus&) const = default;
};

/// The status of a replica.
struct Status {
  ReplicaId replica = 0;
  std::string region;
  Version version = 0;
  std::string digest;
  std::uint64_t start_count = 0;
  std::vector<std::string> faults;  ///< "kind: description"; empty: none
  std::vector<PeerStatus> peers;
  bool quorum = false;  ///< it may vote, and forms a quorum with the peers in contact
  std::vector<MemberStatus> members;

  bool operator==(const Status&) const = default;
};

}  // namespace client_proxy::distribution
