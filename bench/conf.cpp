// What the operators' language costs: reading and formatting 100 to 10,000 routes.
//
//     build/bench/bench_conf
#include <benchmark/benchmark.h>

#include <string>

#include "conf/syntax.h"

namespace {

using namespace quinceline::conf;

std::string routes(std::int64_t count) {
  std::string text = "# routes of a site\n";
  for (std::int64_t i = 0; i < count; ++i) {
    text += "route \"/swap-charge/" + std::to_string(i) +
            "/{rider}\" {  # station\n  pool charges\n  deadline 2.5s\n}\n";
  }
  return text;
}

void BM_Parse(benchmark::State& state) {
  Sources sources;
  const std::uint32_t file = sources.add("routes.conf", routes(state.range(0)));
  for (auto _ : state) {
    std::vector<Diagnostic> found;
    benchmark::DoNotOptimize(parse(sources, file, found));
    if (!found.empty()) state.SkipWithError("the text has errors");
  }
  state.SetBytesProcessed(state.iterations() * static_cast<std::int64_t>(sources.text(file).size()));
  state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_Parse)->RangeMultiplier(10)->Range(100, 10'000)->Unit(benchmark::kMillisecond)->Complexity();

void BM_Format(benchmark::State& state) {
  Sources sources;
  std::vector<Diagnostic> found;
  const Document document = parse(sources, sources.add("routes.conf", routes(state.range(0))), found);
  for (auto _ : state) benchmark::DoNotOptimize(format(document));
  state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_Format)->RangeMultiplier(10)->Range(100, 10'000)->Unit(benchmark::kMillisecond)->Complexity();

// A file with an error in each statement ends as fast.
void BM_ParseBroken(benchmark::State& state) {
  std::string text;
  for (std::int64_t i = 0; i < state.range(0); ++i) text += "route \"/x\\z\" \"open\n}\n";
  Sources sources;
  const std::uint32_t file = sources.add("broken.conf", std::move(text));
  for (auto _ : state) {
    std::vector<Diagnostic> found;
    benchmark::DoNotOptimize(parse(sources, file, found));
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_ParseBroken)
    ->RangeMultiplier(10)
    ->Range(100, 10'000)
    ->Unit(benchmark::kMillisecond)
    ->Complexity();

}  // namespace

BENCHMARK_MAIN();
