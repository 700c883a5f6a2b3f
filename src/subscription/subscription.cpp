#include "subscription/subscription.h"

#include <algorithm>
#include <utility>

#include "distribution/delta.h"
#include "distribution/digest.h"

namespace client_proxy::subscription {
namespace {

using distribution::Change;
using distribution::ChangeNotice;
using distribution::Delta;

Change changeOf(const ChangeNotice& notice, std::string text) {
  return {.version = notice.version,
          .id = notice.id,
          .author = notice.author,
          .published_ms = notice.published_ms,
          .text = std::move(text),
          .digest = notice.digest,
          .previous_digest = notice.previous_digest};
}

// Limits the message to the size allowed in an acknowledgement.
std::string truncated(std::string error) {
  if (error.size() <= distribution::kMaxErrorBytes) return error;
  error.resize(distribution::kMaxErrorBytes);
  // Avoid cutting within a UTF-8 character (RFC 3629, 3).
  while (!error.empty() && (static_cast<unsigned char>(error.back()) & 0x80U) != 0) error.pop_back();
  return error;
}

}  // namespace

Subscription::Subscription(Settings settings, InForce in_force)
    : settings_(std::move(settings)),
      order_(replicaOrder(settings_.member, settings_.region, settings_.replicas)),
      random_(settings_.seed),
      in_force_(std::move(in_force)),
      sequence_(settings_.last_sequence) {}

// ---- the watch ----

Actions Subscription::start(Time now) {
  Actions actions;
  running_ = true;
  position_ = 0;
  failures_ = 0;
  openCurrent(now, actions);
  return actions;
}

Actions Subscription::stop() {
  Actions actions;
  running_ = false;
  if (current_) actions.push_back(CloseWatch{current_->id});
  if (candidate_) actions.push_back(CloseWatch{candidate_->id});
  current_.reset();
  candidate_.reset();
  open_at_ = failback_at_ = quorum_search_at_ = store_retry_at_ = acknowledge_at_ = kNever;
  without_quorum_ = acknowledging_ = false;
  pending_change_.reset();
  return actions;
}

Subscription::Watch Subscription::open(std::size_t position, Time now, Actions& actions) {
  ++counters_.watches;
  Watch watch;
  watch.id = ++last_watch_;
  watch.position = position;
  watch.deadline = now + settings_.connect_timeout;
  const bool full_text = full_text_required_ || !in_force_.as_published;
  actions.push_back(
      OpenWatch{watch.id, order_[position], full_text ? 0 : in_force_.version, in_force_.digest});
  return watch;
}

void Subscription::openCurrent(Time now, Actions& actions) {
  open_at_ = kNever;
  without_quorum_ = false;
  quorum_search_at_ = kNever;
  current_ = open(position_, now, actions);
}

Actions Subscription::connected(WatchId id, Time now) {
  for (std::optional<Watch>* const watch : {&current_, &candidate_}) {
    if (!*watch || (*watch)->id != id) continue;
    (*watch)->connected = true;
    (*watch)->deadline = now + settings_.idle_timeout;
  }
  if (current_ && current_->id == id) scheduleAcknowledgement(now);
  return {};
}

Actions Subscription::lost(WatchId id, const std::string& reason, Time now) {
  Actions actions;
  if (candidate_ && candidate_->id == id) dropCandidate(now, actions);
  if (current_ && current_->id == id) loseCurrent(reason, now, actions);
  return actions;
}

void Subscription::loseCurrent(const std::string& reason, Time now, Actions& actions) {
  const Watch watch = *std::exchange(current_, std::nullopt);
  actions.push_back(CloseWatch{watch.id});
  if (watch.line_received && now - watch.first_line_at >= settings_.stable_after) failures_ = 0;
  // Many subscribers may lose the same replica at once; a random delay spreads their reconnects.
  const Time wait = failures_ == 0 ? randomUpTo(settings_.max_failover_delay)
                                   : backoff(settings_.backoff_initial, settings_.backoff_max, failures_);
  if (failures_ == 0)
    actions.push_back(
        Report{"replica " + std::to_string(replicaAt(watch.position).number) + " lost: " + reason});
  ++failures_;
  failback_at_ = quorum_search_at_ = kNever;
  if (candidate_) {  // already connecting or connected
    current_ = std::exchange(candidate_, std::nullopt);
    position_ = current_->position;
    return;
  }
  position_ = (watch.position + 1) % order_.size();
  open_at_ = now + wait;
}

Time Subscription::backoff(Time initial, Time max, std::uint32_t failures) {
  constexpr std::uint32_t kMostDoublings = 20;
  const Time doubled = initial << std::min(failures > 0 ? failures - 1 : 0, kMostDoublings);
  const Time wait = std::min(doubled, max);
  return wait / 2 + randomUpTo(wait);
}

// ---- candidate watches ----

void Subscription::tryCandidate(std::size_t position, Time now, Actions& actions) {
  if (candidate_ || position == current_->position) return;
  candidate_ = open(position, now, actions);
}

void Subscription::dropCandidate(Time now, Actions& actions) {
  actions.push_back(CloseWatch{candidate_->id});
  candidate_.reset();
  if (without_quorum_) {
    ++candidates_without_quorum_;
    quorum_search_at_ =
        now + backoff(settings_.quorum_search_min, settings_.quorum_search_max, candidates_without_quorum_);
  }
  if (current_ && current_->position != 0 && failback_at_ == kNever)
    failback_at_ = now + randomBetween(settings_.failback_min, settings_.failback_max);
}

void Subscription::promoteCandidate(Time now, Actions& actions) {
  actions.push_back(CloseWatch{current_->id});
  current_ = std::exchange(candidate_, std::nullopt);
  position_ = current_->position;
  without_quorum_ = false;
  failback_at_ = quorum_search_at_ = kNever;
  actions.push_back(Report{"moved to replica " + std::to_string(replicaAt(position_).number)});
  scheduleAcknowledgement(now);
}

void Subscription::onQuorum(bool quorum, Time now) {
  if (without_quorum_ == !quorum) return;
  without_quorum_ = !quorum;
  candidates_without_quorum_ = 0;
  quorum_search_at_ = quorum || order_.size() < 2
                          ? kNever
                          : now + backoff(settings_.quorum_search_min, settings_.quorum_search_max, 0);
}

// ---- received lines ----

Actions Subscription::received(WatchId id, const distribution::WatchLine& line, Time now) {
  Actions actions;
  const auto* const quorum = std::get_if<distribution::QuorumNotice>(&line);
  if (candidate_ && candidate_->id == id) {
    if (quorum != nullptr && !quorum->quorum) {
      dropCandidate(now, actions);
      return actions;
    }
    promoteCandidate(now, actions);
  }
  if (!current_ || current_->id != id) return actions;
  if (!current_->line_received) {
    current_->line_received = true;
    current_->first_line_at = now;
    if (position_ != 0) failback_at_ = now + randomBetween(settings_.failback_min, settings_.failback_max);
    if (failures_ > 0)
      actions.push_back(Report{"replica " + std::to_string(replicaAt(position_).number) + " connected"});
  }
  current_->deadline = now + settings_.idle_timeout;
  if (quorum != nullptr) onQuorum(quorum->quorum, now);
  if (const auto* const notice = std::get_if<ChangeNotice>(&line)) onChangeNotice(*notice, now, actions);
  return actions;
}

// ---- changes ----

void Subscription::onChangeNotice(const ChangeNotice& notice, Time now, Actions& actions) {
  if (rejectIfFaulty(notice, now, actions)) return;
  if (const auto* const delta = std::get_if<Delta>(&notice.content)) {
    if (!isAlreadyHandled(notice)) onDelta(notice, *delta, now, actions);
    return;
  }
  const std::string& text = std::get<std::string>(notice.content);
  if (distribution::digestOf(text) != notice.digest) {
    reportFault(notice, "the text has a different digest", now, actions);
    return loseCurrent("its text does not match the digest", now, actions);
  }
  full_text_required_ = false;
  if (!isAlreadyHandled(notice)) applyChange(changeOf(notice, text), actions);
}

bool Subscription::rejectIfFaulty(const ChangeNotice& notice, Time now, Actions& actions) {
  const std::string current = std::to_string(in_force_.version);
  if (notice.version < in_force_.version) {
    reportFault(notice, "version " + current + " is in force, which is newer", now, actions);
    loseCurrent("it sent an older version", now, actions);
    return true;
  }
  const bool different_text = notice.version == in_force_.version && notice.digest != in_force_.digest;
  if (different_text && in_force_.as_published) {
    reportFault(notice, "version " + current + " is in force with a different text", now, actions);
    loseCurrent("it sent a different text for the version in force", now, actions);
    return true;
  }
  return false;
}

// True if the change is in force, was refused by this proxy or waits to be stored.
bool Subscription::isAlreadyHandled(const ChangeNotice& notice) const {
  if (notice.version == in_force_.version && notice.digest == in_force_.digest) return true;
  return pending_change_ && pending_change_->version == notice.version &&
         pending_change_->digest == notice.digest;
}

// Returns null if the delta's base is neither in force nor pending.
const std::string* Subscription::baseTextOf(const Delta& delta) const {
  if (delta.base == in_force_.version && delta.base_digest == in_force_.digest) return &in_force_.text;
  const bool to_pending = pending_change_ && delta.base == pending_change_->version &&
                          delta.base_digest == pending_change_->digest;
  return to_pending ? &pending_change_->text : nullptr;
}

void Subscription::onDelta(const ChangeNotice& notice, const Delta& delta, Time now, Actions& actions) {
  const std::string* const base = baseTextOf(delta);
  std::optional<std::string> text;
  if (base != nullptr) text = distribution::applyDelta(delta, *base);
  if (text && distribution::digestOf(*text) == notice.digest)
    return applyChange(changeOf(notice, std::move(*text)), actions);
  reportFault(notice,
              base != nullptr ? "the delta produces a text with a different digest"
                              : "the delta is based on an unknown version",
              now, actions);
  if (full_text_required_)
    return loseCurrent("it sent a wrong delta although the full text was requested", now, actions);
  full_text_required_ = true;
  actions.push_back(CloseWatch{current_->id});
  openCurrent(now, actions);
}

void Subscription::reportFault(const ChangeNotice& notice, const std::string& error, Time now,
                               Actions& actions) {
  ++counters_.faults;
  refusal_ = distribution::Refusal{notice.version, notice.digest, error};
  actions.push_back(Report{"version " + std::to_string(notice.version) + " from replica " +
                               std::to_string(replicaAt(position_).number) + " not applied: " + error,
                           true});
  scheduleAcknowledgement(now);
}

void Subscription::applyChange(Change change, Actions& actions) {
  store_retry_at_ = kNever;
  store_failures_ = 0;
  pending_change_ = std::move(change);
  actions.push_back(Apply{*pending_change_});
}

Actions Subscription::applied(const ApplyResult& result, Time now) {
  Actions actions;
  if (!pending_change_) return actions;
  result.outcome == Outcome::Taken ? commitPendingChange(result.restart_needed, actions)
                                   : recordFailedApply(result, now, actions);
  scheduleAcknowledgement(now);
  return actions;
}

void Subscription::commitPendingChange(bool restart_needed, Actions& actions) {
  Change change = std::move(*pending_change_);
  pending_change_.reset();
  refusal_.reset();
  ++counters_.taken;
  actions.push_back(
      Report{"version " + std::to_string(change.version) + " by " + change.author + " is in force"});
  in_force_ = {change.version, std::move(change.digest), std::move(change.text), restart_needed, true};
}

void Subscription::recordFailedApply(const ApplyResult& result, Time now, Actions& actions) {
  refusal_ =
      distribution::Refusal{pending_change_->version, pending_change_->digest, truncated(result.error)};
  actions.push_back(
      Report{"version " + std::to_string(pending_change_->version) + " not applied: " + result.error, true});
  if (result.outcome == Outcome::Refused) {
    ++counters_.refused;
    return;
  }
  ++counters_.not_stored;
  store_retry_at_ =
      now + backoff(settings_.store_retry_initial, settings_.store_retry_max, ++store_failures_);
}

Actions Subscription::replaced(InForce in_force, Time now) {
  Actions actions;
  in_force_ = std::move(in_force);
  refusal_.reset();
  pending_change_.reset();
  store_retry_at_ = kNever;
  scheduleAcknowledgement(now);
  if (!running_ || !current_) return actions;
  actions.push_back(CloseWatch{current_->id});
  openCurrent(now, actions);
  return actions;
}

// ---- acknowledgements ----

void Subscription::scheduleAcknowledgement(Time now) {
  acknowledge_failures_ = 0;
  acknowledge_at_ = std::min(acknowledge_at_, now + randomUpTo(settings_.acknowledge_jitter));
}

void Subscription::sendAcknowledgement(Time now, Actions& actions) {
  distribution::Acknowledgement a;
  a.member = settings_.member;
  a.sequence = ++sequence_;
  a.version = in_force_.version;
  a.digest = in_force_.digest;
  a.restart_needed = in_force_.restart_needed;
  a.refused = refusal_;
  acknowledging_ = true;
  acknowledge_at_ = now + settings_.acknowledge_interval;
  actions.push_back(SendAcknowledgement{order_[position_], std::move(a)});
}

Actions Subscription::acknowledged(bool delivered, Time now) {
  acknowledging_ = false;
  if (delivered) {
    acknowledge_failures_ = 0;
  } else {
    const Time wait =
        backoff(settings_.backoff_initial, settings_.acknowledge_interval, ++acknowledge_failures_);
    acknowledge_at_ = std::min(acknowledge_at_, now + wait);
  }
  return {};
}

// ---- timers ----

std::optional<std::size_t> Subscription::watchedReplica() const {
  if (!current_ || !current_->line_received) return std::nullopt;
  return order_[position_];
}

Time Subscription::nextDue() const {
  Time next = std::min({open_at_, failback_at_, quorum_search_at_, store_retry_at_});
  if (current_) next = std::min(next, current_->deadline);
  if (candidate_) next = std::min(next, candidate_->deadline);
  if (current_ && current_->connected && !acknowledging_) next = std::min(next, acknowledge_at_);
  return next;
}

Actions Subscription::due(Time now) {
  Actions actions;
  if (!running_) return actions;
  if (candidate_ && now >= candidate_->deadline) dropCandidate(now, actions);
  if (current_ && now >= current_->deadline) loseCurrent("timeout", now, actions);
  if (now >= open_at_) openCurrent(now, actions);
  if (current_ && now >= failback_at_) {
    failback_at_ = kNever;
    tryCandidate(0, now, actions);
  }
  if (current_ && now >= quorum_search_at_) {
    quorum_search_at_ = kNever;
    tryCandidate((position_ + 1 + candidates_without_quorum_ % (order_.size() - 1)) % order_.size(), now,
                 actions);
  }
  if (current_ && current_->connected && !acknowledging_ && now >= acknowledge_at_)
    sendAcknowledgement(now, actions);
  if (now >= store_retry_at_ && pending_change_) {
    store_retry_at_ = kNever;
    actions.push_back(Apply{*pending_change_});
  }
  return actions;
}

}  // namespace client_proxy::subscription
