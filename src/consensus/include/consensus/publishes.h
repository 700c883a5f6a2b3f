// Publish requests that wait at a replica, and their evaluation against the chosen changes.
#pragma once

#include <deque>

#include "consensus/history.h"
#include "consensus/output.h"

namespace client_proxy::consensus {

/// A waiting publish request.
struct Publish {
  PublishToken token = 0;
  distribution::PublishRequest request;
  std::int64_t published_ms = 0;  ///< wall clock since 1970; informational only
  Time since{};                   ///< when it was received
};

/// The result of a publish if the chosen changes already determine it: its id was chosen before, or its base
/// is outdated. std::nullopt: it has to be proposed in the next slot, or waits for a base that this replica
/// doesn't have yet.
std::optional<PublishOutcome> outcomeOf(const distribution::PublishRequest& request, const History& history);

/// The change to propose for this publish in the next slot.
Change changeOf(const Publish& publish, const History& history);

}  // namespace client_proxy::consensus
