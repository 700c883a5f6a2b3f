// What an operator sets beyond what the platform tells: plain values, so that the network code needs no
// reader of files.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "admission/requests.h"
#include "net/clock.h"
#include "net/log.h"

namespace client_proxy {

struct OperatorSettings {
  std::string file;                                      // where they come from; empty: nowhere
  std::optional<boost::asio::ip::tcp::endpoint> status;  // where GET /admission is answered; not set: nowhere
  LogLevel log_level = LogLevel::Info;
  // Not set: what follows from the platform's limits.
  std::optional<std::size_t> connections, connections_per_address, idle_kept, open, waiting, retries_least;
  std::optional<double> retries_part;
  std::optional<Time> first_byte, request, idle, write, linger;              // of clients' connections
  std::optional<Time> connect, upstream_idle, health_check_timeout, answer;  // of hosts' connections
  std::vector<admission::RequestGate::Share> classes, tenants;               // by index; empty: no shares
};

}  // namespace client_proxy
