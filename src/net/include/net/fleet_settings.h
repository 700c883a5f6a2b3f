// Where the other proxies of the fleet are: plain values, so that a build without the fleet's view can read
// them.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace client_proxy {

struct FleetPeer {
  std::uint16_t number = 0;
  boost::asio::ip::udp::endpoint at;  // what its datagrams come from and go to
  std::string zone, region;           // empty: what it says itself
};

struct FleetSettings {
  std::string name;  // datagrams of a fleet of another name are dropped
  std::uint16_t number = 0;
  boost::asio::ip::udp::endpoint listen;
  std::string zone, region;        // this instance's, told to the others
  std::vector<FleetPeer> members;  // itself among them
  std::string members_file;        // where a newer list comes from; empty: nowhere
};

}  // namespace client_proxy
