// The task that keeps one proxy's subscription: its sockets and timer around the state machine. It runs on
// the loop that it is given and needs nothing else of a proxy, so a bench can run many in one process.
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

struct ReplicaAddress {
  std::uint32_t number = 0;
  boost::asio::ip::tcp::endpoint at;
  std::string region;  ///< empty: not said
};

class SubscriptionTask final : private WatchHandler {
 public:
  struct Settings {
    distribution::MemberId member = 0;
    std::string region;  ///< empty: not said
    std::vector<ReplicaAddress> replicas;
    std::uint64_t seed = 0;  ///< of the waits; another at each start
  };
  /// To be called once, on the same loop, at once or later.
  using Done = std::function<void(ApplyResult)>;
  /// Checks a change, stores it and puts it in force. Nothing else is taken until it is done.
  using ApplyChange = std::function<void(const distribution::Change&, Done)>;
  using LogLine = std::function<void(const std::string&, bool error)>;

  SubscriptionTask(boost::asio::io_context& io, const Clock& clock, Settings settings, ApplyChange apply,
                   LogLine log);
  ~SubscriptionTask() override;
  SubscriptionTask(const SubscriptionTask&) = delete;
  SubscriptionTask& operator=(const SubscriptionTask&) = delete;

  /// Opens the first watch. After stop() it begins anew.
  void start(InForce in_force);
  /// Closes all connections.
  void stop();
  bool running() const { return subscription_.has_value(); }
  /// Somebody else has replaced what is in force: `read` says with what, when its turn has come.
  void replaced(std::function<InForce()> read);

  /// Null: it does not run.
  const Subscription* subscription() const { return subscription_ ? &*subscription_ : nullptr; }
  const Traffic& traffic() const { return traffic_; }
  /// In Prometheus' text format.
  std::string figures() const;
  /// For operators, as JSON.
  std::string page() const;

 private:
  using Event = std::function<Actions()>;

  void onConnected(WatchId watch) override;
  void onLine(WatchId watch, distribution::WatchLine line) override;
  void onLost(WatchId watch, const std::string& why) override;
  void happen(Event event);
  void runEvents();
  void carryOut(Actions actions);
  void carryOut(const OpenWatch& action);
  void carryOut(const CloseWatch& action);
  void carryOut(const Apply& action);
  void carryOut(const SendAcknowledgement& action);
  void carryOut(const Report& action) const;
  void arm();

  boost::asio::io_context& io_;
  const Clock& clock_;
  const Settings settings_;
  const ApplyChange apply_;
  const LogLine log_;
  boost::asio::steady_timer timer_;
  Time armed_for_ = kNever;
  std::optional<Subscription> subscription_;
  std::map<WatchId, std::shared_ptr<WatchConnection>> watches_;
  std::shared_ptr<AcknowledgementCall> call_;
  std::deque<Event> events_;  // wait until a change is applied
  bool applying_ = false, carrying_out_ = false;
  std::uint64_t life_ = 0;  // counts start() and stop(): what is of an earlier one means nothing
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  Traffic traffic_;
  Counters earlier_;  // of the lives before this
};

}  // namespace client_proxy::subscription
