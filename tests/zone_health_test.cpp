// Zone health: the traffic plan, the quorum's decisions in a simulated fleet, the encoding of reports, and
// one client's observations.
#include <gtest/gtest.h>

#include <numeric>

#include "random/random.h"
#include "zone_health/traffic_plan.h"
#include "zone_health/zone_health_quorum.h"
#include "zone_health/zone_report.h"

namespace client_proxy::zone_health {
namespace {

using fleet::kMillisecond;
using fleet::kSecond;

double total(const std::vector<double>& all) { return std::accumulate(all.begin(), all.end(), 0.0); }
std::vector<ZoneLoad> three(double a, double b, double c) {
  return {{"south", a, 12, 12, true}, {"south", b, 12, 12, true}, {"north", c, 12, 12, true}};
}

// ---- the traffic plan ----

TEST(Waterfall, TrafficStaysInItsZoneWithinItsCapacity) {
  const auto zones = three(100, 100, 100);
  const TrafficPlan p = waterfall(zones, capacitiesOf(zones));
  for (std::size_t z = 0; z < 3; ++z) EXPECT_GT(p.shares[z][z], 0.999);
  EXPECT_EQ(p.overflow, 0);
}

TEST(Waterfall, ExcessGoesToZonesOfTheSameRegionFirst) {
  const auto zones = three(140, 60, 100);
  const TrafficPlan p = waterfall(zones, {120, 120, 120});
  EXPECT_NEAR(p.shares[0][0], 120.0 / 140, 1e-3);
  EXPECT_NEAR(p.shares[0][1], 20.0 / 140, 1e-3);
  EXPECT_NEAR(p.shares[0][2], 0, 1e-3);
  EXPECT_GT(p.shares[1][1], 0.999);
}

TEST(Waterfall, TrafficOfAClosedZoneFillsItsRegionThenOtherRegions) {
  auto zones = three(100, 100, 100);
  zones[0].open = false;
  const TrafficPlan p = waterfall(zones, capacitiesOf(zones, 12));  // 144 each
  EXPECT_EQ(p.shares[0][0], 0);
  // Each open zone has capacity for 44 more; the remaining 12 are spread over both, which are to reject them.
  EXPECT_NEAR(p.shares[0][1], 0.5, 1e-3);
  EXPECT_NEAR(p.shares[0][2], 0.5, 1e-3);
  EXPECT_NEAR(p.overflow, 12, 0.1);
  const TrafficPlan less = waterfall(three(60, 100, 100), {0, 144, 144});
  EXPECT_NEAR(less.shares[0][1], 44.0 / 60, 1e-3) << "the spare capacity of its region is filled first";
}

// Random inputs: rows sum to 1, closed zones get nothing, and no zone gets more than its capacity unless the
// capacity of all is exceeded.
TEST(Waterfall, RandomZonesGetCompleteRowsWithinCapacity) {
  load_balancer::Random random(5);
  for (int round = 0; round < 2000; ++round) {
    std::vector<ZoneLoad> zones(1 + random.below(6));
    bool any = false;
    for (ZoneLoad& z : zones) {
      z.region = std::string(1, static_cast<char>('a' + random.below(3)));
      z.demand = random.below(3) == 0 ? 0 : random.unit() * 1000;
      z.hosts = 1 + random.below(20);
      z.capacity = static_cast<double>(z.hosts) * (0.3 + random.unit());
      z.open = random.below(5) != 0;
      any = any || z.open;
    }
    const std::vector<double> capacities = capacitiesOf(zones, random.below(2) == 0 ? 0 : random.unit() * 40);
    const TrafficPlan p = waterfall(zones, capacities);
    for (std::size_t z = 0; z < zones.size(); ++z) {
      EXPECT_NEAR(total(p.shares[z]), any ? 1 : 0, 1e-9) << round;
      EXPECT_TRUE(zones[z].open || p.load[z] == 0) << round;
      EXPECT_TRUE(p.overflow >= 1e-6 || p.load[z] <= capacities[z] * 1.001 + 1e-6) << round;
    }
  }
}

TEST(Waterfall, AZoneOfOneHostGetsNoMoreThanItsEvenPart) {
  std::vector<ZoneLoad> zones = {{"", 300, 1, 1, true}, {"", 10, 11, 11, true}};
  const TrafficPlan p = waterfall(zones, capacitiesOf(zones));
  EXPECT_NEAR(p.load[0], 310.0 / 12, 0.1);
}

TEST(SteeringTest, ShiftsAtABoundedRateIgnoresSmallDifferencesAndLeavesClosedZonesAtOnce) {
  GradualShift s;
  const std::vector<bool> open(2, true);
  s.approach({1, 0}, open, 0);
  EXPECT_EQ(s.approach({0.99, 0.01}, open, 10)[0], 1) << "the difference is below kMinDifference";
  EXPECT_NEAR(s.approach({0.5, 0.5}, open, 1)[0], 0.9, 1e-9);
  EXPECT_NEAR(s.approach({0.5, 0.5}, open, 1)[0], 0.8, 1e-9);
  EXPECT_NEAR(s.approach({0.5, 0.5}, open, 60)[0], 0.5, 1e-9);
  EXPECT_EQ(s.approach({0, 1}, {false, true}, 0)[0], 0);
}

// ---- the quorum ----

// Members distributed over the zones in turn, each with a quorum. A report arrives in the next step of 100 ms
// where the link between the two members delivers it.
class Members {
 public:
  explicit Members(std::size_t n, std::size_t zones = 3) : zones_(zones) {
    for (std::size_t i = 0; i < n; ++i) quorums.emplace_back(zones, i % zones);
    last_reports_.resize(n);
  }
  // What a member observes of a zone by its own requests.
  std::function<ZoneObservation(std::size_t member, std::size_t zone)> observes = [](auto, auto) {
    return ZoneObservation::Responding;
  };
  std::function<bool(std::size_t from, std::size_t to)> delivers = [](auto, auto) { return true; };
  std::function<bool(std::size_t)> view_complete = [](auto) { return true; };
  std::vector<ZoneHealthQuorum> quorums;
  Time now = 100 * kSecond;

