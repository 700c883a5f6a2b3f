// The calls on the replicas of the shared configuration that a command makes: it knows the addresses of some
// or all of them, and any that answers will do.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "distribution/types.h"
#include "net/host_list.h"

namespace client_proxy::configuration {

// A replica's address as the command line has it; throws UsageError.
Endpoint endpointOf(const std::string& text);

enum class PublishResult : std::uint8_t {
  Published,  // durable on a quorum of the replicas
  Conflict,   // another change was published on the same base: nothing of this one is in force anywhere
  Refused,    // the request is wrong, or its text too long
  Undecided,  // no replica could say in time: it may yet be chosen; ask again with the same id
};

struct PublishOutcome {
  PublishResult result = PublishResult::Undecided;
  distribution::Version version = 0;  // of this change; after a conflict: the newest
  std::string detail;                 // what the replicas said, for people
};

// What one replica says of itself and of the proxies that it knows.
struct ReplicaAnswer {
  Endpoint address;
  std::optional<distribution::Status> status;  // nothing: it did not answer
};

class ReplicaClient {
 public:
  explicit ReplicaClient(std::vector<Endpoint> replicas) : replicas_(std::move(replicas)) {}

  // Of all replicas in the order of their addresses here, asked side by side, a second at most.
  std::vector<ReplicaAnswer> statuses() const;
  // Asks one replica after the other, round and round, until one has decided or the time has passed. The id
  // of the request makes that harmless: it gets one version however often it is asked for.
  PublishOutcome publish(const distribution::PublishRequest& request,
                         std::chrono::milliseconds time_limit) const;
  // A change with its text; nothing: no replica that answers has it.
  std::optional<distribution::Change> change(distribution::Version version) const;

 private:
  std::vector<Endpoint> replicas_;
};

}  // namespace client_proxy::configuration
