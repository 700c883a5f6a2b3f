// Overlapping troubles and bounds of cost. Each run is judged by the rule checker of the Driver.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "support.h"

namespace load_balancer::test {
namespace {

// Plays `requests` through `d`, `gap` apart; `answer` says how the attempt at a server ends.
template <typename Answer>
int play(Driver& d, RequestId first, int requests, Time gap, Answer answer, std::int32_t cls = 0) {
  int served = 0;
  std::vector<std::pair<Time, std::uint64_t>> timers;
  const auto collect = [&] {
    for (const Action& a : d.actions) {
      if (a.kind == ActionKind::SetTimer) timers.emplace_back(a.time, a.timer);
    }
  };
  for (RequestId id = first; id < first + static_cast<RequestId>(requests); ++id) {
    d.request(id, cls);
    collect();
    for (std::int32_t n = 0; n < 8; ++n) {
      const std::string server = d.sentTo();
      if (server.empty()) break;
      const Result result = answer(server);
      d.now += kMs;
      d.outcome(id, n, result, kMs);
      served += result == Result::Ok ? 1 : 0;
      collect();
    }
    d.now += gap;
    std::vector<std::pair<Time, std::uint64_t>> due;
    std::erase_if(timers, [&](const auto& t) { return t.first <= d.now ? (due.push_back(t), true) : false; });
    for (const auto& t : due) {
      d.timer(t.second);
      for (std::int32_t n = 0; n < 8 && !d.sentTo().empty(); ++n) {
        for (const Action& a : Actions(d.actions)) {
          if (a.kind != ActionKind::Send) continue;
          const auto attempt =
              static_cast<std::int32_t>(d.checker.requests.at(a.request).attempts.size()) - 1;
          d.outcome(a.request, attempt, answer(std::string(a.server)), kMs);
          break;
        }
      }
      collect();
    }
  }
  return served;
}

const auto kFine = [](const std::string&) { return Result::Ok; };

// The restored list names servers that are gone and lacks those that replaced them.
TEST(Combination, AClientRestartsDuringADeployWithAStaleList) {
  Driver d(makeSettings());
  std::vector<Host> old = makeHosts(12);
  d.servers(ListKind::Restored, old);
  const auto gone = [](const std::string& s) {
    return s < "server-006" ? Result::ConnectFailed : Result::Ok;
  };
  EXPECT_GE(play(d, 1, 60, 20 * kMs, gone), 55);
  std::vector<Host> fresh(old.begin() + 6, old.end());
  for (int n = 12; n < 18; ++n) {
    fresh.push_back(makeHost(n));
    fresh.back().started_at = d.now - kSec;
  }
  fresh[0].state = HostState::Draining;
  d.servers(ListKind::Full, fresh);
  EXPECT_GE(play(d, 100, 60, 20 * kMs, gone), 58);
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

TEST(Combination, AHotCallerWhilePartOfItsSubsetIsSilent) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(80));
  const auto subset = d.balancer.subset(d.now);
  const std::set<std::string> silent(subset.begin(), subset.begin() + 4);
  std::map<RequestId, std::string> open;
  int to_silent = 0, late = 0;
  for (RequestId id = 1; id <= 600; ++id) {
    d.request(id, 4);
    const std::string s = d.sentTo();
    if (silent.contains(s)) {
      ++to_silent;
      late += id > 300 ? 1 : 0;
    }
    if (!s.empty()) open[id] = s;
    d.now += 4 * kMs;
    if (id < 20) continue;  // twenty stay in flight
    const RequestId done = id - 19;
    if (open.contains(done) && !silent.contains(open[done])) d.outcome(done, 0, Result::Ok, 80 * kMs);
    if (id > 140 && open.contains(id - 130) && silent.contains(open[id - 130]))
      d.outcome(id - 130, 0, Result::TimedOut, 500 * kMs);
  }
  EXPECT_GT(d.balancer.subset(d.now).size(), 12U);
  EXPECT_GT(to_silent, 0);
  EXPECT_LT(late, 15);  // an even part of a subset of 80 would be 15 of 300
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

TEST(Combination, TheWholeListDrainsAndComesBack) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(10));
  EXPECT_EQ(play(d, 1, 10, kMs, kFine), 10);
  std::vector<Host> draining = makeHosts(10);
  for (Host& h : draining) h.state = HostState::Draining;
  d.servers(ListKind::Changes, draining);
  EXPECT_EQ(play(d, 100, 20, kMs, kFine), 0);
  d.servers(ListKind::Changes, makeHosts(10));
  EXPECT_GE(play(d, 200, 20, 50 * kMs, kFine), 20);
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

TEST(Combination, EveryMemberFailsFastAndRecovers) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(16));
  const auto fails = [](const std::string&) { return Result::Error; };
  EXPECT_EQ(play(d, 1, 300, 5 * kMs, fails), 0);
  EXPECT_LE(d.checker.sends, 300U * 1.2 + 10);
  EXPECT_GE(d.balancer.subset(d.now).size(), 9U);  // the cap: the fault is not theirs
  d.now += 10 * kSec;
  EXPECT_GE(play(d, 1000, 100, 20 * kMs, kFine), 95);
}

