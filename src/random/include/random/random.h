// A seeded random number generator whose sequence is the same on every machine.
#pragma once

#include <cstdint>

namespace load_balancer {

// SplitMix64. Not suitable for cryptography.
class Random {
 public:
  explicit Random(std::uint64_t seed) : state_(seed) {}
  std::uint64_t next() {
    std::uint64_t z = (state_ += 0x9E3779B97F4A7C15ULL);
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
  }
  // An integer in [0, n), uniformly distributed but for a bias of less than n / 2^32; 0 for n = 0.
  std::uint32_t below(std::uint32_t n) { return static_cast<std::uint32_t>(((next() >> 32) * n) >> 32); }
  // A number in [0, 1), uniformly distributed.
  double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

 private:
  std::uint64_t state_;
};

}  // namespace load_balancer
