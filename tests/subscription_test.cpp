// The subscription's state machine, event by event and with a whole fleet of subscribers on a simulated
// clock.
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
std::vector<T> all(const Actions& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const T* const one = std::get_if<T>(&action)) found.push_back(*one);
  }
  return found;
}

// One subscriber whose watch is open and has been heard.
struct Watching {
  explicit Watching(InForce held = inForce(41, "open 64\n"), Settings settings = {})
      : subscription(with(settings), held) {
    watch = all<OpenWatch>(subscription.start(now)).at(0);
    subscription.connected(watch.watch, now);
    subscription.heard(watch.watch, Heartbeat{}, now);
  }
  static Settings with(Settings settings) {
    settings.replicas = fourReplicas();
    settings.seed = 7;
    return settings;
  }
  Actions hear(const distribution::WatchLine& line) { return subscription.heard(watch.watch, line, now); }
  // Goes on to the next thing due that is not before `at`; what was due until then is collected.
  Actions until(Time at) {
    Actions actions;
    while (subscription.nextDue() <= at) {
      now = std::max(now, subscription.nextDue());
      for (Action& action : subscription.due(now)) actions.push_back(std::move(action));
      if (!all<SendAcknowledgement>(actions).empty()) subscription.acknowledged(true, now);
    }
    now = at;
    return actions;
  }
  Time now = kSecond;
  Subscription subscription;
  OpenWatch watch;
};

// ---- the order of replicas ----

using Counts = std::map<std::vector<std::size_t>, int>;

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

TEST(ReplicaOrder, MembersSpreadEvenlyOverTheFirstAndOverTheNextAfterIt) {
  for (const std::uint32_t step : {1U, 2U, 5U, 10U}) {
    for (const auto& [order, count] : prefixes(1, step)) EXPECT_NEAR(count, kMembers / 4, 5) << step;
    const Counts firstTwo = prefixes(2, step);
    EXPECT_EQ(firstTwo.size(), 12U);
    for (const auto& [order, count] : firstTwo) EXPECT_NEAR(count, kMembers / 12, 8) << step;
  }
}

TEST(ReplicaOrder, ReplicasOfTheOwnRegionComeFirst) {
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

TEST(Subscription, AChangeIsTakenAndAcknowledgedBeforeHalfASecond) {
  Watching w;
  const Actions offered = w.hear(distribution::noticeOf(changeOf(42, "open 96\n")));
  ASSERT_EQ(all<Apply>(offered).size(), 1U);
  EXPECT_EQ(all<Apply>(offered)[0].change.text, "open 96\n");
  EXPECT_EQ(w.subscription.inForce().version, 41U) << "it may yet be refused";
  w.subscription.applied({.restart_needed = true}, w.now);
  const auto sent = all<SendAcknowledgement>(w.until(w.now + 500 * kMillisecond));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].replica, w.watch.replica);
  EXPECT_EQ(sent[0].acknowledgement.version, 42U);
  EXPECT_EQ(sent[0].acknowledgement.digest, distribution::digestOf("open 96\n"));
  EXPECT_TRUE(sent[0].acknowledgement.restart_needed);
}

TEST(Subscription, ADeltaIsTakenToWhatIsInForceAndToWhatWasRefused) {
  Watching w;
  const Change first = changeOf(41, "open 64\n"), bad = changeOf(42, "opn 96\n"),
               good = changeOf(43, "open 96\n");
  ASSERT_EQ(all<Apply>(w.hear(distribution::noticeOf(bad, first))).size(), 1U);
  w.subscription.applied({.outcome = Outcome::Refused, .error = "shared.conf:1:1: error: 'opn' is not known"},
                         w.now);
  EXPECT_EQ(w.subscription.inForce().version, 41U);
  distribution::ChangeNotice notice = distribution::noticeOf(good);
  notice.content = distribution::makeDelta(bad, good.text);  // to the text that was refused here
  const auto offered = all<Apply>(w.hear(notice));
  ASSERT_EQ(offered.size(), 1U);
  EXPECT_EQ(offered[0].change.text, good.text);
}

