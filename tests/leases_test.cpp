// Who owns a service, simulated: granted, lost, disputed and settled, and never two at once in true time.
#include <gtest/gtest.h>

#include "leases_sim.h"

namespace client_proxy::leases::test {
namespace {

const ServiceId kCharge = serviceId("swap-charge"), kHold = serviceId("reservation");

LeasesFleet::Shape shape() {
  LeasesFleet::Shape s;
  s.services = {LeasesFleet::service("swap-charge", 0, 1), LeasesFleet::service("reservation", 1, 2)};
  return s;
}

class Leases : public ::testing::Test {
 protected:
  explicit Leases(const LeasesFleet::Shape& s = shape(), std::uint64_t seed = 3) : fleet(s, seed) {}
  void TearDown() override {
    for (const std::string& b : fleet.broken()) ADD_FAILURE() << b << "\n" << fleet.log();
  }
  void settle() {
    ASSERT_TRUE(
        fleet.runUntil([&] { return fleet.served(kCharge, 0) && fleet.served(kHold, 1); }, 15 * kSecond))
        << fleet.log();
  }
  std::function<bool(std::size_t, std::size_t)> without(std::set<std::size_t> apart) {
    return [apart](auto a, auto b) { return apart.contains(a) != apart.contains(b); };
  }
  bool sends(std::size_t from, ServiceId s, std::size_t to) const {
    const Permit p = fleet.permit(from, s);
    return p.ok() && p.site == LeasesFleet::site(to);
  }
  const std::set<std::size_t> kA = {0, 3, 6, 9};
  LeasesFleet fleet;
};

TEST_F(Leases, ANewFleetGrantsEachServiceToItsHome) {
  settle();
  EXPECT_EQ(fleet.member(5).known(kCharge).term, 1U);
  EXPECT_EQ(fleet.found(ConflictKind::Stale) + fleet.found(ConflictKind::ExpiredLease) +
                fleet.found(ConflictKind::Unwitnessed),
            0U);
}

TEST_F(Leases, AnOwnerCutOffStopsByItselfAndTheStandByServesAfterWhatIsOwed) {
  settle();
  fleet.cut = without(kA);
  ASSERT_TRUE(fleet.runUntil([&] { return !fleet.permit(0, kCharge).ok(); }, 4 * kSecond));
  ASSERT_TRUE(fleet.runUntil([&] { return sends(1, kCharge, 1); }, 15 * kSecond)) << fleet.log();
  EXPECT_EQ(fleet.permit(1, kCharge).site, LeasesFleet::site(1));
  EXPECT_FALSE(fleet.permit(0, kCharge).ok());
  fleet.cut = [](auto, auto) { return false; };
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.served(kCharge, 1); }, 10 * kSecond)) << fleet.log();
  EXPECT_GT(fleet.found(ConflictKind::ExpiredLease), 0U) << "the old owner said it once more, and was told";
}

TEST_F(Leases, HostsThatAreLostTakeTheDeedWithThem) {
  settle();
  fleet.lost = {LeasesFleet::site(0)};
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.served(kCharge, 1); }, 15 * kSecond)) << fleet.log();
  fleet.lost.clear();
  fleet.runFor(10 * kSecond);
  EXPECT_TRUE(fleet.served(kCharge, 1)) << "it is not handed back by itself";
}

TEST_F(Leases, AFrozenOwnerThatThawsSendsNothingAnyMore) {
  settle();
  for (const std::size_t n : kA) fleet.freeze(n, true);
  ASSERT_TRUE(fleet.runUntil([&] { return sends(1, kCharge, 1); }, 15 * kSecond)) << fleet.log();
  for (const std::size_t n : kA) fleet.freeze(n, false);
  for (const std::size_t n : kA) EXPECT_FALSE(fleet.permit(n, kCharge).ok()) << n;
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.served(kCharge, 1); }, 10 * kSecond)) << fleet.log();
}

