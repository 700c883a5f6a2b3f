// Translates the configuration into the limits of the parts of the front.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "admission/duplicate_detector.h"
#include "admission/requests.h"
#include "net/config.h"
#include "net/server.h"
#include "net/upstream.h"

namespace client_proxy {

// Descriptors reserved for everything but client and host connections: standard streams, the event loop, the
// listener, signals, discovery, and some to spare.
constexpr std::size_t kReservedDescriptors = 24;

// The longest deadline of all request classes.
Time longestDeadline(const load_balancer::Settings& settings);
// The limit of the buffers of all connections together, in bytes.
std::size_t bufferMemory(const Config& config);
// `descriptors`: the limit that client and host connections share.
Server::Limits serverLimits(const Config& config, std::size_t descriptors);
// Reorders `shares`, which belong to `share_names`, to the order of `names`. A name without a share gets the
// default share; no shares at all stay none.
std::vector<admission::RequestGate::Share> reorderShares(
    const std::vector<std::string>& names, const std::vector<std::string>& share_names,
    const std::vector<admission::RequestGate::Share>& shares);
// Classes and tenants are in the order of the configuration.
admission::RequestGate::Limits requestLimits(const Config& config);
// Requests are remembered for the longest class deadline, after which no client retries, and for twice the
// longest deduplication window of a host, up to a fixed maximum.
admission::DuplicateDetector::Limits duplicateDetectorLimits(const Config& config);
// Timeouts that are not configured are derived from the shortest latency objective of all classes.
Upstream::Limits upstreamLimits(const Config& config);
// The descriptors that client and host connections may use together.
std::size_t descriptorBudget(const Config& config);

}  // namespace client_proxy
