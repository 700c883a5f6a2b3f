// Tests of the Balancer's decisions, one small scenario each: subsets, choice of a server, outlier ejection,
// slow start, load shedding, retries, load reports, discovery, invalid input and zones.
#include <gtest/gtest.h>

#include <limits>
#include <map>
#include <set>
#include <stdexcept>

#include "support.h"

namespace load_balancer::test {
namespace {

// ---- slots and subset ----

TEST(Subset, SizeIsBoundedAndMembersAreAPrefixOfTheOrder) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(100));
  const auto subset = d.balancer.subset(d.now);
  const auto order = subsetOrder(0, 100);
  ASSERT_LT(subset.size(), 50U);
  for (std::size_t i = 0; i < subset.size(); ++i)
    EXPECT_EQ(subset[i], makeHost(static_cast<int>(order[i])).id);
}

TEST(Subset, ListOrderDoesNotMatter) {
  std::vector<Host> hosts = makeHosts(40);
  Driver a(makeSettings()), b(makeSettings());
  a.servers(ListKind::Restored, hosts);
  std::reverse(hosts.begin(), hosts.end());
  b.servers(ListKind::Restored, hosts);
  EXPECT_EQ(a.balancer.subset(a.now), b.balancer.subset(b.now));
}

TEST(Subset, RemovingAMemberReplacesOnlyThatMember) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(60));
  const auto before = d.balancer.subset(d.now);
  Host removed = makeHost(std::stoi(before[3].substr(7)), HostState::Removed);
  d.servers(ListKind::Changes, {removed});
  const auto after = d.balancer.subset(d.now);
  ASSERT_EQ(after.size(), before.size());
  const std::set<std::string> was(before.begin(), before.end());
  int added = 0;
  for (const std::string& id : after) added += was.contains(id) ? 0 : 1;
  EXPECT_EQ(added, 1);
}

TEST(Subset, NewServerTakesTheSlotOfTheRemovedOne) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(60));
  auto expected = d.balancer.subset(d.now);
  const std::string left = expected[5];
  d.servers(ListKind::Changes, {makeHost(std::stoi(left.substr(7)), HostState::Removed)});
  d.servers(ListKind::Changes, {makeHost(900)});
  expected[5] = makeHost(900).id;
  EXPECT_EQ(d.balancer.subset(d.now), expected);
}

TEST(Subset, DrainingServerIsSkippedAndTheNextOneSubstitutesIt) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(60));
  const auto before = d.balancer.subset(d.now);
  d.servers(ListKind::Changes, {makeHost(std::stoi(before[0].substr(7)), HostState::Draining)});
  const auto after = d.balancer.subset(d.now);
  ASSERT_EQ(after.size(), before.size());
  for (std::size_t i = 1; i < before.size(); ++i) EXPECT_EQ(after[i - 1], before[i]);
}

// A client extends its subset when its own demand exceeds it. The members that it had stay.
TEST(Subset, GrowsWithOwnDemandAndShrinksAfterwards) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(100));
  const auto before = d.balancer.subset(d.now);
  for (RequestId id = 1; id <= 60; ++id) d.request(id, 4);
  const auto longer = d.balancer.subset(d.now);
  EXPECT_GT(longer.size(), before.size());
  for (std::size_t i = 0; i < before.size(); ++i) EXPECT_EQ(longer[i], before[i]);
  d.now += 50 * kMs;
  for (RequestId id = 1; id <= 60; ++id) {
    if (!d.checker.requests.at(id).ended) d.outcome(id, 0, Result::Ok, 50 * kMs);
  }
  for (RequestId id = 100; id < 500; ++id) {
    d.now += 300 * kMs;
    d.request(id, 4);
    d.outcome(id, 0, Result::Ok, 50 * kMs);
  }
  EXPECT_EQ(d.balancer.subset(d.now), before);
}

// With fewer servers than the subset's ordinary length there is nothing to extend, whatever the demand.
TEST(Subset, ListShorterThanTheSubsetIsNeverExtended) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(6));
  for (RequestId id = 1; id <= 60; ++id) {
    d.now += 100 * kMs;
    d.request(id, 0);
    EXPECT_FALSE(d.logged("subset lengthened")) << id;
  }
  EXPECT_EQ(d.balancer.subset(d.now).size(), 6U);
}

// ---- pick ----

TEST(Pick, FewestInFlightThenRoundRobin) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(4));
  std::map<std::string, int> sent;
  for (RequestId id = 1; id <= 8; ++id) {
    d.request(id, 4);
    ++sent[d.sentTo()];
  }
  EXPECT_EQ(sent.size(), 4U);
  for (const auto& [server, n] : sent) EXPECT_EQ(n, 2) << server;
}

// An attempt counts as in flight until its one outcome, even if its request ended before.
TEST(Pick, AbandonedAttemptsCountUntilTheirOutcome) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(2));
  d.request(1, 4);
  const std::string busy = d.sentTo();
  d.clientDisconnected(1);
  for (RequestId id = 2; id <= 5; ++id) {
    d.request(id, 4);
    EXPECT_NE(d.sentTo(), busy);
    d.now += kMs;
    d.outcome(id, 0, Result::Ok, kMs);
  }
  d.outcome(1, 0, Result::Cancelled);
  d.outcome(1, 0, Result::Cancelled);  // a second outcome is ignored
  EXPECT_EQ(d.balancer.liveRequests(), 0U);
}

// ---- rule 1 ----

