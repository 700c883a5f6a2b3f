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

constexpr std::uint8_t kAsk = 0x10, kTell = 0x20;
constexpr std::size_t kPiece = 180, kRecorded = 16'384;
constexpr Time kSpan = 1800 * kSecond, kAskEvery = 300 * kMillisecond, kWait = 5 * kSecond;

std::uint64_t hashOf(std::string_view text) {
  return std::uint64_t{leases::serviceId(text)} << 32 |
         leases::serviceId(std::string("#") + std::string(text));
}

// In the order of the wire.
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

std::vector<std::string> piecesOf(const PreviewTotals& totals, std::size_t most) {
  std::string all;
  const auto number = [&](double n) { fleet::put(all, std::bit_cast<std::uint64_t>(n)); };
  eachNumber(totals, number);
  fleet::put(all, static_cast<std::uint16_t>(totals.members));
  eachTable(totals, [&](const std::map<std::string, double>& table) {
    fleet::put(all, static_cast<std::uint16_t>(table.size()));
    for (const auto& [name, n] : table) {
      const std::string_view cut = std::string_view(name).substr(0, 64);
      fleet::put(all, static_cast<std::uint8_t>(cut.size()));
      all += cut;
      number(n);
    }
  });
  std::vector<std::string> pieces;
  for (std::size_t at = 0; at < all.size(); at += most) pieces.push_back(all.substr(at, most));
  return pieces;
}

std::optional<PreviewTotals> totalsOf(const std::vector<std::string>& pieces) {
  std::string all;
  for (const std::string& p : pieces) all += p;
  fleet::Reader in(all);
  PreviewTotals t;
  bool sound = true;
  const auto number = [&](double& n) {
    n = std::bit_cast<double>(in.get<std::uint64_t>());
    sound = sound && n >= 0 && n < 1e15;
  };
  eachNumber(t, number);
  t.members = in.get<std::uint16_t>();
  eachTable(t, [&](std::map<std::string, double>& table) {
    for (auto left = in.get<std::uint16_t>(); left > 0 && in.ok(); --left) {
      const std::string name(in.take(in.get<std::uint8_t>()));
      number(table[name]);
    }
  });
  if (!in.ok() || !sound || in.left() > 0) return std::nullopt;
  return t;
}

ChangePreviewCoordinator::ChangePreviewCoordinator(const Services& now,
                                                   const std::vector<ServiceSetting>& settings, Number self,
                                                   Environment environment)
    : now_(now),
      settings_(settings),
      self_(self),
      environment_(std::move(environment)),
      record_(kRecorded, kSpan, self + 1U) {}

void ChangePreviewCoordinator::note(const ServiceGate::CompletedRequest& r, Time now) {
  const routing::Target target = routing::targetOf(r.head.target);
  if (!target.ok()) return;
  traffic_sample::SampledRequest e;
  e.at = now;
  e.key = r.head.key.empty() ? 0 : hashOf(r.head.key);
  e.work = static_cast<float>(static_cast<double>(r.took) / 1e6);
  e.priority_weight = static_cast<float>(r.priority_weight);
  e.request_class = names_.numberOf(r.request_class);
  e.tenant = names_.numberOf(r.head.account);
  e.method = names_.numberOf(r.head.method);
  e.path = names_.numberOf(traffic_sample::shapeOf(target.path));
  e.zone = names_.numberOf(r.zone);
  e.idempotency = r.idempotency == load_balancer::Idempotency::Idempotent
                      ? traffic_sample::Idempotency::Idempotent
                  : r.idempotency == load_balancer::Idempotency::IdempotentWithKey
                      ? traffic_sample::Idempotency::IdempotentWithKey
                      : traffic_sample::Idempotency::NonIdempotent;
  e.outcome = r.status == 200   ? traffic_sample::Outcome::Served
              : r.status == 503 ? traffic_sample::Outcome::Refused
                                : traffic_sample::Outcome::Failed;
  record_.note(e);
}

