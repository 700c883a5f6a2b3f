// How what a proxy uses grows with the size of what it serves: one process at four sizes each, with a
// straight line through the medians.
//
//     bench_slopes [--only NAME,NAME] [--repetitions 3] [--quick] [--json]
//
// NAME is one of: hosts, services, members, requests, watchers, decision, leases. --quick: one
// repetition, for a look. Everything is on loopback addresses and ends with this process.
#include <malloc.h>
#include <signal.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <queue>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "fit.h"
#include "load_balancer/balancer.h"
#include "proxy_process.h"
#include "rig/fleet_rig.h"
#include "rig/site.h"
#include "stand_ins.h"

namespace {

using nlohmann::json;
using namespace client_proxy::bench;
using client_proxy::rig::FleetRig;
using client_proxy::rig::Idempotency;
using client_proxy::rig::Plan;
using client_proxy::rig::Record;
using client_proxy::rig::Site;
using Clock = std::chrono::steady_clock;
using Seconds = std::chrono::duration<double>;
using Told = DiscoveryStandIn::Told;

constexpr std::chrono::seconds kWithin{20};  // for anything that a measurement waits for
constexpr std::chrono::milliseconds kLook{2};
constexpr std::chrono::milliseconds kSettle{700};  // after a start or a change, before it is looked at
constexpr std::size_t kFewMembers = 10;            // listed where services need a fleet; nobody is there
constexpr std::size_t kAllServices = 84;           // of the operators' plan

const std::vector<double> kHostSizes = {60, 150, 300, 730};
const std::vector<double> kServiceSizes = {10, 21, 42, 84};
const std::vector<double> kMemberSizes = {10, 20, 40, 60};
const std::vector<double> kRequestSizes = {100, 200, 400, 800};

// What one measurement at one size gives, one value a quantity.
struct Quantity {
  std::string name;
  std::string unit;
};

struct Experiment {
  std::string name;
  std::string size_of;  // what a size counts
  std::vector<double> sizes;
  std::vector<Quantity> quantities;
  std::function<std::vector<double>(std::size_t size)> measure;
  int most_repetitions = 10;  // less where one takes long
};

// The values of one quantity at one size, over the repetitions.
using Values = std::vector<double>;

struct Result {
  const Experiment* experiment = nullptr;
  std::vector<std::vector<Values>> values;  // by quantity, then by size
};

void waitFor(const std::function<bool()>& holds, const char* what) {
  const Clock::time_point end = Clock::now() + kWithin;
  while (!holds()) {
    if (Clock::now() > end) throw std::runtime_error(std::string("not in time: ") + what);
    std::this_thread::sleep_for(kLook);
  }
}

double millisecondsSince(Clock::time_point began) {
  return std::chrono::duration<double, std::milli>(Clock::now() - began).count();
}

// Addresses of hosts that are listed and never called.
std::vector<Endpoint> absentHosts(std::size_t count) {
  std::vector<Endpoint> all;
  for (std::size_t n = 0; n < count; ++n)
    all.emplace_back(boost::asio::ip::address_v4(0x7F'60'00'01U + static_cast<unsigned>(n)), 8080);
  return all;
}

ProxyOptions listing(const DiscoveryStandIn& discovery) {
  ProxyOptions options;
  options.discovery = discovery.at();
  options.known = discovery.list();
  return options;
}

// ---- memory and one reload, by services and by members listed ----

// A fleet whose other members are absent, and services held by leases, each with a class and a route of its
// own.
std::string operatorText(std::size_t services, std::size_t members) {
  // The relay of no rig is here: an address of this process alone.
  const unsigned process = static_cast<unsigned>(getpid()) & 0xFFFFU;
  const std::string address = boost::asio::ip::address_v4(0x7F'61'00'00U | process).to_string();
  std::string text = "fleet {\n  listen " + address + ":7946\n";
  for (std::size_t n = 0; n < members; ++n)
    text += "  member " + std::to_string(n) + " " + address + ":" + std::to_string(7946 + n) +
            " {\n    zone zone-" + std::to_string(n % 2) + "\n  }\n";
  text += "}\n";
  for (std::size_t s = 0; s < services; ++s)
    text += "service service-" + std::to_string(s) + " {\n  home zone-0\n  stand-by zone-1\n" +
            "  route all {\n    class class-" + std::to_string(s) + "\n  }\n}\n";
  return text;
}

ProxyOptions serving(const DiscoveryStandIn& discovery, std::size_t services, std::size_t members) {
  ProxyOptions options = listing(discovery);
  options.classes = services;
  options.fleet_allowed = true;
  options.operator_text = operatorText(services, members);
  return options;
}

std::vector<double> measureReload(std::size_t services, std::size_t members) {
  constexpr int kReloads = 10;
  DiscoveryStandIn discovery(absentHosts(730));
  const ProxyOptions options = serving(discovery, services, members);
  ProxyProcess proxy(CLIENT_PROXY_PROGRAM, options);
  waitFor([&] { return discovery.watchers() == 1; }, "the proxy's watch");
  std::this_thread::sleep_for(kSettle);
  const double resident = proxy.resident();
  Values cpu, in_force;
  for (int n = 1; n <= kReloads; ++n) {
    const std::string idle = std::to_string(10 + n) + "s";
    proxy.setOperatorText(options.operator_text + "clients {\n  idle " + idle + "\n}\n");
    const double before = proxy.cpu();
    const Clock::time_point began = Clock::now();
    proxy.reload();
    if (!proxy.said("-> " + idle)) throw std::runtime_error("a change was not taken:\n" + proxy.log());
    in_force.push_back(millisecondsSince(began));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    cpu.push_back(proxy.cpu() - before);
  }
  std::sort(cpu.begin(), cpu.end());
  std::sort(in_force.begin(), in_force.end());
  return {resident, cpu[kReloads / 2], in_force[kReloads / 2],
          static_cast<double>(options.operator_text.size())};
}

std::vector<double> measureServices(std::size_t services) { return measureReload(services, kFewMembers); }
std::vector<double> measureMembers(std::size_t members) { return measureReload(kAllServices, members); }

// ---- memory by open requests ----

std::vector<double> measureRequests(std::size_t requests) {
  constexpr std::size_t kHosts = 8;
  HoldingHosts hosts(kHosts);
  DiscoveryStandIn discovery(hosts.at());
  ProxyProcess proxy(CLIENT_PROXY_PROGRAM, listing(discovery));
  waitFor([&] { return discovery.watchers() == 1; }, "the proxy's watch");
  std::this_thread::sleep_for(kSettle);
  const double before = proxy.resident();
  boost::asio::io_context io;
  std::vector<boost::asio::ip::tcp::socket> clients;
  for (std::size_t n = 0; n < requests; ++n) {
    clients.emplace_back(io).connect(proxy.listens());
    const std::string request =
        "GET /class-0/7 HTTP/1.1\r\nHost: bench\r\nX-Account: acme\r\nX-Time-Left: 60.000\r\n"
        "X-Correlation-Id: " +
        std::to_string(n) + "\r\n\r\n";
    if (::send(clients.back().native_handle(), request.data(), request.size(), MSG_NOSIGNAL) < 0)
      throw std::runtime_error("a request can't be sent");
  }
  waitFor([&] { return hosts.held() >= requests; }, "all requests at the hosts");
  return {proxy.resident() - before};
}

// ---- at rest and at one change of the list, by hosts listed ----

struct ChangeCost {
  double proxy_cpu = 0, discovery_cpu = 0;  // ms a change
  double bytes = 0;                         // a change and watcher
};

// `at_rest`: the proxy's CPU while nothing changes, in ms/s; it is no part of a change's cost.
ChangeCost costOfChanges(DiscoveryStandIn& discovery, const ProxyProcess& proxy, Told told, double at_rest) {
  constexpr int kChanges = 40;  // an even number: the list is as before
  constexpr std::chrono::milliseconds kBetween{20};
  const double proxy_before = proxy.cpu();
  const double discovery_before = discovery.cpu();
  const std::uint64_t bytes_before = discovery.bytes();
  const Clock::time_point began = Clock::now();
  for (int n = 0; n < kChanges; ++n) {
    discovery.change(0, told);
    std::this_thread::sleep_for(kBetween);
  }
  const double used = proxy.cpu() - proxy_before - at_rest * millisecondsSince(began) / 1000;
  return {used / kChanges, (discovery.cpu() - discovery_before) / kChanges,
          static_cast<double>(discovery.bytes() - bytes_before) / kChanges};
}

std::vector<double> measureHosts(std::size_t hosts) {
  constexpr Seconds kRest{1};
  DiscoveryStandIn discovery(absentHosts(hosts));
  const ProxyProcess proxy(CLIENT_PROXY_PROGRAM, listing(discovery));
  waitFor([&] { return discovery.watchers() == 1; }, "the proxy's watch");
  std::this_thread::sleep_for(kSettle);
  const double resident = proxy.resident();
  const double before = proxy.cpu();
  std::this_thread::sleep_for(kRest);
  const double at_rest = (proxy.cpu() - before) / kRest.count();
  const ChangeCost whole = costOfChanges(discovery, proxy, Told::WholeList, at_rest);
  const ChangeCost entry = costOfChanges(discovery, proxy, Told::OneEntry, at_rest);
  return {resident,    at_rest,         whole.proxy_cpu,     whole.discovery_cpu,
          whole.bytes, entry.proxy_cpu, entry.discovery_cpu, entry.bytes};
}

// ---- discovery by watchers ----

struct Spread {
  double cpu = 0, elapsed = 0;  // ms a change, until all have it
};

Spread spreadOf(DiscoveryStandIn& discovery, const Watchers& watchers, Told told) {
  constexpr int kChanges = 4;
  const double cpu = discovery.cpu();
  const Clock::time_point began = Clock::now();
  for (int n = 0; n < kChanges; ++n) {
    discovery.change(0, told);
    waitFor([&] { return watchers.bytes() >= discovery.bytes(); }, "all watchers have the change");
  }
  return {(discovery.cpu() - cpu) / kChanges, millisecondsSince(began) / kChanges};
}

std::vector<double> measureWatchers(std::size_t count) {
  constexpr std::size_t kListed = 730;
  DiscoveryStandIn discovery(absentHosts(kListed));
  const Watchers watchers(discovery.at(), count);
  waitFor([&] { return discovery.watchers() == count && watchers.bytes() >= discovery.bytes(); },
          "all watchers");
  const Spread whole = spreadOf(discovery, watchers, Told::WholeList);
  const Spread entry = spreadOf(discovery, watchers, Told::OneEntry);
  return {whole.cpu, whole.elapsed, entry.cpu, entry.elapsed};
}

// ---- the decision module, by hosts listed ----

// Carries a module's actions out: each attempt is served, each timer comes when it is due.
class ModuleDriver {
 public:
  explicit ModuleDriver(std::size_t hosts) : balancer_(settings(), 1) {
    std::vector<load_balancer::Host> list(hosts);
    for (std::size_t n = 0; n < hosts; ++n) list[n].id = "host-" + std::to_string(n);
    balancer_.onServers(now_, load_balancer::ListKind::Restored, list, out_);
    carryOut();
    balancer_.onServers(now_, load_balancer::ListKind::Full, list, out_);
    carryOut();
  }
  void request() {
    constexpr load_balancer::Time kBetween = 15'000;  // 67 a second
    now_ += kBetween;
    while (!timers_.empty() && timers_.top().first <= now_) {
      const std::uint64_t timer = timers_.top().second;
      timers_.pop();
      balancer_.onTimer(now_, timer, out_);
      carryOut();
    }
    balancer_.onRequest(now_, {.id = ++requests_, .time_left = 2'500'000}, out_);
    carryOut();
  }
  std::uint64_t served() const { return served_; }
  load_balancer::Balancer& balancer() { return balancer_; }
  load_balancer::Time now() const { return now_; }

 private:
  static load_balancer::Settings settings() {
    load_balancer::Settings s;
    s.discovery = load_balancer::Discovery::Poll;
    s.classes = {{.latency_objective = 800'000,
                  .deadline = 2'500'000,
                  .idempotency = load_balancer::Idempotency::Idempotent}};
    s.max_attempts = 3;
    s.may_cancel = true;
    s.drain_grace = 2'000'000;
    s.slow_start_initial_capacity = 0.3;
    s.slow_start_duration = 8'000'000;
    s.slow_start_overload_factor = 3;
    s.slow_start_overload_window = 2'000'000;
    s.poll_interval = 10'000'000;
    s.tick = 5000;
    return s;
  }
  void carryOut() {
    constexpr load_balancer::Time kLatency = 1000;
    while (!out_.empty()) {
      load_balancer::Actions actions;
      actions.swap(out_);
      for (const load_balancer::Action& a : actions) {
        if (a.kind == load_balancer::ActionKind::SetTimer) timers_.emplace(a.time, a.timer);
        if (a.kind != load_balancer::ActionKind::Send) continue;
        ++served_;
        load_balancer::Outcome outcome;
        outcome.request = a.request;
        outcome.attempt = a.attempt;
        outcome.final = true;
        outcome.latency = kLatency;
        balancer_.onOutcome(now_ + kLatency, outcome, out_);
      }
    }
  }

  using Timer = std::pair<load_balancer::Time, std::uint64_t>;
  load_balancer::Balancer balancer_;
  load_balancer::Actions out_;
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  load_balancer::Time now_ = 1'000'000'000;
  std::uint64_t requests_ = 0, served_ = 0;
};

double ownCpuMilliseconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

std::vector<double> measureDecision(std::size_t hosts) {
  constexpr int kWarmUp = 2000;
  constexpr int kRounds = 5;  // of which the least counts: what else the machine does only adds
  constexpr int kRequests = 10'000;
  const auto heap = [] {
    const auto info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
  };
  const double heap_before = heap();
  ModuleDriver module(hosts);
  const double bytes = heap() - heap_before;
  for (int n = 0; n < kWarmUp; ++n) module.request();
  const std::uint64_t served = module.served();
  const std::uint64_t looked_at = module.balancer().hostsExamined();
  double least = std::numeric_limits<double>::infinity();
  for (int round = 0; round < kRounds; ++round) {
    const double before = ownCpuMilliseconds();
    for (int n = 0; n < kRequests; ++n) module.request();
    least = std::min(least, ownCpuMilliseconds() - before);
  }
  constexpr int kAll = kRounds * kRequests;
  if (module.served() - served != kAll) throw std::runtime_error("the module refused or repeated requests");
  return {least * 1000 / kRequests, static_cast<double>(module.balancer().hostsExamined() - looked_at) / kAll,
          static_cast<double>(module.balancer().subset(module.now()).size()), bytes / 1000};
}

// ---- members that hold leases, by members ----

// What a process did within a while.
struct Usage {
  double bytes_out = 0, bytes_in = 0, datagrams_out = 0, datagrams_in = 0, cpu = 0;
};

Usage usageOf(const FleetRig& rig, std::size_t member) {
  const json datagrams = rig.page(member).at("datagrams");
  return {datagrams.at("bytes_out"), datagrams.at("bytes_in"), datagrams.at("out"), datagrams.at("in"),
          cpuMilliseconds(rig.pid(member))};
}

Usage perSecond(const Usage& before, const Usage& after, Seconds within) {
  const double seconds = within.count();
  return {(after.bytes_out - before.bytes_out) / seconds, (after.bytes_in - before.bytes_in) / seconds,
          (after.datagrams_out - before.datagrams_out) / seconds,
          (after.datagrams_in - before.datagrams_in) / seconds, (after.cpu - before.cpu) / seconds};
}

Plan planOfLeases(std::size_t members) {
  constexpr std::size_t kZones = 5;
  Plan plan;
  plan.proxies = members;
  plan.lease = std::chrono::seconds(3);
  for (std::size_t z = 0; z < kZones; ++z)
    plan.zones.push_back({.name = "zone-" + std::to_string(z), .region = "", .hosts = 1});
  for (std::size_t s = 0; s < kAllServices; ++s) {
    const std::string of = "class-" + std::to_string(s);
    plan.classes.push_back({.name = of, .idempotency = Idempotency::NonIdempotent});
    plan.services.push_back({"service-" + std::to_string(s), of, s % kZones, (s + 1) % kZones});
  }
  return plan;
}

// The first member holds the leases of its zone; the last one holds none.
std::vector<double> measureLeases(std::size_t members) {
  constexpr std::chrono::seconds kGranted{9};  // after a start: a lease, and what may be owed
  constexpr Seconds kWatched{5};
  const Plan plan = planOfLeases(members);
  Record record;
  const Site site(plan, record);
  FleetRig rig(CLIENT_PROXY_PROGRAM, plan, site);
  rig.startAll();
  if (!FleetRig::until([&] { return rig.agree(rig.all()); }))
    throw std::runtime_error("members do not agree");
  std::this_thread::sleep_for(kGranted);
  const std::size_t last = members - 1;
  const Usage holder_before = usageOf(rig, 0);
  const Usage other_before = usageOf(rig, last);
  std::this_thread::sleep_for(kWatched);
  const Usage holder = perSecond(holder_before, usageOf(rig, 0), kWatched);
  const Usage other = perSecond(other_before, usageOf(rig, last), kWatched);
  return {holder.bytes_out, holder.bytes_in, holder.datagrams_out, holder.datagrams_in, holder.cpu,
          other.bytes_out,  other.bytes_in,  other.datagrams_out,  other.datagrams_in,  other.cpu};
}

// ---- all of them ----

const std::vector<Experiment>& experiments() {
  static const std::vector<Experiment> all = {
      {"hosts",
       "hosts in the list",
       kHostSizes,
       {{"resident memory of the proxy", "kB"},
        {"CPU of the proxy at rest", "ms/s"},
        {"whole list: CPU of the proxy", "ms/change"},
        {"whole list: CPU of discovery", "ms/change"},
        {"whole list: bytes to a proxy", "B/change"},
        {"one entry: CPU of the proxy", "ms/change"},
        {"one entry: CPU of discovery", "ms/change"},
        {"one entry: bytes to a proxy", "B/change"}},
       measureHosts},
      {"services",
       "services with a class and a route each; 730 hosts",
       kServiceSizes,
       {{"resident memory of the proxy", "kB"},
        {"reload: CPU of the proxy", "ms/reload"},
        {"reload: from SIGHUP until in force", "ms"},
        {"the file", "B"}},
       measureServices},
      {"members",
       "members listed, none of them there; 84 services, 730 hosts",
       kHostSizes,
       {{"resident memory of the proxy", "kB"},
        {"reload: CPU of the proxy", "ms/reload"},
        {"reload: from SIGHUP until in force", "ms"},
        {"the file", "B"}},
       measureMembers},
      {"requests",
       "requests open at once",
       kRequestSizes,
       {{"resident memory beyond that before them", "kB"}},
       measureRequests},
      {"watchers",
       "watchers of a list of 730 hosts",
       kHostSizes,
       {{"whole list: CPU of discovery", "ms/change"},
        {"whole list: until all have it", "ms"},
        {"one entry: CPU of discovery", "ms/change"},
        {"one entry: until all have it", "ms"}},
       measureWatchers},
      {"decision",
       "hosts in the list",
       kHostSizes,
       {{"CPU of the decision module", "us/request"},
        {"servers weighed", "servers/request"},
        {"subset", "servers"},
        {"heap of the decision module", "kB"}},
       measureDecision},
      {"leases",
       "members; one holds the leases of 17 of 84 services, all renewed and asked for",
       kMemberSizes,
       {{"holder: bytes out", "B/s"},
        {"holder: bytes in", "B/s"},
        {"holder: datagrams out", "datagrams/s"},
        {"holder: datagrams in", "datagrams/s"},
        {"holder: CPU", "ms/s"},
        {"other member: bytes out", "B/s"},
        {"other member: bytes in", "B/s"},
        {"other member: datagrams out", "datagrams/s"},
        {"other member: datagrams in", "datagrams/s"},
        {"other member: CPU", "ms/s"}},
       measureLeases,
       1},
  };
  return all;
}

struct Options {
  std::vector<std::string> only;
  int repetitions = 3;
  bool as_json = false;
};

// Repetitions go round over all sizes, so that what the machine does meanwhile meets all alike.
Result run(const Experiment& experiment, int repetitions) {
  Result result{&experiment, std::vector<std::vector<Values>>(experiment.quantities.size(),
                                                              std::vector<Values>(experiment.sizes.size()))};
  for (int repetition = 0; repetition < repetitions; ++repetition) {
    for (std::size_t s = 0; s < experiment.sizes.size(); ++s) {
      const std::vector<double> values = experiment.measure(static_cast<std::size_t>(experiment.sizes[s]));
      for (std::size_t q = 0; q < values.size(); ++q) result.values[q][s].push_back(values[q]);
    }
  }
  return result;
}

double medianOf(Values values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

std::vector<Point> pointsOf(const Result& result, std::size_t quantity) {
  std::vector<Point> points;
  for (std::size_t s = 0; s < result.experiment->sizes.size(); ++s)
    points.push_back({result.experiment->sizes[s], medianOf(result.values[quantity][s])});
  return points;
}

void print(const Result& result) {
  const Experiment& e = *result.experiment;
  std::printf("\n%s: by %s; median (least..most)\n", e.name.c_str(), e.size_of.c_str());
  for (std::size_t q = 0; q < e.quantities.size(); ++q) {
    std::printf("  %s, %s\n   ", e.quantities[q].name.c_str(), e.quantities[q].unit.c_str());
    const std::vector<Point> points = pointsOf(result, q);
    for (std::size_t s = 0; s < points.size(); ++s) {
      const auto [least, most] = std::minmax_element(result.values[q][s].begin(), result.values[q][s].end());
      std::printf(" %.0f: %.4g (%.4g..%.4g);", points[s].size, points[s].value, *least, *most);
    }
    std::printf("\n    fit: %s\n", describe(leastSquares(points), e.quantities[q].unit).c_str());
  }
  std::fflush(stdout);
}

json toJson(const Result& result) {
  const Experiment& e = *result.experiment;
  json out = {{"name", e.name}, {"size_of", e.size_of}, {"quantities", json::array()}};
  for (std::size_t q = 0; q < e.quantities.size(); ++q) {
    const std::vector<Point> points = pointsOf(result, q);
    json one = toJson(points, leastSquares(points), e.quantities[q].unit);
    one["name"] = e.quantities[q].name;
    one["values"] = result.values[q];
    out["quantities"].push_back(std::move(one));
  }
  return out;
}

[[noreturn]] void usage() {
  std::string names;
  for (const Experiment& e : experiments()) names += (names.empty() ? "" : ",") + e.name;
  std::fprintf(stderr, "bench_slopes [--only %s] [--repetitions N] [--quick] [--json]\n", names.c_str());
  std::exit(64);
}

Options read(int argc, char** argv) {
  Options options;
  for (int i = 1; i < argc; ++i) {
    const std::string name = argv[i];
    if (name == "--json") {
      options.as_json = true;
    } else if (name == "--quick") {
      options.repetitions = 1;
    } else if (name == "--repetitions" && i + 1 < argc) {
      options.repetitions = std::atoi(argv[++i]);
    } else if (name == "--only" && i + 1 < argc) {
      std::istringstream list(argv[++i]);
      for (std::string one; std::getline(list, one, ',');) options.only.push_back(one);
    } else {
      usage();
    }
  }
  for (const std::string& one : options.only) {
    const auto& all = experiments();
    if (std::none_of(all.begin(), all.end(), [&](const Experiment& e) { return e.name == one; })) usage();
  }
  if (options.repetitions < 1) usage();
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = read(argc, argv);
  signal(SIGPIPE, SIG_IGN);
  json all = json::array();
  try {
    for (const Experiment& e : experiments()) {
      const auto& only = options.only;
      if (!only.empty() && std::find(only.begin(), only.end(), e.name) == only.end()) continue;
      const Result result = run(e, std::min(options.repetitions, e.most_repetitions));
      options.as_json ? all.push_back(toJson(result)) : print(result);
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "bench_slopes: %s\n", e.what());
    return 1;
  }
  if (options.as_json)
    std::printf("%s\n", json{{"repetitions", options.repetitions}, {"experiments", all}}.dump(2).c_str());
  return 0;
}
