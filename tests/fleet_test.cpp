// Many members in simulated time, with faults between them: what the fleet's own view promises. Each case
// runs with several seeds, and names the one that failed.
#include <gtest/gtest.h>

#include "fleet_sim.h"

namespace client_proxy::fleet {
namespace {

using sim::World;

constexpr std::size_t kSeeds = 4;
constexpr Time kMinute = 60 * kSecond;

bool dead(State s) { return s == State::Dead; }
bool gone(State s) { return s == State::Dead || s == State::Left; }

class FleetTest : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  std::unique_ptr<World> fleet(std::size_t members) {
    auto world = std::make_unique<World>(members, GetParam());
    world_ = world.get();
    return world;
  }
  std::unique_ptr<World> settled(std::size_t members) {
    auto world = fleet(members);
    world->startAll();
    EXPECT_NE(world->until(20 * kSecond, [&] { return world->settled(); }), kNever) << "at start";
    world->runFor(5 * kSecond);
    return world;
  }
  static void check(const World& world) {
    for (const std::string& b : world.broken) ADD_FAILURE() << b << " (seed " << GetParam() << ")";
  }
  static testing::AssertionResult settles(World& world, Time within) {
    if (world.until(within, [&] { return world.settled(); }) != kNever) return testing::AssertionSuccess();
    return testing::AssertionFailure() << "not within " << within / kSecond << " s, seed " << GetParam();
  }
  World* world_ = nullptr;
};

INSTANTIATE_TEST_SUITE_P(Seeds, FleetTest, ::testing::Range<std::uint64_t>(1, 1 + kSeeds));

TEST_P(FleetTest, AllStartAtOnceWithHalfOfTheListDead) {
  const auto w = fleet(40);
  for (std::size_t n = 0; n < 40; n += 2) w->start(n);
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  EXPECT_EQ(w->nodes[0].fleet->view(w->localNow(0)).unknown, 20U);
  w->runFor(5 * kSecond);
  EXPECT_EQ(w->nodes[0].fleet->doubt(w->localNow(0)), Doubt::None)
      << "of those that never were nobody is missed";
  check(*w);
}

TEST_P(FleetTest, ACrashIsKnownToAllAndSoIsTheReturn) {
  const auto w = settled(50);
  w->kill(7);
  EXPECT_NE(w->until(6 * kSecond, [&] { return w->holding(7, dead) == 49; }), kNever) << GetParam();
  w->start(7);
  EXPECT_NE(w->until(2 * kSecond, [&] { return w->holding(7, isLive) == 49; }), kNever) << GetParam();
  check(*w);
}

TEST_P(FleetTest, AThirdDiesAtOnce) {
  const auto w = settled(48);
  for (std::size_t n = 0; n < 48; n += 3) w->kill(n);
  EXPECT_TRUE(settles(*w, 12 * kSecond));
  EXPECT_EQ(w->falseDeaths, 0U);
  EXPECT_EQ(w->nodes[1].fleet->doubt(w->localNow(1)), Doubt::None) << "two thirds are enough to be sure";
  check(*w);
}

// Its kernel still takes datagrams: it hears late that it was thought dead, and says otherwise.
TEST_P(FleetTest, AFrozenMemberRefutesItsDeathWhenItComesBack) {
  const auto w = settled(16);
  w->freeze(5, 10 * kSecond);
  EXPECT_NE(w->until(8 * kSecond, [&] { return w->holding(5, dead) == 15; }), kNever);
  w->runFor(10 * kSecond - (w->now % kSecond));
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  EXPECT_GE(w->nodes[5].fleet->refuted(), 1U);
  EXPECT_EQ(w->falseDeaths, 0U) << "and it accused nobody for its own sleep";
  check(*w);
}

TEST_P(FleetTest, WhoStoodStillIsNotSureForAWhile) {
  const auto w = settled(8);
  ASSERT_EQ(w->nodes[2].fleet->doubt(w->localNow(2)), Doubt::None);
  w->freeze(2, 1500 * kMillisecond);
  w->runFor(1600 * kMillisecond);
  EXPECT_EQ(w->nodes[2].fleet->doubt(w->localNow(2)), Doubt::Paused);
  w->runFor(10 * kSecond);
  EXPECT_EQ(w->nodes[2].fleet->doubt(w->localNow(2)), Doubt::None);
  check(*w);
}

TEST_P(FleetTest, ALeaveIsTold) {
  const auto w = settled(30);
  w->leave(4);
  EXPECT_NE(
      w->until(2 * kSecond, [&] { return w->holding(4, [](State s) { return s == State::Left; }) == 29; }),
      kNever);
  w->start(4);
  EXPECT_NE(w->until(2 * kSecond, [&] { return w->holding(4, isLive) == 29; }), kNever);
  check(*w);
}

TEST_P(FleetTest, RollingRestartOfAllATenthAtATime) {
  const auto w = settled(40);
  for (std::size_t tenth = 0; tenth < 10; ++tenth) {
    for (std::size_t n = tenth; n < 40; n += 10) w->leave(n);
    w->runFor(kSecond);
    for (std::size_t n = tenth; n < 40; n += 10) w->start(n);
    w->runFor(kSecond);
  }
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  EXPECT_EQ(w->falseDeaths, 0U);
  EXPECT_NE(w->until(kMinute, [&] { return w->recordsSettled(); }), kNever) << "records too";
  check(*w);
}

// Eight against four, and on both sides somebody joins, leaves and dies meanwhile.
TEST_P(FleetTest, APartitionHealsWhateverHappenedInIt) {
  const auto w = fleet(12);
  for (std::size_t n = 0; n < 12; ++n) {
    if (n != 3 && n != 9) w->start(n);
  }
  ASSERT_TRUE(settles(*w, 5 * kSecond));
  w->runFor(5 * kSecond);
  w->cut = [](Number a, Number b) { return (a < 8) != (b < 8); };
  w->runFor(15 * kSecond);
  EXPECT_EQ(w->nodes[0].fleet->roster().live(), 7U);
  EXPECT_EQ(w->nodes[8].fleet->roster().live(), 3U);
  EXPECT_EQ(w->nodes[8].fleet->doubt(w->localNow(8)), Doubt::Minority)
      << "the smaller part knows that it is one";
  EXPECT_EQ(w->nodes[0].fleet->doubt(w->localNow(0)), Doubt::None);
  w->start(3);
  w->start(9);
  w->runFor(2 * kSecond);
  w->leave(1);
  w->leave(10);
  w->kill(2);
  w->kill(11);
  w->runFor(8 * kSecond);
  w->cut = [](Number, Number) { return false; };
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  EXPECT_EQ(w->nodes[8].fleet->roster().live(), 8U);
  EXPECT_EQ(w->holding(10, gone), 8U);
  check(*w);
}

TEST_P(FleetTest, ThreeIslandsFindOneAnotherAgain) {
  const auto w = settled(30);
  w->cut = [](Number a, Number b) { return a % 3 != b % 3; };
  w->runFor(20 * kSecond);
  EXPECT_EQ(w->nodes[0].fleet->roster().live(), 10U);
  w->cut = [](Number, Number) { return false; };
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  check(*w);
}

// A slow split: those that are lost one after the other must not be tried as seldom as the first of them was.
TEST_P(FleetTest, HalvesThatCameApartSlowlyHealAsFast) {
  const auto w = settled(60);
  std::size_t apart = 0;
  w->cut = [&](Number a, Number b) { return (a < apart) != (b < apart); };
  for (apart = 1; apart <= 30; ++apart) w->runFor(kSecond);
  w->runFor(10 * kSecond);
  apart = 0;
  EXPECT_TRUE(settles(*w, 6 * kSecond));
  check(*w);
}

TEST_P(FleetTest, AOneWayCutOfOneMemberIsSeenThroughOthers) {
  const auto w = settled(12);
  // Nothing of member 3 reaches 0 to 5; the other half vouches for it.
  w->cut = [](Number a, Number b) { return a == 3 && b < 6; };
  w->runFor(kMinute);
  EXPECT_EQ(w->falseDeaths, 0U);
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  // And of one that can't be heard at all, though it hears, everybody learns.
  w->cut = [](Number a, Number) { return a == 3; };
  EXPECT_NE(w->until(8 * kSecond, [&] { return w->holding(3, dead) == 11; }), kNever);
  w->cut = [](Number, Number) { return false; };
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  check(*w);
}

TEST_P(FleetTest, AFlappingLinkCostsNobodyHisPlace) {
  const auto w = settled(12);
  w->cut = [&](Number a, Number b) { return (a == 2 || b == 2) && (w->now / (700 * kMillisecond)) % 2 == 0; };
  w->runFor(kMinute);
  w->cut = [](Number, Number) { return false; };
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  check(*w);
}

TEST_P(FleetTest, DatagramsLostDoubledAndOutOfOrderKillNobody) {
  const auto w = fleet(24);
  w->link = {.loss = 0.05, .doubled = 0.05, .least = 200, .most = 60 * kMillisecond};
  w->startAll();
  ASSERT_TRUE(settles(*w, 10 * kSecond));
  w->runFor(10 * kMinute);
  EXPECT_EQ(w->falseDeaths, 0U) << GetParam();
  EXPECT_TRUE(settles(*w, 10 * kSecond));
  check(*w);
}

TEST_P(FleetTest, AFifthOfAllDatagramsLostIsSurvived) {
  const auto w = settled(24);
  w->link.loss = 0.2;
  w->runFor(2 * kMinute);
  w->kill(3);
  EXPECT_NE(w->until(20 * kSecond, [&] { return w->holding(3, dead) == 23; }), kNever);
  w->link.loss = 0;
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  check(*w);
}

TEST_P(FleetTest, GarbageChangesNothingAndIsCounted) {
  const auto w = settled(8);
  const std::uint32_t before = w->nodes[0].fleet->roster().hash();
  load_balancer::Random random(GetParam());
  for (int i = 0; i < 10'000; ++i) {
    std::string bytes(random.below(300), '\0');
    for (char& c : bytes) c = static_cast<char>(random.next());
    w->inject(static_cast<Number>(1 + random.below(7)), 0, std::move(bytes));
  }
  w->runFor(kSecond);
  const Drops& d = w->nodes[0].fleet->drops();
  EXPECT_EQ(d.too_short + d.too_long + d.foreign + d.version + d.checksum + d.malformed, 10'000U);
  EXPECT_EQ(w->nodes[0].fleet->roster().hash(), before);
  check(*w);
}

// A member's datagram from another member's address, or to another's, is no word of either.
TEST_P(FleetTest, WhatIsNotFromItsAddressOrNotForUsIsDropped) {
  const auto w = settled(4);
  Header h;
  h.from = 2;
  h.to = 0;
  h.incarnation = incarnationAt(99'000'000, 1);
  w->inject(1, 0, Writer(h, w->settings.fleet).finish());
  h.to = 3;
  w->inject(2, 0, Writer(h, w->settings.fleet).finish());
  w->runFor(kSecond);
  EXPECT_EQ(w->nodes[0].fleet->drops().misaddressed, 2U);
  EXPECT_TRUE(w->settled());
  check(*w);
}

TEST_P(FleetTest, ANumberUsedTwiceIsNoticedByBoth) {
  const auto w = settled(10);
  EXPECT_FALSE(w->nodes[6].fleet->duplicateDetected(w->localNow(6)));
  const std::size_t twin = w->twin(6);
  EXPECT_NE(w->until(20 * kSecond,
                     [&] {
                       return w->nodes[6].fleet->duplicateDetected(w->localNow(6)) &&
                              w->nodes[twin].fleet->duplicateDetected(w->localNow(twin));
                     }),
            kNever)
      << GetParam();
  EXPECT_EQ(w->nodes[6].fleet->doubt(w->localNow(6)), Doubt::DuplicateNumber);
  w->kill(twin);
  w->runFor(40 * kSecond);
  EXPECT_EQ(w->nodes[6].fleet->doubt(w->localNow(6)), Doubt::None) << "it is over";
  check(*w);
}

TEST_P(FleetTest, ARestartIsNoTwinEvenIfTheClockWasSetBack) {
  const auto w = settled(10);
  for (const Time back : {30 * kSecond, 3000 * kSecond}) {
    w->kill(6);
    w->runFor(kSecond);
    w->nodes[6].clock_offset -= back;
    w->start(6);
    EXPECT_TRUE(settles(*w, 5 * kSecond));
    EXPECT_FALSE(w->nodes[6].fleet->duplicateDetected(w->localNow(6)));
    w->runFor(30 * kSecond);
  }
  EXPECT_NE(w->until(kMinute, [&] { return w->recordsSettled(); }), kNever)
      << "its record is the new process's";
  check(*w);
}

TEST_P(FleetTest, ClocksMayDifferAndDrift) {
  const auto w = fleet(16);
  load_balancer::Random random(GetParam());
  for (auto& node : w->nodes) {
    node.clock_offset = static_cast<Time>(random.below(120)) * kSecond;
    node.clock_rate = 0.999 + 0.002 * random.unit();
  }
  w->startAll();
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  w->runFor(5 * kMinute);
  EXPECT_EQ(w->falseDeaths, 0U);
  w->kill(1);
  EXPECT_TRUE(settles(*w, 8 * kSecond));
  check(*w);
}

// The next version of the message comes to a half first: both talk on, in the one that the other reads.
TEST_P(FleetTest, HalfOfThemReadTheNextVersionOfTheMessage) {
  const auto w = settled(12);
  w->adapt = [](Settings& s) { s.newest = s.self < 6 ? kNewestVersion + 1 : kNewestVersion; };
  for (std::size_t n = 0; n < 6; ++n) {
    w->leave(n);
    w->runFor(200 * kMillisecond);
    w->start(n);
  }
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  std::size_t next = 0;
  w->spy = [&](const std::string& bytes) { next += bytes[2] == kNewestVersion + 1 ? 1 : 0; };
  w->runFor(30 * kSecond);
  EXPECT_GT(next, 0U) << "those that can speak it to one another";
  for (std::size_t n = 6; n < 12; ++n) EXPECT_EQ(w->nodes[n].fleet->drops().version, 0U);
  check(*w);
}

// An upgrade hands the incarnation and the view on: no other member sees anything happen.
TEST_P(FleetTest, TheNextProcessOfAMemberIsNoNewMember) {
  const auto w = settled(10);
  const Incarnation before = w->nodes[4].fleet->incarnation();
  const MembershipSnapshot remembered = w->nodes[4].fleet->snapshot();
  for (auto& n : w->nodes) n.changes.clear();
  w->start(4, &remembered);
  EXPECT_EQ(w->nodes[4].fleet->roster().live(), 10U) << "it knows all from its first moment";
  EXPECT_EQ(w->nodes[4].fleet->doubt(w->localNow(4)), Doubt::ViewsDiffer) << "but for having heard anybody";
  w->runFor(30 * kSecond);
  EXPECT_EQ(w->nodes[4].fleet->doubt(w->localNow(4)), Doubt::None);
  EXPECT_EQ(w->nodes[4].fleet->incarnation(), before);
  for (const auto& n : w->nodes) EXPECT_TRUE(n.changes.empty()) << n.number;
  EXPECT_FALSE(w->nodes[4].fleet->duplicateDetected(w->localNow(4)));
  check(*w);
}

TEST_P(FleetTest, TheListIsReplacedDuringAPartition) {
  const auto w = fleet(14);
  const std::vector<Listed> longer = w->list;
  w->list.resize(12);
  for (std::size_t n = 0; n < 12; ++n) w->start(n);
  ASSERT_TRUE(settles(*w, 5 * kSecond));
  w->cut = [](Number a, Number b) { return (a < 6) != (b < 6); };
  w->runFor(10 * kSecond);
  // Twelve and thirteen come, eleven goes; one half hears of it now, the other when it is over.
  std::vector<Listed> next = longer;
  next.erase(next.begin() + 11);
  const auto hand = [&](std::size_t from, std::size_t to) {
    for (std::size_t n = from; n < to; ++n) {
      if (w->runs(n)) w->nodes[n].fleet->setMembers(w->localNow(n), next);
    }
  };
  w->check = false;  // who is no longer listed is forgotten on purpose
  w->kill(11);
  hand(0, 6);
  w->list = next;
  w->start(12);
  w->runFor(5 * kSecond);
  w->cut = [](Number, Number) { return false; };
  w->runFor(5 * kSecond);
  hand(6, 11);
  w->start(13);
  EXPECT_TRUE(settles(*w, 8 * kSecond));
  EXPECT_EQ(w->nodes[13].fleet->roster().live(), 13U);
  EXPECT_THROW(w->nodes[3].fleet->setMembers(w->now, {{1}, {2}}), std::invalid_argument)
      << "it is not in it itself";
  EXPECT_EQ(w->nodes[3].fleet->roster().live(), 13U);
}

TEST_P(FleetTest, AnUrgentRecordIsWithAllInASecondAndOthersBeforeLong) {
  const auto w = settled(60);
  ASSERT_NE(w->until(2 * kMinute, [&] { return w->recordsSettled(); }), kNever);
  w->nodes[9].fleet->setFacts(w->localNow(9), Facts{2, "zone-0", "south", 9, {{20, "zone b is silent"}}},
                              true);
  w->runFor(kMillisecond);
  EXPECT_NE(w->until(1500 * kMillisecond, [&] { return w->recordsSettled(); }), kNever) << GetParam();
  const View v = w->nodes[40].fleet->view(w->localNow(40));
  ASSERT_NE(v.members[9].facts.find(20), nullptr);
  EXPECT_EQ(v.members[9].facts.find(20)->bytes, "zone b is silent");
  EXPECT_EQ(v.rank, 40U);
  check(*w);
}

// Bytes stay within the budget whatever happens, and do not grow with the fleet.
TEST_P(FleetTest, WhatAMemberSendsIsBoundedAndFlat) {
  for (const std::size_t members : {12U, 120U}) {
    const auto w = settled(members);
    w->runFor(kMinute);
    const std::uint64_t before = w->nodes[0].bytes_out;
    w->runFor(kMinute);
    EXPECT_LT(w->nodes[0].bytes_out - before, 60U * 400U) << members;
    for (std::size_t n = 0; n < members; n += 4) w->kill(n);
    w->runFor(kMinute);
    EXPECT_LT(w->nodes[1].bytes_out - before, 2 * 60U * 2000U + 32'000U) << members;
    check(*w);
  }
}

// ---- what each mechanism is for: without it, the promise above is broken ----

TEST_P(FleetTest, MutationWithoutSuspicionLossKillsTheLiving) {
  const auto deaths = [&](Time suspicion) {
    const auto w = fleet(24);
    w->settings.min_suspicion = suspicion;
    w->startAll();
    w->runFor(5 * kSecond);
    w->falseDeaths = 0;
    w->link.loss = 0.15;
    w->runFor(5 * kMinute);
    return w->falseDeaths;
  };
  EXPECT_GT(deaths(0), 0U);
  EXPECT_EQ(deaths(Settings{}.min_suspicion), 0U);
}

TEST_P(FleetTest, MutationWithoutIncarnationsTheFrozenStayDead) {
  for (const bool refutes : {false, true}) {
    const auto w = fleet(12);
    w->settings.refute_suspicion = refutes;
    w->startAll();
    w->runFor(5 * kSecond);
    w->freeze(5, 10 * kSecond);
    w->runFor(30 * kSecond);
    EXPECT_EQ(w->holding(5, isLive), refutes ? 11U : 0U);
  }
}

TEST_P(FleetTest, MutationWithoutTryingTheDeadHalvesStayApart) {
  for (const bool tries : {false, true}) {
    const auto w = fleet(12);
    if (!tries) w->settings.dead_ping_interval = kNever;
    w->startAll();
    w->runFor(5 * kSecond);
    w->cut = [](Number a, Number b) { return (a < 6) != (b < 6); };
    w->runFor(20 * kSecond);
    w->cut = [](Number, Number) { return false; };
    EXPECT_EQ(w->until(kMinute, [&] { return w->settled(); }) != kNever, tries);
  }
}

TEST(FleetAlone, AListOfOneIsSureAndOneThatLacksItselfIsRefused) {
  World w(1, 1);
  w.startAll();
  w.runFor(kSecond);
  EXPECT_TRUE(w.nodes[0].fleet->view(w.localNow(0)).sure());
  EXPECT_EQ(w.datagrams, 0U);
  EXPECT_THROW(Fleet(Settings{}, {{1}, {2}}, 1, 1), std::invalid_argument);
  EXPECT_THROW(Fleet(Settings{}, {{0}, {1}, {1}}, 1, 1), std::invalid_argument);
}

TEST(FleetAlone, OneThatHearsNobodyIsNeverSure) {
  World w(6, 1);
  w.start(2);
  w.runFor(kMinute);
  EXPECT_EQ(w.nodes[2].fleet->doubt(w.localNow(2)), Doubt::Alone);
}

// 600 within a second; bench/fleet does it with 2,000.
TEST(FleetLarge, SixHundredJoinWithinASecond) {
  World w(601, 5);
  w.check = false;
  w.start(0);
  w.runFor(kSecond);
  for (std::size_t n = 1; n < 601; ++n) {
    w.start(n);
    w.runFor(kSecond / 600);
  }
  EXPECT_NE(w.until(10 * kSecond, [&] { return w.settled(); }), kNever);
}

// More blocks than one digest holds: those at the ends are compared as often as the others. Where windows of
// blocks began anywhere, block 0 of 900 members was in one of eight, and somebody lacked a member for 20 s.
TEST(FleetLarge, NineHundredThatStartAtOnceAgree) {
  World w(900, 1);
  w.check = false;
  w.startAll();
  EXPECT_NE(w.until(10 * kSecond, [&] { return w.settled(); }), kNever);
}

}  // namespace
}  // namespace client_proxy::fleet
