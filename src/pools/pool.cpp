#include "pools/pool.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "net/head_rules.h"
#include "platform/settings.h"

namespace client_proxy {
namespace {

using load_balancer::Action;
using load_balancer::ActionKind;
using load_balancer::ListKind;
using load_balancer::Outcome;
using load_balancer::Result;

constexpr std::uint64_t kMostKey = 1ULL << 53;

// What the request is about: the last part, as a number below 2^53 or as a stable hash of its text.
std::int64_t keyOf(std::string_view path) {
  const std::size_t slash = path.rfind('/');
  if (slash == 0 || slash == std::string_view::npos || slash + 1 == path.size()) return load_balancer::kUnset;
  const std::string_view last = path.substr(slash + 1);
  std::uint64_t key = 0;
  const auto r = std::from_chars(last.data(), last.data() + last.size(), key);
  if (r.ec != std::errc{} || r.ptr != last.data() + last.size() || key >= kMostKey) {
    key = 0xCBF29CE484222325ULL;
    for (const char c : last) key = (key ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
    key >>= 11;
  }
  return static_cast<std::int64_t>(key);
}

}  // namespace

Pool::Pool(boost::asio::io_context& io, Timers& timers, Descriptors& descriptors, Log& log, Zones& zones,
           PoolSink& sink, Config config)
    : config_(std::move(config)),
      timers_(timers),
      clock_(timers.clock()),
      log_(log),
      sink_(sink),
      zones_(zones),
      balancer_(config_.settings, config_.seed),
      upstream_(io, timers, descriptors, *this, config_.upstream) {
  if (!config_.discovery) return;
  discovery_.emplace(io, timers, zones, static_cast<DiscoverySink&>(*this), *config_.discovery,
                     config_.revision, pushed() ? Discovery::agentLimits() : Discovery::Limits{});
}

Pool::~Pool() = default;

void Pool::log(std::string_view text, LogLevel level) {
  if (config_.name.empty()) return log_.line(text, level);
  std::string whole = "pool " + config_.name + ": ";
  whole += text;
  log_.line(whole, level);
}

// What an operator has written is how it is; what a platform remembers may be old.
void Pool::start(HostList known) {
  known.full = true;
  applyList(std::move(known), discovery_ ? ListKind::Restored : ListKind::Full);
  if (pushed()) discovery_->subscribe();
}

void Pool::start(HostList known, const std::vector<load_balancer::HostSnapshot>& servers) {
  known.full = true;
  // Where it was asked may have had revisions of its own.
  if (discovery_) discovery_->askFrom(0);
  applyList(std::move(known), discovery_ ? ListKind::Restored : ListKind::Full);
  dispatch([this, &servers](Time now) { balancer_.restore(now, servers, actions_); });
  if (pushed()) discovery_->subscribe();
}

// Where lists are pushed, the module waits for them; the agent beside us that has them still wants a watch.
bool Pool::pushed() const {
  return config_.discovery && config_.settings.discovery == load_balancer::Discovery::Push;
}

std::optional<Endpoint> Pool::discoveryEndpoint() const {
  return discovery_ ? std::optional(discovery_->endpoint()) : std::nullopt;
}

void Pool::reconfigure(load_balancer::Settings settings, const Upstream::Limits& upstream) {
  balancer_.reconfigure(std::move(settings));
  upstream_.reconfigure(upstream);
}

// ---- events for the module ----

void Pool::performActions() {
  // Acting adds no actions: what it leads to is told afterwards.
  for (const Action& action : actions_) perform(action);
  actions_.clear();
}

void Pool::perform(const Action& action) {
  switch (action.kind) {
    case ActionKind::Send:
      return send(action);
    case ActionKind::Cancel:
      upstream_.giveUp(attemptId(action.request, action.attempt), Result::Cancelled);
      return;
    case ActionKind::Reject: {
      Answer answer = plainAnswer(503);
      if (action.time > 0) answer.retry_after = action.time;
      return finish(action.request, answer);
    }
    case ActionKind::Fail: {
      const auto it = open_.find(action.request);
      return finish(action.request, plainAnswer(it != open_.end() && it->second.timed_out ? 504 : 502));
    }
    case ActionKind::HealthCheck:
      return upstream_.probe(action.server);
    case ActionKind::Subscribe:
      if (discovery_) discovery_->subscribe();
      return;
    case ActionKind::SetTimer:
      timers_.at(action.time, [this, timer = action.timer] {
        dispatch([this, timer](Time now) { balancer_.onTimer(now, timer, actions_); });
      });
      return;
    case ActionKind::Log:
      return log(action.text);
  }
}

// ---- requests ----

void Pool::open(AdmittedRequest admitted) {
  const RequestId id = admitted.exchange;
  const Time deadline = admitted.deadline = std::min(admitted.deadline, shutdown_deadline_);
  load_balancer::Request told;
  told.id = id;
  told.request_class = admitted.request_class;
  told.tenant = admitted.tenant;
  told.key = keyOf(pathOf(admitted.request.head.target));
  if (admitted.service) told.required_zone = zones_.indexOf(admitted.zone);
  if (const auto hint = parseSeconds(admitted.request.head.weight_hint)) told.expected_work = *hint / kSecond;
  // How long a long one will be on its way nobody knows; the module need not wait for it.
  const Time most = admitted.request.rest ? admitted.patience : deadline;
  if (admitted.request.rest) {
    admitted.request.rest->onStarted([this, id] {
      if (const auto it = open_.find(id); it != open_.end()) it->second.admitted.request.body.reset();
    });
  }
  open_[id].admitted = std::move(admitted);
  timers_.at(deadline, [this, id] { onDeadline(id); });
  dispatch([this, told, deadline, most](Time now) mutable {
    told.time_left = std::min(deadline - now, most);
    balancer_.onRequest(now, told, actions_);
  });
}

void Pool::send(const Action& action) {
  const auto it = open_.find(action.request);
  if (it == open_.end()) return;
  Open& r = it->second;
  const Time now = clock_.now();
  const Time left = r.admitted.deadline - now;
  const Time time_limit = action.time > 0 ? std::min(action.time, left) : left;
  const auto attempt = static_cast<std::int32_t>(r.attempts.size());
  r.attempts.push_back(
      {.sent = now, .time_limit = time_limit, .streaming_limit = std::max(time_limit, action.longest)});
  ++r.outstanding;
  const AttemptId id = attemptId(action.request, attempt);
  // What has been taken out of a long body is not there any more.
  const bool whole = !r.admitted.request.rest || !r.admitted.request.rest->started();
  const bool may_go =
      whole && !r.answered && time_limit > 0 && action.time >= 0 && r.attempts.size() < kMostAttempts;
  if (!may_go) return onAttemptEnd(id, {});
  if (!termFor(r)) return onAttemptEnd(id, {});  // no connection is opened for nothing
  if (gate_ != nullptr) {
    const auto host = listed_.find(action.server);
    r.admitted.last_zone = host == listed_.end() ? std::string() : zones_.nameOf(host->second.host.zone);
  }
  armAttemptTimeout(action.request, r, attempt);
  upstream_.start(id, action.server,
                  {r.admitted.request.body, r.admitted.request.rest,
                   r.admitted.idempotency == load_balancer::Idempotency::NonIdempotent});
}

// A host begins when it has the last byte: until a long request's has come, no time runs for its attempts.
void Pool::armAttemptTimeout(RequestId id, const Open& r, std::int32_t attempt) {
  if (r.admitted.request.rest && r.uploaded == 0) return;
  const Attempt& a = r.attempts[static_cast<std::size_t>(attempt)];
  timers_.at(startedAt(r, a) + a.time_limit, [this, id, attempt] { onAttemptTimeout(id, attempt); });
}

void Pool::uploaded(ExchangeId id, Time received, Time deadline) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& r = it->second;
  r.uploaded = received;
  r.admitted.deadline = deadline = std::min(deadline, shutdown_deadline_);
  timers_.at(deadline, [this, id] { onDeadline(id); });
  for (std::size_t a = 0; a < r.attempts.size(); ++a) {
    if (!r.attempts[a].ended) armAttemptTimeout(id, r, static_cast<std::int32_t>(a));
  }
}

void Pool::finish(RequestId id, Answer answer) {
  const auto it = open_.find(id);
  if (it == open_.end() || it->second.answered) return;
  it->second.answered = true;
  sink_.onAnswer(it->second.admitted, std::move(answer));
  forgetIfDone(id);
}

void Pool::forgetIfDone(RequestId id) {
  const auto it = open_.find(id);
  if (it == open_.end() || !it->second.answered || it->second.outstanding > 0) return;
  const AdmittedRequest request = std::move(it->second.admitted);
  open_.erase(it);
  sink_.onCompleted(request);
}

void Pool::onAttemptTimeout(RequestId id, std::int32_t attempt) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  // A long answer that has begun is timed by its first byte.
  const Open& r = it->second;
  const Attempt& a = r.attempts[static_cast<std::size_t>(attempt)];
  if (a.ended || a.answered != 0) return;
  const Time due = std::min(startedAt(r, a) + a.streaming_limit, r.admitted.deadline);
  if (clock_.now() < due && upstream_.answering(attemptId(id, attempt))) {
    timers_.at(due, [this, id, attempt] { onAttemptTimeout(id, attempt); });
    return;
  }
  upstream_.giveUp(attemptId(id, attempt), Result::TimedOut);
}

