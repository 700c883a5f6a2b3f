// Combinations of faults, and bounds on the memory and work of a Balancer. The Driver checks every action
// against the rules.
#include <gtest/gtest.h>

#include <map>
#include <set>

#include "support.h"

namespace load_balancer::test {
namespace {

// Sends `requests` requests through `d`, `gap` apart, with ids from `first` on, and fires timers as they fall
// due. `answer` returns the result of an attempt at a server. Returns how many attempts succeeded, not
// counting those that a timer started.
template <typename Answer>
int sendRequests(Driver& d, RequestId first, int requests, Time gap, Answer answer, std::int32_t cls = 0) {
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

const auto kAlwaysOk = [](const std::string&) { return Result::Ok; };

// The restored list contains servers that no longer exist and lacks those that replaced them.
TEST(Combination, ClientRestartsDuringADeployWithAStaleList) {
  Driver d(makeSettings());
  std::vector<Host> old = makeHosts(12);
  d.servers(ListKind::Restored, old);
  const auto fails_if_removed = [](const std::string& s) {
    return s < "server-006" ? Result::ConnectFailed : Result::Ok;
  };
  EXPECT_GE(sendRequests(d, 1, 60, 20 * kMs, fails_if_removed), 55);
  std::vector<Host> updated(old.begin() + 6, old.end());
  for (int n = 12; n < 18; ++n) {
    updated.push_back(makeHost(n));
    updated.back().started_at = d.now - kSec;
  }
  updated[0].state = HostState::Draining;
  d.servers(ListKind::Full, updated);
  EXPECT_GE(sendRequests(d, 100, 60, 20 * kMs, fails_if_removed), 58);
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

TEST(Combination, BusyClientAvoidsSilentMembersOfItsSubset) {
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
    if (id < 20) continue;  // 20 requests stay in flight
    const RequestId done = id - 19;
    if (open.contains(done) && !silent.contains(open[done])) d.outcome(done, 0, Result::Ok, 80 * kMs);
    if (id > 140 && open.contains(id - 130) && silent.contains(open[id - 130]))
      d.outcome(id - 130, 0, Result::TimedOut, 500 * kMs);
  }
  EXPECT_GT(d.balancer.subset(d.now).size(), 12U);
  EXPECT_GT(to_silent, 0);
  EXPECT_LT(late, 15);  // 4 of 80 servers would get 15 of 300 requests if all were in use evenly
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

TEST(Combination, AllServersDrainAndComeBack) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(10));
  EXPECT_EQ(sendRequests(d, 1, 10, kMs, kAlwaysOk), 10);
  std::vector<Host> draining = makeHosts(10);
  for (Host& h : draining) h.state = HostState::Draining;
  d.servers(ListKind::Changes, draining);
  EXPECT_EQ(sendRequests(d, 100, 20, kMs, kAlwaysOk), 0);
  d.servers(ListKind::Changes, makeHosts(10));
  EXPECT_GE(sendRequests(d, 200, 20, 50 * kMs, kAlwaysOk), 20);
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

TEST(Combination, AllServersFailFastAndRecover) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(16));
  const auto fails = [](const std::string&) { return Result::Error; };
  EXPECT_EQ(sendRequests(d, 1, 300, 5 * kMs, fails), 0);
  EXPECT_LE(d.checker.sends, 300U * 1.2 + 10);
  EXPECT_GE(d.balancer.subset(d.now).size(),
            9U);  // ejections are capped, as a fault of all is no server's own
  d.now += 10 * kSec;
  EXPECT_GE(sendRequests(d, 1000, 100, 20 * kMs, kAlwaysOk), 95);
}

TEST(Combination, ListGrowsFourfoldInOneUpdate) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(30));
  sendRequests(d, 1, 200, 5 * kMs, kAlwaysOk);
  std::vector<Host> grown = makeHosts(120);
  for (int n = 30; n < 120; ++n) grown[static_cast<std::size_t>(n)].started_at = d.now;
  d.servers(ListKind::Full, grown);
  std::set<std::string> used;
  EXPECT_EQ(
      sendRequests(d, 1000, 400, 5 * kMs, [&](const std::string& s) { return used.insert(s), Result::Ok; }),
      400);
  EXPECT_EQ(d.balancer.subset(d.now).size(), 12U);
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

