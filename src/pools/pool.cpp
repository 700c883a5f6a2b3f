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

constexpr std::uint64_t kMaxKey = 1ULL << 53;
constexpr Time kMaxUnseenClient = 100 * kMillisecond;  // no attempt begins later after its client has left

// The balancer's key of a request: the last path segment, as a number below 2^53 or else as a stable hash
// (FNV-1a) of its text. kUnset if the path has one segment or ends in a slash.
std::int64_t keyOf(std::string_view path) {
  const std::size_t slash = path.rfind('/');
  if (slash == 0 || slash == std::string_view::npos || slash + 1 == path.size()) return load_balancer::kUnset;
  const std::string_view last = path.substr(slash + 1);
  std::uint64_t key = 0;
  const auto r = std::from_chars(last.data(), last.data() + last.size(), key);
  if (r.ec != std::errc{} || r.ptr != last.data() + last.size() || key >= kMaxKey) {
    key = 0xCBF29CE484222325ULL;
    for (const char c : last) key = (key ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
    key >>= 11;
  }
  return static_cast<std::int64_t>(key);
}

// Once its long body is being forwarded, what came first of it can't be sent again.
void releaseBody(ClientRequest& request) {
  request.body.reset();
  if (request.memory) request.memory->set(request.head.memory());
}

}  // namespace

Pool::Pool(boost::asio::io_context& io, Timers& timers, Descriptors& descriptors, Log& log, Zones& zones,
           PoolSink& sink, Config config, std::shared_ptr<MemoryAccount> memory)
    : config_(std::move(config)),
      timers_(timers),
      clock_(timers.clock()),
      log_(log),
      sink_(sink),
      zones_(zones),
      balancer_(config_.settings, config_.seed),
      upstream_(io, timers, descriptors, *this, config_.upstream, std::move(memory)) {
  if (!config_.discovery) return;
  discovery_.emplace(io, timers, zones, static_cast<DiscoverySink&>(*this), *config_.discovery,
                     config_.known_revision, usesPush() ? Discovery::agentLimits() : Discovery::Limits{});
}

Pool::~Pool() = default;

void Pool::log(std::string_view text, LogLevel level) {
  if (config_.name.empty()) return log_.line(text, level);
  std::string line = "pool " + config_.name + ": ";
  line += text;
  log_.line(line, level);
}

// A list from the operator's file is authoritative; one remembered from discovery may be stale.
void Pool::start(HostList known) {
  known.full = true;
  applyList(std::move(known), discovery_ ? ListKind::Restored : ListKind::Full);
  if (usesPush()) discovery_->subscribe();
}

void Pool::start(HostList known, const std::vector<load_balancer::HostSnapshot>& servers) {
  known.full = true;
  // The previous process may have used another discovery endpoint, whose revisions mean nothing here.
  if (discovery_) discovery_->askFrom(0);
  applyList(std::move(known), discovery_ ? ListKind::Restored : ListKind::Full);
  dispatch([this, &servers](Time now) { balancer_.restore(now, servers, actions_); });
  if (usesPush()) discovery_->subscribe();
}

// With push discovery the balancer never requests a subscription, but the local agent that pushes the lists
// needs a watch all the same.
bool Pool::usesPush() const {
  return config_.discovery && config_.settings.discovery == load_balancer::Discovery::Push;
}

std::optional<Endpoint> Pool::discoveryEndpoint() const {
  return discovery_ ? std::optional(discovery_->endpoint()) : std::nullopt;
}

void Pool::reconfigure(load_balancer::Settings settings, const Upstream::Limits& upstream) {
  balancer_.reconfigure(std::move(settings));
  upstream_.reconfigure(upstream);
}

// ---- balancer actions ----

