// Discovery's form of the list of hosts: in `known` of the configuration, and one object a line in a watch.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "load_balancer/balancer.h"

namespace client_proxy {

using Endpoint = boost::asio::ip::tcp::endpoint;

// Zones by name. One that the settings do not list gets a number of its own, so that two strangers never
// count as one zone.
class Zones {
 public:
  Zones() = default;
  explicit Zones(const std::vector<std::string>& names);
  std::int32_t indexOf(const std::string& name);
  // Empty: no zone has this number.
  std::string nameOf(std::int32_t index) const;
  std::vector<std::string> names() const;  // in no order that means anything

 private:
  std::map<std::string, std::int32_t> index_;
};

struct HostList {
  std::uint64_t revision = 0;
  bool full = false;
  std::vector<load_balancer::Host> hosts;
  std::vector<Endpoint> endpoints;  // of hosts[i]
  std::vector<std::string> unread;  // the ids of entries that were passed over
  std::string complaint;            // what was wrong with the last of these
};

// What becomes of an entry that can't be read: in a configuration it is a mistake to be told; in a watch one
// bad entry must not cost the news of all others.
enum class BadEntry { Throw, PassOver };

// Throws std::runtime_error that tells what is wrong with the list.
HostList parseHostList(std::string_view text, Zones& zones, BadEntry bad = BadEntry::Throw);

// The same the other way: what parseHostList() reads as this list.
std::string formatHostList(const HostList& list, const Zones& zones);

// "address:port"; throws std::runtime_error.
Endpoint parseEndpoint(const std::string& text);

}  // namespace client_proxy