TEST_F(Leases, APowerCutOfAllEndsWithTheSameOwnersAndTerms) {
  settle();
  for (std::size_t n = 0; n < 12; ++n) fleet.crash(n);
  fleet.runFor(2 * kSecond);
  for (std::size_t n = 0; n < 12; ++n) {
    fleet.begin(n);
    fleet.runFor(300 * kMillisecond);
  }
  settle();
  EXPECT_EQ(fleet.member(5).known(kCharge).term, 1U);
}

TEST_F(Leases, WithTooFewBackNobodyServesUntilAnOperatorSays) {
  settle();
  for (std::size_t n = 0; n < 12; ++n) fleet.crash(n);
  for (const std::size_t n : {0U, 1U, 3U, 4U}) fleet.begin(n);
  fleet.runFor(20 * kSecond);
  EXPECT_FALSE(fleet.servedBySome(kCharge));
  EXPECT_FALSE(fleet.member(1).synchronized(0));
  const std::string said = fleet.decree(1, kCharge, 1);
  EXPECT_NE(said.find("8 of 12 members"), std::string::npos) << said;
}

TEST_F(Leases, ALostDiskPromisesNothingBeforeItHasHeardAMajority) {
  settle();
  fleet.crash(4);
  fleet.disk(4).clear();
  fleet.setInstallation(4, 9999);
  fleet.cut = without({4});
  fleet.begin(4);
  fleet.runFor(10 * kSecond);
  EXPECT_EQ(fleet.member(4).known(kCharge).term, 0U);
  EXPECT_FALSE(fleet.member(4).synchronized(1LL << 60));
  fleet.cut = [](auto, auto) { return false; };
  settle();
  EXPECT_EQ(fleet.member(4).known(kCharge).term, 1U);
}

TEST_F(Leases, AnOlderCopyOfAMemoryIsStaleAndItsSiteStandsDown) {
  settle();
  std::map<std::size_t, std::map<ServiceId, StoredGrant>> last_week;
  for (const std::size_t n : kA) last_week[n] = fleet.disk(n);
  fleet.lost = {LeasesFleet::site(0)};
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.served(kCharge, 1); }, 15 * kSecond)) << fleet.log();
  for (const std::size_t n : kA) {
    fleet.crash(n);
    fleet.disk(n) = last_week[n];
  }
  fleet.lost.clear();
  fleet.runFor(2 * kSecond);
  for (const std::size_t n : kA) fleet.begin(n);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.found(ConflictKind::Stale) > 0; }, 5 * kSecond))
      << fleet.log();
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.served(kCharge, 1); }, 10 * kSecond)) << fleet.log();
}

TEST_F(Leases, ACopiedMemoryIsGivenUpByTheHigherNumber) {
  settle();
  fleet.crash(7);
  fleet.disk(7) = fleet.disk(4);
  fleet.setInstallation(7, 1004);
  fleet.begin(7);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.found(ConflictKind::CopiedStorage) > 0; }, 5 * kSecond))
      << fleet.log();
  EXPECT_TRUE(fleet.runUntil([&] { return fleet.member(7).synchronized(1LL << 60); }, 5 * kSecond))
      << "it hears the others instead";
  settle();
}

TEST_F(Leases, ATermThatNobodyRemembersIsUnwitnessedAndClaimedAnew) {
  settle();
  fleet.crash(0);
  fleet.disk(0)[kCharge] = {kCharge, {5, LeasesFleet::site(0), ClaimReason::Takeover}, true};
  fleet.runFor(500 * kMillisecond);
  fleet.begin(0);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.found(ConflictKind::Unwitnessed) > 0; }, 10 * kSecond))
      << fleet.log();
  ASSERT_TRUE(fleet.runUntil(
      [&] { return fleet.served(kCharge, 0) && fleet.member(5).known(kCharge).term == 6; }, 20 * kSecond))
      << fleet.log();
}

TEST_F(Leases, AnotherSitesUnwitnessedTermTakesNothingAway) {
  settle();
  fleet.crash(1);
  fleet.disk(1)[kCharge] = {kCharge, {5, LeasesFleet::site(1), ClaimReason::Takeover}, true};
  fleet.begin(1);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.found(ConflictKind::Unwitnessed) > 0; }, 10 * kSecond))
      << fleet.log();
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.served(kCharge, 0); }, 10 * kSecond)) << fleet.log();
  EXPECT_EQ(fleet.member(5).known(kCharge).term, 1U);
}