void Pool::performActions() {
  // No action is added meanwhile: dispatch() queues the events that performing an action raises.
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
  load_balancer::Request request;
  request.id = id;
  request.request_class = admitted.request_class;
  request.tenant = admitted.tenant;
  request.key = keyOf(pathOf(admitted.request.head.target));
  if (admitted.service) request.required_zone = zones_.indexOf(admitted.zone);
  if (const auto hint = parseSeconds(admitted.request.head.weight_hint))
    request.expected_work = *hint / kSecond;
  // The upload time of a long request is unknown, so the time limit given to the balancer leaves it out.
  const Time max_time_left = admitted.request.rest ? admitted.time_after_upload : deadline;
  if (admitted.request.rest) {
    admitted.request.rest->onStarted([this, id] {
      if (const auto it = open_.find(id); it != open_.end()) releaseBody(it->second.admitted.request);
    });
  }
  const std::optional<Time> dropped_until = admitted.dropped_until;
  OpenRequest& opened = open_[id];
  opened.admitted = std::move(admitted);
  armDeadline(id, opened);
  dispatch([this, request, deadline, max_time_left, dropped_until](Time now) mutable {
    request.time_left = std::min(deadline - now, max_time_left);
    if (dropped_until) request.deduplication_time_left = *dropped_until - now;
    balancer_.onRequest(now, request, actions_);
  });
}

void Pool::send(const Action& action) {
  const auto it = open_.find(action.request);
  if (it == open_.end()) return;
  OpenRequest& r = it->second;
  const Time now = clock_.now();
  const Time left = r.admitted.deadline - now;
  const Time time_limit = action.time > 0 ? std::min(action.time, left) : left;
  const auto attempt = static_cast<std::int32_t>(r.attempts.size());
  r.attempts.push_back(
      {.sent_at = now, .time_limit = time_limit, .streaming_limit = std::max(time_limit, action.longest)});
  ++r.outstanding;
  const AttemptId id = attemptId(action.request, attempt);
  // A long body can be sent once only: the part already forwarded is no longer buffered.
  const bool body_complete = !r.admitted.request.rest || !r.admitted.request.rest->started();
  const bool may_send =
      body_complete && !r.answered && time_limit > 0 && action.time >= 0 && r.attempts.size() < kMaxAttempts;
  if (!may_send) return onAttemptEnd(id, {});
  if (!termFor(r)) return onAttemptEnd(id, {});  // avoids opening an unused connection
  if (gate_ != nullptr) {
    const auto host = listed_.find(action.server);
    r.admitted.last_zone = host == listed_.end() ? std::string() : zones_.nameOf(host->second.host.zone);
  }
  armAttemptTimeout(action.request, r, attempt);
  upstream_.start(id, action.server,
                  {r.admitted.request.body, r.admitted.request.rest,
                   r.admitted.idempotency == load_balancer::Idempotency::NonIdempotent});
}

void Pool::armDeadline(RequestId id, OpenRequest& r) {
  timers_.cancel(r.deadline_timer);
  r.deadline_timer = timers_.at(r.admitted.deadline, [this, id] { onDeadline(id); });
}

// A host starts processing once it has the last byte, so the timeout of a long request's attempts runs only
// from there.
void Pool::armAttemptTimeout(RequestId id, OpenRequest& r, std::int32_t attempt) {
  if (r.admitted.request.rest && r.upload_completed_at == 0) return;
  Attempt& a = r.attempts[static_cast<std::size_t>(attempt)];
  a.timeout = timers_.at(processingStart(r, a) + a.time_limit,
                         [this, id, attempt] { onAttemptTimeout(id, attempt); });
}

void Pool::onUploadComplete(ExchangeId id, Time received, Time deadline) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  OpenRequest& r = it->second;
  r.upload_completed_at = received;
  r.admitted.deadline = std::min(deadline, shutdown_deadline_);
  armDeadline(id, r);
  for (std::size_t a = 0; a < r.attempts.size(); ++a) {
    if (!r.attempts[a].ended) armAttemptTimeout(id, r, static_cast<std::int32_t>(a));
  }
}

void Pool::finish(RequestId id, Answer answer) {
  const auto it = open_.find(id);
  if (it == open_.end() || it->second.answered) return;
  it->second.answered = true;
  sink_.onAnswer(it->second.admitted, std::move(answer));
  removeIfDone(id);
}

