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
constexpr std::chrono::milliseconds kSlowWrite{400};  // a longer write to disk is logged
// Stored note: "1" while a process runs, "0" after a clean shutdown.
constexpr const char* kRunningNote = "running";

std::string prettyPrinted(const ordered_json& page) {
  return page.dump(2, ' ', false, ordered_json::error_handler_t::replace);
}
// In seconds, rounded down to whole milliseconds.
double seconds(Time time) {
  const Time milliseconds = time / kMillisecond;
  return static_cast<double>(milliseconds) / 1000;
}

}  // namespace

OwnershipService::OwnershipService(boost::asio::io_context& io, const Clock& clock, Log& log,
                                   Settings settings, fleet_transport::MembershipService& membership,
                                   std::function<bool()> has_hosts)
    : clock_(clock),
      log_(log),
      settings_(std::move(settings)),
      membership_(membership),
      has_hosts_(std::move(has_hosts)),
      services_(settings_.own.services),
      recovery_(std::max(settings_.longest_deadline, 2 * settings_.longest_window)),
      observe_timer_(io),
      due_timer_(io) {
  lease_settings_.lease = settings_.own.lease;
  lease_settings_.drain = settings_.longest_deadline + settings_.longest_window;
  lease_settings_.config_hash = services_.hash();
  std::vector<leases::ListedMember> listed_members;
  for (const fleet_transport::MembershipService::Member& m : membership_.members()) {
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
    member_ = std::make_unique<leases::Member>(lease_settings_, services_.services(), listed_members,
                                               settings_.number, random());
  } catch (const std::invalid_argument& e) {
    throw std::runtime_error(std::string("services: ") + e.what());
  }
  ChangePreviewCoordinator::Environment environment;
  environment.known_grant = [this](leases::ServiceId id) { return member_->known(id); };
  environment.zone_of = [this](leases::SiteId site) { return zoneOf(site); };
  environment.load_pending = settings_.pending;
  environment.zone_capacity = settings_.zone_capacity;
  environment.live_members = [this] { return member_->liveness().live; };
  environment.send = [this](std::uint16_t to, std::string bytes) { membership_.send(to, std::move(bytes)); };
  change_preview_ = std::make_unique<ChangePreviewCoordinator>(services_, settings_.own.services,
                                                               settings_.number, std::move(environment));
  if (settings_.own.memory.empty()) return;
  storage::AsyncStore::Callbacks callbacks;
  callbacks.written = [this](const storage::Change& change, bool ok) {
    const auto* const grant = std::get_if<leases::StoredGrant>(&change);
    if (grant == nullptr) return;
    leases::Output out;
    member_->onStored(clock_.now(), *grant, ok, out);
    perform(out);
  };
  callbacks.fault_changed = [this](const std::string& fault) {
    storage_fault_ = fault;
    log_.line(fault.empty() ? "storage write recovered" : "storage write failed reason=" + fault,
              fault.empty() ? LogLevel::Info : LogLevel::Error);
  };
  store_ = std::make_unique<storage::AsyncStore>(io, settings_.own.memory,
                                                 storage::Store::Owner{settings_.fleet, settings_.number},
                                                 std::move(callbacks));
  storage_fault_ = store_->fault();
  if (!storage_fault_.empty()) log_.line("storage not used reason=" + storage_fault_, LogLevel::Error);
}

OwnershipService::~OwnershipService() = default;

void OwnershipService::start(bool handed_over) {
  const Time now = clock_.now();
  started_ = now;
  recovery::PreviousRun previous_run = recovery::PreviousRun::Unknown;
  std::vector<leases::StoredGrant> stored;
  std::uint32_t installation = 0;
  if (store_ && store_->contents()) {
    const storage::Contents& contents = *store_->contents();
    previous_run = contents.fresh ? recovery::PreviousRun::None : recovery::PreviousRun::Clean;
    for (const storage::Note& note : contents.notes) {
      if (note.name == kRunningNote && note.bytes == "1") previous_run = recovery::PreviousRun::Interrupted;
    }
    stored = contents.grants;
    installation = contents.installation;
    store_->write(storage::Note{kRunningNote, "1"});
    log_.line("storage loaded leases=" + std::to_string(stored.size()) + " previous_run=" +
              std::string(recovery::nameOf(handed_over ? recovery::PreviousRun::Clean : previous_run)));
  }
  recovery_.start(now, handed_over ? recovery::PreviousRun::Clean : previous_run);
  member_->start(now, stored, installation);
  membership_.onApplicationMessage([this](std::uint16_t from, std::string_view bytes) {
    if (stopped_) return;
    if (ChangePreviewCoordinator::isPreviewMessage(bytes))
      return change_preview_->receive(clock_.now(), from, bytes);
    leases::Output out;
    member_->receive(clock_.now(), from, bytes, out);
    perform(out);
  });
  observe();
}

