// `client-proxy configuration replica|publish|status|revert`: the shared configuration of a fleet of proxies,
// for the machines that hold it and the people who change it.
#pragma once

#include <CLI/App.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cli/configuration_replica.h"

namespace client_proxy::configuration {

struct ClientOptions {
  std::vector<std::string> replicas;  // address:port
  std::string operator_file;
  std::string author;
  std::string id;  // of the publish; empty: a new one
  std::optional<std::uint64_t> base;
  std::string wait = "12s";
  bool json = false;
};

// Exit statuses of `publish` and `revert`; 2 is a wrong command line, as everywhere.
enum ExitStatus : int {
  kHeldByAll = 0,
  kNotPublished = 1,  // an error in the text, a conflict, or not decided
  kWrongUsage = 2,
  kNotHeldByAll = 3,  // published, and not in force everywhere in the time given
};

class Commands {
 public:
  // Adds the command `configuration` with its subcommands. Must live until run() has returned.
  explicit Commands(CLI::App& app);

  bool parsed() const { return command_->parsed(); }
  // Carries out the one that was parsed and returns the exit status.
  int run() const;

 private:
  void addReplica();
  void addPublish();
  void addStatus();
  void addRevert();
  void addClientOptions(CLI::App& command);

  CLI::App* command_;
  CLI::App *replica_ = nullptr, *publish_ = nullptr, *status_ = nullptr, *revert_ = nullptr;
  ReplicaOptions replica_options_;
  ClientOptions client_options_;
  std::string file_;           // of publish
  std::uint64_t version_ = 0;  // of revert
};

}  // namespace client_proxy::configuration
