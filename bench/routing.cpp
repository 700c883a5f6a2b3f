// What a route's look-up costs, by the number of routes, and of targets brought into their form.
//
//     build/bench/bench_routing
#include <benchmark/benchmark.h>

#include <string>

#include "routing/routes.h"
#include "routing/target.h"

namespace {

using namespace client_proxy::routing;

// Services of ten routes each, on hosts of their own, as a site of many would have.
Routes routesOf(std::int64_t count) {
  std::vector<Rule> rules;
  for (std::int64_t i = 0; i < count; ++i) {
    const std::string service = std::to_string(i / 10), route = std::to_string(i % 10);
    rules.push_back({.name = "r" + std::to_string(i),
                     .host = "s" + service + ".example",
                     .path = "/v1/part" + route + "/{rider}/charges",
                     .method = "POST"});
  }
  return Routes(std::move(rules));
}

void BM_Find(benchmark::State& state) {
  const Routes routes = routesOf(state.range(0));
  std::vector<std::pair<std::string, std::string>> asked;
  for (std::int64_t i = 0; i < 1024; ++i) {
    const std::int64_t n = (i * 7919) % state.range(0);
    asked.emplace_back("s" + std::to_string(n / 10) + ".example",
                       "/v1/part" + std::to_string(n % 10) + "/4711/charges");
  }
  std::size_t i = 0, missed = 0;
  for (auto _ : state) {
    const auto& [host, path] = asked[++i % asked.size()];
    missed += routes.find({.host = host, .path = path, .method = "POST"}) ? 0U : 1U;
  }
  if (missed > 0) state.SkipWithError("a route was not found");
}
BENCHMARK(BM_Find)->RangeMultiplier(10)->Range(100, 10'000);

// All routes on one host, side by side below one part.
void BM_FindOnOneHost(benchmark::State& state) {
  std::vector<Rule> rules;
  for (std::int64_t i = 0; i < state.range(0); ++i)
    rules.push_back({.name = "r" + std::to_string(i), .path = "/v1/part" + std::to_string(i) + "/{rider}"});
  const Routes routes(std::move(rules));
  std::vector<std::string> paths;
  for (std::int64_t i = 0; i < 1024; ++i)
    paths.push_back("/v1/part" + std::to_string((i * 7919) % state.range(0)) + "/4711");
  std::size_t i = 0, missed = 0;
  for (auto _ : state) missed += routes.find({.path = paths[++i % paths.size()], .method = "GET"}) ? 0U : 1U;
  if (missed > 0) state.SkipWithError("a route was not found");
}
BENCHMARK(BM_FindOnOneHost)->RangeMultiplier(10)->Range(100, 10'000);

void BM_Target(benchmark::State& state) {
  for (auto _ : state) benchmark::DoNotOptimize(targetOf("/v1/part7/./4711/%63harges?from=kiosk"));
}
BENCHMARK(BM_Target);

void BM_Build(benchmark::State& state) {
  for (auto _ : state) benchmark::DoNotOptimize(routesOf(state.range(0)));
  state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_Build)->RangeMultiplier(10)->Range(100, 10'000)->Unit(benchmark::kMillisecond)->Complexity();

}  // namespace

BENCHMARK_MAIN();
