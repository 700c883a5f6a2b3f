#include "fleet_rig.h"

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace client_proxy::rig {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;

constexpr std::chrono::seconds kLimit{40};
constexpr std::chrono::milliseconds kLook{20};

template <typename Endpoint>
std::string textOf(const Endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

json settingsOf(std::size_t me, const Plan& plan, bool allowed) {
  json zones = json::array(), classes = json::array();
  for (const ZonePlan& z : plan.zones) zones.push_back(z.name);
  for (const ClassPlan& c : plan.classes) {
    json one = {{"name", c.name},
                {"goal_time_us", c.latency_objective.count()},
                {"deadline_us", c.deadline.count()},
                {"effect", c.idempotency == Idempotency::Idempotent      ? "retryable"
                           : c.idempotency == Idempotency::NonIdempotent ? "fragile"
                                                                         : "dedup"}};
    if (c.idempotency == Idempotency::IdempotentWithKey)
      one["group"] = "zone", one["window_us"] = c.window.count();
    classes.push_back(std::move(one));
  }
  return {{"me", me},
          {"peers_total", plan.proxies},
          {"discovery", "ask"},
          {"my_zone", plan.zoneOfProxy(me)},
          {"tick_us", 5000},
          {"zones", zones},
          {"parties", {{{"name", "acme"}, {"fraction", 1.0}}}},
          {"request_classes", classes},
          {"limits",
           {{"max_attempts", 6},
            {"peers", allowed},
            {"may_cancel", true},
            {"retry_after", true},
            {"max_retry_after_us", 1500000},
            {"max_open", 1000},
            {"conn_idle_us", 10000000},
            {"connect_timeout_us", 250000}}},
          {"rules",
           {{"drain_grace_us", kDrainGrace.count()},
            {"cold_from", plan.slow_start.initial_capacity},
            {"cold_us", plan.slow_start.duration.count()},
            {"tip_multiple", plan.slow_start.overload_factor},
            {"fall_us", plan.slow_start.overload_window.count()},
            {"ask_within_us", 10000000}}}};
}

// An address that no other run uses, nor another rig of this one: what is free here is free until it is
// taken.
asio::ip::address ownAddress() {
  constexpr unsigned kFirst = 0x7F'60'00'00U, kRigs = 16;
  static std::atomic<unsigned> rigs{0};
  return asio::ip::address_v4(kFirst + ((rigs++ % kRigs) << 16) +
                              (static_cast<unsigned>(getpid()) & 0xFFFFU));
}

Plan alone(std::size_t members, std::uint64_t seed) {
  Plan plan;
  plan.seed = seed;
  plan.proxies = members;
  plan.classes = {{.name = "slot-status"}};
  for (const char* zone : {"a", "b", "c"}) plan.zones.push_back({.name = zone, .region = "", .hosts = 0});
  return plan;
}

}  // namespace

FleetRig::FleetRig(std::string program, std::size_t members, std::uint64_t seed, bool allowed)
    : FleetRig(std::move(program), alone(members, seed), nullptr, allowed) {}

FleetRig::FleetRig(std::string program, const Plan& plan, const Site& site, bool allowed)
    : FleetRig(std::move(program), plan, &site, allowed) {}

std::unique_ptr<FleetRig> FleetRig::withoutSite(std::string program, Plan plan) {
  return std::unique_ptr<FleetRig>(new FleetRig(std::move(program), std::move(plan), nullptr, true));
}

FleetRig::FleetRig(std::string program, Plan plan, const Site* site, bool allowed)
    : program_(std::move(program)), plan_(std::move(plan)), site_(site), allowed_(allowed) {
  const std::size_t members = plan_.proxies;
  std::string name = "/tmp/client-proxy-rig-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder for the rig");
  folder_ = name;
  address_ = ownAddress();
  std::vector<DatagramRelay::Endpoint> listens;
  std::vector<asio::ip::udp::socket> held;  // until all have an address of their own
  for (std::size_t n = 0; n < members; ++n) {
    held.emplace_back(io_, DatagramRelay::Endpoint(address_, 0));
    listens.push_back(held.back().local_endpoint());
  }
  relay_ = std::make_unique<DatagramRelay>(listens, plan_.seed);
  members_.resize(members);
  for (std::size_t n = 0; n < members; ++n) {
    members_[n].listens = listens[n];
    if (n >= plan_.hollow)
      members_[n].clients = std::make_unique<Tcp::acceptor>(io_, Tcp::endpoint(address_, 0));
  }
}

