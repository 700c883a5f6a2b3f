// Checks the invariants of the configuration distribution, which hold under any failures. A test records the
// results of publishes and the observed state of proxies and replicas; the checker is a pure function of this
// history and reports each violation as one line.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace client_proxy::distribution {

// Milliseconds since the start of the recording.
using HistoryTime = std::chrono::milliseconds;

// An acknowledged publish, with the version that its text got.
struct PublishRecord {
  HistoryTime requested{0};  // when the request was sent
  HistoryTime decided{0};    // at the latest; the version may be in force before the acknowledgement
  HistoryTime acknowledged{0};
  std::string id;
  std::uint64_t version = 0;
  std::string digest;
};

// The version in force at a proxy, as one source reports it: its file on disk, or the status of a replica.
struct InForceRecord {
  HistoryTime at{0};
  std::uint32_t member = 0;
  std::string source;
  std::uint64_t version = 0;
  std::string digest;
};

// A proxy refuses a version because its own check found an error.
struct RefusalRecord {
  HistoryTime at{0};
  std::uint32_t member = 0;
  std::uint64_t version = 0;
};

// A time in which a proxy could reach no replica with a quorum, or did not run.
struct OutageRecord {
  std::uint32_t member = 0;
  HistoryTime from{0}, to{0};
};

// A change that a replica stores at the end.
struct StoredRecord {
  std::uint32_t replica = 0;
  std::uint64_t version = 0;
  std::string id;
  std::string digest;
};

// All that a test has recorded.
struct History {
  std::vector<std::uint32_t> members;  // all proxies that should apply the changes
  std::vector<PublishRecord> publishes;
  std::vector<InForceRecord> in_force;
  std::vector<RefusalRecord> refusals;
  std::vector<OutageRecord> outages;
  std::vector<StoredRecord> stored;  // of each replica that runs at the end
  HistoryTime end{0};
};

// Checks one history; `history` must outlive the checker.
class HistoryChecker {
 public:
  // The longest time from the decision until a version is in force at each proxy that is reachable.
  static constexpr HistoryTime kInForceWithin{12'000};

  explicit HistoryChecker(const History& history) : history_(history) {}

  // One line for each violation; empty: none. To be called once.
  std::vector<std::string> breaches() {
    checkVersionsNeverDecrease();
    checkOneTextPerVersion();
    checkNoAcknowledgedChangeIsLost();
    checkPublishOrder();
    checkInForceInTime();
    return std::move(breaches_);
  }

 private:
  void breach(std::string what) { breaches_.push_back(std::move(what)); }

  void checkVersionsNeverDecrease() {
    std::map<std::pair<std::uint32_t, std::string>, InForceRecord> newest;
    for (const InForceRecord& record : history_.in_force) {
      const auto [before, first] = newest.try_emplace({record.member, record.source}, record);
      if (!first && record.version < before->second.version)
        breach("member " + std::to_string(record.member) + " went back from version " +
               std::to_string(before->second.version) + " to " + std::to_string(record.version) + " (" +
               record.source + ")");
      if (!first) before->second = record;
    }
  }

  void checkOneTextPerVersion() {
    std::map<std::uint64_t, std::pair<std::string, std::string>>
        known;  // digest, and the source that reported it first
    const auto compare = [&](std::uint64_t version, const std::string& digest, const std::string& source) {
      if (version == 0) return;  // not published: each proxy starts with its own file
      const auto [before, first] = known.try_emplace(version, digest, source);
      if (!first && before->second.first != digest)
        breach("version " + std::to_string(version) + " is one text for " + before->second.second +
               " and another for " + source);
    };
    for (const PublishRecord& p : history_.publishes) compare(p.version, p.digest, "publisher " + p.id);
    for (const StoredRecord& s : history_.stored)
      compare(s.version, s.digest, "replica " + std::to_string(s.replica));
    for (const InForceRecord& r : history_.in_force)
      compare(r.version, r.digest, "member " + std::to_string(r.member));
  }

  // The replicas that run at the end have caught up, so each must store every acknowledged change.
  void checkNoAcknowledgedChangeIsLost() {
    std::map<std::uint32_t, std::map<std::uint64_t, std::string>> ids;
    for (const StoredRecord& s : history_.stored) ids[s.replica][s.version] = s.id;
    if (ids.empty() && !history_.publishes.empty()) breach("no replica stores any change at the end");
    for (const PublishRecord& p : history_.publishes) {
      for (const auto& [replica, changes] : ids) {
        const auto stored = changes.find(p.version);
        if (stored == changes.end() || stored->second != p.id)
          breach("version " + std::to_string(p.version) + " of publish " + p.id + " is lost at replica " +
                 std::to_string(replica));
      }
    }
  }

  // A publish requested after another one was acknowledged gets a higher version.
  void checkPublishOrder() {
    for (const PublishRecord& earlier : history_.publishes) {
      for (const PublishRecord& later : history_.publishes) {
        if (earlier.acknowledged < later.requested && earlier.id != later.id &&
            later.version <= earlier.version)
          breach("publish " + later.id + " got version " + std::to_string(later.version) + " after publish " +
                 earlier.id + " had got " + std::to_string(earlier.version));
      }
    }
  }

  void checkInForceInTime() {
    for (const PublishRecord& p : history_.publishes) {
      for (const std::uint32_t member : history_.members) {
        const HistoryTime due = dueAt(member, p.decided);
        if (due <= history_.end && !appliedOrRefused(member, p.version, due))
          breach("version " + std::to_string(p.version) + " was not in force at member " +
                 std::to_string(member) + " within " + std::to_string(kInForceWithin.count() / 1000) + " s");
      }
    }
  }

  // When the version must be in force; after an outage, kInForceWithin after its end.
  HistoryTime dueAt(std::uint32_t member, HistoryTime decided) const {
    std::vector<OutageRecord> outages;
    for (const OutageRecord& outage : history_.outages) {
      if (outage.member == member) outages.push_back(outage);
    }
    std::sort(outages.begin(), outages.end(),
              [](const OutageRecord& a, const OutageRecord& b) { return a.from < b.from; });
    HistoryTime due = decided + kInForceWithin;
    for (const OutageRecord& outage : outages) {
      if (outage.from <= due && outage.to > decided) due = std::max(due, outage.to + kInForceWithin);
    }
    return due;
  }

  // Whether by `due` the version or a later one was in force at the member or refused by it.
  bool appliedOrRefused(std::uint32_t member, std::uint64_t version, HistoryTime due) const {
    const auto in_force = [&](const InForceRecord& r) {
      return r.member == member && r.version >= version && r.at <= due;
    };
    const auto refused = [&](const RefusalRecord& r) {
      return r.member == member && r.version >= version && r.at <= due;
    };
    return std::any_of(history_.in_force.begin(), history_.in_force.end(), in_force) ||
           std::any_of(history_.refusals.begin(), history_.refusals.end(), refused);
  }

  const History& history_;
  std::vector<std::string> breaches_;
};

inline std::string breachesOf(const History& history) {
  std::string all;
  for (const std::string& breach : HistoryChecker(history).breaches()) all += breach + "\n";
  return all;
}

}  // namespace client_proxy::distribution
