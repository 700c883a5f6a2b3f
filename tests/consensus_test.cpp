// One text for each version, ever: storms of faults, and for each invariant a break on purpose that is seen.
#include <gtest/gtest.h>

#include <numeric>

#include "consensus_sim.h"

namespace client_proxy::consensus::test {
namespace {

constexpr std::size_t kReplicas = 4;

// Cuts the replicas in two groups.
std::function<bool(ReplicaId, ReplicaId)> apart(std::set<ReplicaId> group) {
  return [group = std::move(group)](ReplicaId a, ReplicaId b) { return group.count(a) != group.count(b); };
}
const auto kHealed = [](ReplicaId, ReplicaId) { return false; };

std::string all(const std::set<std::string>& lines) {
  return std::accumulate(lines.begin(), lines.end(), std::string(),
                         [](const std::string& a, const std::string& b) { return a + b + "\n"; });
}

// Faults of all kinds at random for two minutes; one replica at a time may come back with another disk.
class Storm {
 public:
  explicit Storm(std::uint64_t seed, Mutations mutations = {})
      : group(kReplicas, seed, mutations), random_(seed) {}

  void run(Time time = Time(120'000)) {
    group.faults = {.loss = 0.1, .doubled = 0.1, .late = 0.05};
    for (const Time end = group.now + time; group.now < end;) {
      group.runFor(Time(1 + random_.below(400)));
      event();
      if (!group.checker.violations.empty()) return;
    }
  }
  // All is well again, and has to work.
  void heal() {
    group.faults = {};
    group.cut = kHealed;
    group.full.clear();
    for (ReplicaId id = 1; id <= kReplicas; ++id) {
      if (!group.up(id)) group.start(id);
    }
    EXPECT_TRUE(group.settle()) << state();
    EXPECT_TRUE(group.publishUntilChosen(1)) << state();
    EXPECT_TRUE(group.settle()) << state();
    group.checkEnd();
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
        if (random_.below(2) == 0) group.publish(any());  // two duel
        return;
      case 1:
      case 2:
        if (!group.tries.empty())
          group.publish(id, random_.below(static_cast<std::uint32_t>(group.tries.size())));
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
        group.cut = random_.below(2) == 0 ? apart({1, 2}) : apart({id});
        return;
      case 7:
      case 8:
        group.cut = kHealed;
        return;
      case 9:
        group.full = random_.below(3) == 0 ? std::set<ReplicaId>{id} : std::set<ReplicaId>{};
        return;
      case 10:
        backups_[id] = group.diskOf(id);
        return;
      case 11:
        if (allVote()) putBack(id);
        return;
    }
  }
  bool allVote() {
    for (ReplicaId id = 1; id <= kReplicas; ++id) {
      if (!group.up(id) || !group.node(id).joined()) return false;
      if (group.node(id).firstVote() > group.node(id).history().version() + 1) return false;
    }
    return true;
  }
  void putBack(ReplicaId id) {
    const bool old = random_.below(2) == 0 && backups_.count(id) > 0;
    group.replaceDisk(id, old ? backups_[id] : Disk());
    if (random_.below(2) == 0) group.start(id);
  }