void Pool::onDeadline(RequestId id) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  const auto attempts = static_cast<std::int32_t>(it->second.attempts.size());
  for (std::int32_t a = 0; a < attempts; ++a) onAttemptTimeout(id, a);
  const auto after = open_.find(id);
  if (after == open_.end() || after->second.answered) return;
  // The module owes an answer at the latest now. A client must not wait for a mistake of ours.
  ++missing_answers_;
  log("defect: no final answer at the deadline of request " + std::to_string(id), LogLevel::Error);
  finish(id, plainAnswer(504));
  dispatch([this, id](Time now) { balancer_.onClientDisconnected(now, id, actions_); });
}

void Pool::finishBy(Time last) {
  shutdown_deadline_ = last;
  // The module's timers first: what it holds without an attempt is answered before we look for what is not.
  dispatch([this, last](Time now) { balancer_.finishBy(now, last, actions_); });
  for (auto& [id, request] : open_) {
    request.admitted.deadline = std::min(request.admitted.deadline, last);
    timers_.at(last, [this, id = id] { onDeadline(id); });
  }
}

bool Pool::clientGone(ExchangeId id) {
  const auto it = open_.find(id);
  if (it == open_.end() || std::exchange(it->second.answered, true)) return false;
  dispatch([this, id](Time now) { balancer_.onClientDisconnected(now, id, actions_); });
  forgetIfDone(id);
  return true;
}

