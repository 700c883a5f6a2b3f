// Simulations of service ownership: services are granted, taken over, disputed and resolved, and at no time
// may requests of one service be sent to two sites.
#include <gtest/gtest.h>

#include "leases_sim.h"

namespace client_proxy::leases::test {
namespace {

const ServiceId kChargeService = serviceId("swap-charge"), kReservationService = serviceId("reservation");

LeasesFleet::Options defaultOptions() {
  LeasesFleet::Options s;
  s.services = {LeasesFleet::service("swap-charge", 0, 1), LeasesFleet::service("reservation", 1, 2)};
  return s;
}

class Leases : public ::testing::Test {
 protected:
  explicit Leases(const LeasesFleet::Options& s = defaultOptions(), std::uint64_t seed = 3)
      : fleet(s, seed) {}
  void TearDown() override {
    for (const std::string& violation : fleet.violations()) ADD_FAILURE() << violation << "\n" << fleet.log();
  }
  void waitForHomeOwners() {
    ASSERT_TRUE(fleet.runUntil(
        [&] { return fleet.allSendTo(kChargeService, 0) && fleet.allSendTo(kReservationService, 1); },
        15 * kSecond))
        << fleet.log();
  }
  std::function<bool(std::size_t, std::size_t)> isolate(std::set<std::size_t> isolated) {
    return [isolated](auto a, auto b) { return isolated.contains(a) != isolated.contains(b); };
  }
  bool sendsTo(std::size_t from, ServiceId s, std::size_t to) const {
    const Permit p = fleet.permit(from, s);
    return p.ok() && p.site == LeasesFleet::site(to);
  }
  const std::set<std::size_t> kMembersOfA = {0, 3, 6, 9};
  LeasesFleet fleet;
};

TEST_F(Leases, NewFleetGrantsEachServiceToItsHome) {
  waitForHomeOwners();
  EXPECT_EQ(fleet.member(5).known(kChargeService).term, 1U);
  EXPECT_EQ(fleet.conflictCount(ConflictKind::Stale) + fleet.conflictCount(ConflictKind::ExpiredLease) +
                fleet.conflictCount(ConflictKind::Unwitnessed),
            0U);
}

TEST_F(Leases, IsolatedOwnerStopsAndStandByServesAfterTheDrainTime) {
  waitForHomeOwners();
  fleet.link_cut = isolate(kMembersOfA);
  ASSERT_TRUE(fleet.runUntil([&] { return !fleet.permit(0, kChargeService).ok(); }, 4 * kSecond));
  ASSERT_TRUE(fleet.runUntil([&] { return sendsTo(1, kChargeService, 1); }, 15 * kSecond)) << fleet.log();
  EXPECT_EQ(fleet.permit(1, kChargeService).site, LeasesFleet::site(1));
  EXPECT_FALSE(fleet.permit(0, kChargeService).ok());
  fleet.link_cut = [](auto, auto) { return false; };
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.allSendTo(kChargeService, 1); }, 10 * kSecond))
      << fleet.log();
  EXPECT_GT(fleet.conflictCount(ConflictKind::ExpiredLease), 0U)
      << "the old owner repeats its claim after the partition and must be refused";
}

TEST_F(Leases, StandByTakesOverWhenTheOwnersHostsAreLostAndKeepsTheService) {
  waitForHomeOwners();
  fleet.lost_sites = {LeasesFleet::site(0)};
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.allSendTo(kChargeService, 1); }, 15 * kSecond))
      << fleet.log();
  fleet.lost_sites.clear();
  fleet.runFor(10 * kSecond);
  EXPECT_TRUE(fleet.allSendTo(kChargeService, 1))
      << "the service must not move back without an operator's order";
}

TEST_F(Leases, FrozenOwnerThatResumesMayNotSend) {
  waitForHomeOwners();
  for (const std::size_t n : kMembersOfA) fleet.freeze(n, true);
  ASSERT_TRUE(fleet.runUntil([&] { return sendsTo(1, kChargeService, 1); }, 15 * kSecond)) << fleet.log();
  for (const std::size_t n : kMembersOfA) fleet.freeze(n, false);
  for (const std::size_t n : kMembersOfA) EXPECT_FALSE(fleet.permit(n, kChargeService).ok()) << n;
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.allSendTo(kChargeService, 1); }, 10 * kSecond))
      << fleet.log();
}

