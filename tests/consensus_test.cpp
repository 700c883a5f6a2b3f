// Consensus of the replicas: no version ever gets two texts. Random fault runs, single hard cases, and for
// each invariant a mutation of the protocol that the checker has to detect.
#include <gtest/gtest.h>

#include <numeric>

#include "consensus_sim.h"

namespace client_proxy::consensus::test {
namespace {

constexpr std::size_t kReplicas = 4;

// Partitions the replicas into `group` and the rest.
std::function<bool(ReplicaId, ReplicaId)> partitionOf(std::set<ReplicaId> group) {
  return [group = std::move(group)](ReplicaId a, ReplicaId b) { return group.count(a) != group.count(b); };
}
const auto kHealed = [](ReplicaId, ReplicaId) { return false; };

std::string joinLines(const std::set<std::string>& lines) {
  return std::accumulate(lines.begin(), lines.end(), std::string(),
                         [](const std::string& a, const std::string& b) { return a + b + "\n"; });
}

// A run with random faults of all kinds for two simulated minutes. A replica gets another disk only while all
// replicas vote.
class RandomFaultRun {
 public:
  explicit RandomFaultRun(std::uint64_t seed, Mutations mutations = {})
      : group(kReplicas, seed, mutations), random_(seed) {}

  void run(Time time = Time(120'000)) {
    group.faults = {.loss = 0.1, .duplicated = 0.1, .delayed = 0.05};
    for (const Time end = group.now + time; group.now < end;) {
      group.runFor(Time(1 + random_.below(400)));
      event();
      if (!group.checker.violations.empty()) return;
    }
  }
  // Ends all faults; the replicas then have to catch up and choose a further change.
  void heal() {
    group.faults = {};
    group.isCut = kHealed;
    group.full_disks.clear();
    for (ReplicaId id = 1; id <= kReplicas; ++id) {
      if (!group.up(id)) group.start(id);
    }
    EXPECT_TRUE(group.settle()) << state();
    EXPECT_TRUE(group.publishUntilChosen(1)) << state();
    EXPECT_TRUE(group.settle()) << state();
    group.checkFinalState();
  }

  std::string state() {
    std::string text = "newest " + std::to_string(group.checker.newest());
    for (ReplicaId id = 1; id <= kReplicas; ++id) {
      const Node& node = group.node(id);
      text += "; " + std::to_string(id) + ": version " + std::to_string(node.history().version()) +
              ", votes from " + std::to_string(node.firstVote()) + (node.joined() ? "" : ", not joined") +
              ", " + node.fault();
    }
    return text;
  }

  ReplicaGroup group;

 private:
  ReplicaId any() { return static_cast<ReplicaId>(1 + random_.below(kReplicas)); }

  void event() {
    const ReplicaId id = any();
    switch (random_.below(16)) {
      default:
        group.publish(id);
        if (random_.below(2) == 0) group.publish(any());  // competing proposals
        return;
      case 1:
      case 2:
        if (!group.attempts.empty())
          group.publish(id, random_.below(static_cast<std::uint32_t>(group.attempts.size())));
        return;
      case 3:
        if (group.up(id)) group.crash(id);
        return;
      case 4:
      case 5:
        for (ReplicaId down = 1; down <= kReplicas; ++down) {
          if (!group.up(down)) group.start(down);
        }
        return;
      case 6:
        group.isCut = random_.below(2) == 0 ? partitionOf({1, 2}) : partitionOf({id});
        return;
      case 7:
      case 8:
        group.isCut = kHealed;
        return;
      case 9:
        group.full_disks = random_.below(3) == 0 ? std::set<ReplicaId>{id} : std::set<ReplicaId>{};
        return;
      case 10:
        backups_[id] = group.diskOf(id);
        return;
      case 11:
        if (allReplicasVote()) replaceDiskAtRandom(id);
        return;
    }
  }
  bool allReplicasVote() {
    for (ReplicaId id = 1; id <= kReplicas; ++id) {
      if (!group.up(id) || !group.node(id).joined()) return false;
      if (group.node(id).firstVote() > group.node(id).history().version() + 1) return false;
    }
    return true;
  }
  void replaceDiskAtRandom(ReplicaId id) {
    const bool old = random_.below(2) == 0 && backups_.count(id) > 0;
    group.replaceDisk(id, old ? backups_[id] : Disk());
    if (random_.below(2) == 0) group.start(id);
  }

  load_balancer::Random random_;
  std::map<ReplicaId, Disk> backups_;
};

class ConsensusStorm : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(ConsensusStorm, EachVersionHasOneTextAndNoAcknowledgedChangeIsLost) {
  RandomFaultRun fault_run(GetParam());
  fault_run.run();
  fault_run.heal();
  EXPECT_TRUE(fault_run.group.checker.violations.empty()) << joinLines(fault_run.group.checker.violations);
  EXPECT_GT(fault_run.group.checker.acknowledgedCount(), 10U)
      << "too few publishes succeed for the run to test anything";
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConsensusStorm, ::testing::Range<std::uint64_t>(1, 61));

// ---- single hard cases ----

class ConsensusTest : public ::testing::Test {
 protected:
  ConsensusTest() { EXPECT_TRUE(group.settle()); }
  ~ConsensusTest() override {
    EXPECT_TRUE(group.checker.violations.empty()) << joinLines(group.checker.violations);
  }
  ReplicaGroup group{kReplicas, 7};
};

TEST_F(ConsensusTest, PartitionedRegionsChooseNothingUntilReconnected) {
  ASSERT_TRUE(group.publishUntilChosen(1));
  group.isCut = partitionOf({1, 2});
  const std::size_t here = group.publish(1), there = group.publish(3);
  group.runFor(Time(8000));
  EXPECT_TRUE(group.attempts[here].done && group.attempts[there].done);
  EXPECT_EQ(group.checker.newest(), 1U);
  EXPECT_FALSE(group.node(1).quorum(group.now));
  group.isCut = kHealed;
  EXPECT_TRUE(group.publishUntilChosen(3));
  EXPECT_TRUE(group.settle());
  EXPECT_EQ(group.checker.newest(), 2U);
}

TEST_F(ConsensusTest, ThreeOfFourReplicasChooseAndTheFourthCatchesUp) {
  group.isCut = partitionOf({4});
  for (int n = 0; n < 5; ++n) ASSERT_TRUE(group.publishUntilChosen(1));
  group.runFor(Time(6000));
  EXPECT_EQ(group.node(4).history().version(), 0U);
  EXPECT_FALSE(group.node(4).quorum(group.now));
  group.isCut = kHealed;
  EXPECT_TRUE(group.settle(Time(3000)));
  group.checkFinalState();
}

TEST_F(ConsensusTest, ARepeatedPublishReturnsItsOriginalVersion) {
  const std::size_t first = group.publish(1);
  ASSERT_TRUE(group.runUntil([&] { return group.succeeded(first); }));
  ASSERT_TRUE(group.publishUntilChosen(2));
  ASSERT_TRUE(group.settle());
  const std::size_t again = group.publish(3, first);
  ASSERT_TRUE(group.runUntil([&] { return group.attempts[again].done; }));
  ASSERT_TRUE(group.succeeded(again));
  EXPECT_EQ(std::get<distribution::Published>(*group.attempts[again].outcome).version, 1U);
}

TEST_F(ConsensusTest, OfTwoConcurrentPublishesOneGetsAConflict) {
  const std::size_t a = group.publish(1), b = group.publish(2);
  ASSERT_TRUE(group.runUntil([&] { return group.attempts[a].done && group.attempts[b].done; }));
  EXPECT_NE(group.succeeded(a), group.succeeded(b));
  const auto& lost = group.attempts[group.succeeded(a) ? b : a].outcome;
  EXPECT_TRUE(std::holds_alternative<distribution::Conflict>(*lost));
}

TEST_F(ConsensusTest, AReplicaWithAnEmptyDiskReportsItAndAbstainsUntilItsVotesAreRestored) {
  for (int n = 0; n < 3; ++n) ASSERT_TRUE(group.publishUntilChosen(1));
  ASSERT_TRUE(group.settle());
  group.isCut = partitionOf({4});
  group.replaceDisk(2, Disk());
  group.start(2);
  ASSERT_TRUE(group.settle());
  EXPECT_EQ(group.node(2).firstVote(), 5U);
  EXPECT_EQ(group.node(2).fault().rfind("old disk: ", 0), 0U);
  const std::size_t held = group.publish(1);  // only 1 and 3 vote in slot 4, which is no quorum
  group.runFor(Time(6000));
  EXPECT_FALSE(group.succeeded(held));
  group.isCut = kHealed;
  ASSERT_TRUE(group.runUntil([&] { return group.node(2).firstVote() == 4; }))
      << "all peers have sent their votes";
  group.isCut = partitionOf({4});
  EXPECT_TRUE(group.publishUntilChosen(1)) << "it votes again";
  group.isCut = kHealed;
}

TEST_F(ConsensusTest, AfterASimultaneousCrashReplicasJoinOnlyOnceAllHaveReplied) {
  ASSERT_TRUE(group.publishUntilChosen(1));
  for (ReplicaId id = 1; id <= kReplicas; ++id) group.crash(id);
  for (ReplicaId id = 1; id <= 3; ++id) group.start(id);
  group.runFor(Time(5000));
  EXPECT_FALSE(group.node(1).joined()) << "the fourth may have newer state";
  group.start(4);
  ASSERT_TRUE(group.settle());
  EXPECT_TRUE(group.publishUntilChosen(2));
}

TEST_F(ConsensusTest, AReplicaWithAFullDiskVotesAgainAfterSpaceIsFreed) {
  group.full_disks = {1, 2};
  const std::size_t held = group.publish(3);
  group.runFor(Time(7000));
  EXPECT_FALSE(group.succeeded(held));
  group.full_disks.clear();
  EXPECT_TRUE(group.settle());
  EXPECT_TRUE(group.publishUntilChosen(1));
}

// A change is chosen by 1, 2 and 3; then 1 and 2 lose their disks while 3 is cut off, and 4 never received
// the change. Without the join rule, 1, 2 and 4 would choose another text for the same version.
void loseTwoDisks(ReplicaGroup& group) {
  ASSERT_TRUE(group.settle());
  group.isCut = partitionOf({4});
  ASSERT_TRUE(group.publishUntilChosen(1));
  for (const ReplicaId id : {ReplicaId{1}, ReplicaId{2}}) group.replaceDisk(id, Disk());
  group.runFor(Time(100));  // messages under way to 4 are lost
  group.isCut = partitionOf({3});
  for (const ReplicaId id : {ReplicaId{1}, ReplicaId{2}}) group.start(id);
  group.runFor(Time(3000));
  group.publish(4);
  group.runFor(Time(7000));
  group.isCut = kHealed;
  group.runFor(Time(5000));
}

TEST_F(ConsensusTest, TwoLostDisksDoNotCauseASecondHistory) {
  loseTwoDisks(group);
  EXPECT_EQ(group.checker.newest(), 1U);
  EXPECT_TRUE(group.settle());
  EXPECT_EQ(group.node(4).history().version(), 1U);
}

// Version 2 is accepted by 1, 2 and 3, but only 1 learns that it is chosen and acknowledges it. Then 1 is cut
// off, and the messages under way are lost.
void chooseAndCutOff(ReplicaGroup& group) {
  ASSERT_TRUE(group.settle());
  ASSERT_TRUE(group.publishUntilChosen(1));
  ASSERT_TRUE(group.settle());
  group.isCut = partitionOf({4});
  const std::size_t second = group.publish(1);
  ASSERT_TRUE(group.runUntil([&] { return group.succeeded(second); }));
  group.isCut = partitionOf({1});
  group.runFor(Time(100));
}

// 2 and then 3 restart with empty disks while 1 is cut off.
void loseDisksInTurn(ReplicaGroup& group) {
  chooseAndCutOff(group);
  for (const ReplicaId id : {ReplicaId{2}, ReplicaId{3}}) {
    group.replaceDisk(id, Disk());
    group.start(id);
    group.runFor(Time(3000));
  }
  group.publish(4);
  group.runFor(Time(7000));
  group.isCut = kHealed;
  group.runFor(Time(5000));
}

TEST_F(ConsensusTest, DisksLostOneAfterAnotherDoNotCauseASecondHistory) {
  loseDisksInTurn(group);
  EXPECT_EQ(group.checker.newest(), 2U);
  EXPECT_TRUE(group.settle());
  EXPECT_TRUE(group.publishUntilChosen(4)) << "all peers have sent their votes, so they vote again";
}

// 1 and 2 restart with empty disks; 3, which has accepted version 2, sends its vote and is then cut off.
void loseDisksAndAskThirdReplica(ReplicaGroup& group) {
  chooseAndCutOff(group);
  for (const ReplicaId id : {ReplicaId{1}, ReplicaId{2}}) group.replaceDisk(id, Disk());
  group.isCut = kHealed;
  for (const ReplicaId id : {ReplicaId{1}, ReplicaId{2}}) group.start(id);
  group.runFor(Time(5000));
  group.isCut = partitionOf({3});
  group.publish(4);
  group.runFor(Time(7000));
  group.isCut = kHealed;
  group.runFor(Time(5000));
}

TEST_F(ConsensusTest, LostVotesAreRestoredFromAPeer) {
  loseDisksAndAskThirdReplica(group);
  EXPECT_EQ(group.checker.newest(), 2U);
  EXPECT_TRUE(group.settle());
}

// A change is accepted by 1, 2 and 3, but only 1 learns that it is chosen, and is then cut off.
void cutOffTheOnlyLearner(ReplicaGroup& group) {
  ASSERT_TRUE(group.settle());
  group.isCut = partitionOf({4});
  const std::size_t first = group.publish(1);
  ASSERT_TRUE(group.runUntil([&] { return group.succeeded(first); }));
  group.isCut = partitionOf({1});
  group.publish(4);
  group.runFor(Time(7000));
  group.isCut = kHealed;
  group.runFor(Time(5000));
}

TEST_F(ConsensusTest, AChosenChangeLearntByOneReplicaIsCompletedByTheOthers) {
  cutOffTheOnlyLearner(group);
  EXPECT_EQ(group.checker.newest(), 1U);
  EXPECT_TRUE(group.settle());
}

// A publish is acknowledged; then all replicas lose power at the same time.
void powerOffAll(ReplicaGroup& group) {
  ASSERT_TRUE(group.settle());
  group.disk_time = Time(100);
  const std::size_t first = group.publish(1);
  ASSERT_TRUE(group.runUntil([&] { return group.succeeded(first); }));
  for (ReplicaId id = 1; id <= kReplicas; ++id) group.crash(id);
  group.runFor(Time(100));
  for (ReplicaId id = 1; id <= kReplicas; ++id) group.start(id);
  group.runFor(Time(3000));
  ASSERT_TRUE(group.publishUntilChosen(4));
  group.settle();
  group.checkFinalState();
}

TEST_F(ConsensusTest, AnAcknowledgedChangeSurvivesAPowerLossOfAllReplicas) {
  powerOffAll(group);
  EXPECT_EQ(group.checker.newest(), 2U);
}

// ---- mutations that the checker has to detect ----

// Whether one of the random fault runs ends in a violation that contains this text.
bool violationFound(Mutations mutations, const std::string& violation, bool healed = false) {
  constexpr std::uint64_t kRuns = 100;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    RandomFaultRun fault_run(seed, mutations);
    fault_run.run();
    if (healed) fault_run.heal();
    if (joinLines(fault_run.group.checker.violations).find(violation) != std::string::npos) return true;
  }
  return false;
}

TEST(ConsensusMutation, AQuorumOfTwoCausesTwoTextsForOneVersion) {
  EXPECT_TRUE(violationFound({.quorum_of_two = true}, "two texts under version"));
}

// Whether the case ends with two texts under one version.
bool twoTextsAfter(void (*hard_case)(ReplicaGroup&), Mutations mutations) {
  ReplicaGroup group(kReplicas, 7, mutations);
  hard_case(group);
  return joinLines(group.checker.violations).find("two texts under version") != std::string::npos;
}

TEST(ConsensusMutation, SendingBeforeTheWriteCausesTwoTextsForOneVersion) {
  EXPECT_TRUE(twoTextsAfter(powerOffAll, {.send_before_disk = true}));
}

TEST(ConsensusMutation, NotifyingBeforeTheWriteMakesAReplicaGoBack) {
  EXPECT_TRUE(violationFound({.notify_before_disk = true}, "went back from"));
}

TEST(ConsensusMutation, PromisesWithoutValuesCauseTwoTextsForOneVersion) {
  EXPECT_TRUE(twoTextsAfter(cutOffTheOnlyLearner, {.promises_without_values = true}));
}

TEST(ConsensusMutation, AcceptingAnyBallotCausesTwoTextsForOneVersion) {
  EXPECT_TRUE(violationFound({.accept_any_ballot = true}, "two texts under version"));
}

TEST(ConsensusMutation, WithoutTheJoinRuleAnOldDiskIsNotReported) {
  EXPECT_TRUE(violationFound({.no_join_rule = true}, "that it has not reported"));
}

TEST(ConsensusMutation, WithoutTheJoinRuleTwoLostDisksCauseASecondHistory) {
  EXPECT_TRUE(twoTextsAfter(loseTwoDisks, {.no_join_rule = true}));
}

TEST(ConsensusMutation, WithoutVotedSlotsDisksLostOneAfterAnotherCauseTwoTexts) {
  EXPECT_TRUE(twoTextsAfter(loseDisksInTurn, {.omit_voted_slots = true}));
}

TEST(ConsensusMutation, WithoutVotesInHelloRepliesLostVotesCauseTwoTexts) {
  EXPECT_TRUE(twoTextsAfter(loseDisksAndAskThirdReplica, {.omit_votes = true}));
}

TEST(ConsensusMutation, ANewIdAtEachAttemptIsAcknowledgedWithTwoVersions) {
  EXPECT_TRUE(violationFound({.new_id_at_each_attempt = true}, "was acknowledged with two versions"));
}

TEST(ConsensusMutation, AcceptingChangesOutOfOrderLeavesAGap) {
  EXPECT_TRUE(violationFound({.accept_gaps = true}, "is missing", true));
}

}  // namespace
}  // namespace client_proxy::consensus::test