// ---- attempts and probes ----

void Pool::onAttemptEnd(AttemptId id, AttemptEnd end) {
  dispatch([this, id, end = std::move(end)](Time now) mutable {
    outcome(now, id / kMostAttempts, static_cast<std::int32_t>(id % kMostAttempts), std::move(end));
  });
}

std::optional<std::string> Pool::onAttemptReady(AttemptId id, bool late) {
  const Time now = clock_.now();
  const RequestId request = id / kMostAttempts;
  const auto attempt = static_cast<std::int32_t>(id % kMostAttempts);
  if (late && !balancer_.mayStart(now, request, attempt)) return std::nullopt;
  const auto it = open_.find(request);
  if (it == open_.end()) return std::nullopt;
  const Open& r = it->second;
  const std::optional<std::uint32_t> term = termFor(r);
  const Time left = timeLeft(r, r.attempts[static_cast<std::size_t>(attempt)], now);
  if (!term || left <= 0) return std::nullopt;
  return headFor(r, left, *term);
}

void Pool::outcome(Time now, RequestId id, std::int32_t attempt, AttemptEnd end) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& r = it->second;
  Attempt& a = r.attempts[static_cast<std::size_t>(attempt)];
  if (std::exchange(a.ended, true)) return;
  --r.outstanding;
  r.admitted.may_have_run |= !load_balancer::provesNotProcessed(end.result);
  r.timed_out |= end.result == Result::TimedOut;
  r.admitted.last_duration = now - startedAt(r, a);
  if (r.admitted.service && !end.term.empty()) {
    std::uint32_t newer = 0;
    const char* const last = end.term.data() + end.term.size();
    const auto read = std::from_chars(end.term.data(), last, newer);
    if (read.ec == std::errc{} && read.ptr == last) gate_->onRejectedByHost(*r.admitted.service, newer);
  }
  if (!r.answered && end.result == Result::Ok) {
    r.answered = true;
    Answer answer = plainAnswer(200);
    answer.body = std::move(end.body);
    answer.content_type = std::move(end.content_type);
    sink_.onAnswer(r.admitted, std::move(answer));
  }
  Outcome told;
  told.request = id;
  told.attempt = attempt;
  told.result = end.result;
  told.final = r.answered;
  // A host's own time: not that of a client that sends or takes a long body.
  // Nor that of an answer that is written in pieces.
  const Time begun = a.answered != 0 ? a.answered : end.begun != 0 ? end.begun : now;
  told.latency = std::max<Time>(begun - startedAt(r, a), 0);
  told.load = parseLoad(end.load);
  balancer_.onOutcome(now, told, actions_);
  forgetIfDone(id);
}

