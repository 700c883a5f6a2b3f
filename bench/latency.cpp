// What the proxy adds to a call: the same call to the same host stand-in, in turn directly and through the
// proxy, at a steady rate.
//
//     bench_latency [--seconds 15] [--repetitions 3] [--rates 67,335] [--members 10] [--services 84]
//                   [--hosts 730] [--json]
//
// Each repetition runs with control off (one proxy with the platform's configuration alone) and with control
// on: the proxy is one of `members` processes with a view of the fleet and `services` services held by
// leases, its calls belong to one of these, and it takes a changed operator file by SIGHUP every two seconds
// or so. All processes are on loopback addresses and end with this one.
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <limits>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "random/random.h"
#include "rig/fleet_rig.h"
#include "rig/site.h"

namespace {

using client_proxy::rig::FleetRig;
using client_proxy::rig::Idempotency;
using client_proxy::rig::Plan;
using client_proxy::rig::Record;
using client_proxy::rig::ServicePlan;
using client_proxy::rig::Site;
using nlohmann::json;
using Clock = std::chrono::steady_clock;
using Endpoint = boost::asio::ip::tcp::endpoint;
using Seconds = std::chrono::duration<double>;

constexpr double kBudgetMicroseconds = 1800;  // added to 99 calls in 100 (the operators' letter)
constexpr int kChainLength = 23;              // calls that follow from one another (the same)
constexpr int kChains = 200'000;              // drawn to reckon the sum over a chain
constexpr std::size_t kZones = 5;
constexpr std::size_t kHostQueue = 1024;
constexpr std::chrono::seconds kLease{3};
constexpr std::chrono::seconds kReady{40};        // for the proxy to serve, leases and all
constexpr std::chrono::seconds kAnswerWithin{5};  // a call that takes longer has failed
constexpr std::chrono::milliseconds kLook{20};
constexpr std::chrono::milliseconds kWarmUp{500};
constexpr double kReloadEvery = 2;    // seconds at the mean, but at least two in a run
constexpr Seconds kReloadLasts{0.1};  // calls that begin this long after a SIGHUP are counted apart

struct Options {
  double seconds = 15;
  int repetitions = 3;
  std::vector<double> rates = {67, 335};
  std::size_t members = 10;
  std::size_t services = 84;
  std::size_t hosts = 730;  // in the list; each has a socket for each zone
  bool as_json = false;
};

// One connection on which calls are made in turn.
class Connection {
 public:
  explicit Connection(Endpoint at) : at_(std::move(at)) {}
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Microseconds until the answer's last byte; nothing: it failed, or was not answered 200.
  std::optional<double> call(const std::string& request) {
    if (fd_ < 0 && !connect()) return std::nullopt;
    const Clock::time_point began = Clock::now();
    const bool served = send(request) && readAnswer();
    const Clock::time_point ended = Clock::now();
    if (!served) {
      close();
      return std::nullopt;
    }
    return std::chrono::duration<double, std::micro>(ended - began).count();
  }

