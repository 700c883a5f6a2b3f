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

constexpr std::size_t kRequestCost = 1024;       // bytes that an open request holds beside its head and body
constexpr Time kLongestUpload = 3600 * kSecond;  // its pace is the server's to watch
constexpr Time kSummary = 10 * kSecond;          // between two lines on what was turned away

// A connection without an open request may be closed after this, says the protocol's later page.
constexpr Time kMayBeClosed = 2 * kSecond;

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
      descriptors_(clock, budgetOf(config_)),
      server_(io, timers_, descriptors_, log, *this, serverLimits(config_, descriptors_.limit())),
      pool_(io, timers_, descriptors_, log, config_.zones, *this,
            poolConfig(config_, registry_.settings(config_))),
      duplicates_(repeatLimits(config_)),
      requests_(registry_.limits(config_)),
      rejection_counters_(registry_.classes.size(), registry_.tenants.size()),
      lifecycle_(longestDeadline(config_.site.settings)) {
  // Clients that only stay are cheaper to lose than connections to hosts, which cost these work to open.
  descriptors_.addReclaimer(Side::Clients, [this] { return server_.closeOneIdle(kMayBeClosed); });
  descriptors_.addReclaimer(Side::Hosts, [this] { return pool_.closeOneIdle(); });
  descriptors_.addReclaimer(Side::Clients, [this] { return server_.closeOneIdle(); });
}

Proxy::~Proxy() = default;

void Proxy::listen() {
  config_.inherited ? server_.listenOn(*config_.inherited) : server_.listen(config_.listen);
  lifecycle_.onListening();
  timers_.after(kSummary, [this] { logSummary(); });
}

void Proxy::start() {
  listen();
  pool_.start(std::exchange(config_.known, {}));
}

std::size_t Proxy::descriptorsHeld() const { return descriptors_.used() + kOwnDescriptors; }

void Proxy::setDescriptorsHeldByOther(std::size_t descriptors) {
  const std::size_t all = budgetOf(config_);
  descriptors_.setLimit(all - std::min(descriptors, all / 2));
}

// ---- requests ----

std::optional<Proxy::ClassInfo> Proxy::classOf(std::string_view target) const {
  const auto index = registry_.classes.find(firstPart(pathOf(target)));
  if (!index) return std::nullopt;
  const load_balancer::RequestClass& c = registry_.classes.at(*index);
  return ClassInfo{*index, c.deadline, c.idempotency};
}

// What is in flight or waits goes by these numbers to its end.
void Proxy::acquireIndices(const admission::AdmissionRequest& admission_request) {
  registry_.classes.acquire(admission_request.request_class);
  registry_.tenants.acquire(admission_request.tenant);
}

// It is over, or was never let in: its numbers are free.
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
  const RejectionReason reason = room ? requests_.early(admission_request) : RejectionReason::ConnectionLimit;
  if (reason == RejectionReason::None) return std::nullopt;
  requests_.noteRefused(clock_.now());
  return counted(rejection(admission_request, reason));
}

void Proxy::onRequest(ExchangeId id, ClientRequest request) {
  // A reload may have come between its head and its last byte.
  const std::optional<ClassInfo> info = classOf(request.head.target);
  if (!info) return server_.answer(id, plainAnswer(404));
  if (const auto fault = faultOf(request.head, info->idempotency))
    return conclude(id, info->index, plainAnswer(fault->status));
  // No longer than the class allows, whatever the client says: what is kept for a request must not outlive
  // it.
  const Time left =
      std::min(request.head.has_time_left ? parseSeconds(request.head.time_left).value_or(0) : info->deadline,
               info->deadline);
  // Of a long request only the beginning is here; its client's time runs from its last byte.
  const Time deadline =
      std::min(request.received + (request.rest ? kLongestUpload : left), shutdown_deadline_);
  if (left > 0 && clock_.now() >= shutdown_deadline_)
    return conclude(id, info->index,
                    rejection(admissionRequestOf(id, request.head, *info, 0, 0), RejectionReason::Shutdown));
  if (left <= 0 || deadline <= clock_.now())
    return conclude(id, info->index, plainAnswer(504));  // over before it was read
  const std::size_t bytes = (request.body ? request.body->size() : 0) + request.head.forward.size();
  const admission::AdmissionRequest admission_request =
      admissionRequestOf(id, request.head, *info, bytes, deadline);
  std::optional<ServiceClaim> service_claim;
  if (auto answer = rejectionBeforeAdmission(request.head, *info, admission_request, service_claim))
    return conclude(id, info->index, std::move(*answer));
  // Two open requests of one id: hosts could not tell them apart, nor could their answers be told apart. The
  // first one's attempts count too, also after its answer; and what may have run must not run again. It would
  // harm clients that reuse an id, or a key for another request, within seconds.
  const admission::RequestRecord record = requestRecordOf(request.head, info->index);
  if (duplicates_.offer(clock_.now(), record) != admission::DuplicateDetector::Verdict::New)
    return conclude(id, info->index, plainAnswer(409));
  if (request.rest) uploads_[id] = left;
  std::vector<admission::Refusal> displaced;
  const admission::Verdict verdict = requests_.offer(clock_.now(), admission_request, displaced);
  switch (verdict.entry) {
    case admission::Entry::Admitted:
      acquireIndices(admission_request);
      rejection_counters_.note(RejectionReason::None, admission_request.request_class,
                               admission_request.tenant);
      open(admission_request, std::move(request), *info, service_claim);
      break;
    case admission::Entry::Waits:
      acquireIndices(admission_request);
      waiting_.emplace(id, QueuedRequest{std::move(request), *info, admission_request, 0, service_claim});
      break;
    case admission::Entry::Refused:
      onRequestDone(request.head.correlation, false);
      uploads_.erase(id);
      conclude(id, info->index, rejection(admission_request, verdict.reason));
      break;
  }
  rejectWaiting(displaced);
  awaitPermits();
}

