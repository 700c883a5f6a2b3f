// Long answers and uploads through the proxy against straight to the stand-in, at 1, 16 and 200 transfers at
// once: MB a second, the proxy's CPU for a MB, its resident memory (flat in the size of bodies), and the p99
// of small requests beside them.
//
//     build/bench/bench_bulk [MB for each transfer, 32 by default]
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Steady = std::chrono::steady_clock;

const std::string kPiece(256 * 1024, 'x');

double secondsSince(Steady::time_point from) {
  return std::chrono::duration<double>(Steady::now() - from).count();
}

// One connection of the stand-in: /bulk/N is answered with N bytes, whatever is sent is counted, /small at
// once.
void serve(tcp::socket socket) {
  std::string in;
  std::vector<char> bytes(256 * 1024);
  error_code ec;
  socket.set_option(tcp::no_delay(true), ec);
  for (;;) {
    std::size_t end = 0;
    while ((end = in.find("\r\n\r\n")) == std::string::npos) {
      const std::size_t n = socket.read_some(asio::buffer(bytes), ec);
      if (ec) return;
      in.append(bytes.data(), n);
    }
    const std::string head = in.substr(0, end);
    std::size_t body = in.size() - end - 4;
    in.clear();
    const std::size_t field = head.find("Content-Length: ");
    const std::size_t length = field == std::string::npos ? 0 : std::stoul(head.substr(field + 16));
    while (body < length) {
      body += socket.read_some(asio::buffer(bytes), ec);
      if (ec) return;
    }
    const bool down = head.rfind("GET /bulk/", 0) == 0;
    std::size_t left = down ? std::stoul(head.substr(10)) : 2;
    asio::write(socket,
                asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(left) + "\r\n\r\n"), ec);
    while (left > 0 && !ec)
      left -= asio::write(socket, asio::buffer(kPiece, std::min(left, kPiece.size())), ec);
    if (ec) return;
  }
}

std::string fields(int id) {
  return " HTTP/1.1\r\nHost: h\r\nX-Account: acme\r\nX-Correlation-Id: b" + std::to_string(id) + "-" +
         std::to_string(Steady::now().time_since_epoch().count()) + "\r\n";
}

// The answer's body is read and forgotten. False: it was not a whole 200.
bool readAnswer(tcp::socket& socket, std::vector<char>& bytes) {
  error_code ec;
  std::string head;
  std::size_t end = 0;
  while ((end = head.find("\r\n\r\n")) == std::string::npos) {
    const std::size_t n = socket.read_some(asio::buffer(bytes), ec);
    if (ec) return false;
    head.append(bytes.data(), n);
  }
  const std::size_t field = head.find("Content-Length: ");
  if (head.rfind("HTTP/1.1 200", 0) != 0 || field == std::string::npos) return false;
  const std::size_t length = std::stoul(head.substr(field + 16));
  std::size_t got = head.size() - end - 4;
  while (got < length) {
    got += socket.read_some(asio::buffer(bytes), ec);
    if (ec) return false;
  }
  return true;
}

bool transfer(const tcp::endpoint& to, bool up, std::size_t size, int id) {
  asio::io_context io;
  tcp::socket socket(io);
  error_code ec;
  socket.connect(to, ec);
  std::vector<char> bytes(256 * 1024);
  if (!ec && up) {
    asio::write(
        socket,
        asio::buffer("POST /upload/1" + fields(id) + "Content-Length: " + std::to_string(size) + "\r\n\r\n"),
        ec);
    for (std::size_t left = size; left > 0 && !ec;)
      left -= asio::write(socket, asio::buffer(kPiece, std::min(left, kPiece.size())), ec);
  } else if (!ec) {
    asio::write(socket, asio::buffer("GET /bulk/" + std::to_string(size) + fields(id) + "\r\n"), ec);
  }
  return !ec && readAnswer(socket, bytes);
}