TEST(Answers, WithoutServersTheRequestIsRejectedInTime) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, {});
  d.request(1, 4, 400 * kMs);
  for (int i = 0; i < 100 && !d.checker.requests.at(1).ended; ++i) {
    Time due_at = 0;
    std::uint64_t handle = 0;
    for (const Action& a : d.actions) {
      if (a.kind == ActionKind::SetTimer) due_at = a.time, handle = a.timer;
    }
    ASSERT_GT(due_at, 0) << "a queued request has no timer";
    d.now = due_at;
    d.timer(handle);
  }
  EXPECT_TRUE(d.checker.requests.at(1).ended);
  EXPECT_EQ(d.checker.violations, std::vector<std::string>{});
}

TEST(Answers, LessTimeThanATickIsRejectedAtOnce) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(4));
  d.request(1, 4, kMs);
  EXPECT_EQ(d.count(ActionKind::Reject), 1);
}

TEST(Answers, QueuedRequestGoesToAServerThatAppears) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, {});
  d.request(1, 4);
  const std::uint64_t handle = d.actions.at(0).timer;
  const Time due_at = d.actions.at(0).time;
  d.servers(ListKind::Changes, makeHosts(1));
  d.now = due_at;
  d.timer(handle);
  EXPECT_EQ(d.sentTo(), makeHost(0).id);
}

// ---- health ----

TEST(Health, FailedConnectionEjectsAndAProbeReadmits) {
  Settings settings = makeSettings();
  settings.may_health_check = true;
  Driver d(settings);
  d.servers(ListKind::Restored, makeHosts(8));
  d.request(1, 4);
  const std::string bad = d.sentTo();
  d.outcome(1, 0, Result::ConnectFailed);
  d.outcome(1, 1, Result::Ok, kMs);
  std::string probed;
  RequestId id = 10;
  for (; id < 200 && probed.empty(); ++id) {
    d.now += 50 * kMs;
    d.request(id, 4);
    EXPECT_NE(d.sentTo(), bad);
    for (const Action& a : d.actions) {
      if (a.kind == ActionKind::HealthCheck) probed = a.server;
    }
    d.outcome(id, 0, Result::Ok, kMs);
  }
  EXPECT_EQ(probed, bad);
  d.probe(bad, true);
  bool back = false;
  for (; id < 600 && !back; ++id) {
    d.now += 50 * kMs;
    d.request(id, 4);
    back = d.sentTo() == bad;
    d.outcome(id, 0, Result::Ok, kMs);
  }
  EXPECT_TRUE(back);
}

// Without health checks an ejected server is tried with requests, and only with those that may be retried.
TEST(Health, WithoutProbesOnlyARetryableRequestIsSentOnTrial) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(8));
  d.request(1, 4);
  const std::string bad = d.sentTo();
  d.outcome(1, 0, Result::ConnectFailed);
  d.outcome(1, 1, Result::Ok, kMs);
  d.now += 30 * kSec;
  for (RequestId id = 10; id < 40; ++id) {
    d.now += kMs;
    d.request(id, 4);
    EXPECT_NE(d.sentTo(), bad);
    d.outcome(id, 0, Result::Ok, kMs);
  }
  bool tried = false;
  for (RequestId id = 100; id < 130; ++id) {
    d.now += kMs;
    d.request(id, 0);
    tried |= d.sentTo() == bad;
    d.outcome(id, 0, Result::Ok, kMs);
  }
  EXPECT_TRUE(tried);
}

// A single timeout must not eject a server, since some requests take long.
TEST(Health, TwoTimeoutsInARowEjectButOneDoesNot) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(3));
  std::map<std::string, int> timeouts;
  for (RequestId id = 1; id <= 6; ++id) {
    d.request(id, 4);
    ASSERT_FALSE(d.sentTo().empty());
    const std::string to = d.sentTo();
    d.now += 500 * kMs;
    if (to == makeHost(0).id) {
      d.outcome(id, 0, Result::TimedOut, 500 * kMs);
      ++timeouts[to];
    } else {
      d.outcome(id, 0, Result::Ok, 20 * kMs);
    }
    const auto subset = d.balancer.subset(d.now);
    const bool in = std::find(subset.begin(), subset.end(), makeHost(0).id) != subset.end();
    EXPECT_EQ(in, timeouts[makeHost(0).id] < 2);
  }
}

TEST(Health, EjectionsAreCappedSoThatHalfOfTheSubsetStays) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(10));
  RequestId id = 1;
  for (; id < 60; ++id) {
    d.request(id, 4);
    for (std::int32_t n = 0; !d.checker.requests.at(id).ended && n < 5; ++n) {
      if (static_cast<std::size_t>(n) >= d.checker.requests.at(id).attempts.size()) break;
      d.outcome(id, n, Result::ConnectFailed);
    }
    d.now += 10 * kMs;
  }
  EXPECT_GE(d.balancer.subset(d.now).size(), 5U);
}

TEST(Health, OnlyServerIsNeverEjected) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(1));
  for (RequestId id = 1; id <= 5; ++id) {
    d.request(id, 4);
    d.outcome(id, 0, Result::Error, kMs);
    EXPECT_EQ(d.balancer.subset(d.now).size(), 1U);
  }
}

// ---- slow start ----

