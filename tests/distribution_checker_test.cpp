// Each invariant of the distributed configuration is seen to fail under one deliberate break.
#include "distribution_checker.h"

#include <gtest/gtest.h>

namespace client_proxy::distribution {
namespace {

using std::chrono::milliseconds;

// Two changes that reach two proxies, with one replica silent at first for proxy 2.
History goodHistory() {
  History h;
  h.members = {1, 2};
  h.publishes = {{milliseconds(0), milliseconds(100), milliseconds(150), "a", 1, "first"},
                 {milliseconds(20'000), milliseconds(20'100), milliseconds(20'150), "b", 2, "second"}};
  h.holdings = {
      {milliseconds(50), 1, "disk", 0, "local"},      {milliseconds(400), 1, "disk", 1, "first"},
      {milliseconds(900), 2, "disk", 1, "first"},     {milliseconds(20'300), 1, "disk", 2, "second"},
      {milliseconds(41'000), 2, "disk", 2, "second"}, {milliseconds(41'500), 2, "replica 1", 1, "first"}};
  h.outages = {{2, milliseconds(15'000), milliseconds(30'000)}};
  h.stored = {{1, 1, "a", "first"}, {1, 2, "b", "second"}, {2, 1, "a", "first"}, {2, 2, "b", "second"}};
  h.end = milliseconds(60'000);
  return h;
}

TEST(DistributionChecker, AGoodHistoryHasNoBreach) { EXPECT_EQ(breachesOf(goodHistory()), ""); }

TEST(DistributionChecker, AStepBackAtAProxyIsSeen) {
  History h = goodHistory();
  h.holdings.push_back({milliseconds(50'000), 1, "disk", 1, "first"});
  EXPECT_EQ(breachesOf(h), "member 1 went back from version 2 to 1 (disk)\n");
}

TEST(DistributionChecker, TwoTextsUnderOneNumberAreSeenWhoeverShowsThem) {
  History h = goodHistory();
  h.holdings.push_back({milliseconds(50'000), 1, "disk", 2, "other"});
  EXPECT_EQ(breachesOf(h), "version 2 is one text for publisher b and another for member 1\n");
  h = goodHistory();
  h.stored[3].digest = "other";
  EXPECT_EQ(breachesOf(h), "version 2 is one text for publisher b and another for replica 2\n");
}

TEST(DistributionChecker, ALostAcknowledgedChangeIsSeen) {
  History h = goodHistory();
  h.stored.pop_back();
  EXPECT_EQ(breachesOf(h), "version 2 of publish b is lost at replica 2\n");
  h.stored.clear();
  EXPECT_EQ(breachesOf(h), "no replica has anything at the end\n");
}

TEST(DistributionChecker, AnotherPublishUnderTheSameNumberIsALostOne) {
  History h = goodHistory();
  for (StoredRecord& s : h.stored) {
    if (s.version == 2) s.id = "c";
  }
  EXPECT_EQ(breachesOf(h),
            "version 2 of publish b is lost at replica 1\nversion 2 of publish b is lost at replica 2\n");
}

TEST(DistributionChecker, ALaterPublishWithALowerNumberIsSeen) {
  History h = goodHistory();
  h.publishes.push_back({milliseconds(30'000), milliseconds(30'100), milliseconds(30'150), "c", 1, "first"});
  EXPECT_NE(breachesOf(h).find("publish c got version 1 after publish b had got 2\n"), std::string::npos);
}

TEST(DistributionChecker, AChangeThatIsNotInForceInTimeIsSeen) {
  History h = goodHistory();
  h.holdings[1].at = milliseconds(12'101);  // decided at 0.1 s
  EXPECT_EQ(breachesOf(h), "version 1 was not in force at member 1 within 12 s\n");
  h.refusals = {{milliseconds(500), 1, 1}};
  EXPECT_EQ(breachesOf(h), "") << "a refusal is an answer";
}

TEST(DistributionChecker, AfterAnOutageItIsDueSoLongAfterItsEnd) {
  History h = goodHistory();
  h.holdings[4].at = milliseconds(42'001);  // the outage ended at 30 s
  EXPECT_EQ(breachesOf(h), "version 2 was not in force at member 2 within 12 s\n");
  h.end = milliseconds(41'000);
  EXPECT_EQ(breachesOf(h), "") << "it is not due yet";
}

}  // namespace
}  // namespace client_proxy::distribution
