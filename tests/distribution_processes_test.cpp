// Four replicas in two regions and twelve proxies as processes of the program, with faults of processes,
// disks and the network. Tests wait for reported state; the time limit only ends a failed test. At the end
// the checker checks the recorded history.
#include <gtest/gtest.h>

#include <filesystem>
#include <future>

#include "distribution_rig.h"

namespace client_proxy::rig {
namespace {

namespace fs = std::filesystem;
using distribution::Status;
using distribution::Version;

std::string textOf(int number) {
  return "class shared {\n  effect safe\n  aim " + std::to_string(100 + number) + "ms\n  deadline 2s\n}\n";
}

class Distribution : public ::testing::Test {
 protected:
  void SetUp() override {
    for (std::size_t r = 0; r < DistributionRig::kReplicas; ++r) rig.startReplica(r);
    for (std::size_t n = 0; n < DistributionRig::kProxies; ++n) rig.startProxy(n, extraConfiguration(n));
    ASSERT_TRUE(rig.until([&] {
      return watchCount() == DistributionRig::kProxies && quorumAt({0, 1, 2, 3});
    })) << rig.logs();
  }
  void TearDown() override {
    if (HasFatalFailure()) return;
    ASSERT_TRUE(rig.until([&] { return replicasHold(newest()); })) << rig.logs();
    EXPECT_EQ(rig.breaches(), "") << rig.logs();
  }
  virtual std::string extraConfiguration(std::size_t) const { return {}; }

  // The number of proxies with a watch on a replica, as the reachable replicas report it.
  std::size_t watchCount() const {
    std::size_t count = 0;
    for (std::size_t r = 0; r < DistributionRig::kReplicas; ++r) count += watchCountAt(r);
    return count;
  }
  std::size_t watchCountAt(std::size_t r) const {
    const std::optional<Status> status = rig.statusOf(r);
    if (!status) return 0;
    return static_cast<std::size_t>(std::count_if(status->members.begin(), status->members.end(),
                                                  [](const auto& m) { return m.connected; }));
  }
  // The replica with the most watches.
  std::size_t mostWatched() const {
    std::vector<std::size_t> counts;
    for (std::size_t r = 0; r < DistributionRig::kReplicas; ++r) counts.push_back(watchCountAt(r));
    return static_cast<std::size_t>(std::max_element(counts.begin(), counts.end()) - counts.begin());
  }
  static std::vector<std::size_t> allBut(std::size_t excluded) {
    std::vector<std::size_t> rest;
    for (std::size_t r = 0; r < DistributionRig::kReplicas; ++r) {
      if (r != excluded) rest.push_back(r);
    }
    return rest;
  }
  // All replicas with `first` in front: a command tries them in this order.
  static std::vector<std::size_t> firstOfAll(std::size_t first) {
    std::vector<std::size_t> all = allBut(first);
    all.insert(all.begin(), first);
    return all;
  }
  bool quorumAt(const std::vector<std::size_t>& replicas, bool quorum = true) const {
    return std::all_of(replicas.begin(), replicas.end(), [&](std::size_t r) {
      const auto status = rig.statusOf(r);
      return status && status->quorum == quorum;
    });
  }
  bool replicaHolds(std::size_t r, Version version) const {
    const auto status = rig.statusOf(r);
    return status && status->version >= version;
  }
  bool replicasHold(Version version) const {
    return replicaHolds(0, version) && replicaHolds(1, version) && replicaHolds(2, version) &&
           replicaHolds(3, version);
  }
  Version newest() const {
    Version newest = 0;
    for (const auto& p : rig.history().publishes) newest = std::max(newest, p.version);
    return newest;
  }
  // Publishes and expects this version, in force at all proxies.
  testing::AssertionResult published(const std::string& text, Version version,
                                     const std::vector<std::size_t>& at = {0, 1, 2, 3}) {
    const auto result = rig.publish(text, at);
    if (result.status != 0 || result.page().at("version") != version)
      return testing::AssertionFailure() << result.status << " " << result.out << rig.logs();
    return testing::AssertionSuccess();
  }
  bool faultAt(std::size_t r, const std::string& kind) const {
    const auto status = rig.statusOf(r);
    return status && std::any_of(status->faults.begin(), status->faults.end(),
                                 [&](const std::string& f) { return f.find(kind) != std::string::npos; });
  }

