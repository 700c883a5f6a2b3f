// The measuring commands run as an operator would call them, for two seconds: what they print is whole and
// sane. No bound on any time, which a busy machine would break.
#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace {

using nlohmann::json;

struct Ran {
  int status = -1;
  std::string output;
};

Ran run(const std::string& command) {
  FILE* const from = popen(command.c_str(), "r");
  if (from == nullptr) throw std::runtime_error("can't start " + command);
  Ran ran;
  std::array<char, 4096> bytes{};
  while (const std::size_t n = std::fread(bytes.data(), 1, bytes.size(), from))
    ran.output.append(bytes.data(), n);
  ran.status = pclose(from);
  return ran;
}

void expectOrdered(const json& quantiles) {
  EXPECT_LE(quantiles.at("p50"), quantiles.at("p90"));
  EXPECT_LE(quantiles.at("p90"), quantiles.at("p99"));
  EXPECT_LE(quantiles.at("p99"), quantiles.at("p99.9"));
  EXPECT_LE(quantiles.at("p99.9"), quantiles.at("most"));
}

TEST(BenchLatency, PairsCallsWithControlOffAndOn) {
  const Ran ran =
      run(BENCH_LATENCY " --seconds 2 --repetitions 1 --rates 67 --members 5 --services 5 --hosts 10 --json");
  ASSERT_EQ(ran.status, 0) << ran.output;
  const json found = json::parse(ran.output);
  ASSERT_EQ(found.at("cells").size(), 2U);
  EXPECT_NEAR(found.at("chain_any_beyond_p99").get<double>(), 0.2064, 0.0001);
  for (const json& cell : found.at("cells")) {
    EXPECT_GE(cell.at("pairs").get<int>(), 10) << cell;
    EXPECT_EQ(cell.at("repetitions").size(), 1U);
    for (const char* way : {"direct", "through the proxy", "added"}) expectOrdered(cell.at("pooled").at(way));
    EXPECT_GT(cell.at("pooled").at("direct").at("p50"), 0);
    EXPECT_GT(cell.at("pooled").at("through the proxy").at("p50"), 0);
    expectOrdered(cell.at("chain"));
  }
  const json& off = found.at("cells").at(0);
  const json& on = found.at("cells").at(1);
  EXPECT_EQ(off.at("control"), false);
  EXPECT_EQ(off.at("repetitions").at(0).at("reloads"), 0);
  EXPECT_EQ(on.at("control"), true);
  EXPECT_GE(on.at("repetitions").at(0).at("reloads"), 1);
}

TEST(BenchLatency, RefusesARateOfNothing) {
  EXPECT_NE(run(BENCH_LATENCY " --rates 0 2>/dev/null").status, 0);
}

TEST(BenchSlopes, FitsALineToWhatTheDecisionModuleWeighs) {
  const Ran ran = run(BENCH_SLOPES " --only decision --quick --json");
  ASSERT_EQ(ran.status, 0) << ran.output;
  const json quantities = json::parse(ran.output).at("experiments").at(0).at("quantities");
  ASSERT_EQ(quantities.size(), 4U);
  // The last one is the heap, which the sanitizers' allocator does not count.
  for (std::size_t q = 0; q < quantities.size(); ++q) {
    EXPECT_EQ(quantities.at(q).at("points").size(), 4U);
    if (q + 1 == quantities.size()) break;
    for (const json& point : quantities.at(q).at("points"))
      EXPECT_GT(point.at("value"), 0) << quantities.at(q);
  }
}

TEST(BenchSlopes, RefusesAnUnknownName) {
  EXPECT_NE(run(BENCH_SLOPES " --only nothing 2>/dev/null").status, 0);
}

}  // namespace
