// The gate for connections: what it decides, event by event, and what no sequence of events may break.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "admission/connections.h"

namespace client_proxy::admission {
namespace {

constexpr Time kMs = 1'000, kSecond = 1'000'000;

PeerAddress peer(std::uint32_t n) {
  PeerAddress a{};
  for (int i = 0; i < 4; ++i) a[15 - i] = static_cast<std::uint8_t>(n >> (8 * i));
  return a;
}

class ConnectionGateTest : public ::testing::Test {
 protected:
  // A connection that has asked and was answered `times` times, and rests since now.
  ConnectionId rested(std::uint32_t from, int times = 1) {
    const ConnectionId id = gate.onAccepted(now, peer(from));
    for (int i = 0; i < times; ++i) ask(id);
    return id;
  }
  RejectionReason ask(ConnectionId id) {
    gate.onFirstByte(now, id);
    gate.onRequest(id);
    const RejectionReason verdict = gate.onAnswer(now, id, false);
    if (verdict == RejectionReason::None) gate.onIdle(now, id);
    return verdict;
  }
  // A request on a connection of its own; closed with its answer where that is the verdict.
  RejectionReason askOnce() {
    const ConnectionId id = gate.onAccepted(now, peer(1));
    const RejectionReason verdict = ask(id);
    if (verdict != RejectionReason::None) gate.onClosed(id, verdict);
    now += 3 * kMs;
    return verdict;
  }
  std::vector<ConnectionId> overdue() {
    std::vector<ConnectionGate::Overdue> all;
    gate.overdue(now, all);
    std::vector<ConnectionId> ids;
    for (const auto& o : all) ids.push_back(o.id);
    return ids;
  }