// A new server has no requests in flight, so choosing the least loaded server alone would send it everything.
TEST(ColdStart, OneClientKeepsItsShareOfAServerInSlowStart) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(9));
  RequestId id = 1;
  const auto sendRequests = [&](int requests) {
    int sent_to_new = 0;
    for (int i = 0; i < requests; ++i, ++id) {
      d.now += 10 * kMs;
      d.request(id, 4);
      sent_to_new += d.sentTo() == makeHost(9).id ? 1 : 0;
      if (!d.checker.requests.at(id).ended) d.outcome(id, 0, Result::Ok, 5 * kMs);
    }
    return sent_to_new;
  };
  sendRequests(500);
  Host added = makeHost(9);
  added.started_at = d.now;
  d.servers(ListKind::Changes, {added});
  const int first = sendRequests(200);  // 2 s at 100 requests/s; one of ten warm servers would get 20
  EXPECT_LE(first, 20 * 0.4 + 1);       // its capacity grows from 0.25 to 0.4 of the full in this time
  EXPECT_GE(first, 2);                  // it gets some requests, or it would not warm up
  sendRequests(800);
  EXPECT_NEAR(sendRequests(200), 20, 6);  // warm: its full share
}

// Clients don't communicate, so each must keep its share for the sum to stay within the bound of rule 4.
TEST(ColdStart, SumOverManyClientsStaysWithinTheOverloadBound) {
  Settings settings = makeSettings();
  int sent_to_new = 0;
  for (std::uint32_t m = 0; m < 40; ++m) {
    settings.client = m;
    Driver d(settings, m + 1);
    d.servers(ListKind::Restored, makeHosts(30));
    RequestId id = 1;
    const auto sendRequests = [&](int requests) {
      int hits = 0;
      for (int i = 0; i < requests; ++i, ++id) {
        d.now += 250 * kMs;  // 4 requests/s
        d.request(id, 4);
        hits += d.sentTo() == makeHost(30).id ? 1 : 0;
        if (!d.checker.requests.at(id).ended) d.outcome(id, 0, Result::Ok, 5 * kMs);
      }
      return hits;
    };
    sendRequests(80);
    Host added = makeHost(30);
    added.started_at = d.now;
    d.servers(ListKind::Changes, {added});
    sent_to_new += sendRequests(8);  // 2 s, which is the overload window
  }
  // 40 clients at 4 requests/s over 31 servers make 5.2 requests/s each. If that were a server's full
  // capacity, the bound would be 3 x 0.25 x 5.2 x 2 s = 7.7 requests; servers have more capacity than that.
  EXPECT_LE(sent_to_new, 8);
}

// ---- load shedding ----

TEST(Admission, LateResponsesStartSheddingAndPromptOnesEndIt) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(10));
  RequestId id = 1;
  const auto rejected = [&](Time latency, int requests) {
    int n = 0;
    for (int i = 0; i < requests; ++i, ++id) {
      d.request(id, 4);
      n += d.count(ActionKind::Reject);
      d.now += latency;
      if (!d.checker.requests.at(id).ended) d.outcome(id, 0, Result::Ok, latency);
    }
    return n;
  };
  EXPECT_EQ(rejected(50 * kMs, 100), 0);
  EXPECT_GT(rejected(490 * kMs, 100), 20);
  rejected(50 * kMs, 200);
  EXPECT_EQ(rejected(50 * kMs, 100), 0);
}

TEST(Admission, TenantBeyondItsQuotaIsShedFirst) {
  Settings settings = makeSettings();
  settings.tenants = {{0.5}, {0.5}};
  settings.over_quota_weight = 0.1;
  Driver d(settings);
  d.servers(ListKind::Restored, makeHosts(10));
  std::map<int, int> rejected, sent_by_tenant;
  for (RequestId id = 1; id <= 600; ++id) {
    const int tenant = id % 5 == 0 ? 1 : 0;  // tenant 0 sends four times as many
    d.request(id, 4, 2 * kSec, tenant);
    ++sent_by_tenant[tenant];
    rejected[tenant] += d.count(ActionKind::Reject);
    const Time latency = id <= 10 ? 490 * kMs : 260 * kMs;  // an overload that persists
    d.now += latency;
    if (!d.checker.requests.at(id).ended) d.outcome(id, 0, Result::Ok, latency);
  }
  ASSERT_GT(rejected[0], 20);
  EXPECT_LT(rejected[1] * sent_by_tenant[0], rejected[0] * sent_by_tenant[1] / 2);
}

// ---- attempts ----

TEST(Attempts, RetriesAreLimitedToAFractionOfRequests) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(30));
  for (RequestId id = 1; id <= 400; ++id) {
    d.request(id, 0);
    for (std::int32_t n = 0; !d.checker.requests.at(id).ended && n < 5; ++n) {
      if (static_cast<std::size_t>(n) >= d.checker.requests.at(id).attempts.size()) break;
      d.outcome(id, n, Result::Error, kMs);
    }
    d.now += 5 * kMs;
  }
  EXPECT_LE(d.checker.sends, 400U * 1.2 + 10);
}

TEST(Attempts, DisconnectOfTheClientCancelsItsAttempt) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(8));
  d.request(1, 0);
  d.outcome(1, 0, Result::ConnectFailed);
  d.clientDisconnected(1);
  ASSERT_EQ(d.count(ActionKind::Cancel), 1);
  EXPECT_EQ(d.actions.at(0).attempt, 1);
}

// ---- health checks for load reports before a choice ----

Settings loadReportSettings() {
  Settings s = makeSettings();
  s.reports = ReportSource::HealthChecks;
  s.may_health_check = true;
  s.warm_keys = true;
  s.explain = true;
  return s;
}

