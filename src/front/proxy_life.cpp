// The front's life cycle: start, drain, hot restart and shutdown. src/lifecycle decides when.
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "front/proxy.h"

namespace client_proxy {

using admission::RejectionReason;

template <typename Event>
void Proxy::withLifecycle(Event event) {
  lifecycle::Steps steps;
  event(steps);
  for (const lifecycle::Step& step : steps) executeStep(step);
  armLifecycleTimer();
}

void Proxy::start(hot_restart::State state) {
  predecessor_clock_shift_ = state.clock_offset ? clock_.offset() - *state.clock_offset : 0;
  shiftTimes(state, predecessor_clock_shift_);
  HostList known = std::exchange(config_.known, {});
  if (!state.hosts.empty()) {
    try {
      known = parseHostList(state.hosts, config_.zones, BadEntry::PassOver);
    } catch (const std::runtime_error& e) {
      log_.line(std::string("ignoring the host list of the previous process: ") + e.what(),
                LogLevel::Warning);
    }
  }
  duplicates_.restore(clock_.now(), state.tried);
  pool_.start(std::move(known), state.servers);
  if (state.drained) drainClients();
  listen();
}

hot_restart::State Proxy::state() const {
  hot_restart::State state;
  state.hosts = formatHostList(pool_.hosts(), config_.zones);
  state.servers = pool_.snapshot();
  state.drained = drained();
  state.tried = duplicates_.snapshot(clock_.now());
  state.clock_offset = clock_.offset();
  return state;
}

void Proxy::recordPredecessorRequests(std::vector<admission::RequestRecord> tried) {
  hot_restart::shiftTimes(tried, predecessor_clock_shift_);
  duplicates_.restore(clock_.now(), tried);
}

void Proxy::handOn(hot_restart::Successor successor) {
  successor_ = std::move(successor);
  if (successor_.tell) {  // before any client can send a duplicate there
    if (const auto records = duplicates_.snapshot(clock_.now()); !records.empty()) successor_.tell(records);
    successor_.tell({});  // an empty list ends the transfer
  }
  withLifecycle([this](lifecycle::Steps& steps) { lifecycle_.onHandOn(steps); });
}

void Proxy::rollBack() {
  successor_ = {};
  withLifecycle([this](lifecycle::Steps& steps) { lifecycle_.onRollBack(steps); });
}

void Proxy::executeStep(const lifecycle::Step& step) {
  using Kind = lifecycle::Step::Kind;
  switch (step.kind) {
    case Kind::SendAway:
      return server_.drain(true);
    case Kind::Keep:
      return server_.drain(false);
    case Kind::CloseIdle:
      return server_.closeIdle(step.rested);
    case Kind::GiveAway:
      pool_.keepConnections(false);
      return server_.handOn(successor_.give);
    case Kind::RollBack:
      pool_.keepConnections(true);
      return server_.keepAll();
    case Kind::StopListening:
      return server_.stopListening();
    case Kind::AnswerAll:
      return setShutdownDeadline(step.by);
    case Kind::Leave:
      return done_();
  }
}

// As in armPermitTimer(), a new timer is set only if it is due earlier than those already set.
void Proxy::armLifecycleTimer() {
  const Time due = lifecycle_.due();
  if (due >= lifecycle_timer_due_) return;
  lifecycle_timer_due_ = due;
  timers_.at(due, [this, due] {
    if (lifecycle_timer_due_ == due) lifecycle_timer_due_ = kNever;
    withLifecycle(
        [this](lifecycle::Steps& steps) { lifecycle_.onTime(clock_.now(), remainingConnections(), steps); });
  });
}

// Every request is answered by `by`. Those that still wait for a permit then are rejected.
void Proxy::setShutdownDeadline(Time by) {
  shutdown_deadline_ = by;
  pool_.finishBy(by);
  timers_.at(by, [this] {
    std::vector<admission::Refusal> expired;
    for (const auto& [id, queued] : waiting_) expired.push_back({id, RejectionReason::Shutdown});
    for (const admission::Refusal& r : expired) requests_.release(clock_.now(), r.id);
    rejectWaiting(expired);
  });
}

void Proxy::drainClients() {
  withLifecycle([this](lifecycle::Steps& steps) {
    if (lifecycle_.onDrain(clock_.now(), steps)) log_.line("draining clients by operator command");
  });
}

void Proxy::undrainClients() {
  withLifecycle([this](lifecycle::Steps& steps) {
    if (lifecycle_.onUndrain(steps)) log_.line("accepting clients again by operator command");
  });
}

void Proxy::shutdown(std::function<void()> done) {
  withLifecycle([&](lifecycle::Steps& steps) {
    if (!lifecycle_.onEnd(clock_.now(), steps)) return;
    done_ = std::move(done);
    log_.line("shutting down");
  });
}

}  // namespace client_proxy
