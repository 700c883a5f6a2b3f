#include "net/config.h"

#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "platform/json_node.h"

namespace client_proxy {
namespace {

using load_balancer::platform::Node;
using nlohmann::json;

// The name of an instance that is told none: the program's first name. Hand-over sockets and what members
// have stored go by it.
constexpr const char* kDefaultName = "quinceline";
constexpr double kLeastMemory = 32, kLeastSockets = 64;

std::string readFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error("PROXY_CONFIG: cannot read " + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

// Hex digits as in the example; a plain number will do as well.
std::uint64_t parseSeed(const Node& node) {
  if (!node.isText()) return static_cast<std::uint64_t>(node.number(0, 1.8e19));
  const std::string text = node.text();
  std::uint64_t seed = 0;
  const auto r = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (r.ec != std::errc{} || r.ptr != text.data() + text.size()) node.bad("is not a hexadecimal number");
  return seed;
}

Endpoint endpointOf(const char* variable, const char* key, const char* value, const Node& root) {
  if (value == nullptr && !root.has(key)) {
    throw std::runtime_error(std::string(variable) + ": is not set, nor is " + key + " in PROXY_CONFIG");
  }
  const std::string where = value != nullptr ? variable : std::string("PROXY_CONFIG: ") + key;
  const std::string text = value != nullptr ? value : root.at(key).text();
  try {
    return parseEndpoint(text);
  } catch (const std::runtime_error& e) {
    throw std::runtime_error(where + ": " + e.what());
  }
}

boost::asio::ip::udp::endpoint datagramsAt(const Node& node) {
  try {
    const Endpoint at = parseEndpoint(node.text());
    return {at.address(), at.port()};
  } catch (const std::runtime_error& e) {
    node.bad(e.what());
  }
}

// Only where the settings allow talk between proxies: else the keys are not even read.
std::optional<FleetSettings> fleetOf(const Node& root, const load_balancer::platform::Site& site) {
  if (!site.peers || !root.has("peer_listen") || !root.has("peers")) return std::nullopt;
  FleetSettings fleet;
  fleet.listen = datagramsAt(root.at("peer_listen"));
  const Node peers = root.at("peers");
  if (peers.size() > 65'536) peers.bad("names too many");
  for (std::size_t i = 0; i < peers.size(); ++i)
    fleet.members.push_back({static_cast<std::uint16_t>(i), datagramsAt(peers.at(i)), {}, {}});
  if (site.settings.client >= peers.size())
    peers.bad("lacks this client proxy, number " + std::to_string(site.settings.client));
  fleet.number = static_cast<std::uint16_t>(site.settings.client);
  const auto zone = static_cast<std::size_t>(site.settings.zone);
  if (zone < site.zones.size()) fleet.zone = site.zones[zone];
  return fleet;
}

int descriptorOf(const std::string& text) {
  int descriptor = -1;
  const auto r = std::from_chars(text.data(), text.data() + text.size(), descriptor);
  if (r.ec != std::errc{} || r.ptr != text.data() + text.size() || descriptor < 3)
    throw std::runtime_error("PROXY_INHERITED_FD: is not the number of a descriptor: " + text);
  return descriptor;
}

// Runs a part of the reading; a complaint gets the part's name in front.
template <typename Read>
auto within(const std::string& part, Read read) {
  try {
    return read();
  } catch (const std::exception& e) {
    throw std::runtime_error(part + e.what());
  }
}

}  // namespace

Config readConfig(const std::function<const char*(const char*)>& getenv) {
  const char* const path = getenv("PROXY_CONFIG");
  if (path == nullptr) throw std::runtime_error("PROXY_CONFIG: is not set");
  const json doc = json::parse(readFile(path), nullptr, false);
  if (doc.is_discarded() || !doc.is_object()) throw std::runtime_error("PROXY_CONFIG: is not a JSON object");
  const Node root(doc, "");
  Config c;
  c.listen = endpointOf("PROXY_LISTEN", "listen", getenv("PROXY_LISTEN"), root);
  c.discovery = endpointOf("PROXY_DISCOVERY", "discovery", getenv("PROXY_DISCOVERY"), root);
  if (const char* const inherited = getenv("PROXY_INHERITED_FD")) c.inherited = descriptorOf(inherited);
  if (const char* const folder = getenv("TMPDIR")) c.shared_folder = folder;
  const char* const console = getenv("PROXY_CONSOLE");
  if (console != nullptr || root.has("console"))
    c.console = endpointOf("PROXY_CONSOLE", "console", console, root);
  within("PROXY_CONFIG: ", [&] {
    const char* const name = getenv("PROXY_NAME");
    c.name = name != nullptr ? name : root.has("name") ? root.at("name").text() : kDefaultName;
    if (root.has("seed")) c.seed = parseSeed(root.at("seed"));
    if (root.has("limits")) {
      const Node limits = root.at("limits");
      c.cores = limits.numberOr("cores", c.cores, 0);
      if (limits.has("memory_mb"))
        c.memory_mb = static_cast<std::size_t>(limits.at("memory_mb").number(kLeastMemory, 1e9));
      if (limits.has("sockets"))
        c.sockets = static_cast<std::size_t>(limits.at("sockets").number(kLeastSockets, 1e9));
    }
    root.at("settings");
    c.site =
        within("settings: ", [&] { return load_balancer::platform::parseSite(doc.at("settings").dump()); });
    within("settings: ", [&] { load_balancer::validate(c.site.settings); });
    c.zones = Zones(c.site.zones);
    c.fleet = fleetOf(root, c.site);
    if (root.has("known")) {
      c.known = within("known: ", [&] { return parseHostList(doc.at("known").dump(), c.zones); });
    }
  });
  return c;
}

Config rereadConfig(const std::function<const char*(const char*)>& getenv) {
  return readConfig(
      [&](const char* name) { return std::string_view(name) == "PROXY_DISCOVERY" ? nullptr : getenv(name); });
}

}  // namespace client_proxy
