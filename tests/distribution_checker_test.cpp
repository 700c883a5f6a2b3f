// The checker reports each invariant of the configuration distribution when a history violates it.
#include "distribution_checker.h"

#include <gtest/gtest.h>

namespace client_proxy::distribution {
namespace {

using std::chrono::milliseconds;

// A history without violations: two changes that reach two proxies. Proxy 2 has an outage, and a replica
// reports an older version of it.
History goodHistory() {
  History h;
  h.members = {1, 2};
  h.publishes = {{milliseconds(0), milliseconds(100), milliseconds(150), "a", 1, "first"},
                 {milliseconds(20'000), milliseconds(20'100), milliseconds(20'150), "b", 2, "second"}};
  h.in_force = {
      {milliseconds(50), 1, "disk", 0, "local"},      {milliseconds(400), 1, "disk", 1, "first"},
      {milliseconds(900), 2, "disk", 1, "first"},     {milliseconds(20'300), 1, "disk", 2, "second"},
      {milliseconds(41'000), 2, "disk", 2, "second"}, {milliseconds(41'500), 2, "replica 1", 1, "first"}};
  h.outages = {{2, milliseconds(15'000), milliseconds(30'000)}};
  h.stored = {{1, 1, "a", "first"}, {1, 2, "b", "second"}, {2, 1, "a", "first"}, {2, 2, "b", "second"}};
  h.end = milliseconds(60'000);
  return h;
}

TEST(DistributionChecker, AHistoryWithoutFaultsHasNoBreach) { EXPECT_EQ(breachesOf(goodHistory()), ""); }

TEST(DistributionChecker, AProxyThatGoesBackToAnOlderVersionIsReported) {
  History h = goodHistory();
  h.in_force.push_back({milliseconds(50'000), 1, "disk", 1, "first"});
  EXPECT_EQ(breachesOf(h), "member 1 went back from version 2 to 1 (disk)\n");
}

TEST(DistributionChecker, TwoTextsForOneVersionAreReportedFromProxiesAndReplicas) {
  History h = goodHistory();
  h.in_force.push_back({milliseconds(50'000), 1, "disk", 2, "other"});
  EXPECT_EQ(breachesOf(h), "version 2 is one text for publisher b and another for member 1\n");
  h = goodHistory();
  h.stored[3].digest = "other";
  EXPECT_EQ(breachesOf(h), "version 2 is one text for publisher b and another for replica 2\n");
}

TEST(DistributionChecker, ALostAcknowledgedChangeIsReported) {
  History h = goodHistory();
  h.stored.pop_back();
  EXPECT_EQ(breachesOf(h), "version 2 of publish b is lost at replica 2\n");
  h.stored.clear();
  EXPECT_EQ(breachesOf(h), "no replica stores any change at the end\n");
}

TEST(DistributionChecker, AVersionStoredWithAnotherPublishIdIsReportedAsLost) {
  History h = goodHistory();
  for (StoredRecord& s : h.stored) {
    if (s.version == 2) s.id = "c";
  }
  EXPECT_EQ(breachesOf(h),
            "version 2 of publish b is lost at replica 1\nversion 2 of publish b is lost at replica 2\n");
}

TEST(DistributionChecker, ALaterPublishWithALowerVersionIsReported) {
  History h = goodHistory();
  h.publishes.push_back({milliseconds(30'000), milliseconds(30'100), milliseconds(30'150), "c", 1, "first"});
  EXPECT_NE(breachesOf(h).find("publish c got version 1 after publish b had got 2\n"), std::string::npos);
}

TEST(DistributionChecker, AChangeNotInForceInTimeIsReportedUnlessRefused) {
  History h = goodHistory();
  h.in_force[1].at = milliseconds(12'101);  // decided at 0.1 s
  EXPECT_EQ(breachesOf(h), "version 1 was not in force at member 1 within 12 s\n");
  h.refusals = {{milliseconds(500), 1, 1}};
  EXPECT_EQ(breachesOf(h), "") << "a refusal counts as handled";
}

TEST(DistributionChecker, AfterAnOutageAChangeIsDueTheFullTimeAfterItsEnd) {
  History h = goodHistory();
  h.in_force[4].at = milliseconds(42'001);  // the outage ended at 30 s
  EXPECT_EQ(breachesOf(h), "version 2 was not in force at member 2 within 12 s\n");
  h.end = milliseconds(41'000);
  EXPECT_EQ(breachesOf(h), "") << "it is not due yet";
}

}  // namespace
}  // namespace client_proxy::distribution
