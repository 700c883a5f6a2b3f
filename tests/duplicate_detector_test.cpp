// Tests DuplicateDetector: the decision for repeats, within one process and across hand-overs between
// processes.
#include "admission/duplicate_detector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <optional>

namespace client_proxy::admission {
namespace {

using Verdict = DuplicateDetector::Verdict;
constexpr Time kMs = 1000, kSec = 1'000'000, kStart = 9'000'000'000;

RequestRecord safe(const std::string& id) { return {.id = id, .key = "", .safe = true}; }
RequestRecord unsafe(const std::string& id) { return {.id = id, .key = ""}; }
RequestRecord keyed(const std::string& id, const std::string& key, Time deduplication_window) {
  return {.id = id, .key = key, .safe = false, .deduplication_window = deduplication_window};
}

struct RepeatsTest : ::testing::Test {
  DuplicateDetector detector{{.kept = 5 * kSec, .bytes = 100'000}};
};

TEST_F(RepeatsTest, DecidesForARepeatByTheResultOfTheFirstRequest) {
  struct Row {
    const char* description;
    RequestRecord first, next;
    std::optional<bool> ended;  // whether it may have run; nullopt: it is open
    Time later;
    Verdict verdict;
  };
  const Row rows[] = {
      {"safe, open", safe("a"), safe("a"), {}, kMs, Verdict::Open},
      {"safe, ran", safe("a"), safe("a"), true, kMs, Verdict::New},
      {"unsafe, open", unsafe("a"), unsafe("a"), {}, kMs, Verdict::Open},
      {"unsafe, ran", unsafe("a"), unsafe("a"), true, kMs, Verdict::MayHaveRun},
      {"unsafe, ran, repeated as a safe class", unsafe("a"), safe("a"), true, kMs, Verdict::MayHaveRun},
      {"unsafe, refused", unsafe("a"), unsafe("a"), false, kMs, Verdict::New},
      {"unsafe, ran, record expired", unsafe("a"), unsafe("a"), true, 6 * kSec, Verdict::New},
      {"other ids", unsafe("a"), unsafe("b"), true, kMs, Verdict::New},
      {"key, open, dropped by all", keyed("a", "k", kSec), keyed("b", "k", kSec), {}, kMs, Verdict::New},
      {"key, ran, within its window", keyed("a", "k", kSec), keyed("b", "k", kSec), true, kMs, Verdict::New},
      {"key, ran, after its window", keyed("a", "k", kSec), keyed("b", "k", kSec), true, 2 * kSec,
       Verdict::MayHaveRun},
      {"key, ran, dropped by a group only", keyed("a", "k", 0), keyed("b", "k", 0), true, kMs,
       Verdict::MayHaveRun},
      {"key, open, dropped by a group only", keyed("a", "k", 0), keyed("b", "k", 0), {}, kMs, Verdict::Open},
      {"key, refused", keyed("a", "k", 0), keyed("b", "k", 0), false, kMs, Verdict::New},
      {"other keys", keyed("a", "k", 0), keyed("b", "l", 0), true, kMs, Verdict::New},
  };
  for (const Row& row : rows) {
    // In one process, and with a hand-over while the request is open: its open record is transferred, then
    // its end.
    for (const bool handed_over : {false, true}) {
      DuplicateDetector first({.kept = 5 * kSec}), second({.kept = 5 * kSec});
      ASSERT_EQ(first.offer(kStart, row.first).verdict, Verdict::New);
      if (handed_over) second.restore(kStart, first.snapshot(kStart));
      if (row.ended) {
        const RequestRecord record = first.end(kStart, row.first.id, *row.ended);
        EXPECT_EQ(record.id, row.first.id);
        if (handed_over) second.restore(kStart, std::vector{record});
      }
      EXPECT_EQ((handed_over ? second : first).offer(kStart + row.later, row.next).verdict, row.verdict)
          << row.description << (handed_over ? ", handed over" : "");
    }
  }
}

// Hosts count a deduplication window from the first request, not from its latest repeat.
TEST_F(RepeatsTest, RepeatsOfAKeyDoNotExtendItsDeduplicationWindow) {
  Time now = kStart;
  for (int n = 0; n < 5; ++n, now += 300 * kMs) {
    const std::string id = "a" + std::to_string(n);
    EXPECT_EQ(detector.offer(now, keyed(id, "k", kSec)).verdict, n < 4 ? Verdict::New : Verdict::MayHaveRun)
        << n;
    detector.end(now, id, true);
  }
}

// Guards against a repeat that is sent by a window of its own.
TEST_F(RepeatsTest, ARepeatOfAKeyIsToldTheEndOfTheFirstRequestsWindow) {
  EXPECT_EQ(detector.offer(kStart, keyed("a", "k", kSec)).dropped_until, std::nullopt);
  EXPECT_EQ(detector.offer(kStart + 300 * kMs, keyed("b", "k", kSec)).dropped_until, kStart + kSec);
  EXPECT_EQ(detector.offer(kStart + 600 * kMs, keyed("c", "k", kSec)).dropped_until, kStart + kSec);
  EXPECT_EQ(detector.offer(kStart + 600 * kMs, keyed("d", "l", kSec)).dropped_until, std::nullopt);
}

TEST_F(RepeatsTest, ARepeatThatNeverRanKeepsTheRecordOfTheFirst) {
  ASSERT_EQ(detector.offer(kStart, keyed("a", "k", kSec)).verdict, Verdict::New);
  detector.end(kStart + kMs, "a", true);
  ASSERT_EQ(detector.offer(kStart + 2 * kMs, keyed("b", "k", kSec)).verdict, Verdict::New);
  detector.end(kStart + 3 * kMs, "b", false);
  EXPECT_EQ(detector.offer(kStart + 2 * kSec, keyed("c", "k", kSec)).verdict, Verdict::MayHaveRun);
}

TEST_F(RepeatsTest, MemoryIsBoundedForAnyClientIds) {
  for (int n = 0; n < 5000; ++n) {
    const std::string id = std::to_string(n) + std::string(n % 3 == 0 ? 3000 : 10, 'x');
    ASSERT_EQ(detector.offer(kStart + n, unsafe(id)).verdict, Verdict::New);
    detector.end(kStart + n, id, true);
    ASSERT_LE(detector.bytes(), 100'000U);
  }
  EXPECT_GT(detector.size(), 10U);
  EXPECT_EQ(detector.offer(kStart + 5000, unsafe("4999xxxxxxxxxx")).verdict, Verdict::MayHaveRun)
      << "the latest records are kept";
  EXPECT_EQ(detector.offer(kStart + 60 * kSec, unsafe("late")).verdict, Verdict::New);
  EXPECT_EQ(detector.bytes(), 0U);
  EXPECT_EQ(detector.size(), 1U);
}

TEST_F(RepeatsTest, RecordsOfAnotherProcessDoNotEndRequestsThatAreOpenHere) {
  ASSERT_EQ(detector.offer(kStart, unsafe("a")).verdict, Verdict::New);
  RequestRecord record = unsafe("a");
  record.began = kStart - kSec, record.ended = kStart, record.never_ran = true;
  detector.restore(kStart, std::vector{record});
  EXPECT_EQ(detector.offer(kStart + kMs, unsafe("a")).verdict, Verdict::Open);
  record.id = "from the future", record.began = kStart + kSec;
  detector.restore(kStart, std::vector{record});
  EXPECT_EQ(detector.size(), 1U);
}

// A sequence of processes, any of which may be killed at any step, with arbitrary repeats from clients: no
// unsafe request runs twice, and no keyed one runs again outside its deduplication window.
RC_GTEST_PROP(RepeatsGenerated, NothingRunsTwiceAcrossUpgradesRepeatsAndKills, ()) {
  struct Process {
    DuplicateDetector detector{{.kept = 5 * kSec}};
    std::map<std::string, bool> open;  // by id: whether it runs
  };
  std::optional<Process> serving, leaving;
  serving.emplace();
  std::map<std::string, std::vector<Time>> run_times;  // by key, or by id without one
  Time now = kStart;
  int next_number = 0;
  const auto below = [](int n) { return *rc::gen::inRange(0, n); };
  const auto endOne = [&](Process& p, Process* successor) {
    if (p.open.empty()) return;
    auto it = p.open.begin();
    std::advance(it, below(static_cast<int>(p.open.size())));
    const RequestRecord record = p.detector.end(now, it->first, it->second);
    p.open.erase(it);
    if (successor != nullptr) successor->detector.restore(now, std::vector{record});
  };
  const int steps = *rc::gen::inRange(20, 120);
  for (int n = 0; n < steps; ++n) {
    now += below(400) * kMs;
    switch (below(8)) {
      default: {  // a new request, or a repeat of a recent one
        const int request_number = below(2) == 0 ? next_number++ : std::max(0, next_number - 1 - below(4));
        const bool is_keyed = request_number % 2 == 1;
        const std::string key = is_keyed ? "k" + std::to_string(request_number) : "";
        // The same id again, or the same key under a new id.
        const bool other_id = is_keyed && below(2) == 0;
        const std::string id =
            (other_id ? std::to_string(n) + "-" : "") + "r" + std::to_string(request_number);
        const Time deduplication_window = request_number % 4 == 1 ? kSec : 0;
        if (serving->detector.offer(now, is_keyed ? keyed(id, key, deduplication_window) : unsafe(id))
                .verdict != Verdict::New)
          break;
        const bool ran = below(4) != 0;
        serving->open[id] = ran;
        if (ran) run_times[is_keyed ? key : id].push_back(now);
        break;
      }
      case 4:
        endOne(*serving, nullptr);
        break;
      case 5:
        if (leaving) endOne(*leaving, &*serving);
        break;
      case 6: {  // an upgrade; a process that was still leaving is killed
        leaving = std::move(serving);
        serving.emplace();
        serving->detector.restore(now, leaving->detector.snapshot(now));
        break;
      }
      case 7:  // the leaving process is killed, and its records are lost
        leaving.reset();
        break;
    }
  }
  for (const auto& [key_or_id, times] : run_times) {
    const bool dropped = key_or_id[0] == 'k' && std::stoi(key_or_id.substr(1)) % 4 == 1;
    for (std::size_t i = 1; i < times.size(); ++i) {
      // A repeat after its record has expired counts as a new request.
      const bool forgotten = times[i] - times[i - 1] >= 5 * kSec;
      RC_ASSERT(forgotten || (dropped && times[i] - times[0] < kSec));
    }
  }
}

}  // namespace
}  // namespace client_proxy::admission