TEST(Asking, MemberWithTheLeastReportedLoadGetsTheRequest) {
  Driver d(loadReportSettings());
  d.servers(ListKind::Restored, makeHosts(12));
  d.request(1, 0);
  EXPECT_EQ(d.count(ActionKind::Send), 0);
  const auto probed = d.probed();
  ASSERT_EQ(probed.size(), 3U);
  d.probe(probed[0], true, 9);
  d.probe(probed[1], true, 2);
  EXPECT_EQ(d.count(ActionKind::Send), 0);
  d.probe(probed[2], true, 7);
  EXPECT_EQ(d.sentTo(), probed[1]);
  EXPECT_EQ(d.reason(), Reason::LeastReportedLoad);
}

// If no health check is answered, the request must wait no longer than a fraction of its latency objective.
TEST(Asking, WithoutAnswersTheLeastLoadedByOwnCountIsChosenInTime) {
  Driver d(loadReportSettings());
  d.servers(ListKind::Restored, makeHosts(12));
  d.request(1, 0);
  ASSERT_EQ(d.count(ActionKind::SetTimer), 1);
  const Action timer = d.actions.back();
  EXPECT_LE(timer.time - d.now, 50 * kMs);
  d.now = timer.time;
  d.timer(timer.timer);
  EXPECT_EQ(d.count(ActionKind::Send), 1);
  EXPECT_EQ(d.reason(), Reason::LeastLoaded);
}

// A server that leaves the list during its health check must not be chosen, nor may the request refer to it.
TEST(Asking, ServerRemovedDuringItsHealthCheckIsNotChosen) {
  Driver d(loadReportSettings());
  d.servers(ListKind::Restored, makeHosts(12));
  d.request(1, 0);
  const auto probed = d.probed();
  ASSERT_EQ(probed.size(), 3U);
  d.probe(probed[0], true, 5);
  std::vector<Host> left = makeHosts(12);
  std::erase_if(left, [&](const Host& h) { return h.id == probed[0]; });
  d.servers(ListKind::Full, left);
  d.probe(probed[1], true, 8);
  d.probe(probed[2], true, 6);
  EXPECT_TRUE(d.sentTo() == probed[1] || d.sentTo() == probed[2]);
}

// Outdated load reports send all clients to the same servers, so after two late responses the reports are not
// used for a while.
TEST(Asking, ReportsAreIgnoredAfterTwoLateResponses) {
  Driver d(loadReportSettings());
  d.servers(ListKind::Restored, makeHosts(12));
  for (RequestId id = 1; id <= 2; ++id) {
    d.request(id, 0);
    for (const std::string& s : d.probed()) d.probe(s, true, 0);
    d.now += 500 * kMs;
    d.outcome(id, 0, Result::TimedOut, 500 * kMs, true);
  }
  d.request(3, 0);
  EXPECT_TRUE(d.probed().empty());
  EXPECT_EQ(d.count(ActionKind::Send), 1);
  d.now += 6 * kSec;
  d.request(4, 0);
  EXPECT_FALSE(d.probed().empty());
}

TEST(Asking, NoHealthChecksWhenReportsComeWithResponses) {
  Settings s = loadReportSettings();
  s.reports = ReportSource::Responses;
  Driver d(s);
  d.servers(ListKind::Restored, makeHosts(12));
  d.request(1, 0);
  EXPECT_TRUE(d.probed().empty());
  EXPECT_EQ(d.count(ActionKind::Send), 1);
}

// ---- reasons and log lines ----

TEST(Reasons, AreOffByDefaultAndReportTheKindOfChoice) {
  Driver quiet(makeSettings());
  quiet.servers(ListKind::Restored, makeHosts(4));
  quiet.request(1, 0);
  EXPECT_EQ(quiet.reason(), Reason::None);

  Settings s = makeSettings();
  s.explain = true;
  Driver d(s);
  d.servers(ListKind::Restored, makeHosts(60));
  d.request(1, 0);
  EXPECT_EQ(d.reason(), Reason::LeastLoaded);
  d.outcome(1, 0, Result::ConnectFailed);  // ejected; the next in order substitutes it
  std::set<Reason> seen;
  for (RequestId id = 2; id <= 17; ++id) {
    d.request(id, 0);
    seen.insert(d.reason());
    d.now += kMs;
    d.outcome(id, 0, Result::Ok, kMs);
  }
  EXPECT_TRUE(seen.contains(Reason::Substitute));
  for (RequestId id = 18; id <= 120; ++id) {
    d.request(id, 0);
    seen.insert(d.reason());
  }
  EXPECT_TRUE(seen.contains(Reason::ExtendedSubset));
}

TEST(Reasons, CoverEjectionTrialScopedRetryAndSlowStart) {
  Settings s = makeSettings();
  s.explain = true;
  Driver d(s);
  d.servers(ListKind::Restored, makeHosts(2));
  d.request(1, 0);
  d.outcome(1, 0, Result::ConnectFailed);
  d.now += 10 * kSec;
  std::set<Reason> seen;
  for (RequestId id = 2; id <= 4; ++id) {
    d.request(id, 0);
    seen.insert(d.reason());
  }
  EXPECT_TRUE(seen.contains(Reason::EjectionTrial));

  Driver keyed(s);
  keyed.servers(ListKind::Restored, makeHosts(24));
  keyed.request(1, 2);
  keyed.outcome(1, 0, Result::Error, kMs);
  EXPECT_EQ(keyed.reason(), Reason::ScopedRetry);

  Driver starting(s);
  std::vector<Host> hosts = makeHosts(1);
  hosts[0].started_at = starting.now - kSec;
  starting.servers(ListKind::Restored, hosts);
  Reason why = Reason::None;
  for (RequestId id = 1; id <= 200 && why == Reason::None; ++id) {
    starting.request(id, 0);
    why = starting.reason();
    starting.now += 20 * kMs;
  }
  EXPECT_EQ(why, Reason::SlowStart);
  EXPECT_EQ(toString(why), "slow start");
}

