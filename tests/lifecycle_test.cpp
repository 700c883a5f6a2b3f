// The life of a process: each event in each phase, and what is due when.
#include "lifecycle/lifecycle.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

namespace client_proxy::lifecycle {
namespace {

using Kind = Step::Kind;
constexpr Time kMs = 1000, kStart = 7'000'000'000;

std::string textOf(const Steps& steps) {
  static constexpr const char* kNames[] = {"send-away", "keep",       "close-idle",     "give-away",
                                           "take-back", "answer-all", "stop-listening", "leave"};
  std::string text;
  for (const Step& s : steps) {
    text += (text.empty() ? "" : " ") + std::string(kNames[static_cast<int>(s.kind)]);
    if (s.rested > 0) text += "/" + std::to_string(s.rested / kMs);
    if (s.by > 0) text += "/" + std::to_string((s.by - kStart) / kMs);
  }
  return text;
}

struct Life {
  explicit Life(Time longest = 3000 * kMs) : machine(longest) {}
  std::string tell(const std::string& event) {
    Steps steps;
    if (event == "listening") machine.onListening();
    if (event == "drain") machine.onDrain(now, steps);
    if (event == "undrain") machine.onUndrain(steps);
    if (event == "hand-on") machine.onHandOn(steps);
    if (event == "take-back") machine.onRollBack(steps);
    if (event == "end") machine.onEnd(now, steps);
    return textOf(steps);
  }
  // All that is due until then, as "after so many ms: steps; ...", with so many connections left.
  std::string until(Time time, std::size_t connections) {
    std::string text;
    while (machine.due() <= time) {
      now = machine.due();
      Steps steps;
      machine.onTime(now, connections, steps);
      if (!steps.empty()) text += std::to_string((now - kStart) / kMs) + ": " + textOf(steps) + "; ";
    }
    now = time;
    return text;
  }
  Lifecycle machine;
  Time now = kStart;
};

struct Row {
  const char* before;  // events, in order
  const char* event;
  const char* steps;
  Phase after;
  bool drained;
};

TEST(Lifecycle, EachEventInEachPhase) {
  const Row rows[] = {
      {"", "listening", "", Phase::Serving, false},
      {"", "drain", "send-away", Phase::Starting, true},
      {"", "hand-on", "", Phase::Starting, false},
      {"", "take-back", "", Phase::Starting, false},
      {"", "end", "answer-all/3500 send-away", Phase::Ending, false},
      {"listening", "listening", "", Phase::Serving, false},
      {"listening", "drain", "send-away", Phase::Serving, true},
      {"listening", "undrain", "", Phase::Serving, false},
      {"listening", "hand-on", "keep give-away", Phase::HandingOn, false},
      {"listening", "take-back", "", Phase::Serving, false},
      {"listening", "end", "answer-all/3500 send-away", Phase::Ending, false},
      {"listening drain", "drain", "", Phase::Serving, true},
      {"listening drain", "undrain", "keep", Phase::Serving, false},
      {"listening drain", "hand-on", "keep give-away", Phase::HandingOn, true},
      {"listening drain", "end", "answer-all/3500 send-away", Phase::Ending, true},
      {"listening hand-on", "hand-on", "", Phase::HandingOn, false},
      {"listening hand-on", "listening", "", Phase::HandingOn, false},
      {"listening hand-on", "take-back", "keep take-back", Phase::Serving, false},
      {"listening drain hand-on", "take-back", "send-away take-back", Phase::Serving, true},
      {"listening hand-on", "end", "answer-all/3500", Phase::HandingOn, false},
      {"listening hand-on end", "take-back", "send-away take-back", Phase::Ending, false},
      {"listening end", "end", "", Phase::Ending, false},
      {"listening end", "drain", "send-away", Phase::Ending, true},
      {"listening drain end", "undrain", "", Phase::Ending, false},
      {"listening end", "hand-on", "keep give-away", Phase::HandingOn, false},
  };
  for (const Row& row : rows) {
    Life life;
    std::string before = row.before;
    for (std::size_t at = 0; at < before.size();) {
      const std::size_t end = std::min(before.find(' ', at), before.size());
      life.tell(before.substr(at, end - at));
      at = end + 1;
    }
    EXPECT_EQ(life.tell(row.event), row.steps) << row.before << " + " << row.event;
    EXPECT_EQ(life.machine.phase(), row.after) << row.before << " + " << row.event;
    EXPECT_EQ(life.machine.drained(), row.drained) << row.before << " + " << row.event;
  }
}

TEST(Lifecycle, ADrainClosesWhatHasRestedLongFirstAndAllWithinTheTimeItHas) {
  Life life;
  life.tell("listening");
  EXPECT_EQ(life.machine.due(), kNothingDue);
  life.tell("drain");
  EXPECT_EQ(life.until(kStart + 700 * kMs, 3),
            "500: close-idle/500; 600: close-idle/500; 700: close-idle/500; ");
  life.until(kStart + 2450 * kMs, 3);
  EXPECT_EQ(life.until(kStart + 2550 * kMs, 3), "2500: close-idle/100; ");
  life.tell("undrain");
  EXPECT_EQ(life.machine.due(), kNothingDue);
  // A second one begins from its own start.
  life.tell("drain");
  EXPECT_EQ(life.machine.due(), life.now + 500 * kMs);
  EXPECT_TRUE(life.machine.serves());
}

TEST(Lifecycle, AnEndAcceptsWhileConnectionsMayComeAndLeavesWhenNothingIsLeft) {
  Life life;
  life.tell("listening");
  life.tell("end");
  EXPECT_EQ(life.until(kStart + 610 * kMs, 2), "420: close-idle; 600: stop-listening close-idle; ");
  EXPECT_EQ(life.until(kStart + 650 * kMs, 2), "620: close-idle; 640: close-idle; ");
  EXPECT_EQ(life.until(kStart + 700 * kMs, 0), "660: close-idle leave; ");
  EXPECT_EQ(life.machine.phase(), Phase::Ended);
  EXPECT_FALSE(life.machine.serves());
  EXPECT_EQ(life.machine.due(), kNothingDue);
}

TEST(Lifecycle, AnEndDoesNotWaitForeverForWhoeverStays) {
  Life life;
  life.tell("listening");
  life.tell("end");
  const std::string all = life.until(kStart + 10'000 * kMs, 1);
  EXPECT_EQ(all.substr(all.rfind("; ", all.size() - 3) + 2), "3600: close-idle leave; ");
  EXPECT_EQ(life.machine.phase(), Phase::Ended);
}

// SIGKILL comes as soon as the longest deadline, 3 s at most, and 0.7 s more are over.
TEST(Lifecycle, AllIsAnsweredAndItHasGoneBeforeItWouldBeKilledWhateverClientsWait) {
  struct {
    Time longest, answered, left;
  } const rows[] = {{100, 600, 700}, {900, 1400, 1500}, {3000, 3500, 3600}, {9900, 3500, 3600}};
  for (const auto& row : rows) {
    Life life(row.longest * kMs);
    life.tell("listening");
    EXPECT_EQ(life.tell("end"), "answer-all/" + std::to_string(row.answered) + " send-away");
    life.until(kStart + (row.left - 1) * kMs, 1);
    EXPECT_EQ(life.machine.phase(), Phase::Ending) << row.longest;
    life.until(kStart + row.left * kMs, 1);
    EXPECT_EQ(life.machine.phase(), Phase::Ended) << row.longest;
  }
}

TEST(Lifecycle, WhoHasHandedOnNeverStopsListeningItLeavesWhenAllIsGone) {
  Life life;
  life.tell("listening");
  life.tell("hand-on");
  EXPECT_EQ(life.machine.due(), kNothingDue);
  life.tell("end");
  EXPECT_EQ(life.until(kStart + 30 * kMs, 1), "0: close-idle; 20: close-idle; ");
  EXPECT_EQ(life.until(kStart + 60 * kMs, 0), "40: close-idle leave; ");
}

}  // namespace
}  // namespace client_proxy::lifecycle
