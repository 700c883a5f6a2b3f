// What one proxy does to have the newest shared configuration in force: which replica it watches, which
// changes it takes, what it acknowledges. A state machine without I/O and clock: events go in with the time
// at which they happen, actions come out. Times are microseconds on any clock that does not go back.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "distribution/types.h"
#include "random/random.h"
#include "subscription/replica_order.h"

namespace client_proxy::subscription {

using Time = std::int64_t;
constexpr Time kMillisecond = 1'000, kSecond = 1'000'000, kMinute = 60 * kSecond;
constexpr Time kNever = INT64_MAX;

/// A watch on a replica; a later one has a higher number.
using WatchId = std::uint64_t;

struct Settings {
  distribution::MemberId member = 0;
  std::string region;             ///< of this proxy; empty: not said
  std::vector<Replica> replicas;  ///< at least one
  std::uint64_t seed = 0;         ///< of the waits
  /// The sequence number of the first acknowledgement is the one after it. It must be larger than any that
  /// this member has used in an earlier life.
  std::uint64_t last_sequence = 0;

  Time connect = kSecond;              ///< for a connection to be made
  Time silence = 4300 * kMillisecond;  ///< two heartbeats (one every 2 s) are missing, and a little more
  Time move_wait = kSecond;  ///< the most before the next replica is asked, so that not all come at once
  Time backoff_first = 500 * kMillisecond, backoff_most = 4 * kSecond;  ///< each with up to 50 % more or less
  Time settled = 10 * kSecond;  ///< a watch that lasted so long ends the back-off
  Time return_least = 5 * kMinute, return_most = 15 * kMinute;   ///< until the first replica is tried again
  Time better_least = 10 * kSecond, better_most = 5 * kMinute;   ///< without a quorum: until another is tried
  Time acknowledge_spread = 500 * kMillisecond;                  ///< the most before a change is acknowledged
  Time acknowledge_again = kMinute;                              ///< where nothing changes
  Time store_again_first = kSecond, store_again_most = kMinute;  ///< a change that could not be stored
};

/// What is in force at the proxy.
struct InForce {
  distribution::Version version = 0;
  std::string digest;           ///< of `text`
  std::string text;             ///< that deltas are applied to
  bool restart_needed = false;  ///< part of it takes effect at the next start only
  /// False: the text is not the one that was published as `version` (somebody edited the file). The whole
  /// text is asked for then, and this version is taken again.
  bool as_published = true;
};

enum class Outcome : std::uint8_t {
  Taken,      ///< in force, and on disk
  Refused,    ///< it does not check here
  NotStored,  ///< it checks, but could not be written: it is tried again
};
struct ApplyResult {
  Outcome outcome = Outcome::Taken;
  std::string error{};  ///< of the other two
  bool restart_needed = false;
};

// ---- actions ----

struct OpenWatch {
  WatchId watch = 0;
  std::size_t replica = 0;  ///< index into Settings::replicas
  distribution::Version from = 0;
  std::string digest;
};
struct CloseWatch {
  WatchId watch = 0;
};
/// To be answered with applied() before any other event.
struct Apply {
  distribution::Change change;
};
/// To be answered with acknowledged(), sooner or later.
struct SendAcknowledgement {
  std::size_t replica = 0;
  distribution::Acknowledgement acknowledgement;
};
/// For the log.
struct Report {
  std::string text;
  bool error = false;
};
using Action = std::variant<OpenWatch, CloseWatch, Apply, SendAcknowledgement, Report>;
using Actions = std::vector<Action>;

/// Since the start.
struct Counters {
  std::uint64_t taken = 0;       ///< changes
  std::uint64_t refused = 0;     ///< changes that did not check here
  std::uint64_t not_stored = 0;  ///< tries to write a change that failed
  std::uint64_t faults = 0;      ///< changes that no right replica would send: see Subscription::heard()
  std::uint64_t watches = 0;     ///< that were opened; the first is no reconnect
  std::uint64_t reconnects() const { return watches > 0 ? watches - 1 : 0; }
};

class Subscription {
 public:
  Subscription(Settings settings, InForce in_force);

  /// Opens the first watch.
  Actions start(Time now);
  /// Closes all watches; start() begins anew.
  Actions stop();

