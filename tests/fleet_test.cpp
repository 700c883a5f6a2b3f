// Membership of many members in simulated time, with process and network faults. Each case runs with several
// seeds, and reports the seed that failed.
#include <gtest/gtest.h>

#include "fleet_sim.h"

namespace client_proxy::fleet {
namespace {

using sim::World;

constexpr std::size_t kSeeds = 4;
constexpr Time kMinute = 60 * kSecond;

bool dead(State s) { return s == State::Dead; }
bool deadOrLeft(State s) { return s == State::Dead || s == State::Left; }

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
    for (const std::string& b : world.violations) ADD_FAILURE() << b << " (seed " << GetParam() << ")";
  }
  static testing::AssertionResult settles(World& world, Time within) {
    if (world.until(within, [&] { return world.settled(); }) != kNever) return testing::AssertionSuccess();
    return testing::AssertionFailure() << "not within " << within / kSecond << " s, seed " << GetParam();
  }
  World* world_ = nullptr;
};

INSTANTIATE_TEST_SUITE_P(Seeds, FleetTest, ::testing::Range<std::uint64_t>(1, 1 + kSeeds));

TEST_P(FleetTest, ViewsConvergeWhenHalfOfTheListedMembersNeverStart) {
  const auto w = fleet(40);
  for (std::size_t n = 0; n < 40; n += 2) w->start(n);
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  EXPECT_EQ(w->nodes[0].fleet->view(w->localNow(0)).unknown, 20U);
  w->runFor(5 * kSecond);
  EXPECT_EQ(w->nodes[0].fleet->doubt(w->localNow(0)), Doubt::None)
      << "members that never started do not count as lost";
  check(*w);
}

TEST_P(FleetTest, CrashAndReturnAreDetectedByAllMembers) {
  const auto w = settled(50);
  w->kill(7);
  EXPECT_NE(w->until(6 * kSecond, [&] { return w->holding(7, dead) == 49; }), kNever) << GetParam();
  w->start(7);
  EXPECT_NE(w->until(2 * kSecond, [&] { return w->holding(7, isLive) == 49; }), kNever) << GetParam();
  check(*w);
}

TEST_P(FleetTest, SimultaneousCrashOfAThirdIsDetectedWithoutFalseDeaths) {
  const auto w = settled(48);
  for (std::size_t n = 0; n < 48; n += 3) w->kill(n);
  EXPECT_TRUE(settles(*w, 12 * kSecond));
  EXPECT_EQ(w->falseDeaths, 0U);
  EXPECT_EQ(w->nodes[1].fleet->doubt(w->localNow(1)), Doubt::None)
      << "two thirds of the members are a reliable view";
  check(*w);
}

// The kernel of a frozen process still queues datagrams: it learns late that it was declared dead, and
// refutes it.
TEST_P(FleetTest, FrozenMemberRefutesItsDeathAfterResuming) {
  const auto w = settled(16);
  w->freeze(5, 10 * kSecond);
  EXPECT_NE(w->until(8 * kSecond, [&] { return w->holding(5, dead) == 15; }), kNever);
  w->runFor(10 * kSecond - (w->now % kSecond));
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  EXPECT_GE(w->nodes[5].fleet->refuted(), 1U);
  EXPECT_EQ(w->falseDeaths, 0U) << "and it has accused no other member because of its own pause";
  check(*w);
}

TEST_P(FleetTest, ViewIsDoubtfulAfterAPauseOfTheProcess) {
  const auto w = settled(8);
  ASSERT_EQ(w->nodes[2].fleet->doubt(w->localNow(2)), Doubt::None);
  w->freeze(2, 1500 * kMillisecond);
  w->runFor(1600 * kMillisecond);
  EXPECT_EQ(w->nodes[2].fleet->doubt(w->localNow(2)), Doubt::Paused);
  w->runFor(10 * kSecond);
  EXPECT_EQ(w->nodes[2].fleet->doubt(w->localNow(2)), Doubt::None);
  check(*w);
}

TEST_P(FleetTest, LeaveAndReturnAreAnnouncedToAllMembers) {
  const auto w = settled(30);
  w->leave(4);
  EXPECT_NE(
      w->until(2 * kSecond, [&] { return w->holding(4, [](State s) { return s == State::Left; }) == 29; }),
      kNever);
  w->start(4);
  EXPECT_NE(w->until(2 * kSecond, [&] { return w->holding(4, isLive) == 29; }), kNever);
  check(*w);
}

