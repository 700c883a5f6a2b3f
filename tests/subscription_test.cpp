// Tests of the subscription's state machine: single events, and a fleet of subscribers on a simulated clock.
#include "subscription/subscription.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "distribution/codec.h"
#include "distribution/delta.h"
#include "distribution/digest.h"

namespace client_proxy::subscription {
namespace {

using distribution::Change;
using distribution::Heartbeat;
using distribution::QuorumNotice;

constexpr std::uint32_t kMembers = 730;
constexpr std::size_t kReplicas = 4;

std::vector<Replica> fourReplicas() { return {{1, ""}, {2, ""}, {3, ""}, {4, ""}}; }
std::vector<Replica> twoRegions() { return {{1, "north"}, {2, "north"}, {3, "south"}, {4, "south"}}; }

Change changeOf(distribution::Version version, const std::string& text) {
  return {.version = version,
          .id = distribution::digestOf("id " + std::to_string(version)),
          .author = "ana",
          .text = text,
          .digest = distribution::digestOf(text),
          .previous_digest = {}};
}

InForce inForce(distribution::Version version, const std::string& text) {
  return {.version = version, .digest = distribution::digestOf(text), .text = text};
}

template <typename T>
std::vector<T> actionsOf(const Actions& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const T* const one = std::get_if<T>(&action)) found.push_back(*one);
  }
  return found;
}

// A subscriber with an open watch on which a first heartbeat was received.
struct WatchingSubscriber {
  explicit WatchingSubscriber(InForce in_force = inForce(41, "open 64\n"), Settings settings = {})
      : subscription(withReplicas(settings), in_force) {
    watch = actionsOf<OpenWatch>(subscription.start(now)).at(0);
    subscription.connected(watch.watch, now);
    subscription.received(watch.watch, Heartbeat{}, now);
  }
  static Settings withReplicas(Settings settings) {
    settings.replicas = fourReplicas();
    settings.seed = 7;
    return settings;
  }
  Actions receive(const distribution::WatchLine& line) {
    return subscription.received(watch.watch, line, now);
  }
  // Advances the clock to `at`, running timers as they expire, and returns their actions.
  Actions advanceTo(Time at) {
    Actions actions;
    while (subscription.nextDue() <= at) {
      now = std::max(now, subscription.nextDue());
      for (Action& action : subscription.due(now)) actions.push_back(std::move(action));
      if (!actionsOf<SendAcknowledgement>(actions).empty()) subscription.acknowledged(true, now);
    }
    now = at;
    return actions;
  }
  Time now = kSecond;
  Subscription subscription;
  OpenWatch watch;
};

// ---- replica order ----

using Counts = std::map<std::vector<std::size_t>, int>;

// Number of members by the first `length` replicas of their order; members are numbered in steps of `step`.
Counts prefixes(std::size_t length, std::uint32_t step) {
  Counts counts;
  for (std::uint32_t member = 0; member < kMembers * step; member += step) {
    std::vector<std::size_t> order = replicaOrder(member, "", fourReplicas());
    EXPECT_EQ(std::set<std::size_t>(order.begin(), order.end()).size(), kReplicas);
    order.resize(length);
    ++counts[order];
  }
  return counts;
}

TEST(ReplicaOrder, MembersSpreadEvenlyOverFirstAndSecondChoice) {
  for (const std::uint32_t step : {1U, 2U, 5U, 10U}) {
    for (const auto& [order, count] : prefixes(1, step)) EXPECT_NEAR(count, kMembers / 4, 5) << step;
    const Counts firstTwo = prefixes(2, step);
    EXPECT_EQ(firstTwo.size(), 12U);
    for (const auto& [order, count] : firstTwo) EXPECT_NEAR(count, kMembers / 12, 8) << step;
  }
}

TEST(ReplicaOrder, ReplicasInOwnRegionComeFirst) {
  std::map<std::size_t, int> firsts;
  for (std::uint32_t member = 1; member < kMembers; member += 2) {
    const std::vector<std::size_t> order = replicaOrder(member, "south", twoRegions());
    ASSERT_EQ(order.size(), kReplicas);
    EXPECT_TRUE(order[0] >= 2 && order[1] >= 2);
    ++firsts[order[0]];
  }
  EXPECT_NEAR(firsts[2], firsts[3], 10);
}

// ---- changes ----

