#include "proxy_process.h"

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace client_proxy::bench {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using nlohmann::json;

constexpr std::chrono::seconds kReadyWithin{10};
constexpr std::chrono::milliseconds kLook{5};
// Long enough that nothing that a measurement holds open is given up or repeated.
constexpr std::int64_t kAimMicroseconds = 30'000'000;
constexpr std::int64_t kDeadlineMicroseconds = 60'000'000;

json settingsOf(const ProxyOptions& options) {
  json classes = json::array();
  for (std::size_t c = 0; c < options.classes; ++c)
    classes.push_back({{"name", "class-" + std::to_string(c)},
                       {"goal_time_us", kAimMicroseconds},
                       {"deadline_us", kDeadlineMicroseconds},
                       {"effect", "retryable"}});
  return {{"me", 0},
          {"peers_total", 730},
          {"discovery", "ask"},
          {"my_zone", 0},
          {"tick_us", 5000},
          {"zones", {"zone-0"}},
          {"request_classes", classes},
          {"limits",
           {{"max_attempts", 3},
            {"peers", options.fleet_allowed},
            {"may_cancel", true},
            {"max_open", 2000},
            {"conn_idle_us", 10'000'000}}},
          {"rules",
           {{"drain_grace_us", 2'000'000},
            {"cold_from", 0.3},
            {"cold_us", 8'000'000},
            {"tip_multiple", 3},
            {"fall_us", 2'000'000},
            // The first call to discovery comes at random within a third of it.
            {"ask_within_us", 3'000'000}}}};
}

std::filesystem::path newFolder() {
  std::string name = "/tmp/client-proxy-bench-XXXXXX";
  if (mkdtemp(name.data()) == nullptr) throw std::runtime_error("no folder for a measurement");
  return name;
}

}  // namespace

std::string textOf(const Endpoint& at) { return at.address().to_string() + ":" + std::to_string(at.port()); }

double cpuMilliseconds(pid_t pid) {
  double nanoseconds = 0;
  for (const auto& task : std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task")) {
    double of_thread = 0;
    std::ifstream(task.path() / "schedstat") >> of_thread;
    nanoseconds += of_thread;
  }
  return nanoseconds / 1e6;
}

double residentKilobytes(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  double size = 0;
  double resident = 0;
  in >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1000;
}

ProxyProcess::ProxyProcess(const std::string& program, const ProxyOptions& options)
    : listener_(io_, Endpoint(asio::ip::make_address("127.0.0.1"), 0)), folder_(newFolder()) {
  std::vector<std::string> environment = {"PROXY_CONFIG=" + writeConfiguration(options),
                                          "TMPDIR=" + folder_.string(), "PROXY_INHERITED_FD=3"};
  if (!options.operator_text.empty()) {
    setOperatorText(options.operator_text);
    environment.push_back("PROXY_OPERATOR=" + (folder_ / "operator.conf").string());
  }
  child_ = std::make_unique<rig::Child>(std::vector<std::string>{program}, &environment,
                                        listener_.native_handle());
  awaitHealth();
}

ProxyProcess::~ProxyProcess() {
  child_.reset();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

std::string ProxyProcess::writeConfiguration(const ProxyOptions& options) const {
  json doc = {{"name", "bench"},
              {"listen", textOf(listens())},
              {"discovery", textOf(options.discovery)},
              {"seed", "1"},
              {"limits", {{"cores", 1.0}, {"memory_mb", 64}, {"sockets", 8192}}},
              {"settings", settingsOf(options)}};
  if (!options.known.is_null()) doc["known"] = options.known;
  const std::filesystem::path path = folder_ / "configuration.json";
  std::ofstream(path, std::ios::trunc) << doc.dump();
  return path;
}

void ProxyProcess::setOperatorText(const std::string& text) const {
  const std::filesystem::path next = folder_ / "operator.conf.new";
  std::ofstream(next, std::ios::trunc) << text;
  std::filesystem::rename(next, folder_ / "operator.conf");
}

void ProxyProcess::reload() const { child_->signal(SIGHUP); }

std::string ProxyProcess::log() const {
  std::string all;
  for (const std::string& line : child_->lines()) all += line + "\n";
  return all;
}

void ProxyProcess::awaitHealth() const {
  const auto end = std::chrono::steady_clock::now() + kReadyWithin;
  while (std::chrono::steady_clock::now() < end && child_->runs()) {
    asio::io_context io;
    asio::ip::tcp::socket socket(io);
    error_code ec;
    socket.connect(listens(), ec);
    const std::string request = "GET /healthz HTTP/1.1\r\nHost: bench\r\nConnection: close\r\n\r\n";
    if (!ec) asio::write(socket, asio::buffer(request), ec);
    std::string answer;
    if (!ec) asio::read(socket, asio::dynamic_buffer(answer), ec);
    if (answer.compare(0, 12, "HTTP/1.1 200") == 0) return;
    std::this_thread::sleep_for(kLook);
  }
  throw std::runtime_error("the proxy does not serve:\n" + log());
}

}  // namespace client_proxy::bench
