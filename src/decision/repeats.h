// Whether a request may be sent once more, or refused, given what its attempts may have done; and how much
// may be repeated in all.
#pragma once

#include "zones.h"

namespace load_balancer::decision {

struct Repeats : Zones {
  void fitRepeats() {
    some_repeatable =
        std::any_of(settings.classes.begin(), settings.classes.end(),
                    [](const RequestClass& k) { return k.idempotency != Idempotency::NonIdempotent; });
  }

  const RequestClass& classOf(const Live& r) const {
    return settings.classes[static_cast<std::size_t>(r.request_class)];
  }
  bool mayTryAgain(const Live& r) const {
    const std::int32_t own = classOf(r).max_attempts, most = own > 0 ? own : settings.max_attempts;
    return static_cast<std::int32_t>(r.attempts.size()) < most;
  }
  // A server that has failed is tried with what may be repeated, where there is any.
  bool fitForTrial(const Live& r) const {
    return classOf(r).idempotency != Idempotency::NonIdempotent || !some_repeatable;
  }

  // A repeat of a keyed request that may have run goes to the group of its first attempt only; what one zone
  // alone may run goes there.
  bool bound(const Live& r) const {
    if (r.required_zone != kUnset) return true;
    return classOf(r).idempotency == Idempotency::IdempotentWithKey &&
           classOf(r).deduplication_scope != DeduplicationScope::All && !neverRan(r);
  }

  // ---- the gate: rule 2 and the drain check, for every send and every refusal ----

  // May this request be sent (to `s`), given what its attempts may have done? Without `s`: to anyone. `self`:
  // the attempt in question, chosen already.
  bool mayRepeat(const Live& r, const Server* s, const Attempt* self = nullptr) const {
    if (self == nullptr && !mayTryAgain(r)) return false;
    const RequestClass& c = classOf(r);
    for (const Attempt& a : r.attempts) {
      if (a.run == Run::NeverRan || &a == self) continue;
      if (a.run == Run::Outstanding) return false;  // never two at once
      if (c.idempotency == Idempotency::NonIdempotent) return false;
      if (c.idempotency == Idempotency::Idempotent) continue;
      if (now >= a.sent + c.deduplication_window - settings.tick) return false;
      if (s != nullptr && c.deduplication_scope == DeduplicationScope::Zone && a.zone != s->host.zone)
        return false;
      if (s != nullptr && c.deduplication_scope == DeduplicationScope::Cell && a.cell != s->host.cell)
        return false;
    }
    return true;
  }
  bool gate(const Live& r, const Server& s, const Attempt* self = nullptr) const {
    return !r.ended && !r.streaming && s.inService() && now < r.deadline && mayRepeat(r, &s, self) &&
           (r.required_zone == kUnset || r.required_zone == s.host.zone);
  }
  bool mayRefuse(const Live& r) const {
    const RequestClass& c = classOf(r);
    return c.idempotency == Idempotency::Idempotent ||
           (c.idempotency == Idempotency::IdempotentWithKey &&
            c.deduplication_scope == DeduplicationScope::All) ||
           neverRan(r);
  }

  void earnRepeats() {
    budget = std::min(kMostRepeats, budget + kRepeats);
    futile = std::min(kMostRepeats, futile + kRepeats);
  }
  bool spendRepeat() { return budget >= 1 && (budget -= 1, true); }
  // Its client gives it up before its answer would have lost its worth.
  bool impatient(const Live& r) const { return r.deadline - r.arrived < classOf(r).latency_objective; }
  bool tooImpatient(const Live& r) const { return impatient(r) && futile < 1; }
  // What its client gives up has cost its server as much as an answer, and clients that come again at once
  // can keep a whole fleet busy with it: it is bounded like repeats. Answers in time cost nothing here.
  void judgePatience(const Live& r, Result result) {
    if (impatient(r) && (result == Result::TimedOut || result == Result::Cancelled))
      futile = std::max(0.0, futile - 1);
  }

  // Allowed for each request: bounded extra load in overload; as many for clients that will not wait.
  static constexpr double kRepeats = 0.15;
  static constexpr double kMostRepeats = 10;  // a burst of either: what a small failure needs at once

  static bool neverRan(const Live& r) {
    return std::all_of(r.attempts.begin(), r.attempts.end(), [](auto& a) { return a.run == Run::NeverRan; });
  }

  double budget = kMostRepeats / 2, futile = kMostRepeats / 2;
  bool some_repeatable = false;
};

}  // namespace load_balancer::decision