void Pool::removeIfDone(RequestId id) {
  const auto it = open_.find(id);
  if (it == open_.end() || !it->second.answered || it->second.outstanding > 0) return;
  timers_.cancel(it->second.deadline_timer);
  const AdmittedRequest request = std::move(it->second.admitted);
  open_.erase(it);
  sink_.onCompleted(request);
}

void Pool::onAttemptTimeout(RequestId id, std::int32_t attempt) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  // The attempt timeout ends with the first byte of a streamed response.
  OpenRequest& r = it->second;
  Attempt& a = r.attempts[static_cast<std::size_t>(attempt)];
  if (a.ended || a.response_started_at != 0) return;
  const Time due = std::min(processingStart(r, a) + a.streaming_limit, r.admitted.deadline);
  if (clock_.now() < due && upstream_.answering(attemptId(id, attempt))) {
    a.timeout = timers_.at(due, [this, id, attempt] { onAttemptTimeout(id, attempt); });
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
  // The balancer has to answer by its deadline. If a defect prevents that, the client still gets an answer.
  ++missing_answers_;
  log("defect: no final answer at the deadline of request " + std::to_string(id), LogLevel::Error);
  finish(id, plainAnswer(504));
  dispatch([this, id](Time now) { balancer_.onClientDisconnected(now, id, actions_); });
}

void Pool::finishBy(Time last) {
  shutdown_deadline_ = last;
  // The balancer sets its timers first, so that it answers the requests it holds without an attempt before
  // onDeadline() reports them as unanswered.
  dispatch([this, last](Time now) { balancer_.finishBy(now, last, actions_); });
  for (auto& [id, request] : open_) {
    request.admitted.deadline = std::min(request.admitted.deadline, last);
    armDeadline(id, request);
  }
}

bool Pool::onClientDisconnected(ExchangeId id) {
  const auto it = open_.find(id);
  if (it == open_.end() || std::exchange(it->second.answered, true)) return false;
  dispatch([this, id](Time now) { balancer_.onClientDisconnected(now, id, actions_); });
  removeIfDone(id);
  return true;
}

// ---- attempts and health checks ----

void Pool::onAttemptEnd(AttemptId id, AttemptEnd end) {
  dispatch([this, id, end = std::move(end)](Time now) mutable {
    handleAttemptEnd(now, id / kMaxAttempts, static_cast<std::int32_t>(id % kMaxAttempts), std::move(end));
  });
}

// The end of a client's connection lies behind what it has sent: while that is not read, nobody can see
// whether it is still there.
bool Pool::clientMayHaveLeft(const OpenRequest& r, Time now) {
  const BodyPipe* const rest = r.admitted.request.rest.get();
  return rest != nullptr && !rest->started() && rest->pausedFor(now) > kMaxUnseenClient;
}

std::optional<std::string> Pool::onAttemptReady(AttemptId id, bool late) {
  const Time now = clock_.now();
  const RequestId request = id / kMaxAttempts;
  const auto attempt = static_cast<std::int32_t>(id % kMaxAttempts);
  if (late && !balancer_.mayStart(now, request, attempt)) return std::nullopt;
  const auto it = open_.find(request);
  if (it == open_.end()) return std::nullopt;
  const OpenRequest& r = it->second;
  if (clientMayHaveLeft(r, now)) return std::nullopt;
  const std::optional<std::uint32_t> term = termFor(r);
  const Time left = timeLeft(r, r.attempts[static_cast<std::size_t>(attempt)], now);
  if (!term || left <= 0) return std::nullopt;
  return headFor(r, left, *term);
}

bool Pool::mayComplete(AttemptId id) {
  return balancer_.mayComplete(clock_.now(), id / kMaxAttempts, static_cast<std::int32_t>(id % kMaxAttempts));
}

