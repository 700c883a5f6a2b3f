// The path of a request through the front: class, duplicate check, admission, pool, answer; and reload.
#include "front/proxy.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "configured_limits.h"
#include "net/head_rules.h"

namespace client_proxy {
namespace {

namespace asio = boost::asio;
using admission::RejectionReason;
using load_balancer::Idempotency;

constexpr std::size_t kRequestOverhead = 1024;   // bytes held by an open request beside its head and body
constexpr Time kMaxUploadTime = 3600 * kSecond;  // a stalled upload is the server's to detect
constexpr Time kSummaryInterval = 10 * kSecond;  // between two log lines about rejections

// The protocol allows closing a client connection that has had no open request for this long.
constexpr Time kMinIdleBeforeClose = 2 * kSecond;

}  // namespace

Pool::Config Proxy::poolConfig(const Config& config, load_balancer::Settings settings) {
  Pool::Config pool;
  pool.settings = std::move(settings);
  pool.seed = config.seed;
  pool.upstream = upstreamLimits(config);
  pool.hosts_report_load = config.site.reports;
  if (!config.alone) pool.discovery = config.discovery;
  pool.known_revision = config.known.revision;
  return pool;
}

Proxy::Proxy(boost::asio::io_context& io, Config config, Log& log, const Clock& clock)
    : io_(io),
      config_(std::move(config)),
      registry_(config_),
      log_(log),
      clock_(clock),
      timers_(io, clock),
      descriptors_(clock, descriptorBudget(config_)),
      memory_(std::make_shared<MemoryAccount>(bufferMemory(config_))),
      server_(io, timers_, descriptors_, log, *this, serverLimits(config_, descriptors_.limit()), memory_),
      pool_(io, timers_, descriptors_, log, config_.zones, *this,
            poolConfig(config_, registry_.settings(config_)), memory_),
      duplicates_(duplicateDetectorLimits(config_)),
      requests_(registry_.limits(config_)),
      rejection_counters_(registry_.classes.size(), registry_.tenants.size()),
      lifecycle_(longestDeadline(config_.site.settings)) {
  // In order of cost: idle clients past the minimum, idle connections to hosts, which cost the hosts work to
  // reopen, then any idle client.
  descriptors_.addReclaimer(Side::Clients, [this] { return server_.closeOneIdle(kMinIdleBeforeClose); });
  descriptors_.addReclaimer(Side::Hosts, [this] { return pool_.closeOneIdle(); });
  descriptors_.addReclaimer(Side::Clients, [this] { return server_.closeOneIdle(); });
}

Proxy::~Proxy() = default;

void Proxy::listen() {
  config_.inherited ? server_.listenOn(*config_.inherited) : server_.listen(config_.listen);
  lifecycle_.onListening();
  timers_.after(kSummaryInterval, [this] { logSummary(); });
}

void Proxy::start() {
  listen();
  pool_.start(std::exchange(config_.known, {}));
}

std::size_t Proxy::descriptorsHeld() const { return descriptors_.used() + kReservedDescriptors; }

void Proxy::setDescriptorsHeldByOther(std::size_t descriptors) {
  const std::size_t budget = descriptorBudget(config_);
  descriptors_.setLimit(budget - std::min(descriptors, budget / 2));
}

// ---- requests ----

std::optional<Proxy::ClassInfo> Proxy::classOf(std::string_view target) const {
  const auto index = registry_.classes.find(firstPart(pathOf(target)));
  if (!index) return std::nullopt;
  const load_balancer::RequestClass& c = registry_.classes.at(*index);
  return ClassInfo{*index, c.deadline, c.idempotency};
}

// A request in flight or waiting uses its class and tenant indices until it is done.
void Proxy::acquireIndices(const admission::AdmissionRequest& admission_request) {
  registry_.classes.acquire(admission_request.request_class);
  registry_.tenants.acquire(admission_request.tenant);
}

// The request is done or was never admitted: its indices may be reused.
void Proxy::releaseIndices(const ClientRequest& request, std::int32_t request_class, std::int32_t tenant,
                           bool may_have_run) {
  onRequestDone(request.head.correlation, may_have_run);
  registry_.classes.release(request_class);
  registry_.tenants.release(tenant);
}

void Proxy::onRequestDone(const std::string& correlation, bool may_have_run) {
  const admission::RequestRecord record = duplicates_.end(clock_.now(), correlation, may_have_run);
  if (successor_.tell && !record.id.empty()) successor_.tell({record});
}

admission::RequestRecord Proxy::requestRecordOf(const RequestHead& head, std::int32_t request_class) const {
  const load_balancer::RequestClass& c = registry_.classes.at(request_class);
  admission::RequestRecord record;
  record.id = head.correlation;
  record.safe = c.idempotency == Idempotency::Idempotent;
  if (c.idempotency == Idempotency::IdempotentWithKey) record.key = head.key;
  if (c.idempotency == Idempotency::IdempotentWithKey &&
      c.deduplication_scope == load_balancer::DeduplicationScope::All)
    record.deduplication_window = c.deduplication_window;
  return record;
}

std::optional<Answer> Proxy::onHead(const RequestHead& head, bool room) {
  if (pathOf(head.target) == "/healthz")
    return plainAnswer(head.method != "GET" ? 405 : drained() ? 503 : 200);
  const std::optional<ClassInfo> info = classOf(head.target);
  if (!info) return plainAnswer(404);
  const auto counted = [&](Answer answer) {
    counts_.ended(static_cast<std::size_t>(info->index), answer.status);
    return answer;
  };
  if (const auto fault = faultOf(head, info->idempotency)) return counted(plainAnswer(fault->status));
  const admission::AdmissionRequest admission_request = admissionRequestOf(0, head, *info, 0, 0);
  const RejectionReason reason =
      room ? requests_.checkHead(admission_request) : RejectionReason::ConnectionLimit;
  if (reason == RejectionReason::None) return std::nullopt;
  requests_.noteRefused(clock_.now());
  return counted(rejection(admission_request, reason));
}

// At most the deadline of the class, even if the client announces more: nothing that is kept for a request
// may outlive that deadline.
Time Proxy::clientWait(const RequestHead& head, const ClassInfo& info) {
  const Time announced = head.has_time_left ? parseSeconds(head.time_left).value_or(0) : info.deadline;
  return std::min(announced, info.deadline);
}

Time Proxy::clientWait(const RequestHead& head) const {
  const std::optional<ClassInfo> info = classOf(head.target);
  return info ? clientWait(head, *info) : 0;
}

void Proxy::onRequest(ExchangeId id, ClientRequest request) {
  // A reload may have happened between the head of the request and its last byte.
  const std::optional<ClassInfo> info = classOf(request.head.target);
  if (!info) return server_.answer(id, plainAnswer(404));
  if (const auto fault = faultOf(request.head, info->idempotency))
    return sendFinalAnswer(id, info->index, plainAnswer(fault->status));
  const Time left = clientWait(request.head, *info);
  // Only the start of a long request has arrived; its client's deadline counts from its last byte.
  const Time deadline =
      std::min(request.received + (request.rest ? kMaxUploadTime : left), shutdown_deadline_);
  if (left > 0 && clock_.now() >= shutdown_deadline_)
    return sendFinalAnswer(
        id, info->index,
        rejection(admissionRequestOf(id, request.head, *info, 0, 0), RejectionReason::Shutdown));
  if (left <= 0 || deadline <= clock_.now())
    return sendFinalAnswer(id, info->index, plainAnswer(504));  // expired before it was read
  const std::size_t bytes = (request.body ? request.body->size() : 0) + request.head.forward.size();
  const admission::AdmissionRequest admission_request =
      admissionRequestOf(id, request.head, *info, bytes, deadline);
  std::optional<ServicePlacement> placement;
  if (auto answer = rejectionBeforeAdmission(request.head, *info, admission_request, placement))
    return sendFinalAnswer(id, info->index, std::move(*answer));
  // Rejects a request whose correlation id or idempotency key belongs to an open request, or to a recent one
  // that may have run: neither the requests nor their answers could be told apart, and what may have run must
  // not run again. A request counts as open while any of its attempts is in flight, even after its answer.
  // Clients that reuse an id, or a key for another request, within seconds are rejected too.
  const admission::RequestRecord record = requestRecordOf(request.head, info->index);
  const admission::DuplicateDetector::Decision repeat = duplicates_.offer(clock_.now(), record);
  if (repeat.verdict != admission::DuplicateDetector::Verdict::New)
    return sendFinalAnswer(id, info->index, plainAnswer(409));
  // The next process may be asked for the same, once this one's client has left.
  if (successor_.tell) successor_.tell({duplicates_.openRecord(record.id)});
  if (request.rest) time_after_upload_[id] = left;
  std::vector<admission::Refusal> displaced;
  const admission::Verdict verdict = requests_.offer(clock_.now(), admission_request, displaced);
  QueuedRequest offered{std::move(request), *info, admission_request, 0, placement, repeat.dropped_until};
  switch (verdict.outcome) {
    case admission::AdmissionOutcome::Admitted:
      acquireIndices(admission_request);
      rejection_counters_.note(RejectionReason::None, admission_request.request_class,
                               admission_request.tenant);
      open(std::move(offered));
      break;
    case admission::AdmissionOutcome::Queued:
      acquireIndices(admission_request);
      waiting_.emplace(id, std::move(offered));
      break;
    case admission::AdmissionOutcome::Refused:
      onRequestDone(offered.request.head.correlation, false);
      time_after_upload_.erase(id);
      sendFinalAnswer(id, info->index, rejection(admission_request, verdict.reason));
      break;
  }
  rejectWaiting(displaced);
  armPermitTimer();
}

// ---- admission: decided before the pool sees a request ----

admission::AdmissionRequest Proxy::admissionRequestOf(ExchangeId id, const RequestHead& head,
                                                      const ClassInfo& info, std::size_t bytes,
                                                      Time deadline) const {
  return {.id = id,
          .request_class = info.index,
          .tenant = registry_.tenants.find(head.account).value_or(load_balancer::kUnset),
          .bytes = bytes + kRequestOverhead,
          .deadline = deadline,
          .retry = head.repeat};
}

// The request was not sent to any host: a retry is safe for every class.
Answer Proxy::rejection(const admission::AdmissionRequest& admission_request, RejectionReason reason) {
  rejection_counters_.note(reason, admission_request.request_class, admission_request.tenant);
  Answer answer = plainAnswer(503);
  if (const Time advice = requests_.retryAfter(clock_.now()); advice > 0) answer.retry_after = advice;
  return answer;
}

std::optional<Answer> Proxy::rejectionBeforeAdmission(const RequestHead& head, const ClassInfo& info,
                                                      const admission::AdmissionRequest& admission_request,
                                                      std::optional<ServicePlacement>& placement) {
  if (gate_ == nullptr) return std::nullopt;
  const auto reject_for = [&](RejectionReason reason, Time wait) {
    Answer answer = rejection(admission_request, reason);
    const Time max_wait = config_.site.settings.max_retry_after;
    if (config_.site.settings.retry_after && wait > 0) answer.retry_after = std::min(wait, max_wait);
    return answer;
  };
  const std::string& name = registry_.classes.name(static_cast<std::size_t>(info.index));
  const ServiceGate::Match match = gate_->serviceOf(head, name, info.idempotency);
  if (match.malformed) return plainAnswer(400);
  if (const auto wait = gate_->delayAfterRestart(registry_.classes.at(info.index), match.service.has_value()))
    return reject_for(RejectionReason::StagedRestart, *wait);
  if (!match.service) return std::nullopt;
  const ServiceGate::Permission permission = gate_->permission(*match.service);
  if (!permission.allowed) return reject_for(RejectionReason::NoLease, permission.retry_after);
  placement = ServicePlacement{*match.service, permission.zone};
  return std::nullopt;
}

void Proxy::rejectWaiting(const std::vector<admission::Refusal>& rejected) {
  for (const admission::Refusal& r : rejected) {
    const auto it = waiting_.find(r.id);
    if (it == waiting_.end()) continue;
    const QueuedRequest queued = std::move(it->second);
    waiting_.erase(it);
    releaseIndices(queued.request, queued.admission_request.request_class, queued.admission_request.tenant);
    time_after_upload_.erase(r.id);
    sendFinalAnswer(r.id, queued.admission_request.request_class,
                    rejection(queued.admission_request, r.reason));
  }
}

void Proxy::admitWaiting() {
  admission_posted_ = false;
  std::vector<admission::RequestKey> admitted;
  std::vector<admission::Refusal> rejected;
  requests_.next(clock_.now(), admitted, rejected);
  rejectWaiting(rejected);
  for (const ExchangeId id : admitted) {
    const auto it = waiting_.find(id);
    QueuedRequest queued = std::move(it->second);
    waiting_.erase(it);
    rejection_counters_.note(RejectionReason::None, queued.admission_request.request_class,
                             queued.admission_request.tenant);
    const Time upload_completed_at = queued.upload_completed_at;
    const Time deadline = queued.admission_request.deadline;
    open(std::move(queued));
    if (upload_completed_at != 0) pool_.onUploadComplete(id, upload_completed_at, deadline);
  }
  armPermitTimer();
}

// Timers can't be cancelled, so a new one is set only if it is due earlier than those already set.
void Proxy::armPermitTimer() {
  const Time due = requests_.due();
  if (due >= permit_timer_due_) return;
  permit_timer_due_ = due;
  timers_.at(due, [this, due] {
    if (permit_timer_due_ == due) permit_timer_due_ = kNever;
    admitWaiting();
  });
}

// Called when a client has its answer or has disconnected. Waiting requests are admitted in the same
// iteration of the event loop, but posted rather than called directly, to avoid re-entrancy.
void Proxy::releasePermit(ExchangeId id) {
  requests_.release(clock_.now(), id);
  if (requests_.waiting() == 0 || std::exchange(admission_posted_, true)) return;
  asio::post(io_, [this] { admitWaiting(); });
}

void Proxy::logSummary() {
  const std::string summary = rejection_counters_.summarySinceLast(server_.gate().closed());
  if (!summary.empty()) log_.line("admission, last 10 s: " + summary);
  timers_.after(kSummaryInterval, [this] { logSummary(); });
}

// ---- admitted requests ----

void Proxy::open(QueuedRequest admitted) {
  AdmittedRequest request{.exchange = admitted.admission_request.id,
                          .request = std::move(admitted.request),
                          .request_class = admitted.admission_request.request_class,
                          .tenant = admitted.admission_request.tenant,
                          .idempotency = admitted.info.idempotency,
                          .deadline = admitted.admission_request.deadline,
                          .time_after_upload = admitted.info.deadline,
                          .dropped_until = admitted.dropped_until};
  if (admitted.placement) {
    request.service = admitted.placement->service;
    request.zone = admitted.placement->zone;
  }
  pool_.open(std::move(request));
}

void Proxy::onAnswer(const AdmittedRequest& request, Answer answer) {
  const ExchangeId id = request.exchange;
  const std::int32_t request_class = request.request_class;
  time_after_upload_.erase(id);
  releasePermit(id);
  if (gate_ != nullptr)
    gate_->onCompleted({request.request.head, registry_.classes.name(static_cast<std::size_t>(request_class)),
                        request.idempotency, registry_.classes.at(request_class).priority_weight,
                        request.last_zone, request.last_duration, answer.status});
  sendFinalAnswer(id, request_class, std::move(answer));
}

void Proxy::onUploaded(ExchangeId id, Time received) {
  const auto it = time_after_upload_.find(id);
  if (it == time_after_upload_.end()) return;
  const Time deadline = std::min(received + it->second, shutdown_deadline_);
  time_after_upload_.erase(it);
  if (const auto queued = waiting_.find(id); queued != waiting_.end()) {
    queued->second.admission_request.deadline = deadline;
    queued->second.upload_completed_at = received;
    return;
  }
  pool_.onUploadComplete(id, received, deadline);
}

// A streamed answer is counted in onStreamed(), once it has been delivered or has failed.
void Proxy::sendFinalAnswer(ExchangeId id, std::int32_t request_class, Answer answer) {
  if (answer.rest) {
    streaming_[id] = request_class;
  } else {
    counts_.ended(static_cast<std::size_t>(request_class), answer.status);
  }
  server_.answer(id, std::move(answer));
}

void Proxy::onStreamed(ExchangeId id, bool whole) {
  const auto it = streaming_.find(id);
  if (it == streaming_.end()) return;
  counts_.ended(static_cast<std::size_t>(it->second), whole ? 200 : 502);
  streaming_.erase(it);
}

void Proxy::onCompleted(const AdmittedRequest& request) {
  releaseIndices(request.request, request.request_class, request.tenant, request.may_have_run);
}

void Proxy::onClientGone(ExchangeId id) {
  time_after_upload_.erase(id);
  if (const auto queued = waiting_.find(id); queued != waiting_.end()) {
    releaseIndices(queued->second.request, queued->second.admission_request.request_class,
                   queued->second.admission_request.tenant);
    waiting_.erase(queued);
    requests_.release(clock_.now(), id);
    return;
  }
  if (pool_.onClientDisconnected(id)) releasePermit(id);
}

// ---- reload ----

void Proxy::setHosts(HostList list) { pool_.setHosts(std::move(list)); }

void Proxy::reload(Config next) {
  if (next.alone != config_.alone)
    throw std::runtime_error(
        "a configuration with its own pool can't replace one that uses discovery, nor the reverse: restart");
  // The platform's part stays as at start. Shares are matched by name: the new file may order the names
  // differently.
  if (!next.alone) {
    next.own.classes = reorderShares(config_.site.classes, next.site.classes, next.own.classes);
    next.own.tenants = reorderShares(config_.site.tenants, next.site.tenants, next.own.tenants);
    next.site = config_.site;
    next.zones = config_.zones;
  }
  next.site.settings.client = config_.site.settings.client;
  next.memory_mb = config_.memory_mb;
  next.sockets = config_.sockets;
  Registry registry = registry_;
  registry.assign(next);
  load_balancer::Settings settings = registry.settings(next);
  const admission::RequestGate::Limits limits = registry.limits(next);
  const admission::RequestGate validated(limits);  // throws if the limits contradict one another
  // May throw too; nothing has changed up to here.
  pool_.reconfigure(std::move(settings), upstreamLimits(next));
  registry_ = std::move(registry);
  requests_.reconfigure(limits);
  duplicates_.reconfigure(duplicateDetectorLimits(next));
  lifecycle_.setLongest(longestDeadline(next.site.settings));
  rejection_counters_.grow(registry_.classes.size(), registry_.tenants.size());
  server_.reconfigure(serverLimits(next, descriptors_.limit()).connections);
  log_.setLevel(next.own.log_level);
  HostList hosts = std::exchange(next.known, {});
  next.listen = config_.listen;
  next.name = config_.name;
  config_ = std::move(next);
  if (config_.alone) {
    setHosts(std::move(hosts));
  } else if (config_.discovery != pool_.discoveryEndpoint()) {
    log_.line("configuration reloaded: discovery endpoint changed");
    pool_.moveDiscovery(config_.discovery);
  } else if (config_.own.file.empty()) {
    log_.line("configuration reloaded: no changes");
  }
  admitWaiting();  // limits may have been raised
}

}  // namespace client_proxy
