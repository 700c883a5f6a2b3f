#include "front/proxy.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "limits.h"
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
  pool.reports = config.site.reports;
  if (!config.alone) pool.discovery = config.discovery;
  pool.revision = config.known.revision;
  return pool;
}

Proxy::Proxy(boost::asio::io_context& io, Config config, Log& log, const Clock& clock)
    : io_(io),
      config_(std::move(config)),
      known_(config_),
      log_(log),
      clock_(clock),
      timers_(io, clock),
      descriptors_(clock, budgetOf(config_)),
      server_(io, timers_, descriptors_, log, *this, serverLimits(config_, descriptors_.limit())),
      pool_(io, timers_, descriptors_, log, config_.zones, *this,
            poolConfig(config_, known_.settings(config_))),
      duplicates_(repeatLimits(config_)),
      requests_(known_.limits(config_)),
      rejection_counters_(known_.classes.size(), known_.tenants.size()),
      life_(longestDeadline(config_.site.settings)) {
  // Clients that only stay are cheaper to lose than connections to hosts, which cost these work to open.
  descriptors_.addReclaimer(Side::Clients, [this] { return server_.closeOneIdle(kMayBeClosed); });
  descriptors_.addReclaimer(Side::Hosts, [this] { return pool_.closeOneIdle(); });
  descriptors_.addReclaimer(Side::Clients, [this] { return server_.closeOneIdle(); });
}

Proxy::~Proxy() = default;

void Proxy::listen() {
  config_.inherited ? server_.listenOn(*config_.inherited) : server_.listen(config_.listen);
  life_.onListening();
  timers_.after(kSummary, [this] { summarize(); });
}

void Proxy::start() {
  listen();
  pool_.start(std::exchange(config_.known, {}));
}

std::size_t Proxy::descriptorsHeld() const { return descriptors_.used() + kOwnDescriptors; }

void Proxy::otherHolds(std::size_t descriptors) {
  const std::size_t all = budgetOf(config_);
  descriptors_.setLimit(all - std::min(descriptors, all / 2));
}

// ---- requests ----

std::optional<Proxy::ClassInfo> Proxy::classOf(std::string_view target) const {
  const auto index = known_.classes.find(firstPart(pathOf(target)));
  if (!index) return std::nullopt;
  const load_balancer::RequestClass& c = known_.classes.at(*index);
  return ClassInfo{*index, c.deadline, c.idempotency};
}

// What is in flight or waits goes by these numbers to its end.
void Proxy::use(const admission::AdmissionRequest& ask) {
  known_.classes.use(ask.request_class);
  known_.tenants.use(ask.tenant);
}

// It is over, or was never let in: its numbers are free.
void Proxy::releaseNumbers(const ClientRequest& request, std::int32_t request_class, std::int32_t tenant,
                           bool may_have_run) {
  over(request.head.correlation, may_have_run);
  known_.classes.release(request_class);
  known_.tenants.release(tenant);
}

void Proxy::over(const std::string& correlation, bool may_have_run) {
  const admission::RequestRecord tried = duplicates_.end(clock_.now(), correlation, may_have_run);
  if (successor_.tell && !tried.id.empty()) successor_.tell({tried});
}

