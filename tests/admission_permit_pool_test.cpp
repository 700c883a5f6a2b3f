// Tests how PermitPool shares descriptors between clients and hosts.
#include <gtest/gtest.h>

#include "admission/permit_pool.h"

namespace client_proxy::admission {
namespace {

constexpr Time kSecond = 1'000'000;

TEST(PermitPool, NeitherSideCanTakeTheOthersReserve) {
  PermitPool permits({.all = 100, .least_clients = 10, .least_hosts = 20});
  std::size_t clients = 0, hosts = 0;
  for (; permits.free(0, Side::Clients); ++clients) permits.take(0, Side::Clients);
  EXPECT_EQ(clients, 80U);
  for (; permits.free(0, Side::Hosts); ++hosts) permits.take(0, Side::Hosts);
  EXPECT_EQ(hosts, 20U);
  EXPECT_EQ(permits.used(), 100U);
}

TEST(PermitPool, TheReserveFollowsRecentUseAndDecays) {
  PermitPool permits({.all = 100, .least_clients = 10, .least_hosts = 10});
  for (int i = 0; i < 36; ++i) permits.take(0, Side::Hosts);
  EXPECT_EQ(permits.most(0, Side::Clients), 55U);  // 100 less 36 and a quarter of 36
  for (int i = 0; i < 36; ++i) permits.release(0, Side::Hosts);
  EXPECT_EQ(permits.most(0, Side::Clients), 55U);
  EXPECT_EQ(permits.most(10 * kSecond, Side::Clients), 77U);
  EXPECT_EQ(permits.most(600 * kSecond, Side::Clients), 90U);
}

TEST(PermitPool, TheReserveIsAtMostHalfButUsedPermitsCount) {
  PermitPool permits({.all = 100, .least_clients = 10, .least_hosts = 10});
  for (int i = 0; i < 70; ++i) permits.take(0, Side::Hosts);
  EXPECT_EQ(permits.reserve(0, Side::Hosts), 50U);
  EXPECT_EQ(permits.most(0, Side::Clients), 30U);
}

TEST(PermitPool, NothingIsFreeOnceAllPermitsAreUsed) {
  PermitPool permits({.all = 10, .least_clients = 1, .least_hosts = 1});
  for (int i = 0; i < 12; ++i) permits.take(0, Side::Clients);
  EXPECT_FALSE(permits.free(0, Side::Clients));
  EXPECT_FALSE(permits.free(0, Side::Hosts));
  EXPECT_EQ(permits.most(0, Side::Hosts), 0U);
}

}  // namespace
}  // namespace client_proxy::admission
