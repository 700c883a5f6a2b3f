#include "locality/notes.h"

#include "random/fnv.h"

namespace client_proxy::locality {
namespace {

constexpr std::size_t kEntry = 5;  // hash 2, epoch 2, state and sight 1

// It only has to be the same everywhere.
std::uint16_t hashOf(std::string_view name) { return load_balancer::folded(load_balancer::fnv32(name)); }

std::uint16_t twoAt(std::string_view bytes, std::size_t at) {
  return static_cast<std::uint16_t>(static_cast<unsigned char>(bytes[at]) |
                                    static_cast<unsigned char>(bytes[at + 1]) << 8);
}

}  // namespace

std::string encode(const std::vector<std::string>& names, const Told& told) {
  std::string bytes;
  for (std::size_t z = 0; z < names.size() && bytes.size() < kMostTold * kEntry; ++z) {
    const Verdict& v = told.verdicts[z];
    if (v.epoch == 0 && told.seen[z] == Seen::Nothing) continue;
    const std::uint16_t hash = hashOf(names[z]);
    for (const std::uint16_t word : {hash, v.epoch}) {
      bytes += static_cast<char>(word & 0xFFU);
      bytes += static_cast<char>(word >> 8);
    }
    bytes += static_cast<char>(static_cast<unsigned>(v.state) << 4 | static_cast<unsigned>(told.seen[z]));
  }
  return bytes;
}

Told decode(std::string_view bytes, const std::vector<std::string>& names) {
  Told told{std::vector<Seen>(names.size(), Seen::Nothing), std::vector<Verdict>(names.size())};
  for (; bytes.size() >= kEntry; bytes.remove_prefix(kEntry)) {
    const std::uint16_t hash = twoAt(bytes, 0);
    const auto last = static_cast<unsigned char>(bytes[4]);
    const unsigned state = last >> 4, seen = last & 0xFU;
    if (state > static_cast<unsigned>(State::Lost) || state == static_cast<unsigned>(State::Doubtful) ||
        seen > static_cast<unsigned>(Seen::Silence))
      continue;
    for (std::size_t z = 0; z < names.size(); ++z) {
      if (hashOf(names[z]) != hash) continue;
      told.verdicts[z] = {twoAt(bytes, 2), static_cast<State>(state)};
      told.seen[z] = static_cast<Seen>(seen);
    }
  }
  return told;
}

}  // namespace client_proxy::locality
