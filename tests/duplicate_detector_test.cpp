// Requests that must not run a second time: one process, and one process after another.
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
  DuplicateDetector r{{.kept = 5 * kSec, .bytes = 100'000}};
};

TEST_F(RepeatsTest, WhatBecameOfTheFirstSaysWhatBecomesOfTheNext) {
  struct Row {
    const char* what;
    RequestRecord first, next;
    std::optional<bool> ended;  // may have run; nothing: it is open
    Time later;
    Verdict verdict;
  };
  const Row rows[] = {
      {"safe, open", safe("a"), safe("a"), {}, kMs, Verdict::Open},
      {"safe, ran", safe("a"), safe("a"), true, kMs, Verdict::New},
      {"unsafe, open", unsafe("a"), unsafe("a"), {}, kMs, Verdict::Open},
      {"unsafe, ran", unsafe("a"), unsafe("a"), true, kMs, Verdict::MayHaveRun},
      {"unsafe, ran, shown as another class", unsafe("a"), safe("a"), true, kMs, Verdict::MayHaveRun},
      {"unsafe, refused", unsafe("a"), unsafe("a"), false, kMs, Verdict::New},
      {"unsafe, ran, long ago", unsafe("a"), unsafe("a"), true, 6 * kSec, Verdict::New},
      {"other ids", unsafe("a"), unsafe("b"), true, kMs, Verdict::New},
      {"key, open, dropped everywhere", keyed("a", "k", kSec), keyed("b", "k", kSec), {}, kMs, Verdict::New},
      {"key, ran, in its window", keyed("a", "k", kSec), keyed("b", "k", kSec), true, kMs, Verdict::New},
      {"key, ran, after it", keyed("a", "k", kSec), keyed("b", "k", kSec), true, 2 * kSec,
       Verdict::MayHaveRun},
      {"key, ran, dropped by a group", keyed("a", "k", 0), keyed("b", "k", 0), true, kMs,
       Verdict::MayHaveRun},
      {"key, open, dropped by a group", keyed("a", "k", 0), keyed("b", "k", 0), {}, kMs, Verdict::Open},
      {"key, refused", keyed("a", "k", 0), keyed("b", "k", 0), false, kMs, Verdict::New},
      {"other keys", keyed("a", "k", 0), keyed("b", "l", 0), true, kMs, Verdict::New},
  };
  for (const Row& row : rows) {
    // The same in one process, and over a hand-over at the worst moment: told before its end, and of its end.
    for (const bool handed : {false, true}) {
      DuplicateDetector first({.kept = 5 * kSec}), second({.kept = 5 * kSec});
      ASSERT_EQ(first.offer(kStart, row.first), Verdict::New);
      if (handed) second.restore(kStart, first.snapshot(kStart));
      if (row.ended) {
        const RequestRecord told = first.end(kStart, row.first.id, *row.ended);
        EXPECT_EQ(told.id, row.first.id);
        if (handed) second.restore(kStart, std::vector{told});
      }
      EXPECT_EQ((handed ? second : first).offer(kStart + row.later, row.next), row.verdict)
          << row.what << (handed ? ", handed over" : "");
    }
  }
}

// Hosts count a window from the first, not from the last of its repeats.
TEST_F(RepeatsTest, RepeatsOfAKeyDoNotStretchItsWindow) {
  Time now = kStart;
  for (int n = 0; n < 5; ++n, now += 300 * kMs) {
    const std::string id = "a" + std::to_string(n);
    EXPECT_EQ(r.offer(now, keyed(id, "k", kSec)), n < 4 ? Verdict::New : Verdict::MayHaveRun) << n;
    r.end(now, id, true);
  }
}

TEST_F(RepeatsTest, ARepeatThatNeverRanTakesNothingFromTheFirstThatDid) {
  ASSERT_EQ(r.offer(kStart, keyed("a", "k", kSec)), Verdict::New);
  r.end(kStart + kMs, "a", true);
  ASSERT_EQ(r.offer(kStart + 2 * kMs, keyed("b", "k", kSec)), Verdict::New);
  r.end(kStart + 3 * kMs, "b", false);
  EXPECT_EQ(r.offer(kStart + 2 * kSec, keyed("c", "k", kSec)), Verdict::MayHaveRun);
}

TEST_F(RepeatsTest, MemoryIsBoundedWhateverIdsClientsMakeUp) {
  for (int n = 0; n < 5000; ++n) {
    const std::string id = std::to_string(n) + std::string(n % 3 == 0 ? 3000 : 10, 'x');
    ASSERT_EQ(r.offer(kStart + n, unsafe(id)), Verdict::New);
    r.end(kStart + n, id, true);
    ASSERT_LE(r.bytes(), 100'000U);
  }
  EXPECT_GT(r.size(), 10U);
  EXPECT_EQ(r.offer(kStart + 5000, unsafe("4999xxxxxxxxxx")), Verdict::MayHaveRun) << "the latest are kept";
  EXPECT_EQ(r.offer(kStart + 60 * kSec, unsafe("late")), Verdict::New);
  EXPECT_EQ(r.bytes(), 0U);
  EXPECT_EQ(r.size(), 1U);
}

TEST_F(RepeatsTest, WhatAnotherProcessSaysDoesNotEndWhatIsOpenHere) {
  ASSERT_EQ(r.offer(kStart, unsafe("a")), Verdict::New);
  RequestRecord told = unsafe("a");
  told.began = kStart - kSec, told.ended = kStart, told.never_ran = true;
  r.restore(kStart, std::vector{told});
  EXPECT_EQ(r.offer(kStart + kMs, unsafe("a")), Verdict::Open);
  told.id = "from the future", told.began = kStart + kSec;
  r.restore(kStart, std::vector{told});
  EXPECT_EQ(r.size(), 1U);
}

// Processes one after another, any of which may be killed at any step, and clients that repeat whatever they
// like: no unsafe request runs twice, no keyed one outside its window.
RC_GTEST_PROP(RepeatsGenerated, NothingRunsTwiceOverAnyUpgradesRepeatsAndKills, ()) {
  struct Process {
    DuplicateDetector known{{.kept = 5 * kSec}};
    std::map<std::string, bool> open;  // ids, and whether they run
  };
  std::optional<Process> serving, leaving;
  serving.emplace();
  std::map<std::string, std::vector<Time>> runs;  // by what may run once
  Time now = kStart;
  int fresh = 0;
  const auto below = [](int n) { return *rc::gen::inRange(0, n); };
  const auto endOne = [&](Process& p, Process* successor) {
    if (p.open.empty()) return;
    auto it = p.open.begin();
    std::advance(it, below(static_cast<int>(p.open.size())));
    const RequestRecord told = p.known.end(now, it->first, it->second);
    p.open.erase(it);
    if (successor != nullptr) successor->known.restore(now, std::vector{told});
  };
  const int steps = *rc::gen::inRange(20, 120);
  for (int n = 0; n < steps; ++n) {
    now += below(400) * kMs;
    switch (below(8)) {
      default: {  // a request: a new one, or a repeat of one of the last few
        const int which = below(2) == 0 ? fresh++ : std::max(0, fresh - 1 - below(4));
        const bool is_keyed = which % 2 == 1;
        const std::string key = is_keyed ? "k" + std::to_string(which) : "";
        // Either it is the same again, or its key under a new id.
        const bool other_id = is_keyed && below(2) == 0;
        const std::string id = (other_id ? std::to_string(n) + "-" : "") + "r" + std::to_string(which);
        const Time deduplication_window = which % 4 == 1 ? kSec : 0;
        if (serving->known.offer(now, is_keyed ? keyed(id, key, deduplication_window) : unsafe(id)) !=
            Verdict::New)
          break;
        const bool ran = below(4) != 0;
        serving->open[id] = ran;
        if (ran) runs[is_keyed ? key : id].push_back(now);
        break;
      }
      case 4:
        endOne(*serving, nullptr);
        break;
      case 5:
        if (leaving) endOne(*leaving, &*serving);
        break;
      case 6: {  // an upgrade; whoever was leaving is killed
        leaving = std::move(serving);
        serving.emplace();
        serving->known.restore(now, leaving->known.snapshot(now));
        break;
      }
      case 7:  // the one that leaves is killed, with all that it held
        leaving.reset();
        break;
    }
  }
  for (const auto& [what, times] : runs) {
    const bool dropped = what[0] == 'k' && std::stoi(what.substr(1)) % 4 == 1;
    for (std::size_t i = 1; i < times.size(); ++i) {
      // Repeats that come later than anything is kept for are new requests.
      const bool forgotten = times[i] - times[i - 1] >= 5 * kSec;
      RC_ASSERT(forgotten || (dropped && times[i] - times[0] < kSec));
    }
  }
}

}  // namespace
}  // namespace client_proxy::admission
