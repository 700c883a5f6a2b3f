// The state machine of a proxy's subscription to the shared configuration: decides which replica to watch,
// which changes to apply and what to acknowledge. It has neither I/O nor a clock: the caller passes events
// together with the current time and carries out the returned actions. Times are microseconds on any
// monotonic clock.
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

/// Identifies a watch on a replica; later watches have higher ids.
using WatchId = std::uint64_t;

/// Settings of a subscription; all times are microseconds.
struct Settings {
  distribution::MemberId member = 0;
  std::string region;             ///< of this proxy; empty: not configured
  std::vector<Replica> replicas;  ///< at least one
  std::uint64_t seed = 0;         ///< of the random delays
  /// The first acknowledgement uses the next sequence number. Must be larger than any sequence number that
  /// this member has used in an earlier run.
  std::uint64_t last_sequence = 0;

  Time connect_timeout = kSecond;           ///< limit for establishing a connection
  Time idle_timeout = 4300 * kMillisecond;  ///< two missed heartbeats (one is sent every 2 s) and a margin
  Time max_failover_delay = kSecond;        ///< random, before the next replica; prevents a connection flood
  Time backoff_initial = 500 * kMillisecond,
       backoff_max = 4 * kSecond;    ///< for reconnects, each randomly varied by up to 50 %
  Time stable_after = 10 * kSecond;  ///< a watch that has received lines for this long resets the back-off
  Time failback_min = 5 * kMinute,
       failback_max = 15 * kMinute;  ///< until the preferred replica is tried again
  Time quorum_search_min = 10 * kSecond,
       quorum_search_max = 5 * kMinute;          ///< without a quorum: until another replica is tried
  Time acknowledge_jitter = 500 * kMillisecond;  ///< random delay before a change is acknowledged
  Time acknowledge_interval = kMinute;           ///< while nothing changes
  Time store_retry_initial = kSecond,
       store_retry_max = kMinute;  ///< back-off for a change that could not be stored
};

/// The shared configuration in force at the proxy.
struct InForce {
  distribution::Version version = 0;
  std::string digest;           ///< of `text`
  std::string text;             ///< the base of deltas
  bool restart_needed = false;  ///< part of it takes effect only after a restart
  /// False if the text differs from the one published as `version`, because the file was edited locally. The
  /// subscription then requests the full text and applies this version again.
  bool as_published = true;
};

/// Outcome of applying a change.
enum class Outcome : std::uint8_t {
  Taken,      ///< in force and stored on disk
  Refused,    ///< failed validation
  NotStored,  ///< valid, but could not be written to disk; the subscription retries
};
struct ApplyResult {
  Outcome outcome = Outcome::Taken;
  std::string error{};  ///< unless Taken
  bool restart_needed = false;
};

// ---- actions ----

/// Open a watch. To be answered with connected() or lost().
struct OpenWatch {
  WatchId watch = 0;
  std::size_t replica = 0;         ///< index into Settings::replicas
  distribution::Version from = 0;  ///< version in force; 0 requests the full text
  std::string digest;              ///< of the text in force
};
/// Close a watch; its later events are ignored.
struct CloseWatch {
  WatchId watch = 0;
};
/// Validate, store and activate a change. To be answered with applied() before any other event.
struct Apply {
  distribution::Change change;
};
/// Send an acknowledgement. To be answered with acknowledged() at any later time.
struct SendAcknowledgement {
  std::size_t replica = 0;
  distribution::Acknowledgement acknowledgement;
};
/// Write a line to the log.
struct Report {
  std::string text;
  bool error = false;
};
using Action = std::variant<OpenWatch, CloseWatch, Apply, SendAcknowledgement, Report>;
using Actions = std::vector<Action>;

/// Event counts since the start.
struct Counters {
  std::uint64_t taken = 0;       ///< changes
  std::uint64_t refused = 0;     ///< changes that failed validation
  std::uint64_t not_stored = 0;  ///< failed attempts to write a change to disk
  std::uint64_t faults = 0;      ///< invalid changes from replicas, see Subscription::received()
  std::uint64_t watches = 0;     ///< watches opened
  /// Watches opened after the first.
  std::uint64_t reconnects() const { return watches > 0 ? watches - 1 : 0; }
};

/// The subscription of one proxy. Every event returns the actions to carry out, in order.
class Subscription {
 public:
  Subscription(Settings settings, InForce in_force);

  /// Opens the first watch.
  Actions start(Time now);
  /// Closes all watches; start() may be called again afterwards.
  Actions stop();