TEST(Subscription, ChangeIsAppliedAndAcknowledgedWithinHalfASecond) {
  WatchingSubscriber w;
  const Actions offered = w.receive(distribution::noticeOf(changeOf(42, "open 96\n")));
  ASSERT_EQ(actionsOf<Apply>(offered).size(), 1U);
  EXPECT_EQ(actionsOf<Apply>(offered)[0].change.text, "open 96\n");
  EXPECT_EQ(w.subscription.inForce().version, 41U) << "not in force before it was applied";
  w.subscription.applied({.restart_needed = true}, w.now);
  const auto sent = actionsOf<SendAcknowledgement>(w.advanceTo(w.now + 500 * kMillisecond));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].replica, w.watch.replica);
  EXPECT_EQ(sent[0].acknowledgement.version, 42U);
  EXPECT_EQ(sent[0].acknowledgement.digest, distribution::digestOf("open 96\n"));
  EXPECT_TRUE(sent[0].acknowledgement.restart_needed);
}

TEST(Subscription, DeltaMayBeBasedOnARefusedChange) {
  WatchingSubscriber w;
  const Change first = changeOf(41, "open 64\n"), bad = changeOf(42, "opn 96\n"),
               good = changeOf(43, "open 96\n");
  ASSERT_EQ(actionsOf<Apply>(w.receive(distribution::noticeOf(bad, first))).size(), 1U);
  w.subscription.applied({.outcome = Outcome::Refused, .error = "shared.conf:1:1: error: 'opn' is not known"},
                         w.now);
  EXPECT_EQ(w.subscription.inForce().version, 41U);
  distribution::ChangeNotice notice = distribution::noticeOf(good);
  notice.content = distribution::makeDelta(bad, good.text);  // based on the refused text
  const auto offered = actionsOf<Apply>(w.receive(notice));
  ASSERT_EQ(offered.size(), 1U);
  EXPECT_EQ(offered[0].change.text, good.text);
}

TEST(Subscription, InvalidChangeIsReportedAndNotRetriedButALaterVersionIsApplied) {
  WatchingSubscriber w;
  const auto bad = distribution::noticeOf(changeOf(42, "opn 96\n"));
  const std::string error = "shared.conf:1:1: error: 'opn' is not known here; did you mean open?";
  ASSERT_EQ(actionsOf<Apply>(w.receive(bad)).size(), 1U);
  w.subscription.applied({.outcome = Outcome::Refused, .error = error}, w.now);
  const auto sent = actionsOf<SendAcknowledgement>(w.advanceTo(w.now + kSecond));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].acknowledgement.version, 41U);
  ASSERT_TRUE(sent[0].acknowledgement.refused);
  EXPECT_EQ(*sent[0].acknowledgement.refused, (distribution::Refusal{42, bad.digest, error}));
  EXPECT_TRUE(actionsOf<Apply>(w.receive(bad)).empty()) << "the same change was offered again";
  ASSERT_EQ(actionsOf<Apply>(w.receive(distribution::noticeOf(changeOf(43, "open 96\n")))).size(), 1U);
  w.subscription.applied({}, w.now);
  EXPECT_FALSE(w.subscription.refusal());
}

TEST(Subscription, StorageFailureIsRetriedWithBackOffUntilItSucceeds) {
  WatchingSubscriber w;
  const auto notice = distribution::noticeOf(changeOf(42, "open 96\n"));
  w.receive(notice);
  std::vector<Time> tries;
  for (int i = 0; i < 12; ++i) {
    w.subscription.applied({.outcome = Outcome::NotStored, .error = "shared.conf: No space left on device"},
                           w.now);
    while (actionsOf<Apply>(w.advanceTo(w.subscription.nextDue())).empty()) w.receive(Heartbeat{});
    tries.push_back(w.now);
  }
  EXPECT_LT(tries[0], kSecond + 1500 * kMillisecond + 1);
  EXPECT_GT(tries[11] - tries[10], 30 * kSecond) << "no back-off";
  EXPECT_TRUE(actionsOf<Apply>(w.receive(notice)).empty()) << "a retry is already scheduled";
  w.subscription.applied({}, w.now);
  EXPECT_EQ(w.subscription.inForce().version, 42U);
}