// What the system says of a process: resident kB, CPU seconds.
std::size_t residentOf(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  std::size_t all = 0, resident = 0;
  in >> all >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE)) / 1024;
}
double cpuOf(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  double ticks = 0;
  for (int n = 1; n <= 15 && in >> word; ++n) {
    if (n >= 14) ticks += std::stod(word);
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

void measure(const char* name, const tcp::endpoint& to, bool up, int at_once, std::size_t size, pid_t proxy) {
  const double cpu = cpuOf(proxy);
  const auto start = Steady::now();
  std::vector<std::thread> threads;
  std::vector<char> good(static_cast<std::size_t>(at_once));
  for (int i = 0; i < at_once; ++i)
    threads.emplace_back([&, i] { good[static_cast<std::size_t>(i)] = transfer(to, up, size, i) ? 1 : 0; });
  std::vector<double> small;
  std::size_t most = 0;
  while (std::count(good.begin(), good.end(), 0) == at_once && small.size() < 200) {
    const auto from = Steady::now();
    if (transfer(to, false, 100, 1000 + static_cast<int>(small.size()))) small.push_back(secondsSince(from));
    most = std::max(most, residentOf(proxy));
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  for (std::thread& t : threads) t.join();
  const double took = secondsSince(start);
  const double mb = static_cast<double>(size) * at_once / 1e6;
  std::sort(small.begin(), small.end());
  std::printf("%-16s %4d %-4s %4d whole  %8.0f MB/s  %6.2f ms CPU/MB  %6zu kB  small p99 %6.2f ms\n", name,
              at_once, up ? "up" : "down", static_cast<int>(std::count(good.begin(), good.end(), 1)),
              mb / took, (cpuOf(proxy) - cpu) * 1e3 / mb, std::max(most, residentOf(proxy)),
              small.empty() ? 0.0 : small[small.size() * 99 / 100] * 1e3);
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  const std::size_t total = (argc > 1 ? std::stoul(argv[1]) : 32) * 1'000'000;
  asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  std::thread([&] {
    for (;;) {
      error_code ec;
      tcp::socket socket(io);
      acceptor.accept(socket, ec);
      if (!ec) std::thread(serve, std::move(socket)).detach();
    }
  }).detach();
  const tcp::endpoint direct = acceptor.local_endpoint();
  const tcp::endpoint listen =
      tcp::acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.9"), 0)).local_endpoint();
  const auto textOf = [](const tcp::endpoint& e) {
    return e.address().to_string() + ":" + std::to_string(e.port());
  };
  char file[] = "/tmp/client-proxy-bulk-XXXXXX";
  ::close(mkstemp(file));
  std::ofstream(file) << "listen " << textOf(listen)
                      << "\nname bulk\nlimits {\n  memory 48MB\n  sockets 1024\n}\n"
                      << "class bulk {\n  effect safe\n  aim 20s\n  deadline 30s\n}\n"
                      << "class upload {\n  effect unsafe\n  aim 20s\n  deadline 30s\n}\n"
                      << "tenant acme {\n  share 100%\n}\npool p {\n  host s-1 " << textOf(direct) << "\n}\n";
  std::string program = CLIENT_PROXY_PROGRAM, run = "run", option = "--operator", path = file;
  std::array<char*, 5> arguments = {program.data(), run.data(), option.data(), path.data(), nullptr};
  pid_t pid = -1;
  if (posix_spawn(&pid, CLIENT_PROXY_PROGRAM, nullptr, nullptr, arguments.data(), environ) != 0) return 1;
  bool up = false;
  for (int n = 0; n < 100 && !(up = transfer(listen, false, 1, n)); ++n)
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  if (up) {
    for (const int at_once : {1, 16, 200}) {
      const std::size_t size =
          std::max<std::size_t>(total / static_cast<std::size_t>(at_once > 16 ? 8 : 1), 1'000'000);
      for (const bool upload : {false, true}) {
        measure("direct", direct, upload, at_once, size, pid);
        measure("through proxy", listen, upload, at_once, size, pid);
      }
    }
  }
  kill(pid, SIGTERM);
  waitpid(pid, nullptr, 0);
  unlink(file);
  std::fflush(stdout);
  std::_Exit(up ? 0 : 1);  // the stand-in's threads wait for whoever comes
}
