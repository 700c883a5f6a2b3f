// What the operators' language costs: reading and formatting 100 to 10,000 routes, checking, comparing and
// dumping as many classes, with the memory that a checked configuration holds.
//
//     build/bench/bench_conf
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <string>

#include "conf/report.h"

namespace {

using namespace client_proxy::conf;

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

// A whole configuration with as many classes, which are to it what routes will be.
struct OneFile : FileSource {
  explicit OneFile(std::int64_t classes) {
    text = "listen 127.0.0.1:8080\npool stations {\n  host s-1 10.0.0.1:80\n}\n";
    for (std::int64_t i = 0; i < classes; ++i) {
      text += "class c" + std::to_string(i) +
              " {  # station\n  effect unsafe\n  aim 1s\n  deadline 2.5s\n  guaranteed 1\n}\n";
    }
  }
  std::optional<std::string> read(const std::string&) override { return text; }
  std::vector<std::string> match(const std::string&) override { return {}; }
  std::string text;
};

void BM_Check(benchmark::State& state) {
  OneFile file(state.range(0));
  for (auto _ : state) {
    const Configuration c = readConfiguration(file, "a.conf");
    if (!c.ok()) state.SkipWithError(oneLine(c.found.front(), c.sources).c_str());
  }
  const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
  const Configuration held = readConfiguration(file, "a.conf");
  state.counters["bytes_held"] =
      benchmark::Counter(static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd - before));
  state.counters["bytes_of_text"] = benchmark::Counter(static_cast<double>(file.text.size()));
  state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_Check)->RangeMultiplier(10)->Range(100, 10'000)->Unit(benchmark::kMillisecond)->Complexity();

void BM_Compare(benchmark::State& state) {
  OneFile file(state.range(0));
  const Configuration before = readConfiguration(file, "a.conf");
  file.text.replace(file.text.rfind("2.5s"), 4, "2s");
  const Configuration after = readConfiguration(file, "a.conf");
  for (auto _ : state) {
    if (compare(before.root, after.root).size() != 1) state.SkipWithError("not one difference");
  }
  state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_Compare)->RangeMultiplier(10)->Range(100, 10'000)->Unit(benchmark::kMillisecond)->Complexity();

void BM_Dump(benchmark::State& state) {
  OneFile file(state.range(0));
  const Configuration c = readConfiguration(file, "a.conf");
  for (auto _ : state) benchmark::DoNotOptimize(dump(c.root));
  state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_Dump)->RangeMultiplier(10)->Range(100, 10'000)->Unit(benchmark::kMillisecond)->Complexity();

}  // namespace

BENCHMARK_MAIN();
