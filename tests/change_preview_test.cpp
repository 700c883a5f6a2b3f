// The bounded sample of recorded traffic, and the preview of a pending change of routes that replays it.
#include "change_preview/change_preview.h"

#include <gtest/gtest.h>

#include <cmath>

#include "traffic_sample/traffic_sample.h"

namespace client_proxy::change_preview {
namespace {

using traffic_sample::Idempotency;
using traffic_sample::NameTable;
using traffic_sample::SampledRequest;
using traffic_sample::TrafficSample;

constexpr Time kSecond = 1'000'000;

TEST(RecordTest, RareClassesAreRepresentedAndWeightsAddUpToAllRequests) {
  NameTable names;
  TrafficSample r(1280, 3600 * kSecond, 3);
  const auto busy = names.numberOf("slot-status"), rare = names.numberOf("refund"),
             t = names.numberOf("acme");
  for (int i = 0; i < 100'000; ++i) {
    SampledRequest e;
    e.at = kSecond + i;
    e.request_class = i % 10'000 == 0 ? rare : busy;
    e.tenant = t;
    r.note(e);
  }
  std::map<std::uint16_t, double> weights;
  std::map<std::uint16_t, std::size_t> held;
  for (const auto& [e, weight] : r.sample()) weights[e.request_class] += weight, ++held[e.request_class];
  EXPECT_EQ(held[rare], 10U);
  EXPECT_EQ(held[busy], 10U) << "each stratum holds 1280 / 2 / 64 entries";
  EXPECT_NEAR(weights[rare], 10, 1e-6);
  EXPECT_NEAR(weights[busy], 99'990, 1e-3);
  EXPECT_EQ(r.requestCount(), 100'000U);
}

// Estimates a fraction from 400 seeded samples: the mean must be unbiased, and about 95 % of the estimates
// must be within 1.96 standard deviations.
TEST(RecordTest, EstimatesFromSamplesAreUnbiased) {
  double sum = 0;
  int within = 0;
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    TrafficSample r(128 * 100, 3600 * kSecond, seed);
    for (int i = 0; i < 5000; ++i) {
      SampledRequest e;
      e.at = kSecond + i;
      e.zone = i % 4 == 0 ? 1 : 2;
      r.note(e);
    }
    double in_zone = 0, all = 0;
    for (const auto& [e, weight] : r.sample()) all += weight, in_zone += e.zone == 1 ? weight : 0;
    sum += in_zone / all;
    within += std::abs(in_zone / all - 0.25) < 1.96 * std::sqrt(0.25 * 0.75 / 100) ? 1 : 0;
  }
  EXPECT_NEAR(sum / 400, 0.25, 0.01);
  EXPECT_GT(within, 400 * 0.90);
  EXPECT_LT(within, 400 * 0.99);
}

TEST(RecordTest, OldGenerationIsDroppedAlsoWithMorePairsThanStrata) {
  TrafficSample r(1280, 100 * kSecond, 1);
  for (std::uint16_t i = 1; i <= 200; ++i) {
    SampledRequest e;
    e.at = i * kSecond;
    e.request_class = i;
    r.note(e);
  }
  for (const auto& [e, weight] : r.sample()) EXPECT_GT(e.at, 95 * kSecond);
  EXPECT_LE(r.requestCount(), 105U);
}

TEST(RecordTest, ShapeOmitsIdsAndNameTableIsBounded) {
  EXPECT_EQ(traffic_sample::shapeOf("/slot-status/x"), "/slot-status/x");
  EXPECT_EQ(traffic_sample::shapeOf("/v1/swap-charge/rider-4711/refund"), "/v1/swap-charge/~/refund");
  NameTable names;
  EXPECT_EQ(names.numberOf("a"), names.numberOf("a"));
  for (int i = 0; i < 6000; ++i) names.numberOf("n" + std::to_string(i));
  EXPECT_EQ(names.size(), NameTable::kMaxNames);
  EXPECT_EQ(names.numberOf("one more"), NameTable::kOther);
  EXPECT_EQ(names.at(names.numberOf("n7")), "n7");
}

// ---- the replay ----

// A services file: for each of the classes 1 to 6 its service and the zone that owns the service.
struct File {
  struct Row {
    std::int32_t service = -1;
    std::string zone;
  };
  std::vector<Row> rows = std::vector<Row>(7);
  std::vector<std::string> services = {"s0", "s1", "s2"};
  RoutingSnapshot snapshot() const {
    RoutingSnapshot s;
    for (std::size_t i = 0; i < rows.size(); ++i) s.routes.push_back("r" + std::to_string(i));
    s.place = [this](const SampledRequest& e) {
      const Row& row = rows[e.request_class];
      Placement p;
      if (row.service < 0) return p;
      p.service = row.service;
      p.route = e.request_class;
      p.service_name = services[static_cast<std::size_t>(row.service)];
      p.zone = row.zone;
      return p;
    };
    return s;
  }
};

NameTable namesOf() {
  NameTable n;
  for (const char* name : {"c1", "c2", "c3", "c4", "c5", "c6", "a", "b", "c"}) n.numberOf(name);
  return n;
}

// A thousand random pairs of files, replayed over samples that hold every request: the totals must equal a
// direct count.
TEST(Rehearsal, TotalsEqualADirectCountForRandomPairsOfFiles) {
  load_balancer::Random random(9);
  const NameTable names = namesOf();
  for (int round = 0; round < 1000; ++round) {
    File now, pending;
    for (File* f : {&now, &pending}) {
      for (std::size_t c = 1; c < 7; ++c) {
        f->rows[c].service = static_cast<std::int32_t>(random.below(4)) - 1;
        f->rows[c].zone = std::string(1, static_cast<char>('a' + random.below(3)));
      }
    }
    TrafficSample record(128 * 64, 3600 * kSecond, 1);
    double split = 0, left = 0, moved = 0;
    std::map<std::string, double> work;
    for (int i = 0; i < 40; ++i) {
      SampledRequest e;
      e.at = kSecond;
      e.request_class = static_cast<std::uint16_t>(1 + random.below(6));
      e.zone = static_cast<std::uint16_t>(7 + random.below(3));
      e.idempotency = static_cast<Idempotency>(random.below(3));
      e.work = 1;
      record.note(e);
      const File::Row &b = now.rows[e.request_class], &a = pending.rows[e.request_class];
      const std::string bz = b.service < 0 ? "" : b.zone, az = a.service < 0 ? "" : a.zone;
      work[e.idempotency != Idempotency::Idempotent && !az.empty() ? az : names.at(e.zone)] += 1;
      if (e.idempotency == Idempotency::Idempotent) continue;
      split += b.service >= 0 && b.service != a.service && bz != az ? 1 : 0;
      left += b.service >= 0 && a.service < 0 ? 1 : 0;
      moved += bz != az ? 1 : 0;
    }
    const PreviewTotals t = replay(record, names, now.snapshot(), pending.snapshot(), 2 * kSecond);
    ASSERT_NEAR(t.keys_split, split, 1e-9) << round;
    ASSERT_NEAR(t.left_alone, left, 1e-9) << round;
    ASSERT_NEAR(t.to_other_site, moved, 1e-9) << round;
    ASSERT_EQ(t.work, work) << round;
    ASSERT_NEAR(t.all, 40, 1e-9);
  }
}

class Judged : public ::testing::Test {
 protected:
  PreviewTotals totalsOf(const File& now, const File& pending,
                         Idempotency idempotency = Idempotency::IdempotentWithKey, int requests = 5000) {
    TrafficSample record(128 * 5000, 3600 * kSecond, 1);
    for (int i = 0; i < requests; ++i) {
      SampledRequest e;
      e.at = kSecond;
      e.request_class = static_cast<std::uint16_t>(1 + i % 6);
      e.zone = 7;
      e.tenant = 1;
      e.idempotency = idempotency;
      e.work = 0.01F;
      record.note(e);
    }
    PreviewTotals t = replay(record, names, now.snapshot(), pending.snapshot(), 11 * kSecond);
    t.routes.erase("r0");
    return t;
  }
  File allClasses(std::int32_t service, const std::string& zone) const {
    File f;
    for (std::size_t c = 1; c < 7; ++c) f.rows[c] = {service, zone};
    return f;
  }
  const NameTable names = namesOf();
  const std::map<std::string, double> zone_capacity = {{"a", 20}, {"b", 20}};
};

TEST_F(Judged, MovingAWholeServiceToAnotherZoneIsSafe) {
  const Assessment v = assess(totalsOf(allClasses(0, "a"), allClasses(0, "b")), zone_capacity, 1, 0, {});
  EXPECT_EQ(v.risk, Risk::Safe) << (v.causes.empty() ? "" : v.causes[0]);
  EXPECT_LT(v.error, 0.02);
}

TEST_F(Judged, KeysThatChangeServiceAndSiteAreUnsafe) {
  const Assessment v = assess(totalsOf(allClasses(0, "a"), allClasses(1, "b")), zone_capacity, 1, 0, {});
  EXPECT_EQ(v.risk, Risk::Unsafe);
  EXPECT_EQ(v.causes[0].rfind("unsafe: 100.0 % of the requests", 0), 0U) << v.causes[0];
  EXPECT_EQ(assess(totalsOf(allClasses(0, "a"), allClasses(1, "a")), zone_capacity, 1, 0, {}).risk,
            Risk::Safe)
      << "the same site";
  EXPECT_EQ(assess(totalsOf(allClasses(0, "a"), allClasses(-1, "")), zone_capacity, 1, 0, {}).risk,
            Risk::Unsafe);
  EXPECT_EQ(assess(totalsOf(allClasses(0, "a"), allClasses(1, "b"), Idempotency::Idempotent), zone_capacity,
                   1, 0, {})
                .risk,
            Risk::Safe);
}

TEST_F(Judged, OverloadMissingMembersDifferingFilesUnusedRoutesAndSmallSamplesAreRisky) {
  const PreviewTotals t = totalsOf(allClasses(0, "a"), allClasses(0, "b"));
  const auto firstCause = [](const Assessment& v) { return v.causes.empty() ? std::string() : v.causes[0]; };
  const Assessment full = assess(t, {{"b", 5}}, 1, 0, {});
  EXPECT_EQ(full.risk, Risk::Risky);
  EXPECT_EQ(firstCause(full), "risky: zone b would be at 100.0 % of its capacity");
  EXPECT_EQ(firstCause(assess(t, zone_capacity, 12, 0, {})), "risky: only 1 of 12 members have reported");
  EXPECT_EQ(firstCause(assess(t, zone_capacity, 1, 2, {})), "risky: 2 members have a different pending file");
  File some = allClasses(0, "b");
  some.rows[6].service = -1;
  const PreviewTotals unused = totalsOf(File{}, some);
  EXPECT_EQ(firstCause(assess(unused, zone_capacity, 1, 0, {})),
            "risky: route r6 was not used by any recorded request");
  EXPECT_EQ(assess(totalsOf(allClasses(0, "a"), allClasses(0, "b"), Idempotency::IdempotentWithKey, 30),
                   zone_capacity, 1, 0, {})
                .risk,
            Risk::Risky)
      << "the sample is too small";
}

TEST_F(Judged, TotalsOfMembersAddUpInAnyOrder) {
  const PreviewTotals x = totalsOf(allClasses(0, "a"), allClasses(1, "b")),
                      y = totalsOf(allClasses(0, "a"), allClasses(-1, "")),
                      z = totalsOf(File{}, allClasses(2, "a"));
  PreviewTotals one = x, two = z;
  one.add(y), one.add(z);
  two.add(x), two.add(y);
  EXPECT_EQ(one.members, 3U);
  EXPECT_NEAR(one.keys_split, two.keys_split, 1e-9);
  EXPECT_NEAR(one.taken_in, two.taken_in, 1e-9);
  for (const auto& [zone, work] : one.work) EXPECT_NEAR(work, two.work.at(zone), 1e-6);
}

TEST_F(Judged, AssessmentIsVoidWhenAnyInputChanges) {
  const PreviewInputs g{1, 2, 3, 4};
  const Assessment v = assess(totalsOf(allClasses(0, "a"), allClasses(0, "b")), zone_capacity, 1, 0, g);
  EXPECT_TRUE(v.holds(g));
  for (const PreviewInputs& other : {PreviewInputs{9, 2, 3, 4}, PreviewInputs{1, 9, 3, 4},
                                     PreviewInputs{1, 2, 9, 4}, PreviewInputs{1, 2, 3, 9}})
    EXPECT_FALSE(v.holds(other));
}

}  // namespace
}  // namespace client_proxy::change_preview
