// A seeded hash of a text that is the same on every machine, for rendezvous hashing. Not for input chosen by
// an adversary.
#pragma once

#include <cstdint>
#include <string_view>

#include "random/random.h"

namespace load_balancer {

inline std::uint64_t seededHash(std::uint64_t seed, std::string_view text) {
  std::uint64_t hash = seed;
  for (const char c : text)
    hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;  // the prime of FNV-1a
  return Random(hash).next();
}

}  // namespace load_balancer