std::variant<ChangePreviewCoordinator::Pending, ChangePreviewCoordinator::InvalidPending>
ChangePreviewCoordinator::readPending() const {
  try {
    ServiceSettings settings = environment_.pending();
    Services services(settings.services);
    const std::uint32_t hash = services.hash() == 0 ? 1 : services.hash();
    return Pending{hash, std::move(settings.services), std::move(services)};
  } catch (const std::exception& e) {
    return InvalidPending{e.what()};
  }
}

// The grant that holds stays with its service, unless the file gives it another home.
PreviewTotals ChangePreviewCoordinator::replay(const Pending& pending, Time now) const {
  const auto side = [&](const Services& services, const std::vector<ServiceSetting>& settings) {
    change_preview::RoutingSnapshot s;
    std::vector<std::string> zones;
    for (const ServiceSetting& v : settings) {
      const auto before =
          std::find_if(settings_.begin(), settings_.end(), [&](auto& o) { return o.name == v.name; });
      const leases::Grant held = environment_.known(leases::serviceId(v.name));
      const bool stays = held.term > 0 && before != settings_.end() && before->home == v.home;
      zones.push_back(stays ? environment_.zone_of(held.site) : v.home);
      for (const ServiceRoute& r : v.routes) s.routes.push_back(v.name + "/" + r.name);
    }
    s.place = [this, &services, &settings, zones](const traffic_sample::SampledRequest& e) {
      change_preview::Placement p;
      const Services::Match m =
          services.find(names_.at(e.path), names_.at(e.method), names_.at(e.request_class));
      if (!m.service) return p;
      p.service = static_cast<std::int32_t>(*m.service);
      p.route = static_cast<std::int32_t>(m.route);
      p.service_name = settings[*m.service].name;
      p.zone = zones[*m.service];
      return p;
    };
    return s;
  };
  return change_preview::replay(record_, names_, side(now_, settings_),
                                side(pending.services, pending.settings), now);
}

change_preview::PreviewInputs ChangePreviewCoordinator::inputs() const {
  change_preview::PreviewInputs g;
  g.file = now_.hash();
  g.pending = pending_;
  std::uint32_t services = 0, members = 0;
  for (const leases::Service& s : now_.services()) {
    const leases::Grant d = environment_.known(s.id);
    services ^= leases::serviceId(s.name + "/" + std::to_string(d.term) + "/" + std::to_string(d.site));
  }
  for (const Number n : environment_.live()) members ^= leases::serviceId("member " + std::to_string(n));
  g.services = services;
  g.members = members;
  return g;
}

std::optional<std::string> ChangePreviewCoordinator::begin(Time now) {
  const std::variant<Pending, InvalidPending> read = readPending();
  if (const auto* const invalid = std::get_if<InvalidPending>(&read)) return invalid->reason;
  const auto& pending = std::get<Pending>(read);
  ++round_;
  pending_ = pending.hash;
  began_ = now;
  heard_.clear();
  heard_[self_] = {pending_, {}, 0, replay(pending, now)};
  inputs_ = inputs();
  asked_ = now - kAskEvery;
  onTime(now);
  return std::nullopt;
}

void ChangePreviewCoordinator::ask(Number to) {
  std::string bytes;
  fleet::put(bytes, kAsk);
  fleet::put(bytes, round_);
  fleet::put(bytes, pending_);
  environment_.send(to, bytes);
}

void ChangePreviewCoordinator::onTime(Time now) {
  if (round_ == 0 || done(now) || now - asked_ < kAskEvery) return;
  asked_ = now;
  for (const Number n : environment_.live()) {
    const auto it = heard_.find(n);
    if (n != self_ && (it == heard_.end() || (!it->second.totals && it->second.pending == pending_))) ask(n);
  }
}

bool ChangePreviewCoordinator::done(Time now) const {
  if (now - began_ >= kWait) return true;
  const std::vector<Number> live = environment_.live();
  return std::all_of(live.begin(), live.end(), [&](Number n) {
    const auto it = heard_.find(n);
    return it != heard_.end() && (it->second.totals || it->second.pending != pending_);
  });
}

