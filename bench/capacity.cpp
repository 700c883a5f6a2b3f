// What membership, leases and the watch on discovery cost at the sizes that are planned for, with processes
// of the program and hollow members (docs/rig.md).
//
//     bench_capacity SIZE ... [--real N] [--lease-sizes SIZE ...] [--services N] [--json FILE]
//     bench_capacity SIZE ... --fault rack|zone|region|restarts72|discovery|loss ...
//     bench_capacity --compare SIZE
//     bench_capacity SIZE --trace SECONDS
//
// The table, with a line through each row; faults; all real against all hollow, 1 where they differ by more
// than is allowed; bytes a member from the start.
//
// Membership and the watch on discovery are measured without services; sizes of up to 300 side by side,
// larger ones alone. Leases are measured apart, at small sizes: what all members ask of all at a start grows
// with the square, and a fleet of 730 with 84 services did not come up in 90 s (on a busy machine). Of 730
// members 200 are real and of fewer as many in proportion, unless --real says otherwise. CPU figures are
// worth what the machine's idleness is.
#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "capacity_faults.h"
#include "capacity_run.h"
#include "capacity_table.h"

namespace {

using namespace client_proxy::capacity;
using client_proxy::rig::MixedPlan;

constexpr std::size_t kMostMembers = 2000, kMostReal = 200, kSizeOfMostReal = 730;

constexpr std::size_t kMostSideBySide = 300;

struct Options {
  std::vector<std::size_t> sizes;
  std::vector<std::size_t> lease_sizes = {20, 40, 80, 150};
  std::vector<FaultKind> faults;
  std::optional<std::size_t> real, compare, services;  // services: nothing, but for leases
  std::optional<int> trace;
  std::string json;
};

std::size_t numberOf(const std::string& text, std::size_t most) {
  char* end = nullptr;
  const unsigned long long n = std::strtoull(text.c_str(), &end, 10);
  if (text.empty() || *end != '\0' || n > most) throw std::runtime_error("no number that fits: " + text);
  return static_cast<std::size_t>(n);
}

std::size_t sizeOf(const std::string& text) {
  constexpr std::size_t kLeast = 12;
  const std::size_t size = numberOf(text, kMostMembers);
  if (size < kLeast) throw std::runtime_error("too few members: " + text);
  return size;
}

Options optionsOf(const std::vector<std::string>& words) {
  Options o;
  for (std::size_t i = 0; i < words.size(); ++i) {
    const std::string& word = words[i];
    const auto value = [&]() -> const std::string& {
      if (i + 1 >= words.size()) throw std::runtime_error(word + " wants a value");
      return words[++i];
    };
    if (word == "--real") {
      o.real = numberOf(value(), kMostReal);
    } else if (word == "--services") {
      o.services = numberOf(value(), 200);
    } else if (word == "--compare") {
      o.compare = numberOf(value(), kMostReal);
    } else if (word == "--trace") {
      o.trace = static_cast<int>(numberOf(value(), 600));
    } else if (word == "--json") {
      o.json = value();
    } else if (word == "--lease-sizes") {
      o.lease_sizes.clear();
      while (i + 1 < words.size() && words[i + 1].rfind("--", 0) != 0)
        o.lease_sizes.push_back(sizeOf(words[++i]));
    } else if (word == "--fault") {
      o.faults.push_back(faultOf(value()));
      while (i + 1 < words.size() && words[i + 1].rfind("--", 0) != 0) o.faults.push_back(faultOf(value()));
    } else {
      o.sizes.push_back(sizeOf(word));
    }
  }
  if (o.sizes.empty() && !o.compare) throw std::runtime_error("no size");
  return o;
}

MixedPlan planOf(const Options& o, std::size_t members) {
  MixedPlan plan;
  plan.members = members;
  plan.services = 0;
  plan.real =
      o.real ? std::min(*o.real, members) : std::min(kMostReal, members * kMostReal / kSizeOfMostReal);
  if (o.services) plan.services = *o.services;
  return plan;
}

// How far a hollow fleet may be from a real one of the same size, as a part of the real one's value; times
// also by some seconds, since they are a few draws by chance.
struct Tolerance {
  const char* quantity;
  double part, absolute;
};
constexpr Tolerance kTolerances[] = {
    {"at rest: bytes out a member", 0.10, 0},     {"at rest: bytes in a member", 0.10, 0},
    {"at rest: datagrams out a member", 0.10, 0}, {"at rest: datagrams in a member", 0.10, 0},
    {"at rest: keeper: bytes out", 0.10, 0},      {"at rest: keeper: datagrams out", 0.10, 0},
    {"all started, until all agree", 0.5, 1.5},   {"a crash known to all, median", 0.5, 1.5},
    {"a start known to all, median", 0.5, 1.5},
};

bool compare(const Programs& programs, const Options& o) {
  Table real, hollow;
  for (const bool as_processes : {true, false}) {
    MixedPlan plan = planOf(o, *o.compare);
    plan.real = as_processes ? plan.members : 0;
    plan.services = o.services.value_or(MixedPlan{}.services);
    measureSize(programs, plan, phasesFor(plan.members), as_processes ? real : hollow);
  }
  bool alike = true;
  std::printf("%-46s %12s %12s  allowed\n", "", "real", "hollow");
  const auto row = [&](const char* name, double a, double b, const char* allowed) {
    std::printf("%-46s %12.2f %12.2f  %s\n", name, a, b, allowed);
  };
  for (const Tolerance& t : kTolerances) {
    const Quantity *a = real.find(t.quantity), *b = hollow.find(t.quantity);
    if (a == nullptr || b == nullptr) continue;
    const double x = a->values.begin()->second, y = b->values.begin()->second;
    const bool fits = std::abs(x - y) <= std::max(t.part * x, t.absolute);
    alike = alike && fits;
    char allowed[64];
    std::snprintf(allowed, sizeof allowed, "%.0f %% or %.1f%s", t.part * 100, t.absolute,
                  fits ? "" : ": TOO FAR");
    row(t.quantity, x, y, allowed);
  }
  const double cpu_real = real.find("at rest: CPU a real member")->values.begin()->second;
  const double cpu_hollow = hollow.find("at rest: CPU a hollow member")->values.begin()->second;
  row("at rest: CPU a member, ms/s", cpu_real, cpu_hollow, "told, not held: a process has its own wake-ups");
  std::printf("%s\n", alike ? "alike" : "NOT ALIKE");
  return alike;
}

void writeJson(const std::string& file, const Table& table) {
  std::ofstream out(file, std::ios::trunc);
  out << nlohmann::ordered_json{{"quantities", table.json()}}.dump(2) << "\n";
  if (!out) throw std::runtime_error(file + ": can't be written");
}

// A column that could not be measured is left out and told.
using Measure = std::function<void(const MixedPlan&, Table&)>;
void sideBySide(const std::vector<MixedPlan>& plans, const Measure& measure, Table& table) {
  std::vector<Table> tables(plans.size());
  std::vector<std::thread> runs;
  for (std::size_t i = 0; i < plans.size(); ++i) {
    std::fprintf(stderr, "%zu members, %zu of them real, %zu services ...\n", plans[i].members, plans[i].real,
                 plans[i].services);
    runs.emplace_back([&, i] {
      try {
        measure(plans[i], tables[i]);
      } catch (const std::exception& e) {
        std::fprintf(stderr, "%s\n", e.what());
      }
    });
  }
  for (std::thread& run : runs) run.join();
  for (const Table& t : tables) table.add(t);
}

void measureAll(const Programs& programs, const Options& o, Table& table) {
  const Measure all = [&](const MixedPlan& plan, Table& to) {
    measureSize(programs, plan, phasesFor(plan.members), to);
  };
  std::vector<MixedPlan> small, leases;
  for (const std::size_t size : o.sizes) {
    if (size <= kMostSideBySide) small.push_back(planOf(o, size));
  }
  for (const std::size_t size : o.lease_sizes) {
    MixedPlan plan = planOf(o, size);
    plan.services = o.services.value_or(MixedPlan{}.services);
    leases.push_back(plan);
  }
  sideBySide(small, all, table);
  for (const std::size_t size : o.sizes) {
    if (size > kMostSideBySide) sideBySide({planOf(o, size)}, all, table);
  }
  sideBySide(
      leases, [&](const MixedPlan& plan, Table& to) { measureLeases(programs, plan, to); }, table);
}

void oneByOne(const Programs& programs, const Options& o, Table& table) {
  for (const std::size_t size : o.sizes) {
    const MixedPlan plan = planOf(o, size);
    if (o.trace) {
      traceSize(programs, plan, std::chrono::seconds(*o.trace), std::chrono::seconds(5));
    } else {
      measureFaults(programs, plan, o.faults, table);
    }
  }
}

int run(const Options& o) {
  const Programs programs{CLIENT_PROXY_PROGRAM, CLIENT_PROXY_HOLLOW};
  if (o.compare) return compare(programs, o) ? 0 : 1;
  const auto began = std::chrono::steady_clock::now();
  Table table;
  if (o.trace || !o.faults.empty()) {
    oneByOne(programs, o, table);
  } else {
    measureAll(programs, o, table);
  }
  if (o.trace) return 0;
  std::printf("%s", table.text().c_str());
  std::printf("took %.0f s on %u processors; 15 ms one way between two regions of five zones\n",
              std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count(),
              std::thread::hardware_concurrency());
  if (!o.json.empty()) writeJson(o.json, table);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  Options options;
  try {
    options = optionsOf({argv + 1, argv + argc});
  } catch (const std::exception& e) {
    std::fprintf(
        stderr,
        "%s\nbench_capacity SIZE ... [--real N] [--lease-sizes SIZE ...] [--services N] [--json FILE] "
        "[--fault NAME ...] [--trace SECONDS] | --compare SIZE\n",
        e.what());
    return 2;
  }
  try {
    return run(options);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 1;
  }
}
