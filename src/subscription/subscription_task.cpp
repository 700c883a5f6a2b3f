#include "subscription/subscription_task.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "distribution/codec.h"

namespace client_proxy::subscription {
namespace {

// Returns a sequence number larger than any of an earlier run, as long as a run sends fewer than 2^20
// acknowledgements per millisecond.
std::uint64_t sequenceAt(Time now) {
  constexpr unsigned kCounterBits = 20;
  return static_cast<std::uint64_t>(now / kMillisecond) << kCounterBits;
}

Counters sum(const Counters& a, const Counters& b) {
  return {a.taken + b.taken, a.refused + b.refused, a.not_stored + b.not_stored, a.faults + b.faults,
          a.watches + b.watches};
}

// Formats one metric with its TYPE line.
std::string metric(const std::string& name, const char* type, std::uint64_t value) {
  return "# TYPE " + name + " " + type + "\n" + name + " " + std::to_string(value) + "\n";
}

}  // namespace

SubscriptionTask::SubscriptionTask(boost::asio::io_context& io, const Clock& clock, Settings settings,
                                   ApplyChange apply, LogLine log)
    : io_(io),
      clock_(clock),
      settings_(std::move(settings)),
      apply_(std::move(apply)),
      log_(std::move(log)),
      timer_(io) {}

SubscriptionTask::~SubscriptionTask() { stop(); }

void SubscriptionTask::start(InForce in_force) {
  stop();
  subscription::Settings s;
  s.member = settings_.member;
  s.region = settings_.region;
  s.seed = settings_.seed;
  s.last_sequence = sequenceAt(clock_.now());
  for (const ReplicaAddress& replica : settings_.replicas)
    s.replicas.push_back({replica.number, replica.region});
  subscription_.emplace(std::move(s), std::move(in_force));
  enqueue([this] { return subscription_->start(clock_.now()); });
}

void SubscriptionTask::stop() {
  ++run_;
  if (subscription_) previous_runs_ = sum(previous_runs_, subscription_->counters());
  subscription_.reset();
  events_.clear();
  applying_ = false;
  for (const auto& [id, watch] : watches_) watch->stop();
  watches_.clear();
  if (call_) call_->stop();
  call_.reset();
  timer_due_ = kNever;
  timer_.cancel();
}

void SubscriptionTask::replaced(std::function<InForce()> read) {
  if (!subscription_) return;
  enqueue([this, read = std::move(read)] { return subscription_->replaced(read(), clock_.now()); });
}

// ---- events ----

void SubscriptionTask::onConnected(WatchId watch) {
  enqueue([this, watch] { return subscription_->connected(watch, clock_.now()); });
}

void SubscriptionTask::onLine(WatchId watch, distribution::WatchLine line) {
  enqueue(
      [this, watch, line = std::move(line)] { return subscription_->received(watch, line, clock_.now()); });
}

void SubscriptionTask::onLost(WatchId watch, const std::string& reason) {
  watches_.erase(watch);
  enqueue([this, watch, reason] { return subscription_->lost(watch, reason, clock_.now()); });
}

void SubscriptionTask::enqueue(Event event) {
  events_.push_back(std::move(event));
  runEvents();
}

void SubscriptionTask::runEvents() {
  if (executing_) return;  // called from within the loop below, which processes the event
  executing_ = true;
  while (!applying_ && !events_.empty()) {
    const Event event = std::move(events_.front());
    events_.pop_front();
    execute(event());
  }
  executing_ = false;
  if (!applying_) armTimer();
}

void SubscriptionTask::armTimer() {
  const Time next = subscription_ ? subscription_->nextDue() : kNever;
  if (next == kNever || timer_due_ <= next) return;  // an earlier timer is armed, which rearms when it fires
  timer_due_ = next;
  timer_.expires_after(std::chrono::microseconds(std::max<Time>(next - clock_.now(), 0)));
  timer_.async_wait([this, alive = std::weak_ptr(alive_), run = run_](boost::system::error_code ec) {
    if (ec || alive.expired() || run != run_) return;
    timer_due_ = kNever;
    enqueue([this] { return subscription_->due(clock_.now()); });
  });
}

// ---- actions ----

void SubscriptionTask::execute(Actions actions) {
  const std::uint64_t run = run_;
  for (const Action& action : actions) {
    std::visit([this](const auto& alternative) { execute(alternative); }, action);
    if (run != run_) return;
  }
}

void SubscriptionTask::execute(const OpenWatch& action) {
  const auto watch =
      std::make_shared<WatchConnection>(io_, static_cast<WatchHandler&>(*this), traffic_, action.watch);
  watches_[action.watch] = watch;
  watch->start(settings_.replicas[action.replica].endpoint,
               "/v1/configuration?watch=1&member=" + std::to_string(settings_.member) +
                   "&from=" + std::to_string(action.from) + "&digest=" + action.digest);
}

void SubscriptionTask::execute(const CloseWatch& action) {
  const auto watch = watches_.find(action.watch);
  if (watch == watches_.end()) return;
  watch->second->stop();
  watches_.erase(watch);
}

void SubscriptionTask::execute(const Apply& action) {
  applying_ = true;
  apply_(action.change, [this, alive = std::weak_ptr(alive_), run = run_](const ApplyResult& result) {
    if (alive.expired() || run != run_) return;
    applying_ = false;
    events_.push_front([this, result] { return subscription_->applied(result, clock_.now()); });
    runEvents();
  });
}

void SubscriptionTask::execute(const SendAcknowledgement& action) {
  std::string body;
  try {
    body = distribution::formatAcknowledgement(action.acknowledgement);
  } catch (const distribution::CodecError&) {
    distribution::Acknowledgement sanitized = action.acknowledgement;
    sanitized.refused->error = "the error message is not valid UTF-8; see the log of this member";
    body = distribution::formatAcknowledgement(sanitized);
  }
  ++traffic_.acknowledgements;
  call_ = std::make_shared<AcknowledgementCall>(io_, traffic_, [this](bool delivered) {
    enqueue([this, delivered] { return subscription_->acknowledged(delivered, clock_.now()); });
  });
  call_->start(settings_.replicas[action.replica].endpoint, body);
}

void SubscriptionTask::execute(const Report& action) const {
  if (log_) log_("configuration: " + action.text, action.error);
}

// ---- metrics and status ----

std::string SubscriptionTask::figures() const {
  const Counters all = subscription_ ? sum(previous_runs_, subscription_->counters()) : previous_runs_;
  const bool refused = subscription_ && subscription_->refusal().has_value();
  std::string out =
      metric("app_configuration_version", "gauge", subscription_ ? subscription_->inForce().version : 0);
  out += metric("app_configuration_refused", "gauge", refused ? subscription_->refusal()->version : 0);
  out += metric("app_configuration_watching", "gauge",
                subscription_ && subscription_->watchedReplica().has_value() ? 1 : 0);
  out += metric("app_configuration_taken_total", "counter", all.taken);
  out += metric("app_configuration_refused_total", "counter", all.refused);
  out += metric("app_configuration_not_stored_total", "counter", all.not_stored);
  out += metric("app_configuration_faults_total", "counter", all.faults);
  out += metric("app_configuration_reconnects_total", "counter", all.reconnects());
  out += metric("app_configuration_acknowledgements_total", "counter", traffic_.acknowledgements);
  out += metric("app_configuration_bytes_in_total", "counter", traffic_.bytes_in);
  out += metric("app_configuration_bytes_out_total", "counter", traffic_.bytes_out);
  return out;
}

std::string SubscriptionTask::page() const {
  nlohmann::ordered_json page = {{"running", subscription_.has_value()}, {"member", settings_.member}};
  if (subscription_) {
    const InForce& in_force = subscription_->inForce();
    const std::optional<std::size_t> watched = subscription_->watchedReplica();
    page["version"] = in_force.version;
    page["digest"] = in_force.digest;
    page["as_published"] = in_force.as_published;
    page["restart_needed"] = in_force.restart_needed;
    page["replica"] = watched ? nlohmann::ordered_json(settings_.replicas[*watched].number) : nullptr;
    page["quorum"] = !subscription_->withoutQuorum();
    page["refused"] = nullptr;
    if (const auto& refusal = subscription_->refusal())
      page["refused"] = {
          {"version", refusal->version}, {"digest", refusal->digest}, {"error", refusal->error}};
  }
  constexpr int kIndent = 2;
  return page.dump(kIndent, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace client_proxy::subscription
