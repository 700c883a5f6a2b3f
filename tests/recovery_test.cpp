// Recovery after a crash: which requests are delayed for how long, and what each stage waits for.
#include "recovery/recovery.h"

#include <gtest/gtest.h>

namespace client_proxy::recovery {
namespace {

using load_balancer::DeduplicationScope;
using load_balancer::Idempotency;

constexpr Time kSecond = 1'000'000;

load_balancer::RequestClass of(Idempotency idempotency,
                               DeduplicationScope deduplication_scope = DeduplicationScope::Zone) {
  load_balancer::RequestClass c;
  c.idempotency = idempotency;
  c.deduplication_scope = deduplication_scope;
  return c;
}
Facts facts(leases::Denial denial) {
  Facts f;
  f.has_hosts = f.synchronized = true;
  f.services = {{"charges", {denial, 1, 1, denial == leases::Denial::Draining ? kSecond : 0}, 2},
                {"reservations", {leases::Denial::None, 1, 1, 0}, 5}};
  return f;
}

TEST(Recovery, StageAdvancesByConditionsAndNotByElapsedTime) {
  Recovery r(3 * kSecond);
  r.start(0, PreviousRun::Interrupted);
  Facts f;
  f.services = {{"charges", {}, 1}};
  const Time late = 1000 * kSecond;
  EXPECT_EQ(r.stage(late, f), Stage::NoEndpoints);
  f.has_hosts = true;
  EXPECT_EQ(r.stage(late, f), Stage::IdempotentOnly) << "elapsed time does not advance it";
  f.synchronized = true;
  EXPECT_EQ(r.stage(late, f), Stage::QuorumReached);
  f.services[0].permit.denial = leases::Denial::None;
  EXPECT_EQ(r.stage(kSecond, f), Stage::IdempotencyKeys);
  EXPECT_EQ(r.stage(3 * kSecond, f), Stage::FullService);
}

TEST(Recovery, AfterACrashRequestsAreDelayedUnlessHostsDiscardTheirRepeats) {
  Recovery r(3 * kSecond);
  r.start(10, PreviousRun::Interrupted);
  EXPECT_EQ(r.delayAfterRestart(10, of(Idempotency::NonIdempotent), true), 3 * kSecond)
      << "no host can detect the repeat";
  EXPECT_EQ(r.delayAfterRestart(10, of(Idempotency::IdempotentWithKey, DeduplicationScope::Zone), false),
            3 * kSecond)
      << "the repeat may go to another zone";
  EXPECT_EQ(r.delayAfterRestart(10, of(Idempotency::IdempotentWithKey, DeduplicationScope::Cell), true),
            3 * kSecond)
      << "the repeat may go to another cell";
  EXPECT_EQ(r.delayAfterRestart(10, of(Idempotency::IdempotentWithKey, DeduplicationScope::Zone), true),
            std::nullopt);
  EXPECT_EQ(r.delayAfterRestart(10, of(Idempotency::IdempotentWithKey, DeduplicationScope::All), false),
            std::nullopt);
  EXPECT_EQ(r.delayAfterRestart(10, of(Idempotency::Idempotent), false), std::nullopt);
  EXPECT_EQ(r.delayAfterRestart(10 + kSecond, of(Idempotency::NonIdempotent), false), 2 * kSecond);
  EXPECT_EQ(r.delayAfterRestart(10 + 3 * kSecond, of(Idempotency::NonIdempotent), false), std::nullopt);
}

TEST(Recovery, WithoutACrashNoRequestIsDelayed) {
  for (const PreviousRun before : {PreviousRun::Unknown, PreviousRun::None, PreviousRun::Clean}) {
    Recovery r(3 * kSecond);
    r.start(0, before);
    EXPECT_EQ(r.delayAfterRestart(0, of(Idempotency::NonIdempotent), false), std::nullopt) << nameOf(before);
    EXPECT_EQ(r.stage(0, facts(leases::Denial::None)), Stage::FullService);
    EXPECT_TRUE(r.waits(0, facts(leases::Denial::None)).empty());
  }
}

TEST(Recovery, WaitsNameTheirConditionsAndOrderServicesByPriorityWeight) {
  Recovery r(3 * kSecond);
  r.start(0, PreviousRun::Interrupted);
  Facts f = facts(leases::Denial::Draining);
  f.services[1].permit.denial = leases::Denial::LeaseExpired;
  f.synchronized = false;
  f.synchronized_members = 2, f.majority = 7;
  const std::vector<Wait> waits = r.waits(kSecond, f);
  ASSERT_EQ(waits.size(), 4U);
  EXPECT_EQ(waits[0].what, "promises");
  EXPECT_NE(waits[0].until.find("7 other members, 2 received"), std::string::npos) << waits[0].until;
  EXPECT_EQ(waits[1].what, "reservations");
  EXPECT_EQ(waits[2].what, "charges");
  EXPECT_EQ(waits[2].time, kSecond);
  EXPECT_EQ(waits[3].time, 2 * kSecond);
}

}  // namespace
}  // namespace client_proxy::recovery
