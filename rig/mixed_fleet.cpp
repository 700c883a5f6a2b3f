#include "mixed_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <thread>

#include "process_usage.h"

namespace client_proxy::rig {
namespace {

using nlohmann::json;

constexpr const char* kPathOfServices = "/v1/";

Plan layoutOf(const MixedPlan& mixed) {
  Plan plan;
  plan.seed = mixed.seed;
  plan.proxies = mixed.members;
  plan.classes = {{.name = "slot-status", .idempotency = Idempotency::NonIdempotent}};
  for (const char* zone : {"a", "b", "c"})
    plan.zones.push_back({.name = zone, .region = "north", .hosts = 0});
  for (const char* zone : {"d", "e"}) plan.zones.push_back({.name = zone, .region = "south", .hosts = 0});
  for (std::size_t s = 0; s < mixed.services; ++s) {
    const std::string name = "service-" + std::to_string(s);
    plan.services.push_back({.name = name,
                             .request_class = plan.classes.front().name,
                             .home = s % plan.zones.size(),
                             .stand_by = (s + 1) % plan.zones.size(),
                             .path = kPathOfServices + name + "/*"});
  }
  plan.lease = mixed.lease;
  plan.memory = false;
  plan.hollow = mixed.members - mixed.real;
  plan.operator_file = true;
  plan.relay_all = mixed.loss > 0;
  return plan;
}

Plan withDiscovery(Plan plan, const DiscoveryStub& discovery) {
  const auto& at = discovery.at();
  plan.discovery = at.address().to_string() + ":" + std::to_string(at.port());
  return plan;
}

std::string textOf(const DatagramRelay::Endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

// An address that no other run uses.
boost::asio::ip::address ownAddress() {
  return boost::asio::ip::address_v4(0x7F'4F'00'00U | (static_cast<unsigned>(getpid()) & 0xFFFFU));
}

std::vector<std::string> namesOf(const std::vector<ZonePlan>& zones) {
  std::vector<std::string> names;
  for (const ZonePlan& z : zones) names.push_back(z.name);
  return names;
}

double steadySeconds() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

}  // namespace

MixedFleet::MixedFleet(const std::string& program, const std::string& hollow, const MixedPlan& plan)
    : plan_(plan), layout_(layoutOf(plan)) {
  if (plan_.real > plan_.members) throw std::runtime_error("more real members than members");
  discovery_ = std::make_unique<DiscoveryStub>(ownAddress(), plan_.hosts > 0 ? plan_.hosts : plan_.members,
                                               namesOf(layout_.zones));
  // A FleetRig without a site: its proxies ask the stub.
  rig_ = FleetRig::withoutSite(program, withDiscovery(layout_, *discovery_));
  relay().setLinkOf([this](DatagramRelay::Number from, DatagramRelay::Number to) {
    DatagramRelay::Link link;
    link.loss = plan_.loss;
    if (regionOf(from) != regionOf(to)) link.least = link.most = plan_.between_regions;
    return link;
  });
  for (std::size_t first = 0; first < this->hollow(); first += plan_.hollow_a_process) {
    std::vector<std::size_t> held;
    for (std::size_t n = first; n < std::min(first + plan_.hollow_a_process, this->hollow()); ++n)
      held.push_back(n);
    const std::string file = rig_->folder() + "/hollow-" + std::to_string(first) + ".json";
    writeMembersFile(file, held);
    processes_.push_back(std::make_unique<HollowProcess>(hollow, file, held));
  }
}

MixedFleet::~MixedFleet() { processes_.clear(); }

void MixedFleet::writeMembersFile(const std::string& path, const std::vector<std::size_t>& held) const {
  json members = json::array(), services = json::array(), addresses;
  for (std::size_t n = 0; n < plan_.members; ++n) {
    members.push_back(
        {{"number", n}, {"zone", zoneOf(n)}, {"region", regionOf(n)}, {"listen", textOf(rig_->listens(n))}});
    if (addresses.contains(regionOf(n))) continue;
    for (const auto& peer : rig_->peersOf(n)) addresses[regionOf(n)].push_back(textOf(peer));
  }
  for (const ServicePlan& s : layout_.services) {
    services.push_back({{"name", s.name},
                        {"home", layout_.zones[s.home].name},
                        {"stand_by", layout_.zones[s.stand_by].name},
                        {"path", s.path},
                        {"class", s.request_class}});
  }
  const auto& discovery = discovery_->at();
  const json file = {{"fleet", "rig"},
                     {"zones", namesOf(layout_.zones)},
                     {"members", members},
                     {"addresses", addresses},
                     {"held", held},
                     {"services", services},
                     {"lease_ms", plan_.lease.count()},
                     {"deadline_ms", layout_.classes.front().deadline.count() / 1000},
                     {"discovery", discovery.address().to_string() + ":" + std::to_string(discovery.port())}};
  std::ofstream(path, std::ios::trunc) << file.dump();
}

MixedFleet::Numbers MixedFleet::which(const std::function<bool(std::size_t)>& holds) const {
  Numbers some;
  for (std::size_t n = 0; n < plan_.members; ++n) {
    if (holds(n)) some.insert(n);
  }
  return some;
}

MixedFleet::Numbers MixedFleet::all() const {
  return which([](std::size_t) { return true; });
}

MixedFleet::Numbers MixedFleet::keepers() const {
  return which([&](std::size_t n) { return n < layout_.zones.size(); });
}

std::vector<json> MixedFleet::command(const std::string& what, const Numbers& members) {
  std::vector<HollowProcess*> asked;
  for (const auto& process : processes_) {
    std::string numbers;
    for (const std::size_t n : process->held()) {
      if (members.contains(n)) numbers += " " + std::to_string(n);
    }
    if (numbers.empty()) continue;
    process->send(what + numbers);
    asked.push_back(process.get());
  }
  std::vector<json> answers;
  for (HollowProcess* process : asked) answers.push_back(process->receive());
  return answers;
}

void MixedFleet::start(const Numbers& members) {
  for (const std::size_t n : members) {
    if (!isHollow(n) && !running_.contains(n)) rig_->start(n);
  }
  command("start", members);
  running_.insert(members.begin(), members.end());
}

void MixedFleet::crash(const Numbers& members) {
  for (const std::size_t n : members) {
    if (!isHollow(n)) rig_->kill(n);
    running_.erase(n);
  }
  command("crash", members);
}

bool MixedFleet::eachView(const Numbers& members, const std::function<bool(const View&)>& take) {
  std::size_t hollow_seen = 0;
  for (const json& answer : command("views", members)) {
    for (const json& v : answer.at("views")) {
      if (!take({v.at("live"), v.at("hash")})) return false;
      hollow_seen += v.at("members").get<std::size_t>();
    }
  }
  for (const std::size_t n : members) {
    if (isHollow(n)) continue;
    const json page = rig_->pageOf(n, "/fleet/brief");
    if (page.is_null() || !take({page.at("live"), page.at("hash")})) return false;
  }
  return hollow_seen == static_cast<std::size_t>(std::count_if(members.begin(), members.end(),
                                                               [&](std::size_t n) { return isHollow(n); }));
}

bool MixedFleet::agree(const Numbers& members, std::size_t live) {
  std::optional<std::uint32_t> hash;
  return eachView(members, [&](const View& view) {
    if (!hash) hash = view.hash;
    return view.live == live && view.hash == *hash;
  });
}

bool MixedFleet::count(const Numbers& members, std::size_t live) {
  return eachView(members, [&](const View& view) { return view.live == live; });
}

std::string MixedFleet::viewsOfHollow() {
  std::map<std::size_t, std::size_t> holders;
  for (const json& answer : command("views", all())) {
    for (const json& v : answer.at("views")) holders[v.at("live")] += v.at("members").get<std::size_t>();
  }
  std::string text;
  for (const auto& [live, members] : holders)
    text += (text.empty() ? "" : ", ") + std::to_string(live) + ": " + std::to_string(members);
  return text;
}

double MixedFleet::until(const std::function<bool()>& holds, std::chrono::milliseconds look,
                         std::chrono::seconds limit) {
  const auto began = std::chrono::steady_clock::now();
  const auto passed = [&] { return std::chrono::steady_clock::now() - began; };
  while (!holds()) {
    if (passed() > limit) return -1;
    std::this_thread::sleep_for(look);
  }
  return std::chrono::duration<double>(passed()).count();
}

std::vector<MemberTraffic> MixedFleet::traffic() {
  std::vector<MemberTraffic> members;
  for (const json& answer : command("traffic", all())) {
    for (const json& m : answer.at("members")) {
      MemberTraffic one{.number = m.at("number"), .hollow = true, .at_s = m.at("at_s"), .counts = {}};
      one.counts = {.datagrams_in = m.at("datagrams_in"),
                    .datagrams_out = m.at("datagrams_out"),
                    .bytes_in = m.at("bytes_in"),
                    .bytes_out = m.at("bytes_out"),
                    .messages_in = m.at("parcels_in"),
                    .messages_out = m.at("parcels_out"),
                    .message_bytes_in = m.at("parcel_bytes_in"),
                    .message_bytes_out = m.at("parcel_bytes_out")};
      one.worst_out = m.at("worst_out");
      one.worst_in = m.at("worst_in");
      members.push_back(one);
    }
  }
  for (const std::size_t n : running_) {
    if (isHollow(n)) continue;
    const json page = rig_->page(n);
    if (page.is_null()) continue;
    const json& counts = page.at("datagrams");
    MemberTraffic one{.number = n, .hollow = false, .at_s = steadySeconds(), .counts = {}};
    one.counts.datagrams_in = counts.at("in");
    one.counts.datagrams_out = counts.at("out");
    one.counts.bytes_in = counts.at("bytes_in");
    one.counts.bytes_out = counts.at("bytes_out");
    members.push_back(one);
  }
  return members;
}

void MixedFleet::resetWorstSeconds() {
  for (const auto& process : processes_) process->ask("reset");
}

std::size_t MixedFleet::served() {
  std::size_t members = 0;
  for (const json& answer : command("clients", all())) {
    for (const json& m : answer.at("members"))
      members += m.contains("leases") && m.at("leases").at("served") == plan_.services ? 1 : 0;
  }
  return members;
}

std::size_t MixedFleet::watching() {
  std::size_t members = 0;
  for (const json& answer : command("clients", all())) {
    for (const json& m : answer.at("members")) members += m.at("discovery").at("watching") == true ? 1 : 0;
  }
  return members;
}

void MixedFleet::cutRegions(bool cut) {
  if (!cut) return relay().setCut({});
  relay().setCut([this](DatagramRelay::Number from, DatagramRelay::Number to) {
    return regionOf(from) != regionOf(to);
  });
}

MixedFleet::Usage MixedFleet::usage() const {
  Usage all;
  for (const auto& process : processes_) {
    all.hollow_cpu_ms += cpuMilliseconds(process->pid());
    all.hollow_mb += residentMegabytes(process->pid()) - process->emptyMegabytes();
  }
  for (const std::size_t n : running_) {
    if (isHollow(n)) continue;
    all.real_cpu_ms += cpuMilliseconds(rig_->pid(n));
    all.real_mb += residentMegabytes(rig_->pid(n));
  }
  all.own_cpu_ms = cpuMilliseconds(getpid());
  return all;
}

std::string MixedFleet::logs() const {
  std::string all = rig_->logs();
  for (const auto& process : processes_) all += process->log();
  return all;
}

}  // namespace client_proxy::rig
