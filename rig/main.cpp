// Carries out a scenario with processes of the program, and holds what it saw against the rules.
//
//     client_proxy_rig_run PROGRAM SCENARIO [LINES]
//     client_proxy_rig_run --check LINES
//
// LINES: the file for all that was seen, as lines of JSON. Ends with 1 where a rule is broken.
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <exception>
#include <fstream>
#include <stdexcept>

#include "files/disk_source.h"
#include "run.h"
#include "scenario.h"

namespace client_proxy::rig {
namespace {

double at(std::vector<double>& sorted, double part) {
  if (sorted.empty()) return 0;
  const auto n = static_cast<std::size_t>(part * static_cast<double>(sorted.size()));
  return sorted[std::min(n, sorted.size() - 1)];
}

int tell(Verdict v) {
  std::sort(v.seconds.begin(), v.seconds.end());
  std::printf("asked %zu: served %zu, refused %zu, failed %zu, lost with their proxy %zu\n", v.asked,
              v.served, v.refused, v.failed, v.excused);
  std::printf("served within: p50 %.0f ms, p99 %.0f ms, most %.0f ms\n", at(v.seconds, 0.5) * 1e3,
              at(v.seconds, 0.99) * 1e3, at(v.seconds, 1) * 1e3);
  for (const std::string& b : v.broken) std::printf("rule broken: %s\n", b.c_str());
  return v.broken.empty() ? 0 : 1;
}

int run(const char* program, const char* file, const char* lines) {
  DiskSource files;
  const Scenario scenario = readScenario(files, file);
  for (const std::string& w : scenario.wrong) std::fprintf(stderr, "%s\n", w.c_str());
  if (!scenario.plan) return 2;
  const Outcome outcome = carryOut(program, *scenario.plan);
  if (lines != nullptr) {
    std::ofstream out(lines);
    writeLines(out, outcome.events);
    if (!out) throw std::runtime_error(std::string("can't write ") + lines);
  }
  std::printf("one view at the end: %s\nrequests by host:", outcome.agreed ? "yes" : "no");
  for (const std::size_t n : outcome.ran) std::printf(" %zu", n);
  std::printf("\n");
  const int broken = tell(outcome.verdict);
  return outcome.agreed ? broken : 1;
}

int check(const char* lines) {
  std::ifstream in(lines);
  if (!in) throw std::runtime_error(std::string("can't read ") + lines);
  return tell(judge(readLines(in)));
}

}  // namespace
}  // namespace client_proxy::rig

int main(int argc, char** argv) {
  using namespace client_proxy::rig;
  try {
    if (argc == 3 && std::strcmp(argv[1], "--check") == 0) return check(argv[2]);
    if (argc == 3 || argc == 4) return run(argv[1], argv[2], argc == 4 ? argv[3] : nullptr);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "client_proxy_rig_run: %s\n", e.what());
    return 1;
  }
  std::fprintf(stderr, "client_proxy_rig_run PROGRAM SCENARIO [LINES] | --check LINES\n");
  return 2;
}
