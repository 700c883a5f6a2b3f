// The order in which one subscriber tries the replicas. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace client_proxy::subscription {

/// A replica as the operator file lists it.
struct Replica {
  std::uint32_t number = 0;
  std::string region;  // empty: not said
};

/// Indices into `replicas`, the first choice first. Replicas of the subscriber's region come before the
/// others; within both groups members spread evenly, over the first choice and over what follows when that
/// one fails, also where the members of a region are numbered by a pattern (every second one, say).
std::vector<std::size_t> replicaOrder(std::uint32_t member, const std::string& region,
                                      const std::vector<Replica>& replicas);

}  // namespace client_proxy::subscription
