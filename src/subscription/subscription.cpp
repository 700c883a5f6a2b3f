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

std::string shortened(std::string error) {
  if (error.size() <= distribution::kMaxErrorBytes) return error;
  error.resize(distribution::kMaxErrorBytes);
  // Not in the middle of a UTF-8 character (RFC 3629, 3).
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
  open_at_ = return_at_ = better_at_ = store_at_ = acknowledge_at_ = kNever;
  without_quorum_ = acknowledging_ = false;
  offered_.reset();
  return actions;
}

Subscription::Watch Subscription::open(std::size_t position, Time now, Actions& actions) {
  ++counters_.watches;
  Watch watch;
  watch.id = ++last_watch_;
  watch.position = position;
  watch.deadline = now + settings_.connect;
  const bool whole = whole_wanted_ || !in_force_.as_published;
  actions.push_back(OpenWatch{watch.id, order_[position], whole ? 0 : in_force_.version, in_force_.digest});
  return watch;
}

void Subscription::openCurrent(Time now, Actions& actions) {
  open_at_ = kNever;
  without_quorum_ = false;
  better_at_ = kNever;
  current_ = open(position_, now, actions);
}

Actions Subscription::connected(WatchId id, Time now) {
  for (std::optional<Watch>* const watch : {&current_, &candidate_}) {
    if (!*watch || (*watch)->id != id) continue;
    (*watch)->connected = true;
    (*watch)->deadline = now + settings_.silence;
  }
  if (current_ && current_->id == id) wantAcknowledgement(now);
  return {};
}

Actions Subscription::lost(WatchId id, const std::string& why, Time now) {
  Actions actions;
  if (candidate_ && candidate_->id == id) dropCandidate(now, actions);
  if (current_ && current_->id == id) loseCurrent(why, now, actions);
  return actions;
}

void Subscription::loseCurrent(const std::string& why, Time now, Actions& actions) {
  const Watch watch = *std::exchange(current_, std::nullopt);
  actions.push_back(CloseWatch{watch.id});
  if (watch.heard && now - watch.heard_first >= settings_.settled) failures_ = 0;
  // What is seen by many at once is not answered by all at once.
  const Time wait = failures_ == 0 ? upTo(settings_.move_wait)
                                   : backoff(settings_.backoff_first, settings_.backoff_most, failures_);
  if (failures_ == 0)
    actions.push_back(
        Report{"replica " + std::to_string(replicaAt(watch.position).number) + " lost: " + why});
  ++failures_;
  return_at_ = better_at_ = kNever;
  if (candidate_) {  // it is asked already
    current_ = std::exchange(candidate_, std::nullopt);
    position_ = current_->position;
    return;
  }
  position_ = (watch.position + 1) % order_.size();
  open_at_ = now + wait;
}

Time Subscription::backoff(Time first, Time most, std::uint32_t failures) {
  constexpr std::uint32_t kMostDoublings = 20;
  const Time doubled = first << std::min(failures > 0 ? failures - 1 : 0, kMostDoublings);
  const Time wait = std::min(doubled, most);
  return wait / 2 + upTo(wait);
}

// ---- another replica that may be better ----

void Subscription::tryCandidate(std::size_t position, Time now, Actions& actions) {
  if (candidate_ || position == current_->position) return;
  candidate_ = open(position, now, actions);
}

void Subscription::dropCandidate(Time now, Actions& actions) {
  actions.push_back(CloseWatch{candidate_->id});
  candidate_.reset();
  if (without_quorum_) {
    ++not_better_;
    better_at_ = now + backoff(settings_.better_least, settings_.better_most, not_better_);
  }
  if (current_ && current_->position != 0 && return_at_ == kNever)
    return_at_ = now + between(settings_.return_least, settings_.return_most);
}

void Subscription::promoteCandidate(Time now, Actions& actions) {
  actions.push_back(CloseWatch{current_->id});
  current_ = std::exchange(candidate_, std::nullopt);
  position_ = current_->position;
  without_quorum_ = false;
  return_at_ = better_at_ = kNever;
  actions.push_back(Report{"moved to replica " + std::to_string(replicaAt(position_).number)});
  wantAcknowledgement(now);
}