TEST(Traces, ReportEachKindOfChangeOncePerSecond) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(40));
  d.request(1, 0);
  d.outcome(1, 0, Result::ConnectFailed);
  EXPECT_TRUE(d.logged("ejected "));
  d.outcome(1, 1, Result::ConnectFailed);
  EXPECT_FALSE(d.logged("ejected "));  // within the same second
  d.servers(ListKind::Unavailable, {});
  EXPECT_TRUE(d.logged("list stale"));
  d.now += 2 * kSec;
  d.servers(ListKind::Full, makeHosts(40));
  EXPECT_TRUE(d.logged("list fresh"));
  bool lengthened = false, begun = false, ended = false;
  for (RequestId id = 10; id <= 300; ++id) {
    d.request(id, 0);
    lengthened |= d.logged("subset lengthened to ");
  }
  EXPECT_TRUE(lengthened);
  for (RequestId id = 301; id <= 800; ++id) {
    d.request(id, 0);
    if (d.count(ActionKind::Send) == 0) continue;
    d.now += 20 * kMs;
    d.outcome(id, 0, Result::Ok, id < 360 ? 499 * kMs : 5 * kMs);
    begun |= d.logged("shedding begun");
    ended |= d.logged("shedding ended");
  }
  EXPECT_TRUE(begun);
  EXPECT_TRUE(ended);
}

// ---- discovery ----

TEST(Discovery, SubscribesOnceWithJitterAndBacksOffAfterFailures) {
  Settings settings = makeSettings();
  settings.discovery = Discovery::Poll;
  std::set<Time> first;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Driver d(settings, seed);
    d.servers(ListKind::Restored, makeHosts(4));
    ASSERT_EQ(d.count(ActionKind::SetTimer), 1);
    first.insert(d.actions.at(0).time);
    Time gap = 0;
    for (int i = 0; i < 6; ++i) {
      const Time due = d.actions.at(0).time;
      const std::uint64_t handle = d.actions.at(0).timer;
      gap = due - d.now;
      d.now = due;
      d.timer(handle);
      ASSERT_EQ(d.count(ActionKind::Subscribe), 1);
      d.servers(ListKind::Unavailable, {});
      ASSERT_EQ(d.count(ActionKind::SetTimer), 1);
    }
    EXPECT_GT(gap, kSec);                    // it backs off
    EXPECT_LE(gap, settings.poll_interval);  // but not beyond the poll interval
    d.servers(ListKind::Changes, {});        // the subscription succeeds
    EXPECT_EQ(d.count(ActionKind::Subscribe), 0);
  }
  EXPECT_GT(first.size(), 15U);
}

// Every client must have a change 6 s after discovery has it and is reachable; net/discovery.h adds up the
// parts of this delay.
TEST(Discovery, BrokenWatchIsRenewedSoonAndBackoffIsBounded) {
  Settings settings = makeSettings();
  settings.discovery = Discovery::Poll;
  settings.poll_interval = 60 * kSec;  // longer than the bounds below
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    Driver d(settings, seed);
    d.servers(ListKind::Restored, makeHosts(4));
    const auto waits = [&] {
      const Time due = d.actions.at(0).time, wait = due - d.now;
      const std::uint64_t handle = d.actions.at(0).timer;
      d.now = due;
      d.timer(handle);
      EXPECT_EQ(d.count(ActionKind::Subscribe), 1);
      return wait;
    };
    waits();
    for (int round = 0; round < 3; ++round) {
      d.servers(ListKind::Changes, {});
      d.servers(ListKind::Unavailable, {});
      EXPECT_LE(waits(), 700 * kMs);
      for (int failures = 0; failures < 8; ++failures) {
        d.servers(ListKind::Unavailable, {});
        const Time wait = waits();
        EXPECT_LE(wait, 2 * kSec);
        EXPECT_GE(wait, 500 * kMs) << "many clients must not overload discovery with retries";
      }
    }
  }
}

TEST(Discovery, PushNeedsNoSubscription) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(4));
  EXPECT_TRUE(d.actions.empty());
}

// ---- invalid input ----

TEST(BadInput, InvalidSettingsAreReportedByField) {
  const auto errorOf = [](auto change) {
    Settings s = makeSettings();
    change(s);
    try {
      Balancer b(s, 1);
    } catch (const std::invalid_argument& e) {
      return std::string(e.what());
    }
    return std::string("accepted");
  };
  EXPECT_NE(errorOf([](Settings& s) { s.classes.clear(); }).find("classes"), std::string::npos);
  EXPECT_NE(errorOf([](Settings& s) { s.classes[1].latency_objective = -1; }).find("classes[1].aim"),
            std::string::npos);
  EXPECT_NE(errorOf([](Settings& s) { s.classes[2].deduplication_window = 0; }).find("classes[2].window"),
            std::string::npos);
  EXPECT_NE(errorOf([](Settings& s) { s.max_attempts = 0; }).find("max_attempts"), std::string::npos);
  EXPECT_NE(errorOf([](Settings& s) { s.slow_start_initial_capacity = 0; }).find("cold_from"),
            std::string::npos);
}

