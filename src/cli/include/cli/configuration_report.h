// What the commands about the shared configuration print, for people and as JSON.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cli/configuration_client.h"
#include "cli/configuration_progress.h"

namespace client_proxy::configuration {

// The address of a replica as it is written on the command line.
std::string nameOf(const Endpoint& replica);

// "version 42: held by 11 of 12" and a line for each member that does not hold it.
std::string asText(const Progress& progress);
nlohmann::ordered_json asJson(const Progress& progress);

// What each replica says of itself: version, faults, which others it can't reach.
std::string asText(const std::vector<ReplicaAnswer>& replicas);
nlohmann::ordered_json asJson(const std::vector<ReplicaAnswer>& replicas);

// The word for it in JSON.
const char* nameOf(PublishResult result);

}  // namespace client_proxy::configuration
