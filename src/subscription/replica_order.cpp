#include "subscription/replica_order.h"

#include <utility>

namespace client_proxy::subscription {
namespace {

// Fibonacci hashing: multiples of the golden ratio modulo one are evenly distributed on the unit interval,
// also for any arithmetic progression of members (Knuth, The Art of Computer Programming, volume 3,
// section 6.4).
double evenFraction(std::uint32_t member) {
  constexpr std::uint64_t kGoldenRatio = 0x9E3779B97F4A7C15ULL;  // its fractional part, scaled by 2^64
  return static_cast<double>((member * kGoldenRatio) >> 11U) * 0x1.0p-53;
}

// Returns the permutation of `from` whose position in the lexicographic list of all permutations is
// `fraction` of the list's length (each step consumes one digit of the Lehmer code).
std::vector<std::size_t> permutationAt(std::vector<std::size_t> from, double fraction) {
  std::vector<std::size_t> out;
  while (!from.empty()) {
    const double scaled = fraction * static_cast<double>(from.size());
    const auto digit = static_cast<std::size_t>(scaled);
    fraction = scaled - static_cast<double>(digit);
    out.push_back(from[digit]);
    from.erase(from.begin() + static_cast<std::ptrdiff_t>(digit));
  }
  return out;
}

}  // namespace

std::vector<std::size_t> replicaOrder(std::uint32_t member, const std::string& region,
                                      const std::vector<Replica>& replicas) {
  std::vector<std::size_t> near, far;
  for (std::size_t i = 0; i < replicas.size(); ++i) {
    const bool same_region = !region.empty() && replicas[i].region == region;
    (same_region ? near : far).push_back(i);
  }
  const double fraction = evenFraction(member);
  std::vector<std::size_t> order = permutationAt(std::move(near), fraction);
  for (const std::size_t index : permutationAt(std::move(far), fraction)) order.push_back(index);
  return order;
}

}  // namespace client_proxy::subscription
