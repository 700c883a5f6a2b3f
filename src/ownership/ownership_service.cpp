#include "ownership/ownership_service.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <utility>

namespace client_proxy::ownership {
namespace {

using boost::system::error_code;
using nlohmann::ordered_json;

constexpr std::chrono::milliseconds kObserveInterval{100};
constexpr std::chrono::milliseconds kSlow{400};  // of one write to disk
constexpr const char* kRunning = "running";

std::string dumped(const ordered_json& page) {
  return page.dump(2, ' ', false, ordered_json::error_handler_t::replace);
}
// Whole milliseconds, in seconds.
double seconds(Time time) {
  const Time milliseconds = time / kMillisecond;
  return static_cast<double>(milliseconds) / 1000;
}

}  // namespace

OwnershipService::OwnershipService(boost::asio::io_context& io, const Clock& clock, Log& log,
                                   Settings settings, fleet_transport::MembershipService& talk,
                                   std::function<bool()> listed)
    : clock_(clock),
      log_(log),
      settings_(std::move(settings)),
      talk_(talk),
      listed_(std::move(listed)),
      services_(settings_.own.services),
      recovery_(std::max(settings_.longest_deadline, 2 * settings_.longest_window)),
      observe_timer_(io),
      due_timer_(io) {
  lease_settings_.lease = settings_.own.lease;
  lease_settings_.drain = settings_.longest_deadline + settings_.longest_window;
  lease_settings_.config_hash = services_.hash();
  std::vector<leases::Listed> listed_members;
  for (const fleet_transport::MembershipService::Member& m : talk_.members()) {
    const leases::SiteId site = leases::siteId(m.zone);
    listed_members.push_back({m.number, site});
    zones_[site] = m.zone;
  }
  for (const ServiceSetting& s : settings_.own.services) {
    for (const std::string& zone : {s.home, s.stand_by}) {
      if (!zone.empty()) zones_[leases::siteId(zone)] = zone;
    }
  }
  std::random_device random;
  try {
    member_ = std::make_unique<leases::Member>(lease_settings_, services_.deeds(), listed_members,
                                               settings_.number, random());
  } catch (const std::invalid_argument& e) {
    throw std::runtime_error(std::string("services: ") + e.what());
  }
  ChangePreviewCoordinator::Environment environment;
  environment.known = [this](leases::ServiceId id) { return member_->known(id); };
  environment.zone_of = [this](leases::SiteId site) { return zoneOf(site); };
  environment.pending = settings_.pending;
  environment.rooms = settings_.rooms;
  environment.live = [this] { return member_->liveness().live; };
  environment.send = [this](std::uint16_t to, std::string bytes) { talk_.send(to, std::move(bytes)); };
  rehearsing_ = std::make_unique<ChangePreviewCoordinator>(services_, settings_.own.services,
                                                           settings_.number, std::move(environment));
  if (settings_.own.memory.empty()) return;
  storage::AsyncStore::Callbacks callbacks;
  callbacks.written = [this](const storage::Change& change, bool ok) {
    const auto* const kept = std::get_if<leases::StoredGrant>(&change);
    if (kept == nullptr) return;
    leases::Output out;
    member_->onStored(clock_.now(), *kept, ok, out);
    perform(out);
  };
  callbacks.fault_changed = [this](const std::string& fault) {
    storage_fault_ = fault;
    log_.line(fault.empty() ? "memory: written again" : "memory: not written: " + fault,
              fault.empty() ? LogLevel::Info : LogLevel::Error);
  };
  store_ = std::make_unique<storage::AsyncStore>(io, settings_.own.memory,
                                                 storage::Store::Owner{settings_.fleet, settings_.number},
                                                 std::move(callbacks));
  storage_fault_ = store_->fault();
  if (!storage_fault_.empty())
    log_.line("memory: not used, nothing is remembered: " + storage_fault_, LogLevel::Error);
}

OwnershipService::~OwnershipService() = default;

void OwnershipService::start(bool handed_on) {
  const Time now = clock_.now();
  started_ = now;
  recovery::PreviousRun before = recovery::PreviousRun::Unknown;
  std::vector<leases::StoredGrant> remembered;
  std::uint32_t installation = 0;
  if (store_ && store_->contents()) {
    const storage::Contents& m = *store_->contents();
    before = m.fresh ? recovery::PreviousRun::None : recovery::PreviousRun::Clean;
    for (const storage::Note& n : m.notes) {
      if (n.name == kRunning && n.bytes == "1") before = recovery::PreviousRun::Interrupted;
    }
    remembered = m.grants;
    installation = m.installation;
    store_->write(storage::Note{kRunning, "1"});
    log_.line("memory: " + std::to_string(remembered.size()) + " deeds remembered; the process before: " +
              std::string(recovery::nameOf(handed_on ? recovery::PreviousRun::Clean : before)));
  }
  recovery_.start(now, handed_on ? recovery::PreviousRun::Clean : before);
  member_->start(now, remembered, installation);
  talk_.onApplicationMessage([this](std::uint16_t from, std::string_view bytes) {
    if (silent_) return;
    if (ChangePreviewCoordinator::isMine(bytes)) return rehearsing_->receive(clock_.now(), from, bytes);
    leases::Output out;
    member_->receive(clock_.now(), from, bytes, out);
    perform(out);
  });
  observe();
}

void OwnershipService::end() {
  if (store_) store_->write(storage::Note{kRunning, "0"});
}

void OwnershipService::stop() { silent_ = true; }
void OwnershipService::resume() {
  if (std::exchange(silent_, false)) armTimer();
}

// ---- what the front asks ----

ServiceGate::Match OwnershipService::serviceOf(const RequestHead& head, std::string_view request_class,
                                               load_balancer::Idempotency idempotency) const {
  const Services::Match m = services_.find(head.target, head.method, request_class);
  if (m.malformed) return {std::nullopt, true};
  if (!m.service || idempotency == load_balancer::Idempotency::Idempotent) return {};
  return {services_.deeds()[*m.service].id, false};
}

ServiceGate::Leave OwnershipService::leave(Service service) const {
  const leases::Permit p = member_->permit(service, clock_.now());
  if (!p.ok()) return {false, {}, 0, p.wait > 0 ? p.wait : lease_settings_.query_interval};
  return {true, zoneOf(p.site), p.term, 0};
}

std::optional<Time> OwnershipService::heldBack(const load_balancer::RequestClass& of, bool served) const {
  return recovery_.heldBack(clock_.now(), of, served);
}

void OwnershipService::turnedAway(Service service, std::uint32_t term) {
  leases::Output out;
  member_->onHostTerm(clock_.now(), service, term, out);
  perform(out);
}

std::string OwnershipService::zoneOf(leases::SiteId site) const {
  const auto it = zones_.find(site);
  return it == zones_.end() ? std::string() : it->second;
}

// ---- timers, messages, storage ----

void OwnershipService::observe() {
  leases::LivenessView outlook;
  for (const fleet_transport::MembershipService::Member& m : talk_.members()) {
    if (m.live || m.number == settings_.number) outlook.live.push_back(m.number);
  }
  for (const std::string& zone : talk_.lostZones()) outlook.lost.push_back(leases::siteId(zone));
  member_->observe(clock_.now(), std::move(outlook));
  const recovery::Stage stage = recovery_.stage(clock_.now(), facts());
  if (std::exchange(stage_, stage) != stage) log_.line("recovery: " + std::string(recovery::nameOf(stage)));
  if (store_) {
    const bool slow = store_->busyFor() >= kSlow;
    if (std::exchange(slow_logged_, slow) != slow)
      log_.line(slow ? "memory: the disk has been at one thing for " +
                           std::to_string(store_->busyFor().count()) + " ms"
                     : "memory: the disk goes on",
                LogLevel::Warning);
  }
  rehearsing_->onTime(clock_.now());
  armTimer();
  observe_timer_.expires_after(kObserveInterval);
  observe_timer_.async_wait([this](error_code ec) {
    if (!ec) observe();
  });
}

void OwnershipService::armTimer() {
  const Time due = silent_ ? kNever : member_->due();
  if (due == kNever || due >= armed_for_) return;
  armed_for_ = due;
  due_timer_.expires_after(std::chrono::microseconds(std::max<Time>(0, due - clock_.now())));
  due_timer_.async_wait([this](error_code ec) {
    if (ec) return;
    armed_for_ = kNever;
    if (silent_) return;
    leases::Output out;
    member_->onTime(clock_.now(), out);
    perform(out);
  });
}

void OwnershipService::store(const leases::StoredGrant& grant) {
  leases::Output out;
  if (!store_) {
    member_->onStored(clock_.now(), grant, true, out);  // nothing is stored: it lasts as long as this process
  } else if (!store_->write(grant)) {
    member_->onStored(clock_.now(), grant, false, out);
  }
  if (!out.messages.empty() || !out.log_lines.empty() || !out.writes.empty()) perform(out);
}

void OwnershipService::perform(leases::Output& out) {
  for (const leases::OutgoingMessage& p : out.messages) talk_.send(p.to, p.bytes);
  for (const std::string& line : out.log_lines) log_.line(line);
  if (out.discard_storage && store_) store_->discard();
  for (const leases::StoredGrant& grant : out.writes) store(grant);
  armTimer();
}

// ---- operators ----

recovery::Facts OwnershipService::facts() const {
  const Time now = clock_.now();
  recovery::Facts f;
  f.listed = listed_();
  f.heard = member_->synchronized(now);
  f.heard_of = member_->synchronizedMembers();
  f.majority = member_->voters().majority();
  for (const ServiceSetting& s : settings_.own.services) {
    double priority_weight = 0;
    for (const ServiceRoute& r : s.routes) {
      if (const auto it = settings_.priority_weight.find(r.request_class);
          it != settings_.priority_weight.end())
        priority_weight = std::max(priority_weight, it->second);
    }
    f.services.push_back({s.name, member_->permit(leases::serviceId(s.name), now), priority_weight});
  }
  return f;
}

std::string OwnershipService::page() const {
  const Time now = clock_.now();
  ordered_json services = ordered_json::array();
  for (const leases::Service& s : services_.deeds()) {
    const leases::Grant known = member_->known(s.id);
    const leases::Permit p = member_->permit(s.id, now);
    ordered_json one = {{"service", s.name},
                        {"home", zoneOf(s.home)},
                        {"stand_by", zoneOf(s.stand_by)},
                        {"owner", zoneOf(known.site)},
                        {"term", known.term},
                        {"ground", known.term == 0 ? "" : std::string(leases::nameOf(known.reason))},
                        {"sent", leases::nameOf(p.denial)},
                        {"disputed", member_->disputed(s.id)}};
    if (p.wait > 0) one["wait_s"] = seconds(p.wait);
    if (const leases::Lease* const lease = member_->lease(s.id)) {
      one["held_here"] = {{"confirmed", lease->confirmed},
                          {"for_s", seconds(std::max<Time>(0, lease->expires_at - now))},
                          {"ready", lease->ready}};
    }
    services.push_back(std::move(one));
  }
  ordered_json wrong = ordered_json::array();
  for (const leases::Conflict& f : member_->conflicts().all()) {
    const leases::Resolution& r = leases::resolutionOf(f.kind);
    std::string service;
    for (const leases::Service& s : services_.deeds()) service = s.id == f.service ? s.name : service;
    ordered_json one = {{"kind", leases::nameOf(f.kind)}, {"service", service}, {"claimant", f.claimant}};
    if (f.kind == leases::ConflictKind::CopiedStorage) one["same_as"] = f.other;
    if (f.claim.term > 0) {
      one["claimed"] = {{"zone", zoneOf(f.claim.site)}, {"term", f.claim.term}};
      one["known"] = {{"zone", zoneOf(f.against.site)}, {"term", f.against.term}};
    }
    one["times"] = f.times;
    one["first_s"] = seconds(now - f.first);
    one["settled"] = f.settled;
    one["stands_down"] = r.stands_down;
    one["meanwhile"] = r.meanwhile;
    one["ends"] = r.ends;
    wrong.push_back(std::move(one));
  }
  return dumped({{"member", settings_.number},
                 {"keeps", member_->isSiteLeader()},
                 {"lease_s", seconds(lease_settings_.lease)},
                 {"owed_s", seconds(lease_settings_.drainTime())},
                 {"services", services},
                 {"wrong_claims", wrong}});
}

std::string OwnershipService::recoveryPage() const {
  const Time now = clock_.now();
  const recovery::Facts f = facts();
  ordered_json waits = ordered_json::array();
  for (const recovery::Wait& w : recovery_.waits(now, f)) {
    ordered_json one = {{"not_served", w.what}, {"until", w.until}};
    if (w.time > 0) one["s"] = seconds(w.time);
    waits.push_back(std::move(one));
  }
  ordered_json memory = {{"used", store_ && store_->contents().has_value()}, {"fault", storage_fault_}};
  if (store_) memory["syncs"] = store_->syncs();
  return dumped({{"stage", recovery::nameOf(recovery_.stage(now, f))},
                 {"process_before", recovery::nameOf(recovery_.before())},
                 {"for_s", seconds(now - started_)},
                 {"heard", f.heard_of},
                 {"majority", f.majority},
                 {"may_promise", f.heard},
                 {"memory", memory},
                 {"waits", waits}});
}

bool OwnershipService::give(const std::string& service, const std::string& zone, std::string& said) {
  const leases::ServiceId id = leases::serviceId(service);
  const leases::SiteId site = leases::siteId(zone);
  const auto& all = services_.deeds();
  if (std::none_of(all.begin(), all.end(), [&](const leases::Service& s) { return s.id == id; }) ||
      !zones_.contains(site))
    return false;
  leases::Output out;
  said = member_->overrideOwner(clock_.now(), id, site, out);
  perform(out);
  return true;
}

}  // namespace client_proxy::ownership