admission::RequestRecord Proxy::requestRecordOf(const RequestHead& head, std::int32_t request_class) const {
  const load_balancer::RequestClass& c = known_.classes.at(request_class);
  admission::RequestRecord tried;
  tried.id = head.correlation;
  tried.safe = c.idempotency == Idempotency::Idempotent;
  if (c.idempotency == Idempotency::IdempotentWithKey) tried.key = head.key;
  if (c.idempotency == Idempotency::IdempotentWithKey &&
      c.deduplication_scope == load_balancer::DeduplicationScope::All)
    tried.deduplication_window = c.deduplication_window;
  return tried;
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
  const admission::AdmissionRequest ask = admissionRequestOf(0, head, *info, 0, 0);
  const RejectionReason reason = room ? requests_.early(ask) : RejectionReason::ConnectionLimit;
  if (reason == RejectionReason::None) return std::nullopt;
  requests_.noteRefused(clock_.now());
  return counted(refusal(ask, reason));
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
  const Time deadline = std::min(request.received + (request.rest ? kLongestUpload : left), last_);
  if (left > 0 && clock_.now() >= last_)
    return conclude(id, info->index,
                    refusal(admissionRequestOf(id, request.head, *info, 0, 0), RejectionReason::Shutdown));
  if (left <= 0 || deadline <= clock_.now())
    return conclude(id, info->index, plainAnswer(504));  // over before it was read
  const std::size_t bytes = (request.body ? request.body->size() : 0) + request.head.forward.size();
  const admission::AdmissionRequest ask = admissionRequestOf(id, request.head, *info, bytes, deadline);
  std::optional<Claimed> claimed;
  if (auto answer = rejectionBeforeAdmission(request.head, *info, ask, claimed))
    return conclude(id, info->index, std::move(*answer));
  // Two open requests of one id: hosts could not tell them apart, nor could their answers be told apart. The
  // first one's attempts count too, also after its answer; and what may have run must not run again. It would
  // harm clients that reuse an id, or a key for another request, within seconds.
  const admission::RequestRecord tried = requestRecordOf(request.head, info->index);
  if (duplicates_.offer(clock_.now(), tried) != admission::DuplicateDetector::Verdict::New)
    return conclude(id, info->index, plainAnswer(409));
  if (request.rest) uploads_[id] = left;
  std::vector<admission::Refusal> displaced;
  const admission::Verdict verdict = requests_.offer(clock_.now(), ask, displaced);
  switch (verdict.entry) {
    case admission::Entry::Admitted:
      use(ask);
      rejection_counters_.note(RejectionReason::None, ask.request_class, ask.tenant);
      open(ask, std::move(request), *info, claimed);
      break;
    case admission::Entry::Waits:
      use(ask);
      waiting_.emplace(id, Held{std::move(request), *info, ask, 0, claimed});
      break;
    case admission::Entry::Refused:
      over(request.head.correlation, false);
      uploads_.erase(id);
      conclude(id, info->index, refusal(ask, verdict.reason));
      break;
  }
  refuseWaiting(displaced);
  awaitPlaces();
}

// ---- admission: who gets a place, before the module hears of a request ----

admission::AdmissionRequest Proxy::admissionRequestOf(ExchangeId id, const RequestHead& head,
                                                      const ClassInfo& info, std::size_t bytes,
                                                      Time deadline) const {
  return {.id = id,
          .request_class = info.index,
          .tenant = known_.tenants.find(head.account).value_or(load_balancer::kUnset),
          .bytes = bytes + kRequestCost,
          .deadline = deadline,
          .retry = head.repeat};
}

// Nothing was sent for it yet: trying again is harmless, whatever its class.
Answer Proxy::refusal(const admission::AdmissionRequest& ask, RejectionReason reason) {
  rejection_counters_.note(reason, ask.request_class, ask.tenant);
  Answer answer = plainAnswer(503);
  if (const Time advice = requests_.advice(clock_.now()); advice > 0) answer.retry_after = advice;
  return answer;
}

std::optional<Answer> Proxy::rejectionBeforeAdmission(const RequestHead& head, const ClassInfo& info,
                                                      const admission::AdmissionRequest& ask,
                                                      std::optional<Claimed>& claimed) {
  if (gate_ == nullptr) return std::nullopt;
  const auto later = [&](RejectionReason reason, Time wait) {
    Answer answer = refusal(ask, reason);
    const Time most = config_.site.settings.max_retry_after;
    if (config_.site.settings.retry_after && wait > 0) answer.retry_after = std::min(wait, most);
    return answer;
  };
  const std::string& name = known_.classes.name(static_cast<std::size_t>(info.index));
  const ServiceGate::Match match = gate_->serviceOf(head, name, info.idempotency);
  if (match.malformed) return plainAnswer(400);
  if (const auto wait = gate_->heldBack(known_.classes.at(info.index), match.service.has_value()))
    return later(RejectionReason::StagedRestart, *wait);
  if (!match.service) return std::nullopt;
  const ServiceGate::Leave leave = gate_->leave(*match.service);
  if (!leave.may) return later(RejectionReason::NoLease, leave.wait);
  claimed = Claimed{*match.service, leave.zone};
  return std::nullopt;
}

void Proxy::refuseWaiting(const std::vector<admission::Refusal>& refused) {
  for (const admission::Refusal& r : refused) {
    const auto it = waiting_.find(r.id);
    if (it == waiting_.end()) continue;
    const Held held = std::move(it->second);
    waiting_.erase(it);
    releaseNumbers(held.request, held.ask.request_class, held.ask.tenant);
    uploads_.erase(r.id);
    conclude(r.id, held.ask.request_class, refusal(held.ask, r.reason));
  }
}