void Subscription::onQuorum(bool quorum, Time now) {
  if (without_quorum_ == !quorum) return;
  without_quorum_ = !quorum;
  not_better_ = 0;
  better_at_ =
      quorum || order_.size() < 2 ? kNever : now + backoff(settings_.better_least, settings_.better_most, 0);
}

// ---- lines ----

Actions Subscription::heard(WatchId id, const distribution::WatchLine& line, Time now) {
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
  if (!current_->heard) {
    current_->heard = true;
    current_->heard_first = now;
    if (position_ != 0) return_at_ = now + between(settings_.return_least, settings_.return_most);
    if (failures_ > 0)
      actions.push_back(Report{"replica " + std::to_string(replicaAt(position_).number) + " is watched"});
  }
  current_->deadline = now + settings_.silence;
  if (quorum != nullptr) onQuorum(quorum->quorum, now);
  if (const auto* const notice = std::get_if<ChangeNotice>(&line)) onNotice(*notice, now, actions);
  return actions;
}

// ---- changes ----

void Subscription::onNotice(const ChangeNotice& notice, Time now, Actions& actions) {
  if (isFault(notice, now, actions)) return;
  if (const auto* const delta = std::get_if<Delta>(&notice.content)) {
    if (!isKnown(notice)) onDelta(notice, *delta, now, actions);
    return;
  }
  const std::string& text = std::get<std::string>(notice.content);
  if (distribution::digestOf(text) != notice.digest) {
    fault(notice, "the text has another digest", now, actions);
    return loseCurrent("its text has another digest", now, actions);
  }
  whole_wanted_ = false;
  if (!isKnown(notice)) offer(changeOf(notice, text), actions);
}

bool Subscription::isFault(const ChangeNotice& notice, Time now, Actions& actions) {
  const std::string held = std::to_string(in_force_.version);
  if (notice.version < in_force_.version) {
    fault(notice, "version " + held + " is in force, which is higher", now, actions);
    loseCurrent("it has an older version", now, actions);
    return true;
  }
  const bool other_text = notice.version == in_force_.version && notice.digest != in_force_.digest;
  if (other_text && in_force_.as_published) {
    fault(notice, "version " + held + " is in force with another text", now, actions);
    loseCurrent("it has another text of the version in force", now, actions);
    return true;
  }
  return false;
}

// In force, refused here already, or waiting to be stored.
bool Subscription::isKnown(const ChangeNotice& notice) const {
  if (notice.version == in_force_.version && notice.digest == in_force_.digest) return true;
  return offered_ && offered_->version == notice.version && offered_->digest == notice.digest;
}

const std::string* Subscription::textOf(const Delta& delta) const {
  if (delta.base == in_force_.version && delta.base_digest == in_force_.digest) return &in_force_.text;
  const bool to_offered =
      offered_ && delta.base == offered_->version && delta.base_digest == offered_->digest;
  return to_offered ? &offered_->text : nullptr;
}

void Subscription::onDelta(const ChangeNotice& notice, const Delta& delta, Time now, Actions& actions) {
  const std::string* const base = textOf(delta);
  std::optional<std::string> text;
  if (base != nullptr) text = distribution::applyDelta(delta, *base);
  if (text && distribution::digestOf(*text) == notice.digest)
    return offer(changeOf(notice, std::move(*text)), actions);
  fault(notice,
        base != nullptr ? "the delta gives a text with another digest"
                        : "the delta is to a version that is not here",
        now, actions);
  if (whole_wanted_)
    return loseCurrent("it sent a wrong delta where the whole text was asked for", now, actions);
  whole_wanted_ = true;
  actions.push_back(CloseWatch{current_->id});
  openCurrent(now, actions);
}

void Subscription::fault(const ChangeNotice& notice, const std::string& error, Time now, Actions& actions) {
  ++counters_.faults;
  refusal_ = distribution::Refusal{notice.version, notice.digest, error};
  actions.push_back(Report{"version " + std::to_string(notice.version) + " from replica " +
                               std::to_string(replicaAt(position_).number) + " not taken: " + error,
                           true});
  wantAcknowledgement(now);
}