void ChangePreviewCoordinator::receive(Time now, Number from, std::string_view parcel) {
  fleet::Reader in(parcel);
  const auto kind = in.get<std::uint8_t>();
  const auto round = in.get<std::uint32_t>();
  const auto pending = in.get<std::uint32_t>();
  if (!in.ok()) return;
  if (kind == kAsk) {
    const std::variant<Pending, InvalidPending> read = readPending();
    const auto* const own = std::get_if<Pending>(&read);
    const std::uint32_t hash = own != nullptr ? own->hash : 0;
    std::vector<std::string> pieces = {""};
    if (own != nullptr && hash == pending) pieces = piecesOf(replay(*own, now), kPiece);
    for (std::size_t i = 0; i < pieces.size() && i < 255; ++i) {
      std::string bytes;
      fleet::put(bytes, kTell);
      fleet::put(bytes, round);
      fleet::put(bytes, hash);
      fleet::put(bytes, static_cast<std::uint8_t>(i));
      fleet::put(bytes, static_cast<std::uint8_t>(pieces.size()));
      environment_.send(from, bytes + pieces[i]);
    }
    return;
  }
  if (kind != kTell || round != round_) return;
  const auto piece = in.get<std::uint8_t>(), of = in.get<std::uint8_t>();
  if (!in.ok()) return;
  Heard& h = heard_[from];
  if (h.totals) return;
  h.pending = pending;
  if (pending != pending_) return;
  if (h.of != of) h.pieces.clear();  // its record has grown since it was asked first
  h.of = of;
  h.pieces[piece] = std::string(in.take(in.left()));
  if (h.pieces.size() < h.of) return;
  std::vector<std::string> all;
  for (auto& [at, bytes] : h.pieces) all.push_back(bytes);
  h.totals = totalsOf(all);
  if (!h.totals) h.pieces.clear();  // pieces of two answers
}

std::string ChangePreviewCoordinator::page(Time now) const {
  if (round_ == 0) return ordered_json{{"state", "none"}}.dump(2);
  PreviewTotals all;
  std::size_t unlike = 0;
  ordered_json others = ordered_json::array();
  for (const auto& [n, h] : heard_) {
    if (h.totals) {
      all.add(*h.totals);
    } else if (h.pending != pending_) {
      ++unlike;
      others.push_back(n);
    }
  }
  const change_preview::Assessment v =
      change_preview::assess(all, environment_.rooms(), environment_.live().size(), unlike, inputs_);
  const bool holds = v.holds(inputs());
  const auto part = [&](double n) { return all.all > 0 ? n / all.all : 0; };
  ordered_json load = ordered_json::object();
  for (const auto& [zone, work] : all.work)
    load[zone] = all.seconds > 0 ? work / all.seconds * static_cast<double>(all.members) : 0;
  ordered_json page = {{"state", !done(now) ? "gathering"
                                 : holds    ? "judged"
                                            : "void"},
                       {"judgement", change_preview::nameOf(v.risk)},
                       {"causes", v.causes},
                       {"members", all.members},
                       {"coverage", v.coverage},
                       {"error", v.error},
                       {"unlike", others},
                       {"requests", all.all},
                       {"seconds", all.members > 0 ? all.seconds / static_cast<double>(all.members) : 0},
                       {"to_other_service", part(all.to_other_service)},
                       {"to_other_site", part(all.to_other_site)},
                       {"left_alone", part(all.left_alone)},
                       {"taken_in", part(all.taken_in)},
                       {"keys_split", part(all.keys_split)},
                       {"load", load},
                       {"classes", all.classes},
                       {"tenants", all.tenants},
                       {"routes", all.routes}};
  return page.dump(2, ' ', false, ordered_json::error_handler_t::replace);
}

}  // namespace client_proxy::ownership
