// What the distribution of configuration costs and how fast it is: four replicas as processes of the program,
// and hollow subscribers, many in this process, each the task that a proxy runs.
//
//     bench_distribution [--json FILE] [SUBSCRIBERS ...]     else 60 150 300 730
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "cli/configuration_client.h"
#include "cli/configuration_report.h"
#include "distribution/digest.h"
#include "net/clock.h"
#include "rig/child.h"
#include "subscription/subscription_task.h"
#include "tasks/loop.h"

namespace {

using namespace std::chrono_literals;
using client_proxy::Endpoint;
using client_proxy::configuration::PublishResult;
using client_proxy::configuration::ReplicaClient;
using client_proxy::distribution::Change;
using client_proxy::distribution::Version;
using client_proxy::rig::Child;
using client_proxy::subscription::SubscriptionTask;
using Clock = std::chrono::steady_clock;
using nlohmann::ordered_json;

constexpr std::size_t kReplicas = 4;
constexpr std::size_t kChanges = 10;
constexpr std::size_t kTextBytes = 30'000;
constexpr auto kRest = 8s;
constexpr auto kLimit = 30s;

double secondsSince(Clock::time_point from) {
  return std::chrono::duration<double>(Clock::now() - from).count();
}

template <typename Holds>
bool until(Holds holds) {
  const auto end = Clock::now() + kLimit;
  while (!holds()) {
    if (Clock::now() > end) return false;
    std::this_thread::sleep_for(10ms);
  }
  return true;
}

// User and system time of a process, in milliseconds.
double cpuOf(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  const std::string all((std::istreambuf_iterator<char>(in)), std::istreambuf_iterator<char>());
  std::istringstream fields(all.substr(all.rfind(')') + 1));
  std::string skipped;
  for (int i = 0; i < 11; ++i) fields >> skipped;
  double user = 0, system = 0;
  fields >> user >> system;
  return (user + system) * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentOf(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  double size = 0, resident = 0;
  in >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

struct Spread {
  double median = 0, most = 0;
};
Spread spreadOf(std::vector<double> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  return {values[values.size() / 2], values.back()};
}

// A text of about the size that a fleet's shared file has; each version differs in one line.
std::string textOf(std::size_t version) {
  std::string text = "define change " + std::to_string(version) + "\n";
  for (std::size_t i = 0; text.size() < kTextBytes; ++i)
    text += "class class-" + std::to_string(i) + " {\n  effect safe\n  aim 800ms\n  deadline 2s\n}\n";
  return text;
}
// Nothing of it is in another version: a delta does not pay.
std::string otherTextOf(std::size_t version) {
  std::string text;
  for (std::size_t i = 0; text.size() < kTextBytes; ++i)
    text +=
        "# " + client_proxy::distribution::digestOf(std::to_string(version) + "/" + std::to_string(i)) + "\n";
  return text;
}

class Replicas {
 public:
  Replicas() {
    std::string name = "/tmp/client-proxy-bench-distribution-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder");
    folder_ = name;
    for (std::size_t r = 0; r < kReplicas; ++r) listens.push_back(freePort());
    for (std::size_t r = 0; r < kReplicas; ++r) start(r);
  }
  ~Replicas() {
    children_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  Replicas(const Replicas&) = delete;
  Replicas& operator=(const Replicas&) = delete;

  void start(std::size_t r) {
    std::filesystem::create_directories(folder_ + "/" + std::to_string(r));
    std::vector<std::string> arguments = {CLIENT_PROXY_PROGRAM,
                                          "configuration",
                                          "replica",
                                          "--id",
                                          std::to_string(r + 1),
                                          "--listen",
                                          client_proxy::configuration::nameOf(listens[r]),
                                          "--folder",
                                          folder_ + "/" + std::to_string(r),
                                          "--region",
                                          r < 2 ? "north" : "south"};
    for (std::size_t other = 0; other < kReplicas; ++other)
      arguments.insert(arguments.end(),
                       {"--replica", std::to_string(other + 1) + "=" +
                                         client_proxy::configuration::nameOf(listens[other])});
    children_.resize(kReplicas);
    children_[r] = std::make_unique<Child>(arguments);
  }
  void kill(std::size_t r) { children_[r].reset(); }
  pid_t pid(std::size_t r) const { return children_[r]->pid(); }
  bool quorum() const {
    const auto answers = ReplicaClient(listens).statuses();
    return std::all_of(answers.begin(), answers.end(),
                       [](const auto& a) { return a.status && a.status->quorum; });
  }
  // Members that have acknowledged this version, whichever replica knows it.
  std::size_t acknowledged(Version version) const {
    std::set<std::uint32_t> members;
    for (const auto& answer : ReplicaClient(listens).statuses()) {
      if (!answer.status) continue;
      for (const auto& m : answer.status->members) {
        if (m.version >= version) members.insert(m.member);
      }
    }
    return members.size();
  }
  // The new version; 0: not published.
  Version publish(const std::string& text) {
    client_proxy::distribution::PublishRequest request;
    request.id = client_proxy::distribution::digestOf("bench " + std::to_string(++published_));
    request.author = "bench";
    request.base = newest_;
    request.text = text;
    const auto outcome = ReplicaClient(listens).publish(request, 10s);
    if (outcome.result != PublishResult::Published) {
      std::fprintf(stderr, "not published: %s\n", outcome.detail.c_str());
      return 0;
    }
    return newest_ = outcome.version;
  }

  std::vector<Endpoint> listens;

 private:
  Endpoint freePort() {
    const auto address =
        boost::asio::ip::address_v4(0x7F'51'00'00U | (static_cast<unsigned>(getpid()) & 0xFFFFU));
    for (;;) {
      const Endpoint at = boost::asio::ip::tcp::acceptor(io_, Endpoint(address, 0)).local_endpoint();
      if (std::find(listens.begin(), listens.end(), at) == listens.end()) return at;
    }
  }

  boost::asio::io_context io_;
  std::string folder_;
  std::vector<std::unique_ptr<Child>> children_;
  std::size_t published_ = 0;
  Version newest_ = 0;
};

// Hollow subscribers on a few loops of this process.
class Subscribers {
 public:
  Subscribers(std::size_t count, const std::vector<Endpoint>& replicas) : held_(count), taken_(count) {
    for (std::size_t l = 0; l < kLoops; ++l)
      loops_.push_back(std::make_unique<client_proxy::tasks::Loop>("subscribers"));
    for (std::size_t n = 0; n < count; ++n) {
      SubscriptionTask::Settings settings;
      settings.member = static_cast<std::uint32_t>(n);
      settings.region = n % 2 == 0 ? "north" : "south";
      settings.seed = n + 1;
      for (std::size_t r = 0; r < replicas.size(); ++r)
        settings.replicas.push_back(
            {static_cast<std::uint32_t>(r + 1), replicas[r], r < 2 ? "north" : "south"});
      tasks_.push_back(std::make_unique<SubscriptionTask>(
          loopOf(n).io(), clock_, settings,
          [this, n](const Change& change, const SubscriptionTask::Done& done) {
            held_[n] = change.version;
            taken_[n] = Clock::now().time_since_epoch().count();
            done({.outcome = client_proxy::subscription::Outcome::Taken});
          },
          [](const std::string&, bool) {}));
    }
  }
  ~Subscribers() {
    for (std::size_t n = 0; n < tasks_.size(); ++n) onLoop(n, [this, n] { tasks_[n].reset(); });
    for (auto& loop : loops_) loop->end();
  }
  Subscribers(const Subscribers&) = delete;
  Subscribers& operator=(const Subscribers&) = delete;

  std::size_t size() const { return tasks_.size(); }
  void startAll() {
    for (std::size_t n = 0; n < tasks_.size(); ++n) {
      onLoop(n, [this, n] {
        client_proxy::subscription::InForce nothing;
        nothing.digest = client_proxy::distribution::digestOf("");
        tasks_[n]->start(nothing);
      });
    }
  }
  bool allHold(Version version) const {
    return std::all_of(held_.begin(), held_.end(), [&](const auto& v) { return v >= version; });
  }
  // Until the last of them had taken what it holds.
  double lastTakenAfter(Clock::time_point from) const {
    Clock::rep last = 0;
    for (const auto& t : taken_) last = std::max(last, t.load());
    return std::chrono::duration<double>(Clock::duration(last) - from.time_since_epoch()).count();
  }
  struct Sums {
    std::uint64_t bytes_in = 0, bytes_out = 0, acknowledgements = 0, reconnects = 0, watching = 0;
  };
  Sums sums() {
    Sums sums;
    for (std::size_t n = 0; n < tasks_.size(); ++n) {
      onLoop(n, [&, n] {
        const SubscriptionTask& task = *tasks_[n];
        sums.bytes_in += task.traffic().bytes_in;
        sums.bytes_out += task.traffic().bytes_out;
        sums.acknowledgements += task.traffic().acknowledgements;
        sums.reconnects += task.subscription()->counters().reconnects();
        sums.watching += task.subscription()->watchedReplica().has_value() ? 1 : 0;
      });
    }
    return sums;
  }
  // Bytes in and out of each.
  std::vector<std::uint64_t> bytes() {
    std::vector<std::uint64_t> all(tasks_.size());
    for (std::size_t n = 0; n < tasks_.size(); ++n)
      onLoop(n, [&, n] { all[n] = tasks_[n]->traffic().bytes_in + tasks_[n]->traffic().bytes_out; });
    return all;
  }

 private:
  static constexpr std::size_t kLoops = 2;

  client_proxy::tasks::Loop& loopOf(std::size_t n) { return *loops_[n % kLoops]; }
  // Runs it there and waits for its end.
  void onLoop(std::size_t n, const std::function<void()>& what) {
    std::promise<void> done;
    boost::asio::post(loopOf(n).io(), [&] {
      what();
      done.set_value();
    });
    done.get_future().wait();
  }

  const client_proxy::Clock clock_;
  std::vector<std::unique_ptr<client_proxy::tasks::Loop>> loops_;
  std::vector<std::unique_ptr<SubscriptionTask>> tasks_;
  std::vector<std::atomic<Version>> held_;
  std::vector<std::atomic<Clock::rep>> taken_;
};

// What passed between two looks.
struct Look {
  Clock::time_point at;
  Subscribers::Sums sums;
  std::vector<std::uint64_t> bytes;
  double replica_cpu_ms = 0;  // of all replicas that run
  double own_cpu_ms = 0;      // of all subscribers
};

class Bench {
 public:
  explicit Bench(std::size_t count) : subscribers_(count, replicas_.listens) {}

  ordered_json run() {
    if (!until([&] { return replicas_.quorum(); })) throw std::runtime_error("the replicas hear no quorum");
    const auto began = Clock::now();
    subscribers_.startAll();
    until([&] { return subscribers_.sums().watching == subscribers_.size(); });
    page_ = {{"subscribers", subscribers_.size()}, {"start_s", secondsSince(began)}};
    publishOne(textOf(0));
    changes("delta", [](std::size_t i) { return textOf(i + 1); });
    changes("whole_text", [](std::size_t i) { return otherTextOf(i); });
    rest();
    replicaGone();
    return page_;
  }

 private:
  Look look(const std::vector<std::size_t>& running = {0, 1, 2, 3}) {
    Look l;
    l.at = Clock::now();
    l.sums = subscribers_.sums();
    l.bytes = subscribers_.bytes();
    for (const std::size_t r : running) l.replica_cpu_ms += cpuOf(replicas_.pid(r));
    l.own_cpu_ms = cpuOf(getpid());
    return l;
  }

  // Seconds until the last subscriber has taken it, and until the replicas have heard so from all.
  struct Times {
    double taken = 0, acknowledged = 0;
  };
  Times publishOne(const std::string& text) {
    const auto from = Clock::now();
    const Version version = replicas_.publish(text);
    if (version == 0 || !until([&] { return subscribers_.allHold(version); })) ++failed_;
    Times times;
    times.taken = subscribers_.lastTakenAfter(from);
    if (!until([&] { return replicas_.acknowledged(version) == subscribers_.size(); })) ++failed_;
    times.acknowledged = secondsSince(from);
    return times;
  }

  template <typename TextOf>
  void changes(const char* what, TextOf text) {
    std::vector<double> taken, acknowledged;
    const Look before = look();
    for (std::size_t i = 0; i < kChanges; ++i) {
      const Times times = publishOne(text(i));
      taken.push_back(times.taken);
      acknowledged.push_back(times.acknowledged);
    }
    const Look after = look();
    const double seconds = std::chrono::duration<double>(after.at - before.at).count();
    const double subscribers = static_cast<double>(subscribers_.size());
    const auto each = [&](std::uint64_t b, std::uint64_t a, double parts) {
      return static_cast<double>(a - b) / parts / static_cast<double>(kChanges);
    };
    page_[what] = {
        {"taken_p50_s", spreadOf(taken).median},
        {"taken_max_s", spreadOf(taken).most},
        {"acknowledged_p50_s", spreadOf(acknowledged).median},
        {"acknowledged_max_s", spreadOf(acknowledged).most},
        {"subscriber_in_bytes_a_change", each(before.sums.bytes_in, after.sums.bytes_in, subscribers)},
        {"subscriber_out_bytes_a_change", each(before.sums.bytes_out, after.sums.bytes_out, subscribers)},
        {"replica_out_bytes_a_change", each(before.sums.bytes_in, after.sums.bytes_in, kReplicas)},
        {"replica_cpu_ms_a_change", (after.replica_cpu_ms - before.replica_cpu_ms) / kReplicas / kChanges},
        {"changes_a_second", static_cast<double>(kChanges) / seconds}};
  }

  void rest() {
    std::this_thread::sleep_for(2s);
    const Look before = look();
    std::this_thread::sleep_for(kRest);
    const Look after = look();
    const double seconds = std::chrono::duration<double>(after.at - before.at).count();
    const double subscribers = static_cast<double>(subscribers_.size());
    page_["rest"] = {
        {"subscriber_in_bytes_s",
         static_cast<double>(after.sums.bytes_in - before.sums.bytes_in) / seconds / subscribers},
        {"subscriber_out_bytes_s",
         static_cast<double>(after.sums.bytes_out - before.sums.bytes_out) / seconds / subscribers},
        {"subscriber_cpu_ms_s", (after.own_cpu_ms - before.own_cpu_ms) / seconds / subscribers},
        {"replica_out_bytes_s",
         static_cast<double>(after.sums.bytes_in - before.sums.bytes_in) / seconds / kReplicas},
        {"replica_cpu_ms_s", (after.replica_cpu_ms - before.replica_cpu_ms) / seconds / kReplicas},
        {"replica_resident_mb", residentOf(replicas_.pid(0))}};
  }

  // One of four is killed: its subscribers go to the others. Looked at each half second.
  void replicaGone() {
    const Look before = look();
    replicas_.kill(0);
    const auto from = Clock::now();
    std::uint64_t seen = before.sums.reconnects, most_reconnects = 0, most_bytes = 0;
    std::vector<std::uint64_t> bytes = before.bytes;
    double back = 0;
    bool all_back = false;
    for (auto next = from + 1s; Clock::now() < from + kLimit && !all_back; next += 1s) {
      while (Clock::now() < next && !all_back) {
        std::this_thread::sleep_for(50ms);
        const auto sums = subscribers_.sums();
        all_back = Clock::now() > from + 1s && sums.watching == subscribers_.size();
      }
      back = secondsSince(from);
      const std::uint64_t reconnects = subscribers_.sums().reconnects;
      most_reconnects = std::max(most_reconnects, reconnects - seen);
      seen = reconnects;
      const std::vector<std::uint64_t> now = subscribers_.bytes();
      for (std::size_t n = 0; n < now.size(); ++n) most_bytes = std::max(most_bytes, now[n] - bytes[n]);
      bytes = now;
    }
    if (!all_back) ++failed_;
    page_["replica_gone"] = {{"reconnects", seen - before.sums.reconnects},
                             {"most_reconnects_a_second", most_reconnects},
                             {"most_bytes_a_subscriber_in_a_second", most_bytes},
                             {"all_back_s", back}};
    page_["failed"] = failed_;
  }

  Replicas replicas_;
  Subscribers subscribers_;
  ordered_json page_;
  std::size_t failed_ = 0;  // what was waited for did not come
};

void print(const ordered_json& page) {
  std::printf("%zu subscribers\n", page.at("subscribers").get<std::size_t>());
  for (const auto& [key, value] : page.items()) {
    if (!value.is_object()) {
      if (key != "subscribers") std::printf("  %-40s %s\n", key.c_str(), value.dump().c_str());
      continue;
    }
    std::printf("  %s\n", key.c_str());
    for (const auto& [figure, number] : value.items())
      std::printf("    %-38s %12.3f\n", figure.c_str(), number.get<double>());
  }
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::size_t> sizes;
  std::string file;
  for (int i = 1; i < argc; ++i) {
    if (std::string(argv[i]) == "--json" && i + 1 < argc) {
      file = argv[++i];
    } else {
      sizes.push_back(static_cast<std::size_t>(std::atoi(argv[i])));
    }
  }
  if (sizes.empty()) sizes = {60, 150, 300, 730};
  if (std::any_of(sizes.begin(), sizes.end(), [](std::size_t s) { return s < 1 || s > 2000; })) {
    std::fprintf(stderr, "bench_distribution [--json FILE] [SUBSCRIBERS ...]\n");
    return 2;
  }
  ordered_json all = ordered_json::array();
  for (const std::size_t size : sizes) {
    all.push_back(Bench(size).run());
    print(all.back());
  }
  if (!file.empty()) std::ofstream(file) << all.dump(2) << "\n";
  const bool failed =
      std::any_of(all.begin(), all.end(), [](const auto& page) { return page.at("failed") != 0; });
  return failed ? 1 : 0;
}
