// One process after another, 100 times, with a client that connects and asks without a pause: from a start to
// its first yes, the longest time without an answer, and calls that met a refused, reset or unread
// connection.
//
//     build/bench/bench_handover [upgrades, 100 by default]
#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;

double millisecondsSince(Steady::time_point from) {
  return std::chrono::duration<double, std::milli>(Steady::now() - from).count();
}
std::string textOf(const tcp::endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

// True: answered 200.
bool ask(const tcp::endpoint& at, const std::string& path) {
  asio::io_context io;
  tcp::socket socket(io);
  error_code ec;
  socket.connect(at, ec);
  if (!ec)
    asio::write(socket, asio::buffer("GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
                ec);
  std::array<char, 64> bytes{};
  const std::size_t n = ec ? 0 : socket.read_some(asio::buffer(bytes), ec);
  return std::string(bytes.data(), n).rfind("HTTP/1.1 200", 0) == 0;
}

pid_t start(std::vector<std::string> environment, int listener) {
  std::vector<char*> variables;
  for (std::string& v : environment) variables.push_back(v.data());
  variables.push_back(nullptr);
  std::string name = CLIENT_PROXY_PROGRAM;
  std::array<char*, 2> arguments = {name.data(), nullptr};
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, listener, 3);
  posix_spawn_file_actions_addclosefrom_np(&actions, 4);
  posix_spawn_file_actions_addopen(&actions, 2, "/dev/null", O_WRONLY, 0);
  pid_t pid = -1;
  if (posix_spawn(&pid, CLIENT_PROXY_PROGRAM, &actions, nullptr, arguments.data(), variables.data()) != 0)
    pid = -1;
  posix_spawn_file_actions_destroy(&actions);
  return pid;
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const int upgrades = argc > 1 ? std::atoi(argv[1]) : 100;
  asio::io_context io;
  const auto loopback = [](const char* at) { return tcp::endpoint(asio::ip::make_address(at), 0); };
  tcp::acceptor listener(io, loopback("127.0.0.1")), discovery(io, loopback("127.0.0.1"));
  listener.listen(1024);
  char folder[] = "/tmp/client-proxy-handover-XXXXXX";
  if (mkdtemp(folder) == nullptr) return 1;
  nlohmann::json config = nlohmann::json::parse(std::ifstream(EXAMPLE_CONFIG));
  config["listen"] = textOf(listener.local_endpoint());
  const std::string file = std::string(folder) + "/config.json";
  std::ofstream(file) << config.dump();

  const auto begin = [&](tcp::endpoint& console) {
    console = tcp::acceptor(io, loopback("127.0.0.8")).local_endpoint();
    return start(
        {"PROXY_CONFIG=" + file, "TMPDIR=" + std::string(folder), "PROXY_INHERITED_FD=3",
         "PROXY_CONSOLE=" + textOf(console), "PROXY_DISCOVERY=" + textOf(discovery.local_endpoint())},
        listener.native_handle());
  };
  const auto awaitYes = [](const tcp::endpoint& console) {
    const auto from = Steady::now();
    while (!ask(console, "/healthcheck")) {
      if (millisecondsSince(from) > 10'000) return -1.0;
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    return millisecondsSince(from);
  };

  tcp::endpoint console;
  pid_t running = begin(console);
  bool good = awaitYes(console) >= 0;
  std::atomic<bool> stop = false;
  int asked = 0, cut = 0;
  double longest = 0;
  std::thread client([&] {
    while (!stop) {
      const auto from = Steady::now();
      ++asked;
      if (!ask(listener.local_endpoint(), "/healthz")) ++cut;
      longest = std::max(longest, millisecondsSince(from));
    }
  });
  std::vector<double> ready;
  for (int n = 0; good && n < upgrades; ++n) {
    const pid_t next = begin(console);
    const double took = awaitYes(console);
    good = took >= 0;
    ready.push_back(took);
    kill(running, SIGTERM);
    waitpid(running, nullptr, 0);
    running = next;
  }
  stop = true;
  client.join();
  kill(running, SIGTERM);
  waitpid(running, nullptr, 0);
  std::filesystem::remove_all(folder);
  std::sort(ready.begin(), ready.end());
  if (ready.empty()) return 1;
  std::printf("%zu upgrades: start to yes %.1f ms median, %.1f ms most; %d calls, %d cut, longest %.1f ms\n",
              ready.size(), ready[ready.size() / 2], ready.back(), asked, cut, longest);
  return good && cut == 0 ? 0 : 1;
}