void OwnershipService::end() {
  if (store_) store_->write(storage::Note{kRunningNote, "0"});
}

void OwnershipService::stop() { stopped_ = true; }
void OwnershipService::resume() {
  if (std::exchange(stopped_, false)) armTimer();
}

// ---- ServiceGate, called by the front ----

ServiceGate::Match OwnershipService::serviceOf(const RequestHead& head, std::string_view request_class,
                                               load_balancer::Idempotency idempotency) const {
  const Services::Match match = services_.find(head.target, head.method, request_class);
  if (match.malformed) return {std::nullopt, true};
  if (!match.service || idempotency == load_balancer::Idempotency::Idempotent) return {};
  return {services_.services()[*match.service].id, false};
}

ServiceGate::Permission OwnershipService::permission(Service service) const {
  const leases::Permit permit = member_->permit(service, clock_.now());
  if (!permit.ok()) return {false, {}, 0, permit.wait > 0 ? permit.wait : lease_settings_.query_interval};
  return {true, zoneOf(permit.site), permit.term, 0};
}

std::optional<Time> OwnershipService::delayAfterRestart(const load_balancer::RequestClass& of,
                                                        bool served) const {
  return recovery_.delayAfterRestart(clock_.now(), of, served);
}

void OwnershipService::onRejectedByHost(Service service, std::uint32_t term) {
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
  leases::LivenessView liveness;
  for (const fleet_transport::MembershipService::Member& m : membership_.members()) {
    if (m.live || m.number == settings_.number) liveness.live.push_back(m.number);
  }
  for (const std::string& zone : membership_.lostZones()) liveness.lost.push_back(leases::siteId(zone));
  member_->observe(clock_.now(), std::move(liveness));
  const recovery::Stage stage = recovery_.stage(clock_.now(), facts());
  if (std::exchange(stage_, stage) != stage)
    log_.line("recovery stage changed stage=" + std::string(recovery::nameOf(stage)));
  if (store_) {
    const bool slow = store_->busyFor() >= kSlowWrite;
    if (std::exchange(slow_logged_, slow) != slow)
      log_.line(slow ? "storage write slow duration_ms=" + std::to_string(store_->busyFor().count())
                     : "storage write completed",
                LogLevel::Warning);
  }
  change_preview_->onTime(clock_.now());
  armTimer();
  observe_timer_.expires_after(kObserveInterval);
  observe_timer_.async_wait([this](error_code ec) {
    if (!ec) observe();
  });
}

void OwnershipService::armTimer() {
  const Time due = stopped_ ? kNever : member_->due();
  if (due == kNever || due >= timer_due_) return;
  timer_due_ = due;
  due_timer_.expires_after(std::chrono::microseconds(std::max<Time>(0, due - clock_.now())));
  due_timer_.async_wait([this](error_code ec) {
    if (ec) return;
    timer_due_ = kNever;
    if (stopped_) return;
    leases::Output out;
    member_->onTime(clock_.now(), out);
    perform(out);
  });
}

void OwnershipService::store(const leases::StoredGrant& grant) {
  leases::Output out;
  if (!store_) {
    // Without storage a promise lasts as long as this process.
    member_->onStored(clock_.now(), grant, true, out);
  } else if (!store_->write(grant)) {
    member_->onStored(clock_.now(), grant, false, out);
  }
  if (!out.messages.empty() || !out.log_lines.empty() || !out.writes.empty()) perform(out);
}

void OwnershipService::perform(leases::Output& out) {
  for (const leases::OutgoingMessage& message : out.messages) membership_.send(message.to, message.bytes);
  for (const std::string& line : out.log_lines) log_.line(line);
  if (out.discard_storage && store_) store_->discard();
  for (const leases::StoredGrant& grant : out.writes) store(grant);
  armTimer();
}

// ---- operators ----

recovery::Facts OwnershipService::facts() const {
  const Time now = clock_.now();
  recovery::Facts facts;
  facts.has_hosts = has_hosts_();
  facts.synchronized = member_->synchronized(now);
  facts.synchronized_members = member_->synchronizedMembers();
  facts.majority = member_->voters().majority();
  for (const ServiceSetting& service : settings_.own.services) {
    double priority_weight = 0;
    for (const ServiceRoute& route : service.routes) {
      if (const auto it = settings_.priority_weight.find(route.request_class);
          it != settings_.priority_weight.end())
        priority_weight = std::max(priority_weight, it->second);
    }
    facts.services.push_back(
        {service.name, member_->permit(leases::serviceId(service.name), now), priority_weight});
  }
  return facts;
}

