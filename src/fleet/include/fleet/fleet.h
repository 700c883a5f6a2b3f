// One member's part in the membership protocol: datagrams and the time in, datagrams and changes out. SWIM
// (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol") with suspicion, Lifeguard's local health, and anti-entropy by digests. No I/O, no clock. Why it
// was chosen: docs/design-fleet.md.
//
// The class is implemented by subject: fleet.cpp (list of members, timers), failure_detection.cpp,
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

struct Settings {
  Number self = 0;
  std::uint64_t fleet = 0;                    // fleetSeed() of its name
  Time probe_interval = 500 * kMillisecond;   // between two probes
  Time probe_timeout = 200 * kMillisecond;    // for a direct probe, before indirect ones are asked for
  std::size_t helpers = 3;                    // members that are asked for an indirect probe
  Time min_suspicion = 700 * kMillisecond;    // the least, for each power of ten of members; 0: none
  double max_suspicion_factor = 4;            // the most, in multiples of the least
  Time gossip_interval = 100 * kMillisecond;  // between two rounds of gossip
  std::size_t gossip_fanout = 3;              // members in a round
  // A dead member is pinged so often by all others together; kNever: not at all.
  Time dead_ping_interval = kSecond;
  // What may be sent, but for probes and their answers, which are never held back. The burst lets a member
  // learn of all others when all start at once, so it grows with the list where that is long.
  double bytes_per_second = 1900, burst_bytes = 32'000, burst_bytes_per_member = 48;
  std::uint8_t newest = kNewestVersion;
  bool refute_suspicion = true;  // false only in tests that show what incarnations are for
};

struct Datagram {
  Number to = 0;
  std::string bytes;
};
// Another package's payload, from one member to another: delivered once, late or never.
struct ApplicationMessage {
  Number from = 0;
  std::string bytes;
};
struct Out {
  std::vector<Datagram> datagrams;
  std::vector<ApplicationMessage> messages;  // that have arrived
  std::vector<Change> changes;
};

// What the next process of this member starts from.
struct MembershipSnapshot {
  struct Known {
    Number number = 0;
    Standing standing;
    RecordVersion version;
    std::string facts;
  };
  Incarnation incarnation = 0;
  std::uint32_t record = 0;  // sequence of its own record
  std::vector<Known> members;
};

// Datagrams that were dropped, by cause.
struct Drops {
  std::uint64_t too_short = 0, too_long = 0, foreign = 0, version = 0, checksum = 0, malformed = 0;
  std::uint64_t unknown_sender = 0;  // from an address that is no member's; counted by the transport
  std::uint64_t misaddressed = 0;    // not for this member, or not from the one whose address it came from
  void count(Fault fault);
};

class Fleet {
 public:
  // `self` is among `members`. `first`: this process's incarnation. Throws std::invalid_argument.
  Fleet(const Settings& settings, const std::vector<Listed>& members, Incarnation first, std::uint64_t seed);

  // Before start(): continues with the view and the incarnation of the process before this one.
  void restore(const MembershipSnapshot& remembered, Time now);
  MembershipSnapshot snapshot() const;

  void start(Time now, Out& out);
  // `from`: whose listed address it came from.
  void receive(Time now, Number from, std::string_view datagram, Out& out);
  // Wanted at due(), and after each other call again.
  void onTime(Time now, Out& out);
  Time due() const { return due_; }
  // Tells some members, who pass it on. From then on this member only answers.
  void leave(Time now, Out& out);
  // Replaces the list of members; `self` must be on it. Throws std::invalid_argument and changes nothing
  // then.
  void setMembers(Time now, const std::vector<Listed>& members);
  // Sets this member's own record. Records that are not urgent are sent at most once in 0.2 s for each live
  // member, so that those of all members together fit the room that datagrams have left; urgent ones spread
  // as fast as deaths.
  void setFacts(Time now, const Facts& facts, bool urgent = false);
  // At most kMaxApplicationPayload bytes, in a datagram of its own. False: too long, or there is no such
  // member.
  bool sendMessage(Time now, Number to, std::string bytes, Out& out);
  // Sends nothing until then: another process may be about to take over this number.
  void suspendSending(Time now, Time until);
  // A datagram that claims this member's number came from elsewhere.
  void onClaimed(Time now) { duplicate_.onClaimed(now); }

  View view(Time now) const;
  Doubt doubt(Time now) const;
  const Roster& roster() const { return roster_; }
  Incarnation incarnation() const { return self().standing.incarnation; }
  const Drops& drops() const { return drops_; }
  const LocalHealth& health() const { return health_; }
  std::uint64_t refuted() const { return refuted_; }  // suspicions of this member
  // Another process holds this member's number.
  bool duplicateDetected(Time now) const;

 private:
  struct Probe {
    std::size_t slot = 0;
    std::uint32_t sequence = 0;
    Time timeout = 0;    // when helpers are asked
    Time resend_at = 0;  // when the target is pinged anew
    Time end = 0;        // when the probe has failed
    bool indirect_sent = false, answered = false;
    std::size_t helpers = 0, nacks = 0;
  };
  struct Relay {  // an indirect probe on behalf of another member
    Number requester = 0, subject = 0;
    std::uint32_t request_sequence = 0;  // the requester's sequence
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

  static constexpr Time kJoinInterval = 100 * kMillisecond;     // between tries until a first member answers
  static constexpr Time kCompareRecordsInterval = 5 * kSecond;  // with one member by chance

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
  bool restored_ = false;  // the view was taken over from the process before this one
  Time clock_ = 0;         // of the last call
  Time due_ = kNever, started_at_ = 0;
  Time next_probe_at_ = 0, next_gossip_at_ = 0;  // the next of each
  Time compare_records_at_ = 0, compare_standings_at_ = kLongAgo;
  Time changed_at_ = 0, agreed_at_ = kLongAgo, paused_at_ = kLongAgo, sending_suspended_until_ = kLongAgo;
  Time unreachable_pinged_at_ = 0;
  double unreachable_jitter_ = 1;           // of the time until the next try
  std::optional<std::string> unpublished_;  // this member's own record, not sent yet
  Time published_at_ = kLongAgo;
};

}  // namespace client_proxy::fleet