TEST(Subscription, WrongDeltaDigestRequestsFullTextFromTheSameReplica) {
  WatchingSubscriber w;
  distribution::ChangeNotice wrong = distribution::noticeOf(changeOf(42, "open 96\n"));
  wrong.content = distribution::Delta{41, distribution::digestOf("open 64\n"), {{5, 2, "97"}}};
  const Actions actions = w.receive(wrong);
  EXPECT_TRUE(actionsOf<Apply>(actions).empty());
  const auto opened = actionsOf<OpenWatch>(actions);
  ASSERT_EQ(opened.size(), 1U);
  EXPECT_EQ(opened[0].from, 0U);
  EXPECT_EQ(opened[0].replica, w.watch.replica);
  ASSERT_TRUE(w.subscription.refusal());
  EXPECT_EQ(w.subscription.refusal()->error, "the delta produces a text with a different digest");
  w.subscription.connected(opened[0].watch, w.now);
  const auto full =
      w.subscription.received(opened[0].watch, distribution::noticeOf(changeOf(42, "open 96\n")), w.now);
  EXPECT_EQ(actionsOf<Apply>(full).size(), 1U);
}

TEST(Subscription, LocallyEditedTextIsReplacedByThePublishedTextOfItsVersion) {
  InForce edited = inForce(41, "open 65\n");
  edited.as_published = false;
  WatchingSubscriber w(edited);
  EXPECT_EQ(w.watch.from, 0U);
  EXPECT_TRUE(actionsOf<Apply>(w.receive(distribution::noticeOf(changeOf(40, "open 32\n")))).empty())
      << "an older version was applied";
  WatchingSubscriber again(edited);
  EXPECT_EQ(actionsOf<Apply>(again.receive(distribution::noticeOf(changeOf(41, "open 64\n")))).size(), 1U);
}

TEST(Subscription, RefusedVersionIsRetriedAfterTheFileWasReplaced) {
  WatchingSubscriber w;
  w.receive(distribution::noticeOf(changeOf(42, "class swap {\n}\n")));
  w.subscription.applied({.outcome = Outcome::Refused, .error = "no such class"}, w.now);
  const auto opened = actionsOf<OpenWatch>(w.subscription.replaced(w.subscription.inForce(), w.now));
  ASSERT_EQ(opened.size(), 1U);
  w.subscription.connected(opened[0].watch, w.now);
  const auto offered = w.subscription.received(
      opened[0].watch, distribution::noticeOf(changeOf(42, "class swap {\n}\n")), w.now);
  EXPECT_EQ(actionsOf<Apply>(offered).size(), 1U);
}

// Faulty replicas send older versions, different texts for the same version and deltas that do not match.
TEST(Subscription, FaultyReplicasNeverLowerTheVersionNorChangeTheTextOfAVersion) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    load_balancer::Random random(seed);
    WatchingSubscriber w(inForce(3, "text 3\n"));
    std::map<distribution::Version, std::string> seen = {{3, "text 3\n"}};
    distribution::Version highest = 3;
    WatchId watch = w.watch.watch;
    for (int step = 0; step < 60; ++step) {
      const distribution::Version version = 1 + random.below(12);
      const std::string text = "text " + std::to_string(version) + (random.below(4) == 0 ? " other\n" : "\n");
      distribution::ChangeNotice notice = distribution::noticeOf(changeOf(version, text));
      if (random.below(4) == 0) {
        const distribution::Version base = 1 + random.below(12);
        const Change from = changeOf(base, "text " + std::to_string(base) + "\n");
        notice.content = distribution::makeDelta(from, random.below(3) == 0 ? "text 99\n" : text);
      }
      Actions actions = w.subscription.received(watch, notice, w.now);
      if (!actionsOf<Apply>(actions).empty()) {
        const std::array<Outcome, 3> outcomes = {Outcome::Taken, Outcome::Taken, Outcome::Refused};
        w.subscription.applied({.outcome = outcomes[random.below(3)], .error = "no"}, w.now);
      }
      const InForce& now = w.subscription.inForce();
      ASSERT_GE(now.version, highest) << "seed " << seed << " step " << step;
      highest = now.version;
      ASSERT_EQ(distribution::digestOf(now.text), now.digest);
      const auto [it, first] = seen.try_emplace(now.version, now.text);
      ASSERT_EQ(it->second, now.text) << "two texts of version " << now.version << ", seed " << seed;
      while (!w.subscription.watchedReplica() || actionsOf<OpenWatch>(actions).empty() == false) {
        for (const OpenWatch& opened : actionsOf<OpenWatch>(actions)) {
          watch = opened.watch;
          w.subscription.connected(watch, w.now);
          w.subscription.received(watch, Heartbeat{}, w.now);
        }
        if (w.subscription.watchedReplica()) break;
        w.now = std::max(w.now, w.subscription.nextDue());
        actions = w.subscription.due(w.now);
      }
    }
    EXPECT_GT(highest, 3U);
  }
}

// ---- acknowledgements ----