TEST_F(Leases, WithMostMemoriesLostNothingIsRuledWithoutADecree) {
  settle();
  for (std::size_t n = 0; n < 12; ++n) fleet.crash(n);
  for (std::size_t n = 0; n < 12; ++n) {
    if (n != 0) fleet.disk(n).clear(), fleet.setInstallation(n, static_cast<std::uint32_t>(500 + n));
    fleet.begin(n);
  }
  fleet.runFor(20 * kSecond);
  EXPECT_FALSE(fleet.servedBySome(kCharge)) << "the few that remember may remember too little";
}

TEST_F(Leases, HostsThatKnowANewerTermAreBelieved) {
  settle();
  fleet.hostTerm(0, kCharge, 7);
  EXPECT_FALSE(fleet.permit(0, kCharge).ok()) << "at once";
  EXPECT_EQ(fleet.found(ConflictKind::HostsSawNewerTerm), 1U);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.served(kCharge, 0); }, 15 * kSecond)) << fleet.log();
  EXPECT_GT(fleet.member(5).known(kCharge).term, 7U);
}

TEST_F(Leases, TwoDecreesOnTwoSidesOfASplitAreBothGivenUpForTheHome) {
  settle();
  fleet.cut = without({1, 4, 7, 10});
  fleet.runFor(200 * kMillisecond);
  fleet.decree(1, kCharge, 1);
  fleet.decree(2, kCharge, 2);
  fleet.runFor(kSecond);
  fleet.cut = [](auto, auto) { return false; };
  ASSERT_TRUE(
      fleet.runUntil([&] { return fleet.found(ConflictKind::ConflictingOverrides) > 0; }, 10 * kSecond))
      << fleet.log();
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.served(kCharge, 0); }, 30 * kSecond)) << fleet.log();
}

TEST_F(Leases, ADecreeMovesAServiceThatIsHeldAndWaitsForWhatIsOwed) {
  settle();
  const Time asked = fleet.now;
  fleet.decree(5, kCharge, 2);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.served(kCharge, 2); }, 20 * kSecond)) << fleet.log();
  EXPECT_GE(fleet.now - asked, 2 * kSecond);
}

// Files that differ: the few that name another home get no majority for it.
TEST(LeasesFiles, WithUnlikeHomesTheMajoritysFileHolds) {
  LeasesFleet fleet(shape(), 5);
  for (const std::size_t n : {2U, 5U, 8U}) {
    fleet.crash(n);
    fleet.setFile(n, 2,
                  {LeasesFleet::service("swap-charge", 2, 1), LeasesFleet::service("reservation", 1, 2)});
    fleet.begin(n);
  }
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.served(kCharge, 0); }, 20 * kSecond)) << fleet.log();
  EXPECT_GT(fleet.found(ConflictKind::ConfigMismatch), 0U) << fleet.log();
  EXPECT_TRUE(fleet.broken().empty()) << fleet.broken()[0];
}

TEST(LeasesWithoutMemory, ANewFleetStillServesAndOneThatRestartsHearsTheOthers) {
  LeasesFleet::Shape s = shape();
  s.memory = false;
  LeasesFleet fleet(s, 4);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.served(kCharge, 0); }, 15 * kSecond)) << fleet.log();
  fleet.crash(6);
  fleet.runFor(kSecond);
  fleet.begin(6);
  ASSERT_TRUE(fleet.runUntil(
      [&] { return fleet.served(kCharge, 0) && fleet.member(6).synchronized(1LL << 60); }, 10 * kSecond));
  EXPECT_TRUE(fleet.broken().empty()) << fleet.broken()[0];
}