Outcome outcomeOf(std::int32_t attempt) {
  Outcome o;
  o.request = 99;
  o.attempt = attempt;
  return o;
}

TEST(BadInput, EachInvalidFieldIsReportedByName) {
  const auto names = [](const std::string& field, auto change) {
    Settings s = makeSettings();
    s.tenants = {{0.5}};
    change(s);
    try {
      validate(s);
    } catch (const std::invalid_argument& e) {
      return std::string(e.what()) == "invalid setting: " + field;
    }
    return false;
  };
  constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
  EXPECT_TRUE(names("classes[0].deadline", [](Settings& s) { s.classes[0].deadline = 0; }));
  EXPECT_TRUE(names("classes[0].worth", [=](Settings& s) { s.classes[0].priority_weight = kNan; }));
  EXPECT_TRUE(names("classes[4].late_worth", [](Settings& s) { s.classes[4].late_weight = -1; }));
  EXPECT_TRUE(names("classes[0].aim_stretch", [](Settings& s) { s.classes[0].objective_per_work = -1; }));
  EXPECT_TRUE(names("tenants[0].fraction", [=](Settings& s) { s.tenants[0].quota = kNan; }));
  EXPECT_TRUE(names("over_share_worth", [](Settings& s) { s.over_quota_weight = -1; }));
  EXPECT_TRUE(names("max_retry_after", [](Settings& s) { s.max_retry_after = -1; }));
  EXPECT_TRUE(names("drain_grace", [](Settings& s) { s.drain_grace = -1; }));
  EXPECT_TRUE(names("cold_from", [](Settings& s) { s.slow_start_initial_capacity = 1.5; }));
  EXPECT_TRUE(names("cold_time", [](Settings& s) { s.slow_start_duration = -1; }));
  EXPECT_TRUE(names("cold_multiple", [](Settings& s) { s.slow_start_overload_factor = -1; }));
  EXPECT_TRUE(names("cold_window", [](Settings& s) { s.slow_start_overload_window = -1; }));
  EXPECT_TRUE(names("tick", [](Settings& s) { s.tick = 0; }));
  EXPECT_TRUE(names("ask_within", [](Settings& s) { s.discovery = Discovery::Poll, s.poll_interval = 0; }));
}

TEST(BadInput, CallsOutOfOrderAreIgnored) {
  Driver d(makeSettings());
  d.request(1, 0);  // before any list
  EXPECT_EQ(d.count(ActionKind::Send), 0);
  d.servers(ListKind::Restored, makeHosts(4));
  d.request(2, 0);
  const Time later = d.now;
  Actions out;
  Request again;
  again.id = 2;
  again.time_left = kSec;
  d.balancer.onRequest(later - 3 * kSec, again, out);  // an id that is in use, and a time in the past
  EXPECT_TRUE(out.empty());
  d.outcome(2, 0, Result::Ok, kMs);
  Outcome second;
  second.request = 2;
  second.final = true;
  d.balancer.onOutcome(later, second, out);  // a second final outcome
  d.balancer.onResponseStarted(later, 2, 0, out);
  d.balancer.onClientDisconnected(later, 2, out);
  EXPECT_TRUE(out.empty());
}

TEST(BadInput, UnknownIdsAreIgnored) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(4));
  Actions out;
  d.balancer.onOutcome(d.now, outcomeOf(0), out);
  d.balancer.onTimer(d.now, 0xFFFF'FFFF'FFFFULL, out);
  d.balancer.onTimer(d.now, 5, out);
  d.balancer.onClientDisconnected(d.now, 99, out);
  d.balancer.onHealthCheck(d.now, "server-999", true, 1, {}, out);
  d.balancer.onResponseStarted(d.now, 99, 0, out);
  d.balancer.onOutcome(d.now - kSec, outcomeOf(-1), out);
  EXPECT_TRUE(out.empty());
}

// ---- which failures count against a server ----

TEST(Fault, InvalidResponsesEjectOnlyInARowAndBadRequestsNever) {
  Settings settings = makeSettings();
  Driver d(settings);
  d.servers(ListKind::Restored, makeHosts(4));
  d.request(1, 4);
  d.outcome(1, 0, Result::InvalidResponse, 10 * kMs);
  for (RequestId id = 2; id < 30; ++id) {
    d.request(id, 4);
    d.outcome(id, 0, Result::BadRequest, 10 * kMs);
  }
  EXPECT_EQ(d.balancer.subset(d.now).size(), 4U);
  bool ejected = false;
  for (RequestId id = 30; id < 60; ++id) {
    d.request(id, 4);
    d.outcome(id, 0, Result::InvalidResponse, 10 * kMs);
    ejected |= d.logged("ejected");
  }
  EXPECT_TRUE(ejected);
}

TEST(Fault, OccasionalBrokenConnectionsDoNotEject) {
  Driver d(makeSettings());
  d.servers(ListKind::Restored, makeHosts(4));
  bool ejected = false;
  for (RequestId id = 1; id < 200; ++id) {  // one in ten connections breaks
    d.request(id, 0);
    d.now += 5 * kMs;
    d.outcome(id, 0,
              id % 20 == 0    ? Result::Reset
              : id % 20 == 10 ? Result::RequestIncomplete
                              : Result::Ok,
              5 * kMs);
    ejected |= d.logged("ejected");
    if (id % 10 == 0) d.outcome(id, 1, Result::Ok, 5 * kMs);
  }
  EXPECT_FALSE(ejected);
}