TEST(Subscription, AcknowledgementsAreNumberedRepeatedEveryMinuteAndRetriedIfLost) {
  Settings settings;
  settings.last_sequence = 1000;
  WatchingSubscriber w(inForce(41, "open 64\n"), settings);
  std::vector<std::uint64_t> sequences;
  std::vector<Time> times;
  while (sequences.size() < 6) {
    w.now = w.subscription.nextDue();
    w.receive(Heartbeat{});
    for (const auto& sent : actionsOf<SendAcknowledgement>(w.subscription.due(w.now))) {
      sequences.push_back(sent.acknowledgement.sequence);
      times.push_back(w.now);
      w.subscription.acknowledged(sequences.size() != 3, w.now);  // the third is lost
    }
  }
  EXPECT_EQ(sequences, (std::vector<std::uint64_t>{1001, 1002, 1003, 1004, 1005, 1006}));
  EXPECT_EQ(times[1] - times[0], kMinute);
  EXPECT_LE(times[3] - times[2], 750 * kMillisecond);
}

// ---- choice of replica ----

TEST(Subscription, MovesToTheNextReplicaAfterTwoMissedHeartbeats) {
  WatchingSubscriber w;
  const Time last = w.now;
  EXPECT_TRUE(actionsOf<OpenWatch>(w.advanceTo(last + 4299 * kMillisecond)).empty());
  const auto opened = actionsOf<OpenWatch>(w.advanceTo(last + 5300 * kMillisecond));
  ASSERT_GE(opened.size(), 1U);
  EXPECT_EQ(opened[0].replica, replicaOrder(0, "", fourReplicas())[1]);
}

TEST(Subscription, LeavesAReplicaThatAcceptsTheConnectionButSendsNothing) {
  Subscription s(WatchingSubscriber::withReplicas({}), inForce(0, ""));
  const OpenWatch first = actionsOf<OpenWatch>(s.start(kSecond)).at(0);
  EXPECT_EQ(s.nextDue(), 2 * kSecond) << "connection timeout";
  s.connected(first.watch, kSecond);
  s.due(s.nextDue());  // the acknowledgement
  EXPECT_EQ(s.nextDue(), kSecond + 4300 * kMillisecond);
  EXPECT_EQ(actionsOf<CloseWatch>(s.due(s.nextDue())).at(0).watch, first.watch);
}

TEST(Subscription, UnreachableReplicasAreTriedInOrderWithBackOff) {
  Subscription s(WatchingSubscriber::withReplicas({}), inForce(0, ""));
  Time now = kSecond;
  std::vector<OpenWatch> opened = actionsOf<OpenWatch>(s.start(now));
  std::vector<Time> times = {now};
  while (opened.size() < 12) {
    s.lost(opened.back().watch, "connection refused", now);
    now = s.nextDue();
    for (const OpenWatch& next : actionsOf<OpenWatch>(s.due(now)))
      opened.push_back(next), times.push_back(now);
  }
  const std::vector<std::size_t> order = replicaOrder(0, "", fourReplicas());
  for (std::size_t i = 0; i < opened.size(); ++i) EXPECT_EQ(opened[i].replica, order[i % kReplicas]);
  for (std::size_t i = 6; i < times.size(); ++i) {
    EXPECT_GE(times[i] - times[i - 1], 2 * kSecond);
    EXPECT_LE(times[i] - times[i - 1], 6 * kSecond);
  }
}

TEST(Subscription, BacksOffFromAReplicaThatClosesEachWatchAfterOneLine) {
  WatchingSubscriber w;
  int opened = 0;
  for (const Time end = w.now + kMinute; w.now < end;) {
    w.subscription.lost(w.watch.watch, "closed", w.now);
    w.now = w.subscription.nextDue();
    w.watch = actionsOf<OpenWatch>(w.subscription.due(w.now)).at(0);
    w.subscription.connected(w.watch.watch, w.now);
    w.receive(Heartbeat{});
    ++opened;
  }
  EXPECT_LE(opened, 30);
}

