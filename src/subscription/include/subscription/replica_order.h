// Computes the order in which a subscriber tries the replicas, without I/O or state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace client_proxy::subscription {

/// A replica as listed in the operator file.
struct Replica {
  std::uint32_t number = 0;
  std::string region;  // empty: not configured
};

/// Returns indices into `replicas` in order of preference. Replicas in the subscriber's region come before
/// the others. Within both groups members spread evenly over the first choice and, in case it fails, over the
/// following ones, even if the members of a region are numbered by a pattern (for instance every second one).
std::vector<std::size_t> replicaOrder(std::uint32_t member, const std::string& region,
                                      const std::vector<Replica>& replicas);

}  // namespace client_proxy::subscription
