// Zones: shares of traffic by the same facts everywhere, and verdicts called in common, simulated.
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

// ---- the plan ----

TEST(Waterfall, TrafficStaysNearWhereItFits) {
  const auto zones = three(100, 100, 100);
  const TrafficPlan p = waterfall(zones, capacitiesOf(zones));
  for (std::size_t z = 0; z < 3; ++z) EXPECT_GT(p.shares[z][z], 0.999);
  EXPECT_EQ(p.overflow, 0);
}

TEST(Waterfall, WhatIsBeyondGoesToTheRegionFirst) {
  const auto zones = three(140, 60, 100);
  const TrafficPlan p = waterfall(zones, {120, 120, 120});
  EXPECT_NEAR(p.shares[0][0], 120.0 / 140, 1e-3);
  EXPECT_NEAR(p.shares[0][1], 20.0 / 140, 1e-3);
  EXPECT_NEAR(p.shares[0][2], 0, 1e-3);
  EXPECT_GT(p.shares[1][1], 0.999);
}

TEST(Waterfall, ALostZonesTrafficFindsRoomInItsRegionThenElsewhere) {
  auto zones = three(100, 100, 100);
  zones[0].open = false;
  const TrafficPlan p = waterfall(zones, capacitiesOf(zones, 12));  // 144 each
  EXPECT_EQ(p.shares[0][0], 0);
  // 44 and 44 find room; 12 find none, and are for both to refuse.
  EXPECT_NEAR(p.shares[0][1], 0.5, 1e-3);
  EXPECT_NEAR(p.shares[0][2], 0.5, 1e-3);
  EXPECT_NEAR(p.overflow, 12, 0.1);
  const TrafficPlan less = waterfall(three(60, 100, 100), {0, 144, 144});
  EXPECT_NEAR(less.shares[0][1], 44.0 / 60, 1e-3) << "its region first";
}

// Any facts: rows are whole, nothing goes to what is closed, no room is overdrawn while there is any.
TEST(Waterfall, HoldsForAnyZones) {
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
    const std::vector<double> rooms = capacitiesOf(zones, random.below(2) == 0 ? 0 : random.unit() * 40);
    const TrafficPlan p = waterfall(zones, rooms);
    for (std::size_t z = 0; z < zones.size(); ++z) {
      EXPECT_NEAR(total(p.shares[z]), any ? 1 : 0, 1e-9) << round;
      EXPECT_TRUE(zones[z].open || p.load[z] == 0) << round;
      EXPECT_TRUE(p.overflow >= 1e-6 || p.load[z] <= rooms[z] * 1.001 + 1e-6) << round;
    }
  }
}

TEST(Waterfall, AZoneOfOneHostGetsItsEvenPartAndNoMore) {
  std::vector<ZoneLoad> zones = {{"", 300, 1, 1, true}, {"", 10, 11, 11, true}};
  const TrafficPlan p = waterfall(zones, capacitiesOf(zones));
  EXPECT_NEAR(p.load[0], 310.0 / 12, 0.1);
}

TEST(SteeringTest, MovesByBoundedStepsIgnoresNoiseAndLeavesWhatIsClosedAtOnce) {
  GradualShift s;
  const std::vector<bool> open(2, true);
  s.approach({1, 0}, open, 0);
  EXPECT_EQ(s.approach({0.99, 0.01}, open, 10)[0], 1) << "noise";
  EXPECT_NEAR(s.approach({0.5, 0.5}, open, 1)[0], 0.9, 1e-9);
  EXPECT_NEAR(s.approach({0.5, 0.5}, open, 1)[0], 0.8, 1e-9);
  EXPECT_NEAR(s.approach({0.5, 0.5}, open, 60)[0], 0.5, 1e-9);
  EXPECT_EQ(s.approach({0, 1}, {false, true}, 0)[0], 0);
}

// ---- verdicts ----

