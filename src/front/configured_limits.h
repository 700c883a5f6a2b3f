// What the settings mean for each part of the front, in its own terms.
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

// Descriptors that are neither a client's nor a host's: standard streams, the loop's own, the listener,
// signals, discovery, and some to spare.
constexpr std::size_t kOwnDescriptors = 24;

Time longestDeadline(const load_balancer::Settings& settings);
Server::Limits serverLimits(const Config& config, std::size_t descriptors);
// Shares by name, in the order of `names`; `shares` are in the order of `of`.
std::vector<admission::RequestGate::Share> sharesOf(const std::vector<std::string>& names,
                                                    const std::vector<std::string>& of,
                                                    const std::vector<admission::RequestGate::Share>& shares);
// Classes and tenants in the configuration's order.
admission::RequestGate::Limits requestLimits(const Config& config);
// No client repeats later than its class's deadline, and no host drops repeats for longer than its window.
admission::DuplicateDetector::Limits repeatLimits(const Config& config);
Upstream::Limits upstreamLimits(const Config& config);
std::size_t budgetOf(const Config& config);

}  // namespace client_proxy
