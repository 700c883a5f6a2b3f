// Tests ConnectionGate: time limits, eviction order, connection reuse, and invariants under random sequences
// of events.
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
  // A connection with `times` answered requests, idle since now.
  ConnectionId idleConnection(std::uint32_t from, int times = 1) {
    const ConnectionId id = gate.onAccepted(now, peer(from));
    for (int i = 0; i < times; ++i) sendRequest(id);
    return id;
  }
  RejectionReason sendRequest(ConnectionId id) {
    gate.onFirstByte(now, id);
    gate.onRequest(id);
    const RejectionReason reason = gate.onAnswer(now, id, false);
    if (reason == RejectionReason::None) gate.onIdle(now, id);
    return reason;
  }
  // Sends a request on a new connection, which is closed after its response if the gate returns a reason.
  RejectionReason sendRequestOnNewConnection() {
    const ConnectionId id = gate.onAccepted(now, peer(1));
    const RejectionReason reason = sendRequest(id);
    if (reason != RejectionReason::None) gate.onClosed(id, reason);
    now += 3 * kMs;
    return reason;
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

TEST_F(ConnectionGateTest, EachStateHasItsTimeLimit) {
  const ConnectionId silent = gate.onAccepted(now, peer(1));
  const ConnectionId half = gate.onAccepted(now, peer(1));
  const ConnectionId idle = idleConnection(1);
  now += kSecond;
  gate.onFirstByte(now, half);  // still counted from the acceptance
  now += 1'399 * kMs;
  EXPECT_TRUE(overdue().empty());
  now += kMs;
  EXPECT_EQ(overdue(), std::vector{silent});
  gate.onClosed(silent, RejectionReason::FirstByteTimeout);
  now += 299 * kMs;
  EXPECT_TRUE(overdue().empty());
  now += kMs;
  EXPECT_EQ(overdue(), std::vector{half});
  gate.extend(half, now + 500 * kMs);  // its body is arriving
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
  EXPECT_EQ(overdue(), std::vector{idle}) << "reported again until it is closed";
}

TEST_F(ConnectionGateTest, ACompleteRequestHasNoTimeLimitHere) {
  const ConnectionId id = gate.onAccepted(now, peer(1));
  gate.onFirstByte(now, id);
  gate.onRequest(id);
  now += 3600 * kSecond;
  EXPECT_TRUE(overdue().empty());
}

TEST_F(ConnectionGateTest, PendingInputDefersATimeout) {
  const ConnectionId id = idleConnection(1);
  now += 5 * kSecond;
  ASSERT_EQ(overdue(), std::vector{id});
  gate.notePendingInput(now, id);
  EXPECT_TRUE(overdue().empty());
  now += 200 * kMs;
  EXPECT_EQ(overdue(), std::vector{id});
}

TEST_F(ConnectionGateTest, EvictsSilentBeforeIdleAndReusedLast) {
  const ConnectionId used_once = idleConnection(1);
  const ConnectionId reused = idleConnection(1, 3);
  const ConnectionId silent = gate.onAccepted(now, peer(1));
  std::vector<ConnectionId> order;
  now += kSecond;
  while (const auto victim = gate.evictionCandidate(now)) {
    order.push_back(victim->id);
    gate.onClosed(victim->id, victim->reason);
  }
  EXPECT_EQ(order, (std::vector{silent, used_once, reused}));
}

TEST_F(ConnectionGateTest, DoesNotEvictAConnectionThatWasJustAccepted) {
  gate.onAccepted(now, peer(1));
  now += 10 * kMs;
  EXPECT_FALSE(gate.evictionCandidate(now));
}

TEST_F(ConnectionGateTest, TheSilentGraceFollowsTheFirstByteDelay) {
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

TEST_F(ConnectionGateTest, ASilentConnectionFloodDoesNotEvictIdleConnections) {
  const ConnectionId kept = idleConnection(1);
  now += kSecond;
  std::vector<ConnectionId> silent;
  for (int i = 0; i < 60; ++i) silent.push_back(gate.onAccepted(now, peer(1)));
  EXPECT_FALSE(gate.evictionCandidate(now));
  now += 20 * kMs;
  for (const ConnectionId expected : silent) {
    const auto victim = gate.evictionCandidate(now);
    ASSERT_TRUE(victim);
    EXPECT_EQ(victim->id, expected);
    gate.onClosed(victim->id, victim->reason);
  }
  EXPECT_EQ(gate.evictionCandidate(now)->id, kept);
}

TEST_F(ConnectionGateTest, EvictsFirstFromAnAddressOverItsShare) {
  const ConnectionId other = idleConnection(2);
  now += kSecond;
  std::vector<ConnectionId> of_one_address;
  for (int i = 0; i < 99; ++i) of_one_address.push_back(idleConnection(1));
  now += kSecond;
  const auto victim = gate.evictionCandidate(now);
  ASSERT_TRUE(victim);
  EXPECT_EQ(victim->id, of_one_address.front());
  EXPECT_EQ(victim->reason, RejectionReason::PeerQuota);
  gate.onClosed(other, RejectionReason::None);
  const auto alone = gate.evictionCandidate(now);
  ASSERT_TRUE(alone);
  EXPECT_NE(alone->reason, RejectionReason::PeerQuota) << "the only address is never over its share";
}

TEST_F(ConnectionGateTest, PendingInputProtectsFromEviction) {
  const ConnectionId first = idleConnection(1), second = idleConnection(1);
  now += kSecond;
  ASSERT_EQ(gate.evictionCandidate(now)->id, first);
  gate.notePendingInput(now, first);
  EXPECT_EQ(gate.evictionCandidate(now)->id, second);
  sendRequest(first);
  now += kSecond;
  EXPECT_EQ(gate.evictionCandidate(now)->id, second);
}

TEST_F(ConnectionGateTest, AcceptsAFewBeyondTheLimitToRefuseTheirRequests) {
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

TEST_F(ConnectionGateTest, ServesARequestBeyondTheLimitIfRoomBecameFree) {
  std::vector<ConnectionId> ids;
  for (int i = 0; i < 101; ++i) {
    ids.push_back(gate.onAccepted(now, peer(1)));
    gate.onFirstByte(now, ids.back());
  }
  EXPECT_TRUE(gate.refuses(ids.back()));
  gate.onClosed(ids.front(), RejectionReason::None);
  EXPECT_FALSE(gate.refuses(ids.back()));
}

TEST_F(ConnectionGateTest, SilentConnectionsDoNotCauseRefusals) {
  for (int i = 0; i < 100; ++i) gate.onAccepted(now, peer(1));
  const ConnectionId requesting = gate.onAccepted(now, peer(1));
  gate.onFirstByte(now, requesting);
  EXPECT_FALSE(gate.refuses(requesting));
}

// In an incident the client opened a new connection for each request and kept all of them, until it reached
// its own limit of 128.
TEST_F(ConnectionGateTest, ClosesConnectionsWithTheirResponseWhenClientsDoNotReuseThem) {
  for (int i = 0; i < 15; ++i) idleConnection(1, 20);
  int kept = 0;
  for (int i = 0; i < 300; ++i) kept += sendRequestOnNewConnection() == RejectionReason::None ? 1 : 0;
  EXPECT_LT(kept, 60);
  EXPECT_TRUE(gate.reuse().keepsFewIdle());
  EXPECT_LT(gate.idle(), 60U);
}

TEST_F(ConnectionGateTest, KeepsAllConnectionsAgainOnceTheyAreReused) {
  for (int i = 0; i < 300; ++i) sendRequestOnNewConnection();
  ASSERT_TRUE(gate.reuse().keepsFewIdle());
  // The client closes the connections that were kept; the next few are kept as a trial, and are reused.
  while (const auto victim = gate.evictionCandidate(now)) gate.onClosed(victim->id, RejectionReason::None);
  std::vector<ConnectionId> pool;
  for (int i = 0; i < 8; ++i) pool.push_back(idleConnection(1));
  for (int i = 0; i < 40; ++i) {
    now += 3 * kMs;
    sendRequest(pool[static_cast<std::size_t>(i) % pool.size()]);
  }
  EXPECT_FALSE(gate.reuse().keepsFewIdle());
}

// After a restart all clients connect at once, and each sends its next request only seconds later.
TEST_F(ConnectionGateTest, ManySlowClientsKeepTheirConnectionsAfterARestart) {
  gate = ConnectionGate({.most = 2000, .overflow = 4, .kept = 16});
  std::vector<ConnectionId> clients(500);
  int handshakes = 0;
  for (int round = 0; round < 6; ++round) {
    for (ConnectionId& c : clients) {
      now += 4 * kMs;  // each client sends a request every 2 s
      if (c == 0)
        c = gate.onAccepted(now, peer(static_cast<std::uint32_t>(&c - clients.data()))), ++handshakes;
      if (const RejectionReason reason = sendRequest(c); reason != RejectionReason::None)
        gate.onClosed(std::exchange(c, 0), reason);
    }
  }
  EXPECT_FALSE(gate.reuse().keepsFewIdle());
  EXPECT_LT(handshakes, 1200) << "a little more than two rounds of handshakes, not six";
}

TEST(ReuseJudge, AlternatingClientBehaviourDelaysFurtherChanges) {
  ReusePolicy policy;
  Time now = kSecond;
  int returns = 0;
  for (int i = 0; i < 20'000; ++i, now += 2 * kMs) {
    const bool kept_few = policy.keepsFewIdle();
    const bool reuse_phase = i / 250 % 2 == 0;  // half a second of reuse, then of none
    policy.onRequest(now, reuse_phase ? 2 : 1, 4);
    returns += kept_few && !policy.keepsFewIdle() ? 1 : 0;
  }
  EXPECT_LE(returns, 8) << "40 s, with a change of behaviour every half second";
}

// 100,000 steps per seed: the counts agree with a simple model, no place leaks, and no busy connection is
// evicted.
TEST(ConnectionGateProperties, RandomEventsKeepCountsConsistent) {
  using State = ConnectionGate::State;
  struct ModelConnection {
    State state;
    Time due;
  };
  for (const std::uint32_t seed : {1U, 2U, 3U}) {
    std::mt19937 random(seed);
    const auto below = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
    ConnectionGate gate({.most = 200, .overflow = 8, .kept = 8});
    std::map<ConnectionId, ModelConnection> model;
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
        ASSERT_TRUE(model.emplace(id, ModelConnection{State::Silent, now + limits.silent}).second)
            << "id issued twice";
        ids.push_back(id);
      }
      if (ids.empty()) continue;
      const ConnectionId id = ids[below(static_cast<std::uint32_t>(ids.size()))];
      ModelConnection& k = model.at(id);
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
        gate.onFirstByte(now, 12345);  // unknown and outdated ids
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