TEST_F(Leases, PowerCutOfAllMembersKeepsOwnersAndTerms) {
  waitForHomeOwners();
  for (std::size_t n = 0; n < 12; ++n) fleet.crash(n);
  fleet.runFor(2 * kSecond);
  for (std::size_t n = 0; n < 12; ++n) {
    fleet.start(n);
    fleet.runFor(300 * kMillisecond);
  }
  waitForHomeOwners();
  EXPECT_EQ(fleet.member(5).known(kChargeService).term, 1U);
}

TEST_F(Leases, MinorityAfterPowerCutMayNotServeUnlessAnOperatorOverrides) {
  waitForHomeOwners();
  for (std::size_t n = 0; n < 12; ++n) fleet.crash(n);
  for (const std::size_t n : {0U, 1U, 3U, 4U}) fleet.start(n);
  fleet.runFor(20 * kSecond);
  EXPECT_FALSE(fleet.anySends(kChargeService));
  EXPECT_FALSE(fleet.member(1).synchronized(0));
  const std::string overridden = fleet.overrideOwner(1, kChargeService, 1);
  EXPECT_NE(overridden.find("8 of 12 members"), std::string::npos) << overridden;
}

TEST_F(Leases, MemberWithLostDiskPromisesNothingBeforeItIsSynchronized) {
  waitForHomeOwners();
  fleet.crash(4);
  fleet.disk(4).clear();
  fleet.setInstallation(4, 9999);
  fleet.link_cut = isolate({4});
  fleet.start(4);
  fleet.runFor(10 * kSecond);
  EXPECT_EQ(fleet.member(4).known(kChargeService).term, 0U);
  EXPECT_FALSE(fleet.member(4).synchronized(1LL << 60));
  fleet.link_cut = [](auto, auto) { return false; };
  waitForHomeOwners();
  EXPECT_EQ(fleet.member(4).known(kChargeService).term, 1U);
}

TEST_F(Leases, ClaimFromAnOlderCopyOfStorageIsStaleAndItsSiteDoesNotServe) {
  waitForHomeOwners();
  std::map<std::size_t, std::map<ServiceId, StoredGrant>> old_disks;
  for (const std::size_t n : kMembersOfA) old_disks[n] = fleet.disk(n);
  fleet.lost_sites = {LeasesFleet::site(0)};
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.allSendTo(kChargeService, 1); }, 15 * kSecond))
      << fleet.log();
  for (const std::size_t n : kMembersOfA) {
    fleet.crash(n);
    fleet.disk(n) = old_disks[n];
  }
  fleet.lost_sites.clear();
  fleet.runFor(2 * kSecond);
  for (const std::size_t n : kMembersOfA) fleet.start(n);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.conflictCount(ConflictKind::Stale) > 0; }, 5 * kSecond))
      << fleet.log();
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.allSendTo(kChargeService, 1); }, 10 * kSecond))
      << fleet.log();
}

TEST_F(Leases, MemberWithTheHigherNumberDiscardsCopiedStorage) {
  waitForHomeOwners();
  fleet.crash(7);
  fleet.disk(7) = fleet.disk(4);
  fleet.setInstallation(7, 1004);
  fleet.start(7);
  ASSERT_TRUE(
      fleet.runUntil([&] { return fleet.conflictCount(ConflictKind::CopiedStorage) > 0; }, 5 * kSecond))
      << fleet.log();
  EXPECT_TRUE(fleet.runUntil([&] { return fleet.member(7).synchronized(1LL << 60); }, 5 * kSecond))
      << "it must synchronize with the other members instead";
  waitForHomeOwners();
}

TEST_F(Leases, OwnersTermUnknownToAllOthersIsUnwitnessedAndClaimedAgainUnderTheNextTerm) {
  waitForHomeOwners();
  fleet.crash(0);
  fleet.disk(0)[kChargeService] = {kChargeService, {5, LeasesFleet::site(0), ClaimReason::Takeover}, true};
  fleet.runFor(500 * kMillisecond);
  fleet.start(0);
  ASSERT_TRUE(
      fleet.runUntil([&] { return fleet.conflictCount(ConflictKind::Unwitnessed) > 0; }, 10 * kSecond))
      << fleet.log();
  ASSERT_TRUE(fleet.runUntil(
      [&] { return fleet.allSendTo(kChargeService, 0) && fleet.member(5).known(kChargeService).term == 6; },
      20 * kSecond))
      << fleet.log();
}

TEST_F(Leases, UnwitnessedTermOfAnotherSiteDoesNotTakeTheServiceFromItsOwner) {
  waitForHomeOwners();
  fleet.crash(1);
  fleet.disk(1)[kChargeService] = {kChargeService, {5, LeasesFleet::site(1), ClaimReason::Takeover}, true};
  fleet.start(1);
  ASSERT_TRUE(
      fleet.runUntil([&] { return fleet.conflictCount(ConflictKind::Unwitnessed) > 0; }, 10 * kSecond))
      << fleet.log();
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.allSendTo(kChargeService, 0); }, 10 * kSecond))
      << fleet.log();
  EXPECT_EQ(fleet.member(5).known(kChargeService).term, 1U);
}