// ---- admission: who gets a place, before the module hears of a request ----

admission::AdmissionRequest Proxy::admissionRequestOf(ExchangeId id, const RequestHead& head,
                                                      const ClassInfo& info, std::size_t bytes,
                                                      Time deadline) const {
  return {.id = id,
          .request_class = info.index,
          .tenant = registry_.tenants.find(head.account).value_or(load_balancer::kUnset),
          .bytes = bytes + kRequestCost,
          .deadline = deadline,
          .retry = head.repeat};
}

// Nothing was sent for it yet: trying again is harmless, whatever its class.
Answer Proxy::rejection(const admission::AdmissionRequest& admission_request, RejectionReason reason) {
  rejection_counters_.note(reason, admission_request.request_class, admission_request.tenant);
  Answer answer = plainAnswer(503);
  if (const Time advice = requests_.advice(clock_.now()); advice > 0) answer.retry_after = advice;
  return answer;
}

std::optional<Answer> Proxy::rejectionBeforeAdmission(const RequestHead& head, const ClassInfo& info,
                                                      const admission::AdmissionRequest& admission_request,
                                                      std::optional<ServiceClaim>& service_claim) {
  if (gate_ == nullptr) return std::nullopt;
  const auto later = [&](RejectionReason reason, Time wait) {
    Answer answer = rejection(admission_request, reason);
    const Time most = config_.site.settings.max_retry_after;
    if (config_.site.settings.retry_after && wait > 0) answer.retry_after = std::min(wait, most);
    return answer;
  };
  const std::string& name = registry_.classes.name(static_cast<std::size_t>(info.index));
  const ServiceGate::Match match = gate_->serviceOf(head, name, info.idempotency);
  if (match.malformed) return plainAnswer(400);
  if (const auto wait = gate_->delayAfterRestart(registry_.classes.at(info.index), match.service.has_value()))
    return later(RejectionReason::StagedRestart, *wait);
  if (!match.service) return std::nullopt;
  const ServiceGate::Permission permission = gate_->permission(*match.service);
  if (!permission.allowed) return later(RejectionReason::NoLease, permission.retry_after);
  service_claim = ServiceClaim{*match.service, permission.zone};
  return std::nullopt;
}

void Proxy::rejectWaiting(const std::vector<admission::Refusal>& rejected) {
  for (const admission::Refusal& r : rejected) {
    const auto it = waiting_.find(r.id);
    if (it == waiting_.end()) continue;
    const QueuedRequest queued = std::move(it->second);
    waiting_.erase(it);
    releaseIndices(queued.request, queued.admission_request.request_class, queued.admission_request.tenant);
    uploads_.erase(r.id);
    conclude(r.id, queued.admission_request.request_class, rejection(queued.admission_request, r.reason));
  }
}

void Proxy::admitWaiting() {
  permits_released_ = false;
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
    open(queued.admission_request, std::move(queued.request), queued.info, queued.service_claim);
    if (queued.uploaded != 0) pool_.onUploadComplete(id, queued.uploaded, queued.admission_request.deadline);
  }
  awaitPermits();
}

// Timers are never withdrawn: a new one is set only where the next is due earlier than any that is set.
void Proxy::awaitPermits() {
  const Time due = requests_.due();
  if (due >= permits_due_) return;
  permits_due_ = due;
  timers_.at(due, [this, due] {
    if (permits_due_ == due) permits_due_ = kNever;
    admitWaiting();
  });
}