TEST(Combination, TheListGrowsFourfoldInOneUpdate) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(30));
  play(d, 1, 200, 5 * kMs, kFine);
  std::vector<Host> grown = makeHosts(120);
  for (int n = 30; n < 120; ++n) grown[static_cast<std::size_t>(n)].started_at = d.now;
  d.servers(ListKind::Full, grown);
  std::set<std::string> used;
  EXPECT_EQ(play(d, 1000, 400, 5 * kMs, [&](const std::string& s) { return used.insert(s), Result::Ok; }),
            400);
  EXPECT_EQ(d.balancer.subset(d.now).size(), 12U);
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

class ClockOffset : public testing::TestWithParam<Time> {};
TEST_P(ClockOffset, ChangesNothing) {
  const auto record = [](Time start) {
    Driver d(makeSettings());
    d.now = start;
    std::vector<Host> hosts = makeHosts(20);
    hosts[3].started_at = start - kSec;
    d.servers(ListKind::Restored, hosts);
    std::vector<std::string> seen;
    play(d, 1, 300, 7 * kMs, [&](const std::string& s) {
      seen.push_back(s);
      return s == "server-005" ? Result::ConnectFailed : Result::Ok;
    });
    return seen;
  };
  EXPECT_EQ(record(GetParam()), record(5'000'000));
}
INSTANTIATE_TEST_SUITE_P(Starts, ClockOffset,
                         testing::Values(Time{1'800'000'000'000'000}, Time{4'000'000'000'000'000'000},
                                         Time{-50'000'000'000}));

TEST(Combination, OneServer) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(1));
  const auto flaky = [n = 0](const std::string&) mutable {
    return ++n % 3 == 0 ? Result::Error : Result::Ok;
  };
  EXPECT_GE(play(d, 1, 90, 20 * kMs, flaky), 55);
}

TEST(Combination, TheFirstAndAFarClientNumber) {
  for (const std::uint32_t client : {0U, 9'999U, 4'000'000'000U}) {
    Settings s = makeSettings();
    s.client = client;
    Driver d(s);
    d.servers(ListKind::Restored, makeHosts(33));
    EXPECT_EQ(play(d, 1, 50, 5 * kMs, kFine), 50);
    EXPECT_EQ(d.balancer.subset(d.now).size(), 12U);
  }
}

// Connections of thousands of clients: no server is known to far more of them than another.
TEST(Combination, ThousandsOfClientsSpreadEvenly) {
  std::map<std::string, int> known;
  for (std::uint32_t client = 0; client < 2000; ++client) {
    Settings s = makeSettings();
    s.client = client;
    Driver d(s);
    d.servers(ListKind::Restored, makeHosts(100));
    for (const std::string& id : d.balancer.subset(d.now)) ++known[id];
  }
  ASSERT_EQ(known.size(), 100U);
  for (const auto& [id, n] : known) {
    EXPECT_GT(n, 240 * 0.9) << id;
    EXPECT_LT(n, 240 * 1.1) << id;
  }
}

// Nothing permitted, nothing told: no probes, reports, cancels, keys, hints or tenants, one attempt.
TEST(Combination, NothingIsPermittedAndNothingTold) {
  Settings s;
  s.classes = {makeClass(Idempotency::NonIdempotent)};
  Driver d(s);
  d.servers(ListKind::Restored, makeHosts(6));
  int fail = 0;
  EXPECT_GE(play(d, 1, 200, 20 * kMs,
                 [&](const std::string&) { return ++fail % 10 == 0 ? Result::TimedOut : Result::Ok; }),
            150);
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

// ---- cost: sizes and counts, never time ----

TEST(Cost, EndedRequestsAndOldServersAreForgotten) {
  Driver d(makeSettings());
  for (int round = 0; round < 50; ++round) {  // every server is replaced, fifty times over
    std::vector<Host> hosts;
    for (int n = 0; n < 15; ++n) hosts.push_back(makeHost(round * 15 + n));
    d.servers(ListKind::Full, hosts);
    play(d, static_cast<RequestId>(round) * 100 + 1, 60, kMs, kFine);
    EXPECT_EQ(d.balancer.liveRequests(), 0U);
    EXPECT_EQ(d.balancer.knownServers(), 15U);
  }
  EXPECT_LE(d.balancer.slotCount(), 30U);
}

// Each ordinary pick looks at the members of the subset, however large the fleet is.
TEST(Cost, APickLooksAtTheSubsetNotTheFleet) {
  const auto looks = [](int servers) {
    Driver d(makeSettings());
    d.servers(ListKind::Restored, makeHosts(servers));
    const std::uint64_t before = d.balancer.hostsExamined();
    play(d, 1, 200, 5 * kMs, kFine);
    return d.balancer.hostsExamined() - before;
  };
  EXPECT_LE(looks(900), 200U * 17);
  EXPECT_EQ(looks(900), looks(100));
}

// The order holds each slot once, so its length is the work of a list change.
TEST(Cost, TheOrderIsAsLongAsTheListOfSlots) {
  for (const std::uint32_t n : {10U, 1'000U, 20'000U}) EXPECT_EQ(subsetOrder(7, n).size(), n);
}

}  // namespace
}  // namespace load_balancer::test
