#include "proxy.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "head_rules.h"

namespace quinceline {
namespace {

namespace asio = boost::asio;
using admission::Cause;
using weldflow::Action;
using weldflow::ActionKind;
using weldflow::Effect;
using weldflow::ListKind;
using weldflow::Outcome;
using weldflow::Result;

// Descriptors that are neither a client's nor a host's: standard streams, the loop's own, the listener,
// signals, discovery, and some to spare.
constexpr std::size_t kOwnDescriptors = 24;
constexpr std::uint64_t kMostKey = 1ULL << 53;
constexpr std::size_t kMegabyte = 1024 * 1024;

// After SIGTERM new connections go on coming for 0.4 s at most, and a request that crosses the closing of an
// idle connection is sent once more on a new one.
constexpr Time kIdleAfterTerm = 420 * kMillisecond;
constexpr Time kListenAfterTerm = 600 * kMillisecond;
constexpr Time kLastAfterTerm = 3600 * kMillisecond;

// Clients' own repeats that may be open whatever else is: what a few failing hosts lead to.
constexpr std::size_t kLeastRetries = 64;
constexpr std::size_t kRequestCost = 1024;  // bytes that an open request holds beside its head and body
constexpr Time kSummary = 10 * kSecond;     // between two lines on what was turned away

// A connection without an open request may be closed after this, says the protocol's later page.
constexpr Time kMayBeClosed = 2 * kSecond;

// What the request is about: the last part, as a number below 2^53 or as a stable hash of its text.
std::int64_t keyOf(std::string_view path) {
  const std::size_t slash = path.rfind('/');
  if (slash == 0 || slash == std::string_view::npos || slash + 1 == path.size()) return weldflow::kUnset;
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

Answer plain(int status) { return {.status = status, .body = {}, .content_type = {}, .retry_after = {}}; }

// Never more than a second.
Time shortestAim(const weldflow::Settings& settings) {
  Time aim = kSecond;
  for (const weldflow::RequestClass& c : settings.classes) aim = std::min(aim, c.aim);
  return aim;
}

Server::Limits serverLimits(const Config& config, std::size_t descriptors) {
  Server::Limits limits;
  limits.body_bytes = std::max<std::size_t>(config.memory_mb * kMegabyte / 4, kMostBody);
  limits.connections.most = descriptors;  // fewer where hosts use their share
  limits.connections.overflow = std::max<std::size_t>(descriptors / 16, 4);
  limits.connections.kept = config.own.idle_kept.value_or(std::max<std::size_t>(descriptors / 24, 8));
  limits.connections.most = config.own.connections.value_or(limits.connections.most);
  limits.connections.per_peer = config.own.connections_per_address.value_or(0);
  limits.connections.silent = config.own.first_byte.value_or(limits.connections.silent);
  limits.connections.request = config.own.request.value_or(limits.connections.request);
  limits.connections.idle = config.own.idle.value_or(limits.connections.idle);
  limits.connections.write = config.own.write.value_or(limits.connections.write);
  limits.connections.linger = config.own.linger.value_or(limits.connections.linger);
  return limits;
}

// Shares by name, in the order of `names`; `shares` are in the order of `of`.
std::vector<admission::RequestGate::Share> sharesOf(
    const std::vector<std::string>& names, const std::vector<std::string>& of,
    const std::vector<admission::RequestGate::Share>& shares) {
  std::vector<admission::RequestGate::Share> out;
  if (shares.empty()) return out;
  for (const std::string& name : names) {
    const auto it = std::find(of.begin(), of.end(), name);
    out.push_back(it == of.end() ? admission::RequestGate::Share{}
                                 : shares[static_cast<std::size_t>(it - of.begin())]);
  }
  return out;
}

// Classes and tenants in the configuration's order.
admission::RequestGate::Limits requestLimits(const Config& config) {
  const OperatorSettings& own = config.own;
  const weldflow::Settings& settings = config.site.settings;
  admission::RequestGate::Limits limits;
  limits.open = own.open.value_or(static_cast<std::size_t>(config.site.max_open));
  limits.bytes = std::max<std::size_t>(config.memory_mb * kMegabyte / 2, kMostBody);
  limits.waiting = own.waiting.value_or(limits.open / 8);
  limits.classes = own.classes;
  limits.classes.resize(settings.classes.size());
  limits.tenants = own.tenants;
  if (limits.tenants.empty()) {
    for (const weldflow::Tenant& t : settings.tenants)
      limits.tenants.push_back({.weight = std::max(t.fraction, 0.01)});
  }
  limits.retries_least = own.retries_least.value_or(kLeastRetries);
  limits.retries_part = own.retries_part.value_or(1);
  if (settings.retry_after) {
    limits.advice_least = shortestAim(settings) / 8;
    limits.advice_most = settings.max_retry_after;
  }
  return limits;
}

Upstream::Limits upstreamLimits(const Config& config) {
  Upstream::Limits limits;
  limits.idle = config.site.idle;
  limits.probe_load = config.site.reports;
  // Answers are small and written at once; what stops half-way is worth a part of the aim at most.
  const Time aim = shortestAim(config.site.settings);
  limits.answer_whole = std::max(aim / 4, 20 * kMillisecond);
  // A machine that has vanished must leave time for another; hosts are never far away.
  limits.connect_timeout = std::min(config.site.connect_timeout, std::max(aim / 4, 20 * kMillisecond));
  limits.idle = config.own.upstream_idle.value_or(limits.idle);
  limits.probe_timeout = config.own.probe_timeout.value_or(limits.probe_timeout);
  limits.answer_whole = config.own.answer.value_or(limits.answer_whole);
  limits.connect_timeout = config.own.connect.value_or(limits.connect_timeout);
  return limits;
}

std::size_t budgetOf(const Config& config) {
  return config.sockets > 2 * kOwnDescriptors ? config.sockets - kOwnDescriptors : kOwnDescriptors;
}

}  // namespace

void Proxy::Known::assign(const Config& config) {
  const weldflow::Settings& settings = config.site.settings;
  admission::Indices<weldflow::RequestClass>::Named classes_now;
  for (std::size_t i = 0; i < config.site.classes.size(); ++i) {
    classes_now.emplace_back(config.site.classes[i], settings.classes[i]);
    // As many attempts as when it came, also after a reload that says otherwise.
    std::int32_t& attempts = classes_now.back().second.max_attempts;
    if (attempts == 0) attempts = settings.max_attempts;
  }
  classes.assign(classes_now);
  admission::Indices<TenantInfo>::Named tenants_now;
  for (const std::string& name : config.site.tenants) tenants_now.emplace_back(name, TenantInfo{});
  tenants.assign(tenants_now);
}

// By number. One that no name means any more is what it was, for the requests that came under it.
weldflow::Settings Proxy::Known::settings(const Config& config) const {
  weldflow::Settings s = config.site.settings;
  s.classes.clear();
  for (std::size_t i = 0; i < classes.size(); ++i)
    s.classes.push_back(classes.at(static_cast<std::int32_t>(i)));
  s.tenants.assign(tenants.size(), {});
  for (std::size_t i = 0; i < config.site.tenants.size(); ++i) {
    if (const auto number = tenants.find(config.site.tenants[i]))
      s.tenants[static_cast<std::size_t>(*number)] = config.site.settings.tenants[i];
  }
  return s;
}

admission::RequestGate::Limits Proxy::Known::limits(const Config& config) const {
  admission::RequestGate::Limits limits = requestLimits(config);
  const auto byNumber = [](const auto& indices, const std::vector<std::string>& names, const auto& shares) {
    std::vector<admission::RequestGate::Share> out(indices.size());
    for (std::size_t i = 0; i < std::min(names.size(), shares.size()); ++i) {
      if (const auto number = indices.find(names[i])) out[static_cast<std::size_t>(*number)] = shares[i];
    }
    return out;
  };
  limits.classes = byNumber(classes, config.site.classes, limits.classes);
  limits.tenants = byNumber(tenants, config.site.tenants, limits.tenants);
  return limits;
}

Proxy::Proxy(boost::asio::io_context& io, Config config, Log& log, const Clock& clock)
    : io_(io),
      config_(std::move(config)),
      known_(config_),
      log_(log),
      clock_(clock),
      timers_(io, clock),
      descriptors_(clock, budgetOf(config_)),
      balancer_(known_.settings(config_), config_.seed),
      server_(io, timers_, descriptors_, log, *this, serverLimits(config_, descriptors_.limit())),
      upstream_(io, timers_, descriptors_, *this, upstreamLimits(config_)),
      discovery_(io, timers_, config_.zones, *this, config_.discovery, config_.known.revision, {}),
      requests_(known_.limits(config_)),
      ledger_(known_.classes.size(), known_.tenants.size()) {
  // Clients that only stay are cheaper to lose than connections to hosts, which cost these work to open.
  descriptors_.addReclaimer(Side::Clients, [this] { return server_.closeOneIdle(kMayBeClosed); });
  descriptors_.addReclaimer(Side::Hosts, [this] { return upstream_.closeOneIdle(); });
  descriptors_.addReclaimer(Side::Clients, [this] { return server_.closeOneIdle(); });
}

Proxy::~Proxy() = default;

void Proxy::start() {
  server_.listen(config_.listen);
  timers_.after(kSummary, [this] { summarize(); });
  config_.known.full = true;
  // What an operator has written is how it is; what a platform remembers may be old.
  applyList(std::exchange(config_.known, {}), config_.alone ? ListKind::Full : ListKind::Restored);
  if (pushed()) discovery_.subscribe();
}

// Where lists are pushed, the module waits for them; the agent beside us that has them still wants a watch.
bool Proxy::pushed() const {
  return !config_.alone && config_.site.settings.discovery == weldflow::Discovery::Push;
}

// ---- events for the module ----

template <typename Event>
void Proxy::tell(Event event) {
  if (telling_) {
    events_.emplace_back(std::move(event));
    return;
  }
  telling_ = true;
  event(clock_.now());
  carryOut();
  while (!events_.empty()) {
    const std::function<void(Time)> next = std::move(events_.front());
    events_.pop_front();
    next(clock_.now());
    carryOut();
  }
  telling_ = false;
}

void Proxy::carryOut() {
  // Acting adds no actions: what it leads to is told afterwards.
  for (const Action& action : actions_) act(action);
  actions_.clear();
}

void Proxy::act(const Action& action) {
  switch (action.kind) {
    case ActionKind::Send:
      return send(action);
    case ActionKind::Cancel:
      upstream_.giveUp(attemptId(action.request, action.attempt), Result::Cancelled);
      return;
    case ActionKind::Refuse: {
      Answer answer = plain(503);
      if (action.time > 0) answer.retry_after = action.time;
      return finish(action.request, answer);
    }
    case ActionKind::Fail: {
      const auto it = open_.find(action.request);
      return finish(action.request, plain(it != open_.end() && it->second.timed_out ? 504 : 502));
    }
    case ActionKind::Probe:
      return upstream_.probe(action.server);
    case ActionKind::Subscribe:
      if (!config_.alone) discovery_.subscribe();
      return;
    case ActionKind::SetTimer:
      timers_.at(action.time, [this, timer = action.timer] {
        tell([this, timer](Time now) { balancer_.onTimer(now, timer, actions_); });
      });
      return;
    case ActionKind::Trace:
      return log_.line(action.text);
  }
}

// ---- requests ----

std::optional<Proxy::ClassInfo> Proxy::classOf(std::string_view target) const {
  const auto index = known_.classes.find(firstPart(pathOf(target)));
  if (!index) return std::nullopt;
  const weldflow::RequestClass& c = known_.classes.at(*index);
  return ClassInfo{*index, c.deadline, c.effect};
}

// What is in flight or waits goes by these numbers to its end.
void Proxy::use(const admission::Ask& ask) {
  known_.classes.use(ask.request_class);
  known_.tenants.use(ask.tenant);
}

void Proxy::unuse(std::int32_t request_class, std::int32_t tenant) {
  known_.classes.release(request_class);
  known_.tenants.release(tenant);
}

std::optional<Answer> Proxy::onHead(const RequestHead& head, bool room) {
  if (pathOf(head.target) == "/healthz") return plain(head.method == "GET" ? 200 : 405);
  const std::optional<ClassInfo> info = classOf(head.target);
  if (!info) return plain(404);
  if (const auto fault = faultOf(head, info->effect)) return plain(fault->status);
  const admission::Ask ask = askOf(0, head, *info, 0, 0);
  const Cause cause = room ? requests_.early(ask) : Cause::ConnectionsFull;
  if (cause == Cause::None) return std::nullopt;
  requests_.noteRefused(clock_.now());
  return refusal(ask, cause);
}

void Proxy::onRequest(ExchangeId id, ClientRequest request) {
  // A reload may have come between its head and its last byte.
  const std::optional<ClassInfo> info = classOf(request.head.target);
  if (!info) return server_.answer(id, plain(404));
  if (const auto fault = faultOf(request.head, info->effect)) return server_.answer(id, plain(fault->status));
  // No longer than the class allows, whatever the client says: what is kept for a request must not outlive
  // it.
  const Time left =
      std::min(request.head.has_time_left ? parseSeconds(request.head.time_left).value_or(0) : info->deadline,
               info->deadline);
  const Time deadline = request.received + left;
  if (deadline <= clock_.now()) return server_.answer(id, plain(504));  // over before it was read
  // Two open requests of one id: hosts could not tell them apart, nor could their answers be told apart. The
  // first one's attempts count too, also after its answer. It would harm clients that reuse an id at once.
  if (!ids_.insert(request.head.correlation).second) return server_.answer(id, plain(409));
  const std::size_t bytes = (request.body ? request.body->size() : 0) + request.head.forward.size();
  const admission::Ask ask = askOf(id, request.head, *info, bytes, deadline);
  std::vector<admission::Refusal> displaced;
  const admission::Verdict verdict = requests_.offer(clock_.now(), ask, displaced);
  switch (verdict.entry) {
    case admission::Entry::Admitted:
      ledger_.note(Cause::None, ask.request_class, ask.tenant);
      open(ask, std::move(request), *info);
      break;
    case admission::Entry::Waits:
      use(ask);
      waiting_.emplace(id, Held{std::move(request), *info, ask});
      break;
    case admission::Entry::Refused:
      ids_.erase(request.head.correlation);
      server_.answer(id, refusal(ask, verdict.cause));
      break;
  }
  refuseWaiting(displaced);
  awaitPlaces();
}

// ---- admission: who gets a place, before the module hears of a request ----

admission::Ask Proxy::askOf(ExchangeId id, const RequestHead& head, const ClassInfo& info, std::size_t bytes,
                            Time deadline) const {
  return {.id = id,
          .request_class = info.index,
          .tenant = known_.tenants.find(head.account).value_or(weldflow::kUnset),
          .bytes = bytes + kRequestCost,
          .deadline = deadline,
          .retry = head.repeat};
}

// Nothing was sent for it yet: trying again is harmless, whatever its class.
Answer Proxy::refusal(const admission::Ask& ask, Cause cause) {
  ledger_.note(cause, ask.request_class, ask.tenant);
  Answer answer = plain(503);
  if (const Time advice = requests_.advice(clock_.now()); advice > 0) answer.retry_after = advice;
  return answer;
}

void Proxy::refuseWaiting(const std::vector<admission::Refusal>& refused) {
  for (const admission::Refusal& r : refused) {
    const auto it = waiting_.find(r.id);
    if (it == waiting_.end()) continue;
    const Held held = std::move(it->second);
    waiting_.erase(it);
    unuse(held.ask.request_class, held.ask.tenant);
    ids_.erase(held.request.head.correlation);
    server_.answer(r.id, refusal(held.ask, r.cause));
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
    ledger_.note(Cause::None, held.ask.request_class, held.ask.tenant);
    open(held.ask, std::move(held.request), held.info);
    unuse(held.ask.request_class, held.ask.tenant);  // as one that waits
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
void Proxy::settled(Open& r) {
  r.answered = true;
  requests_.release(clock_.now(), r.exchange);
  if (requests_.waiting() == 0 || std::exchange(places_freed_, true)) return;
  asio::post(io_, [this] { admitWaiting(); });
}

void Proxy::summarize() {
  const std::string news = ledger_.newsSinceLast(server_.gate().closed());
  if (!news.empty()) log_.line("admission, last 10 s: " + news);
  timers_.after(kSummary, [this] { summarize(); });
}

std::string Proxy::admissionReport() {
  using nlohmann::json;
  const admission::ConnectionGate& c = server_.gate();
  const auto bound = [](std::size_t n) { return n == admission::kNoBound ? json() : json(n); };
  json closed = json::object(), refused = json::object();
  const auto named = [](const auto& indices, std::size_t i) {
    return i < indices.size() ? indices.name(i) : "other";
  };
  for (std::size_t i = 1; i < admission::kCauses; ++i) {
    const auto cause = static_cast<Cause>(i);
    const std::string name(admission::nameOf(cause));
    if (c.closed()[i] > 0) closed[name] = c.closed()[i];
    for (std::size_t k = 0; k < ledger_.classes(); ++k) {
      for (std::size_t t = 0; t < ledger_.tenants(); ++t) {
        const auto n = ledger_.count(cause, k, t);
        if (n == 0) continue;
        json& cell = refused[name][named(known_.classes, k)][named(known_.tenants, t)];
        cell = n + (cell.is_number() ? cell.get<std::uint64_t>() : 0);  // a name may have had several numbers
      }
    }
  }
  const auto side = [&](Side s) {
    return json{{"used", descriptors_.used(s)}, {"most", descriptors_.most(s)}};
  };
  const auto& limits = requests_.limits();
  const json report = {
      {"name", config_.name},
      {"connections",
       {{"open", c.connections()},
        {"silent", c.silent()},
        {"idle", c.idle()},
        {"busy", c.busy()},
        {"addresses", c.peers()},
        {"most", c.limits().most},
        {"accepted", c.accepted()},
        {"reused_part", c.reuse().reusedPart()},
        {"kept_sparingly", c.reuse().frugal()},
        {"closed", closed}}},
      {"descriptors",
       {{"all", descriptors_.limit()}, {"clients", side(Side::Clients)}, {"hosts", side(Side::Hosts)}}},
      {"requests",
       {{"open", requests_.open()},
        {"waiting", requests_.waiting()},
        {"bytes", requests_.bytes()},
        {"repeats", requests_.retries()},
        {"most_open", bound(limits.open)},
        {"most_waiting", bound(limits.waiting)},
        {"most_bytes", bound(limits.bytes)},
        {"admitted", ledger_.total(Cause::None)},
        {"refused", refused}}}};
  return report.dump(2);
}

void Proxy::open(const admission::Ask& ask, ClientRequest request, const ClassInfo& info) {
  const RequestId id = next_request_++;
  const Time deadline = ask.deadline;
  weldflow::Request told;
  told.id = id;
  told.request_class = info.index;
  told.key = keyOf(pathOf(request.head.target));
  told.tenant = ask.tenant;
  use(ask);
  if (const auto hint = parseSeconds(request.head.weight_hint)) told.expected_work = *hint / kSecond;
  Open& r = open_[id];
  r.exchange = ask.id;
  r.request_class = ask.request_class;
  r.tenant = ask.tenant;
  r.request = std::move(request);
  r.deadline = deadline;
  r.unrepeatable = info.effect == Effect::Unsafe;
  by_exchange_.emplace(ask.id, id);
  timers_.at(deadline, [this, id] { onDeadline(id); });
  tell([this, told, deadline](Time now) mutable {
    told.time_left = deadline - now;
    balancer_.onRequest(now, told, actions_);
  });
}

void Proxy::send(const Action& action) {
  const auto it = open_.find(action.request);
  if (it == open_.end()) return;
  Open& r = it->second;
  const Time now = clock_.now();
  const Time left = r.deadline - now;
  const Time limit = action.time > 0 ? std::min(action.time, left) : left;
  const auto attempt = static_cast<std::int32_t>(r.attempts.size());
  r.attempts.push_back({.sent = now, .over = false});
  ++r.outstanding;
  const AttemptId id = attemptId(action.request, attempt);
  const bool may_go = !r.answered && limit > 0 && action.time >= 0 && r.attempts.size() < kMostAttempts;
  if (!may_go) return onAttemptEnd(id, {});
  timers_.at(now + limit, [this, request = action.request, attempt] { onAttemptTimeout(request, attempt); });
  upstream_.start(id, action.server, {headFor(r, limit), r.request.body, r.unrepeatable});
}

std::string Proxy::headFor(const Open& r, Time time_left) const {
  const RequestHead& from = r.request.head;
  std::string head;
  head.reserve(from.method.size() + from.target.size() + from.forward.size() + 128);
  head += from.method;
  head += ' ';
  head += from.target;
  head += " HTTP/1.1\r\n";
  head += from.forward;
  if (!from.has_host) head += "Host: api.internal\r\n";
  head += "X-Time-Left: ";
  head += formatSeconds(time_left);
  head += "\r\n";
  if (from.method != "GET" || r.request.body) {
    head += "Content-Length: ";
    head += std::to_string(r.request.body ? r.request.body->size() : 0);
    head += "\r\n";
  }
  head += "\r\n";
  return head;
}

void Proxy::finish(RequestId id, const Answer& answer) {
  const auto it = open_.find(id);
  if (it == open_.end() || it->second.answered) return;
  settled(it->second);
  server_.answer(it->second.exchange, answer);
  closeIfOver(id);
}

void Proxy::closeIfOver(RequestId id) {
  const auto it = open_.find(id);
  if (it == open_.end() || !it->second.answered || it->second.outstanding > 0) return;
  by_exchange_.erase(it->second.exchange);
  ids_.erase(it->second.request.head.correlation);
  unuse(it->second.request_class, it->second.tenant);
  open_.erase(it);
}

void Proxy::onAttemptTimeout(RequestId id, std::int32_t attempt) {
  const auto it = open_.find(id);
  if (it == open_.end() || it->second.attempts[static_cast<std::size_t>(attempt)].over) return;
  upstream_.giveUp(attemptId(id, attempt), Result::TimedOut);
}

void Proxy::onDeadline(RequestId id) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  const auto attempts = static_cast<std::int32_t>(it->second.attempts.size());
  for (std::int32_t a = 0; a < attempts; ++a) onAttemptTimeout(id, a);
  const auto after = open_.find(id);
  if (after == open_.end() || after->second.answered) return;
  // The module owes an answer at the latest now. A client must not wait for a mistake of ours.
  log_.line("defect: no final answer at the deadline of request " + std::to_string(id), LogLevel::Error);
  finish(id, plain(504));
  tell([this, id](Time now) { balancer_.onClientGone(now, id, actions_); });
}

void Proxy::onClientGone(ExchangeId exchange) {
  if (const auto held = waiting_.find(exchange); held != waiting_.end()) {
    ids_.erase(held->second.request.head.correlation);
    unuse(held->second.ask.request_class, held->second.ask.tenant);
    waiting_.erase(held);
    requests_.release(clock_.now(), exchange);
    return;
  }
  const auto known = by_exchange_.find(exchange);
  if (known == by_exchange_.end()) return;
  const RequestId id = known->second;
  Open& r = open_.at(id);
  if (r.answered) return;
  settled(r);
  tell([this, id](Time now) { balancer_.onClientGone(now, id, actions_); });
  closeIfOver(id);
}

// ---- attempts and probes ----

void Proxy::onAttemptEnd(AttemptId id, AttemptEnd end) {
  tell([this, id, end = std::move(end)](Time now) mutable {
    outcome(now, id / kMostAttempts, static_cast<std::int32_t>(id % kMostAttempts), std::move(end));
  });
}

void Proxy::outcome(Time now, RequestId id, std::int32_t attempt, AttemptEnd end) {
  const auto it = open_.find(id);
  if (it == open_.end()) return;
  Open& r = it->second;
  Attempt& a = r.attempts[static_cast<std::size_t>(attempt)];
  if (std::exchange(a.over, true)) return;
  --r.outstanding;
  r.timed_out |= end.result == Result::TimedOut;
  if (!r.answered && end.result == Result::Ok) {
    settled(r);
    Answer answer = plain(200);
    answer.body = std::move(end.body);
    answer.content_type = std::move(end.content_type);
    server_.answer(r.exchange, std::move(answer));
  }
  Outcome told;
  told.request = id;
  told.attempt = attempt;
  told.result = end.result;
  told.final = r.answered;
  told.latency = now - a.sent;
  told.load = parseLoad(end.load);
  balancer_.onOutcome(now, told, actions_);
  closeIfOver(id);
}

void Proxy::onProbeEnd(const std::string& uid, bool ok, Time latency, const std::string& load) {
  tell([this, uid, ok, latency, report = parseLoad(load)](Time now) {
    balancer_.onProbe(now, uid, ok, latency, report, actions_);
  });
}

// A report that is not well-formed is no report; the answer it came with stands.
weldflow::LoadReport Proxy::parseLoad(std::string_view text) const {
  weldflow::LoadReport report;
  if (!config_.site.reports || text.empty()) return report;
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
    if (weldflow::platform::isInFlightGauge(pair.substr(0, equals))) report.in_flight = value;
  }
  return report;
}

// ---- discovery ----

// What the list means together with what is known. An entry that could not be read leaves its host as it was.
// An address has one host, the one that started last: a machine that has been replaced may still be listed
// beside the new one, and what is sent to it then would come on top of what the new, cold one can take. This
// would harm a fleet in which hosts share an address, which the protocol does not have.
HostList Proxy::completed(HostList list) const {
  for (const std::string& uid : list.unread) {
    const auto known = listed_.find(uid);
    if (known == listed_.end()) continue;
    list.hosts.push_back(known->second.host);
    list.endpoints.push_back(known->second.endpoint);
  }
  std::map<std::string_view, std::size_t> named;
  for (std::size_t i = 0; i < list.hosts.size(); ++i) named[list.hosts[i].id] = i;
  std::map<Endpoint, weldflow::Host> holders;
  const auto claim = [&](const Endpoint& at, const weldflow::Host& host) {
    if (host.state == weldflow::HostState::Gone) return;
    const auto [it, first] = holders.emplace(at, host);
    if (!first && host.up_since >= it->second.up_since) it->second = host;
  };
  if (!list.full) {
    for (const auto& [uid, known] : listed_) {
      if (!named.count(uid)) claim(known.endpoint, known.host);
    }
  }
  for (std::size_t i = 0; i < list.hosts.size(); ++i) claim(list.endpoints[i], list.hosts[i]);
  const auto lost = [&](const Endpoint& at, const std::string& uid) { return holders.at(at).id != uid; };
  for (std::size_t i = 0; i < list.hosts.size(); ++i) {
    weldflow::Host& host = list.hosts[i];
    if (host.state != weldflow::HostState::Gone && lost(list.endpoints[i], host.id)) {
      host.state = weldflow::HostState::Gone;
    }
  }
  std::vector<weldflow::Host> replaced;
  for (const auto& [uid, known] : listed_) {
    if (!list.full && !named.count(uid) && lost(known.endpoint, uid)) replaced.push_back(known.host);
  }
  for (weldflow::Host& host : replaced) {
    host.state = weldflow::HostState::Gone;
    list.hosts.push_back(std::move(host));
    list.endpoints.emplace_back();
  }
  return list;
}

void Proxy::applyHosts(const HostList& list) {
  std::map<std::string, Listed, std::less<>> left;
  if (list.full) left.swap(listed_);
  for (std::size_t i = 0; i < list.hosts.size(); ++i) {
    const weldflow::Host& host = list.hosts[i];
    left.erase(host.id);
    if (host.state == weldflow::HostState::Gone) {
      upstream_.removeHost(host.id);
      listed_.erase(host.id);
    } else {
      upstream_.setHost(host.id, list.endpoints[i]);
      listed_[host.id] = {host, list.endpoints[i]};
    }
  }
  for (const auto& [uid, known] : left) upstream_.removeHost(uid);
}

void Proxy::onHostList(const HostList& news) {
  if (!news.unread.empty())
    log_.line("discovery: an entry is passed over: " + news.complaint, LogLevel::Warning);
  applyList(news, news.full ? ListKind::Full : ListKind::Changes);
}

void Proxy::applyList(HostList news, ListKind kind) {
  const HostList list = completed(std::move(news));
  applyHosts(list);
  tell([this, list, kind](Time now) { balancer_.onServers(now, kind, list.hosts, actions_); });
}

void Proxy::onDiscoveryLost(const std::string& why) {
  log_.line("discovery: " + why, LogLevel::Warning);
  if (pushed()) timers_.after(kSecond, [this] { discovery_.subscribe(); });
  tell([this](Time now) { balancer_.onServers(now, ListKind::Unavailable, {}, actions_); });
}

// ---- reload ----

void Proxy::setHosts(HostList list) {
  list.full = true;
  applyList(std::move(list), ListKind::Full);
}

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
  weldflow::Settings settings = known.settings(next);
  const admission::RequestGate::Limits limits = known.limits(next);
  const admission::RequestGate tried(limits);  // throws where they can't hold together
  balancer_.reconfigure(std::move(settings));  // or this; nothing has changed until then
  known_ = std::move(known);
  requests_.reconfigure(limits);
  ledger_.grow(known_.classes.size(), known_.tenants.size());
  server_.reconfigure(serverLimits(next, descriptors_.limit()).connections);
  upstream_.reconfigure(upstreamLimits(next));
  log_.setLevel(next.own.log_level);
  HostList hosts = std::exchange(next.known, {});
  const Endpoint discovery = next.discovery;
  next.listen = config_.listen;
  next.name = config_.name;
  config_ = std::move(next);
  if (config_.alone) {
    setHosts(std::move(hosts));
  } else if (discovery != discovery_.endpoint()) {
    log_.line("configuration read again: discovery has moved");
    discovery_.moveTo(discovery);
  } else if (config_.own.file.empty()) {
    log_.line("configuration read again: nothing new");
  }
  admitWaiting();  // there may be places now
}

// ---- shutdown ----

void Proxy::shutdown(std::function<void()> done) {
  if (done_) return;
  done_ = std::move(done);
  log_.line("shutting down");
  server_.drain();
  timers_.after(kIdleAfterTerm, [this] { server_.closeIdle(); });
  timers_.after(kListenAfterTerm, [this] {
    server_.stopListening();
    waitUntilDone();
  });
  timers_.after(kLastAfterTerm, [this] { done_(); });
}

void Proxy::waitUntilDone() {
  server_.closeIdle();
  if (server_.connections() == 0) return done_();
  timers_.after(20 * kMillisecond, [this] { waitUntilDone(); });
}

}  // namespace quinceline
