#include "cli/configuration_replica.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <optional>

#include "cli/configuration_client.h"
#include "cli/usage_error.h"
#include "conf/units.h"
#include "net/clock.h"
#include "net/log.h"

namespace client_proxy::configuration {
namespace {

constexpr std::uint64_t kMaxId = 0xFFFF;

// "1=10.0.0.1:7950"
replica::PeerSettings peerOf(const std::string& entry) {
  const std::size_t equals = entry.find('=');
  const auto id = conf::readCount(entry.substr(0, equals), 1, kMaxId);
  if (equals == std::string::npos || !id.ok())
    throw UsageError("--replica '" + entry + "': write NUMBER=ADDRESS:PORT");
  return {static_cast<distribution::ReplicaId>(id.value), endpointOf(entry.substr(equals + 1))};
}

void addPeer(std::vector<replica::PeerSettings>& peers, const replica::PeerSettings& peer) {
  const auto same = [&](const replica::PeerSettings& p) {
    return p.id == peer.id || p.endpoint == peer.endpoint;
  };
  if (std::any_of(peers.begin(), peers.end(), same))
    throw UsageError("replica " + std::to_string(peer.id) + " has the number or the address of another");
  peers.push_back(peer);
}

}  // namespace

replica::Settings settingsOf(const ReplicaOptions& options) {
  std::vector<replica::PeerSettings> all;
  for (const std::string& entry : options.replicas) addPeer(all, peerOf(entry));
  const auto own = std::find_if(all.begin(), all.end(), [&](const auto& p) { return p.id == options.id; });
  if (own == all.end()) throw UsageError("--replica does not list --id " + std::to_string(options.id));
  all.erase(own);
  replica::Settings settings;
  settings.id = options.id;
  settings.region = options.region;
  settings.listen = endpointOf(options.listen);
  settings.folder = options.folder;
  settings.peers = std::move(all);
  return settings;
}

int runReplica(const ReplicaOptions& options) {
  const Clock clock;
  Log log(clock, "replica " + std::to_string(options.id));
  replica::Settings settings = settingsOf(options);
  settings.log = [&log](const std::string& line) { log.line(line); };
  boost::asio::io_context io;
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  std::optional<replica::ReplicaServer> server;
  try {
    server.emplace(io, settings);
  } catch (const std::runtime_error& e) {
    std::fprintf(stderr, "client-proxy configuration: %s\n", e.what());
    return 1;
  }
  signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
  const Endpoint listens = server->localEndpoint();
  std::printf("replica %u listens at %s:%u, %zu others\n", static_cast<unsigned>(options.id),
              listens.address().to_string().c_str(), static_cast<unsigned>(listens.port()),
              settings.peers.size());
  std::fflush(stdout);
  io.run();
  return 0;
}

}  // namespace client_proxy::configuration