void Subscription::offer(Change change, Actions& actions) {
  store_at_ = kNever;
  store_failures_ = 0;
  offered_ = std::move(change);
  actions.push_back(Apply{*offered_});
}

Actions Subscription::applied(const ApplyResult& result, Time now) {
  Actions actions;
  if (!offered_) return actions;
  result.outcome == Outcome::Taken ? takeOffered(result.restart_needed, actions)
                                   : keepBack(result, now, actions);
  wantAcknowledgement(now);
  return actions;
}

void Subscription::takeOffered(bool restart_needed, Actions& actions) {
  Change change = std::move(*offered_);
  offered_.reset();
  refusal_.reset();
  ++counters_.taken;
  actions.push_back(
      Report{"version " + std::to_string(change.version) + " by " + change.author + " is in force"});
  in_force_ = {change.version, std::move(change.digest), std::move(change.text), restart_needed, true};
}

void Subscription::keepBack(const ApplyResult& result, Time now, Actions& actions) {
  refusal_ = distribution::Refusal{offered_->version, offered_->digest, shortened(result.error)};
  actions.push_back(
      Report{"version " + std::to_string(offered_->version) + " not taken: " + result.error, true});
  if (result.outcome == Outcome::Refused) {
    ++counters_.refused;
    return;
  }
  ++counters_.not_stored;
  store_at_ = now + backoff(settings_.store_again_first, settings_.store_again_most, ++store_failures_);
}

Actions Subscription::replaced(InForce in_force, Time now) {
  Actions actions;
  in_force_ = std::move(in_force);
  refusal_.reset();
  offered_.reset();
  store_at_ = kNever;
  wantAcknowledgement(now);
  if (!running_ || !current_) return actions;
  actions.push_back(CloseWatch{current_->id});
  openCurrent(now, actions);
  return actions;
}

// ---- acknowledgements ----

void Subscription::wantAcknowledgement(Time now) {
  acknowledge_failures_ = 0;
  acknowledge_at_ = std::min(acknowledge_at_, now + upTo(settings_.acknowledge_spread));
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
  acknowledge_at_ = now + settings_.acknowledge_again;
  actions.push_back(SendAcknowledgement{order_[position_], std::move(a)});
}

Actions Subscription::acknowledged(bool delivered, Time now) {
  acknowledging_ = false;
  if (delivered) {
    acknowledge_failures_ = 0;
  } else {
    const Time wait = backoff(settings_.backoff_first, settings_.acknowledge_again, ++acknowledge_failures_);
    acknowledge_at_ = std::min(acknowledge_at_, now + wait);
  }
  return {};
}

// ---- time ----

std::optional<std::size_t> Subscription::watchedReplica() const {
  if (!current_ || !current_->heard) return std::nullopt;
  return order_[position_];
}

Time Subscription::nextDue() const {
  Time next = std::min({open_at_, return_at_, better_at_, store_at_});
  if (current_) next = std::min(next, current_->deadline);
  if (candidate_) next = std::min(next, candidate_->deadline);
  if (current_ && current_->connected && !acknowledging_) next = std::min(next, acknowledge_at_);
  return next;
}

Actions Subscription::due(Time now) {
  Actions actions;
  if (!running_) return actions;
  if (candidate_ && now >= candidate_->deadline) dropCandidate(now, actions);
  if (current_ && now >= current_->deadline) loseCurrent("silent", now, actions);
  if (now >= open_at_) openCurrent(now, actions);
  if (current_ && now >= return_at_) {
    return_at_ = kNever;
    tryCandidate(0, now, actions);
  }
  if (current_ && now >= better_at_) {
    better_at_ = kNever;
    tryCandidate((position_ + 1 + not_better_ % (order_.size() - 1)) % order_.size(), now, actions);
  }
  if (current_ && current_->connected && !acknowledging_ && now >= acknowledge_at_)
    sendAcknowledgement(now, actions);
  if (now >= store_at_ && offered_) {
    store_at_ = kNever;
    actions.push_back(Apply{*offered_});
  }
  return actions;
}

}  // namespace client_proxy::subscription