  /// The watch's connection is established and its request is being sent.
  Actions connected(WatchId watch, Time now);
  /// A line was received on a watch. A change is a fault, and never applied, if its version is lower than the
  /// one in force, if it has the same version with a different digest, if its delta is based on an unknown
  /// version, or if its text or the result of its delta does not match its digest. Faults are logged and
  /// reported with the acknowledgement. After a wrong delta the subscription requests the full text from the
  /// same replica, after any other fault it moves to another one.
  Actions received(WatchId watch, const distribution::WatchLine& line, Time now);
  /// A watch could not be established, failed, ended or sent malformed data.
  Actions lost(WatchId watch, const std::string& reason, Time now);
  /// Result of the last Apply action.
  Actions applied(const ApplyResult& result, Time now);
  /// The last SendAcknowledgement action has ended; it is retried with back-off if not delivered.
  Actions acknowledged(bool delivered, Time now);
  /// The configuration in force was replaced by other means than a change, for instance by a reload of the
  /// edited file. Forgets earlier refusals, since a refused change may be valid now, and reopens the watch.
  Actions replaced(InForce in_force, Time now);

  /// The time of the next call of due(), unless another event comes first; kNever: none is scheduled.
  Time nextDue() const;
  /// Handles all timers that have expired.
  Actions due(Time now);

  const InForce& inForce() const { return in_force_; }
  /// The last change that was not applied, until one is applied or replaced() is called.
  const std::optional<distribution::Refusal>& refusal() const { return refusal_; }
  /// Index into Settings::replicas of the watched replica; nullopt before a line was received on the current
  /// watch.
  std::optional<std::size_t> watchedReplica() const;
  /// True if the watched replica has reported that it has no quorum.
  bool withoutQuorum() const { return without_quorum_; }
  const Counters& counters() const { return counters_; }

 private:
  struct Watch {
    WatchId id = 0;
    std::size_t position = 0;  // index into order_
    bool connected = false;
    bool line_received = false;
    Time first_line_at = 0;
    Time deadline = 0;  // the watch is closed if no event arrives until then
  };

  Watch open(std::size_t position, Time now, Actions& actions);
  void openCurrent(Time now, Actions& actions);
  void loseCurrent(const std::string& reason, Time now, Actions& actions);
  void dropCandidate(Time now, Actions& actions);
  void promoteCandidate(Time now, Actions& actions);
  void tryCandidate(std::size_t position, Time now, Actions& actions);
  void onQuorum(bool quorum, Time now);
  void onChangeNotice(const distribution::ChangeNotice& notice, Time now, Actions& actions);
  void onDelta(const distribution::ChangeNotice& notice, const distribution::Delta& delta, Time now,
               Actions& actions);
  bool rejectIfFaulty(const distribution::ChangeNotice& notice, Time now, Actions& actions);
  bool isAlreadyHandled(const distribution::ChangeNotice& notice) const;
  const std::string* baseTextOf(const distribution::Delta& delta) const;
  void commitPendingChange(bool restart_needed, Actions& actions);
  void recordFailedApply(const ApplyResult& result, Time now, Actions& actions);
  void reportFault(const distribution::ChangeNotice& notice, const std::string& error, Time now,
                   Actions& actions);
  void applyChange(distribution::Change change, Actions& actions);
  void scheduleAcknowledgement(Time now);
  void sendAcknowledgement(Time now, Actions& actions);
  // Uniformly distributed in [0, max).
  Time randomUpTo(Time max) { return static_cast<Time>(random_.unit() * static_cast<double>(max)); }
  Time randomBetween(Time min, Time max) { return min + randomUpTo(max - min); }
  // Exponential back-off after `failures` consecutive failures, randomly varied by up to 50 %.
  Time backoff(Time initial, Time max, std::uint32_t failures);
  const Replica& replicaAt(std::size_t position) const { return settings_.replicas[order_[position]]; }

  Settings settings_;
  std::vector<std::size_t> order_;  // indices into settings_.replicas
  load_balancer::Random random_;
  InForce in_force_;
  bool running_ = false;

  std::optional<Watch> current_;
  std::optional<Watch> candidate_;  // may replace current_, which stays open until then
  WatchId last_watch_ = 0;
  std::size_t position_ = 0;         // of current_ or of the next replica to try
  Time open_at_ = kNever;            // while there is no current_
  std::uint32_t failures_ = 0;       // consecutive
  bool full_text_required_ = false;  // after a wrong delta
  Time failback_at_ = kNever;
  bool without_quorum_ = false;
  Time quorum_search_at_ = kNever;
  std::uint32_t candidates_without_quorum_ = 0;  // consecutive

  // The last change passed to the proxy, until one is applied. The next delta may be based on it.
  std::optional<distribution::Change> pending_change_;
  Time store_retry_at_ = kNever;  // next attempt to apply pending_change_ after a storage error
  std::uint32_t store_failures_ = 0;
  std::optional<distribution::Refusal> refusal_;

  Time acknowledge_at_ = kNever;
  bool acknowledging_ = false;
  std::uint32_t acknowledge_failures_ = 0;
  std::uint64_t sequence_;
  Counters counters_;
};

}  // namespace client_proxy::subscription
