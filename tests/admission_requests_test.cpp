// Tests RequestGate: shares, the queue, the retry budget, and invariants under random sequences of events;
// and the rejection counters.
#include <gtest/gtest.h>

#include <map>
#include <random>
#include <stdexcept>

#include "admission/rejection_counters.h"
#include "admission/requests.h"

namespace client_proxy::admission {
namespace {

constexpr Time kMs = 1'000, kSecond = 1'000'000;

struct Gate {
  explicit Gate(RequestGate::Limits limits) : gate(std::move(limits)) {}

  RequestKey offer(std::int32_t cls = 0, std::int32_t tenant = 0, std::size_t bytes = 1, Time left = kSecond,
                   bool retry = false) {
    const RequestKey id = next_id++;
    refused.clear();
    verdict = gate.offer(now, {id, cls, tenant, bytes, now + left, retry}, refused);
    return id;
  }
  AdmissionOutcome outcome(std::int32_t cls = 0, std::int32_t tenant = 0) {
    return offer(cls, tenant), verdict.outcome;
  }
  void release(RequestKey id) {
    gate.release(now, id);
    next();
  }
  void next() {
    admitted.clear();
    refused.clear();
    gate.next(now, admitted, refused);
  }

  Time now = 10 * kSecond;
  RequestKey next_id = 1;
  RequestGate gate;
  Verdict verdict;
  std::vector<RequestKey> admitted;
  std::vector<Refusal> refused;
};

TEST(RequestGate, AdmitsEveryRequestWithoutLimits) {
  Gate g({});
  for (int i = 0; i < 10'000; ++i) ASSERT_EQ(g.outcome(i % 7, i % 3), AdmissionOutcome::Admitted);
  EXPECT_EQ(g.gate.open(), 10'000U);
}

TEST(RequestGate, QueuesBeyondTheLimitAndRefusesBeyondTheQueue) {
  Gate g({.open = 2, .waiting = 1});
  const RequestKey first = g.offer();
  g.offer();
  const RequestKey queued = g.offer();
  EXPECT_EQ(g.verdict.outcome, AdmissionOutcome::Queued);
  g.offer();
  EXPECT_EQ(g.verdict.outcome, AdmissionOutcome::Refused);
  EXPECT_EQ(g.verdict.reason, RejectionReason::ConcurrencyLimit);
  g.release(first);
  EXPECT_EQ(g.admitted, std::vector{queued});
}

TEST(RequestGate, AdmitsTheEarliestDeadlineFirst) {
  Gate g({.open = 1, .waiting = 3});
  const RequestKey first = g.offer();
  g.offer(0, 0, 1, 900 * kMs);
  const RequestKey urgent = g.offer(0, 0, 1, 300 * kMs);
  g.offer(0, 0, 1, 600 * kMs);
  g.release(first);
  EXPECT_EQ(g.admitted, std::vector{urgent});
}

TEST(RequestGate, RefusesAQueuedRequestOnceItsDeadlineIsUnreachable) {
  Gate g({.open = 1, .waiting = 4});
  RequestKey open = g.offer();
  g.now += 100 * kMs;
  g.release(open);  // a request takes 100 ms
  open = g.offer();
  const RequestKey queued = g.offer(0, 0, 1, 250 * kMs);
  EXPECT_EQ(g.gate.due(), g.now + 150 * kMs);
  g.now += 149 * kMs;
  g.next();
  EXPECT_TRUE(g.refused.empty());
  g.now += kMs;
  g.next();
  ASSERT_EQ(g.refused.size(), 1U);
  EXPECT_EQ(g.refused[0].id, queued);
  EXPECT_EQ(g.refused[0].reason, RejectionReason::DeadlineUnreachable);
  g.offer(0, 0, 1, 100 * kMs);
  EXPECT_EQ(g.verdict.reason, RejectionReason::DeadlineUnreachable)
      << "the expected wait and duration exceed the deadline, so it is not queued";
}

TEST(RequestGate, AdmitsAClassBelowItsGuaranteeWhenOthersFillTheRest) {
  Gate g({.open = 10, .classes = {{}, {.guaranteed = 3}}});
  int admitted_of_class_0 = 0;
  while (g.outcome(0) == AdmissionOutcome::Admitted) ++admitted_of_class_0;
  EXPECT_EQ(admitted_of_class_0, 7);
  EXPECT_EQ(g.verdict.reason, RejectionReason::ClassLimit);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(g.outcome(1), AdmissionOutcome::Admitted);
  EXPECT_EQ(g.outcome(1), AdmissionOutcome::Refused);
}

TEST(RequestGate, ATenantWithTenfoldLoadDoesNotStarveAnother) {
  Gate g({.open = 20, .waiting = 20, .tenants = {{.guaranteed = 4, .weight = 4}, {.weight = 1}}});
  std::map<RequestKey, std::int32_t> tenant_of;
  std::array<int, 2> served{};
  std::vector<RequestKey> open;
  const auto admit = [&](RequestKey id) {
    open.push_back(id), ++served[static_cast<std::size_t>(tenant_of[id])];
  };
  for (int step = 0; step < 4000; ++step) {
    const std::int32_t tenant = step % 11 == 0 ? 0 : 1;  // ten times as many
    const RequestKey id = g.offer(0, tenant, 1, 10 * kSecond);
    tenant_of[id] = tenant;
    if (g.verdict.outcome == AdmissionOutcome::Admitted) admit(id);
    if (step % 4 != 0) continue;  // the hosts complete a quarter of the requests
    g.now += kMs;
    g.release(open.front());
    open.erase(open.begin());
    for (const RequestKey a : g.admitted) admit(a);
  }
  EXPECT_GT(served[0], 340) << "of 364 requests";
  EXPECT_GT(served[1], 500);
}

TEST(RequestGate, AFullQueueEvictsFromTheLongestQueueForAShorterOne) {
  Gate g({.open = 1, .waiting = 4, .classes = {{}, {}}});
  g.offer(0);
  for (int i = 0; i < 3; ++i) g.offer(0);
  const RequestKey last = g.offer(0, 0, 1, 2 * kSecond);
  ASSERT_EQ(g.outcome(0), AdmissionOutcome::Refused);
  g.offer(1);
  EXPECT_EQ(g.verdict.outcome, AdmissionOutcome::Queued);
  ASSERT_EQ(g.refused.size(), 1U);
  EXPECT_EQ(g.refused[0].id, last);
  EXPECT_EQ(g.refused[0].reason, RejectionReason::EvictedFromQueue);
  EXPECT_EQ(g.gate.waiting(), 4U);
}

TEST(RequestGate, SmallRequestsOvertakeThoseQueuedForMemory) {
  Gate g({.bytes = 100, .waiting = 10});
  const RequestKey big = g.offer(0, 0, 90);
  const RequestKey other = g.offer(0, 0, 60);
  EXPECT_EQ(g.verdict.outcome, AdmissionOutcome::Queued);
  g.offer(0, 0, 5);
  EXPECT_EQ(g.verdict.outcome, AdmissionOutcome::Admitted);
  g.release(big);
  EXPECT_EQ(g.admitted, std::vector{other});
  EXPECT_EQ(g.gate.bytes(), 65U);
}

TEST(RequestGate, ASingleRequestMayExceedTheByteLimit) {
  Gate g({.bytes = 100});
  g.offer(0, 0, 500);
  EXPECT_EQ(g.verdict.outcome, AdmissionOutcome::Admitted);
  g.offer(0, 0, 1);
  EXPECT_EQ(g.verdict.reason, RejectionReason::MemoryLimit);
}

// All hosts were silent for 3 s, all deadlines have expired, and all clients retry at once.
TEST(RequestGate, ARetryStormLeavesRoomForFirstAttempts) {
  Gate g({.open = 100, .retries_least = 10, .retries_part = 0.5});
  int admitted_retries = 0;
  for (int i = 0; i < 500; ++i) {
    g.offer(0, 0, 1, kSecond, true);
    admitted_retries += g.verdict.outcome == AdmissionOutcome::Admitted ? 1 : 0;
  }
  EXPECT_EQ(admitted_retries, 10);
  EXPECT_EQ(g.verdict.reason, RejectionReason::RetryBudget);
  for (int i = 0; i < 40; ++i) ASSERT_EQ(g.outcome(), AdmissionOutcome::Admitted);
  for (int i = 0; i < 500; ++i) {
    g.offer(0, 0, 1, kSecond, true);
    admitted_retries += g.verdict.outcome == AdmissionOutcome::Admitted ? 1 : 0;
  }
  EXPECT_EQ(admitted_retries, 20) << "half of the open first attempts";
}

TEST(RequestGate, CheckHeadPredictsARefusal) {
  Gate g({.open = 1, .retries_least = 0, .retries_part = 0});
  EXPECT_EQ(g.gate.checkHead({.id = 9}), RejectionReason::None);
  EXPECT_EQ(g.gate.checkHead({.id = 9, .retry = true}), RejectionReason::RetryBudget);
  g.offer();
  EXPECT_EQ(g.gate.checkHead({.id = 9}), RejectionReason::ConcurrencyLimit);
}

TEST(RequestGate, RetryAfterGrowsWithTheRefusedFractionUpToItsLimit) {
  Gate g({.open = 10, .advice_least = 100 * kMs, .advice_most = kSecond});
  EXPECT_EQ(g.gate.retryAfter(g.now), 100 * kMs);
  for (int i = 0; i < 20; ++i) g.offer();
  const Time twice = g.gate.retryAfter(g.now);
  EXPECT_EQ(twice, 200 * kMs);
  for (int i = 0; i < 30; ++i) g.offer();
  EXPECT_GT(g.gate.retryAfter(g.now), twice);
  for (int i = 0; i < 1000; ++i) g.offer();
  EXPECT_EQ(g.gate.retryAfter(g.now), kSecond);
  EXPECT_LT(g.gate.retryAfter(g.now + 30 * kSecond), 110 * kMs);
}

TEST(RequestGate, TheConstructorRejectsImpossibleShares) {
  EXPECT_THROW(RequestGate({.open = 4, .classes = {{.guaranteed = 3}, {.guaranteed = 2}}}),
               std::invalid_argument);
  EXPECT_THROW(RequestGate({.classes = {{.guaranteed = 3, .most = 2}}}), std::invalid_argument);
  EXPECT_THROW(RequestGate({.tenants = {{.weight = 0}}}), std::invalid_argument);
}

// 100,000 steps per seed, compared with a simple model.
TEST(RequestGateProperties, RandomEventsKeepTheLimitsAndGuarantees) {
  for (const std::uint32_t seed : {1U, 2U, 3U}) {
    std::mt19937 random(seed);
    const auto below = [&](std::uint32_t n) { return static_cast<std::uint32_t>(random() % n); };
    const RequestGate::Limits limits{
        .open = 30,
        .bytes = 4000,
        .waiting = 12,
        .classes = {{.guaranteed = 5}, {.most = 12, .weight = 3}, {.guaranteed = 4}},
        .tenants = {{.guaranteed = 8, .weight = 5}, {.guaranteed = 2}},
        .retries_least = 4,
        .retries_part = 0.3};
    RequestGate gate(limits);
    struct ModelRequest {
      AdmissionRequest request;
      bool open;
    };
    std::map<RequestKey, ModelRequest> model;
    std::vector<RequestKey> ids;
    Time now = kSecond;
    RequestKey next_id = 1;
    std::uint64_t ended = 0;
    const auto removeFromModel = [&](RequestKey id) {
      model.erase(id);
      ids.erase(std::find(ids.begin(), ids.end(), id));
      ++ended;
    };
    const auto count = [&](auto which) {
      std::size_t n = 0;
      for (const auto& [id, h] : model) n += which(h) ? 1 : 0;
      return n;
    };
    const auto checkRefused = [&](const std::vector<Refusal>& refused) {
      for (const Refusal& r : refused) {
        ASSERT_TRUE(model.count(r.id) == 1 && !model.at(r.id).open)
            << "refused an open request, or refused twice";
        removeFromModel(r.id);
      }
    };
    for (int step = 0; step < 100'000; ++step) {
      now += below(2000);
      std::vector<Refusal> refused;
      if (below(5) < 3) {
        const AdmissionRequest request{next_id++,
                                       static_cast<std::int32_t>(below(5)) - 1,
                                       static_cast<std::int32_t>(below(4)) - 1,
                                       below(10) == 0 ? below(5000) : below(60),
                                       now + below(200'000) + 1,
                                       below(6) == 0};
        const Verdict v = gate.offer(now, request, refused);
        checkRefused(refused);
        if (HasFatalFailure()) return;
        // Below both guarantees only memory or the retry budget may delay or refuse a request.
        const bool class_below_guarantee = (request.request_class == 0 && gate.openOfClass(0) < 5) ||
                                           (request.request_class == 2 && gate.openOfClass(2) < 4);
        const bool tenant_below_guarantee = (request.tenant == 0 && gate.openOfTenant(0) < 8) ||
                                            (request.tenant == 1 && gate.openOfTenant(1) < 2);
        if (class_below_guarantee && tenant_below_guarantee && v.outcome != AdmissionOutcome::Admitted) {
          ASSERT_TRUE(v.reason == RejectionReason::RetryBudget ||
                      request.bytes + gate.bytes() > limits.bytes);
        }
        if (v.outcome != AdmissionOutcome::Refused) {
          model.emplace(request.id, ModelRequest{request, v.outcome == AdmissionOutcome::Admitted});
          ids.push_back(request.id);
        } else {
          ++ended;
          ASSERT_NE(v.reason, RejectionReason::None);
        }
      } else if (!ids.empty()) {
        const RequestKey id = ids[below(static_cast<std::uint32_t>(ids.size()))];
        gate.release(now, id);
        removeFromModel(id);
        gate.release(now, id);  // releasing twice has no effect
        std::vector<RequestKey> admitted;
        gate.next(now, admitted, refused);
        checkRefused(refused);
        if (HasFatalFailure()) return;
        for (const RequestKey a : admitted) {
          ASSERT_TRUE(model.count(a) == 1 && !model.at(a).open);
          model.at(a).open = true;
        }
        ASSERT_GT(gate.due(), now);
      }
      ASSERT_LE(gate.open(), limits.open);
      ASSERT_LE(gate.waiting(), limits.waiting);
      ASSERT_LE(gate.openOfClass(1), 12U);
      ASSERT_LE(gate.bytes(), gate.open() > 1 ? 5000U + limits.bytes : 5000U);
      if (step % 20 != 0) continue;
      ASSERT_EQ(gate.open(), count([](const ModelRequest& h) { return h.open; }));
      ASSERT_EQ(gate.waiting(), count([](const ModelRequest& h) { return !h.open; }));
      ASSERT_EQ(gate.retries(), count([](const ModelRequest& h) { return h.open && h.request.retry; }));
      std::size_t bytes = 0;
      for (const auto& [id, h] : model) bytes += h.open ? h.request.bytes : 0;
      ASSERT_EQ(gate.bytes(), bytes);
      ASSERT_EQ(next_id - 1, ended + model.size()) << "each request is open, queued or ended";
    }
    for (const RequestKey id : std::vector(ids)) gate.release(now, id), removeFromModel(id);
    EXPECT_EQ(gate.open() + gate.waiting() + gate.bytes() + gate.retries(), 0U);
    for (const std::int32_t c : {-1, 0, 1, 2}) EXPECT_EQ(gate.openOfClass(c), 0U);
  }
}

TEST(RejectionCounters, CountsByReasonClassAndTenantAndSummarizesChanges) {
  RejectionCounters counters(2, 1);
  counters.note(RejectionReason::ConcurrencyLimit, 1, 0);
  counters.note(RejectionReason::ConcurrencyLimit, 7, -1);  // unknown: counted as other
  counters.note(RejectionReason::None, 0, 0);
  EXPECT_EQ(counters.total(RejectionReason::ConcurrencyLimit), 2U);
  EXPECT_EQ(counters.count(RejectionReason::ConcurrencyLimit, 1, 0), 1U);
  EXPECT_EQ(counters.count(RejectionReason::ConcurrencyLimit, 2, 1), 1U);
  EXPECT_EQ(counters.summarySinceLast(), "2 open_full");
  EXPECT_EQ(counters.summarySinceLast(), "");
  std::array<std::uint64_t, kRejectionReasons> also{};
  also[static_cast<std::size_t>(RejectionReason::FirstByteTimeout)] = 3;
  EXPECT_EQ(counters.summarySinceLast(also), "3 silent_overdue");
}

}  // namespace
}  // namespace client_proxy::admission