TEST(Subscription, WhatDoesNotCheckIsToldAndNotTriedAgainButALaterVersionIs) {
  Watching w;
  const auto bad = distribution::noticeOf(changeOf(42, "opn 96\n"));
  const std::string error = "shared.conf:1:1: error: 'opn' is not known here; did you mean open?";
  ASSERT_EQ(all<Apply>(w.hear(bad)).size(), 1U);
  w.subscription.applied({.outcome = Outcome::Refused, .error = error}, w.now);
  const auto sent = all<SendAcknowledgement>(w.until(w.now + kSecond));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].acknowledgement.version, 41U);
  ASSERT_TRUE(sent[0].acknowledgement.refused);
  EXPECT_EQ(*sent[0].acknowledgement.refused, (distribution::Refusal{42, bad.digest, error}));
  EXPECT_TRUE(all<Apply>(w.hear(bad)).empty()) << "the same text again";
  ASSERT_EQ(all<Apply>(w.hear(distribution::noticeOf(changeOf(43, "open 96\n")))).size(), 1U);
  w.subscription.applied({}, w.now);
  EXPECT_FALSE(w.subscription.refusal());
}

TEST(Subscription, WhatCouldNotBeStoredIsTriedAgainUntilItIs) {
  Watching w;
  const auto notice = distribution::noticeOf(changeOf(42, "open 96\n"));
  w.hear(notice);
  std::vector<Time> tries;
  for (int i = 0; i < 12; ++i) {
    w.subscription.applied({.outcome = Outcome::NotStored, .error = "shared.conf: No space left on device"},
                           w.now);
    while (all<Apply>(w.until(w.subscription.nextDue())).empty()) w.hear(Heartbeat{});
    tries.push_back(w.now);
  }
  EXPECT_LT(tries[0], kSecond + 1500 * kMillisecond + 1);
  EXPECT_GT(tries[11] - tries[10], 30 * kSecond) << "it backs off";
  EXPECT_TRUE(all<Apply>(w.hear(notice)).empty()) << "it waits already";
  w.subscription.applied({}, w.now);
  EXPECT_EQ(w.subscription.inForce().version, 42U);
}

TEST(Subscription, AfterADeltaWithAWrongDigestTheWholeTextIsAskedOfTheSameReplica) {
  Watching w;
  distribution::ChangeNotice wrong = distribution::noticeOf(changeOf(42, "open 96\n"));
  wrong.content = distribution::Delta{41, distribution::digestOf("open 64\n"), {{5, 2, "97"}}};
  const Actions actions = w.hear(wrong);
  EXPECT_TRUE(all<Apply>(actions).empty());
  const auto opened = all<OpenWatch>(actions);
  ASSERT_EQ(opened.size(), 1U);
  EXPECT_EQ(opened[0].from, 0U);
  EXPECT_EQ(opened[0].replica, w.watch.replica);
  ASSERT_TRUE(w.subscription.refusal());
  EXPECT_EQ(w.subscription.refusal()->error, "the delta gives a text with another digest");
  w.subscription.connected(opened[0].watch, w.now);
  const auto whole =
      w.subscription.heard(opened[0].watch, distribution::noticeOf(changeOf(42, "open 96\n")), w.now);
  EXPECT_EQ(all<Apply>(whole).size(), 1U);
}

TEST(Subscription, ATextThatWasEditedOnDiskIsReplacedByTheOnePublishedUnderItsNumber) {
  InForce edited = inForce(41, "open 65\n");
  edited.as_published = false;
  Watching w(edited);
  EXPECT_EQ(w.watch.from, 0U);
  EXPECT_TRUE(all<Apply>(w.hear(distribution::noticeOf(changeOf(40, "open 32\n")))).empty()) << "a step back";
  Watching again(edited);
  EXPECT_EQ(all<Apply>(again.hear(distribution::noticeOf(changeOf(41, "open 64\n")))).size(), 1U);
}

TEST(Subscription, AfterTheFileWasReplacedARefusedVersionIsTriedAnew) {
  Watching w;
  w.hear(distribution::noticeOf(changeOf(42, "class swap {\n}\n")));
  w.subscription.applied({.outcome = Outcome::Refused, .error = "no such class"}, w.now);
  const auto opened = all<OpenWatch>(w.subscription.replaced(w.subscription.inForce(), w.now));
  ASSERT_EQ(opened.size(), 1U);
  w.subscription.connected(opened[0].watch, w.now);
  const auto offered =
      w.subscription.heard(opened[0].watch, distribution::noticeOf(changeOf(42, "class swap {\n}\n")), w.now);
  EXPECT_EQ(all<Apply>(offered).size(), 1U);
}