FleetRig::~FleetRig() {
  members_.clear();
  twin_.processes.clear();
  error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

FleetRig::Tcp::endpoint FleetRig::freePort() const {
  // One that is free may have been given to a process that has not bound it yet.
  for (;;) {
    const Tcp::endpoint at = Tcp::acceptor(io_, Tcp::endpoint(address_, 0)).local_endpoint();
    if (given_.insert(at.port()).second) return at;
  }
}

std::vector<DatagramRelay::Endpoint> FleetRig::peersOf(std::size_t n) const {
  std::vector<DatagramRelay::Endpoint> peers = relay_->fronts();
  if (plan_.relay_all) return peers;
  const std::string& region = plan_.zones[plan_.zoneOfProxy(n)].region;
  for (std::size_t other = 0; other < peers.size(); ++other) {
    if (plan_.zones[plan_.zoneOfProxy(other)].region == region) peers[other] = members_[other].listens;
  }
  return peers;
}

std::string FleetRig::discoveryOf(Number number) const {
  if (site_ != nullptr) return textOf(site_->discovery(plan_.zoneOfProxy(number)));
  return plan_.discovery.empty() ? address_.to_string() + ":1" : plan_.discovery;  // 1: nobody
}

std::string FleetRig::configure(Number number, const std::string& name,
                                const DatagramRelay::Endpoint& listens) const {
  json peers = json::array();
  for (const auto& peer : peersOf(number)) peers.push_back(textOf(peer));
  json doc = {{"name", name},
              {"listen", textOf(members_[number].clients->local_endpoint())},
              {"discovery", discoveryOf(number)},
              {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 1024}}},
              {"peer_listen", textOf(listens)},
              {"peers", peers},
              {"settings", settingsOf(number, plan_, allowed_)}};
  if (site_ != nullptr) doc["known"] = json::parse(site_->known(plan_.zoneOfProxy(number)));
  const std::string path = folder_ + "/" + name + ".json";
  std::ofstream(path, std::ios::trunc) << doc.dump();
  return path;
}

// What a platform does not say: services, and where to remember who has them.
std::string FleetRig::operatorText(Number number, const DatagramRelay::Endpoint& listens,
                                   const std::vector<ServicePlan>& services) const {
  std::string text = "fleet {\n  name rig\n  listen " + textOf(listens) + "\n";
  const std::vector<DatagramRelay::Endpoint> peers = peersOf(number);
  for (std::size_t n = 0; n < peers.size(); ++n) {
    const ZonePlan& zone = plan_.zones[plan_.zoneOfProxy(n)];
    text += "  member " + std::to_string(n) + " " + textOf(peers[n]) + " {\n    zone " + zone.name + "\n";
    if (!zone.region.empty()) text += "    region " + zone.region + "\n";
    text += "  }\n";
  }
  text += "}\n";
  for (const ServicePlan& s : services)
    text += "service " + s.name + " {\n  home " + plan_.zones[s.home].name + "\n  stand-by " +
            plan_.zones[s.stand_by].name + "\n  lease " + std::to_string(plan_.lease.count() / 1000) +
            "ms\n  route all {\n" + (s.path.empty() ? "" : "    path " + s.path + "\n") +
            (s.request_class.empty() ? "" : "    class " + s.request_class + "\n") + "  }\n}\n";
  if (plan_.memory) text += "memory {\n  folder \"" + memory(number) + "\"\n}\n";
  return text;
}

std::string FleetRig::operatorFile(Number number, const std::string& name,
                                   const DatagramRelay::Endpoint& listens) const {
  const std::string path = folder_ + "/" + name + ".conf";
  std::ofstream(path, std::ios::trunc) << operatorText(number, listens, plan_.services);
  return path;
}

void FleetRig::setPending(std::size_t n, const std::vector<ServicePlan>& services) const {
  std::ofstream(folder_ + "/n" + std::to_string(n) + ".conf.next", std::ios::trunc)
      << operatorText(static_cast<Number>(n), members_[n].listens, services);
}

std::unique_ptr<Child> FleetRig::launch(Number number, const std::string& name,
                                        const DatagramRelay::Endpoint& listens, const Tcp::endpoint& console,
                                        int inherited) const {
  const std::string shared = folder_ + "/" + name;
  std::filesystem::create_directory(shared);
  std::vector<std::string> environment = {"PROXY_CONFIG=" + configure(number, name, listens),
                                          "PROXY_CONSOLE=" + textOf(console), "TMPDIR=" + shared,
                                          "PROXY_INHERITED_FD=3"};
  environment.insert(environment.end(), plan_.environment.begin(), plan_.environment.end());
  if (!plan_.services.empty() || plan_.operator_file)
    environment.push_back("PROXY_OPERATOR=" + operatorFile(number, name, listens));
  return std::make_unique<Child>(std::vector<std::string>{program_}, &environment, inherited);
}

void FleetRig::start(std::size_t n) {
  Member& m = members_[n];
  m.consoles.push_back(freePort());
  m.processes.push_back(launch(static_cast<Number>(n), "n" + std::to_string(n), m.listens, m.consoles.back(),
                               m.clients->native_handle()));
}