TEST(Subscription, WithoutQuorumTriesOtherReplicasAtALowRateAndMovesOnlyToOneWithQuorum) {
  WatchingSubscriber w;
  int candidates_tried = 0;
  w.receive(QuorumNotice{1, false});  // sent once; heartbeats continue
  for (const Time end = w.now + 60 * kMinute; w.now < end;) {
    w.receive(Heartbeat{});
    w.now += kSecond;
    for (const OpenWatch& candidate : actionsOf<OpenWatch>(w.subscription.due(w.now))) {
      ++candidates_tried;
      EXPECT_NE(candidate.replica, w.watch.replica);
      w.subscription.connected(candidate.watch, w.now);
      const Actions none = w.subscription.received(candidate.watch, QuorumNotice{2, false}, w.now);
      EXPECT_EQ(actionsOf<CloseWatch>(none).at(0).watch, candidate.watch);
    }
    EXPECT_EQ(w.subscription.watchedReplica(), w.watch.replica);
  }
  EXPECT_GE(candidates_tried, 8);
  EXPECT_LE(candidates_tried, 30);
  // A candidate with a quorum replaces the watch.
  std::vector<OpenWatch> candidate;
  for (const Time end = w.now + 60 * kMinute; candidate.empty() && w.now < end;) {
    w.receive(Heartbeat{});
    w.now += kSecond;
    candidate = actionsOf<OpenWatch>(w.subscription.due(w.now));
  }
  ASSERT_FALSE(candidate.empty());
  const Actions moved = w.subscription.received(candidate[0].watch, Heartbeat{}, w.now);
  EXPECT_EQ(actionsOf<CloseWatch>(moved).at(0).watch, w.watch.watch);
  EXPECT_EQ(w.subscription.watchedReplica(), candidate[0].replica);
}

TEST(Subscription, StopsTryingOtherReplicasOnceTheQuorumIsBack) {
  WatchingSubscriber w;
  w.receive(QuorumNotice{1, false});
  EXPECT_TRUE(w.subscription.withoutQuorum());
  w.receive(QuorumNotice{1, true});
  EXPECT_FALSE(w.subscription.withoutQuorum());
  for (int i = 0; i < 60; ++i) {
    w.receive(Heartbeat{});
    EXPECT_TRUE(actionsOf<OpenWatch>(w.advanceTo(w.now + kSecond)).empty());
  }
}

// ---- fleet of subscribers ----

// All subscribers, and replicas that answer at once while up and send a heartbeat every 2 s.
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed) {
    for (std::uint32_t member = 0; member < kMembers; ++member) {
      Settings settings;
      settings.member = member;
      settings.replicas = fourReplicas();
      settings.seed = seed * kMembers + member;
      members_.emplace_back(Subscription(settings, inForce(0, "")));
      execute(member, members_[member].subscription.start(now_));
    }
  }

  enum class State : std::uint8_t { Up, Refuses, Frozen };
  void setState(std::size_t replica, State state) {
    states_[replica] = state;
    if (state != State::Refuses) return;
    for (std::uint32_t m = 0; m < kMembers; ++m) {
      for (const auto& [watch, at] : std::map(members_[m].watches)) {
        if (at == replica) execute(m, members_[m].subscription.lost(watch, "connection reset", now_));
      }
    }
  }

  void run(Time length) {
    for (const Time end = now_ + length; now_ < end; now_ += kStep) {
      if (now_ % (2 * kSecond) == 0) sendHeartbeats();
      for (std::uint32_t m = 0; m < kMembers; ++m) {
        while (members_[m].subscription.nextDue() <= now_) execute(m, members_[m].subscription.due(now_));
      }
    }
  }

  std::map<std::size_t, int> watched() const {
    std::map<std::size_t, int> counts;
    for (const Member& m : members_) {
      if (const auto replica = m.subscription.watchedReplica()) ++counts[*replica];
    }
    return counts;
  }
  // Maximum number of calls at one replica within a tenth of a second since the last clearCalls().
  int maxCallsPerTenth() const {
    int max_calls = 0;
    for (const auto& [when, count] : calls_) max_calls = std::max(max_calls, count);
    return max_calls;
  }
  int calls() const {
    int sum = 0;
    for (const auto& [when, count] : calls_) sum += count;
    return sum;
  }
  void clearCalls() { calls_.clear(); }
  Time now() const { return now_; }

 private:
  struct Member {
    explicit Member(Subscription s) : subscription(std::move(s)) {}
    Subscription subscription;
    std::map<WatchId, std::size_t> watches;  // replica by watch
  };

  void execute(std::uint32_t m, const Actions& actions) {
    Member& member = members_[m];
    for (const Action& action : actions) {
      if (const auto* const closed = std::get_if<CloseWatch>(&action)) member.watches.erase(closed->watch);
      if (std::get_if<SendAcknowledgement>(&action) != nullptr) member.subscription.acknowledged(true, now_);
      const auto* const opened = std::get_if<OpenWatch>(&action);
      if (opened == nullptr) continue;
      member.watches[opened->watch] = opened->replica;
      ++calls_[{opened->replica, now_ / (100 * kMillisecond)}];
      if (states_[opened->replica] == State::Refuses) {
        execute(m, member.subscription.lost(opened->watch, "connection refused", now_));
      } else if (states_[opened->replica] == State::Up) {
        execute(m, member.subscription.connected(opened->watch, now_));
        execute(m, member.subscription.received(opened->watch, Heartbeat{}, now_));
      }
    }
  }

  void sendHeartbeats() {
    for (std::uint32_t m = 0; m < kMembers; ++m) {
      for (const auto& [watch, replica] : std::map(members_[m].watches)) {
        if (states_[replica] == State::Up)
          execute(m, members_[m].subscription.received(watch, Heartbeat{}, now_));
      }
    }
  }

  static constexpr Time kStep = 20 * kMillisecond;
  Time now_ = 0;
  std::vector<Member> members_;
  std::array<State, kReplicas> states_{};
  std::map<std::pair<std::size_t, Time>, int> calls_;  // by replica and tenth of a second
};