// The client has its answer, or has gone: the place is free. Whoever waits for it gets it in the same turn of
// the loop, but not from within what is going on now.
void Proxy::releasePermit(ExchangeId id) {
  requests_.release(clock_.now(), id);
  if (requests_.waiting() == 0 || std::exchange(permits_released_, true)) return;
  asio::post(io_, [this] { admitWaiting(); });
}

void Proxy::logSummary() {
  const std::string news = rejection_counters_.newsSinceLast(server_.gate().closed());
  if (!news.empty()) log_.line("admission, last 10 s: " + news);
  timers_.after(kSummary, [this] { logSummary(); });
}

// ---- requests that were let in ----

void Proxy::open(const admission::AdmissionRequest& admission_request, ClientRequest request,
                 const ClassInfo& info, const std::optional<ServiceClaim>& service_claim) {
  AdmittedRequest taken{.exchange = admission_request.id,
                        .request = std::move(request),
                        .request_class = admission_request.request_class,
                        .tenant = admission_request.tenant,
                        .idempotency = info.idempotency,
                        .deadline = admission_request.deadline,
                        .time_after_upload = info.deadline};
  if (service_claim) taken.service = service_claim->service, taken.zone = service_claim->zone;
  pool_.open(std::move(taken));
}

void Proxy::onAnswer(const AdmittedRequest& request, Answer answer) {
  const ExchangeId id = request.exchange;
  const std::int32_t request_class = request.request_class;
  uploads_.erase(id);
  releasePermit(id);
  if (gate_ != nullptr)
    gate_->onCompleted({request.request.head, registry_.classes.name(static_cast<std::size_t>(request_class)),
                        request.idempotency, registry_.classes.at(request_class).priority_weight,
                        request.last_zone, request.last_duration, answer.status});
  conclude(id, request_class, std::move(answer));
}

void Proxy::onUploaded(ExchangeId id, Time received) {
  const auto it = uploads_.find(id);
  if (it == uploads_.end()) return;
  const Time deadline = std::min(received + it->second, shutdown_deadline_);
  uploads_.erase(it);
  if (const auto queued = waiting_.find(id); queued != waiting_.end()) {
    queued->second.admission_request.deadline = deadline;
    queued->second.uploaded = received;
    return;
  }
  pool_.onUploadComplete(id, received, deadline);
}

// A long answer counts when all of it is with the client, or will never be.
void Proxy::conclude(ExchangeId id, std::int32_t request_class, Answer answer) {
  if (answer.rest) {
    streamed_[id] = request_class;
  } else {
    counts_.ended(static_cast<std::size_t>(request_class), answer.status);
  }
  server_.answer(id, std::move(answer));
}

void Proxy::onStreamed(ExchangeId id, bool whole) {
  const auto it = streamed_.find(id);
  if (it == streamed_.end()) return;
  counts_.ended(static_cast<std::size_t>(it->second), whole ? 200 : 502);
  streamed_.erase(it);
}

void Proxy::onCompleted(const AdmittedRequest& request) {
  releaseIndices(request.request, request.request_class, request.tenant, request.may_have_run);
}

void Proxy::onClientGone(ExchangeId id) {
  uploads_.erase(id);
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
        "a file with a pool can't take the place of one without, nor the reverse: restart");
  // The platform's part stays; shares go by its names, whose order may be another by now.
  if (!next.alone) {
    next.own.classes = sharesOf(config_.site.classes, next.site.classes, next.own.classes);
    next.own.tenants = sharesOf(config_.site.tenants, next.site.tenants, next.own.tenants);
    next.site = config_.site;
    next.zones = config_.zones;
  }
  next.site.settings.client = config_.site.settings.client;
  next.memory_mb = config_.memory_mb;
  next.sockets = config_.sockets;
  Registry known = registry_;
  known.assign(next);
  load_balancer::Settings settings = known.settings(next);
  const admission::RequestGate::Limits limits = known.limits(next);
  const admission::RequestGate record(limits);  // throws where they can't hold together
  // Or this; nothing has changed until then.
  pool_.reconfigure(std::move(settings), upstreamLimits(next));
  registry_ = std::move(known);
  requests_.reconfigure(limits);
  duplicates_.reconfigure(repeatLimits(next));
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
    log_.line("configuration read again: discovery has moved");
    pool_.moveDiscovery(config_.discovery);
  } else if (config_.own.file.empty()) {
    log_.line("configuration read again: nothing new");
  }
  admitWaiting();  // there may be places now
}

}  // namespace client_proxy
