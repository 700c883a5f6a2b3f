#include "front/proxy.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "console/console_server.h"
#include "net/head_rules.h"

namespace quinceline {
namespace {

namespace asio = boost::asio;
using admission::Cause;
using weldflow::Effect;

// Descriptors that are neither a client's nor a host's: standard streams, the loop's own, the listener,
// signals, discovery, and some to spare.
constexpr std::size_t kOwnDescriptors = 24;
// The console's: its connections, its listener, and one that is about to make room for another.
constexpr std::size_t kConsoleDescriptors = console::ConsoleServer::kMostConnections + 2;
constexpr std::size_t kMegabyte = 1024 * 1024;

// Clients' own repeats that may be open whatever else is: what a few failing hosts lead to.
constexpr std::size_t kLeastRetries = 64;
constexpr std::size_t kRequestCost = 1024;       // bytes that an open request holds beside its head and body
constexpr Time kLongestUpload = 3600 * kSecond;  // its pace is the server's to watch
constexpr Time kLongestKept = 60 * kSecond;      // what may have run is remembered for, whatever classes say
constexpr Time kSummary = 10 * kSecond;          // between two lines on what was turned away

// A connection without an open request may be closed after this, says the protocol's later page.
constexpr Time kMayBeClosed = 2 * kSecond;

// Never more than a second.
Time shortestAim(const weldflow::Settings& settings) {
  Time aim = kSecond;
  for (const weldflow::RequestClass& c : settings.classes) aim = std::min(aim, c.aim);
  return aim;
}

Time longestDeadline(const weldflow::Settings& settings) {
  Time longest = 0;
  for (const weldflow::RequestClass& c : settings.classes) longest = std::max(longest, c.deadline);
  return longest;
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

// No client repeats later than its class's deadline, and no host drops repeats for longer than its window.
admission::Repeats::Limits repeatLimits(const Config& config) {
  admission::Repeats::Limits limits;
  limits.kept = 0;
  for (const weldflow::RequestClass& c : config.site.settings.classes)
    limits.kept = std::max({limits.kept, c.deadline, c.effect == Effect::Keyed ? 2 * c.window : 0});
  limits.kept = std::min(limits.kept, kLongestKept);
  limits.bytes = config.memory_mb * kMegabyte / 128;
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
  const std::size_t own = kOwnDescriptors + (config.console ? kConsoleDescriptors : 0);
  return config.sockets > 2 * own ? config.sockets - own : own;
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

Pool::Config Proxy::poolConfig(const Config& config, weldflow::Settings settings) {
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
      repeats_(repeatLimits(config_)),
      requests_(known_.limits(config_)),
      ledger_(known_.classes.size(), known_.tenants.size()),
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

// ---- one process after another ----

void Proxy::start(const handover::State& state) {
  HostList known = std::exchange(config_.known, {});
  if (!state.hosts.empty()) {
    try {
      known = parseHostList(state.hosts, config_.zones, BadEntry::PassOver);
    } catch (const std::runtime_error& e) {
      log_.line(std::string("the list of the process before this one is not used: ") + e.what(),
                LogLevel::Warning);
    }
  }
  repeats_.recall(clock_.now(), state.tried);
  pool_.start(std::move(known), state.servers);
  if (state.drained) drainClients();
  listen();
}

handover::State Proxy::state() const {
  handover::State state;
  state.hosts = formatHostList(pool_.hosts(), config_.zones);
  state.servers = pool_.remember();
  state.drained = drained();
  state.tried = repeats_.remember(clock_.now());
  return state;
}

void Proxy::handOn(handover::Successor successor) {
  successor_ = std::move(successor);
  if (successor_.tell) {  // before any client can repeat something there
    if (const auto tried = repeats_.remember(clock_.now()); !tried.empty()) successor_.tell(tried);
    successor_.tell({});  // that was all
  }
  live([this](lifecycle::Steps& steps) { life_.onHandOn(steps); });
}

void Proxy::takeBack() {
  successor_ = {};
  live([this](lifecycle::Steps& steps) { life_.onTakeBack(steps); });
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
  const weldflow::RequestClass& c = known_.classes.at(*index);
  return ClassInfo{*index, c.deadline, c.effect};
}

// What is in flight or waits goes by these numbers to its end.
void Proxy::use(const admission::Ask& ask) {
  known_.classes.use(ask.request_class);
  known_.tenants.use(ask.tenant);
}

// It is over, or was never let in: its numbers are free.
void Proxy::letGo(const ClientRequest& request, std::int32_t request_class, std::int32_t tenant,
                  bool may_have_run) {
  over(request.head.correlation, may_have_run);
  known_.classes.release(request_class);
  known_.tenants.release(tenant);
}

void Proxy::over(const std::string& correlation, bool may_have_run) {
  const admission::Tried tried = repeats_.end(clock_.now(), correlation, may_have_run);
  if (successor_.tell && !tried.id.empty()) successor_.tell({tried});
}

admission::Tried Proxy::triedOf(const RequestHead& head, std::int32_t request_class) const {
  const weldflow::RequestClass& c = known_.classes.at(request_class);
  admission::Tried tried;
  tried.id = head.correlation;
  tried.safe = c.effect == Effect::Safe;
  if (c.effect == Effect::Keyed) tried.key = head.key;
  if (c.effect == Effect::Keyed && c.group == weldflow::Group::All) tried.window = c.window;
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
  if (const auto fault = faultOf(head, info->effect)) return counted(plainAnswer(fault->status));
  const admission::Ask ask = askOf(0, head, *info, 0, 0);
  const Cause cause = room ? requests_.early(ask) : Cause::ConnectionsFull;
  if (cause == Cause::None) return std::nullopt;
  requests_.noteRefused(clock_.now());
  return counted(refusal(ask, cause));
}

void Proxy::onRequest(ExchangeId id, ClientRequest request) {
  // A reload may have come between its head and its last byte.
  const std::optional<ClassInfo> info = classOf(request.head.target);
  if (!info) return server_.answer(id, plainAnswer(404));
  if (const auto fault = faultOf(request.head, info->effect))
    return conclude(id, info->index, plainAnswer(fault->status));
  // No longer than the class allows, whatever the client says: what is kept for a request must not outlive
  // it.
  const Time left =
      std::min(request.head.has_time_left ? parseSeconds(request.head.time_left).value_or(0) : info->deadline,
               info->deadline);
  // Of a long request only the beginning is here; its client's time runs from its last byte.
  const Time deadline = std::min(request.received + (request.rest ? kLongestUpload : left), last_);
  if (left > 0 && clock_.now() >= last_)
    return conclude(id, info->index, refusal(askOf(id, request.head, *info, 0, 0), Cause::Shutdown));
  if (left <= 0 || deadline <= clock_.now())
    return conclude(id, info->index, plainAnswer(504));  // over before it was read
  const std::size_t bytes = (request.body ? request.body->size() : 0) + request.head.forward.size();
  const admission::Ask ask = askOf(id, request.head, *info, bytes, deadline);
  std::optional<Claimed> claimed;
  if (auto answer = barred(request.head, *info, ask, claimed))
    return conclude(id, info->index, std::move(*answer));
  // Two open requests of one id: hosts could not tell them apart, nor could their answers be told apart. The
  // first one's attempts count too, also after its answer; and what may have run must not run again. It would
  // harm clients that reuse an id, or a key for another request, within seconds.
  const admission::Tried tried = triedOf(request.head, info->index);
  if (repeats_.offer(clock_.now(), tried) != admission::Repeats::Verdict::New)
    return conclude(id, info->index, plainAnswer(409));
  if (request.rest) uploads_[id] = left;
  std::vector<admission::Refusal> displaced;
  const admission::Verdict verdict = requests_.offer(clock_.now(), ask, displaced);
  switch (verdict.entry) {
    case admission::Entry::Admitted:
      use(ask);
      ledger_.note(Cause::None, ask.request_class, ask.tenant);
      open(ask, std::move(request), *info, claimed);
      break;
    case admission::Entry::Waits:
      use(ask);
      waiting_.emplace(id, Held{std::move(request), *info, ask, 0, claimed});
      break;
    case admission::Entry::Refused:
      over(request.head.correlation, false);
      uploads_.erase(id);
      conclude(id, info->index, refusal(ask, verdict.cause));
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
  Answer answer = plainAnswer(503);
  if (const Time advice = requests_.advice(clock_.now()); advice > 0) answer.retry_after = advice;
  return answer;
}

std::optional<Answer> Proxy::barred(const RequestHead& head, const ClassInfo& info, const admission::Ask& ask,
                                    std::optional<Claimed>& claimed) {
  if (gate_ == nullptr) return std::nullopt;
  const auto later = [&](Cause cause, Time wait) {
    Answer answer = refusal(ask, cause);
    const Time most = config_.site.settings.max_retry_after;
    if (config_.site.settings.retry_after && wait > 0) answer.retry_after = std::min(wait, most);
    return answer;
  };
  const std::string& name = known_.classes.name(static_cast<std::size_t>(info.index));
  const ServiceGate::Match match = gate_->serviceOf(head, name, info.effect);
  if (match.malformed) return plainAnswer(400);
  if (const auto wait = gate_->heldBack(known_.classes.at(info.index), match.service.has_value()))
    return later(Cause::ComingBack, *wait);
  if (!match.service) return std::nullopt;
  const ServiceGate::Leave leave = gate_->leave(*match.service);
  if (!leave.may) return later(Cause::NoDeed, leave.wait);
  claimed = Claimed{*match.service, leave.zone};
  return std::nullopt;
}

void Proxy::refuseWaiting(const std::vector<admission::Refusal>& refused) {
  for (const admission::Refusal& r : refused) {
    const auto it = waiting_.find(r.id);
    if (it == waiting_.end()) continue;
    const Held held = std::move(it->second);
    waiting_.erase(it);
    letGo(held.request, held.ask.request_class, held.ask.tenant);
    uploads_.erase(r.id);
    conclude(r.id, held.ask.request_class, refusal(held.ask, r.cause));
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

std::string Proxy::stats() const {
  figures::Page page;
  for (std::size_t i = 0; i < known_.classes.size(); ++i)
    page.classes.push_back({known_.classes.name(i), counts_.of(i)});
  const weldflow::Standing hosts = pool_.standing();
  page.concurrent = server_.openRequests();
  page.targets = hosts.listed;
  page.targets_disabled = hosts.avoided;
  return figures::textOf(page);
}

// ---- the life cycle ----

template <typename Event>
void Proxy::live(Event event) {
  lifecycle::Steps steps;
  event(steps);
  for (const lifecycle::Step& step : steps) carryOut(step);
  awaitLife();
}

void Proxy::carryOut(const lifecycle::Step& step) {
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
    case Kind::TakeBack:
      pool_.keepConnections(true);
      return server_.keepAll();
    case Kind::StopListening:
      return server_.stopListening();
    case Kind::AnswerAll:
      return answerAll(step.by);
    case Kind::Leave:
      return done_();
  }
}

// Whoever waits for a place by then does not get one any more.
void Proxy::answerAll(Time by) {
  last_ = by;
  pool_.endBy(by);
  timers_.at(by, [this] {
    std::vector<admission::Refusal> left;
    for (const auto& [id, held] : waiting_) left.push_back({id, Cause::Shutdown});
    for (const admission::Refusal& r : left) requests_.release(clock_.now(), r.id);
    refuseWaiting(left);
  });
}

// As for places: a new timer only where something is due earlier than any that is set.
void Proxy::awaitLife() {
  const Time due = life_.due();
  if (due >= life_due_) return;
  life_due_ = due;
  timers_.at(due, [this, due] {
    if (life_due_ == due) life_due_ = kNever;
    live([this](lifecycle::Steps& steps) { life_.onTime(clock_.now(), clientsHere(), steps); });
  });
}

void Proxy::drainClients() {
  live([this](lifecycle::Steps& steps) {
    if (life_.onDrain(clock_.now(), steps)) log_.line("draining clients, by hand");
  });
}

void Proxy::takeClients() {
  live([this](lifecycle::Steps& steps) {
    if (life_.onUndrain(steps)) log_.line("taking clients again, by hand");
  });
}

void Proxy::shutdown(std::function<void()> done) {
  live([&](lifecycle::Steps& steps) {
    if (!life_.onEnd(clock_.now(), steps)) return;
    done_ = std::move(done);
    log_.line("shutting down");
  });
}

// ---- requests that were let in ----

void Proxy::open(const admission::Ask& ask, ClientRequest request, const ClassInfo& info,
                 const std::optional<Claimed>& claimed) {
  Taken taken{.exchange = ask.id,
              .request = std::move(request),
              .request_class = ask.request_class,
              .tenant = ask.tenant,
              .effect = info.effect,
              .deadline = ask.deadline,
              .patience = info.deadline};
  if (claimed) taken.service = claimed->service, taken.zone = claimed->zone;
  pool_.open(std::move(taken));
}

void Proxy::onAnswer(const Taken& request, Answer answer) {
  const ExchangeId id = request.exchange;
  const std::int32_t request_class = request.request_class;
  uploads_.erase(id);
  settled(id);
  if (gate_ != nullptr)
    gate_->ended({request.request.head, known_.classes.name(static_cast<std::size_t>(request_class)),
                  request.effect, known_.classes.at(request_class).worth, request.ran_in, request.ran_for,
                  answer.status});
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

void Proxy::onOver(const Taken& request) {
  letGo(request.request, request.request_class, request.tenant, request.may_have_run);
}

void Proxy::onClientGone(ExchangeId id) {
  uploads_.erase(id);
  if (const auto held = waiting_.find(id); held != waiting_.end()) {
    letGo(held->second.request, held->second.ask.request_class, held->second.ask.tenant);
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
  weldflow::Settings settings = known.settings(next);
  const admission::RequestGate::Limits limits = known.limits(next);
  const admission::RequestGate tried(limits);  // throws where they can't hold together
  // Or this; nothing has changed until then.
  pool_.reconfigure(std::move(settings), upstreamLimits(next));
  known_ = std::move(known);
  requests_.reconfigure(limits);
  repeats_.reconfigure(repeatLimits(next));
  life_.setLongest(longestDeadline(next.site.settings));
  ledger_.grow(known_.classes.size(), known_.tenants.size());
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

}  // namespace quinceline
