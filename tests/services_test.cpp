// Finding the service of a request: the target is normalized, then matched against the routes.
#include "ownership/services.h"

#include <gtest/gtest.h>

namespace client_proxy::ownership {
namespace {

ServiceSetting service(const std::string& name, const std::string& home, std::vector<ServiceRoute> routes) {
  return {name, home, "", std::move(routes)};
}

TEST(ServicesTest, MostSpecificRouteMatchesTheNormalizedTarget) {
  const Services services({service("charges", "a", {{"all", "/swap-charge/*", "", ""}}),
                           service("refunds", "b", {{"refund", "/swap-charge/{id}/refund", "POST", ""}}),
                           service("holds", "b", {{"class", "", "", "reservation"}})});
  EXPECT_EQ(services.find("/swap-charge/7", "POST", "swap-charge").service, 0U);
  EXPECT_EQ(services.find("/swap-charge/7/refund?x=1", "POST", "swap-charge").service, 1U);
  EXPECT_EQ(services.find("/swap-charge/7/refund", "PUT", "swap-charge").service, 0U);
  EXPECT_EQ(services.find("/reservation/7", "POST", "reservation").service, 2U);
  EXPECT_EQ(services.find("/slot-status/7", "GET", "slot-status").service, std::nullopt);
  EXPECT_EQ(services.find("/x/%2E%2E/swap%2Dcharge/7", "POST", "swap-charge").service, 0U)
      << "the target must be normalized before it is matched";
  EXPECT_TRUE(services.find("/swap-charge%2F7", "POST", "swap-charge").malformed);
}

TEST(ServicesTest, HashIgnoresTheOrderOfServicesAndDependsOnTheirContent) {
  const ServiceSetting charges = service("charges", "a", {{"all", "/swap-charge/*", "", ""}});
  const ServiceSetting holds = service("holds", "b", {{"all", "/reservation/*", "", ""}});
  EXPECT_EQ(Services({charges, holds}).hash(), Services({holds, charges}).hash());
  ServiceSetting moved = charges;
  moved.home = "c";
  EXPECT_NE(Services({charges, holds}).hash(), Services({moved, holds}).hash());
}

TEST(ServicesTest, AmbiguousRoutesAreRejectedNamingARoute) {
  try {
    Services({service("charges", "a", {{"one", "/swap/{x}", "", ""}}),
              service("holds", "b", {{"two", "/swap/{y}", "", ""}})});
    FAIL() << "ambiguous routes were accepted";
  } catch (const std::runtime_error& e) {
    EXPECT_NE(std::string(e.what()).find("services: route "), std::string::npos) << e.what();
  }
}

}  // namespace
}  // namespace client_proxy::ownership
