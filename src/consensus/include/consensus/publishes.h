// The publishes that wait at a replica.
#pragma once

#include <deque>

#include "consensus/history.h"
#include "consensus/output.h"

namespace client_proxy::consensus {

struct Publish {
  PublishToken token = 0;
  distribution::PublishRequest request;
  std::int64_t published_ms = 0;  ///< the wall clock, kept for people
  Time since{};
};

/// What the chosen changes say to a publish. Nothing: it has to be proposed in the next slot, or waits for a
/// base that this replica does not have yet.
std::optional<PublishOutcome> outcomeOf(const distribution::PublishRequest& request, const History& history);

/// The change that a publish asks for in the next slot.
Change changeOf(const Publish& publish, const History& history);

}  // namespace client_proxy::consensus
