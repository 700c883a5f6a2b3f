#include "net/host_list.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "platform/json_node.h"

namespace client_proxy {
namespace {

using load_balancer::HostState;
using load_balancer::platform::Node;

HostState parseState(const Node& node) {
  const std::string word = node.text();
  if (word == "active") return HostState::Healthy;
  if (word == "leaving") return HostState::Draining;
  if (word == "left") return HostState::Removed;
  node.bad("is unknown: " + word);
}

std::pair<load_balancer::Host, Endpoint> parseEntry(const Node& entry, Zones& zones) {
  load_balancer::Host host;
  host.id = entry.at("uid").text();
  if (host.id.empty()) entry.at("uid").bad("is empty");
  host.state = parseState(entry.at("state"));
  // What has left needs no more than its name.
  if (host.state == HostState::Removed) return {std::move(host), Endpoint()};
  Endpoint endpoint;
  try {
    endpoint = parseEndpoint(entry.at("endpoint").text());
  } catch (const load_balancer::platform::BadField&) {
    throw;
  } catch (const std::runtime_error& e) {
    entry.at("endpoint").bad(e.what());
  }
  host.started_at = entry.timeOr("boot_ms", 0) * 1000;
  host.capacity = entry.numberOr("capacity_hint", 1, 0);
  host.zone = entry.has("az") ? zones.indexOf(entry.at("az").text()) : 0;
  host.cell = entry.has("pod_group") ? entry.at("pod_group").whole(0) : 0;
  return {std::move(host), endpoint};
}

// Of an entry that can't be read otherwise; empty if not even that.
std::string idOf(const Node& entry) {
  try {
    return entry.at("uid").text();
  } catch (const load_balancer::platform::BadField&) {
    return {};
  }
}

}  // namespace

Zones::Zones(const std::vector<std::string>& names) {
  for (const std::string& name : names) indexOf(name);
}

std::int32_t Zones::indexOf(const std::string& name) {
  return index_.emplace(name, static_cast<std::int32_t>(index_.size())).first->second;
}

std::string Zones::nameOf(std::int32_t index) const {
  for (const auto& [name, at] : index_) {
    if (at == index) return name;
  }
  return {};
}

std::vector<std::string> Zones::names() const {
  std::vector<std::string> all;
  for (const auto& [name, index] : index_) {
    if (!name.empty()) all.push_back(name);
  }
  return all;
}

std::string formatHostList(const HostList& list, const Zones& zones) {
  using nlohmann::json;
  json targets = json::array();
  for (std::size_t i = 0; i < list.hosts.size(); ++i) {
    const load_balancer::Host& host = list.hosts[i];
    const Endpoint& at = list.endpoints[i];
    const std::string address = at.address().to_string();
    json entry = {{"uid", host.id},
                  {"endpoint",
                   (at.address().is_v6() ? "[" + address + "]" : address) + ":" + std::to_string(at.port())},
                  {"state", host.state == HostState::Healthy    ? "active"
                            : host.state == HostState::Draining ? "leaving"
                                                                : "left"},
                  {"capacity_hint", host.capacity},
                  {"pod_group", std::max(host.cell, 0)},
                  {"boot_ms", host.started_at / 1000}};
    if (const std::string zone = zones.nameOf(host.zone); !zone.empty()) entry["az"] = zone;
    targets.push_back(std::move(entry));
  }
  return json{{"rev", list.revision}, {"all", list.full}, {"targets", targets}}.dump();
}

Endpoint parseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) throw std::runtime_error("is not an address and port: " + text);
  std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(host, ec);
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  if (ec || parsed.ec != std::errc{} || parsed.ptr != end) {
    throw std::runtime_error("is not an address and port: " + text);
  }
  return {address, port};
}

HostList parseHostList(std::string_view text, Zones& zones, BadEntry bad) {
  const auto doc = nlohmann::json::parse(text, nullptr, false);
  if (doc.is_discarded() || !doc.is_object()) throw std::runtime_error("is not a JSON object");
  const Node root(doc, "");
  HostList list;
  list.revision = static_cast<std::uint64_t>(root.at("rev").number(0, 9e15));
  list.full = root.flagOr("all", false);
  const Node targets = root.at("targets");
  const std::size_t count = targets.size();
  list.hosts.reserve(count);
  list.endpoints.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const Node entry = targets.at(i);
    try {
      auto [host, endpoint] = parseEntry(entry, zones);
      list.hosts.push_back(std::move(host));
      list.endpoints.push_back(endpoint);
    } catch (const std::runtime_error& e) {
      if (bad == BadEntry::Throw) throw;
      list.complaint = e.what();
      list.unread.push_back(idOf(entry));
    }
  }
  return list;
}

}  // namespace client_proxy
