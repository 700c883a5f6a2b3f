// What a small request costs: CPU time of the program in between, for each request, over a closed loop of
// clients.
//
//     bench_loop [--rounds 4] [--seconds 2] [--connections 16,128] NAME=PROGRAM...
//
// Each round runs an empty relay of ours and each PROGRAM (a client-proxy, perhaps an earlier build) in turn,
// so that what the machine does meanwhile meets all alike. The program has a core, the clients and hosts have
// another. Everything is on loopback addresses and ends with this process.
#include <fcntl.h>
#include <sched.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr const char* kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// Takes whole messages without a body off a connection, one after another.
class Line : public std::enable_shared_from_this<Line> {
 public:
  using OnMessage = std::function<void(const std::shared_ptr<Line>&)>;
  Line(tcp::socket socket, std::string end, OnMessage message)
      : socket_(std::move(socket)), end_(std::move(end)), on_message_(std::move(message)) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
  }
  void listen() {
    socket_.async_read_some(asio::buffer(bytes_), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (ec) return;
      self->got.append(self->bytes_, n);
      if (self->got.size() >= self->end_.size() &&
          self->got.compare(self->got.size() - self->end_.size(), std::string::npos, self->end_) == 0) {
        self->on_message_(self);
        self->got.clear();
      }
      self->listen();
    });
  }
  void say(const std::string& text) {
    error_code ignored;
    asio::write(socket_, asio::buffer(text), ignored);
  }
  std::string got;
  std::shared_ptr<Line> other;  // of a relay

 private:
  tcp::socket socket_;
  const std::string end_;
  OnMessage on_message_;
  char bytes_[4096];
};

void pinTo(int core) {
  cpu_set_t set;
  CPU_ZERO(&set);
  CPU_SET(core, &set);
  sched_setaffinity(0, sizeof set, &set);
}

// What passes each request on and each answer back, and does nothing else.
void relay(tcp::acceptor& acceptor, const tcp::endpoint& host) {
  auto& io = static_cast<asio::io_context&>(acceptor.get_executor().context());
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](error_code ec, tcp::socket socket) {
      if (ec) return;
      tcp::socket up(io);
      up.connect(host);
      const auto pass = [](const std::shared_ptr<Line>& from) { from->other->say(from->got); };
      const auto client = std::make_shared<Line>(std::move(socket), "\r\n\r\n", pass);
      const auto there = std::make_shared<Line>(std::move(up), "\r\n\r\nok", pass);
      client->other = there, there->other = client;
      client->listen(), there->listen();
      accept();
    });
  };
  accept();
  io.run();
}

double cpuSeconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string text((std::istreambuf_iterator<char>(in)), {});
  std::istringstream rest(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) rest >> skipped;
  double user = 0, system = 0;
  rest >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::string textOf(const tcp::endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

std::string configuration(const tcp::endpoint& listen, const std::vector<tcp::endpoint>& hosts) {
  std::string targets;
  for (std::size_t i = 0; i < hosts.size(); ++i)
    targets += std::string(i > 0 ? "," : "") + R"({"uid":"s-)" + std::to_string(i) + R"(","endpoint":")" +
               textOf(hosts[i]) + R"(","az":"a","state":"active"})";
  return R"({"name":"loop","listen":")" + textOf(listen) +
         R"(","discovery":"127.0.0.1:9","seed":"1","limits":{"cores":1,"memory_mb":192,"sockets":1024},)"
         R"("known":{"rev":1,"all":true,"targets":[)" +
         targets +
         R"(]},"settings":{"me":0,"peers_total":1,"discovery":"push","my_zone":0,"tick_us":5000,"zones":["a"],)"
         R"("request_classes":[{"name":"slot-status","goal_time_us":800000,"deadline_us":2500000,)"
         R"("effect":"retryable"}],"limits":{"max_attempts":6,"may_cancel":true,"may_probe":true,)"
         R"("max_open":1000,"conn_idle_us":10000000},"rules":{"drain_grace_us":2000000,"cold_from":0.3,)"
         R"("cold_us":8000000,"tip_multiple":3,"fall_us":2000000,"ask_within_us":10000000}}})";
}

struct Options {
  int rounds = 4;
  double seconds = 2;
  std::vector<int> connections = {16, 128};
  std::vector<std::pair<std::string, std::string>> programs;  // name, path; an empty path: the relay
};

