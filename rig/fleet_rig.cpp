#include "fleet_rig.h"

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace quinceline::rig {
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

json settingsOf(std::size_t me, std::size_t members, bool allowed) {
  return {{"me", me},
          {"peers_total", members},
          {"discovery", "ask"},
          {"my_zone", me % 3},
          {"tick_us", 5000},
          {"zones", {"a", "b", "c"}},
          {"request_classes",
           {{{"name", "slot-status"},
             {"goal_time_us", 800000},
             {"deadline_us", 2500000},
             {"effect", "retryable"}}}},
          {"limits", {{"max_attempts", 6}, {"peers", allowed}}},
          {"rules",
           {{"drain_grace_us", 2000000},
            {"cold_from", 0.3},
            {"cold_us", 8000000},
            {"tip_multiple", 3},
            {"fall_us", 2000000},
            {"ask_within_us", 10000000}}}};
}

}  // namespace

FleetRig::FleetRig(std::string program, std::size_t members, std::uint64_t seed, bool allowed)
    : program_(std::move(program)), allowed_(allowed) {
  std::string name = "/tmp/quinceline-rig-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder for the rig");
  folder_ = name;
  // An address that no other run uses: what is free here is free until it is taken.
  address_ = asio::ip::address_v4(0x7F'4E'00'00U | (static_cast<unsigned>(getpid()) & 0xFFFFU));
  std::vector<DatagramRelay::Endpoint> listens;
  std::vector<asio::ip::udp::socket> held;
  for (std::size_t n = 0; n < members; ++n) {
    held.emplace_back(io_, DatagramRelay::Endpoint(address_, 0));
    listens.push_back(held.back().local_endpoint());
  }
  relay_ = std::make_unique<DatagramRelay>(listens, seed);
  members_.resize(members);
  for (std::size_t n = 0; n < members; ++n) {
    members_[n].listens = listens[n];
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
  return Tcp::acceptor(io_, Tcp::endpoint(address_, 0)).local_endpoint();
}

std::string FleetRig::configure(Number number, const std::string& name,
                                const DatagramRelay::Endpoint& listens) const {
  json peers = json::array();
  for (const auto& front : relay_->fronts()) peers.push_back(textOf(front));
  const json doc = {{"name", name},
                    {"listen", textOf(members_[number].clients->local_endpoint())},
                    {"discovery", address_.to_string() + ":1"},  // nobody: this is about the proxies alone
                    {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 256}}},
                    {"peer_listen", textOf(listens)},
                    {"peers", peers},
                    {"settings", settingsOf(number, members_.size(), allowed_)}};
  const std::string path = folder_ + "/" + name + ".json";
  std::ofstream(path, std::ios::trunc) << doc.dump();
  return path;
}

std::unique_ptr<Child> FleetRig::launch(Number number, const std::string& name,
                                        const DatagramRelay::Endpoint& listens, const Tcp::endpoint& console,
                                        int inherited) const {
  const std::string shared = folder_ + "/" + name;
  std::filesystem::create_directory(shared);
  const std::vector<std::string> environment = {"PROXY_CONFIG=" + configure(number, name, listens),
                                                "PROXY_CONSOLE=" + textOf(console), "TMPDIR=" + shared,
                                                "PROXY_INHERITED_FD=3"};
  return std::make_unique<Child>(std::vector<std::string>{program_}, &environment, inherited);
}

void FleetRig::start(std::size_t n) {
  Member& m = members_[n];
  m.consoles.push_back(freePort());
  m.processes.push_back(launch(static_cast<Number>(n), "n" + std::to_string(n), m.listens, m.consoles.back(),
                               m.clients->native_handle()));
}

void FleetRig::startAll() {
  for (std::size_t n = 0; n < members_.size(); ++n) start(n);
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

std::string FleetRig::getAt(const Tcp::endpoint& console, const std::string& path) {
  asio::io_context io;
  Tcp::socket socket(io);
  error_code ec;
  socket.connect(console, ec);
  if (ec) return {};
  asio::write(socket, asio::buffer("GET " + path + " HTTP/1.1\r\nHost: rig\r\n\r\n"), ec);
  std::string text;
  asio::read(socket, asio::dynamic_buffer(text), ec);  // one call a connection: to its end
  return text;
}

std::string FleetRig::get(std::size_t n, const std::string& path) const {
  return members_[n].consoles.empty() ? std::string() : getAt(members_[n].consoles.back(), path);
}

json FleetRig::pageAt(const Tcp::endpoint& console) {
  const std::string text = getAt(console, "/fleet");
  const std::size_t body = text.find("\r\n\r\n");
  if (text.rfind("HTTP/1.1 200", 0) != 0 || body == std::string::npos) return nullptr;
  json page = json::parse(text.substr(body + 4), nullptr, false);
  return page.is_discarded() ? json() : page;
}

json FleetRig::page(std::size_t n) const {
  return members_[n].consoles.empty() ? json() : pageAt(members_[n].consoles.back());
}
json FleetRig::twinPage() const { return pageAt(twin_.consoles.back()); }

std::string FleetRig::sees(std::size_t n, std::size_t of) const {
  const json p = page(n);
  return p.is_null() ? "" : p.at("members").at(of).at("state").get<std::string>();
}

bool FleetRig::agree(const std::set<std::size_t>& live) const {
  json hash;
  for (const std::size_t n : live) {
    const json p = page(n);
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

}  // namespace quinceline::rig
