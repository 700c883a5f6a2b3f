// What must hold of every history of the distributed configuration, whatever failed meanwhile. A test records
// what publishers were told and what proxies and replicas showed; the checker is pure and names each breach.
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

// Since the start of the recording.
using HistoryTime = std::chrono::milliseconds;

// A publisher was told that its text has this version.
struct PublishRecord {
  HistoryTime asked{0};
  HistoryTime decided{0};  // at the latest; it may be in force before the publisher is told
  HistoryTime told{0};
  std::string id;
  std::uint64_t version = 0;
  std::string digest;
};

// What was in force at a proxy, as one source shows it: its file on disk, or a replica's table.
struct HoldingRecord {
  HistoryTime at{0};
  std::uint32_t member = 0;
  std::string source;
  std::uint64_t version = 0;
  std::string digest;
};

// A proxy does not take a version, because its own check found an error.
struct RefusalRecord {
  HistoryTime at{0};
  std::uint32_t member = 0;
  std::uint64_t version = 0;
};

// No replica with a quorum could be reached from a proxy, or it did not run.
struct OutageRecord {
  std::uint32_t member = 0;
  HistoryTime from{0}, to{0};
};

// A change as a replica has it at the end.
struct StoredRecord {
  std::uint32_t replica = 0;
  std::uint64_t version = 0;
  std::string id;
  std::string digest;
};

struct History {
  std::vector<std::uint32_t> members;  // all proxies that should follow
  std::vector<PublishRecord> publishes;
  std::vector<HoldingRecord> holdings;
  std::vector<RefusalRecord> refusals;
  std::vector<OutageRecord> outages;
  std::vector<StoredRecord> stored;  // by each replica that runs at the end
  HistoryTime end{0};
};

class HistoryChecker {
 public:
  // Published until in force wherever it can be reached.
  static constexpr HistoryTime kInForceWithin{12'000};

  explicit HistoryChecker(const History& history) : history_(history) {}

  // One line for each breach; empty: all is as it must be.
  std::vector<std::string> breaches() {
    versionsOnlyGrow();
    oneTextForEachVersion();
    nothingAcknowledgedIsLost();
    publishesAreInOrder();
    inForceInTime();
    return std::move(breaches_);
  }

 private:
  void breach(std::string what) { breaches_.push_back(std::move(what)); }

  void versionsOnlyGrow() {
    std::map<std::pair<std::uint32_t, std::string>, HoldingRecord> newest;
    for (const HoldingRecord& holding : history_.holdings) {
      const auto [before, first] = newest.try_emplace({holding.member, holding.source}, holding);
      if (!first && holding.version < before->second.version)
        breach("member " + std::to_string(holding.member) + " went back from version " +
               std::to_string(before->second.version) + " to " + std::to_string(holding.version) + " (" +
               holding.source + ")");
      if (!first) before->second = holding;
    }
  }

  void oneTextForEachVersion() {
    std::map<std::uint64_t, std::pair<std::string, std::string>> known;  // digest, and who showed it
    const auto compare = [&](std::uint64_t version, const std::string& digest, const std::string& who) {
      if (version == 0) return;  // not published: each proxy starts with the file that it has
      const auto [before, first] = known.try_emplace(version, digest, who);
      if (!first && before->second.first != digest)
        breach("version " + std::to_string(version) + " is one text for " + before->second.second +
               " and another for " + who);
    };
    for (const PublishRecord& p : history_.publishes) compare(p.version, p.digest, "publisher " + p.id);
    for (const StoredRecord& s : history_.stored)
      compare(s.version, s.digest, "replica " + std::to_string(s.replica));
    for (const HoldingRecord& h : history_.holdings)
      compare(h.version, h.digest, "member " + std::to_string(h.member));
  }

  // All replicas that run at the end have caught up by then: each must have what any publisher was told.
  void nothingAcknowledgedIsLost() {
    std::map<std::uint32_t, std::map<std::uint64_t, std::string>> ids;
    for (const StoredRecord& s : history_.stored) ids[s.replica][s.version] = s.id;
    if (ids.empty() && !history_.publishes.empty()) breach("no replica has anything at the end");
    for (const PublishRecord& p : history_.publishes) {
      for (const auto& [replica, changes] : ids) {
        const auto stored = changes.find(p.version);
        if (stored == changes.end() || stored->second != p.id)
          breach("version " + std::to_string(p.version) + " of publish " + p.id + " is lost at replica " +
                 std::to_string(replica));
      }
    }
  }

  // What is published after another publisher was told gets a higher version.
  void publishesAreInOrder() {
    for (const PublishRecord& earlier : history_.publishes) {
      for (const PublishRecord& later : history_.publishes) {
        if (earlier.told < later.asked && earlier.id != later.id && later.version <= earlier.version)
          breach("publish " + later.id + " got version " + std::to_string(later.version) + " after publish " +
                 earlier.id + " had got " + std::to_string(earlier.version));
      }
    }
  }

  void inForceInTime() {
    for (const PublishRecord& p : history_.publishes) {
      for (const std::uint32_t member : history_.members) {
        const HistoryTime due = dueAt(member, p.decided);
        if (due <= history_.end && !answeredBy(member, p.version, due))
          breach("version " + std::to_string(p.version) + " was not in force at member " +
                 std::to_string(member) + " within " + std::to_string(kInForceWithin.count() / 1000) + " s");
      }
    }
  }

  // An outage puts it off until so long after its end.
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

  // It holds the version or a later one, or has refused it.
  bool answeredBy(std::uint32_t member, std::uint64_t version, HistoryTime due) const {
    const auto held = [&](const HoldingRecord& h) {
      return h.member == member && h.version >= version && h.at <= due;
    };
    const auto refused = [&](const RefusalRecord& r) {
      return r.member == member && r.version >= version && r.at <= due;
    };
    return std::any_of(history_.holdings.begin(), history_.holdings.end(), held) ||
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
