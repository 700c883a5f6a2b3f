// The order in which a client prefers the host slots: Rocksteadier subsetting.
#include <algorithm>
#include <array>
#include <numeric>

#include "load_balancer/balancer.h"
#include "random/random.h"

namespace load_balancer {
namespace {

constexpr std::uint32_t kLotSize = 10;  // as in the paper: high subset diversity at little imbalance

// The van der Corput sequence at n, as a 32-bit fraction of the circle: the bits of n reversed.
std::uint32_t ringPoint(std::uint32_t n) {
  std::uint32_t r = 0;
  for (int i = 0; i < 32; ++i, n >>= 1) r = (r << 1) | (n & 1U);
  return r;
}

}  // namespace

std::vector<std::uint32_t> lotOrder(std::uint32_t client_lot, std::uint32_t server_lots) {
  std::vector<std::uint32_t> ring(server_lots);
  std::iota(ring.begin(), ring.end(), 0U);
  std::sort(ring.begin(), ring.end(), [](auto a, auto b) { return ringPoint(a) < ringPoint(b); });
  if (server_lots == 0) return ring;
  // Server lots are spaced evenly around the circle in that order, the lot of rank r at r / server_lots; the
  // client lot stays at its own point. The order starts at the first server lot from there on.
  const std::uint64_t scaled = std::uint64_t{ringPoint(client_lot)} * server_lots;
  const auto first = static_cast<std::ptrdiff_t>(((scaled + 0xFFFFFFFFULL) >> 32) % server_lots);
  std::rotate(ring.begin(), ring.begin() + first, ring.end());
  return ring;
}

std::vector<std::uint32_t> subsetOrder(std::uint32_t client, std::uint32_t slots) {
  static constexpr std::array<std::uint32_t, kLotSize> kStartRow = {0, 8, 2, 4, 6, 1, 9, 5, 3, 7};
  const std::uint32_t lots = (slots + kLotSize - 1) / kLotSize;
  Random random(client / kLotSize);
  std::vector<std::array<std::uint32_t, kLotSize>> shuffled(lots);
  for (std::uint32_t lot = 0; lot < lots; ++lot) {
    std::iota(shuffled[lot].begin(), shuffled[lot].end(), lot * kLotSize);
    for (std::uint32_t i = kLotSize - 1; i > 0; --i)
      std::swap(shuffled[lot][i], shuffled[lot][random.below(i + 1)]);
  }
  const std::vector<std::uint32_t> columns = lotOrder(client / kLotSize, lots);
  std::vector<std::uint32_t> order;
  order.reserve(slots);
  for (std::uint32_t row = 0; row < kLotSize; ++row) {
    for (const std::uint32_t lot : columns) {
      const std::uint32_t slot = shuffled[lot][(kStartRow[client % kLotSize] + row) % kLotSize];
      if (slot < slots) order.push_back(slot);  // the last lot may be incomplete
    }
  }
  return order;
}

}  // namespace load_balancer