 private:
  bool connect() {
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval limit{kAnswerWithin.count(), 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    if (::connect(fd_, at_.data(), static_cast<socklen_t>(at_.size())) == 0) return true;
    close();
    return false;
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  bool send(const std::string& request) const {
    return ::send(fd_, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size());
  }
  // Of a known length (Content-Length), as the stand-in answers.
  bool readAnswer() const {
    constexpr std::string_view kLength = "Content-Length: ";
    constexpr std::string_view kHeadEnd = "\r\n\r\n";
    std::string got;
    std::array<char, 4096> bytes;
    for (;;) {
      const ssize_t n = ::recv(fd_, bytes.data(), bytes.size(), 0);
      if (n <= 0) return false;
      got.append(bytes.data(), static_cast<std::size_t>(n));
      const std::size_t head = got.find(kHeadEnd);
      if (head == std::string::npos) continue;
      const std::size_t length = got.find(kLength);
      if (length == std::string::npos || length > head) return false;
      const std::size_t body = std::strtoul(got.c_str() + length + kLength.size(), nullptr, 10);
      if (got.size() >= head + kHeadEnd.size() + body) return got.compare(0, 12, "HTTP/1.1 200") == 0;
    }
  }

  const Endpoint at_;
  int fd_ = -1;
};

std::string classOf(std::size_t service) { return "class-" + std::to_string(service); }

// Calls of the first class; with control on that class is a service's, so that each asks its lease.
std::string requestOf(std::uint64_t number) {
  return "POST /" + classOf(0) + "/7 HTTP/1.1\r\nHost: bench\r\nX-Account: acme\r\nX-Time-Left: 2.500\r\n" +
         "X-Correlation-Id: " + std::to_string(number) + "\r\nContent-Length: 0\r\n\r\n";
}

Plan planOf(const Options& options, bool control, std::uint64_t seed) {
  Plan plan;
  plan.seed = seed;
  plan.proxies = control ? options.members : 1;
  for (std::size_t z = 0; z < kZones; ++z)
    plan.zones.push_back({.name = "zone-" + std::to_string(z),
                          .region = "",
                          .hosts = options.hosts / kZones,
                          .cores = kHostQueue,
                          .queue = kHostQueue,
                          .work = client_proxy::rig::Span(0)});
  for (std::size_t s = 0; s < options.services; ++s) {
    plan.classes.push_back({.name = classOf(s), .idempotency = Idempotency::NonIdempotent});
    if (control)
      plan.services.push_back({"service-" + std::to_string(s), classOf(s), s % kZones, (s + 1) % kZones});
  }
  plan.lease = kLease;
  return plan;
}

// Where a proxy of the first zone finds the first host of that zone, which also is who is called directly.
Endpoint firstHost(const Site& site) {
  const json list = json::parse(site.known(0));
  for (const json& target : list.at("targets")) {
    if (target.at("az") != "zone-0") continue;
    const auto at = target.at("endpoint").get<std::string>();
    const std::size_t colon = at.rfind(':');
    return {boost::asio::ip::make_address(at.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoi(at.substr(colon + 1)))};
  }
  throw std::runtime_error("the first zone has no host");
}

// Gives the proxy a changed operator file and SIGHUP now and then, until it is destroyed.
class Reloader {
 public:
  Reloader(const FleetRig& rig, Seconds every, std::uint64_t seed)
      : every_(every),
        pid_(rig.pid(0)),
        file_(std::filesystem::path(rig.memory(0)).parent_path() / "n0.conf"),
        random_(seed),
        thread_([this] { run(); }) {}
  ~Reloader() {
    stopped_ = true;
    thread_.join();
  }
  Reloader(const Reloader&) = delete;
  Reloader& operator=(const Reloader&) = delete;

  std::vector<Clock::time_point> signals() const {
    const std::lock_guard lock(mutex_);
    return signals_;
  }

 private:
  void run() {
    const std::string original = readFile();
    for (int change = 1; !stopped_; ++change) {
      const Clock::time_point due =
          Clock::now() + std::chrono::duration_cast<Clock::duration>(every_ * (0.5 + random_.unit()));
      while (!stopped_ && Clock::now() < due) std::this_thread::sleep_for(kLook);
      if (stopped_) return;
      write(original + "clients {\n  idle " + std::to_string(4000 + change) + "ms\n}\n");
      const std::lock_guard lock(mutex_);
      signals_.push_back(Clock::now());
      ::kill(pid_, SIGHUP);
    }
  }
  std::string readFile() const {
    std::ifstream in(file_);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void write(const std::string& text) const {
    const std::filesystem::path next = file_.string() + ".new";
    std::ofstream(next, std::ios::trunc) << text;
    std::filesystem::rename(next, file_);
  }

  const Seconds every_;
  const pid_t pid_;
  const std::filesystem::path file_;
  load_balancer::Random random_;
  std::atomic<bool> stopped_{false};
  mutable std::mutex mutex_;
  std::vector<Clock::time_point> signals_;
  std::thread thread_;
};

struct Pair {
  double direct = 0, proxied = 0;  // microseconds
  bool in_reload = false;          // the call through the proxy began soon after a SIGHUP
  double added() const { return proxied - direct; }
};

// The pairs of one repetition at one rate.
struct Run {
  double rate = 0;  // calls a second that the proxy got
  bool control = false;
  int repetition = 0;
  std::size_t failed = 0;  // pairs of which a call failed; they are in no figure
  std::size_t reloads = 0;
  std::vector<Pair> pairs;
};

struct Quantiles {
  double p50 = 0, p90 = 0, p99 = 0, p999 = 0, most = 0;
};

Quantiles quantilesOf(std::vector<double> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  const auto at = [&](double part) {
    const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
  };
  return {at(0.5), at(0.9), at(0.99), at(0.999), values.back()};
}

// A proxy that serves, and the host stand-in behind it.
class Testbed {
 public:
  Testbed(const Options& options, bool control, std::uint64_t seed)
      : control_(control),
        seed_(seed),
        plan_(planOf(options, control, seed)),
        site_(plan_, record_),
        rig_(CLIENT_PROXY_PROGRAM, plan_, site_, control),
        host_(firstHost(site_)),
        proxy_(rig_.listensForCalls(0)) {
    rig_.startAll();
    awaitService();
  }

  Run measure(double rate, double seconds, int repetition) {
    warmUp(rate);
    std::optional<Reloader> reloader;
    if (control_) reloader.emplace(rig_, Seconds(std::min(kReloadEvery, seconds / 2)), seed_);
    Run run{.rate = rate, .control = control_, .repetition = repetition, .pairs = {}};
    std::vector<Clock::time_point> began;
    makePairs(rate, seconds, run, &began);
    if (reloader) markReloads(reloader->signals(), began, run);
    return run;
  }

 private:
  void awaitService() {
    const Clock::time_point end = Clock::now() + kReady;
    while (!proxy_.call(requestOf(++calls_))) {
      if (Clock::now() > end) throw std::runtime_error("the proxy does not serve:\n" + rig_.logs());
      std::this_thread::sleep_for(kLook);
    }
  }
  void warmUp(double rate) {
    Run ignored;
    makePairs(rate, Seconds(kWarmUp).count(), ignored, nullptr);
  }
  // One direct call and one through the proxy in each period, half a period apart, in either order, so that
  // both meet the machine alike. A period is 0.5 to 1.5 of the mean one.
  void makePairs(double rate, double seconds, Run& run, std::vector<Clock::time_point>* began) {
    load_balancer::Random random(seed_ + 1);
    const Clock::time_point end =
        Clock::now() + std::chrono::duration_cast<Clock::duration>(Seconds(seconds));
    Clock::time_point due = Clock::now();
    while (due < end) {
      const auto half =
          std::chrono::duration_cast<Clock::duration>(Seconds((0.5 + random.unit()) / rate / 2));
      const bool direct_first = random.unit() < 0.5;
      std::optional<double> direct, proxied;
      Clock::time_point at;
      for (const bool is_direct : {direct_first, !direct_first}) {
        std::this_thread::sleep_until(due);
        if (!is_direct) at = Clock::now();
        (is_direct ? direct : proxied) = (is_direct ? host_ : proxy_).call(requestOf(++calls_));
        due += half;
      }
      if (!direct || !proxied) {
        ++run.failed;
        continue;
      }
      run.pairs.push_back({*direct, *proxied});
      if (began != nullptr) began->push_back(at);
    }
  }
  static void markReloads(const std::vector<Clock::time_point>& signals,
                          const std::vector<Clock::time_point>& began, Run& run) {
    run.reloads = signals.size();
    for (std::size_t i = 0; i < began.size(); ++i) {
      run.pairs[i].in_reload = std::any_of(signals.begin(), signals.end(), [&](const auto& signal) {
        const Clock::time_point ended =
            began[i] + std::chrono::microseconds(static_cast<std::int64_t>(run.pairs[i].proxied));
        return ended >= signal && began[i] - signal <= kReloadLasts;
      });
    }
  }

  const bool control_;
  const std::uint64_t seed_;
  const Plan plan_;
  Record record_;
  Site site_;
  FleetRig rig_;
  Connection host_, proxy_;
  std::uint64_t calls_ = 0;
};

std::vector<double> valuesOf(const std::vector<Pair>& pairs, double (*value)(const Pair&)) {
  std::vector<double> values;
  for (const Pair& p : pairs) values.push_back(value(p));
  return values;
}
double direct(const Pair& p) { return p.direct; }
double proxied(const Pair& p) { return p.proxied; }
double added(const Pair& p) { return p.added(); }

// The sum over a chain of calls, each drawn on its own from the measured ones.
Quantiles chainOf(const std::vector<Pair>& pairs) {
  load_balancer::Random random(kChainLength);
  std::vector<double> sums(pairs.empty() ? 0 : kChains);
  for (double& sum : sums) {
    for (int call = 0; call < kChainLength; ++call)
      sum += pairs[random.below(static_cast<std::uint32_t>(pairs.size()))].added();
  }
  return quantilesOf(std::move(sums));
}

// All repetitions of one rate, with control off or on.
struct Cell {
  double rate = 0;
  bool control = false;
  std::vector<Run> runs;

  std::vector<Pair> pooled() const {
    std::vector<Pair> all;
    for (const Run& r : runs) all.insert(all.end(), r.pairs.begin(), r.pairs.end());
    return all;
  }
  std::vector<Pair> inReload() const {
    std::vector<Pair> some = pooled();
    std::erase_if(some, [](const Pair& p) { return !p.in_reload; });
    return some;
  }
};

struct Way {
  const char* name;
  double (*value)(const Pair&);
};
constexpr std::array<Way, 3> kWays = {Way{"direct", direct}, Way{"through the proxy", proxied},
                                      Way{"added", added}};

json toJson(const Quantiles& q) {
  return {{"p50", q.p50}, {"p90", q.p90}, {"p99", q.p99}, {"p99.9", q.p999}, {"most", q.most}};
}

json toJson(const Cell& cell) {
  json out = {{"rate", cell.rate}, {"control", cell.control}, {"repetitions", json::array()}};
  for (const Run& r : cell.runs) {
    json one = {{"pairs", r.pairs.size()}, {"failed", r.failed}, {"reloads", r.reloads}};
    for (const Way& way : kWays) one[way.name] = toJson(quantilesOf(valuesOf(r.pairs, way.value)));
    out["repetitions"].push_back(std::move(one));
  }
  const std::vector<Pair> all = cell.pooled();
  out["pairs"] = all.size();
  for (const Way& way : kWays) out["pooled"][way.name] = toJson(quantilesOf(valuesOf(all, way.value)));
  out["chain"] = toJson(chainOf(all));
  const std::vector<Pair> reloading = cell.inReload();
  out["in_reload"] = {{"pairs", reloading.size()},
                      {"added", toJson(quantilesOf(valuesOf(reloading, added)))}};
  return out;
}

double anyBeyondP99() { return 1 - std::pow(0.99, kChainLength); }

json toJson(const Options& options, const std::vector<Cell>& cells) {
  json out = {{"unit", "us"},
              {"budget_added_p99", kBudgetMicroseconds},
              {"seconds", options.seconds},
              {"members", options.members},
              {"services", options.services},
              {"hosts", options.hosts},
              {"chain_length", kChainLength},
              {"chain_any_beyond_p99", anyBeyondP99()},
              {"cells", json::array()}};
  for (const Cell& cell : cells) out["cells"].push_back(toJson(cell));
  return out;
}

// One quantile: of all repetitions together, and its least and most over them.
void printSpread(const Cell& cell, const Way& way, double Quantiles::*quantile) {
  double least = std::numeric_limits<double>::infinity();
  double most = -least;
  for (const Run& r : cell.runs) {
    const double value = quantilesOf(valuesOf(r.pairs, way.value)).*quantile;
    least = std::min(least, value);
    most = std::max(most, value);
  }
  std::printf(" %7.0f (%.0f..%.0f)", quantilesOf(valuesOf(cell.pooled(), way.value)).*quantile, least, most);
}

void print(const Cell& cell) {
  std::size_t failed = 0, reloads = 0;
  for (const Run& r : cell.runs) failed += r.failed, reloads += r.reloads;
  const std::vector<Pair> all = cell.pooled();
  std::printf("\ncontrol %s, %.0f calls a second: %zu pairs in %zu repetitions, %zu failed, %zu reloads\n",
              cell.control ? "on" : "off", cell.rate, all.size(), cell.runs.size(), failed, reloads);
  for (const Way& way : kWays) {
    std::printf("  %-18s", way.name);
    for (const auto quantile : {&Quantiles::p50, &Quantiles::p90, &Quantiles::p99, &Quantiles::p999})
      printSpread(cell, way, quantile);
    std::printf("\n");
  }
  const Quantiles chain = chainOf(all);
  std::printf("  added over a chain of %d (sum of independent draws): p50 %.0f, p99 %.0f\n", kChainLength,
              chain.p50, chain.p99);
  const std::vector<Pair> reloading = cell.inReload();
  const Quantiles slow = quantilesOf(valuesOf(reloading, added));
  if (!reloading.empty())
    std::printf("  added to the %zu that came within %.0f ms of a SIGHUP: p50 %.0f, most %.0f\n",
                reloading.size(), 1000 * kReloadLasts.count(), slow.p50, slow.most);
}

void print(const Options& options, const std::vector<Cell>& cells) {
  std::printf("us: p50, p90, p99, p99.9 of all repetitions (least..most of one); budget: added p99 %.0f\n",
              kBudgetMicroseconds);
  std::printf("%zu hosts listed; control on: %zu members, %zu services, a lease of %lld s\n", options.hosts,
              options.members, options.services, static_cast<long long>(kLease.count()));
  for (const Cell& cell : cells) print(cell);
  std::printf("\nat least one of a chain of %d is beyond the p99 of one call: %.1f %% (1 - 0.99^%d)\n",
              kChainLength, 100 * anyBeyondP99(), kChainLength);
}

std::vector<Cell> measureAll(const Options& options) {
  std::vector<Cell> cells;
  for (const bool control : {false, true}) {
    for (const double rate : options.rates) cells.push_back({rate, control, {}});
  }
  for (int repetition = 0; repetition < options.repetitions; ++repetition) {
    for (const bool control : {false, true}) {
      Testbed testbed(options, control, static_cast<std::uint64_t>(repetition) + 1);
      for (Cell& cell : cells) {
        if (cell.control == control)
          cell.runs.push_back(testbed.measure(cell.rate, options.seconds, repetition));
      }
    }
  }
  return cells;
}

[[noreturn]] void usage() {
  std::fprintf(stderr,
               "bench_latency [--seconds S] [--repetitions N] [--rates R,R] [--members N] [--services N] "
               "[--hosts N] [--json]\n");
  std::exit(64);
}

Options read(int argc, char** argv) {
  Options options;
  for (int i = 1; i < argc; ++i) {
    const std::string name = argv[i];
    if (name == "--json") {
      options.as_json = true;
      continue;
    }
    if (i + 1 == argc) usage();
    const std::string value = argv[++i];
    if (name == "--seconds") {
      options.seconds = std::atof(value.c_str());
    } else if (name == "--repetitions") {
      options.repetitions = std::atoi(value.c_str());
    } else if (name == "--members") {
      options.members = static_cast<std::size_t>(std::atoi(value.c_str()));
    } else if (name == "--services") {
      options.services = static_cast<std::size_t>(std::atoi(value.c_str()));
    } else if (name == "--hosts") {
      options.hosts = static_cast<std::size_t>(std::atoi(value.c_str()));
    } else if (name == "--rates") {
      options.rates.clear();
      std::istringstream list(value);
      for (std::string rate; std::getline(list, rate, ',');) options.rates.push_back(std::atof(rate.c_str()));
    } else {
      usage();
    }
  }
  const bool rates = std::all_of(options.rates.begin(), options.rates.end(), [](double r) { return r > 0; });
  if (!rates || options.seconds <= 0 || options.repetitions < 1 || options.members < 3 ||
      options.members > 200 || options.services < 1 || options.services > 1000 || options.hosts < kZones ||
      options.hosts > 2000)
    usage();
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = read(argc, argv);
  signal(SIGPIPE, SIG_IGN);
  try {
    const std::vector<Cell> cells = measureAll(options);
    if (options.as_json) {
      std::printf("%s\n", toJson(options, cells).dump(2).c_str());
    } else {
      print(options, cells);
    }
  } catch (const std::exception& e) {
    std::fprintf(stderr, "bench_latency: %s\n", e.what());
    return 1;
  }
  return 0;
}