// Any faults: nobody breaks what must hold, and once they end each service has one owner again.
class LeasesStorm : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(LeasesStorm, NothingBreaksAndAllEndsWithOneOwner) {
  load_balancer::Random random(GetParam() * 77);
  LeasesFleet::Shape s = shape();
  s.loss = 0.2;
  s.delay = 150 * kMillisecond;
  s.sync = static_cast<Time>(random.unit() * 500) * kMillisecond;
  LeasesFleet fleet(s, GetParam());
  fleet.runFor(8 * kSecond);
  for (int fault = 0; fault < 12; ++fault) {
    const std::size_t n = random.below(12);
    switch (random.below(6)) {
      case 0:
        fleet.member(n).known(kCharge);
        fleet.crash(n);
        fleet.runFor(static_cast<Time>(random.unit() * 3e6));
        fleet.begin(n);
        break;
      case 1:
        fleet.freeze(n, true);
        fleet.runFor(static_cast<Time>(random.unit() * 8e6));
        fleet.freeze(n, false);
        break;
      case 2: {
        const std::size_t zone = random.below(3);
        fleet.cut = [zone](auto a, auto b) { return (a % 3 == zone) != (b % 3 == zone); };
        fleet.runFor(static_cast<Time>(random.unit() * 12e6));
        fleet.cut = [](auto, auto) { return false; };
        break;
      }
      case 3:
        fleet.lost = {LeasesFleet::site(random.below(3))};
        fleet.runFor(static_cast<Time>(random.unit() * 10e6));
        fleet.lost.clear();
        break;
      case 4:
        for (std::size_t m = 0; m < 12; ++m) fleet.crash(m);
        fleet.runFor(kSecond);
        for (std::size_t m = 0; m < 12; ++m) fleet.begin(m);
        break;
      default:
        fleet.cut = [n](auto a, auto b) { return a == n && b % 2 == 0; };  // one way
        fleet.runFor(static_cast<Time>(random.unit() * 5e6));
        fleet.cut = [](auto, auto) { return false; };
    }
    fleet.runFor(static_cast<Time>(random.unit() * 2e6));
  }
  const auto one = [&](ServiceId id) {
    return fleet.served(id, 0) || fleet.served(id, 1) || fleet.served(id, 2);
  };
  EXPECT_TRUE(fleet.runUntil([&] { return one(kCharge) && one(kHold); }, 40 * kSecond))
      << fleet.log() << fleet.state(kCharge) << fleet.state(kHold);
  for (const std::string& b : fleet.broken()) ADD_FAILURE() << b << "\n" << fleet.log();
}

INSTANTIATE_TEST_SUITE_P(Seeds, LeasesStorm, ::testing::Range<std::uint64_t>(1, 61));

TEST(LeasesWire, ComesBackAsItWasAndWhatIsMalformedIsNot) {
  Message m;
  m.kind = MessageKind::Vote;
  m.round = 77, m.installation = 5, m.config_hash = 6, m.digest = 2, m.site = 9, m.synchronized = true;
  for (ServiceId i = 0; i < 30; ++i)
    m.entries.push_back({i, {i + 1, 4, ClaimReason::Override}, i % 2 == 0, i % 3 == 0, 1000, 65'535});
  const auto parts = splitIntoParts(m);
  ASSERT_EQ(parts.size(), 3U);
  const std::string bytes = encode(parts[2]);
  EXPECT_LE(encode(parts[0]).size(), 200U);
  const auto read = decode(bytes);
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(read->entries.size(), 6U);
  EXPECT_EQ(read->entries[1].service, 25U);
  EXPECT_EQ(read->entries[1].grant, (Grant{26, 4, ClaimReason::Override}));
  EXPECT_EQ(read->round, 77U);
  EXPECT_TRUE(read->synchronized);
  for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
    const auto less = decode(bytes.substr(0, cut));
    EXPECT_TRUE(!less || less->entries.size() < 6) << cut;
  }
  load_balancer::Random random(2);
  for (int i = 0; i < 5000; ++i) {
    std::string any(random.below(220), '\0');
    for (char& c : any) c = static_cast<char>(random.next());
    const auto some = decode(any);
    EXPECT_TRUE(!some || some->entries.size() <= kMaxEntries);
  }
  EXPECT_NE(siteId("a"), kNoSite);
  EXPECT_EQ(siteId(""), kNoSite);
}

}  // namespace
}  // namespace client_proxy::leases::test