// 182 or 183 of 730 subscribers lose their watch at once. Spread evenly over a second, that is 6 calls per
// tenth of a second at each of the three remaining replicas.
constexpr int kMaxCallsPerTenth = 20;

TEST(SubscriptionFleet, SubscribersOfACrashedReplicaSpreadOverTimeAndOverTheOthers) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    Fleet fleet(seed);
    fleet.run(20 * kSecond);
    for (const auto& [replica, count] : fleet.watched()) EXPECT_NEAR(count, kMembers / 4, 5);
    fleet.clearCalls();
    fleet.setState(2, Fleet::State::Refuses);
    fleet.run(1100 * kMillisecond);
    const auto others = fleet.watched();
    EXPECT_EQ(others.count(2), 0U);
    int all = 0;
    for (const auto& [replica, count] : others) {
      all += count;
      EXPECT_NEAR(count, kMembers / 3, 10) << "replica " << replica << ", seed " << seed;
    }
    EXPECT_EQ(all, static_cast<int>(kMembers)) << "not all subscribers moved within 1.1 s, seed " << seed;
    EXPECT_LE(fleet.maxCallsPerTenth(), kMaxCallsPerTenth) << "seed " << seed;
    EXPECT_LE(fleet.calls(), 190) << "subscribers of other replicas reconnected";
  }
}

TEST(SubscriptionFleet, SubscribersLeaveAFrozenReplicaWithinSixSeconds) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    Fleet fleet(seed);
    fleet.run(20 * kSecond);
    fleet.clearCalls();
    fleet.setState(0, Fleet::State::Frozen);
    fleet.run(6 * kSecond);
    EXPECT_EQ(fleet.watched().count(0), 0U);
    EXPECT_LE(fleet.maxCallsPerTenth(), kMaxCallsPerTenth) << "seed " << seed;
  }
}

TEST(SubscriptionFleet, SubscribersReturnSlowlyToARecoveredReplica) {
  Fleet fleet(1);
  fleet.run(20 * kSecond);
  fleet.setState(1, Fleet::State::Refuses);
  fleet.run(30 * kSecond);
  fleet.setState(1, Fleet::State::Up);
  fleet.clearCalls();
  fleet.run(4 * kMinute);
  EXPECT_EQ(fleet.watched().count(1), 0U);
  fleet.run(12 * kMinute);
  for (const auto& [replica, count] : fleet.watched()) EXPECT_NEAR(count, kMembers / 4, 5);
  EXPECT_LE(fleet.maxCallsPerTenth(), 4);
}

TEST(SubscriptionFleet, RecoveryOfAllReplicasCausesAtMostTwentyCallsPerTenthOfASecondAtEach) {
  Fleet fleet(1);
  fleet.run(20 * kSecond);
  for (std::size_t r = 0; r < kReplicas; ++r) fleet.setState(r, Fleet::State::Refuses);
  fleet.run(kMinute);
  fleet.clearCalls();
  for (std::size_t r = 0; r < kReplicas; ++r) fleet.setState(r, Fleet::State::Up);
  fleet.run(10 * kSecond);
  int all = 0;
  for (const auto& [replica, count] : fleet.watched()) all += count;
  EXPECT_EQ(all, static_cast<int>(kMembers));
  EXPECT_LE(fleet.maxCallsPerTenth(), kMaxCallsPerTenth);
}

}  // namespace
}  // namespace client_proxy::subscription
