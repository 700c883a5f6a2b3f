// Where the shared configuration comes from: plain values, so that a build without the subscription can read
// them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace client_proxy {

struct ReplicaSetting {
  std::uint16_t number = 0;
  boost::asio::ip::tcp::endpoint at;
  std::string region;  // empty: not said
};

struct SubscriptionSettings {
  std::string file;    // that is replaced by each version, in its one form (conf::normalPath())
  std::string region;  // of this instance; empty: not said
  std::vector<ReplicaSetting> replicas;
};

}  // namespace client_proxy