class Run {
 public:
  Run(const Options& options, const std::string& program, int connections)
      : options_(options), listen_(asio::ip::make_address("127.0.0.1"), freePort()) {
    for (int h = 0; h < 3; ++h) {
      hosts_.push_back(
          std::make_unique<tcp::acceptor>(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)));
      serve(*hosts_.back());
    }
    start(program);
    connect(connections);
  }
  ~Run() {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    if (!config_.empty()) unlink(config_.c_str());
  }

  // Microseconds of CPU time for a request.
  double measure() {
    runFor(0.5);
    const double before = cpuSeconds(pid_);
    const std::uint64_t answered = answered_;
    runFor(options_.seconds);
    return (cpuSeconds(pid_) - before) * 1e6 / static_cast<double>(answered_ - answered);
  }

 private:
  unsigned short freePort() {
    return tcp::acceptor(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)).local_endpoint().port();
  }
  void runFor(double seconds) {
    io_.restart();
    io_.run_for(std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6)));
  }
  void serve(tcp::acceptor& at) {
    at.async_accept([this, &at](error_code ec, tcp::socket socket) {
      if (ec) return;
      std::make_shared<Line>(std::move(socket), "\r\n\r\n", [](const auto& line) {
        line->say(kAnswer);
      })->listen();
      serve(at);
    });
  }
  void start(const std::string& program) {
    std::vector<tcp::endpoint> places;
    for (const auto& h : hosts_) places.push_back(h->local_endpoint());
    if (!program.empty()) {
      char name[] = "/tmp/bench-loop-XXXXXX";
      ::close(mkstemp(name));
      config_ = name;
      std::ofstream(config_) << configuration(listen_, places);
    }
    pid_ = fork();
    if (pid_ != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    pinTo(1);
    if (program.empty()) {
      asio::io_context io;
      tcp::acceptor acceptor(io, listen_);
      relay(acceptor, places[0]);
      std::_Exit(0);
    }
    for (int fd = 3; fd < 256; ++fd) ::close(fd);
    const int null = open("/dev/null", O_WRONLY);
    dup2(null, 2);
    setenv("PROXY_CONFIG", config_.c_str(), 1);
    execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
    std::_Exit(127);
  }
  void connect(int connections) {
    const auto end = Clock::now() + std::chrono::seconds(5);
    for (int c = 0; c < connections;) {
      tcp::socket socket(io_);
      error_code ec;
      socket.connect(listen_, ec);
      if (ec) {
        if (Clock::now() > end)
          std::fprintf(stderr, "%s: nobody listens\n", textOf(listen_).c_str()), std::exit(1);
        usleep(10'000);
        continue;
      }
      const auto line = std::make_shared<Line>(std::move(socket), "\r\n\r\nok", [this](const auto& l) {
        ++answered_;
        ask(*l);
      });
      line->listen();
      ask(*line);
      ++c;
    }
  }
  void ask(Line& line) {
    line.say(
        "GET /slot-status/7 HTTP/1.1\r\nHost: h\r\nX-Account: acme\r\nX-Time-Left: "
        "2.000\r\nX-Correlation-Id: " +
        std::to_string(++asked_) + "\r\n\r\n");
  }

  const Options& options_;
  asio::io_context io_;
  const tcp::endpoint listen_;
  std::vector<std::unique_ptr<tcp::acceptor>> hosts_;
  std::string config_;
  pid_t pid_ = -1;
  std::uint64_t asked_ = 0, answered_ = 0;
};

Options read(int argc, char** argv) {
  Options options;
  options.programs.emplace_back("relay", "");
  for (int i = 1; i < argc; ++i) {
    const std::string text = argv[i];
    const std::size_t equals = text.find('=');
    if (text == "--rounds" && i + 1 < argc) {
      options.rounds = std::atoi(argv[++i]);
    } else if (text == "--seconds" && i + 1 < argc) {
      options.seconds = std::atof(argv[++i]);
    } else if (text == "--connections" && i + 1 < argc) {
      options.connections.clear();
      std::istringstream list(argv[++i]);
      for (std::string n; std::getline(list, n, ',');) options.connections.push_back(std::atoi(n.c_str()));
    } else if (equals != std::string::npos) {
      options.programs.emplace_back(text.substr(0, equals), text.substr(equals + 1));
    } else {
      std::fprintf(stderr,
                   "bench_loop: %s: expected NAME=PROGRAM, --rounds N, --seconds S or --connections N,N\n",
                   argv[i]);
      std::exit(64);
    }
  }
  return options;
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = read(argc, argv);
  signal(SIGPIPE, SIG_IGN);
  pinTo(0);
  std::printf("us of CPU a request: least, median, most of %d interleaved rounds\n", options.rounds);
  for (const int connections : options.connections) {
    std::map<std::string, std::vector<double>> taken;
    for (int round = 0; round < options.rounds; ++round) {
      for (const auto& [name, path] : options.programs)
        taken[name].push_back(Run(options, path, connections).measure());
    }
    for (const auto& [name, path] : options.programs) {
      std::vector<double>& t = taken[name];
      std::sort(t.begin(), t.end());
      std::printf("%4d connections  %-12s %6.1f %6.1f %6.1f\n", connections, name.c_str(), t.front(),
                  t[t.size() / 2], t.back());
    }
    std::fflush(stdout);
  }
  return 0;
}
