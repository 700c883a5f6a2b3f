// Checks the properties that the paper on Rocksteadier subsetting states: balance, diversity and few changes.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <set>
#include <vector>

#include "load_balancer/balancer.h"

namespace load_balancer {
namespace {

using Order = std::vector<std::uint32_t>;

TEST(LotOrder, MatchesTheExampleInThePaper) { EXPECT_EQ(lotOrder(1, 6), (Order{1, 5, 3, 0, 4, 2})); }

TEST(LotOrder, ClientLotZeroStartsAtServerLotZero) { EXPECT_EQ(lotOrder(0, 6), (Order{0, 4, 2, 1, 5, 3})); }

TEST(LotOrder, IsEmptyForZeroLots) { EXPECT_TRUE(lotOrder(3, 0).empty()); }

TEST(SubsetOrder, ContainsEverySlotExactlyOnce) {
  for (const std::uint32_t slots : {0U, 1U, 6U, 9U, 10U, 11U, 55U, 240U}) {
    for (const std::uint32_t client : {0U, 1U, 9U, 10U, 13U, 369U}) {
      const Order order = subsetOrder(client, slots);
      EXPECT_EQ(order.size(), slots);
      EXPECT_EQ(std::set<std::uint32_t>(order.begin(), order.end()).size(), slots);
      if (slots > 0) {
        EXPECT_LT(*std::max_element(order.begin(), order.end()), slots);
      }
    }
  }
}

// The clients of one lot start at different rows, so their first slots differ.
TEST(SubsetOrder, ClientsOfOneLotHaveDifferentFirstSlots) {
  std::set<std::uint32_t> first;
  for (std::uint32_t client = 10; client < 20; ++client) first.insert(subsetOrder(client, 60)[0]);
  EXPECT_EQ(first.size(), 10U);
}

TEST(SubsetOrder, ConnectionsPerServerStayNearTheMean) {
  for (const std::uint32_t clients : {40U, 100U, 400U}) {
    for (const std::uint32_t servers : {40U, 55U, 150U, 240U}) {
      for (const std::uint32_t k : {8U, 16U, 24U}) {
        std::vector<std::uint32_t> load(servers);
        for (std::uint32_t m = 0; m < clients; ++m) {
          const Order order = subsetOrder(m, servers);
          for (std::uint32_t i = 0; i < k; ++i) ++load[order[i]];
        }
        const double mean = static_cast<double>(clients * k) / servers;
        const std::uint32_t max = *std::max_element(load.begin(), load.end());
        EXPECT_LE(max, std::ceil(mean * 1.5) + 2)
            << clients << " clients, " << servers << " servers, k " << k;
      }
    }
  }
}

// Adding a slot to an incomplete lot keeps the order of the others.
TEST(SubsetOrder, OneMoreServerInsideALotChangesAtMostOneMember) {
  for (std::uint32_t m = 0; m < 40; ++m) {
    const Order before = subsetOrder(m, 55);
    const Order after = subsetOrder(m, 56);
    const std::set<std::uint32_t> old_members(before.begin(), before.begin() + 16);
    int added = 0;
    for (int i = 0; i < 16; ++i) added += old_members.contains(after[static_cast<std::size_t>(i)]) ? 0 : 1;
    EXPECT_LE(added, 1);
  }
}

// Adding the first slot of a new lot adds a column and shifts the others to their new even spacing, without
// reshuffling the lots.
TEST(SubsetOrder, OneMoreServerInANewLotChangesAtMostTwoMembers) {
  for (const std::uint32_t slots : {30U, 40U, 60U, 100U, 150U, 240U}) {
    for (std::uint32_t m = 0; m < 200; ++m) {
      const Order before = subsetOrder(m, slots);
      const Order after = subsetOrder(m, slots + 1);
      const std::set<std::uint32_t> old_members(before.begin(), before.begin() + 16);
      int added = 0;
      for (std::size_t i = 0; i < 16; ++i) added += old_members.contains(after[i]) ? 0 : 1;
      EXPECT_LE(added, 2) << m << " is the client; slots: " << slots;
    }
  }
}

}  // namespace
}  // namespace load_balancer
