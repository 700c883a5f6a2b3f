// `client-proxy configuration replica`: one of the machines that keep the shared configuration.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "replica/replica_server.h"

namespace client_proxy::configuration {

struct ReplicaOptions {
  std::uint16_t id = 0;
  std::string listen;                 // address:port
  std::string folder;                 // of its database
  std::vector<std::string> replicas;  // all of them, itself too: "1=10.0.0.1:7950"
  std::string region;
};

// Throws UsageError: an entry can't be read, a number or an address is there twice, or its own is missing.
replica::Settings settingsOf(const ReplicaOptions& options);

// Runs until SIGTERM or SIGINT; one line on standard output when it listens. The exit status. Throws
// UsageError.
int runReplica(const ReplicaOptions& options);

}  // namespace client_proxy::configuration
