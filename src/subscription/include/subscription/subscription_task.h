// Runs a proxy's subscription: provides the sockets and the timer for the state machine in subscription.h. It
// needs nothing of a proxy but an event loop, so a benchmark can run many subscriptions in one process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/clock.h"
#include "subscription/acknowledgement_call.h"
#include "subscription/subscription.h"
#include "subscription/watch_connection.h"

namespace client_proxy::subscription {

/// A replica and its address.
struct ReplicaAddress {
  std::uint32_t number = 0;
  boost::asio::ip::tcp::endpoint endpoint;
  std::string region;  ///< empty: not configured
};

/// One subscription on an event loop; not thread-safe.
class SubscriptionTask final : private WatchHandler {
 public:
  struct Settings {
    distribution::MemberId member = 0;
    std::string region;  ///< empty: not configured
    std::vector<ReplicaAddress> replicas;
    std::uint64_t seed = 0;  ///< of the random delays; should differ at each start
  };
  /// Must be called exactly once, on the same event loop, either synchronously or later.
  using Done = std::function<void(ApplyResult)>;
  /// Validates a change, stores it on disk and activates it. Events are queued until Done is called.
  using ApplyChange = std::function<void(const distribution::Change&, Done)>;
  /// Writes a line to the log.
  using LogLine = std::function<void(const std::string&, bool error)>;

  SubscriptionTask(boost::asio::io_context& io, const Clock& clock, Settings settings, ApplyChange apply,
                   LogLine log);
  ~SubscriptionTask() override;
  SubscriptionTask(const SubscriptionTask&) = delete;
  SubscriptionTask& operator=(const SubscriptionTask&) = delete;

  /// Opens the first watch. May be called again, which stops the previous run.
  void start(InForce in_force);
  /// Closes all connections and discards queued events.
  void stop();
  bool running() const { return subscription_.has_value(); }
  /// The configuration in force was replaced by other means than a change. `read` returns the new one; it is
  /// called when the event is processed, which may be later.
  void replaced(std::function<InForce()> read);

  /// Null while stopped.
  const Subscription* subscription() const { return subscription_ ? &*subscription_ : nullptr; }
  /// Since construction, over all runs.
  const Traffic& traffic() const { return traffic_; }
  /// Metrics in the Prometheus text format.
  std::string figures() const;
  /// Status for operators, as JSON.
  std::string page() const;

 private:
  using Event = std::function<Actions()>;

  void onConnected(WatchId watch) override;
  void onLine(WatchId watch, distribution::WatchLine line) override;
  void onLost(WatchId watch, const std::string& reason) override;
  void enqueue(Event event);
  void runEvents();
  void execute(Actions actions);
  void execute(const OpenWatch& action);
  void execute(const CloseWatch& action);
  void execute(const Apply& action);
  void execute(const SendAcknowledgement& action);
  void execute(const Report& action) const;
  void armTimer();

  boost::asio::io_context& io_;
  const Clock& clock_;
  const Settings settings_;
  const ApplyChange apply_;
  const LogLine log_;
  boost::asio::steady_timer timer_;
  Time timer_due_ = kNever;
  std::optional<Subscription> subscription_;
  std::map<WatchId, std::shared_ptr<WatchConnection>> watches_;
  std::shared_ptr<AcknowledgementCall> call_;
  std::deque<Event> events_;  // queued while a change is being applied
  bool applying_ = false, executing_ = false;
  std::uint64_t run_ = 0;  // incremented by start() and stop(); callbacks of an earlier run are ignored
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Traffic traffic_;
  Counters previous_runs_;  // totals of the runs before the current one
};

}  // namespace client_proxy::subscription