std::string OwnershipService::page() const {
  const Time now = clock_.now();
  ordered_json services = ordered_json::array();
  for (const leases::Service& s : services_.services()) {
    const leases::Grant known = member_->known(s.id);
    const leases::Permit permit = member_->permit(s.id, now);
    ordered_json one = {{"service", s.name},
                        {"home", zoneOf(s.home)},
                        {"stand_by", zoneOf(s.stand_by)},
                        {"owner", zoneOf(known.site)},
                        {"term", known.term},
                        {"ground", known.term == 0 ? "" : std::string(leases::nameOf(known.reason))},
                        {"sent", leases::nameOf(permit.denial)},
                        {"disputed", member_->disputed(s.id)}};
    if (permit.wait > 0) one["wait_s"] = seconds(permit.wait);
    if (const leases::Lease* const lease = member_->lease(s.id)) {
      one["held_here"] = {{"confirmed", lease->confirmed},
                          {"for_s", seconds(std::max<Time>(0, lease->expires_at - now))},
                          {"ready", lease->ready}};
    }
    services.push_back(std::move(one));
  }
  ordered_json conflicts = ordered_json::array();
  for (const leases::Conflict& conflict : member_->conflicts().all()) {
    const leases::Resolution& resolution = leases::resolutionOf(conflict.kind);
    std::string service;
    for (const leases::Service& s : services_.services())
      service = s.id == conflict.service ? s.name : service;
    ordered_json one = {
        {"kind", leases::nameOf(conflict.kind)}, {"service", service}, {"claimant", conflict.claimant}};
    if (conflict.kind == leases::ConflictKind::CopiedStorage) one["same_as"] = conflict.other;
    if (conflict.claim.term > 0) {
      one["claimed"] = {{"zone", zoneOf(conflict.claim.site)}, {"term", conflict.claim.term}};
      one["known"] = {{"zone", zoneOf(conflict.known.site)}, {"term", conflict.known.term}};
    }
    one["times"] = conflict.times;
    one["first_s"] = seconds(now - conflict.first);
    one["settled"] = conflict.settled;
    one["stands_down"] = resolution.yielding_party;
    one["meanwhile"] = resolution.served_meanwhile;
    one["ends"] = resolution.ends_when;
    conflicts.push_back(std::move(one));
  }
  return prettyPrinted({{"member", settings_.number},
                        {"keeps", member_->isSiteLeader()},
                        {"lease_s", seconds(lease_settings_.lease)},
                        {"owed_s", seconds(lease_settings_.drainTime())},
                        {"services", services},
                        {"wrong_claims", conflicts}});
}

std::string OwnershipService::recoveryPage() const {
  const Time now = clock_.now();
  const recovery::Facts current_facts = facts();
  ordered_json waits = ordered_json::array();
  for (const recovery::Wait& wait : recovery_.waits(now, current_facts)) {
    ordered_json one = {{"not_served", wait.what}, {"until", wait.until}};
    if (wait.time > 0) one["s"] = seconds(wait.time);
    waits.push_back(std::move(one));
  }
  ordered_json memory = {{"used", store_ && store_->contents().has_value()}, {"fault", storage_fault_}};
  if (store_) memory["syncs"] = store_->syncs();
  return prettyPrinted({{"stage", recovery::nameOf(recovery_.stage(now, current_facts))},
                        {"process_before", recovery::nameOf(recovery_.before())},
                        {"for_s", seconds(now - started_)},
                        {"heard", current_facts.synchronized_members},
                        {"majority", current_facts.majority},
                        {"may_promise", current_facts.synchronized},
                        {"memory", memory},
                        {"waits", waits}});
}

std::optional<std::string> OwnershipService::overrideOwner(const std::string& service,
                                                           const std::string& zone) {
  const leases::ServiceId id = leases::serviceId(service);
  const leases::SiteId site = leases::siteId(zone);
  const std::vector<leases::Service>& all = services_.services();
  const bool known =
      std::any_of(all.begin(), all.end(), [&](const leases::Service& s) { return s.id == id; });
  if (!known || !zones_.contains(site)) return std::nullopt;
  leases::Output out;
  std::string overridden = member_->overrideOwner(clock_.now(), id, site, out);
  perform(out);
  return overridden;
}

}  // namespace client_proxy::ownership