  void runFor(Time time) {
    for (const Time end = now + time; now < end; now += 100 * kMillisecond) {
      std::vector<ObserverReport> all;
      for (std::size_t m = 0; m < quorums.size(); ++m) {
        ZoneHealthQuorum& c = quorums[m];
        ObserverReport w{static_cast<Number>(m), m % zones_, {}, {}};
        for (std::size_t z = 0; z < zones_; ++z) {
          // A member that sends no traffic there observes nothing, except for the few health checkers.
          const bool sends = c.sendsTraffic(z, w.member, now) ||
                             c.checksHealth(z, c.status(z).epoch, w.member, last_reports_);
          c.observe(z, sends ? observes(m, z) : ZoneObservation::None);
          w.seen.push_back(c.reports(z));
          w.statuses.push_back(c.status(z));
        }
        all.push_back(w);
      }
      for (std::size_t m = 0; m < quorums.size(); ++m) {
        std::vector<ObserverReport> received;
        for (std::size_t o = 0; o < quorums.size(); ++o) {
          if (o == m || delivers(o, m))
            received.push_back(o == m ? all[o] : last_reports_[o].seen.empty() ? all[o] : last_reports_[o]);
        }
        quorums[m].evaluate(now, received, view_complete(m));
        for (std::size_t z = 0; z < zones_; ++z)
          max_epoch_ = std::max<int>(max_epoch_, quorums[m].status(z).epoch);
      }
      last_reports_ = all;
    }
  }
  std::size_t membersWith(std::size_t zone, ZoneState state) const {
    return static_cast<std::size_t>(
        std::count_if(quorums.begin(), quorums.end(),
                      [&](const ZoneHealthQuorum& c) { return c.status(zone).state == state; }));
  }
  bool statusesEqual(std::size_t zone) const {
    return std::all_of(quorums.begin(), quorums.end(),
                       [&](const ZoneHealthQuorum& c) { return c.status(zone) == quorums[0].status(zone); });
  }
  int maxEpoch() const { return max_epoch_; }

