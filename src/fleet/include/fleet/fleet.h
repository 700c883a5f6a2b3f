// State machine of one member in the membership protocol: takes datagrams and the time, returns datagrams and
// changes. Implements SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process
// Group Membership Protocol") with suspicion, Lifeguard's local health, and anti-entropy by digests. No I/O,
// no clock. Design rationale: docs/design-fleet.md.
//
// The implementation is split by subject: fleet.cpp (list of members, timers), failure_detection.cpp,
// dissemination.cpp, anti_entropy.cpp, receiving.cpp, view.cpp.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fleet/duplicate_number.h"
#include "fleet/gossip_queue.h"
#include "fleet/probe_order.h"
#include "fleet/roster.h"
#include "fleet/send_budget.h"
#include "fleet/suspicion.h"
#include "fleet/view.h"
#include "fleet/wire.h"
#include "random/random.h"

namespace client_proxy::fleet {

// Protocol parameters.
struct Settings {
  Number self = 0;
  std::uint64_t fleet = 0;                    // fleetSeed() of the fleet's name
  Time probe_interval = 500 * kMillisecond;   // between two probes
  Time probe_timeout = 200 * kMillisecond;    // of a direct probe; indirect probes follow
  std::size_t helpers = 3;                    // members asked to probe indirectly
  Time min_suspicion = 700 * kMillisecond;    // times log10(members); 0: dead without suspicion
  double max_suspicion_factor = 4;            // longest suspicion as a multiple of the shortest
  Time gossip_interval = 100 * kMillisecond;  // between two rounds of gossip
  std::size_t gossip_fanout = 3;              // members addressed in a round
  // Interval at which all live members together ping each dead member; kNever: never.
  Time dead_ping_interval = kSecond;
  // Send budget. Probes and their replies spend it too, but are never held back. When all members start at
  // once the burst lets each learn of all others, so it grows with the length of long lists.
  double bytes_per_second = 1900, burst_bytes = 32'000, burst_bytes_per_member = 48;
  std::uint8_t newest = kNewestVersion;
  bool refute_suspicion = true;  // false only in tests of what incarnations prevent
};

// An encoded datagram to be sent to a member.
struct Datagram {
  Number to = 0;
  std::string bytes;
};
// Another package's payload from one member to another. It is sent once, without acknowledgement, and may
// arrive late or never.
struct ApplicationMessage {
  Number from = 0;
  std::string bytes;
};
// What a call has produced.
struct Out {
  std::vector<Datagram> datagrams;
  std::vector<ApplicationMessage> messages;  // received
  std::vector<Change> changes;
};

// State handed to the next process of this member.
struct MembershipSnapshot {
  struct Known {
    Number number = 0;
    Standing standing;
    RecordVersion version;
    std::string facts;
  };
  Incarnation incarnation = 0;
  std::uint32_t record = 0;  // sequence of this member's own record
  std::vector<Known> members;
};

// Number of dropped datagrams, by cause.
struct Drops {
  std::uint64_t too_short = 0, too_long = 0, foreign = 0, version = 0, checksum = 0, malformed = 0;
  std::uint64_t unknown_sender = 0;  // from an address of no member; counted by the transport
  std::uint64_t misaddressed = 0;    // wrong receiver, or sender and source address differ
  void count(Fault fault);
};

// All times are of the caller's steady clock and must not decrease. Every call with an `out` appends to it.
class Fleet {
 public:
  // `first` is this process's initial incarnation. Throws std::invalid_argument if `self` is not in `members`
  // or a number is repeated.
  Fleet(const Settings& settings, const std::vector<Listed>& members, Incarnation first, std::uint64_t seed);

  // To be called before start(): continues with the view and the incarnation of the previous process.
  void restore(const MembershipSnapshot& previous, Time now);
  MembershipSnapshot snapshot() const;

  // Starts the protocol with the first pings.
  void start(Time now, Out& out);
  // `from` is the member whose listed address the datagram was sent from.
  void receive(Time now, Number from, std::string_view datagram, Out& out);
  // To be called at due(), which may change with every other call.
  void onTime(Time now, Out& out);
  Time due() const { return due_; }
  // Announces to some members, which gossip it, that this member leaves. It then only replies.
  void leave(Time now, Out& out);
  // Replaces the list of members. Throws std::invalid_argument, and changes nothing, if `self` is missing or
  // a number is repeated.
  void setMembers(Time now, const std::vector<Listed>& members);
  // Sets this member's own record. Records that are not urgent are published at most once per 0.2 s times the
  // number of live members, so that the records of all members fit the space left in datagrams. Urgent ones
  // spread as fast as deaths.
  void setFacts(Time now, const Facts& facts, bool urgent = false);
  // Sends at most kMaxApplicationPayload bytes in a separate datagram. Returns false if `bytes` is longer or
  // `to` is this member or not listed.
  bool sendMessage(Time now, Number to, std::string bytes, Out& out);
  // Sends nothing before `until`: another process may be about to take over this number.
  void suspendSending(Time now, Time until);
  // A datagram with this member's number as its sender arrived from an address that is not listed.
  void onClaimed(Time now) { duplicate_.onClaimed(now); }

