// How descriptors are shared between clients and hosts.
#include <gtest/gtest.h>

#include "admission/permit_pool.h"

namespace client_proxy::admission {
namespace {

constexpr Time kSecond = 1'000'000;

TEST(PermitPool, NeitherSideCanTakeTheOthersReserve) {
  PermitPool places({.all = 100, .least_clients = 10, .least_hosts = 20});
  std::size_t clients = 0, hosts = 0;
  for (; places.free(0, Side::Clients); ++clients) places.take(0, Side::Clients);
  EXPECT_EQ(clients, 80U);
  for (; places.free(0, Side::Hosts); ++hosts) places.take(0, Side::Hosts);
  EXPECT_EQ(hosts, 20U);
  EXPECT_EQ(places.used(), 100U);
}

TEST(PermitPool, TheReserveFollowsWhatWasUsedLatelyAndFades) {
  PermitPool places({.all = 100, .least_clients = 10, .least_hosts = 10});
  for (int i = 0; i < 36; ++i) places.take(0, Side::Hosts);
  EXPECT_EQ(places.most(0, Side::Clients), 55U);  // 36 and a quarter of that
  for (int i = 0; i < 36; ++i) places.release(0, Side::Hosts);
  EXPECT_EQ(places.most(0, Side::Clients), 55U);
  EXPECT_EQ(places.most(10 * kSecond, Side::Clients), 77U);
  EXPECT_EQ(places.most(600 * kSecond, Side::Clients), 90U);
}

TEST(PermitPool, NoReserveExceedsHalfButWhatIsUsedIsUsed) {
  PermitPool places({.all = 100, .least_clients = 10, .least_hosts = 10});
  for (int i = 0; i < 70; ++i) places.take(0, Side::Hosts);
  EXPECT_EQ(places.reserve(0, Side::Hosts), 50U);
  EXPECT_EQ(places.most(0, Side::Clients), 30U);
}

TEST(PermitPool, BeyondAllNothingIsFree) {
  PermitPool places({.all = 10, .least_clients = 1, .least_hosts = 1});
  for (int i = 0; i < 12; ++i) places.take(0, Side::Clients);
  EXPECT_FALSE(places.free(0, Side::Clients));
  EXPECT_FALSE(places.free(0, Side::Hosts));
  EXPECT_EQ(places.most(0, Side::Hosts), 0U);
}

}  // namespace
}  // namespace client_proxy::admission
