// Tests of the run-time check of the rules: it must detect violations that a defective SendGuard would
// permit.
#include "invariant_checker.h"

#include <gtest/gtest.h>

#include "support.h"

namespace load_balancer::policy {
namespace {

class InvariantCheckerTest : public ::testing::Test {
 protected:
  InvariantCheckerTest() {
    context.settings = test::makeSettings();
    context.now = 100 * test::kSec;
    log.start(context.now);
    endpoint.listed = true;
    endpoint.host = test::makeHost(1);
    request.request_class = kNonIdempotentClass;
  }
  void addAttempt(Execution execution) {
    request.attempts.push_back({.endpoint = &endpoint, .execution = execution});
  }
  static constexpr std::int32_t kNonIdempotentClass = 4;  // of test::makeSettings()

  PolicyContext context;
  RateLimitedLog log{context};
  InvariantChecker checker{context, log};
  PendingRequest request;
  Endpoint endpoint;
  Actions out;
};

TEST_F(InvariantCheckerTest, FirstAttemptAndRetryOfRequestThatNeverRanAreNoViolations) {
  EXPECT_TRUE(checker.onSend(request, endpoint, out));
  addAttempt(Execution::NeverRan);
  EXPECT_TRUE(checker.onSend(request, endpoint, out));
  EXPECT_TRUE(checker.onReject(request, out));
  EXPECT_TRUE(out.empty());
}

TEST_F(InvariantCheckerTest, AttemptForAnsweredRequestIsCountedAndLogged) {
  request.answered = true;
  EXPECT_FALSE(checker.onSend(request, endpoint, out));
  EXPECT_EQ(checker.counts().lost, 1U);
  ASSERT_EQ(out.size(), 1U);
  EXPECT_NE(out[0].text.find("rule=lost"), std::string::npos);
}

TEST_F(InvariantCheckerTest, RetryAndRejectionOfNonIdempotentRequestThatMayHaveRunAreCounted) {
  addAttempt(Execution::MayHaveRun);
  EXPECT_FALSE(checker.onSend(request, endpoint, out));
  EXPECT_FALSE(checker.onReject(request, out));
  EXPECT_EQ(checker.counts().duplicate, 2U);
}

TEST_F(InvariantCheckerTest, AttemptAtHostDrainingOrInMaintenanceIsCounted) {
  endpoint.host.state = HostState::Draining;
  EXPECT_FALSE(checker.onSend(request, endpoint, out));
  endpoint.host.state = HostState::Healthy;
  endpoint.in_maintenance = true;
  EXPECT_FALSE(checker.onSend(request, endpoint, out));
  EXPECT_EQ(checker.counts().drain, 2U);
}

TEST_F(InvariantCheckerTest, AttemptBeyondTheShareOfAHostInSlowStartIsCounted) {
  endpoint.slow_start_since = context.now;
  endpoint.slow_start_tokens = 0.5;
  EXPECT_FALSE(checker.onSend(request, endpoint, out));
  EXPECT_EQ(checker.counts().failback, 1U);
  endpoint.slow_start_tokens = 1;
  EXPECT_TRUE(checker.onSend(request, endpoint, out));
  endpoint.slow_start_tokens = 0;
  context.now += context.settings.slow_start_duration;
  EXPECT_TRUE(checker.onSend(request, endpoint, out)) << "the host is warm";
}

}  // namespace
}  // namespace load_balancer::policy
