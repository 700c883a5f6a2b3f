// Tests MemoryAccount: what it grants, who waits and who is woken.
#include "net/memory_account.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <vector>

namespace client_proxy {
namespace {

constexpr std::size_t kKilobyte = 1024;

struct AccountTest : ::testing::Test {
  // Requests may use 300 kB, all together 400 kB, beside what each share is always granted.
  std::shared_ptr<MemoryAccount> account = std::make_shared<MemoryAccount>(400 * kKilobyte);
  static constexpr std::size_t kGranted = MemoryAccount::kAlwaysGranted;
  MemoryShare request{account, MemoryUse::Request}, answer{account, MemoryUse::Answer};
};

TEST_F(AccountTest, RequestsLeaveAPartToAnswers) {
  EXPECT_TRUE(request.tryReserve(300 * kKilobyte + kGranted));
  EXPECT_FALSE(request.tryReserve(301 * kKilobyte + kGranted));
  EXPECT_TRUE(answer.tryReserve(100 * kKilobyte + kGranted));
  EXPECT_FALSE(answer.tryReserve(101 * kKilobyte + kGranted));
  request.set(0);
  EXPECT_TRUE(answer.tryReserve(400 * kKilobyte));
}

TEST_F(AccountTest, SmallBuffersPassAtTheLimitAndAreCounted) {
  request.set(300 * kKilobyte + kGranted);
  answer.set(100 * kKilobyte + kGranted);
  MemoryShare small(account, MemoryUse::Request);
  EXPECT_TRUE(small.tryReserve(kGranted));
  EXPECT_FALSE(small.tryReserve(kGranted + 1));
  EXPECT_EQ(account->used(), 400 * kKilobyte + 3 * kGranted);
}

TEST_F(AccountTest, WhatIsGivenBackGoesToTheFirstThatWaits) {
  request.set(290 * kKilobyte + kGranted);
  std::vector<int> woken;
  std::unique_ptr<MemoryShare> first, second;
  first = std::make_unique<MemoryShare>(account, MemoryUse::Request, [&] {
    woken.push_back(1);
    EXPECT_TRUE(first->reserve(40 * kKilobyte));
  });
  second = std::make_unique<MemoryShare>(account, MemoryUse::Request, [&] { woken.push_back(2); });
  MemoryShare third(account, MemoryUse::Request);
  third.set(11 * kKilobyte + kGranted);  // over the limit, so that nobody may exceed it further
  EXPECT_FALSE(first->reserve(40 * kKilobyte));
  EXPECT_FALSE(second->reserve(9 * kKilobyte));
  account->wakeWaiting();
  EXPECT_TRUE(woken.empty());
  int room = 0;
  account->onRoom([&] { ++room; });
  request.set(280 * kKilobyte + kGranted);
  EXPECT_EQ(room, 1);
  EXPECT_FALSE(second->tryReserve(9 * kKilobyte)) << "the first goes first";
  account->wakeWaiting();
  EXPECT_EQ(woken, (std::vector<int>{1})) << "it may exceed the limit, and nobody else";
}

TEST_F(AccountTest, AShareThatIsDestroyedGivesBackAndWaitsNoLonger) {
  int room = 0;
  account->onRoom([&] { ++room; });
  request.set(301 * kKilobyte + kGranted);
  {
    MemoryShare gone(account, MemoryUse::Request, [] { FAIL() << "woken after its end"; });
    EXPECT_FALSE(gone.reserve(200 * kKilobyte));
    EXPECT_EQ(account->waiting(), 1U);
  }
  EXPECT_EQ(account->waiting(), 0U);
  request.set(0);
  account->wakeWaiting();
  EXPECT_EQ(account->used(), 0U);
}

// Bodies of up to 64 kB that grow piece by piece and are then given back: all are completed, and at no time
// is more than one body over the limit.
RC_GTEST_PROP(AccountProperty, IncompleteBodiesDoNotLockOneAnotherOut, ()) {
  constexpr std::size_t kBody = 64 * kKilobyte, kLimit = 128 * kKilobyte;
  const auto account = std::make_shared<MemoryAccount>(kLimit);
  struct Body {
    std::unique_ptr<MemoryShare> share;
    std::size_t size = 0, next = 0;
    bool waits = false;
    void grow() {
      waits = !share->reserve(next);
      if (!waits) size = next;
    }
  };
  std::vector<Body> bodies(20);
  for (Body& b : bodies)
    b.share = std::make_unique<MemoryShare>(account, MemoryUse::Request, [&b] { b.grow(); });
  std::mt19937 random(*rc::gen::arbitrary<std::uint32_t>());
  std::size_t left = bodies.size();
  for (int turns = 0; left > 0; ++turns) {
    RC_ASSERT(turns < 20'000);
    account->wakeWaiting();
    RC_ASSERT(account->used() <= kLimit + kBody + bodies.size() * MemoryAccount::kAlwaysGranted);
    Body& b = bodies[random() % bodies.size()];
    if (!b.share || b.waits) continue;
    if (b.size == kBody) {
      b.share.reset();
      --left;
    } else {
      b.next = std::min(b.size + (1 + random() % 16) * kKilobyte, kBody);
      b.grow();
    }
  }
  RC_ASSERT(account->used() == 0);
}

}  // namespace
}  // namespace client_proxy