// Replicas that lie in every way: older versions, other texts under one number, deltas that do not fit.
TEST(Subscription, VersionsNeverGoBackAndNoNumberHasTwoTextsWhateverReplicasSend) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    load_balancer::Random random(seed);
    Watching w(inForce(3, "text 3\n"));
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
      Actions actions = w.subscription.heard(watch, notice, w.now);
      if (!all<Apply>(actions).empty()) {
        const std::array<Outcome, 3> outcomes = {Outcome::Taken, Outcome::Taken, Outcome::Refused};
        w.subscription.applied({.outcome = outcomes[random.below(3)], .error = "no"}, w.now);
      }
      const InForce& now = w.subscription.inForce();
      ASSERT_GE(now.version, highest) << "seed " << seed << " step " << step;
      highest = now.version;
      ASSERT_EQ(distribution::digestOf(now.text), now.digest);
      const auto [it, first] = seen.try_emplace(now.version, now.text);
      ASSERT_EQ(it->second, now.text) << "two texts of version " << now.version << ", seed " << seed;
      while (!w.subscription.watchedReplica() || all<OpenWatch>(actions).empty() == false) {
        for (const OpenWatch& opened : all<OpenWatch>(actions)) {
          watch = opened.watch;
          w.subscription.connected(watch, w.now);
          w.subscription.heard(watch, Heartbeat{}, w.now);
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

TEST(Subscription, AcknowledgementsAreNumberedRepeatedEachMinuteAndSentAgainWhereTheyDidNotArrive) {
  Settings settings;
  settings.last_sequence = 1000;
  Watching w(inForce(41, "open 64\n"), settings);
  std::vector<std::uint64_t> sequences;
  std::vector<Time> times;
  while (sequences.size() < 6) {
    w.now = w.subscription.nextDue();
    w.hear(Heartbeat{});
    for (const auto& sent : all<SendAcknowledgement>(w.subscription.due(w.now))) {
      sequences.push_back(sent.acknowledgement.sequence);
      times.push_back(w.now);
      w.subscription.acknowledged(sequences.size() != 3, w.now);  // the third is lost
    }
  }
  EXPECT_EQ(sequences, (std::vector<std::uint64_t>{1001, 1002, 1003, 1004, 1005, 1006}));
  EXPECT_EQ(times[1] - times[0], kMinute);
  EXPECT_LE(times[3] - times[2], 750 * kMillisecond);
}

// ---- which replica ----

TEST(Subscription, ASilentReplicaIsLeftAfterTwoMissingHeartbeatsForTheNext) {
  Watching w;
  const Time last = w.now;
  EXPECT_TRUE(all<OpenWatch>(w.until(last + 4299 * kMillisecond)).empty());
  const auto opened = all<OpenWatch>(w.until(last + 5300 * kMillisecond));
  ASSERT_GE(opened.size(), 1U);
  EXPECT_EQ(opened[0].replica, replicaOrder(0, "", fourReplicas())[1]);
}

TEST(Subscription, AReplicaThatAcceptsAndSaysNothingIsLeftToo) {
  Subscription s(Watching::with({}), inForce(0, ""));
  const OpenWatch first = all<OpenWatch>(s.start(kSecond)).at(0);
  EXPECT_EQ(s.nextDue(), 2 * kSecond) << "the time for a connection";
  s.connected(first.watch, kSecond);
  s.due(s.nextDue());  // the acknowledgement
  EXPECT_EQ(s.nextDue(), kSecond + 4300 * kMillisecond);
  EXPECT_EQ(all<CloseWatch>(s.due(s.nextDue())).at(0).watch, first.watch);
}

TEST(Subscription, ReplicasThatCanNotBeReachedAreAskedInTurnMoreAndMoreSlowly) {
  Subscription s(Watching::with({}), inForce(0, ""));
  Time now = kSecond;
  std::vector<OpenWatch> opened = all<OpenWatch>(s.start(now));
  std::vector<Time> times = {now};
  while (opened.size() < 12) {
    s.lost(opened.back().watch, "connection refused", now);
    now = s.nextDue();
    for (const OpenWatch& next : all<OpenWatch>(s.due(now))) opened.push_back(next), times.push_back(now);
  }
  const std::vector<std::size_t> order = replicaOrder(0, "", fourReplicas());
  for (std::size_t i = 0; i < opened.size(); ++i) EXPECT_EQ(opened[i].replica, order[i % kReplicas]);
  for (std::size_t i = 6; i < times.size(); ++i) {
    EXPECT_GE(times[i] - times[i - 1], 2 * kSecond);
    EXPECT_LE(times[i] - times[i - 1], 6 * kSecond);
  }
}

TEST(Subscription, AReplicaThatClosesEachWatchAfterOneLineIsNotHammered) {
  Watching w;
  int opened = 0;
  for (const Time end = w.now + kMinute; w.now < end;) {
    w.subscription.lost(w.watch.watch, "closed", w.now);
    w.now = w.subscription.nextDue();
    w.watch = all<OpenWatch>(w.subscription.due(w.now)).at(0);
    w.subscription.connected(w.watch.watch, w.now);
    w.hear(Heartbeat{});
    ++opened;
  }
  EXPECT_LE(opened, 30);
}

TEST(Subscription, WithoutAQuorumOthersAreTriedAtLeisureAndTheWatchStaysWhereNoneIsBetter) {
  Watching w;
  int tried = 0;
  w.hear(QuorumNotice{1, false});  // told once; heartbeats go on
  for (const Time end = w.now + 60 * kMinute; w.now < end;) {
    w.hear(Heartbeat{});
    w.now += kSecond;
    for (const OpenWatch& candidate : all<OpenWatch>(w.subscription.due(w.now))) {
      ++tried;
      EXPECT_NE(candidate.replica, w.watch.replica);
      w.subscription.connected(candidate.watch, w.now);
      const Actions none = w.subscription.heard(candidate.watch, QuorumNotice{2, false}, w.now);
      EXPECT_EQ(all<CloseWatch>(none).at(0).watch, candidate.watch);
    }
    EXPECT_EQ(w.subscription.watchedReplica(), w.watch.replica);
  }
  EXPECT_GE(tried, 8);
  EXPECT_LE(tried, 30);
  // One that has a quorum takes its place.
  std::vector<OpenWatch> candidate;
  for (const Time end = w.now + 60 * kMinute; candidate.empty() && w.now < end;) {
    w.hear(Heartbeat{});
    w.now += kSecond;
    candidate = all<OpenWatch>(w.subscription.due(w.now));
  }
  ASSERT_FALSE(candidate.empty());
  const Actions moved = w.subscription.heard(candidate[0].watch, Heartbeat{}, w.now);
  EXPECT_EQ(all<CloseWatch>(moved).at(0).watch, w.watch.watch);
  EXPECT_EQ(w.subscription.watchedReplica(), candidate[0].replica);
}

TEST(Subscription, OnceAQuorumIsHeardAgainNoOtherReplicaIsTried) {
  Watching w;
  w.hear(QuorumNotice{1, false});
  EXPECT_TRUE(w.subscription.withoutQuorum());
  w.hear(QuorumNotice{1, true});
  EXPECT_FALSE(w.subscription.withoutQuorum());
  for (int i = 0; i < 60; ++i) {
    w.hear(Heartbeat{});
    EXPECT_TRUE(all<OpenWatch>(w.until(w.now + kSecond)).empty());
  }
}

// ---- a fleet ----

// All subscribers, and replicas that answer at once while they are up and beat every 2 s.
class Fleet {
 public:
  explicit Fleet(std::uint64_t seed) {
    for (std::uint32_t member = 0; member < kMembers; ++member) {
      Settings settings;
      settings.member = member;
      settings.replicas = fourReplicas();
      settings.seed = seed * kMembers + member;
      members_.emplace_back(Subscription(settings, inForce(0, "")));
      act(member, members_[member].subscription.start(now_));
    }
  }

  enum class State : std::uint8_t { Up, Refuses, Frozen };
  void set(std::size_t replica, State state) {
    states_[replica] = state;
    if (state != State::Refuses) return;
    for (std::uint32_t m = 0; m < kMembers; ++m) {
      for (const auto& [watch, at] : std::map(members_[m].watches)) {
        if (at == replica) act(m, members_[m].subscription.lost(watch, "connection reset", now_));
      }
    }
  }

  void run(Time length) {
    for (const Time end = now_ + length; now_ < end; now_ += kStep) {
      if (now_ % (2 * kSecond) == 0) beat();
      for (std::uint32_t m = 0; m < kMembers; ++m) {
        while (members_[m].subscription.nextDue() <= now_) act(m, members_[m].subscription.due(now_));
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
  // Calls in the busiest tenth of a second at one replica, since the last clear().
  int busiestTenth() const {
    int most = 0;
    for (const auto& [when, count] : calls_) most = std::max(most, count);
    return most;
  }
  int calls() const {
    int sum = 0;
    for (const auto& [when, count] : calls_) sum += count;
    return sum;
  }
  void clear() { calls_.clear(); }
  Time now() const { return now_; }

 private:
  struct Member {
    explicit Member(Subscription s) : subscription(std::move(s)) {}
    Subscription subscription;
    std::map<WatchId, std::size_t> watches;  // to their replicas
  };

  void act(std::uint32_t m, const Actions& actions) {
    Member& member = members_[m];
    for (const Action& action : actions) {
      if (const auto* const closed = std::get_if<CloseWatch>(&action)) member.watches.erase(closed->watch);
      if (std::get_if<SendAcknowledgement>(&action) != nullptr) member.subscription.acknowledged(true, now_);
      const auto* const opened = std::get_if<OpenWatch>(&action);
      if (opened == nullptr) continue;
      member.watches[opened->watch] = opened->replica;
      ++calls_[{opened->replica, now_ / (100 * kMillisecond)}];
      if (states_[opened->replica] == State::Refuses) {
        act(m, member.subscription.lost(opened->watch, "connection refused", now_));
      } else if (states_[opened->replica] == State::Up) {
        act(m, member.subscription.connected(opened->watch, now_));
        act(m, member.subscription.heard(opened->watch, Heartbeat{}, now_));
      }
    }
  }

  void beat() {
    for (std::uint32_t m = 0; m < kMembers; ++m) {
      for (const auto& [watch, replica] : std::map(members_[m].watches)) {
        if (states_[replica] == State::Up) act(m, members_[m].subscription.heard(watch, Heartbeat{}, now_));
      }
    }
  }

  static constexpr Time kStep = 20 * kMillisecond;
  Time now_ = 0;
  std::vector<Member> members_;
  std::array<State, kReplicas> states_{};
  std::map<std::pair<std::size_t, Time>, int> calls_;  // by replica and tenth of a second
};

// 182 or 183 of 730 lose their watch at once: evenly over a second that is 6 in a tenth at each of three.
constexpr int kMostInATenth = 20;

TEST(SubscriptionFleet, WhenOneOfFourReplicasDiesItsSubscribersMoveSpreadOverTimeAndOverTheOthers) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5}) {
    Fleet fleet(seed);
    fleet.run(20 * kSecond);
    for (const auto& [replica, count] : fleet.watched()) EXPECT_NEAR(count, kMembers / 4, 5);
    fleet.clear();
    fleet.set(2, Fleet::State::Refuses);
    fleet.run(1100 * kMillisecond);
    const auto others = fleet.watched();
    EXPECT_EQ(others.count(2), 0U);
    int all = 0;
    for (const auto& [replica, count] : others) {
      all += count;
      EXPECT_NEAR(count, kMembers / 3, 10) << "replica " << replica << ", seed " << seed;
    }
    EXPECT_EQ(all, static_cast<int>(kMembers)) << "all are on others within 1.1 s, seed " << seed;
    EXPECT_LE(fleet.busiestTenth(), kMostInATenth) << "seed " << seed;
    EXPECT_LE(fleet.calls(), 190) << "those of the others stay where they are";
  }
}

TEST(SubscriptionFleet, WhenOneOfFourFreezesItsSubscribersHaveLeftItWithinSixSeconds) {
  for (const std::uint64_t seed : {1, 2, 3}) {
    Fleet fleet(seed);
    fleet.run(20 * kSecond);
    fleet.clear();
    fleet.set(0, Fleet::State::Frozen);
    fleet.run(6 * kSecond);
    EXPECT_EQ(fleet.watched().count(0), 0U);
    EXPECT_LE(fleet.busiestTenth(), kMostInATenth) << "seed " << seed;
  }
}

TEST(SubscriptionFleet, AfterAReplicaIsBackItsSubscribersReturnSlowly) {
  Fleet fleet(1);
  fleet.run(20 * kSecond);
  fleet.set(1, Fleet::State::Refuses);
  fleet.run(30 * kSecond);
  fleet.set(1, Fleet::State::Up);
  fleet.clear();
  fleet.run(4 * kMinute);
  EXPECT_EQ(fleet.watched().count(1), 0U);
  fleet.run(12 * kMinute);
  for (const auto& [replica, count] : fleet.watched()) EXPECT_NEAR(count, kMembers / 4, 5);
  EXPECT_LE(fleet.busiestTenth(), 4);
}

TEST(SubscriptionFleet, WhenAllReplicasComeBackAfterAMinuteNoTenthOfASecondHasMoreThanTwentyCallsAtOne) {
  Fleet fleet(1);
  fleet.run(20 * kSecond);
  for (std::size_t r = 0; r < kReplicas; ++r) fleet.set(r, Fleet::State::Refuses);
  fleet.run(kMinute);
  fleet.clear();
  for (std::size_t r = 0; r < kReplicas; ++r) fleet.set(r, Fleet::State::Up);
  fleet.run(10 * kSecond);
  int all = 0;
  for (const auto& [replica, count] : fleet.watched()) all += count;
  EXPECT_EQ(all, static_cast<int>(kMembers));
  EXPECT_LE(fleet.busiestTenth(), kMostInATenth);
}

}  // namespace
}  // namespace client_proxy::subscription