 private:
  std::size_t zones_;
  std::vector<ObserverReport> last_reports_;
  int max_epoch_ = 0;
};

TEST(Verdicts, AnUnresponsiveZoneIsDownForAllMembersWithinTwoSecondsAndRecoversInStages) {
  Members m(30);
  m.observes = [](auto, auto z) {
    return z == 1 ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.runFor(2 * kSecond);
  EXPECT_EQ(m.membersWith(1, ZoneState::Down), 30U);
  EXPECT_TRUE(m.statusesEqual(1));
  EXPECT_EQ(m.membersWith(0, ZoneState::Up) + m.membersWith(2, ZoneState::Up), 60U);
  m.runFor(20 * kSecond);
  EXPECT_EQ(m.membersWith(1, ZoneState::Down), 30U) << "it is still unresponsive";
  m.observes = [](auto, auto) { return ZoneObservation::Responding; };
  m.runFor(kSecond);
  EXPECT_EQ(m.membersWith(1, ZoneState::Recovering), 30U);
  const auto sending = [&] {
    std::size_t n = 0;
    for (std::size_t i = 0; i < 30; ++i)
      n += m.quorums[i].sendsTraffic(1, static_cast<Number>(i), m.now) ? 1U : 0U;
    return n;
  };
  EXPECT_LE(sending(), 6U);
  m.runFor(5 * kSecond);
  EXPECT_GT(sending(), 6U);
  m.runFor(5 * kSecond);
  EXPECT_EQ(m.membersWith(1, ZoneState::Up), 30U);
  EXPECT_TRUE(m.statusesEqual(1));
}

TEST(Verdicts, ReportsOfOneMemberOrOfOneZoneDeclareNoZoneDown) {
  Members m(30);
  m.observes = [](auto member, auto z) {
    return z == 1 && member == 3 ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.runFor(10 * kSecond);
  EXPECT_EQ(m.maxEpoch(), 0) << "a single member reports it";
  m.observes = [](auto member, auto z) {
    return z == 1 && member % 3 == 0 ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.runFor(10 * kSecond);
  EXPECT_EQ(m.maxEpoch(), 0) << "only the link from zone 0 to zone 1 is cut";
}

TEST(Verdicts, MembersOfAPartitionedZoneDeclareNoOtherZoneDown) {
  Members m(30);
  const auto partitioned = [](auto a, auto b) { return (a % 3 == 2) != (b % 3 == 2); };
  m.delivers = [&](auto a, auto b) { return !partitioned(a, b); };
  m.observes = [&](auto member, auto z) {
    return partitioned(member, z) ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.runFor(3 * kSecond);
  for (std::size_t i = 2; i < 30; i += 3) {
    EXPECT_TRUE(m.quorums[i].isolated());
    EXPECT_EQ(m.quorums[i].status(0).epoch, 0) << "the isolated member declares no zone down";
  }
  EXPECT_EQ(m.membersWith(2, ZoneState::Down), 20U) << "the other zones declare it down";
  m.delivers = [](auto, auto) { return true; };
  m.observes = [](auto, auto) { return ZoneObservation::Responding; };
  m.runFor(30 * kSecond);
  EXPECT_EQ(m.membersWith(2, ZoneState::Up), 30U);
  EXPECT_TRUE(m.statusesEqual(2)) << "the epochs that differed during the partition converge";
}

TEST(Verdicts, WithoutACompleteViewOfTheFleetNoStateIsDeclared) {
  Members m(12);
  m.observes = [](auto, auto z) {
    return z == 1 ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.view_complete = [](auto) { return false; };
  m.runFor(5 * kSecond);
  EXPECT_EQ(m.maxEpoch(), 0);
}

TEST(Verdicts, DowntimeOfAFlappingZoneGrowsWithEachFlap) {
  Members m(12);
  bool unresponsive = false;
  m.observes = [&](auto, auto z) {
    return z == 1 && unresponsive ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  Time before = 0;
  for (int flap = 0; flap < 4; ++flap) {
    unresponsive = true;
    m.runFor(2 * kSecond);
    ASSERT_EQ(m.membersWith(1, ZoneState::Down), 12U);
    const Time downtime = m.quorums[0].downUntil(1) - m.now;
    EXPECT_GT(downtime, before);
    before = downtime;
    unresponsive = false;
    while (m.membersWith(1, ZoneState::Recovering) == 0) m.runFor(kSecond / 2);
    m.runFor(4 * kSecond);
  }
  EXPECT_LE(m.quorums[0].downUntil(1) - m.now, 60 * kSecond);
}

// Seeded runs without a failure: one observation in fifty is wrongly unresponsive, and one report in five is
// lost.
TEST(Verdicts, FalseObservationsAndLostReportsDeclareNoZoneDown) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Members m(15);
    load_balancer::Random random(seed);
    m.observes = [&](auto, auto) {
      return random.below(50) == 0 ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
    };
    m.delivers = [&](auto, auto) { return random.below(5) != 0; };
    m.runFor(20 * kSecond);
    ASSERT_EQ(m.maxEpoch(), 0) << "seed " << seed;
  }
}

TEST(Verdicts, StatusesMergeToTheSameResultInAnyOrder) {
  load_balancer::Random random(2);
  std::vector<ZoneStatus> all;
  for (int i = 0; i < 12; ++i) {
    constexpr ZoneState kStates[] = {ZoneState::Up, ZoneState::Recovering, ZoneState::Down};
    all.push_back({static_cast<std::uint16_t>(65'530 + random.below(12)), kStates[random.below(3)]});
  }
  const auto merged = [&] {
    ZoneStatus v = all[0];
    for (const ZoneStatus& o : all) v = o.supersedes(v) ? o : v;
    return v;
  };
  const ZoneStatus first = merged();
  for (int round = 0; round < 100; ++round) {
    for (std::size_t i = all.size(); i > 1; --i)
      std::swap(all[i - 1], all[random.below(static_cast<std::uint32_t>(i))]);
    EXPECT_EQ(merged(), first);
  }
}

// ---- the encoding of reports ----

TEST(ZoneNotes, DecodeToTheEncodedReportInAnyOrderOfZones) {
  const ZoneReport reported{
      {ZoneObservation::Unresponsive, ZoneObservation::None, ZoneObservation::Responding},
      {{7, ZoneState::Down}, {}, {65'535, ZoneState::Recovering}}};
  const std::string bytes = encode({"a", "b", "c"}, reported);
  EXPECT_EQ(bytes.size(), 10U);
  const ZoneReport read = decode(bytes, {"c", "a"});
  EXPECT_EQ(read.seen,
            (std::vector<ZoneObservation>{ZoneObservation::Responding, ZoneObservation::Unresponsive}));
  EXPECT_EQ(read.statuses[1], (ZoneStatus{7, ZoneState::Down}));
  EXPECT_EQ(read.statuses[0], (ZoneStatus{65'535, ZoneState::Recovering}));
  load_balancer::Random random(1);
  for (int i = 0; i < 2000; ++i) {
    std::string any(random.below(40), '\0');
    for (char& c : any) c = static_cast<char>(random.next());
    for (const ZoneStatus& v : decode(any, {"a", "b"}).statuses) EXPECT_NE(v.state, ZoneState::Suspected);
  }
}

// ---- a failed zone is distinguished from load, and recovery from observations made before the failure ----

// Three members in a hundred observe the zone as unresponsive all the time, all others have responses from
// it.
TEST(Verdicts, FewReportsInALargeFleetDeclareNoZoneDown) {
  Members m(300);
  m.observes = [](auto member, auto z) {
    return z == 1 && member % 33 == 0 ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.runFor(5 * kSecond);
  EXPECT_EQ(m.maxEpoch(), 0);
}

TEST(Verdicts, AReportOfResponsesOutweighsTenReportsOfNone) {
  Members m(60);
  // Half of the members receive no responses (their links to the zone are cut), a few do.
  m.observes = [](auto member, auto z) {
    return z != 1 || member % 20 == 0 ? ZoneObservation::Responding
           : member % 2 == 0          ? ZoneObservation::Unresponsive
                                      : ZoneObservation::None;
  };
  m.runFor(10 * kSecond);
  EXPECT_EQ(m.maxEpoch(), 0);
}

TEST(Verdicts, NoSecondZoneIsDeclaredDownWhileTheLoadOfTheFirstSettles) {
  Members m(30);
  m.observes = [](auto, auto z) {
    return z == 1 ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.runFor(2 * kSecond);
  ASSERT_EQ(m.membersWith(1, ZoneState::Down), 30U);
  // Members of one other zone observe the second zone as unresponsive under the load of the first; its own
  // members do not.
  m.observes = [](auto member, auto z) {
    return z == 1 || (z == 2 && member % 3 == 0) ? ZoneObservation::Unresponsive
                                                 : ZoneObservation::Responding;
  };
  m.runFor(20 * kSecond);
  EXPECT_EQ(m.membersWith(2, ZoneState::Up), 30U);
  for (const ZoneHealthQuorum& c : m.quorums) EXPECT_FALSE(c.excluded(2));
}

TEST(Verdicts, OfTwoZonesDownAtOnceOnlyTheFirstIsExcluded) {
  ZoneHealthQuorum c(3, 2);
  std::vector<ObserverReport> all;
  for (const std::size_t zone : {0U, 1U})
    all.push_back({static_cast<Number>(zone), 2, std::vector<ZoneObservation>(3, ZoneObservation::None),
                   std::vector<ZoneStatus>(3)});
  all[0].statuses[1] = {1, ZoneState::Down};
  all[1].statuses[0] = {1, ZoneState::Down};
  EXPECT_TRUE(c.evaluate(kSecond, all, true));
  EXPECT_TRUE(c.excluded(0));
  EXPECT_FALSE(c.excluded(1));
  EXPECT_TRUE(c.sendsTraffic(1, 7, kSecond));
}

TEST(Verdicts, ResponsesFromBeforeTheFailureDoNotStartRecovery) {
  Members m(30);
  m.observes = [](auto, auto z) {
    return z == 1 ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.runFor(2 * kSecond);
  ASSERT_EQ(m.membersWith(1, ZoneState::Down), 30U);
  EXPECT_GT(m.quorums[0].since(1).responses, 100 * kSecond) << "only responses since then count";
  // A member that has not received the new status reports what it observed before.
  std::vector<ObserverReport> late = {
      {3, 0, std::vector<ZoneObservation>(3, ZoneObservation::Responding), std::vector<ZoneStatus>(3)}};
  ZoneHealthQuorum c = m.quorums[0];
  for (int i = 0; i < 100; ++i) c.evaluate(m.now + i * kSecond / 10, late, true);
  EXPECT_EQ(c.status(1).state, ZoneState::Down);
  late[0].statuses[1] = c.status(1);
  c.evaluate(m.now + 11 * kSecond, late, true);
  EXPECT_EQ(c.status(1).state, ZoneState::Recovering);
}

// ---- a failed zone is distinguished from a slow one by a comparison with responses of the other zones ----

// Four of the 20 members outside zone 1, where a host is dead, have no response from it. All zones take
// longer to respond than reports take to reach all members.
TEST(Verdicts, AZoneIsNotDownBeforeOtherZonesRespondToLaterRequests) {
  Members m(30);
  const Time began = m.now;
  m.observes = [&](auto member, auto z) {
    if (z == 1 && member % 5 == 0) return ZoneObservation::Unresponsive;
    return m.now - began >= 1500 * kMillisecond ? ZoneObservation::Responding : ZoneObservation::None;
  };
  m.runFor(6 * kSecond);
  EXPECT_EQ(m.maxEpoch(), 0);
}

TEST(Verdicts, AZoneIsDownAfterTheComparisonTimeoutThoughNoOtherResponds) {
  Members m(30);
  const Time began = m.now;
  m.observes = [](auto, auto z) { return z == 1 ? ZoneObservation::Unresponsive : ZoneObservation::None; };
  m.runFor(2 * kSecond);
  EXPECT_EQ(m.maxEpoch(), 0);
  EXPECT_GE(m.quorums[0].since(2).responses, began)
      << "earlier responses are no evidence of the present state";
  m.runFor(2 * kSecond);
  EXPECT_EQ(m.membersWith(1, ZoneState::Down), 30U);
}

// The members detect the failure by their own requests, one after the other.
TEST(Verdicts, NumberOfMembersThatReportASuspicionIsBoundedInALargeFleet) {
  Members m(300);
  const Time began = m.now;
  m.observes = [&](auto member, auto z) {
    const bool detected = m.now - began > static_cast<Time>(member) * 15 * kMillisecond;
    return z != 1     ? ZoneObservation::Responding
           : detected ? ZoneObservation::Unresponsive
                      : ZoneObservation::None;
  };
  std::size_t most = 0;
  while (m.now - began < 5 * kSecond) {
    m.runFor(kSecond / 10);
    std::size_t reporting = 0;
    for (const ZoneHealthQuorum& c : m.quorums) reporting += c.reports(1) != ZoneObservation::None ? 1U : 0U;
    most = std::max(most, reporting);
  }
  EXPECT_EQ(m.membersWith(1, ZoneState::Down), 300U);
  EXPECT_GE(most, 20U);
  EXPECT_LE(most, 40U);
}

TEST(ZoneObservationsTest, AZoneIsUnresponsiveWhenTwoOfItsHostsAreWhileOtherZonesRespond) {
  ZoneObservations s;
  s.recordResponse(0, 8, 10);
  EXPECT_FALSE(s.recordNoResponse(1, "x", 5));
  EXPECT_FALSE(s.recordNoResponse(1, "x", 6));
  EXPECT_TRUE(s.recordNoResponse(1, "y", 7));
  s.recordResponse(1, 30, 40);
  EXPECT_FALSE(s.recordNoResponse(1, "y", 39)) << "the request was sent before the response";
  EXPECT_FALSE(s.recordNoResponse(1, "x", 45))
      << "no zone has responded since: the fault may be this client's";
}

TEST(ZoneObservationsTest, AZoneIsReportedUnresponsiveForTwoHostsOfWhichOneIsUnreachable) {
  ZoneObservations s;
  s.recordForReport(1, "x", 10, 20, true);
  s.recordForReport(1, "x", 21, 30, true);
  EXPECT_EQ(s.report(1, 30, {0, 0}), ZoneObservation::None) << "only one host is affected";
  s.recordResponse(1, 9, 31);
  s.recordForReport(1, "y", 32, 40, false);
  EXPECT_EQ(s.report(1, 40, {0, 0}), ZoneObservation::Unresponsive)
      << "a response to an earlier request is no objection";
  EXPECT_EQ(s.report(1, 40, {0, 11}), ZoneObservation::None) << "the request to x was sent before that";
  EXPECT_EQ(s.report(1, 39 + ZoneObservations::kNoResponseLifetime, {0, 0}), ZoneObservation::Unresponsive);
  EXPECT_EQ(s.report(1, 40 + ZoneObservations::kNoResponseLifetime, {0, 0}), ZoneObservation::None);
  s.recordResponse(1, 41, 50);
  EXPECT_EQ(s.report(1, 50, {50, 0}), ZoneObservation::Responding)
      << "the time of the request does not matter";
  EXPECT_EQ(s.report(1, 50, {51, 0}), ZoneObservation::None) << "the response was received before that";
  EXPECT_EQ(s.report(1, 50 + ZoneObservations::kResponseLifetime, {0, 0}), ZoneObservation::None);
  s.recordForReport(1, "y", 51, 60, true);
  const ZoneObservations::Time later = 60 + ZoneObservations::kNoResponseLifetime;
  s.recordForReport(1, "x", later, later + 1, true);
  EXPECT_EQ(s.report(1, later + 1, {0, 0}), ZoneObservation::None) << "the two failures are too far apart";
}

TEST(ZoneObservationsTest, LateResponsesAloneAreNotReported) {
  ZoneObservations s;
  for (int i = 0; i < 9; ++i) s.recordForReport(1, i % 2 == 0 ? "x" : "y", 10 * i, 10 * i + 9, false);
  EXPECT_EQ(s.report(1, 90, {0, 0}), ZoneObservation::None);
}

}  // namespace
}  // namespace client_proxy::zone_health