void Proxy::admitWaiting() {
  places_freed_ = false;
  std::vector<admission::RequestKey> admitted;
  std::vector<admission::Refusal> refused;
  requests_.next(clock_.now(), admitted, refused);
  refuseWaiting(refused);
  for (const ExchangeId id : admitted) {
    const auto it = waiting_.find(id);
    Held held = std::move(it->second);
    waiting_.erase(it);
    rejection_counters_.note(RejectionReason::None, held.ask.request_class, held.ask.tenant);
    open(held.ask, std::move(held.request), held.info, held.claimed);
    if (held.uploaded != 0) pool_.uploaded(id, held.uploaded, held.ask.deadline);
  }
  awaitPlaces();
}

// Timers are never withdrawn: a new one is set only where the next is due earlier than any that is set.
void Proxy::awaitPlaces() {
  const Time due = requests_.due();
  if (due >= places_due_) return;
  places_due_ = due;
  timers_.at(due, [this, due] {
    if (places_due_ == due) places_due_ = kNever;
    admitWaiting();
  });
}

// The client has its answer, or has gone: the place is free. Whoever waits for it gets it in the same turn of
// the loop, but not from within what is going on now.
void Proxy::settled(ExchangeId id) {
  requests_.release(clock_.now(), id);
  if (requests_.waiting() == 0 || std::exchange(places_freed_, true)) return;
  asio::post(io_, [this] { admitWaiting(); });
}

void Proxy::summarize() {
  const std::string news = rejection_counters_.newsSinceLast(server_.gate().closed());
  if (!news.empty()) log_.line("admission, last 10 s: " + news);
  timers_.after(kSummary, [this] { summarize(); });
}

// ---- requests that were let in ----

void Proxy::open(const admission::AdmissionRequest& ask, ClientRequest request, const ClassInfo& info,
                 const std::optional<Claimed>& claimed) {
  AdmittedRequest taken{.exchange = ask.id,
                        .request = std::move(request),
                        .request_class = ask.request_class,
                        .tenant = ask.tenant,
                        .idempotency = info.idempotency,
                        .deadline = ask.deadline,
                        .patience = info.deadline};
  if (claimed) taken.service = claimed->service, taken.zone = claimed->zone;
  pool_.open(std::move(taken));
}

void Proxy::onAnswer(const AdmittedRequest& request, Answer answer) {
  const ExchangeId id = request.exchange;
  const std::int32_t request_class = request.request_class;
  uploads_.erase(id);
  settled(id);
  if (gate_ != nullptr)
    gate_->ended({request.request.head, known_.classes.name(static_cast<std::size_t>(request_class)),
                  request.idempotency, known_.classes.at(request_class).priority_weight, request.ran_in,
                  request.ran_for, answer.status});
  conclude(id, request_class, std::move(answer));
}

void Proxy::onUploaded(ExchangeId id, Time received) {
  const auto it = uploads_.find(id);
  if (it == uploads_.end()) return;
  const Time deadline = std::min(received + it->second, last_);
  uploads_.erase(it);
  if (const auto held = waiting_.find(id); held != waiting_.end()) {
    held->second.ask.deadline = deadline;
    held->second.uploaded = received;
    return;
  }
  pool_.uploaded(id, received, deadline);
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
  releaseNumbers(request.request, request.request_class, request.tenant, request.may_have_run);
}

void Proxy::onClientGone(ExchangeId id) {
  uploads_.erase(id);
  if (const auto held = waiting_.find(id); held != waiting_.end()) {
    releaseNumbers(held->second.request, held->second.ask.request_class, held->second.ask.tenant);
    waiting_.erase(held);
    requests_.release(clock_.now(), id);
    return;
  }
  if (pool_.clientGone(id)) settled(id);
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
  Known known = known_;
  known.assign(next);
  load_balancer::Settings settings = known.settings(next);
  const admission::RequestGate::Limits limits = known.limits(next);
  const admission::RequestGate tried(limits);  // throws where they can't hold together
  // Or this; nothing has changed until then.
  pool_.reconfigure(std::move(settings), upstreamLimits(next));
  known_ = std::move(known);
  requests_.reconfigure(limits);
  duplicates_.reconfigure(repeatLimits(next));
  life_.setLongest(longestDeadline(next.site.settings));
  rejection_counters_.grow(known_.classes.size(), known_.tenants.size());
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
