// The order in which a client reads the servers' slots: Rocksteadier subsetting.
#include <algorithm>
#include <array>
#include <numeric>

#include "load_balancer/balancer.h"
#include "random/random.h"

namespace load_balancer {
namespace {

constexpr std::uint32_t kLot = 10;  // the paper's lot size: diverse enough, hardly unbalanced

// The van der Corput point of n as a 32-bit fraction of the circle: its bits reversed.
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
  // Server lots are spaced evenly in that order, lot number r at r / n; the client lot stays at its own
  // point.
  const std::uint64_t scaled = std::uint64_t{ringPoint(client_lot)} * server_lots;
  const auto first = static_cast<std::ptrdiff_t>(((scaled + 0xFFFFFFFFULL) >> 32) % server_lots);
  std::rotate(ring.begin(), ring.begin() + first, ring.end());
  return ring;
}

std::vector<std::uint32_t> subsetOrder(std::uint32_t client, std::uint32_t slots) {
  static constexpr std::array<std::uint32_t, kLot> kStartRow = {0, 8, 2, 4, 6, 1, 9, 5, 3, 7};
  const std::uint32_t lots = (slots + kLot - 1) / kLot;
  Random random(client / kLot);
  std::vector<std::array<std::uint32_t, kLot>> shuffled(lots);
  for (std::uint32_t lot = 0; lot < lots; ++lot) {
    std::iota(shuffled[lot].begin(), shuffled[lot].end(), lot * kLot);
    for (std::uint32_t i = kLot - 1; i > 0; --i)
      std::swap(shuffled[lot][i], shuffled[lot][random.below(i + 1)]);
  }
  const std::vector<std::uint32_t> columns = lotOrder(client / kLot, lots);
  std::vector<std::uint32_t> order;
  order.reserve(slots);
  for (std::uint32_t row = 0; row < kLot; ++row) {
    for (const std::uint32_t lot : columns) {
      const std::uint32_t slot = shuffled[lot][(kStartRow[client % kLot] + row) % kLot];
      if (slot < slots) order.push_back(slot);  // the rest are placeholders
    }
  }
  return order;
}

}  // namespace load_balancer
