#include "ownership/change_preview_coordinator.h"

#include <algorithm>
#include <bit>
#include <nlohmann/json.hpp>

#include "fleet/bytes.h"
#include "routing/target.h"

namespace client_proxy::ownership {
namespace {

using change_preview::PreviewTotals;
using nlohmann::ordered_json;

constexpr std::uint8_t kTotalsRequest = 0x10, kTotalsReply = 0x20;
constexpr std::size_t kMaxPieceBytes = 180, kMaxSampled = 16'384;
constexpr Time kSampledTime = 1800 * kSecond, kRequestInterval = 300 * kMillisecond,
               kReplyTimeout = 5 * kSecond;

std::uint64_t hashOf(std::string_view text) {
  return std::uint64_t{leases::serviceId(text)} << 32 |
         leases::serviceId(std::string("#") + std::string(text));
}

// Visits the numbers and tables in the order of the wire format.
template <typename T, typename Each>
void eachNumber(T& t, Each each) {
  each(t.all), each(t.squares), each(t.to_other_service), each(t.to_other_site), each(t.left_alone);
  each(t.taken_in), each(t.keys_split), each(t.seconds);
}
template <typename T, typename Each>
void eachTable(T& t, Each each) {
  each(t.work), each(t.classes), each(t.tenants), each(t.routes);
}

}  // namespace

std::vector<std::string> encodeToPieces(const PreviewTotals& totals, std::size_t max_bytes) {
  std::string all;
  const auto number = [&](double n) { fleet::put(all, std::bit_cast<std::uint64_t>(n)); };
  eachNumber(totals, number);
  fleet::put(all, static_cast<std::uint16_t>(totals.members));
  eachTable(totals, [&](const std::map<std::string, double>& table) {
    fleet::put(all, static_cast<std::uint16_t>(table.size()));
    for (const auto& [name, n] : table) {
      const std::string_view truncated = std::string_view(name).substr(0, 64);
      fleet::put(all, static_cast<std::uint8_t>(truncated.size()));
      all += truncated;
      number(n);
    }
  });
  std::vector<std::string> pieces;
  for (std::size_t at = 0; at < all.size(); at += max_bytes) pieces.push_back(all.substr(at, max_bytes));
  return pieces;
}

std::optional<PreviewTotals> decodeTotals(const std::vector<std::string>& pieces) {
  std::string all;
  for (const std::string& p : pieces) all += p;
  fleet::Reader in(all);
  PreviewTotals t;
  bool valid = true;
  const auto number = [&](double& n) {
    n = std::bit_cast<double>(in.get<std::uint64_t>());
    valid = valid && n >= 0 && n < 1e15;
  };
  eachNumber(t, number);
  t.members = in.get<std::uint16_t>();
  eachTable(t, [&](std::map<std::string, double>& table) {
    for (auto left = in.get<std::uint16_t>(); left > 0 && in.ok(); --left) {
      const std::string name(in.take(in.get<std::uint8_t>()));
      number(table[name]);
    }
  });
  if (!in.ok() || !valid || in.left() > 0) return std::nullopt;
  return t;
}

ChangePreviewCoordinator::ChangePreviewCoordinator(const Services& current,
                                                   const std::vector<ServiceSetting>& settings, Number self,
                                                   Environment environment)
    : current_(current),
      settings_(settings),
      self_(self),
      environment_(std::move(environment)),
      sample_(kMaxSampled, kSampledTime, self + 1U) {}

void ChangePreviewCoordinator::note(const ServiceGate::CompletedRequest& r, Time now) {
  const routing::Target target = routing::targetOf(r.head.target);
  if (!target.ok()) return;
  traffic_sample::SampledRequest sampled;
  sampled.at = now;
  sampled.key = r.head.key.empty() ? 0 : hashOf(r.head.key);
  sampled.work = static_cast<float>(static_cast<double>(r.took) / 1e6);
  sampled.priority_weight = static_cast<float>(r.priority_weight);
  sampled.request_class = names_.numberOf(r.request_class);
  sampled.tenant = names_.numberOf(r.head.account);
  sampled.method = names_.numberOf(r.head.method);
  sampled.path = names_.numberOf(traffic_sample::shapeOf(target.path));
  sampled.zone = names_.numberOf(r.zone);
  sampled.idempotency = r.idempotency == load_balancer::Idempotency::Idempotent
                            ? traffic_sample::Idempotency::Idempotent
                        : r.idempotency == load_balancer::Idempotency::IdempotentWithKey
                            ? traffic_sample::Idempotency::IdempotentWithKey
                            : traffic_sample::Idempotency::NonIdempotent;
  sampled.outcome = r.status == 200   ? traffic_sample::Outcome::Served
                    : r.status == 503 ? traffic_sample::Outcome::Refused
                                      : traffic_sample::Outcome::Failed;
  sample_.note(sampled);
}

std::variant<ChangePreviewCoordinator::Pending, ChangePreviewCoordinator::InvalidPending>
ChangePreviewCoordinator::readPending() const {
  try {
    ServiceSettings settings = environment_.load_pending();
    Services services(settings.services);
    const std::uint32_t hash = services.hash() == 0 ? 1 : services.hash();
    return Pending{hash, std::move(settings.services), std::move(services)};
  } catch (const std::exception& e) {
    return InvalidPending{e.what()};
  }
}

// Assumes that a service keeps its current owner, unless the pending file changes its home.
PreviewTotals ChangePreviewCoordinator::replay(const Pending& pending, Time now) const {
  const auto snapshot_of = [&](const Services& services, const std::vector<ServiceSetting>& settings) {
    change_preview::RoutingSnapshot snapshot;
    std::vector<std::string> zones;
    for (const ServiceSetting& service : settings) {
      const auto before =
          std::find_if(settings_.begin(), settings_.end(), [&](auto& o) { return o.name == service.name; });
      const leases::Grant known = environment_.known_grant(leases::serviceId(service.name));
      const bool keeps_owner = known.term > 0 && before != settings_.end() && before->home == service.home;
      zones.push_back(keeps_owner ? environment_.zone_of(known.site) : service.home);
      for (const ServiceRoute& r : service.routes) snapshot.routes.push_back(service.name + "/" + r.name);
    }
    snapshot.place = [this, &services, &settings, zones](const traffic_sample::SampledRequest& sampled) {
      change_preview::Placement placement;
      const Services::Match match =
          services.find(names_.at(sampled.path), names_.at(sampled.method), names_.at(sampled.request_class));
      if (!match.service) return placement;
      placement.service = static_cast<std::int32_t>(*match.service);
      placement.route = static_cast<std::int32_t>(match.route);
      placement.service_name = settings[*match.service].name;
      placement.zone = zones[*match.service];
      return placement;
    };
    return snapshot;
  };
  return change_preview::replay(sample_, names_, snapshot_of(current_, settings_),
                                snapshot_of(pending.services, pending.settings), now);
}

change_preview::PreviewInputs ChangePreviewCoordinator::inputs() const {
  change_preview::PreviewInputs inputs;
  inputs.file = current_.hash();
  inputs.pending = pending_;
  std::uint32_t services = 0, members = 0;
  for (const leases::Service& s : current_.services()) {
    const leases::Grant grant = environment_.known_grant(s.id);
    services ^=
        leases::serviceId(s.name + "/" + std::to_string(grant.term) + "/" + std::to_string(grant.site));
  }
  for (const Number n : environment_.live_members())
    members ^= leases::serviceId("member " + std::to_string(n));
  inputs.services = services;
  inputs.members = members;
  return inputs;
}

std::optional<std::string> ChangePreviewCoordinator::begin(Time now) {
  const std::variant<Pending, InvalidPending> read = readPending();
  if (const auto* const invalid = std::get_if<InvalidPending>(&read)) return invalid->reason;
  const auto& pending = std::get<Pending>(read);
  ++round_;
  pending_ = pending.hash;
  started_at_ = now;
  replies_.clear();
  replies_[self_] = {pending_, {}, 0, replay(pending, now)};
  inputs_ = inputs();
  last_request_at_ = now - kRequestInterval;
  onTime(now);
  return std::nullopt;
}

void ChangePreviewCoordinator::requestTotals(Number to) {
  std::string bytes;
  fleet::put(bytes, kTotalsRequest);
  fleet::put(bytes, round_);
  fleet::put(bytes, pending_);
  environment_.send(to, bytes);
}

void ChangePreviewCoordinator::onTime(Time now) {
  if (round_ == 0 || done(now) || now - last_request_at_ < kRequestInterval) return;
  last_request_at_ = now;
  for (const Number n : environment_.live_members()) {
    const auto it = replies_.find(n);
    if (n != self_ && (it == replies_.end() || (!it->second.totals && it->second.pending == pending_)))
      requestTotals(n);
  }
}

bool ChangePreviewCoordinator::done(Time now) const {
  if (now - started_at_ >= kReplyTimeout) return true;
  const std::vector<Number> live = environment_.live_members();
  return std::all_of(live.begin(), live.end(), [&](Number n) {
    const auto it = replies_.find(n);
    return it != replies_.end() && (it->second.totals || it->second.pending != pending_);
  });
}

void ChangePreviewCoordinator::receive(Time now, Number from, std::string_view message) {
  fleet::Reader in(message);
  const auto kind = in.get<std::uint8_t>();
  const auto round = in.get<std::uint32_t>();
  const auto pending = in.get<std::uint32_t>();
  if (!in.ok()) return;
  if (kind == kTotalsRequest) {
    const std::variant<Pending, InvalidPending> read = readPending();
    const auto* const own = std::get_if<Pending>(&read);
    const std::uint32_t hash = own != nullptr ? own->hash : 0;
    std::vector<std::string> pieces = {""};
    if (own != nullptr && hash == pending) pieces = encodeToPieces(replay(*own, now), kMaxPieceBytes);
    for (std::size_t i = 0; i < pieces.size() && i < 255; ++i) {
      std::string bytes;
      fleet::put(bytes, kTotalsReply);
      fleet::put(bytes, round);
      fleet::put(bytes, hash);
      fleet::put(bytes, static_cast<std::uint8_t>(i));
      fleet::put(bytes, static_cast<std::uint8_t>(pieces.size()));
      environment_.send(from, bytes + pieces[i]);
    }
    return;
  }
  if (kind != kTotalsReply || round != round_) return;
  const auto piece = in.get<std::uint8_t>(), piece_count = in.get<std::uint8_t>();
  if (!in.ok()) return;
  Reply& reply = replies_[from];
  if (reply.totals) return;
  reply.pending = pending;
  if (pending != pending_) return;
  if (reply.piece_count != piece_count)
    reply.pieces.clear();  // the member's sample has grown since the first request
  reply.piece_count = piece_count;
  reply.pieces[piece] = std::string(in.take(in.left()));
  if (reply.pieces.size() < reply.piece_count) return;
  std::vector<std::string> all;
  for (auto& [index, bytes] : reply.pieces) all.push_back(bytes);
  reply.totals = decodeTotals(all);
  if (!reply.totals) reply.pieces.clear();  // the pieces come from two different replies
}

std::string ChangePreviewCoordinator::page(Time now) const {
  if (round_ == 0) return ordered_json{{"state", "none"}}.dump(2);
  PreviewTotals all;
  std::size_t differing_count = 0;
  ordered_json differing = ordered_json::array();
  for (const auto& [n, reply] : replies_) {
    if (reply.totals) {
      all.add(*reply.totals);
    } else if (reply.pending != pending_) {
      ++differing_count;
      differing.push_back(n);
    }
  }
  const change_preview::Assessment assessment = change_preview::assess(
      all, environment_.zone_capacity(), environment_.live_members().size(), differing_count, inputs_);
  const bool still_valid = assessment.holds(inputs());
  const auto fraction = [&](double n) { return all.all > 0 ? n / all.all : 0; };
  ordered_json load = ordered_json::object();
  for (const auto& [zone, work] : all.work)
    load[zone] = all.seconds > 0 ? work / all.seconds * static_cast<double>(all.members) : 0;
  ordered_json page = {{"state", !done(now)    ? "gathering"
                                 : still_valid ? "judged"
                                               : "void"},
                       {"judgement", change_preview::nameOf(assessment.risk)},
                       {"causes", assessment.causes},
                       {"members", all.members},
                       {"coverage", assessment.coverage},
                       {"error", assessment.error},
                       {"unlike", differing},
                       {"requests", all.all},
                       {"seconds", all.members > 0 ? all.seconds / static_cast<double>(all.members) : 0},
                       {"to_other_service", fraction(all.to_other_service)},
                       {"to_other_site", fraction(all.to_other_site)},
                       {"left_alone", fraction(all.left_alone)},
                       {"taken_in", fraction(all.taken_in)},
                       {"keys_split", fraction(all.keys_split)},
                       {"load", load},
                       {"classes", all.classes},
                       {"tenants", all.tenants},
                       {"routes", all.routes}};
  return page.dump(2, ' ', false, ordered_json::error_handler_t::replace);
}

}  // namespace client_proxy::ownership