  /// A connection was made and the call sent.
  Actions connected(WatchId watch, Time now);
  /// A line of a watch. A change is never taken where its version is lower than what is in force, or the same
  /// with another digest, or its delta does not give the text of its digest: these are faults, told in the
  /// log and with the acknowledgement. After a wrong delta the whole text is asked for; after the others
  /// another replica.
  Actions heard(WatchId watch, const distribution::WatchLine& line, Time now);
  /// It could not be made, broke, ended or sent what can't be read.
  Actions lost(WatchId watch, const std::string& why, Time now);
  Actions applied(const ApplyResult& result, Time now);
  Actions acknowledged(bool delivered, Time now);
  /// Something else is in force than what the last change said: the operator has replaced the file. What was
  /// refused before may check now.
  Actions replaced(InForce in_force, Time now);

  /// When due() is to be called next, unless another event comes first; kNever: not at all.
  Time nextDue() const;
  Actions due(Time now);

  const InForce& inForce() const { return in_force_; }
  /// The newest change that was not taken, until one is.
  const std::optional<distribution::Refusal>& refusal() const { return refusal_; }
  /// The replica that is watched: an index into Settings::replicas. Nothing: none at the moment.
  std::optional<std::size_t> watchedReplica() const;
  /// The watched replica hears no quorum.
  bool withoutQuorum() const { return without_quorum_; }
  const Counters& counters() const { return counters_; }

 private:
  struct Watch {
    WatchId id = 0;
    std::size_t position = 0;  // in order_
    bool connected = false;
    bool heard = false;
    Time heard_first = 0;
    Time deadline = 0;  // it is given up then
  };

  Watch open(std::size_t position, Time now, Actions& actions);
  void openCurrent(Time now, Actions& actions);
  void loseCurrent(const std::string& why, Time now, Actions& actions);
  void dropCandidate(Time now, Actions& actions);
  void promoteCandidate(Time now, Actions& actions);
  void tryCandidate(std::size_t position, Time now, Actions& actions);
  void onQuorum(bool quorum, Time now);
  void onNotice(const distribution::ChangeNotice& notice, Time now, Actions& actions);
  void onDelta(const distribution::ChangeNotice& notice, const distribution::Delta& delta, Time now,
               Actions& actions);
  bool isFault(const distribution::ChangeNotice& notice, Time now, Actions& actions);
  bool isKnown(const distribution::ChangeNotice& notice) const;
  const std::string* textOf(const distribution::Delta& delta) const;
  void takeOffered(bool restart_needed, Actions& actions);
  void keepBack(const ApplyResult& result, Time now, Actions& actions);
  void fault(const distribution::ChangeNotice& notice, const std::string& error, Time now, Actions& actions);
  void offer(distribution::Change change, Actions& actions);
  void wantAcknowledgement(Time now);
  void sendAcknowledgement(Time now, Actions& actions);
  Time upTo(Time most) { return static_cast<Time>(random_.unit() * static_cast<double>(most)); }
  Time between(Time least, Time most) { return least + upTo(most - least); }
  Time backoff(Time first, Time most, std::uint32_t failures);
  const Replica& replicaAt(std::size_t position) const { return settings_.replicas[order_[position]]; }

  Settings settings_;
  std::vector<std::size_t> order_;  // indices into settings_.replicas
  load_balancer::Random random_;
  InForce in_force_;
  bool running_ = false;

  std::optional<Watch> current_;
  std::optional<Watch> candidate_;  // that may take the place of current_, which goes on until then
  WatchId last_watch_ = 0;
  std::size_t position_ = 0;    // of current_, or of the next to be tried
  Time open_at_ = kNever;       // where there is no current_
  std::uint32_t failures_ = 0;  // one after the other
  bool whole_wanted_ = false;   // a delta gave a wrong text
  Time return_at_ = kNever;
  bool without_quorum_ = false;
  Time better_at_ = kNever;
  std::uint32_t not_better_ = 0;  // candidates without a quorum, one after the other

  // The last change that was offered to the proxy, until one is taken: the next delta may be to it.
  std::optional<distribution::Change> offered_;
  Time store_at_ = kNever;  // it is offered again then, for it could not be stored
  std::uint32_t store_failures_ = 0;
  std::optional<distribution::Refusal> refusal_;

  Time acknowledge_at_ = kNever;
  bool acknowledging_ = false;
  std::uint32_t acknowledge_failures_ = 0;
  std::uint64_t sequence_;
  Counters counters_;
};

}  // namespace client_proxy::subscription