TEST_F(Leases, NoServiceIsServedWithoutAnOverrideWhenMostMembersLostTheirStorage) {
  waitForHomeOwners();
  for (std::size_t n = 0; n < 12; ++n) fleet.crash(n);
  for (std::size_t n = 0; n < 12; ++n) {
    if (n != 0) fleet.disk(n).clear(), fleet.setInstallation(n, static_cast<std::uint32_t>(500 + n));
    fleet.start(n);
  }
  fleet.runFor(20 * kSecond);
  EXPECT_FALSE(fleet.anySends(kChargeService)) << "the members that kept their storage may lack newer grants";
}

TEST_F(Leases, NewerTermSeenByHostsInvalidatesTheLeaseAndRaisesTheNextTerm) {
  waitForHomeOwners();
  fleet.reportHostTerm(0, kChargeService, 7);
  EXPECT_FALSE(fleet.permit(0, kChargeService).ok()) << "the lease must be invalidated at once";
  EXPECT_EQ(fleet.conflictCount(ConflictKind::HostsSawNewerTerm), 1U);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.allSendTo(kChargeService, 0); }, 15 * kSecond))
      << fleet.log();
  EXPECT_GT(fleet.member(5).known(kChargeService).term, 7U);
}

TEST_F(Leases, ConflictingOverridesOnTwoSidesOfAPartitionAreResolvedToTheHomeSite) {
  waitForHomeOwners();
  fleet.link_cut = isolate({1, 4, 7, 10});
  fleet.runFor(200 * kMillisecond);
  fleet.overrideOwner(1, kChargeService, 1);
  fleet.overrideOwner(2, kChargeService, 2);
  fleet.runFor(kSecond);
  fleet.link_cut = [](auto, auto) { return false; };
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.conflictCount(ConflictKind::ConflictingOverrides) > 0; },
                             10 * kSecond))
      << fleet.log();
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.allSendTo(kChargeService, 0); }, 30 * kSecond))
      << fleet.log();
}

TEST_F(Leases, OverrideMovesAnOwnedServiceAfterTheDrainTime) {
  waitForHomeOwners();
  const Time override_at = fleet.now;
  fleet.overrideOwner(5, kChargeService, 2);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.allSendTo(kChargeService, 2); }, 20 * kSecond))
      << fleet.log();
  EXPECT_GE(fleet.now - override_at, 2 * kSecond);
}

// A minority of members has an operator file with another home, for which there is no majority of promises.
TEST(LeasesFiles, HomeInTheMajoritysOperatorFilePrevails) {
  LeasesFleet fleet(defaultOptions(), 5);
  for (const std::size_t n : {2U, 5U, 8U}) {
    fleet.crash(n);
    fleet.setOperatorFile(
        n, 2, {LeasesFleet::service("swap-charge", 2, 1), LeasesFleet::service("reservation", 1, 2)});
    fleet.start(n);
  }
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.allSendTo(kChargeService, 0); }, 20 * kSecond))
      << fleet.log();
  EXPECT_GT(fleet.conflictCount(ConflictKind::ConfigMismatch), 0U) << fleet.log();
  EXPECT_TRUE(fleet.violations().empty()) << fleet.violations()[0];
}

TEST(LeasesWithoutMemory, NewFleetServesAndRestartedMemberSynchronizesWithTheOthers) {
  LeasesFleet::Options s = defaultOptions();
  s.has_storage = false;
  LeasesFleet fleet(s, 4);
  ASSERT_TRUE(fleet.runUntil([&] { return fleet.allSendTo(kChargeService, 0); }, 15 * kSecond))
      << fleet.log();
  fleet.crash(6);
  fleet.runFor(kSecond);
  fleet.start(6);
  ASSERT_TRUE(fleet.runUntil(
      [&] { return fleet.allSendTo(kChargeService, 0) && fleet.member(6).synchronized(1LL << 60); },
      10 * kSecond));
  EXPECT_TRUE(fleet.violations().empty()) << fleet.violations()[0];
}

