// FNV-1a (Fowler, Noll, Vo): hashes that are the same on every machine, for hash tables and to detect data
// corruption. Not for input chosen by an adversary.
#pragma once

#include <cstdint>
#include <string_view>

namespace load_balancer {

constexpr std::uint32_t fnv32(std::string_view text) {
  std::uint32_t h = 2166136261U;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 16777619U;
  return h;
}

constexpr std::uint64_t fnv64(std::string_view text) {
  std::uint64_t h = 14695981039346656037ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  return h;
}

// XOR-folds a hash to 16 bits.
constexpr std::uint16_t folded(std::uint32_t hash) { return static_cast<std::uint16_t>(hash ^ (hash >> 16)); }

}  // namespace load_balancer