  View view(Time now) const;
  Doubt doubt(Time now) const;
  const Roster& roster() const { return roster_; }
  Incarnation incarnation() const { return self().standing.incarnation; }
  const Drops& drops() const { return drops_; }
  const LocalHealth& health() const { return health_; }
  std::uint64_t refuted() const { return refuted_; }  // refuted suspicions of this member
  // Whether another process uses this member's number, see DuplicateNumber.
  bool duplicateDetected(Time now) const;

 private:
  struct Probe {
    std::size_t slot = 0;
    std::uint32_t sequence = 0;
    Time timeout = 0;    // when indirect probes are requested
    Time resend_at = 0;  // when the target is pinged again
    Time end = 0;        // when the probe has failed
    bool indirect_sent = false, answered = false;
    std::size_t helpers = 0, nacks = 0;
  };
  struct Relay {  // an indirect probe on behalf of another member
    Number requester = 0, subject = 0;
    std::uint32_t request_sequence = 0;  // of the requester's probe
    Time nack_at = 0;
  };

  const Member& self() const { return roster_.at(self_); }
  // fleet.cpp
  void advance(Time now);
  void onPause(Time now, Time gap);
  void schedule(Time now);

  // failure_detection.cpp
  Time probeDueAt() const;
  void probeNext(Time now, Out& out);
  void onProbeTime(Time now, Out& out);
  void onProbeFailed(Time now, Out& out);
  void onIndirectPing(Time now, const Message& message, Out& out);
  void onAck(Time now, std::uint32_t sequence, std::size_t slot, Out& out);
  void expireRelays(Time now, Out& out);
  void suspect(Time now, std::size_t slot, Number by, Out& out);
  Time suspicionOf(const Member& m) const;
  void expireSuspects(Time now, Out& out);
  void pingUnreachable(Time now, Out& out);
  Time pingUnreachableAt(Time now) const;

  // dissemination.cpp
  void send(Time now, std::size_t to, Kind kind, std::uint32_t sequence, const std::vector<Item>& items,
            Out& out);
  Header headerFor(const Member& to, Kind kind, std::uint32_t sequence) const;
  void gossip(Time now, Out& out);
  std::vector<std::size_t> pick(std::size_t count, std::size_t excluded);
  void publishRecord(Time now, bool urgent);
  Time recordInterval() const;
  double budgetCapacity() const;
  bool maySpend(double bytes = kMostDatagram) const { return budget_.has(bytes); }

  // anti_entropy.cpp
  void compareStandings(Time now, std::size_t slot, std::uint32_t their_view, Out& out);
  void compareRecords(Time now, Out& out);
  void sendDigest(Time now, std::size_t slot, Digest::Of of, Out& out);
  void answerDigest(Time now, std::size_t slot, const Digest& digest, Out& out);
  void sendBlock(Time now, std::size_t slot, std::uint16_t block, Out& out);
  void sendHeldVersions(Time now, std::size_t slot, std::uint16_t block, Out& out);
  void answerBlock(Time now, std::size_t slot, const Block& block, const Message& message, Out& out);
  void answerHeldVersions(Time now, std::size_t slot, const Message& message, Out& out);
  void sendRecords(Time now, std::size_t slot, std::vector<Item> records, Out& out);

  // receiving.cpp
  void onContact(Time now, std::size_t slot, const Header& header, Out& out);
  void reply(Time now, std::size_t slot, const Message& message, Out& out);
  void apply(Time now, std::size_t slot, const Message& message, Out& out);
  void applyRumour(Time now, const Rumour& rumour, Out& out);
  void applyRecord(Time now, const Record& record, Out& out);
  void refute(Time now, const Standing& standing, Out& out);
  void updateStanding(Time now, std::size_t slot, const Standing& standing, Number by, Out& out);

  static constexpr Time kJoinInterval = 100 * kMillisecond;     // between pings until a first member replies
  static constexpr Time kCompareRecordsInterval = 5 * kSecond;  // with one random member

  Settings settings_;
  Roster roster_;
  std::size_t self_ = 0;  // slot
  load_balancer::Random random_;
  LocalHealth health_;
  Drops drops_;
  SendBudget budget_;
  GossipQueue gossip_queue_;
  DuplicateNumber duplicate_;
  std::uint64_t refuted_ = 0;

  ProbeOrder probe_order_;
  std::uint32_t sequence_ = 0;
  std::optional<Probe> probe_;
  std::map<std::uint32_t, Relay> relays_;  // by our own sequence

  bool started_ = false, leaving_ = false;
  bool restored_ = false;  // the view was restored from the previous process
  Time clock_ = 0;         // time of the last call
  Time due_ = kNever, started_at_ = 0;
  Time next_probe_at_ = 0, next_gossip_at_ = 0;  // times of the next ones
  Time compare_records_at_ = 0, compare_standings_at_ = kLongAgo;
  Time changed_at_ = 0, agreed_at_ = kLongAgo, paused_at_ = kLongAgo, sending_suspended_until_ = kLongAgo;
  Time unreachable_pinged_at_ = 0;
  double unreachable_jitter_ = 1;           // factor of the time until the next ping
  std::optional<std::string> unpublished_;  // this member's own record, not published yet
  Time published_at_ = kLongAgo;
};

}  // namespace client_proxy::fleet