  DistributionRig rig{CLIENT_PROXY_PROGRAM};
};

TEST_F(Distribution, APublishAndARevertAreInForceAtAllProxiesAndInStatus) {
  ASSERT_TRUE(published(textOf(1), 1));
  ASSERT_TRUE(published(textOf(2), 2));
  EXPECT_TRUE(rig.until([&] { return rig.allHold(2); }));
  const auto status = rig.status();
  EXPECT_EQ(status.status, 0) << status.out;
  EXPECT_EQ(status.page().at("progress").at("held_by"), DistributionRig::kProxies) << status.out;
  const auto reverted = rig.revert(1, textOf(1));
  EXPECT_EQ(reverted.status, 0) << reverted.out;
  EXPECT_EQ(reverted.page().at("version"), 3);
  EXPECT_TRUE(rig.until([&] { return rig.allHold(3); }));
}

class DistributionOneDiffers : public Distribution {
 protected:
  // The operator file of proxy 5 defines a class that the shared file will define too.
  std::string extraConfiguration(std::size_t n) const override {
    return n == 5 ? "class taken {\n  effect safe\n  aim 1s\n  deadline 2s\n}\n" : "";
  }
};

TEST_F(DistributionOneDiffers, ATextInvalidAtOneProxyIsRefusedThereAndAppliedByTheOthers) {
  ASSERT_TRUE(published(textOf(1), 1));
  const auto result = rig.publish(textOf(1) + "class taken {\n  effect safe\n  aim 1s\n  deadline 2s\n}\n");
  EXPECT_EQ(result.status, 3) << result.out;
  const auto progress = result.page().at("progress");
  EXPECT_EQ(progress.at("held_by"), DistributionRig::kProxies - 1) << result.out;
  const auto refusing = progress.at("members").at(5);
  EXPECT_EQ(refusing.at("state"), "refused") << result.out;
  const std::string detail = refusing.value("detail", "");
  EXPECT_NE(detail.find("shared.conf:6:"), std::string::npos) << detail;
  EXPECT_NE(detail.find("taken"), std::string::npos) << detail;
  EXPECT_EQ(rig.versionOf(5), 1U) << "it continues with the version in force";
  EXPECT_NE(rig.get(5, "/stats").find("app_concurrent"), std::string::npos);
  EXPECT_TRUE(rig.until([&] { return rig.allHold(2, {5}); }));
  ASSERT_TRUE(published(textOf(3), 3)) << "a later version is checked anew";
}

TEST_F(Distribution, WatchersOfAKilledReplicaReconnectAndPublishesSucceed) {
  ASSERT_TRUE(published(textOf(1), 1));
  const std::size_t killed = mostWatched();
  const std::vector<std::size_t> others = allBut(killed);
  const std::size_t moved = watchCountAt(killed);
  const double reconnects = rig.totalReconnects();
  auto second = std::async(std::launch::async, [&] { return rig.publish(textOf(2), others); });
  rig.killReplica(killed);
  const auto result = second.get();
  EXPECT_EQ(result.status, 0) << result.out << rig.logs();
  ASSERT_TRUE(published(textOf(3), 3, others));
  EXPECT_TRUE(rig.until([&] { return watchCount() == DistributionRig::kProxies; }));
  EXPECT_GE(rig.totalReconnects(), reconnects + static_cast<double>(moved));
  rig.startReplica(killed);
  EXPECT_TRUE(rig.until([&] { return replicaHolds(killed, 3) && quorumAt({killed}); })) << rig.logs();
  ASSERT_TRUE(published(textOf(4), 4, firstOfAll(killed))) << "the restarted replica decides";
}

TEST_F(Distribution, AFrozenReplicaIsAbandonedAndCatchesUpAfterItResumes) {
  ASSERT_TRUE(published(textOf(1), 1));
  rig.freezeReplica(2);
  const auto result = rig.publish(textOf(2), {0, 1, 3}, "--wait 12s ");
  EXPECT_EQ(result.status, 0) << result.out << rig.logs();
  EXPECT_TRUE(rig.until([&] { return rig.allHold(2); })) << rig.logs();
  rig.thawReplica(2);
  EXPECT_TRUE(rig.until([&] { return replicaHolds(2, 2) && quorumAt({2}); })) << rig.logs();
  ASSERT_TRUE(published(textOf(3), 3, firstOfAll(2)));
}

TEST_F(Distribution, PartitionedRegionsAcceptNoPublishAndRecoverWhenReconnected) {
  ASSERT_TRUE(published(textOf(1), 1));
  rig.cutRegions(true);
  ASSERT_TRUE(rig.until([&] { return quorumAt({0, 1, 2, 3}, false); })) << rig.logs();
  const auto north = rig.publish(textOf(2), {0, 1}, "--wait 2s ");
  const auto south = rig.publish(textOf(3), {2, 3}, "--wait 2s ");
  EXPECT_EQ(north.status, 1) << north.out;
  EXPECT_EQ(south.status, 1) << south.out;
  EXPECT_EQ(north.page().at("result"), "undecided");
  EXPECT_EQ(south.page().at("result"), "undecided");
  for (std::size_t n = 0; n < DistributionRig::kProxies; ++n) {
    EXPECT_EQ(rig.versionOf(n), 1U);
    EXPECT_NE(rig.get(n, "/stats").find("app_concurrent"), std::string::npos) << "continues to serve";
  }
  rig.cutRegions(false);
  ASSERT_TRUE(rig.until([&] { return quorumAt({0, 1, 2, 3}); })) << rig.logs();
  // Either publish may still be chosen, or none; a publish from now on gets a later version.
  ASSERT_TRUE(rig.until([&] { return rig.publish(textOf(4)).status == 0; })) << rig.logs();
  EXPECT_TRUE(rig.until([&] { return rig.allHold(newest()); })) << rig.logs();
}

TEST_F(Distribution, WithTwoOfFourReplicasDownNoPublishIsAcceptedUntilAThirdStarts) {
  ASSERT_TRUE(published(textOf(1), 1));
  rig.killReplica(2);
  rig.killReplica(3);
  const auto refused = rig.publish(textOf(2), {0, 1}, "--wait 2s ");
  EXPECT_EQ(refused.status, 1) << refused.out;
  ASSERT_TRUE(rig.until([&] { return watchCount() == DistributionRig::kProxies; })) << rig.logs();
  rig.startReplica(3);
  ASSERT_TRUE(rig.until([&] { return quorumAt({0, 1, 3}); })) << rig.logs();
  ASSERT_TRUE(rig.until([&] { return rig.publish(textOf(3), {0, 1, 3}).status == 0; })) << rig.logs();
  rig.startReplica(2);
}

TEST_F(Distribution, AReplicaWithAnOldDiskReportsItAndNoProxyGoesBack) {
  ASSERT_TRUE(published(textOf(1), 1));
  ASSERT_TRUE(rig.until([&] { return replicasHold(1); }));
  ASSERT_TRUE(rig.endReplica(0));
  const std::string folder = rig.replicaFolder(0), copy = folder + "-copy";
  fs::copy(folder, copy, fs::copy_options::recursive);
  rig.startReplica(0);
  ASSERT_TRUE(rig.until([&] { return quorumAt({0}); })) << rig.logs();
  for (int v = 2; v <= 4; ++v) ASSERT_TRUE(published(textOf(v), static_cast<Version>(v)));
  ASSERT_TRUE(rig.until([&] { return replicasHold(4); }));
  ASSERT_TRUE(rig.endReplica(0));
  fs::remove_all(folder);
  fs::rename(copy, folder);
  rig.startReplica(0);
  ASSERT_TRUE(rig.until([&] { return faultAt(0, "old disk"); })) << rig.logs();
  ASSERT_TRUE(rig.until([&] { return replicaHolds(0, 4); })) << rig.logs();
  ASSERT_TRUE(published(textOf(5), 5));
  EXPECT_TRUE(rig.until([&] { return rig.allHold(5); }));
}

TEST_F(Distribution, AProxyThatStartsWithoutReachableReplicasServesFromItsFile) {
  ASSERT_TRUE(published(textOf(1), 1));
  ASSERT_TRUE(rig.until([&] { return rig.allHold(1); }));
  const auto from = rig.now();
  for (std::size_t r = 0; r < DistributionRig::kReplicas; ++r) rig.killReplica(r);
  rig.killProxy(3);
  rig.startProxy(3);
  ASSERT_TRUE(rig.until([&] { return rig.get(3, "/stats").find("{type=\"shared\"}") != std::string::npos; }))
      << rig.get(3, "/stats") << rig.logs();
  EXPECT_EQ(rig.metric(3, "app_configuration_version"), 1);
  EXPECT_EQ(rig.versionOf(3), 1U);
  for (std::size_t r = 0; r < DistributionRig::kReplicas; ++r) rig.startReplica(r);
  ASSERT_TRUE(rig.until([&] { return quorumAt({0, 1, 2, 3}); })) << rig.logs();
  ASSERT_TRUE(rig.until([&] { return watchCount() == DistributionRig::kProxies; })) << rig.logs();
  for (std::size_t n = 0; n < DistributionRig::kProxies; ++n) rig.outage(n, from);
  ASSERT_TRUE(published(textOf(2), 2));
}

TEST_F(Distribution, OfTwoConcurrentPublishesOneGetsAConflictOrBothAreOrdered) {
  ASSERT_TRUE(published(textOf(1), 1));
  for (int round = 0; round < 5; ++round) {
    const Version before = newest();
    auto first = std::async(std::launch::async, [&] { return rig.publish(textOf(10 + round), {0, 1}); });
    const auto second = rig.publish(textOf(20 + round), {2, 3});
    const auto one = first.get();
    const int in_force = (one.page().at("result") == "published" ? 1 : 0) +
                         (second.page().at("result") == "published" ? 1 : 0);
    EXPECT_GE(in_force, 1) << one.out << second.out;
    EXPECT_EQ(newest(), before + static_cast<Version>(in_force));
    for (const auto& result : {one, second}) {
      const std::string outcome = result.page().at("result");
      EXPECT_TRUE(outcome == "published" || outcome == "conflict") << result.out;
    }
  }
}

// Deliberate violations, which the checker has to detect in the state that real processes report.
class DistributionBroken : public Distribution {
 protected:
  void TearDown() override {}
  testing::AssertionResult seen(const std::string& breach) {
    const std::string breaches = rig.breaches();
    if (breaches.find(breach) != std::string::npos) return testing::AssertionSuccess();
    return testing::AssertionFailure() << "not among: " << breaches;
  }
};

TEST_F(DistributionBroken, ASharedFileOverwrittenWithAnOlderOneIsReportedAsGoingBack) {
  ASSERT_TRUE(published(textOf(1), 1));
  const std::string first = rig.sharedText(3);
  ASSERT_TRUE(published(textOf(2), 2));
  ASSERT_TRUE(rig.until([&] { return rig.allHold(2); }));
  rig.replaceShared(3, first);
  EXPECT_TRUE(seen("member 3 went back from version 2 to 1 (disk)\n"));
}

TEST_F(DistributionBroken, WithAllFourDisksLostTheLossIsSeenAndNoProxyTakesTheSecondHistory) {
  ASSERT_TRUE(published(textOf(1), 1));
  for (std::size_t r = 0; r < DistributionRig::kReplicas; ++r) ASSERT_TRUE(rig.endReplica(r));
  for (std::size_t r = 0; r < DistributionRig::kReplicas; ++r) {
    fs::remove_all(rig.replicaFolder(r));
    fs::create_directory(rig.replicaFolder(r));
    rig.startReplica(r);
  }
  ASSERT_TRUE(rig.until([&] { return quorumAt({0, 1, 2, 3}); })) << rig.logs();
  ASSERT_TRUE(rig.until([&] { return watchCount() == DistributionRig::kProxies; })) << rig.logs();
  const auto second = rig.publish(textOf(2), {0, 1, 2, 3}, "--wait 5s ");
  EXPECT_EQ(second.status, 3) << second.out;
  EXPECT_EQ(second.page().at("progress").at("held_by"), 0) << second.out;
  for (std::size_t n = 0; n < DistributionRig::kProxies; ++n)
    EXPECT_EQ(rig.sharedText(n).rfind(textOf(1), 0), 0U) << rig.sharedText(n);
  EXPECT_TRUE(seen("version 1 is one text for publisher "));
  EXPECT_TRUE(seen(" is lost at replica 1\n"));
  EXPECT_TRUE(seen(" got version 1 after publish "));
  // The documented recovery: a shared file without a version lets each proxy accept the new history.
  for (std::size_t n = 0; n < DistributionRig::kProxies; ++n) {
    rig.replaceShared(n, textOf(1));
    rig.rereadProxy(n);
  }
  EXPECT_TRUE(rig.until([&] {
    for (std::size_t n = 0; n < DistributionRig::kProxies; ++n) {
      if (rig.sharedText(n).rfind(textOf(2), 0) != 0 || rig.versionOf(n) != 1) return false;
    }
    return true;
  })) << rig.logs();
}

TEST_F(DistributionBroken, AFrozenProxyIsListedInStatusAndReportedAsLate) {
  rig.freezeProxy(4);
  const auto result = rig.publish(textOf(1));
  EXPECT_EQ(result.status, 3) << result.out;
  const auto progress = result.page().at("progress");
  EXPECT_EQ(progress.at("held_by"), DistributionRig::kProxies - 1) << result.out;
  const std::string state = progress.at("members").at(4).at("state");
  EXPECT_TRUE(state == "connected but behind" || state == "not heard") << state;
  EXPECT_TRUE(seen("version 1 was not in force at member 4 within 12 s\n"));
}

}  // namespace
}  // namespace client_proxy::rig