void Pool::onAttemptWritten(AttemptId id) {
  const auto it = open_.find(id / kMostAttempts);
  if (it != open_.end()) sink_.onDispatched(it->second.admitted.request_class);
}

void Pool::onAttemptAnswers(AttemptId id, LongAnswer answer) {
  dispatch([this, id, answer = std::move(answer)](Time now) mutable {
    const RequestId request = id / kMostAttempts;
    const auto attempt = static_cast<std::int32_t>(id % kMostAttempts);
    const auto it = open_.find(request);
    if (it == open_.end() || it->second.answered) return answer.rest->giveUp();
    Open& r = it->second;
    r.answered = true;
    r.attempts[static_cast<std::size_t>(attempt)].answered = now;
    balancer_.onResponseStarted(now, request, attempt, actions_);
    Answer begun = plainAnswer(200);
    begun.body = std::move(answer.body);
    begun.content_type = std::move(answer.content_type);
    begun.rest = std::move(answer.rest);
    sink_.onAnswer(r.admitted, std::move(begun));
  });
}

void Pool::onHealthCheckEnd(const std::string& uid, bool ok, Time latency, const std::string& load) {
  dispatch([this, uid, ok, latency, report = parseLoad(load)](Time now) {
    balancer_.onHealthCheck(now, uid, ok, latency, report, actions_);
  });
}

// A report that is not well-formed is no report; the answer it came with stands.
load_balancer::LoadReport Pool::parseLoad(std::string_view text) const {
  load_balancer::LoadReport report;
  if (!config_.reports || text.empty()) return report;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return {};
    const std::string_view number = pair.substr(equals + 1);
    double value = 0;
    const auto r = std::from_chars(number.data(), number.data() + number.size(), value);
    if (r.ec != std::errc{} || r.ptr != number.data() + number.size() || !(value >= 0)) return {};
    if (load_balancer::platform::isInFlightGauge(pair.substr(0, equals))) report.in_flight = value;
  }
  return report;
}

}  // namespace client_proxy