// Members in zones by turns, each with a court; what they tell reaches whom the links let, after a delay.
class Members {
 public:
  explicit Members(std::size_t n, std::size_t zones = 3) : zones_(zones) {
    for (std::size_t i = 0; i < n; ++i) quorums.emplace_back(zones, i % zones);
    told_.resize(n);
  }
  // What a member sees of a zone by its own requests.
  std::function<ZoneObservation(std::size_t member, std::size_t zone)> sees = [](auto, auto) {
    return ZoneObservation::Responding;
  };
  std::function<bool(std::size_t from, std::size_t to)> hears = [](auto, auto) { return true; };
  std::function<bool(std::size_t)> sure = [](auto) { return true; };
  std::vector<ZoneHealthQuorum> quorums;
  Time now = 100 * kSecond;

  void runFor(Time time) {
    for (const Time end = now + time; now < end; now += 100 * kMillisecond) {
      std::vector<ObserverReport> all;
      for (std::size_t m = 0; m < quorums.size(); ++m) {
        ZoneHealthQuorum& c = quorums[m];
        ObserverReport w{static_cast<Number>(m), m % zones_, {}, {}};
        for (std::size_t z = 0; z < zones_; ++z) {
          // Who does not go there sees nothing, but for the few that look after it.
          const bool goes =
              c.sendsTraffic(z, w.member, now) || c.checksHealth(z, c.status(z).epoch, w.member, told_);
          c.observe(z, goes ? sees(m, z) : ZoneObservation::None);
          w.seen.push_back(c.reports(z));
          w.statuses.push_back(c.status(z));
        }
        all.push_back(w);
      }
      for (std::size_t m = 0; m < quorums.size(); ++m) {
        std::vector<ObserverReport> heard;
        for (std::size_t o = 0; o < quorums.size(); ++o) {
          if (o == m || hears(o, m))
            heard.push_back(o == m ? all[o] : told_[o].seen.empty() ? all[o] : told_[o]);
        }
        quorums[m].evaluate(now, heard, sure(m));
        for (std::size_t z = 0; z < zones_; ++z) most_ = std::max<int>(most_, quorums[m].status(z).epoch);
      }
      told_ = all;
    }
  }
  std::size_t holding(std::size_t zone, ZoneState state) const {
    return static_cast<std::size_t>(
        std::count_if(quorums.begin(), quorums.end(),
                      [&](const ZoneHealthQuorum& c) { return c.status(zone).state == state; }));
  }
  bool oneVerdict(std::size_t zone) const {
    return std::all_of(quorums.begin(), quorums.end(),
                       [&](const ZoneHealthQuorum& c) { return c.status(zone) == quorums[0].status(zone); });
  }
  int most() const { return most_; }

 private:
  std::size_t zones_;
  std::vector<ObserverReport> told_;
  int most_ = 0;
};

TEST(Verdicts, ASilentZoneIsLostForAllWithinTwoSecondsAndReturnsByStages) {
  Members m(30);
  m.sees = [](auto, auto z) { return z == 1 ? ZoneObservation::Unresponsive : ZoneObservation::Responding; };
  m.runFor(2 * kSecond);
  EXPECT_EQ(m.holding(1, ZoneState::Down), 30U);
  EXPECT_TRUE(m.oneVerdict(1));
  EXPECT_EQ(m.holding(0, ZoneState::Up) + m.holding(2, ZoneState::Up), 60U);
  m.runFor(20 * kSecond);
  EXPECT_EQ(m.holding(1, ZoneState::Down), 30U) << "it is silent still";
  m.sees = [](auto, auto) { return ZoneObservation::Responding; };
  m.runFor(kSecond);
  EXPECT_EQ(m.holding(1, ZoneState::Recovering), 30U);
  const auto going = [&] {
    std::size_t n = 0;
    for (std::size_t i = 0; i < 30; ++i)
      n += m.quorums[i].sendsTraffic(1, static_cast<Number>(i), m.now) ? 1U : 0U;
    return n;
  };
  EXPECT_LE(going(), 6U);
  m.runFor(5 * kSecond);
  EXPECT_GT(going(), 6U);
  m.runFor(5 * kSecond);
  EXPECT_EQ(m.holding(1, ZoneState::Up), 30U);
  EXPECT_TRUE(m.oneVerdict(1));
}