  Time now = 100 * kSecond;
  ConnectionGate gate{{.most = 100, .overflow = 4, .kept = 8}};
};

TEST_F(ConnectionGateTest, EachStateHasItsTime) {
  const ConnectionId silent = gate.onAccepted(now, peer(1));
  const ConnectionId half = gate.onAccepted(now, peer(1));
  const ConnectionId idle = rested(1);
  now += kSecond;
  gate.onFirstByte(now, half);  // counted from the acceptance all the same
  now += 1'399 * kMs;
  EXPECT_TRUE(overdue().empty());
  now += kMs;
  EXPECT_EQ(overdue(), std::vector{silent});
  gate.onClosed(silent, RejectionReason::FirstByteTimeout);
  now += 299 * kMs;
  EXPECT_TRUE(overdue().empty());
  now += kMs;
  EXPECT_EQ(overdue(), std::vector{half});
  gate.extend(half, now + 500 * kMs);  // its body comes
  now += 499 * kMs;
  EXPECT_TRUE(overdue().empty());
  now += kMs;
  EXPECT_EQ(overdue(), std::vector{half});
  gate.extend(half, 0);
  EXPECT_TRUE(overdue().empty());
  gate.onClosed(half, RejectionReason::RequestTimeout);
  now += 799 * kMs;
  EXPECT_TRUE(overdue().empty());
  now += kMs;
  EXPECT_EQ(overdue(), std::vector{idle});
  EXPECT_EQ(overdue(), std::vector{idle}) << "it stays until it is closed";
}

TEST_F(ConnectionGateTest, AWaitingRequestIsNeverOverdueHere) {
  const ConnectionId id = gate.onAccepted(now, peer(1));
  gate.onFirstByte(now, id);
  gate.onRequest(id);
  now += 3600 * kSecond;
  EXPECT_TRUE(overdue().empty());
}

TEST_F(ConnectionGateTest, AnOverdueOneWithInputIsLookedAtAgain) {
  const ConnectionId id = rested(1);
  now += 5 * kSecond;
  ASSERT_EQ(overdue(), std::vector{id});
  gate.notePendingInput(now, id);
  EXPECT_TRUE(overdue().empty());
  now += 200 * kMs;
  EXPECT_EQ(overdue(), std::vector{id});
}

TEST_F(ConnectionGateTest, WhoNeverSaidAnythingGoesBeforeWhoAsked) {
  const ConnectionId asked = rested(1);
  const ConnectionId often = rested(1, 3);
  const ConnectionId silent = gate.onAccepted(now, peer(1));
  std::vector<ConnectionId> order;
  now += kSecond;
  while (const auto victim = gate.evictionCandidate(now)) {
    order.push_back(victim->id);
    gate.onClosed(victim->id, victim->reason);
  }
  EXPECT_EQ(order, (std::vector{silent, asked, often}));
}

TEST_F(ConnectionGateTest, WhoHasConnectedJustNowIsNotClosed) {
  gate.onAccepted(now, peer(1));
  now += 10 * kMs;
  EXPECT_FALSE(gate.evictionCandidate(now));
}

TEST_F(ConnectionGateTest, TheGraceOfSilentOnesFollowsHowSoonClientsAsk) {
  for (int i = 0; i < 400; ++i) {
    const ConnectionId id = gate.onAccepted(now, peer(1));
    now += kMs;
    gate.onFirstByte(now, id);
    gate.onClosed(id, RejectionReason::None);
  }
  EXPECT_EQ(gate.silentGrace(), 20 * kMs);
  const ConnectionId late = gate.onAccepted(now, peer(1));
  now += 40 * kMs;
  gate.onFirstByte(now, late);
  EXPECT_EQ(gate.silentGrace(), 160 * kMs);
}

TEST_F(ConnectionGateTest, InACrowdThatSaysNothingNoKeptOneGoesForAnotherOfThem) {
  const ConnectionId kept = rested(1);
  now += kSecond;
  std::vector<ConnectionId> crowd;
  for (int i = 0; i < 60; ++i) crowd.push_back(gate.onAccepted(now, peer(1)));
  EXPECT_FALSE(gate.evictionCandidate(now));
  now += 20 * kMs;
  for (const ConnectionId expected : crowd) {
    const auto victim = gate.evictionCandidate(now);
    ASSERT_TRUE(victim);
    EXPECT_EQ(victim->id, expected);
    gate.onClosed(victim->id, victim->reason);
  }
  EXPECT_EQ(gate.evictionCandidate(now)->id, kept);
}

TEST_F(ConnectionGateTest, OneAddressThatHoldsFarMoreGivesWayFirst) {
  const ConnectionId other = rested(2);
  now += kSecond;
  std::vector<ConnectionId> crowd;
  for (int i = 0; i < 99; ++i) crowd.push_back(rested(1));
  now += kSecond;
  const auto victim = gate.evictionCandidate(now);
  ASSERT_TRUE(victim);
  EXPECT_EQ(victim->id, crowd.front());
  EXPECT_EQ(victim->reason, RejectionReason::PeerQuota);
  gate.onClosed(other, RejectionReason::None);
  const auto alone = gate.evictionCandidate(now);
  ASSERT_TRUE(alone);
  EXPECT_NE(alone->reason, RejectionReason::PeerQuota) << "the only address is not over a share";
}

TEST_F(ConnectionGateTest, InputThatWaitsProtects) {
  const ConnectionId first = rested(1), second = rested(1);
  now += kSecond;
  ASSERT_EQ(gate.evictionCandidate(now)->id, first);
  gate.notePendingInput(now, first);
  EXPECT_EQ(gate.evictionCandidate(now)->id, second);
  ask(first);
  now += kSecond;
  EXPECT_EQ(gate.evictionCandidate(now)->id, second);
}

TEST_F(ConnectionGateTest, BeyondTheBoundAFewAreTakenToBeRefused) {
  for (int i = 0; i < 100; ++i) gate.onFirstByte(now, gate.onAccepted(now, peer(1)));
  EXPECT_TRUE(gate.full());
  EXPECT_FALSE(gate.overfull());
  const ConnectionId beyond = gate.onAccepted(now, peer(1));
  gate.onFirstByte(now, beyond);
  EXPECT_TRUE(gate.refuses(beyond));
  EXPECT_EQ(gate.onAnswer(now, beyond, false), RejectionReason::ConnectionLimit);
  for (int i = 0; i < 3; ++i) gate.onAccepted(now, peer(1));
  EXPECT_TRUE(gate.overfull());
}

TEST_F(ConnectionGateTest, ARequestBeyondTheBoundIsServedIfThereIsRoomByThen) {
  std::vector<ConnectionId> ids;
  for (int i = 0; i < 101; ++i) {
    ids.push_back(gate.onAccepted(now, peer(1)));
    gate.onFirstByte(now, ids.back());
  }
  EXPECT_TRUE(gate.refuses(ids.back()));
  gate.onClosed(ids.front(), RejectionReason::None);
  EXPECT_FALSE(gate.refuses(ids.back()));
}

TEST_F(ConnectionGateTest, ThoseThatSayNothingAreNoReasonToRefuse) {
  for (int i = 0; i < 100; ++i) gate.onAccepted(now, peer(1));
  const ConnectionId asks = gate.onAccepted(now, peer(1));
  gate.onFirstByte(now, asks);
  EXPECT_FALSE(gate.refuses(asks));
}

// The incident: each request on a connection of its own that the client keeps; 128 of them were all it had.
TEST_F(ConnectionGateTest, ConnectionsThatNobodyUsesAgainAreClosedWithTheirAnswer) {
  for (int i = 0; i < 15; ++i) rested(1, 20);
  int kept = 0;
  for (int i = 0; i < 300; ++i) kept += askOnce() == RejectionReason::None ? 1 : 0;
  EXPECT_LT(kept, 60);
  EXPECT_TRUE(gate.reuse().keepsFewIdle());
  EXPECT_LT(gate.idle(), 60U);
}

TEST_F(ConnectionGateTest, ItKeepsThemAgainOnceTheyAreUsed) {
  for (int i = 0; i < 300; ++i) askOnce();
  ASSERT_TRUE(gate.reuse().keepsFewIdle());
  // Those it kept are closed by the client; the next few are kept for trial and used.
  while (const auto victim = gate.evictionCandidate(now)) gate.onClosed(victim->id, RejectionReason::None);
  std::vector<ConnectionId> pool;
  for (int i = 0; i < 8; ++i) pool.push_back(rested(1));
  for (int i = 0; i < 40; ++i) {
    now += 3 * kMs;
    ask(pool[static_cast<std::size_t>(i) % pool.size()]);
  }
  EXPECT_FALSE(gate.reuse().keepsFewIdle());
}

// After a restart all come at once, and each asks again only seconds later.
TEST_F(ConnectionGateTest, ManySlowClientsGetTheirKeptConnectionsBack) {
  gate = ConnectionGate({.most = 2000, .overflow = 4, .kept = 16});
  std::vector<ConnectionId> clients(500);
  int handshakes = 0;
  for (int round = 0; round < 6; ++round) {
    for (ConnectionId& c : clients) {
      now += 4 * kMs;  // each asks every 2 s
      if (c == 0)
        c = gate.onAccepted(now, peer(static_cast<std::uint32_t>(&c - clients.data()))), ++handshakes;
      if (const RejectionReason verdict = ask(c); verdict != RejectionReason::None)
        gate.onClosed(std::exchange(c, 0), verdict);
    }
  }
  EXPECT_FALSE(gate.reuse().keepsFewIdle());
  EXPECT_LT(handshakes, 1200) << "two rounds' worth and a little, not six";
}

TEST(ReuseJudge, ClientsThatChangeTheirMindOftenMakeItSlower) {
  ReusePolicy judge;
  Time now = kSecond;
  int returns = 0;
  for (int i = 0; i < 20'000; ++i, now += 2 * kMs) {
    const bool was = judge.keepsFewIdle();
    const bool phase = i / 250 % 2 == 0;  // half a second of each
    judge.onRequest(now, phase ? 2 : 1, 4);
    returns += was && !judge.keepsFewIdle() ? 1 : 0;
  }
  EXPECT_LE(returns, 8) << "40 s, 40 changes";
}

// 100,000 seeded steps: counts agree with a plain model, no place leaks, nothing is closed that asks.
TEST(ConnectionGateProperties, NoSequenceOfEventsBreaksACount) {
  using State = ConnectionGate::State;
  struct Known {
    State state;
    Time due;
  };
  for (const std::uint32_t seed : {1U, 2U, 3U}) {
    std::mt19937 random(seed);
    const auto below = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
    ConnectionGate gate({.most = 200, .overflow = 8, .kept = 8});
    std::map<ConnectionId, Known> model;
    std::vector<ConnectionId> ids;
    Time now = 50 * kSecond;
    const ConnectionGate::Limits& limits = gate.limits();
    std::uint64_t closed = 0;
    const auto close = [&](ConnectionId id, RejectionReason reason) {
      gate.onClosed(id, reason);
      model.erase(id);
      ids.erase(std::find(ids.begin(), ids.end(), id));
      ++closed;
    };
    for (int step = 0; step < 100'000; ++step) {
      now += below(8) == 0 ? below(100'000) : below(500);
      if (!gate.overfull() && below(3) == 0) {
        if (gate.full()) {
          if (const auto v = gate.evictionCandidate(now)) {
            const State s = model.at(v->id).state;
            ASSERT_TRUE(s == State::Silent || s == State::Idle);
            close(v->id, v->reason);
          }
        }
        const ConnectionId id = gate.onAccepted(now, peer(below(5) == 0 ? below(1000) : below(4)));
        ASSERT_TRUE(model.emplace(id, Known{State::Silent, now + limits.silent}).second) << "an id twice";
        ids.push_back(id);
      }
      if (ids.empty()) continue;
      const ConnectionId id = ids[below(static_cast<std::uint32_t>(ids.size()))];
      Known& k = model.at(id);
      switch (k.state) {
        case State::Silent:
        case State::Idle:
          if (below(4) == 0) break;
          gate.onFirstByte(now, id);
          k = {State::Reading, (k.state == State::Silent ? k.due - limits.silent : now) + limits.request};
          break;
        case State::Reading:
          gate.onRequest(id);
          k = {State::Waiting, INT64_MAX};
          break;
        case State::Waiting:
          if (gate.onAnswer(now, id, below(9) == 0) == RejectionReason::None) {
            gate.onIdle(now, id);
            k = {State::Idle, now + limits.idle};
          } else {
            gate.onLinger(now, id);
            k = {State::Lingering, now + limits.linger};
          }
          break;
        default:
          break;
      }
      if (below(20) == 0) close(id, RejectionReason::None);
      if (below(50) == 0) {
        gate.onFirstByte(now, 12345);  // ids it never gave or that are gone
        gate.onClosed(id ^ (std::uint64_t{1} << 40), RejectionReason::None);
      }
      if (step % 50 != 0) continue;
      std::vector<ConnectionGate::Overdue> late;
      gate.overdue(now, late);
      std::size_t expected = 0;
      for (const auto& [i, m] : model) expected += m.due <= now ? 1 : 0;
      ASSERT_EQ(late.size(), expected);
      for (const auto& o : late) {
        ASSERT_EQ(o.state, model.at(o.id).state);
        close(o.id, ConnectionGate::reasonOf(o.state));
      }
      std::size_t silent = 0, idle = 0;
      for (const auto& [i, m] : model) {
        silent += m.state == State::Silent ? 1 : 0;
        idle += m.state == State::Idle ? 1 : 0;
      }
      ASSERT_EQ(gate.connections(), model.size());
      ASSERT_EQ(gate.silent(), silent);
      ASSERT_EQ(gate.idle(), idle);
      ASSERT_LE(gate.connections(), limits.most + limits.overflow);
      ASSERT_EQ(gate.accepted(), closed + model.size());
    }
    while (!ids.empty()) close(ids.back(), RejectionReason::Shutdown);
    EXPECT_EQ(gate.connections() + gate.silent() + gate.idle() + gate.peers(), 0U);
  }
}

}  // namespace
}  // namespace client_proxy::admission