void FleetRig::startAll() {
  for (std::size_t n = plan_.hollow; n < members_.size(); ++n) start(n);
}

void FleetRig::kill(std::size_t n) {
  members_[n].processes.clear();
  members_[n].consoles.clear();
}

void FleetRig::killNewest(std::size_t n) {
  members_[n].processes.pop_back();
  members_[n].consoles.pop_back();
}

void FleetRig::freeze(std::size_t n) { members_[n].processes.back()->signal(SIGSTOP); }
void FleetRig::thaw(std::size_t n) { members_[n].processes.back()->signal(SIGCONT); }
void FleetRig::end(std::size_t n) { members_[n].processes.front()->signal(SIGTERM); }

bool FleetRig::ended(std::size_t n) {
  Member& m = members_[n];
  if (m.processes.front()->runs()) return false;
  m.processes.erase(m.processes.begin());
  m.consoles.erase(m.consoles.begin());
  return true;
}

void FleetRig::twin(Number number) {
  twin_.clients = std::make_unique<Tcp::acceptor>(io_, Tcp::endpoint(address_, 0));
  twin_.listens = asio::ip::udp::socket(io_, DatagramRelay::Endpoint(address_, 0)).local_endpoint();
  twin_.consoles = {freePort()};
  relay_->addTwin(number, twin_.listens);
  twin_.processes.push_back(
      launch(number, "twin", twin_.listens, twin_.consoles.back(), twin_.clients->native_handle()));
}

// One call a connection: all that comes until its end; empty where nobody answers.
std::string FleetRig::callAt(const Tcp::endpoint& at, const std::string& request, const std::string& fields) {
  asio::io_context io;
  Tcp::socket socket(io);
  error_code ec;
  socket.connect(at, ec);
  if (ec) return {};
  asio::write(socket,
              asio::buffer(request + " HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n" + fields + "\r\n"),
              ec);
  std::string text;
  asio::read(socket, asio::dynamic_buffer(text), ec);
  return text;
}

std::string FleetRig::getAt(const Tcp::endpoint& console, const std::string& path) {
  return callAt(console, "GET " + path);
}

std::string FleetRig::get(std::size_t n, const std::string& path) const {
  return members_[n].consoles.empty() ? std::string() : getAt(members_[n].consoles.back(), path);
}

json FleetRig::pageAt(const Tcp::endpoint& console, const std::string& path) {
  const std::string text = getAt(console, path);
  const std::size_t body = text.find("\r\n\r\n");
  if (text.rfind("HTTP/1.1 200", 0) != 0 || body == std::string::npos) return nullptr;
  json page = json::parse(text.substr(body + 4), nullptr, false);
  return page.is_discarded() ? json() : page;
}

json FleetRig::pageOf(std::size_t n, const std::string& path) const {
  return members_[n].consoles.empty() ? json() : pageAt(members_[n].consoles.back(), path);
}
json FleetRig::page(std::size_t n) const { return pageOf(n, "/fleet"); }
json FleetRig::twinPage() const { return pageAt(twin_.consoles.back(), "/fleet"); }

int FleetRig::post(std::size_t n, const std::string& path) const {
  if (members_[n].consoles.empty()) return 0;
  const std::string text = callAt(members_[n].consoles.back(), "POST " + path, "Content-Length: 0\r\n");
  return text.size() > 12 ? std::atoi(text.c_str() + 9) : 0;
}

std::string FleetRig::sees(std::size_t n, std::size_t of) const {
  const json p = page(n);
  return p.is_null() ? "" : p.at("members").at(of).at("state").get<std::string>();
}

bool FleetRig::agree(const std::set<std::size_t>& live) const {
  json hash;
  for (const std::size_t n : live) {
    const json p = pageOf(n, "/fleet/brief");
    if (p.is_null() || p.at("live") != live.size()) return false;
    if (!hash.is_null() && p.at("hash") != hash) return false;
    hash = p.at("hash");
  }
  return true;
}

std::set<std::size_t> FleetRig::all() const {
  std::set<std::size_t> all;
  for (std::size_t n = 0; n < members_.size(); ++n) all.insert(n);
  return all;
}

bool FleetRig::until(const std::function<bool()>& holds) {
  const auto end = std::chrono::steady_clock::now() + kLimit;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > end) return false;
    std::this_thread::sleep_for(kLook);
  }
  return true;
}

std::string FleetRig::logs() const {
  std::string all;
  for (const Member& m : members_) {
    for (const auto& p : m.processes) {
      for (const std::string& line : p->lines()) all += line + "\n";
    }
  }
  return all;
}

}  // namespace client_proxy::rig