TEST(Fault, ResponseToAnEarlierRequestShowsThatAnEjectedServerHasNotRestarted) {
  Settings settings = makeSettings();
  settings.explain = true;
  Driver d(settings);
  d.servers(ListKind::Restored, makeHosts(1));
  d.servers(ListKind::Full, makeHosts(2));
  d.request(1, 4);
  const std::string first = d.sentTo();
  d.request(2, 4);
  d.request(3, 4);
  ASSERT_EQ(d.sentTo(), first);  // with two servers the third request goes to the first one again
  d.now += 10 * kMs;
  d.outcome(3, 0, Result::ConnectFailed);
  ASSERT_TRUE(d.logged("ejected"));
  d.now += 10 * kMs;
  d.outcome(1, 0, Result::Ok, 10 * kMs);
  ASSERT_EQ(d.balancer.subset(d.now).size(), 2U);
  for (RequestId id = 10; id < 30; ++id) {
    d.now += 10 * kMs;
    d.request(id, 4);
    EXPECT_NE(d.reason(), Reason::SlowStart);
    d.outcome(id, 0, Result::Ok, 5 * kMs);
  }
}

// ---- clients that give up early ----

class Patience : public ::testing::Test {
 protected:
  Patience() { d.servers(ListKind::Restored, makeHosts(12)); }
  // One request of a client that waits for `patience` (the latency objective is 500 ms), at a host that takes
  // `takes` to respond. True if it was sent.
  bool sentRequest(Time patience, Time takes, std::int32_t cls = 0) {
    d.now += 10 * kMs;
    d.request(++last, cls, patience);
    const bool sent = d.count(ActionKind::Send) == 1;
    EXPECT_EQ(d.count(ActionKind::Reject), sent ? 0 : 1) << "either sent or rejected at once";
    if (!sent) return false;
    d.now += std::min(patience, takes);
    d.outcome(last, 0, takes <= patience ? Result::Ok : Result::TimedOut, std::min(patience, takes));
    return true;
  }
  Driver d{makeSettings()};
  RequestId last = 0;
};

// Clients that give up early and retry at once would keep all hosts busy with responses that no client
// receives.
TEST_F(Patience, RequestsGivenUpAreBoundedAndPatientClientsAreNotAffected) {
  int sent = 0, others = 0;
  for (int n = 0; n < 400; ++n) {
    sent += sentRequest(150 * kMs, 200 * kMs) ? 1 : 0;
    if (n % 4 == 0)
      others += sentRequest(500 * kMs, 100 * kMs, 4) ? 1 : 0;  // waits until the latency objective
  }
  EXPECT_EQ(others, 100);
  EXPECT_LE(sent, 0.15 * 500 + 10);
  EXPECT_GE(sent, 50) << "some must be sent, to detect when responses are in time again";
  // Responses are in time again: requests that are answered in time don't count.
  int again = 0;
  for (int n = 0; n < 100; ++n) again += sentRequest(150 * kMs, 50 * kMs) ? 1 : 0;
  EXPECT_GE(again, 90);
}

TEST_F(Patience, RequestsAnsweredInTimeAreNeverRejected) {
  for (int n = 0; n < 300; ++n) ASSERT_TRUE(sentRequest(150 * kMs, n % 10 == 0 ? 200 * kMs : 100 * kMs));
}

// ---- zones ----

class ZoneLost : public ::testing::Test {
 protected:
  ZoneLost() : d(probing()) { d.servers(ListKind::Restored, makeHosts(12)); }  // 4 in each of 3 zones
  static Settings probing() {
    Settings s = makeSettings();
    s.may_health_check = true;
    return s;
  }
  static int zoneOf(const std::string& id) { return std::stoi(id.substr(7)) % 3; }
  // One non-idempotent request, and another one while it is in flight. Hosts in the zones of `silent` answer
  // no request and those of `silent_to_probes` no probe. True if the first request is answered.
  bool answered(const std::set<int>& silent) { return answered(silent, silent); }
  bool answered(const std::set<int>& silent, const std::set<int>& silent_to_probes) {
    d.now += 100 * kMs;
    d.request(++last, 4);
    const std::string to = d.sentTo();
    if (to.empty()) return false;
    const bool ok = silent.count(zoneOf(to)) == 0;
    d.now += ok ? 50 * kMs : 500 * kMs;
    // Meanwhile another host may answer.
    d.request(++last, 4);
    const std::string other = d.sentTo();
    const bool other_ok = !other.empty() && silent.count(zoneOf(other)) == 0;
    if (other_ok) d.outcome(last, 0, Result::Ok, 20 * kMs);
    d.outcome(last - 1, 0, ok ? Result::Ok : Result::TimedOut, ok ? 50 * kMs : 500 * kMs);
    endProbes(silent_to_probes);
    if (!other.empty() && !other_ok) d.outcome(last, 0, Result::TimedOut, 500 * kMs);
    endProbes(silent_to_probes);
    return ok;
  }
  void endProbes(const std::set<int>& silent) {
    for (const std::string& id : d.probed()) d.probe(id, silent.count(zoneOf(id)) == 0);
  }
  std::set<int> zonesInUse() {
    std::set<int> zones;
    for (const std::string& id : d.balancer.subset(d.now)) zones.insert(zoneOf(id));
    return zones;
  }
  Driver d;
  RequestId last = 0;
};