TEST(Verdicts, OneLiarOrOneZonesSilenceCallsNothing) {
  Members m(30);
  m.sees = [](auto who, auto z) {
    return z == 1 && who == 3 ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.runFor(10 * kSecond);
  EXPECT_EQ(m.most(), 0) << "a member that lies";
  m.sees = [](auto who, auto z) {
    return z == 1 && who % 3 == 0 ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.runFor(10 * kSecond);
  EXPECT_EQ(m.most(), 0) << "the way from zone 0 to zone 1 alone is cut";
}

TEST(Verdicts, WhoIsCutOffHasNoSayAndCallsNothing) {
  Members m(30);
  const auto apart = [](auto a, auto b) { return (a % 3 == 2) != (b % 3 == 2); };
  m.hears = [&](auto a, auto b) { return !apart(a, b); };
  m.sees = [&](auto who, auto z) {
    return apart(who, z) ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.runFor(3 * kSecond);
  for (std::size_t i = 2; i < 30; i += 3) {
    EXPECT_TRUE(m.quorums[i].isolated());
    EXPECT_EQ(m.quorums[i].status(0).epoch, 0) << "of the others it thinks no ill";
  }
  EXPECT_EQ(m.holding(2, ZoneState::Down), 20U) << "the others go on without it";
  m.hears = [](auto, auto) { return true; };
  m.sees = [](auto, auto) { return ZoneObservation::Responding; };
  m.runFor(30 * kSecond);
  EXPECT_EQ(m.holding(2, ZoneState::Up), 30U);
  EXPECT_TRUE(m.oneVerdict(2)) << "epochs differed while they were apart";
}

TEST(Verdicts, WithoutASureViewNothingIsCalledAndWhatHoldsGoesOn) {
  Members m(12);
  m.sees = [](auto, auto z) { return z == 1 ? ZoneObservation::Unresponsive : ZoneObservation::Responding; };
  m.sure = [](auto) { return false; };
  m.runFor(5 * kSecond);
  EXPECT_EQ(m.most(), 0);
}

TEST(Verdicts, AZoneThatFlapsStaysAwayLongerEachTime) {
  Members m(12);
  bool silent = false;
  m.sees = [&](auto, auto z) {
    return z == 1 && silent ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  Time before = 0;
  for (int flap = 0; flap < 4; ++flap) {
    silent = true;
    m.runFor(2 * kSecond);
    ASSERT_EQ(m.holding(1, ZoneState::Down), 12U);
    const Time away = m.quorums[0].downUntil(1) - m.now;
    EXPECT_GT(away, before);
    before = away;
    silent = false;
    while (m.holding(1, ZoneState::Recovering) == 0) m.runFor(kSecond / 2);
    m.runFor(4 * kSecond);
  }
  EXPECT_LE(m.quorums[0].downUntil(1) - m.now, 60 * kSecond);
}

// Seeded calm days: one in fifty sights is a silence that was none, and words are lost.
TEST(Verdicts, NoCalmDayEndsInALoss) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Members m(15);
    load_balancer::Random random(seed);
    m.sees = [&](auto, auto) {
      return random.below(50) == 0 ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
    };
    m.hears = [&](auto, auto) { return random.below(5) != 0; };
    m.runFor(20 * kSecond);
    ASSERT_EQ(m.most(), 0) << "seed " << seed;
  }
}

TEST(Verdicts, MergeInAnyOrderToTheSame) {
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

// ---- what is told ----

TEST(ZoneNotes, ComeBackAsTheyWereWhateverTheOrderOfZones) {
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

// ---- a loss is told from load, and a return from what was before ----

// Three in a hundred are silence to somebody all the time, and all others say that they are answered.
TEST(Verdicts, FewWitnessesOfManyCallNothing) {
  Members m(300);
  m.sees = [](auto who, auto z) {
    return z == 1 && who % 33 == 0 ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.runFor(5 * kSecond);
  EXPECT_EQ(m.most(), 0);
}

TEST(Verdicts, AnswersOutweighTenTimesTheirSilence) {
  Members m(60);
  // Half hear nothing (the links between some are cut), a few are answered.
  m.sees = [](auto who, auto z) {
    return z != 1 || who % 20 == 0 ? ZoneObservation::Responding
           : who % 2 == 0          ? ZoneObservation::Unresponsive
                                   : ZoneObservation::None;
  };
  m.runFor(10 * kSecond);
  EXPECT_EQ(m.most(), 0);
}

TEST(Verdicts, OnlyOneZoneIsAwayAndNoOtherIsCalledUntilItsLoadHasSettled) {
  Members m(30);
  m.sees = [](auto, auto z) { return z == 1 ? ZoneObservation::Unresponsive : ZoneObservation::Responding; };
  m.runFor(2 * kSecond);
  ASSERT_EQ(m.holding(1, ZoneState::Down), 30U);
  // The next one, as it looks under the load of the first; those inside it see it well.
  m.sees = [](auto who, auto z) {
    return z == 1 || (z == 2 && who % 3 == 0) ? ZoneObservation::Unresponsive : ZoneObservation::Responding;
  };
  m.runFor(20 * kSecond);
  EXPECT_EQ(m.holding(2, ZoneState::Up), 30U);
  for (const ZoneHealthQuorum& c : m.quorums) EXPECT_FALSE(c.excluded(2));
}

TEST(Verdicts, OfTwoCalledInOneMomentTheFirstIsAwayForAll) {
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

TEST(Verdicts, NoAnswerFromBeforeTheLossLeadsBack) {
  Members m(30);
  m.sees = [](auto, auto z) { return z == 1 ? ZoneObservation::Unresponsive : ZoneObservation::Responding; };
  m.runFor(2 * kSecond);
  ASSERT_EQ(m.holding(1, ZoneState::Down), 30U);
  EXPECT_GT(m.quorums[0].since(1).responses, 100 * kSecond) << "only what was sent since then counts";
  // One that has not heard of the verdict tells what it saw before.
  std::vector<ObserverReport> late = {
      {3, 0, std::vector<ZoneObservation>(3, ZoneObservation::Responding), std::vector<ZoneStatus>(3)}};
  ZoneHealthQuorum c = m.quorums[0];
  for (int i = 0; i < 100; ++i) c.evaluate(m.now + i * kSecond / 10, late, true);
  EXPECT_EQ(c.status(1).state, ZoneState::Down);
  late[0].statuses[1] = c.status(1);
  c.evaluate(m.now + 11 * kSecond, late, true);
  EXPECT_EQ(c.status(1).state, ZoneState::Recovering);
}

// ---- a loss is told from slowness: the other zones' answers are what its own are compared with ----

// Four hear nothing from zone 1, where a host is dead; all zones take longer to answer than words go round.
TEST(Verdicts, AZoneIsNotLostBeforeTheOthersHaveAnsweredWhatWasSentSince) {
  Members m(30);
  const Time began = m.now;
  m.sees = [&](auto who, auto z) {
    if (z == 1 && who % 5 == 0) return ZoneObservation::Unresponsive;
    return m.now - began >= 1500 * kMillisecond ? ZoneObservation::Responding : ZoneObservation::None;
  };
  m.runFor(6 * kSecond);
  EXPECT_EQ(m.most(), 0);
}

TEST(Verdicts, AZoneIsLostInTheEndThoughNoOtherAnswers) {
  Members m(30);
  const Time began = m.now;
  m.sees = [](auto, auto z) { return z == 1 ? ZoneObservation::Unresponsive : ZoneObservation::None; };
  m.runFor(2 * kSecond);
  EXPECT_EQ(m.most(), 0);
  EXPECT_GE(m.quorums[0].since(2).responses, began)
      << "an answer to what was sent before says nothing of now";
  m.runFor(2 * kSecond);
  EXPECT_EQ(m.holding(1, ZoneState::Down), 30U);
}

// Each finds it out by its own requests, one after the other.
TEST(Verdicts, WordsOnADoubtStayFewWhateverTheFleet) {
  Members m(300);
  const Time began = m.now;
  m.sees = [&](auto who, auto z) {
    const bool found = m.now - began > static_cast<Time>(who) * 15 * kMillisecond;
    return z != 1  ? ZoneObservation::Responding
           : found ? ZoneObservation::Unresponsive
                   : ZoneObservation::None;
  };
  std::size_t most = 0;
  while (m.now - began < 5 * kSecond) {
    m.runFor(kSecond / 10);
    std::size_t telling = 0;
    for (const ZoneHealthQuorum& c : m.quorums) telling += c.reports(1) != ZoneObservation::None ? 1U : 0U;
    most = std::max(most, telling);
  }
  EXPECT_EQ(m.holding(1, ZoneState::Down), 300U);
  EXPECT_GE(most, 20U);
  EXPECT_LE(most, 40U);
}

TEST(ZoneObservationsTest, TwoServersSilentWhileOthersAnswerAreTheZones) {
  ZoneObservations s;
  s.recordResponse(0, 8, 10);
  EXPECT_FALSE(s.recordNoResponse(1, "x", 5));
  EXPECT_FALSE(s.recordNoResponse(1, "x", 6));
  EXPECT_TRUE(s.recordNoResponse(1, "y", 7));
  s.recordResponse(1, 30, 40);
  EXPECT_FALSE(s.recordNoResponse(1, "y", 39)) << "it was asked before the answer";
  EXPECT_FALSE(s.recordNoResponse(1, "x", 45)) << "nobody answered since: it may be us";
}

TEST(ZoneObservationsTest, SilenceIsToldOfTwoServersOfWhichOneCannotBeReached) {
  ZoneObservations s;
  s.recordForReport(1, "x", 10, 20, true);
  s.recordForReport(1, "x", 21, 30, true);
  EXPECT_EQ(s.report(1, 30, {0, 0}), ZoneObservation::None) << "one machine may be gone";
  s.recordResponse(1, 9, 31);
  s.recordForReport(1, "y", 32, 40, false);
  EXPECT_EQ(s.report(1, 40, {0, 0}), ZoneObservation::Unresponsive)
      << "what was sent before says nothing against it";
  EXPECT_EQ(s.report(1, 40, {0, 11}), ZoneObservation::None) << "x was tried before that";
  EXPECT_EQ(s.report(1, 39 + ZoneObservations::kNoResponseLifetime, {0, 0}), ZoneObservation::Unresponsive);
  EXPECT_EQ(s.report(1, 40 + ZoneObservations::kNoResponseLifetime, {0, 0}), ZoneObservation::None);
  s.recordResponse(1, 41, 50);
  EXPECT_EQ(s.report(1, 50, {50, 0}), ZoneObservation::Responding) << "whenever what it answers was sent";
  EXPECT_EQ(s.report(1, 50, {51, 0}), ZoneObservation::None) << "it came before";
  EXPECT_EQ(s.report(1, 50 + ZoneObservations::kResponseLifetime, {0, 0}), ZoneObservation::None);
  s.recordForReport(1, "y", 51, 60, true);
  const ZoneObservations::Time later = 60 + ZoneObservations::kNoResponseLifetime;
  s.recordForReport(1, "x", later, later + 1, true);
  EXPECT_EQ(s.report(1, later + 1, {0, 0}), ZoneObservation::None) << "the two were not of one time";
}

TEST(ZoneObservationsTest, LatenessAloneIsNeverTold) {
  ZoneObservations s;
  for (int i = 0; i < 9; ++i) s.recordForReport(1, i % 2 == 0 ? "x" : "y", 10 * i, 10 * i + 9, false);
  EXPECT_EQ(s.report(1, 90, {0, 0}), ZoneObservation::None);
}

}  // namespace
}  // namespace client_proxy::zone_health
