// Plays plans that are drawn from seeds, one after the other, and holds each against the rules.
//
//     client_proxy_rig_soak PROGRAM FIRST-SEED COUNT [VARIABLE=VALUE...]
//
// The variables go to the proxies, such as LD_PRELOAD with a library that fails calls. Ends with 1 where a
// rule was broken.
#include <cstdio>
#include <cstdlib>
#include <exception>

#include "random_plan.h"
#include "run.h"

namespace client_proxy::rig {
namespace {

// Returns whether all rules were kept.
bool play(const char* program, std::uint64_t seed, const std::vector<std::string>& environment) {
  Plan plan = randomPlan(seed);
  plan.environment = environment;
  const Outcome outcome = carryOut(program, plan, false);
  std::printf("seed %llu: %zu proxies, %zu faults, asked %zu, served %zu, worst slow start window %.2f\n",
              static_cast<unsigned long long>(seed), plan.proxies, plan.steps.size(), outcome.verdict.asked,
              outcome.verdict.served, outcome.slow_start.worst_window);
  for (const auto* broken : {&outcome.verdict.broken, &outcome.slow_start.broken, &outcome.violations}) {
    for (const std::string& line : *broken) std::printf("  broken: %s\n", line.c_str());
  }
  std::fflush(stdout);
  return outcome.verdict.broken.empty() && outcome.slow_start.broken.empty() && outcome.violations.empty();
}

}  // namespace
}  // namespace client_proxy::rig

int main(int argc, char** argv) {
  if (argc < 4) {
    std::fprintf(stderr, "usage: client_proxy_rig_soak PROGRAM FIRST-SEED COUNT [VARIABLE=VALUE...]\n");
    return 2;
  }
  try {
    const std::uint64_t first = std::strtoull(argv[2], nullptr, 10),
                        count = std::strtoull(argv[3], nullptr, 10);
    const std::vector<std::string> environment(argv + 4, argv + argc);
    std::size_t broken = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed)
      broken += client_proxy::rig::play(argv[1], seed, environment) ? 0U : 1U;
    std::printf("%zu of %llu seeds broke a rule\n", broken, static_cast<unsigned long long>(count));
    return broken == 0 ? 0 : 1;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "client_proxy_rig_soak: %s\n", e.what());
    return 2;
  }
}
