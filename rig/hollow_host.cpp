#include "hollow_host.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <istream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace client_proxy::rig {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;
using nlohmann::ordered_json;
using Traffic = fleet_transport::MembershipService::Traffic;

Traffic sum(const Traffic& a, const Traffic& b) {
  return {.datagrams_in = a.datagrams_in + b.datagrams_in,
          .datagrams_out = a.datagrams_out + b.datagrams_out,
          .bytes_in = a.bytes_in + b.bytes_in,
          .bytes_out = a.bytes_out + b.bytes_out,
          .messages_in = a.messages_in + b.messages_in,
          .messages_out = a.messages_out + b.messages_out,
          .message_bytes_in = a.message_bytes_in + b.message_bytes_in,
          .message_bytes_out = a.message_bytes_out + b.message_bytes_out};
}

asio::ip::udp::endpoint datagramsAt(const std::string& text) {
  const Endpoint at = parseEndpoint(text);
  return {at.address(), at.port()};
}

ServiceSettings servicesOf(const json& file) {
  ServiceSettings settings;
  settings.lease = file.at("lease_ms").get<Time>() * kMillisecond;
  for (const json& service : file.at("services")) {
    settings.services.push_back({service.at("name"),
                                 service.at("home"),
                                 service.at("stand_by"),
                                 {{"all", service.at("path"), "", service.at("class")}}});
  }
  return settings;
}

HollowPlan planOf(const json& file) {
  HollowPlan plan;
  plan.zones = file.at("zones").get<std::vector<std::string>>();
  plan.longest_deadline = file.at("deadline_ms").get<Time>() * kMillisecond;
  if (!file.at("services").empty()) plan.services = servicesOf(file);
  if (const std::string at = file.value("discovery", ""); !at.empty()) plan.discovery = parseEndpoint(at);
  return plan;
}

// All that are listed, as the members of one region reach them.
std::vector<FleetPeer> peersOf(const json& file, const std::string& region) {
  const json& addresses = file.at("addresses").at(region);
  std::vector<FleetPeer> peers;
  for (const json& member : file.at("members")) {
    const auto number = member.at("number").get<std::uint16_t>();
    peers.push_back({number, datagramsAt(addresses.at(number)), member.at("zone"), member.at("region")});
  }
  return peers;
}

}  // namespace

HollowFile parseHollowFile(const std::string& text) {
  HollowFile out;
  try {
    const json file = json::parse(text);
    out.plan = planOf(file);
    const auto held = file.at("held").get<std::vector<std::uint16_t>>();
    for (const json& member : file.at("members")) {
      const auto number = member.at("number").get<std::uint16_t>();
      if (std::find(held.begin(), held.end(), number) == held.end()) continue;
      FleetSettings settings;
      settings.name = file.at("fleet");
      settings.number = number;
      settings.listen = datagramsAt(member.at("listen"));
      settings.zone = member.at("zone");
      settings.region = member.at("region");
      settings.members = peersOf(file, settings.region);
      out.members.push_back(std::move(settings));
    }
    if (out.members.size() != held.size())
      throw std::runtime_error("'held' names a member that is not listed");
  } catch (const json::exception& e) {
    throw std::runtime_error(std::string("members file: ") + e.what());
  }
  return out;
}

HollowHost::HollowHost(HollowFile file, int commands) : file_(std::move(file)), commands_(io_), second_(io_) {
  commands_.assign(asio::local::stream_protocol(), commands);
  for (const FleetSettings& settings : file_.members)
    slots_.emplace(settings.number, Slot{settings, nullptr, {}, {}, 0, 0});
}

HollowHost::~HollowHost() = default;

void HollowHost::run() {
  readCommand();
  sampleSeconds();
  while (!quit_) {
    while (!quit_ && io_.poll_one() > 0) {
    }
    // No handler is ready: what those that are pending refer to is cancelled with it.
    ended_.clear();
    if (!quit_) io_.run_one();
  }
}

void HollowHost::readCommand() {
  asio::async_read_until(commands_, line_, '\n', [this](error_code failed, std::size_t) {
    if (failed) {
      quit_ = true;
      return;
    }
    std::istream in(&line_);
    std::string command;
    std::getline(in, command);
    ordered_json answer;
    try {
      answer = carryOut(command);
    } catch (const std::exception& e) {
      answer = {{"error", e.what()}};
    }
    error_code ignored;  // whoever asked has gone: the next reading ends
    asio::write(commands_, asio::buffer(answer.dump() + "\n"), ignored);
    if (!quit_) readCommand();
  });
}

