// Figures against a plain recount of the same events.
#include "metrics/metrics.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <sstream>

namespace client_proxy::metrics {
namespace {

// The value on the line that begins with `name`; -1: there is none.
long long valueOf(const std::string& text, const std::string& name) {
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (line.rfind(name + ' ', 0) == 0) return std::stoll(line.substr(name.size() + 1));
  }
  return -1;
}

RC_GTEST_PROP(Figures, CountsAreThoseOfAPlainRecount, ()) {
  const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::element(0, 200, 429, 503, 404, 500, 502, 504)));
  RequestCounters counts;
  for (const auto& [of, status] : events)
    status == 0 ? counts.dispatched(static_cast<std::size_t>(of))
                : counts.ended(static_cast<std::size_t>(of), status);
  for (int of = 0; of < 4; ++of) {
    const auto count = [&](const std::function<bool(int)>& is) {
      return static_cast<std::uint64_t>(std::count_if(
          events.begin(), events.end(), [&](const auto& e) { return e.first == of && is(e.second); }));
    };
    const ClassCounts c = counts.of(static_cast<std::size_t>(of));
    RC_ASSERT(c.success == count([](int s) { return s == 200; }));
    RC_ASSERT(c.overload == count([](int s) { return s == 429 || s == 503; }));
    RC_ASSERT(c.dispatches == count([](int s) { return s == 0; }));
    RC_ASSERT(c.success + c.overload + c.error == count([](int s) { return s != 0; }));
  }
}

TEST(Figures, TheTextNamesEachClassAndFigureOnce) {
  ProxyMetrics page;
  page.classes = {{"swap-charge", {7, 2, 1, 12}}, {"slot-status", {100000, 0, 0, 5}}};
  page.concurrent = 14;
  page.targets = 9;
  page.targets_disabled = 2;
  page.slow_start_targets = 3;
  page.slow_start_sent = 41;
  page.violations = {{"lost", 0}, {"failback", 1}};
  const std::string text = toPrometheusText(page);
  EXPECT_EQ(valueOf(text, "app_slow_start_targets"), 3);
  EXPECT_EQ(valueOf(text, "app_slow_start_dispatches"), 41);
  EXPECT_EQ(valueOf(text, "app_rule_violations{rule=\"lost\"}"), 0);
  EXPECT_EQ(valueOf(text, "app_rule_violations{rule=\"failback\"}"), 1);
  EXPECT_EQ(valueOf(text, "app_success{type=\"swap-charge\"}"), 7);
  EXPECT_EQ(valueOf(text, "app_overload{type=\"swap-charge\"}"), 2);
  EXPECT_EQ(valueOf(text, "app_error{type=\"swap-charge\"}"), 1);
  EXPECT_EQ(valueOf(text, "app_dispatches{type=\"swap-charge\"}"), 12);
  EXPECT_EQ(valueOf(text, "app_success{type=\"slot-status\"}"), 100000);
  EXPECT_EQ(valueOf(text, "app_error{type=\"slot-status\"}"), 0);
  EXPECT_EQ(valueOf(text, "app_concurrent"), 14);
  EXPECT_EQ(valueOf(text, "app_targets"), 9);
  EXPECT_EQ(valueOf(text, "app_targets_disabled"), 2);
}

// A class that a reload has changed has a new number and its old name.
TEST(Figures, ClassesOfOneNameAreOneFigure) {
  ProxyMetrics page;
  page.classes = {{"a", {1, 2, 3, 4}}, {"b", {}}, {"a", {10, 20, 30, 40}}};
  const std::string text = toPrometheusText(page);
  EXPECT_EQ(valueOf(text, "app_success{type=\"a\"}"), 11);
  EXPECT_EQ(valueOf(text, "app_dispatches{type=\"a\"}"), 44);
  EXPECT_EQ(text.find("type=\"a\""), text.find("app_success{type=\"a\"}") + 12);
}

}  // namespace
}  // namespace client_proxy::metrics