void Pool::handleAttemptEnd(Time now, RequestId id, std::int32_t attempt, AttemptEnd end) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  OpenRequest& r = it->second;
  Attempt& a = r.attempts[static_cast<std::size_t>(attempt)];
  if (std::exchange(a.ended, true)) return;
  timers_.cancel(a.timeout);
  --r.outstanding;
  r.admitted.may_have_run |= !load_balancer::provesNotProcessed(end.result);
  r.timed_out |= end.result == Result::TimedOut;
  r.admitted.last_duration = now - processingStart(r, a);
  if (r.admitted.service && !end.term.empty()) {
    std::uint32_t newer_term = 0;
    const char* const last = end.term.data() + end.term.size();
    const auto parsed = std::from_chars(end.term.data(), last, newer_term);
    if (parsed.ec == std::errc{} && parsed.ptr == last)
      gate_->onRejectedByHost(*r.admitted.service, newer_term);
  }
  if (!r.answered && end.result == Result::Ok) {
    r.answered = true;
    Answer answer = plainAnswer(200);
    answer.body = std::move(end.body);
    answer.content_type = std::move(end.content_type);
    sink_.onAnswer(r.admitted, std::move(answer));
  }
  Outcome outcome;
  outcome.request = id;
  outcome.attempt = attempt;
  outcome.result = end.result;
  outcome.final = r.answered;
  // The latency covers the host alone: neither the time the client takes to send or receive a long body, nor
  // the time a response takes to arrive in pieces.
  const Time response_start = a.response_started_at != 0 ? a.response_started_at
                              : end.begun != 0           ? end.begun
                                                         : now;
  outcome.latency = std::max<Time>(response_start - processingStart(r, a), 0);
  outcome.load = parseLoad(end.load);
  balancer_.onOutcome(now, outcome, actions_);
  removeIfDone(id);
}

void Pool::onAttemptWritten(AttemptId id) {
  const auto it = open_.find(id / kMaxAttempts);
  if (it != open_.end()) sink_.onDispatched(it->second.admitted.request_class);
}

void Pool::onAttemptAnswers(AttemptId id, LongAnswer answer) {
  dispatch([this, id, answer = std::move(answer)](Time now) mutable {
    const RequestId request = id / kMaxAttempts;
    const auto attempt = static_cast<std::int32_t>(id % kMaxAttempts);
    const auto it = open_.find(request);
    if (it == open_.end() || it->second.answered) return answer.rest->giveUp();
    OpenRequest& r = it->second;
    r.answered = true;
    r.attempts[static_cast<std::size_t>(attempt)].response_started_at = now;
    balancer_.onResponseStarted(now, request, attempt, actions_);
    Answer partial = plainAnswer(200);
    partial.body = std::move(answer.body);
    partial.content_type = std::move(answer.content_type);
    partial.rest = std::move(answer.rest);
    sink_.onAnswer(r.admitted, std::move(partial));
  });
}

void Pool::onHealthCheckEnd(const std::string& uid, bool ok, Time latency, const std::string& load) {
  dispatch([this, uid, ok, latency, report = parseLoad(load)](Time now) {
    balancer_.onHealthCheck(now, uid, ok, latency, report, actions_);
  });
}

// Parses "name=value,...". A malformed load report is ignored; the response it came with stays valid.
load_balancer::LoadReport Pool::parseLoad(std::string_view text) const {
  load_balancer::LoadReport report;
  if (!config_.hosts_report_load || text.empty()) return report;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view pair = text.substr(0, comma);
    text = comma == std::string_view::npos ? std::string_view{} : text.substr(comma + 1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return {};
    const std::string_view value_text = pair.substr(equals + 1);
    double value = 0;
    const auto r = std::from_chars(value_text.data(), value_text.data() + value_text.size(), value);
    if (r.ec != std::errc{} || r.ptr != value_text.data() + value_text.size() || !(value >= 0)) return {};
    if (load_balancer::platform::isInFlightGauge(pair.substr(0, equals))) report.in_flight = value;
  }
  return report;
}

}  // namespace client_proxy
