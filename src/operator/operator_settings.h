// What an operator sets beyond what the platform tells: plain values, so that only their reader needs a
// library.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "admission/requests.h"

namespace quinceline {

struct OperatorSettings {
  std::optional<boost::asio::ip::tcp::endpoint> status;  // where GET /admission is answered; not set: nowhere
  // Not set: what follows from the platform's limits.
  std::optional<std::size_t> connections, connections_per_address, idle_kept, open, waiting, retries_least;
  std::optional<double> retries_part;
  std::vector<admission::RequestGate::Share> classes, tenants;  // by index; empty: no shares
};

// Reads the file (TOML; deploy/operator.toml shows every key). Classes and tenants are known by the given
// names. Throws std::runtime_error: one line, "file:line: key: what is wrong".
OperatorSettings readOperatorFile(const std::string& path, const std::vector<std::string>& classes,
                                  const std::vector<std::string>& tenants);

}  // namespace quinceline