class ClockOffset : public testing::TestWithParam<Time> {};
TEST_P(ClockOffset, DoesNotChangeTheChoices) {
  const auto record = [](Time start) {
    Driver d(makeSettings());
    d.now = start;
    std::vector<Host> hosts = makeHosts(20);
    hosts[3].started_at = start - kSec;
    d.servers(ListKind::Restored, hosts);
    std::vector<std::string> servers;
    sendRequests(d, 1, 300, 7 * kMs, [&](const std::string& s) {
      servers.push_back(s);
      return s == "server-005" ? Result::ConnectFailed : Result::Ok;
    });
    return servers;
  };
  EXPECT_EQ(record(GetParam()), record(5'000'000));
}
INSTANTIATE_TEST_SUITE_P(Starts, ClockOffset,
                         testing::Values(Time{1'800'000'000'000'000}, Time{4'000'000'000'000'000'000},
                                         Time{-50'000'000'000}));

TEST(Combination, OnlyServerIsUsedDespiteErrors) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(1));
  const auto flaky = [n = 0](const std::string&) mutable {
    return ++n % 3 == 0 ? Result::Error : Result::Ok;
  };
  EXPECT_GE(sendRequests(d, 1, 90, 20 * kMs, flaky), 55);
}

TEST(Combination, LowestAndHighClientNumbersHaveFullSubsets) {
  for (const std::uint32_t client : {0U, 9'999U, 4'000'000'000U}) {
    Settings s = makeSettings();
    s.client = client;
    Driver d(s);
    d.servers(ListKind::Restored, makeHosts(33));
    EXPECT_EQ(sendRequests(d, 1, 50, 5 * kMs, kAlwaysOk), 50);
    EXPECT_EQ(d.balancer.subset(d.now).size(), 12U);
  }
}

// No server is in the subsets of far more clients than another, which would give it more connections.
TEST(Combination, ThousandsOfClientsSpreadEvenly) {
  std::map<std::string, int> subset_counts;
  for (std::uint32_t client = 0; client < 2000; ++client) {
    Settings s = makeSettings();
    s.client = client;
    Driver d(s);
    d.servers(ListKind::Restored, makeHosts(100));
    for (const std::string& id : d.balancer.subset(d.now)) ++subset_counts[id];
  }
  ASSERT_EQ(subset_counts.size(), 100U);
  for (const auto& [id, n] : subset_counts) {
    EXPECT_GT(n, 240 * 0.9) << id;
    EXPECT_LT(n, 240 * 1.1) << id;
  }
}

// Defaults only: no health checks, load reports, cancellation, keys, work hints or tenants, and a single
// attempt.
TEST(Combination, DefaultSettingsServeWithSingleAttempts) {
  Settings s;
  s.classes = {makeClass(Idempotency::NonIdempotent)};
  Driver d(s);
  d.servers(ListKind::Restored, makeHosts(6));
  int attempts = 0;
  EXPECT_GE(
      sendRequests(d, 1, 200, 20 * kMs,
                   [&](const std::string&) { return ++attempts % 10 == 0 ? Result::TimedOut : Result::Ok; }),
      150);
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

// ---- cost, measured by sizes and counts rather than by time ----

TEST(Cost, EndedRequestsAndRemovedServersAreNotKept) {
  Driver d(makeSettings());
  for (int round = 0; round < 50; ++round) {  // each round replaces every server
    std::vector<Host> hosts;
    for (int n = 0; n < 15; ++n) hosts.push_back(makeHost(round * 15 + n));
    d.servers(ListKind::Full, hosts);
    sendRequests(d, static_cast<RequestId>(round) * 100 + 1, 60, kMs, kAlwaysOk);
    EXPECT_EQ(d.balancer.liveRequests(), 0U);
    EXPECT_EQ(d.balancer.knownServers(), 15U);
  }
  EXPECT_LE(d.balancer.slotCount(), 30U);
}

// An ordinary choice examines the members of the subset only, however many servers are listed.
TEST(Cost, ChoiceExaminesTheSubsetOnly) {
  const auto examined = [](int servers) {
    Driver d(makeSettings());
    d.servers(ListKind::Restored, makeHosts(servers));
    const std::uint64_t before = d.balancer.hostsExamined();
    sendRequests(d, 1, 200, 5 * kMs, kAlwaysOk);
    return d.balancer.hostsExamined() - before;
  };
  EXPECT_LE(examined(900), 200U * 17);
  EXPECT_EQ(examined(900), examined(100));
}

// The order contains each slot once, so the work for a list change is proportional to the number of slots.
TEST(Cost, SubsetOrderContainsEachSlotOnce) {
  for (const std::uint32_t n : {10U, 1'000U, 20'000U}) EXPECT_EQ(subsetOrder(7, n).size(), n);
}

}  // namespace
}  // namespace load_balancer::test