ordered_json HollowHost::carryOut(const std::string& command) {
  std::istringstream words(command);
  std::string what;
  words >> what;
  Numbers numbers;
  for (std::uint16_t number = 0; words >> number;) numbers.push_back(number);
  if (what == "start" && numbers.empty()) {
    for (const auto& [number, slot] : slots_) numbers.push_back(number);
  }
  if (what == "start") {
    start(numbers);
  } else if (what == "crash" || what == "leave") {
    end(numbers, what == "crash");
  } else if (what == "views") {
    return views(numbers);
  } else if (what == "traffic") {
    return traffic();
  } else if (what == "clients") {
    return clients();
  } else if (what == "reset") {
    for (auto& [number, slot] : slots_) slot.worst_out = slot.worst_in = 0;
  } else if (what == "quit") {
    quit_ = true;
  } else {
    throw std::runtime_error("no such command: " + what);
  }
  return {{"done", what}};
}

HollowHost::Slot& HollowHost::slotOf(std::uint16_t number) {
  const auto slot = slots_.find(number);
  if (slot == slots_.end()) throw std::runtime_error("no member " + std::to_string(number) + " here");
  return slot->second;
}

void HollowHost::start(const Numbers& numbers) {
  for (const std::uint16_t number : numbers) {
    Slot& slot = slotOf(number);
    if (slot.member) continue;
    slot.member = std::make_unique<HollowMember>(io_, clock_, file_.plan, slot.settings);
    slot.member->start();
  }
}

void HollowHost::end(const Numbers& numbers, bool crash) {
  for (const std::uint16_t number : numbers) {
    Slot& slot = slotOf(number);
    if (!slot.member) continue;
    crash ? slot.member->crash() : slot.member->leave();
    slot.earlier = trafficOf(slot);
    ended_.push_back(std::move(slot.member));
  }
}

void HollowHost::sampleSeconds() {
  for (auto& [number, slot] : slots_) {
    const Traffic now = trafficOf(slot);
    slot.worst_out = std::max(slot.worst_out, now.bytes_out - slot.second.bytes_out);
    slot.worst_in = std::max(slot.worst_in, now.bytes_in - slot.second.bytes_in);
    slot.second = now;
  }
  second_.expires_after(std::chrono::seconds(1));
  second_.async_wait([this](error_code failed) {
    if (!failed) sampleSeconds();
  });
}

Traffic HollowHost::trafficOf(const Slot& slot) {
  return slot.member ? sum(slot.earlier, slot.member->traffic()) : slot.earlier;
}

ordered_json HollowHost::views(const Numbers& numbers) const {
  std::map<std::pair<std::size_t, std::uint32_t>, std::size_t> counts;
  for (const auto& [number, slot] : slots_) {
    const bool asked = numbers.empty() || std::find(numbers.begin(), numbers.end(), number) != numbers.end();
    if (!slot.member || !asked) continue;
    const json view = slot.member->view();
    ++counts[{view.at("live").get<std::size_t>(), view.at("hash").get<std::uint32_t>()}];
  }
  ordered_json all = ordered_json::array();
  for (const auto& [view, members] : counts)
    all.push_back({{"live", view.first}, {"hash", view.second}, {"members", members}});
  return {{"views", all}};
}

ordered_json HollowHost::traffic() const {
  const double at = static_cast<double>(clock_.now()) / static_cast<double>(kSecond);
  ordered_json all = ordered_json::array();
  for (const auto& [number, slot] : slots_) {
    const Traffic t = trafficOf(slot);
    all.push_back({{"number", number},
                   {"at_s", at},
                   {"datagrams_in", t.datagrams_in},
                   {"datagrams_out", t.datagrams_out},
                   {"bytes_in", t.bytes_in},
                   {"bytes_out", t.bytes_out},
                   {"parcels_in", t.messages_in},
                   {"parcels_out", t.messages_out},
                   {"parcel_bytes_in", t.message_bytes_in},
                   {"parcel_bytes_out", t.message_bytes_out},
                   {"worst_out", slot.worst_out},
                   {"worst_in", slot.worst_in}});
  }
  return {{"members", all}};
}

ordered_json HollowHost::clients() const {
  ordered_json all = ordered_json::array();
  for (const auto& [number, slot] : slots_) {
    if (!slot.member) continue;
    ordered_json one = {{"number", number}};
    one.update(slot.member->clients());
    all.push_back(std::move(one));
  }
  return {{"members", all}};
}

}  // namespace client_proxy::rig