TEST_P(FleetTest, RollingRestartOfATenthAtATimeCausesNoFalseDeaths) {
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

// A partition of eight and four members, with a member that joins, one that leaves and one that dies on each
// side.
TEST_P(FleetTest, PartitionHealsAfterJoinsLeavesAndCrashesOnBothSides) {
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
      << "the smaller part must detect that it is the minority";
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
  EXPECT_EQ(w->holding(10, deadOrLeft), 8U);
  check(*w);
}

TEST_P(FleetTest, PartitionIntoThreeHeals) {
  const auto w = settled(30);
  w->cut = [](Number a, Number b) { return a % 3 != b % 3; };
  w->runFor(20 * kSecond);
  EXPECT_EQ(w->nodes[0].fleet->roster().live(), 10U);
  w->cut = [](Number, Number) { return false; };
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  check(*w);
}

// A partition that grows member by member: the ping interval must follow the current number of unreachable
// members, and not stay as long as it was for the first of them.
TEST_P(FleetTest, GraduallyGrownPartitionHealsAsFastAsASuddenOne) {
  const auto w = settled(60);
  std::size_t apart = 0;
  w->cut = [&](Number a, Number b) { return (a < apart) != (b < apart); };
  for (apart = 1; apart <= 30; ++apart) w->runFor(kSecond);
  w->runFor(10 * kSecond);
  apart = 0;
  EXPECT_TRUE(settles(*w, 6 * kSecond));
  check(*w);
}

TEST_P(FleetTest, OneWayCutIsBridgedByIndirectProbes) {
  const auto w = settled(12);
  // Datagrams of member 3 do not reach 0 to 5; the other half confirms that it is alive.
  w->cut = [](Number a, Number b) { return a == 3 && b < 6; };
  w->runFor(kMinute);
  EXPECT_EQ(w->falseDeaths, 0U);
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  // A member that receives but reaches no other must be declared dead by all.
  w->cut = [](Number a, Number) { return a == 3; };
  EXPECT_NE(w->until(8 * kSecond, [&] { return w->holding(3, dead) == 11; }), kNever);
  w->cut = [](Number, Number) { return false; };
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  check(*w);
}

TEST_P(FleetTest, ViewsConvergeAfterAFlappingLink) {
  const auto w = settled(12);
  w->cut = [&](Number a, Number b) { return (a == 2 || b == 2) && (w->now / (700 * kMillisecond)) % 2 == 0; };
  w->runFor(kMinute);
  w->cut = [](Number, Number) { return false; };
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  check(*w);
}

TEST_P(FleetTest, LossDuplicationAndReorderingCauseNoFalseDeaths) {
  const auto w = fleet(24);
  w->link = {.loss = 0.05, .duplication = 0.05, .min_delay = 200, .max_delay = 60 * kMillisecond};
  w->startAll();
  ASSERT_TRUE(settles(*w, 10 * kSecond));
  w->runFor(10 * kMinute);
  EXPECT_EQ(w->falseDeaths, 0U) << GetParam();
  EXPECT_TRUE(settles(*w, 10 * kSecond));
  check(*w);
}

TEST_P(FleetTest, CrashIsDetectedWithAFifthOfDatagramsLost) {
  const auto w = settled(24);
  w->link.loss = 0.2;
  w->runFor(2 * kMinute);
  w->kill(3);
  EXPECT_NE(w->until(20 * kSecond, [&] { return w->holding(3, dead) == 23; }), kNever);
  w->link.loss = 0;
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  check(*w);
}

TEST_P(FleetTest, RandomBytesAreDroppedAndCounted) {
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

// A datagram whose sender does not match its source address, or that is for another member, is dropped.
TEST_P(FleetTest, DatagramsWithWrongSenderOrReceiverAreDropped) {
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

TEST_P(FleetTest, DuplicateNumberIsDetectedByBothProcesses) {
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
  EXPECT_EQ(w->nodes[6].fleet->doubt(w->localNow(6)), Doubt::None) << "the doubt must end with the duplicate";
  check(*w);
}

TEST_P(FleetTest, RestartWithClockSetBackIsNoDuplicateNumber) {
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
      << "the new process's record must supersede the old one";
  check(*w);
}

TEST_P(FleetTest, ClockOffsetsAndDriftCauseNoFalseDeaths) {
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

// Half of the members are upgraded to the next message version first: each datagram uses a version that its
// receiver reads.
TEST_P(FleetTest, MixedMessageVersionsInteroperate) {
  const auto w = settled(12);
  w->adjust_settings = [](Settings& s) { s.newest = s.self < 6 ? kNewestVersion + 1 : kNewestVersion; };
  for (std::size_t n = 0; n < 6; ++n) {
    w->leave(n);
    w->runFor(200 * kMillisecond);
    w->start(n);
  }
  EXPECT_TRUE(settles(*w, 5 * kSecond));
  std::size_t next = 0;
  w->on_datagram = [&](const std::string& bytes) { next += bytes[2] == kNewestVersion + 1 ? 1 : 0; };
  w->runFor(30 * kSecond);
  EXPECT_GT(next, 0U) << "upgraded members use it among themselves";
  for (std::size_t n = 6; n < 12; ++n) EXPECT_EQ(w->nodes[n].fleet->drops().version, 0U);
  check(*w);
}

// An upgrade hands over the incarnation and the view: no other member notices a change.
TEST_P(FleetTest, HandoverToANewProcessIsInvisibleToOtherMembers) {
  const auto w = settled(10);
  const Incarnation before = w->nodes[4].fleet->incarnation();
  const MembershipSnapshot remembered = w->nodes[4].fleet->snapshot();
  for (auto& n : w->nodes) n.changes.clear();
  w->start(4, &remembered);
  EXPECT_EQ(w->nodes[4].fleet->roster().live(), 10U) << "the restored view must be complete from the start";
  EXPECT_EQ(w->nodes[4].fleet->doubt(w->localNow(4)), Doubt::ViewsDiffer) << "no datagram received yet";
  w->runFor(30 * kSecond);
  EXPECT_EQ(w->nodes[4].fleet->doubt(w->localNow(4)), Doubt::None);
  EXPECT_EQ(w->nodes[4].fleet->incarnation(), before);
  for (const auto& n : w->nodes) EXPECT_TRUE(n.changes.empty()) << n.number;
  EXPECT_FALSE(w->nodes[4].fleet->duplicateDetected(w->localNow(4)));
  check(*w);
}

TEST_P(FleetTest, MemberListIsReplacedDuringAPartition) {
  const auto w = fleet(14);
  const std::vector<Listed> longer = w->list;
  w->list.resize(12);
  for (std::size_t n = 0; n < 12; ++n) w->start(n);
  ASSERT_TRUE(settles(*w, 5 * kSecond));
  w->cut = [](Number a, Number b) { return (a < 6) != (b < 6); };
  w->runFor(10 * kSecond);
  // Members 12 and 13 are added and 11 is removed; one half gets the new list now, the other after the
  // partition.
  std::vector<Listed> next = longer;
  next.erase(next.begin() + 11);
  const auto hand = [&](std::size_t from, std::size_t to) {
    for (std::size_t n = from; n < to; ++n) {
      if (w->runs(n)) w->nodes[n].fleet->setMembers(w->localNow(n), next);
    }
  };
  w->check = false;  // removed members are forgotten on purpose
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
      << "the list does not contain the member itself";
  EXPECT_EQ(w->nodes[3].fleet->roster().live(), 13U);
}

TEST_P(FleetTest, UrgentRecordReachesAllMembersWithinASecondAndAHalf) {
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

// The bytes sent stay within the budget under all faults, and do not grow with the fleet.
TEST_P(FleetTest, SentBytesAreBoundedAndIndependentOfFleetSize) {
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

// ---- each mechanism is necessary: without it, a property tested above fails ----

TEST_P(FleetTest, MutationWithoutSuspicionLossCausesFalseDeaths) {
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

TEST_P(FleetTest, MutationWithoutRefutationFrozenMembersStayDead) {
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

TEST_P(FleetTest, MutationWithoutPingsOfDeadMembersPartitionsDoNotHeal) {
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

TEST(FleetAlone, SingleMemberIsSureAndInvalidListsAreRejected) {
  World w(1, 1);
  w.startAll();
  w.runFor(kSecond);
  EXPECT_TRUE(w.nodes[0].fleet->view(w.localNow(0)).sure());
  EXPECT_EQ(w.datagrams, 0U);
  EXPECT_THROW(Fleet(Settings{}, {{1}, {2}}, 1, 1), std::invalid_argument);
  EXPECT_THROW(Fleet(Settings{}, {{0}, {1}, {1}}, 1, 1), std::invalid_argument);
}

TEST(FleetAlone, MemberWithoutReachableOthersIsNeverSure) {
  World w(6, 1);
  w.start(2);
  w.runFor(kMinute);
  EXPECT_EQ(w.nodes[2].fleet->doubt(w.localNow(2)), Doubt::Alone);
}

// 600 members join within a second; bench/fleet does it with 2,000.
TEST(FleetLarge, SixHundredMembersJoinWithinASecond) {
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

// With more blocks than one digest holds, the blocks at both ends must be compared as often as the others.
// When windows started at any block, block 0 of 900 members was in one of eight digests, and a member was
// missing from a view for 20 s.
TEST(FleetLarge, NineHundredSimultaneousStartsConverge) {
  World w(900, 1);
  w.check = false;
  w.startAll();
  EXPECT_NE(w.until(10 * kSecond, [&] { return w.settled(); }), kNever);
}

}  // namespace
}  // namespace client_proxy::fleet