TEST_F(ZoneLost, TwoSilentServersEjectTheirZone) {
  for (int n = 0; n < 30; ++n) ASSERT_TRUE(answered({}));
  int lost = 0;
  while (zonesInUse().count(1) != 0 && lost < 10) lost += answered({1}) ? 0 : 1;
  EXPECT_LE(lost, 3);
  EXPECT_EQ(zonesInUse(), (std::set<int>{0, 2}));
  // Only one host of the zone is probed, not each of them.
  d.now += 2 * kSec;
  d.request(++last, 4);
  ASSERT_EQ(d.probed().size(), 1U);
  const std::string probed = d.probed()[0];
  EXPECT_EQ(zoneOf(probed), 1);
  d.outcome(last, 0, Result::Ok, 20 * kMs);
  d.probe(probed, false);
  EXPECT_EQ(zonesInUse().count(1), 0U);
  d.now += 10 * kSec;
  d.request(++last, 4);
  ASSERT_EQ(d.probed().size(), 1U);
  const std::string again = d.probed()[0];
  d.outcome(last, 0, Result::Ok, 20 * kMs);
  d.probe(again, true);
  EXPECT_EQ(zonesInUse(), (std::set<int>{0, 1, 2}));
  EXPECT_EQ(d.balancer.subset(d.now).size(), 12U);
}

// When all zones are overloaded, two responses in a row may be late. The zone must not be ejected then, since
// no other zone can take its load.
TEST_F(ZoneLost, ZoneThatAnswersProbesIsNotEjected) {
  for (int n = 0; n < 30; ++n) ASSERT_TRUE(answered({}));
  int late = 0;
  for (int n = 0; n < 30; ++n) {
    late += answered({1}, {}) ? 0 : 1;
    ASSERT_FALSE(d.logged("ejected zone"));
    ASSERT_EQ(zonesInUse().count(1), 1U);
  }
  EXPECT_GT(late, 0);
}

// In a network partition a proxy may only reach the servers of its own zone, a minority of all. The bound on
// the fraction of ejected servers must not make it keep servers that it can't reach.
TEST_F(ZoneLost, ClientCutOffFromAllOtherZonesUsesItsOwn) {
  for (int n = 0; n < 30; ++n) ASSERT_TRUE(answered({}));
  int lost = 0;
  while (zonesInUse().size() > 1 && lost < 20) lost += answered({1, 2}) ? 0 : 1;
  EXPECT_LE(lost, 8);
  EXPECT_EQ(zonesInUse(), (std::set<int>{0}));
  for (int n = 0; n < 5; ++n) EXPECT_TRUE(answered({1, 2}));
}

TEST_F(ZoneLost, SilenceOfAllZonesEjectsNoZone) {
  for (int n = 0; n < 30; ++n) ASSERT_TRUE(answered({}));
  for (int n = 0; n < 10; ++n) answered({0, 1, 2});
  EXPECT_FALSE(zonesInUse().empty());
  EXPECT_GE(d.balancer.subset(d.now).size(), 6U) << "only individual servers may be ejected";
}

TEST_F(ZoneLost, SilentServersInAZoneThatAnswersEjectNoZone) {
  for (int n = 0; n < 200; ++n) {
    d.now += 100 * kMs;
    d.request(++last, 4);
    const std::string to = d.sentTo();
    const bool bad = to == "server-001" || to == "server-004";
    d.now += 20 * kMs;
    d.outcome(last, 0, bad ? Result::ConnectFailed : Result::Ok, 20 * kMs);
    if (bad) d.outcome(last, 1, Result::Ok, 20 * kMs);
    EXPECT_FALSE(d.logged("ejected zone"));
  }
  EXPECT_EQ(zonesInUse().count(1), 1U);
}

// A server that answers probes but no requests: its process runs, but it does not serve. After a probe has
// readmitted it, a single failed request must eject it again.
TEST_F(ZoneLost, ServerThatAnswersOnlyProbesIsEjectedAgainAfterOneRequest) {
  const auto failsAt = [&](const std::string& id) {
    for (int n = 0; n < 400; ++n) {
      d.now += 20 * kMs;
      d.request(++last, 4);
      if (d.sentTo() == id) {
        d.now += 500 * kMs;
        d.outcome(last, 0, Result::TimedOut, 500 * kMs);
        return true;
      }
      for (const std::string& p : d.probed()) d.probe(p, true);
      d.outcome(last, 0, Result::Ok, 5 * kMs);
    }
    return false;
  };
  const std::string bad = "server-000";
  int before = 0;
  for (; before < 5 && !d.logged("ejected"); ++before) ASSERT_TRUE(failsAt(bad));
  EXPECT_EQ(before, 2) << "the first ejection takes two failures in a row";
  d.now += 2 * kSec;
  d.request(++last, 4);
  ASSERT_EQ(d.probed(), std::vector<std::string>{bad});
  d.outcome(last, 0, Result::Ok, 5 * kMs);
  d.probe(bad, true);
  d.now += 10 * kSec;  // it is warm, and its failure score has decayed by half
  ASSERT_TRUE(failsAt(bad));
  EXPECT_TRUE(d.logged("ejected"));
}

}  // namespace
}  // namespace load_balancer::test
