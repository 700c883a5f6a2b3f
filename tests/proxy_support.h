// Fixtures for tests of the whole client proxy: configuration files, scripted discovery responses, the proxy
// in this process and the program as a process of its own.
#pragma once

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>

#include "front/proxy.h"
#include "net_support.h"

namespace client_proxy::test {

using nlohmann::json;

inline std::string textOf(const tcp::endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

// An entry of the host list as discovery sends it.
inline json entry(const std::string& uid, const tcp::endpoint& at, const char* state = "active") {
  return {{"uid", uid}, {"endpoint", textOf(at)}, {"az", "a"}, {"state", state}};
}

// One line of the host list stream, as a chunk (RFC 9112, 7.1). `full`: `targets` is the whole list.
inline std::string line(int revision, bool full, const json& targets) {
  const std::string text = json{{"rev", revision}, {"all", full}, {"targets", targets}}.dump() + "\n";
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}
// The response head of a watch.
inline const std::string kWatch = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// A temporary configuration file, and the environment that refers to it. `known`: the known host list.
class ConfigFile {
 public:
  ConfigFile(const json& known, const tcp::endpoint& discovery) {
    std::ifstream in(EXAMPLE_CONFIG);
    doc = json::parse(in);
    doc["listen"] = "127.0.0.1:0";
    doc["discovery"] = textOf(discovery);
    doc["known"]["targets"] = known;
    doc["settings"]["rules"]["ask_within_us"] = 300000;
    char name[] = "/tmp/client-proxy-test-XXXXXX";
    const int fd = mkstemp(name);
    if (fd >= 0) ::close(fd);
    path = name;
    write(doc.dump());
  }
  ~ConfigFile() { std::filesystem::remove(path); }
  void write(const std::string& text) { std::ofstream(path, std::ios::trunc) << text; }
  std::function<const char*(const char*)> environment() const {
    return [this](const char* name) {
      return std::string_view(name) == "PROXY_CONFIG" ? path.c_str() : nullptr;
    };
  }
  json doc;
  std::string path;
};

// A request of an idempotent class.
inline std::string request(const std::string& id, const std::string& extra = "") {
  return "GET /slot-status/7 HTTP/1.1\r\nHost: h\r\nX-Account: acme\r\nX-Correlation-Id: " + id + "\r\n" +
         extra + "\r\n";
}

class ProxyTest : public ::testing::Test {
 protected:
  // Starts the proxy with the known hosts `known`; `change` may alter the configuration first.
  void start(const json& known, const std::function<void(Config&)>& change = {}) {
    file = std::make_unique<ConfigFile>(known, discovery.endpoint());
    Config config = readConfig(file->environment());
    if (change) change(config);
    proxy = std::make_unique<Proxy>(loop.io, std::move(config), loop.log, loop.clock);
    proxy->start();
  }
  std::shared_ptr<Peer> client() { return Peer::connect(loop, proxy->localEndpoint()); }
  // Waits for a request and returns the latest connection; null if none arrives.
  std::shared_ptr<Peer> watch(Host& at) {
    const bool requested =
        loop.until([&] { return !at.peers.empty() && at.peers.back()->heard("\r\n\r\n"); });
    return requested ? at.peers.back() : nullptr;
  }
  // Waits until the connections to hosts that are idle now may be used again.
  void awaitReuse() {
    const Time reusable = loop.clock.now() + Upstream::Limits{}.reuse_delay;
    ASSERT_TRUE(loop.until([&] { return loop.clock.now() > reusable; }));
  }
  Loop loop;
  Host host{loop}, other{loop}, discovery{loop}, moved{loop};
  std::unique_ptr<ConfigFile> file;
  std::unique_ptr<Proxy> proxy;
};

// A port for the program. Its address depends on this process's id, so that no other test takes the port
// first.
inline tcp::endpoint freePort(Loop& loop) {
  const auto pid = static_cast<unsigned>(getpid());
  const asio::ip::address_v4 address(0x7F'4D'00'00U | (pid & 0xFFFFU));
  return tcp::acceptor(loop.io, tcp::endpoint(address, 0)).local_endpoint();
}

// The proxy program as a child process, for tests of signals and exit. Killed on destruction.
class Program {
 public:
  explicit Program(const ConfigFile& file)
      : Program({}, {"PROXY_CONFIG=" + file.path,
                     "PROXY_DISCOVERY=" + file.doc["discovery"].get<std::string>()}) {}
  // `log`: the file that receives its standard error; empty: the test's standard error.
  // `inherited`: passed to it as descriptor 3; -1: none.
  Program(std::vector<std::string> arguments, std::vector<std::string> environment,
          const std::string& log = {}, int inherited = -1) {
    arguments.insert(arguments.begin(), CLIENT_PROXY_PROGRAM);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    if (!log.empty())
      posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    if (inherited >= 0) {
      posix_spawn_file_actions_adddup2(&actions, inherited, 3);
      posix_spawn_file_actions_addclosefrom_np(&actions, 4);  // closes the test's other descriptors
    }
    if (posix_spawn(&pid_, CLIENT_PROXY_PROGRAM, &actions, nullptr, pointers(arguments).data(),
                    pointers(environment).data()) != 0)
      pid_ = -1;
    posix_spawn_file_actions_destroy(&actions);
  }
  ~Program() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  void signal(int number) const { kill(pid_, number); }
  // The exit status, or 1000 plus the wait status if a signal ended it; -1 while it runs.
  int status() {
    int wait_status = 0;
    if (pid_ <= 0 || waitpid(pid_, &wait_status, WNOHANG) != pid_) return -1;
    pid_ = -1;
    return WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : 1000 + wait_status;
  }
  pid_t pid() const { return pid_; }
  bool runs() { return pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == 0; }

 private:
  static std::vector<char*> pointers(std::vector<std::string>& texts) {
    std::vector<char*> result;
    for (std::string& t : texts) result.push_back(t.data());
    result.push_back(nullptr);
    return result;
  }
  pid_t pid_ = -1;
};

}  // namespace client_proxy::test
