// Runs four replicas of the shared configuration in two regions and the proxies that subscribe to them, each
// as a process of the program that can be started, terminated, killed, frozen and cut off. The state that
// they report is recorded for the checker.
#pragma once

#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "cli/configuration_client.h"
#include "cli/configuration_report.h"
#include "distribution/digest.h"
#include "distribution_checker.h"
#include "rig/child.h"
#include "rig/fleet_rig.h"
#include "subscription/shared_file.h"
#include "tcp_relay.h"

namespace client_proxy::rig {

// Replicas and proxies are numbered from 0 here.
class DistributionRig {
 public:
  using Tcp = boost::asio::ip::tcp;
  static constexpr std::size_t kReplicas = 4;
  static constexpr std::size_t kProxies = 12;

  // The exit status and standard output of a command of the program; status -1: it didn't exit normally.
  struct CommandResult {
    int status = -1;
    std::string out;
    nlohmann::json page() const { return nlohmann::json::parse(out, nullptr, false); }
  };

  explicit DistributionRig(std::string program) : program_(std::move(program)), began_(Clock::now()) {
    std::string name = "/tmp/client-proxy-distribution-XXXXXX";
    if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("cannot create the folder of the rig");
    folder_ = name;
    address_ = boost::asio::ip::address_v4(0x7F'50'00'00U | (static_cast<unsigned>(getpid()) & 0xFFFFU));
    for (std::size_t r = 0; r < kReplicas; ++r) {
      replicas_[r].address = freePort();
      replicas_[r].relayed = relay_.frontOf(replicas_[r].address, address_);
      std::filesystem::create_directory(replicaFolder(r));
    }
    for (std::size_t n = 0; n < kProxies; ++n) {
      proxies_[n].console = freePort();
      std::filesystem::create_directory(proxyFolder(n));
      write(sharedFile(n), "# nothing is published yet\n");
      history_.members.push_back(static_cast<std::uint32_t>(n));
    }
  }
  ~DistributionRig() {
    for (Replica& p : replicas_) p.child.reset();
    for (Proxy& p : proxies_) p.child.reset();
    boost::system::error_code ignored;
    std::filesystem::remove_all(folder_, ignored);
  }
  DistributionRig(const DistributionRig&) = delete;
  DistributionRig& operator=(const DistributionRig&) = delete;

  // In the operators' lists a replica's number is one higher than here. The first two are in the north.
  static const char* regionOfReplica(std::size_t r) { return r < 2 ? "north" : "south"; }
  static const char* regionOfProxy(std::size_t n) { return n < kProxies / 2 ? "north" : "south"; }
  std::string replicaFolder(std::size_t r) const { return folder_ + "/replica-" + std::to_string(r); }
  std::string proxyFolder(std::size_t n) const { return folder_ + "/proxy-" + std::to_string(n); }
  std::string sharedFile(std::size_t n) const { return proxyFolder(n) + "/shared.conf"; }
  std::string operatorFile(std::size_t n) const { return proxyFolder(n) + "/proxy.conf"; }

  void startReplica(std::size_t r) {
    std::vector<std::string> arguments = {program_,
                                          "configuration",
                                          "replica",
                                          "--id",
                                          idOf(r),
                                          "--listen",
                                          configuration::nameOf(replicas_[r].address),
                                          "--folder",
                                          replicaFolder(r),
                                          "--region",
                                          regionOfReplica(r)};
    for (std::size_t other = 0; other < kReplicas; ++other)
      arguments.insert(arguments.end(),
                       {"--replica", idOf(other) + "=" + addressFrom(regionOfReplica(r), other)});
    replicas_[r].child = std::make_unique<Child>(arguments);
  }
  // Sends SIGTERM; returns whether the replica has exited within the limit.
  bool endReplica(std::size_t r) {
    replicas_[r].child->signal(SIGTERM);
    const bool ended = until([&] { return !replicas_[r].child->runs(); });
    replicas_[r].child.reset();
    return ended;
  }
  void killReplica(std::size_t r) { replicas_[r].child.reset(); }
  void freezeReplica(std::size_t r) { replicas_[r].child->signal(SIGSTOP); }
  void thawReplica(std::size_t r) { replicas_[r].child->signal(SIGCONT); }

  // `extra`: additional text for the operator file of this proxy.
  void startProxy(std::size_t n, const std::string& extra = {}) {
    write(operatorFile(n), extra + operatorText(n));
    proxies_[n].child =
        std::make_unique<Child>(std::vector<std::string>{program_, "run", "--operator", operatorFile(n)});
  }
  void freezeProxy(std::size_t n) { proxies_[n].child->signal(SIGSTOP); }
  void rereadProxy(std::size_t n) { proxies_[n].child->signal(SIGHUP); }
  void killProxy(std::size_t n) { proxies_[n].child.reset(); }
  const Child& proxy(std::size_t n) const { return *proxies_[n].child; }
  const Child& replica(std::size_t r) const { return *replicas_[r].child; }

  // Cuts or restores the connections of replicas and proxies to the replicas of the other region.
  void cutRegions(bool cut) { relay_.setCut(cut); }

  // A JSON page of a proxy's console; null if it doesn't answer with one.
  nlohmann::json page(std::size_t n, const std::string& path) const {
    const std::string text = FleetRig::getAt(proxies_[n].console, path);
    const std::size_t body = text.find("\r\n\r\n");
    if (text.rfind("HTTP/1.1 200", 0) != 0 || body == std::string::npos) return nullptr;
    nlohmann::json page = nlohmann::json::parse(text.substr(body + 4), nullptr, false);
    return page.is_discarded() ? nlohmann::json() : page;
  }
  // The whole response of a proxy's console, with its head.
  std::string get(std::size_t n, const std::string& path) const {
    return FleetRig::getAt(proxies_[n].console, path);
  }

  // A metric without labels on a proxy's console; none: it isn't there, or the console doesn't answer.
  std::optional<double> metric(std::size_t n, const std::string& name) const {
    const std::string stats = get(n, "/stats");
    const std::size_t at = stats.find("\n" + name + " ");
    if (at == std::string::npos) return std::nullopt;
    return std::strtod(stats.c_str() + at + name.size() + 2, nullptr);
  }
  double totalReconnects() const {
    double sum = 0;
    for (std::size_t n = 0; n < kProxies; ++n)
      sum += metric(n, "app_configuration_reconnects_total").value_or(0);
    return sum;
  }

  // Publishes with the program through the replicas `at`; records the version if it is acknowledged.
  CommandResult publish(const std::string& text, const std::vector<std::size_t>& at = {0, 1, 2, 3},
                        const std::string& extra = {}) {
    const std::string file = folder_ + "/candidate-" + std::to_string(++candidates_) + ".conf";
    write(file, text);
    return recorded(text,
                    [&] { return run("publish --author ada --json " + extra + replicaOptions(at) + file); });
  }
  CommandResult revert(distribution::Version version, const std::string& text) {
    return recorded(text, [&] {
      return run("revert --author ada --json " + replicaOptions({0, 1, 2, 3}) + std::to_string(version));
    });
  }
  CommandResult status(const std::vector<std::size_t>& at = {0, 1, 2, 3}) {
    return run("status --json " + replicaOptions(at));
  }
  // The status of one replica; none: it doesn't answer.
  std::optional<distribution::Status> statusOf(std::size_t r) const {
    return configuration::ReplicaClient({replicas_[r].address}).statuses()[0].status;
  }

  std::string sharedText(std::size_t n) const {
    std::ifstream in(sharedFile(n), std::ios::binary);
    return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  }
  // Overwrites the shared file, like an operator by hand.
  void replaceShared(std::size_t n, const std::string& content) const { write(sharedFile(n), content); }

  // The version in the last line of a proxy's shared file; 0: none.
  distribution::Version versionOf(std::size_t n) const {
    const std::optional<SharedFile> file = readShared(n);
    return file ? file->version : 0;
  }
  // Whether the shared files of all proxies except `excluded` have at least this version.
  bool allHold(distribution::Version version, const std::set<std::size_t>& excluded = {}) const {
    for (std::size_t n = 0; n < kProxies; ++n) {
      if (excluded.count(n) == 0 && versionOf(n) < version) return false;
    }
    return true;
  }

  // Observes and records until `holds` returns true; false: kLimit has passed, which only ends a failed test.
  bool until(const std::function<bool()>& holds) {
    const auto end = Clock::now() + kLimit;
    for (;;) {
      observe();
      if (holds()) return true;
      if (Clock::now() > end) return false;
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  // Records that the proxy was without a replica with a quorum from `from` until now.
  void outage(std::size_t n, distribution::HistoryTime from) {
    history_.outages.push_back({static_cast<std::uint32_t>(n), from, now()});
  }
  distribution::HistoryTime now() const {
    return std::chrono::duration_cast<distribution::HistoryTime>(Clock::now() - began_);
  }

  // Reads the stored changes of all replicas and checks the recorded history; all replicas must run and have
  // the newest version.
  std::string breaches() {
    observe();
    history_.end = now();
    for (std::size_t r = 0; r < kReplicas; ++r) readStored(r);
    return distribution::breachesOf(history_);
  }
  const distribution::History& history() const { return history_; }

  std::string logs() const {
    std::string all;
    for (std::size_t r = 0; r < kReplicas; ++r) all += linesOf("replica " + idOf(r), replicas_[r].child);
    for (std::size_t n = 0; n < kProxies; ++n)
      all += linesOf("proxy " + std::to_string(n), proxies_[n].child);
    return all;
  }

 private:
  using Clock = std::chrono::steady_clock;
  static constexpr std::chrono::seconds kLimit{60};
  static constexpr std::chrono::milliseconds kPollInterval{50};

  struct Replica {
    Tcp::endpoint address;
    Tcp::endpoint relayed;  // its address for the other region, through the relay
    std::unique_ptr<Child> child;
  };
  struct Proxy {
    Tcp::endpoint console;
    std::unique_ptr<Child> child;
  };
  struct SharedFile {
    distribution::Version version = 0;
    std::string digest;  // computed from the text, not read from the file
  };

  static std::string idOf(std::size_t r) { return std::to_string(r + 1); }
  static void write(const std::string& path, const std::string& text) {
    std::ofstream(path, std::ios::binary | std::ios::trunc) << text;
  }
  static std::string linesOf(const std::string& process, const std::unique_ptr<Child>& child) {
    std::string all;
    if (child == nullptr) return all;
    for (const std::string& line : child->lines()) all += process + ": " + line + "\n";
    return all;
  }

  Tcp::endpoint freePort() {
    // A free port may have been assigned already to a process that has not bound it yet.
    for (;;) {
      const Tcp::endpoint at = Tcp::acceptor(io_, Tcp::endpoint(address_, 0)).local_endpoint();
      if (assigned_ports_.insert(at.port()).second) return at;
    }
  }

  std::string addressFrom(const std::string& region, std::size_t r) const {
    return configuration::nameOf(region == regionOfReplica(r) ? replicas_[r].address : replicas_[r].relayed);
  }

  std::string operatorText(std::size_t n) const {
    std::string text = "listen 127.0.0.1:0\nclient " + std::to_string(n) +
                       "\nclass own {\n  effect safe\n  aim 1s\n  deadline 2s\n}\npool p {\n  host h " +
                       address_.to_string() + ":1\n}\nstatus {\n  listen " +
                       configuration::nameOf(proxies_[n].console) +
                       "\n}\nconfiguration {\n  file shared.conf\n  region " + regionOfProxy(n) + "\n";
    for (std::size_t r = 0; r < kReplicas; ++r)
      text += "  replica " + idOf(r) + " " + addressFrom(regionOfProxy(n), r) + " {\n    region " +
              regionOfReplica(r) + "\n  }\n";
    return text + "}\n";
  }

  std::string replicaOptions(const std::vector<std::size_t>& at) const {
    std::string options;
    for (const std::size_t r : at)
      options += "--replica " + configuration::nameOf(replicas_[r].address) + " ";
    return options;
  }

  CommandResult run(const std::string& arguments) const {
    CommandResult result;
    FILE* const out = popen((program_ + " configuration " + arguments).c_str(), "r");
    std::array<char, 4096> bytes{};
    while (const std::size_t size = std::fread(bytes.data(), 1, bytes.size(), out))
      result.out.append(bytes.data(), size);
    const int status = pclose(out);
    result.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
  }

  // Runs a publishing command and records an acknowledged publish; may be called by several threads.
  CommandResult recorded(const std::string& text, const std::function<CommandResult()>& command) {
    distribution::PublishRecord record;
    record.requested = now();
    CommandResult result = command();
    const nlohmann::json page = result.page();
    if (!page.is_object() || page.value("result", "") != "published") return result;
    record.decided = record.requested + distribution::HistoryTime(page.at("decided_in_ms").get<int>());
    record.acknowledged = now();
    record.id = page.at("id");
    record.version = page.at("version");
    record.digest = distribution::digestOf(text);
    const std::lock_guard lock(mutex_);
    history_.publishes.push_back(record);
    return result;
  }

  std::optional<SharedFile> readShared(std::size_t n) const {
    if (!std::filesystem::exists(sharedFile(n))) return std::nullopt;
    const subscription::InForce held = subscription::parseSharedFile(sharedText(n));
    return SharedFile{held.version, distribution::digestOf(held.text)};
  }

  void observe() {
    for (std::size_t n = 0; n < kProxies; ++n) {
      if (const auto file = readShared(n)) recordInForce(n, "disk", file->version, file->digest);
    }
    std::vector<Endpoint> addresses;
    for (const Replica& p : replicas_) addresses.push_back(p.address);
    for (const auto& answer : configuration::ReplicaClient(addresses).statuses()) {
      if (answer.status) observe(*answer.status);
    }
  }
  void observe(const distribution::Status& status) {
    const std::string source =
        "replica " + std::to_string(status.replica) + " start " + std::to_string(status.start_count);
    for (const distribution::MemberStatus& m : status.members) {
      recordInForce(m.member, source, m.version, m.digest);
      if (m.refused) history_.refusals.push_back({now(), m.member, m.refused->version});
    }
  }
  void recordInForce(std::size_t n, const std::string& source, distribution::Version version,
                     const std::string& digest) {
    const auto reported = std::make_pair(version, digest);
    auto& last = last_recorded_[{n, source}];
    if (last == reported) return;
    last = reported;
    history_.in_force.push_back({now(), static_cast<std::uint32_t>(n), source, version, digest});
  }
  void readStored(std::size_t r) {
    const std::optional<distribution::Status> status = statusOf(r);
    if (!status) return;
    const configuration::ReplicaClient client({replicas_[r].address});
    for (distribution::Version v = 1; v <= status->version; ++v) {
      const auto change = client.change(v);
      if (change)
        history_.stored.push_back(
            {static_cast<std::uint32_t>(r + 1), v, change->id, distribution::digestOf(change->text)});
    }
  }

  const std::string program_;
  const Clock::time_point began_;
  std::string folder_;
  boost::asio::io_context io_;
  boost::asio::ip::address address_;
  std::set<std::uint16_t> assigned_ports_;
  TcpRelay relay_;
  std::array<Replica, kReplicas> replicas_;
  std::array<Proxy, kProxies> proxies_;
  std::atomic<int> candidates_ = 0;
  std::mutex mutex_;  // protects history_.publishes
  distribution::History history_;
  std::map<std::pair<std::size_t, std::string>, std::pair<distribution::Version, std::string>> last_recorded_;
};

}  // namespace client_proxy::rig
