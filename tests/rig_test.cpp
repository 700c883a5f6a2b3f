// The rig's own parts without processes: what breaks a rule is found, and a scenario with a mistake is
// refused.
#include <gtest/gtest.h>

#include <map>
#include <sstream>

#include "files/disk_source.h"
#include "rig/rules.h"
#include "rig/scenario.h"

namespace client_proxy::rig {
namespace {

using What = Event::What;

Event asked(bool unsafe = false) {
  return {.at = 1, .what = What::Asked, .id = "r", .proxy = 2, .unsafe = unsafe, .limit = 2.5};
}
Event ran(double at = 1.1) { return {.at = at, .what = What::Ran, .id = "r", .host = 4}; }
Event answered(int status, double at = 1.2) {
  return {.at = at, .what = What::Answered, .id = "r", .proxy = 2, .status = status};
}

std::string brokenBy(const std::vector<Event>& events) {
  std::string all;
  for (const std::string& b : judge(events).broken) all += b + "\n";
  return all;
}

TEST(RigRules, ServedRefusedAndFailedBreakNothing) {
  const Verdict v = judge({asked(), ran(), answered(200)});
  EXPECT_TRUE(v.broken.empty());
  EXPECT_EQ(v.served, 1U);
  EXPECT_EQ(brokenBy({asked(true), answered(503)}), "");
  EXPECT_EQ(brokenBy({asked(true), ran(), answered(502)}), "");
  EXPECT_EQ(brokenBy({asked(), ran(), ran(), answered(503)}), "") << "safe ones may run again";
}

TEST(RigRules, EveryBrokenRuleIsFound) {
  const auto says = [](const std::vector<Event>& events, const char* what) {
    EXPECT_NE(brokenBy(events).find(what), std::string::npos) << brokenBy(events);
  };
  says({asked()}, "never answered");
  says({asked(), ran(), answered(200), answered(200)}, "answered twice");
  says({asked(), answered(200)}, "served by no host");
  says({asked(), ran(), answered(200, 4.6)}, "answered after 3.600 s");
  Event foreign = answered(200);
  foreign.answer_to = "s";
  says({asked(), ran(), foreign}, "served with the answer to s");
  foreign.answer_to = "r";
  EXPECT_EQ(brokenBy({asked(), ran(), foreign}), "");
  says({asked(), {.at = 2, .what = What::Lost, .id = "r"}}, "lost");
  says({asked(true), ran(), ran(), answered(200)}, "ran 2 times");
  says({asked(true), ran(), answered(200), ran(3)}, "ran 2 times");
  says({asked(true), ran(), answered(429)}, "refused though it ran");
  says({ran()}, "nobody asked");
  Event late = asked();
  late.at = 12;
  const Event left{.at = 1, .what = What::Left, .host = 4}, back{.at = 11, .what = What::Back, .host = 4};
  says({left, late, ran(12.1), answered(200, 12.2)}, "which left 11.100 s before");
  EXPECT_EQ(brokenBy({left, back, late, ran(12.1), answered(200, 12.2)}), "");
}

TEST(RigRules, WhatAKilledProxyHeldIsExcused) {
  const Event lost{.at = 2, .what = What::Lost, .id = "r", .proxy = 2, .excused = true};
  const Verdict v = judge({asked(true), ran(), lost});
  EXPECT_TRUE(v.broken.empty());
  EXPECT_EQ(v.excused, 1U);
}

TEST(RigEvents, LinesAreReadAsTheyWereWritten) {
  const std::vector<Event> events = {asked(true),
                                     ran(),
                                     answered(200),
                                     {.at = 3, .what = What::Lost, .id = "s", .excused = true},
                                     {.at = 4, .what = What::Fault, .note = "zone \"b\""}};
  std::stringstream text, again;
  writeLines(text, events);
  const std::vector<Event> read = readLines(text);
  writeLines(again, read);
  EXPECT_EQ(again.str(), text.str());
  ASSERT_EQ(read.size(), 5U);
  EXPECT_TRUE(read[0].unsafe);
  EXPECT_EQ(read[4].note, "zone \"b\"");
  std::istringstream broken("{\"at\": 1, \"what\": \"ran\"}\n{\"at\": 2, \"what\": \"flew\"}\n");
  try {
    readLines(broken);
    FAIL() << "read";
  } catch (const std::runtime_error& e) {
    EXPECT_NE(std::string(e.what()).find("line 2: 'flew'"), std::string::npos) << e.what();
  }
}

class OneFile : public conf::FileSource {
 public:
  explicit OneFile(std::string text) : text_(std::move(text)) {}
  std::optional<std::string> read(const std::string&) override { return text_; }
  std::vector<std::string> match(const std::string&) override { return {}; }

 private:
  std::string text_;
};

Scenario read(const std::string& text) {
  OneFile file(text);
  return readScenario(file, "s.conf");
}
const std::string kWorld = "class c {\n}\nzone a {\n  hosts 2\n}\nzone b {\n}\n";

TEST(RigScenario, IsReadWithWhatHoldsWhereNothingIsSaid) {
  const Scenario s = read("seed 7\nproxies 5\n" + kWorld +
                          "step x {\n  at 2s\n  for 1s\n  times 3\n  every 2s\n  cut b\n}\n");
  ASSERT_TRUE(s.plan) << s.wrong.front();
  EXPECT_EQ(s.plan->seed, 7U);
  EXPECT_EQ(s.plan->hosts(), 6U);
  EXPECT_EQ(s.plan->zoneOfHost(1), 0U);
  EXPECT_EQ(s.plan->zoneOfHost(2), 1U);
  ASSERT_EQ(s.plan->steps.size(), 1U);
  EXPECT_EQ(s.plan->steps[0].fault, Fault::Cut);
  EXPECT_EQ(s.plan->steps[0].subject, 1U);
  EXPECT_EQ(s.plan->steps[0].times, 3U);
}

TEST(RigScenario, AMistakeIsNamedWithItsLine) {
  const std::map<std::string, std::string> wrong = {
      {"step x {\n  at 2s\n}\n", "s.conf:8:1: error: step x holds no fault"},
      {"step x {\n  at 2s\n  cut q\n}\n", "s.conf:10:7: error: 'q' is no zone"},
      {"step x {\n  at 2s\n  kill 12\n}\n", "there is no proxy 12; they are numbered from 0 to 11"},
      {"step x {\n  at 2s\n  kill-host 6\n}\n", "there is no host 6"},
      {"step x {\n  at 2s\n  kill 1\n  cut a\n}\n", "holds both 'kill' and 'cut'"},
      {"step x {\n  at 2s\n  kill 1\n  times 2\n}\n", "comes again before it is undone"},
      {"step x {\n  kill 1\n}\n", "step x does not say when"},
  };
  for (const auto& [text, message] : wrong) {
    const Scenario s = read(kWorld + text);
    EXPECT_FALSE(s.plan) << text;
    ASSERT_FALSE(s.wrong.empty()) << text;
    EXPECT_NE(s.wrong[0].find(message), std::string::npos) << s.wrong[0];
  }
  EXPECT_FALSE(read("zone a {\n}\n").plan) << "no class";
  EXPECT_FALSE(read("class c {\n}\n").plan) << "no host";
}

}  // namespace
}  // namespace client_proxy::rig