  load_balancer::Random random_;
  std::map<ReplicaId, Disk> backups_;
};

class ConsensusStorm : public ::testing::TestWithParam<std::uint64_t> {};

TEST_P(ConsensusStorm, OneTextForEachVersionAndNothingLost) {
  Storm storm(GetParam());
  storm.run();
  storm.heal();
  EXPECT_TRUE(storm.group.checker.violations.empty()) << all(storm.group.checker.violations);
  EXPECT_GT(storm.group.checker.acknowledgedCount(), 10U) << "the storm lets too little through to mean much";
}

INSTANTIATE_TEST_SUITE_P(Seeds, ConsensusStorm, ::testing::Range<std::uint64_t>(1, 61));

// ---- the hard cases, one by one ----

class ConsensusTest : public ::testing::Test {
 protected:
  ConsensusTest() { EXPECT_TRUE(group.settle()); }
  ~ConsensusTest() override {
    EXPECT_TRUE(group.checker.violations.empty()) << all(group.checker.violations);
  }
  ReplicaGroup group{kReplicas, 7};
};

TEST_F(ConsensusTest, ARegionsCutAcceptsNothingAndHeals) {
  ASSERT_TRUE(group.publishUntilChosen(1));
  group.cut = apart({1, 2});
  const std::size_t here = group.publish(1), there = group.publish(3);
  group.runFor(Time(8000));
  EXPECT_TRUE(group.tries[here].done && group.tries[there].done);
  EXPECT_EQ(group.checker.newest(), 1U);
  EXPECT_FALSE(group.node(1).quorum(group.now));
  group.cut = kHealed;
  EXPECT_TRUE(group.publishUntilChosen(3));
  EXPECT_TRUE(group.settle());
  EXPECT_EQ(group.checker.newest(), 2U);
}

TEST_F(ConsensusTest, ThreeAgainstOneAcceptAndTheOneCatchesUp) {
  group.cut = apart({4});
  for (int n = 0; n < 5; ++n) ASSERT_TRUE(group.publishUntilChosen(1));
  group.runFor(Time(6000));
  EXPECT_EQ(group.node(4).history().version(), 0U);
  EXPECT_FALSE(group.node(4).quorum(group.now));
  group.cut = kHealed;
  EXPECT_TRUE(group.settle(Time(3000)));
  group.checkEnd();
}

TEST_F(ConsensusTest, ARepeatedPublishGetsTheVersionThatItGot) {
  const std::size_t first = group.publish(1);
  ASSERT_TRUE(group.runUntil([&] { return group.succeeded(first); }));
  ASSERT_TRUE(group.publishUntilChosen(2));
  ASSERT_TRUE(group.settle());
  const std::size_t again = group.publish(3, first);
  ASSERT_TRUE(group.runUntil([&] { return group.tries[again].done; }));
  ASSERT_TRUE(group.succeeded(again));
  EXPECT_EQ(std::get<distribution::Published>(*group.tries[again].outcome).version, 1U);
}

TEST_F(ConsensusTest, OfTwoDuellingPublishersOneHasAConflict) {
  const std::size_t a = group.publish(1), b = group.publish(2);
  ASSERT_TRUE(group.runUntil([&] { return group.tries[a].done && group.tries[b].done; }));
  EXPECT_NE(group.succeeded(a), group.succeeded(b));
  const auto& lost = group.tries[group.succeeded(a) ? b : a].outcome;
  EXPECT_TRUE(std::holds_alternative<distribution::Conflict>(*lost));
}

TEST_F(ConsensusTest, AWipedDiskIsNamedAndVotesBehindWhatItMayHaveForgotten) {
  for (int n = 0; n < 3; ++n) ASSERT_TRUE(group.publishUntilChosen(1));
  ASSERT_TRUE(group.settle());
  group.cut = apart({4});
  group.replaceDisk(2, Disk());
  group.start(2);
  ASSERT_TRUE(group.settle());
  EXPECT_EQ(group.node(2).firstVote(), 5U);
  EXPECT_EQ(group.node(2).fault().rfind("old disk: ", 0), 0U);
  const std::size_t held = group.publish(1);  // 1 and 3 are two, and 2 does not vote in slot 4
  group.runFor(Time(6000));
  EXPECT_FALSE(group.succeeded(held));
  group.cut = kHealed;
  ASSERT_TRUE(group.runUntil([&] { return group.node(2).firstVote() == 4; }))
      << "all have told it their votes";
  group.cut = apart({4});
  EXPECT_TRUE(group.publishUntilChosen(1)) << "it votes again";
  group.cut = kHealed;
}

TEST_F(ConsensusTest, AllStoppedAtOnceComeBackWithWhatTheyHave) {
  ASSERT_TRUE(group.publishUntilChosen(1));
  for (ReplicaId id = 1; id <= kReplicas; ++id) group.crash(id);
  for (ReplicaId id = 1; id <= 3; ++id) group.start(id);
  group.runFor(Time(5000));
  EXPECT_FALSE(group.node(1).joined()) << "the fourth may know better than these";
  group.start(4);
  ASSERT_TRUE(group.settle());
  EXPECT_TRUE(group.publishUntilChosen(2));
}

TEST_F(ConsensusTest, AFullDiskVotesAgainWhenThereIsRoom) {
  group.full = {1, 2};
  const std::size_t held = group.publish(3);
  group.runFor(Time(7000));
  EXPECT_FALSE(group.succeeded(held));
  group.full.clear();
  EXPECT_TRUE(group.settle());
  EXPECT_TRUE(group.publishUntilChosen(1));
}

// Chosen by 1, 2 and 3; 1 and 2 lose their disks, 3 is away and 4 has never heard of it.
void loseTwoDisks(ReplicaGroup& group) {
  ASSERT_TRUE(group.settle());
  group.cut = apart({4});
  ASSERT_TRUE(group.publishUntilChosen(1));
  for (const ReplicaId id : {ReplicaId{1}, ReplicaId{2}}) group.replaceDisk(id, Disk());
  group.runFor(Time(100));  // what is on its way to 4 is lost
  group.cut = apart({3});
  for (const ReplicaId id : {ReplicaId{1}, ReplicaId{2}}) group.start(id);
  group.runFor(Time(3000));
  group.publish(4);
  group.runFor(Time(7000));
  group.cut = kHealed;
  group.runFor(Time(5000));
}

TEST_F(ConsensusTest, TwoLostDisksMakeNoSecondHistory) {
  loseTwoDisks(group);
  EXPECT_EQ(group.checker.newest(), 1U);
  EXPECT_TRUE(group.settle());
  EXPECT_EQ(group.node(4).history().version(), 1U);
}

// Version 2 is chosen by 1, 2 and 3, and told by 1, which alone knows; what is on its way is lost.
void chooseAndCutOff(ReplicaGroup& group) {
  ASSERT_TRUE(group.settle());
  ASSERT_TRUE(group.publishUntilChosen(1));
  ASSERT_TRUE(group.settle());
  group.cut = apart({4});
  const std::size_t second = group.publish(1);
  ASSERT_TRUE(group.runUntil([&] { return group.succeeded(second); }));
  group.cut = apart({1});
  group.runFor(Time(100));
}

// 2 and then 3 come back with empty disks while 1 is away.
void loseDisksInTurn(ReplicaGroup& group) {
  chooseAndCutOff(group);
  for (const ReplicaId id : {ReplicaId{2}, ReplicaId{3}}) {
    group.replaceDisk(id, Disk());
    group.start(id);
    group.runFor(Time(3000));
  }
  group.publish(4);
  group.runFor(Time(7000));
  group.cut = kHealed;
  group.runFor(Time(5000));
}

TEST_F(ConsensusTest, DisksLostInTurnMakeNoSecondHistory) {
  loseDisksInTurn(group);
  EXPECT_EQ(group.checker.newest(), 2U);
  EXPECT_TRUE(group.settle());
  EXPECT_TRUE(group.publishUntilChosen(4)) << "all have told their votes: they vote again";
}

// 1 and 2 come back with empty disks; 3, which has accepted, tells its vote and is cut off.
void loseDisksAndAskThirdReplica(ReplicaGroup& group) {
  chooseAndCutOff(group);
  for (const ReplicaId id : {ReplicaId{1}, ReplicaId{2}}) group.replaceDisk(id, Disk());
  group.cut = kHealed;
  for (const ReplicaId id : {ReplicaId{1}, ReplicaId{2}}) group.start(id);
  group.runFor(Time(5000));
  group.cut = apart({3});
  group.publish(4);
  group.runFor(Time(7000));
  group.cut = kHealed;
  group.runFor(Time(5000));
}

TEST_F(ConsensusTest, ForgottenVotesAreTakenOverFromWhoRemembers) {
  loseDisksAndAskThirdReplica(group);
  EXPECT_EQ(group.checker.newest(), 2U);
  EXPECT_TRUE(group.settle());
}

// Chosen by 1, 2 and 3, which 1 alone has heard before it is cut off.
void loseWhoKnows(ReplicaGroup& group) {
  ASSERT_TRUE(group.settle());
  group.cut = apart({4});
  const std::size_t first = group.publish(1);
  ASSERT_TRUE(group.runUntil([&] { return group.succeeded(first); }));
  group.cut = apart({1});
  group.publish(4);
  group.runFor(Time(7000));
  group.cut = kHealed;
  group.runFor(Time(5000));
}

TEST_F(ConsensusTest, WhatOneAloneKnowsToBeChosenIsFinishedByTheOthers) {
  loseWhoKnows(group);
  EXPECT_EQ(group.checker.newest(), 1U);
  EXPECT_TRUE(group.settle());
}

// The publisher has its answer; then all lose their power.
void stopAll(ReplicaGroup& group) {
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
  group.checkEnd();
}

TEST_F(ConsensusTest, WhatWasAcceptedIsOnDisk) {
  stopAll(group);
  EXPECT_EQ(group.checker.newest(), 2U);
}

// ---- the checker sees it: each invariant, broken on purpose ----

// Whether one of the storms ends in a violation that reads so.
bool seen(Mutations mutations, const std::string& violation, bool healed = false) {
  constexpr std::uint64_t kStorms = 100;
  for (std::uint64_t seed = 1; seed <= kStorms; ++seed) {
    Storm storm(seed, mutations);
    storm.run();
    if (healed) storm.heal();
    if (all(storm.group.checker.violations).find(violation) != std::string::npos) return true;
  }
  return false;
}

TEST(ConsensusMutation, AQuorumOfTwoMakesTwoTexts) {
  EXPECT_TRUE(seen({.quorum_of_two = true}, "two texts under version"));
}

// Whether the case ends with two texts under one version.
bool twoTextsAfter(void (*hard_case)(ReplicaGroup&), Mutations mutations) {
  ReplicaGroup group(kReplicas, 7, mutations);
  hard_case(group);
  return all(group.checker.violations).find("two texts under version") != std::string::npos;
}

TEST(ConsensusMutation, SaidBeforeItIsOnDiskIsLost) {
  EXPECT_TRUE(twoTextsAfter(stopAll, {.send_before_disk = true}));
}

TEST(ConsensusMutation, ToldBeforeTheDiskAReplicaGoesBack) {
  EXPECT_TRUE(seen({.tell_before_disk = true}, "went back from"));
}

TEST(ConsensusMutation, PromisesWithoutValuesMakeTwoTexts) {
  EXPECT_TRUE(twoTextsAfter(loseWhoKnows, {.promises_without_values = true}));
}

TEST(ConsensusMutation, AnAcceptNotHeldAgainstThePromiseMakesTwoTexts) {
  EXPECT_TRUE(seen({.accept_any_ballot = true}, "two texts under version"));
}

TEST(ConsensusMutation, WithoutTheJoinRuleAnOldDiskIsNotNamed) {
  EXPECT_TRUE(seen({.no_join_rule = true}, "has not named it"));
}

TEST(ConsensusMutation, WithoutTheJoinRuleTwoLostDisksMakeASecondHistory) {
  EXPECT_TRUE(twoTextsAfter(loseTwoDisks, {.no_join_rule = true}));
}

TEST(ConsensusMutation, WithoutTheSlotsOfOthersDisksLostInTurnMakeTwoTexts) {
  EXPECT_TRUE(twoTextsAfter(loseDisksInTurn, {.slots_not_told = true}));
}

TEST(ConsensusMutation, WithoutTheVotesOfOthersForgottenOnesMakeTwoTexts) {
  EXPECT_TRUE(twoTextsAfter(loseDisksAndAskThirdReplica, {.votes_not_told = true}));
}

TEST(ConsensusMutation, ANewIdAtEachTryIsToldTwoVersions) {
  EXPECT_TRUE(seen({.new_id_at_each_try = true}, "was told two versions"));
}

TEST(ConsensusMutation, LearningWithoutThoseBeforeLeavesAGap) {
  EXPECT_TRUE(seen({.learn_anything = true}, "is missing", true));
}

}  // namespace
}  // namespace client_proxy::consensus::test