// Random faults: crashes, freezes, partitions, lost hosts, power cuts and one-way links. The safety
// invariants hold throughout, and after the last fault each service gets one owner again.
class LeasesStorm : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(LeasesStorm, RandomFaultsViolateNoInvariantAndEndWithOneOwner) {
  load_balancer::Random random(GetParam() * 77);
  LeasesFleet::Options s = defaultOptions();
  s.loss = 0.2;
  s.max_delay = 150 * kMillisecond;
  s.sync_time = static_cast<Time>(random.unit() * 500) * kMillisecond;
  LeasesFleet fleet(s, GetParam());
  fleet.runFor(8 * kSecond);
  for (int fault = 0; fault < 12; ++fault) {
    const std::size_t n = random.below(12);
    switch (random.below(6)) {
      case 0:
        fleet.member(n).known(kChargeService);
        fleet.crash(n);
        fleet.runFor(static_cast<Time>(random.unit() * 3e6));
        fleet.start(n);
        break;
      case 1:
        fleet.freeze(n, true);
        fleet.runFor(static_cast<Time>(random.unit() * 8e6));
        fleet.freeze(n, false);
        break;
      case 2: {
        const std::size_t zone = random.below(3);
        fleet.link_cut = [zone](auto a, auto b) { return (a % 3 == zone) != (b % 3 == zone); };
        fleet.runFor(static_cast<Time>(random.unit() * 12e6));
        fleet.link_cut = [](auto, auto) { return false; };
        break;
      }
      case 3:
        fleet.lost_sites = {LeasesFleet::site(random.below(3))};
        fleet.runFor(static_cast<Time>(random.unit() * 10e6));
        fleet.lost_sites.clear();
        break;
      case 4:
        for (std::size_t m = 0; m < 12; ++m) fleet.crash(m);
        fleet.runFor(kSecond);
        for (std::size_t m = 0; m < 12; ++m) fleet.start(m);
        break;
      default:
        fleet.link_cut = [n](auto a, auto b) { return a == n && b % 2 == 0; };  // one direction only
        fleet.runFor(static_cast<Time>(random.unit() * 5e6));
        fleet.link_cut = [](auto, auto) { return false; };
    }
    fleet.runFor(static_cast<Time>(random.unit() * 2e6));
  }
  const auto has_one_owner = [&](ServiceId id) {
    return fleet.allSendTo(id, 0) || fleet.allSendTo(id, 1) || fleet.allSendTo(id, 2);
  };
  EXPECT_TRUE(fleet.runUntil(
      [&] { return has_one_owner(kChargeService) && has_one_owner(kReservationService); }, 40 * kSecond))
      << fleet.log() << fleet.state(kChargeService) << fleet.state(kReservationService);
  for (const std::string& violation : fleet.violations()) ADD_FAILURE() << violation << "\n" << fleet.log();
}

INSTANTIATE_TEST_SUITE_P(Seeds, LeasesStorm, ::testing::Range<std::uint64_t>(1, 61));

TEST(LeasesWire, MessagesRoundTripAndMalformedBytesAreRejected) {
  Message m;
  m.kind = MessageKind::Vote;
  m.round = 77, m.installation = 5, m.config_hash = 6, m.digest = 2, m.site = 9, m.synchronized = true;
  for (ServiceId i = 0; i < 30; ++i)
    m.entries.push_back({i, {i + 1, 4, ClaimReason::Override}, i % 2 == 0, i % 3 == 0, 1000, 65'535});
  const auto parts = splitIntoParts(m);
  ASSERT_EQ(parts.size(), 3U);
  const std::string bytes = encode(parts[2]);
  EXPECT_LE(encode(parts[0]).size(), 200U);
  const auto decoded = decode(bytes);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(decoded->entries.size(), 6U);
  EXPECT_EQ(decoded->entries[1].service, 25U);
  EXPECT_EQ(decoded->entries[1].grant, (Grant{26, 4, ClaimReason::Override}));
  EXPECT_EQ(decoded->round, 77U);
  EXPECT_TRUE(decoded->synchronized);
  for (std::size_t length = 1; length < bytes.size(); ++length) {
    const auto shorter = decode(bytes.substr(0, length));
    EXPECT_TRUE(!shorter || shorter->entries.size() < 6) << length;
  }
  load_balancer::Random random(2);
  for (int i = 0; i < 5000; ++i) {
    std::string random_bytes(random.below(220), '\0');
    for (char& c : random_bytes) c = static_cast<char>(random.next());
    const auto random_message = decode(random_bytes);
    EXPECT_TRUE(!random_message || random_message->entries.size() <= kMaxEntries);
  }
  EXPECT_NE(siteId("a"), kNoSite);
  EXPECT_EQ(siteId(""), kNoSite);
}

}  // namespace
}  // namespace client_proxy::leases::test
