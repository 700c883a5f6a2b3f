// Half of the hosts hang under usual traffic with large bodies. The case is the platform, too: it ends the client proxy
// when that holds more memory than its configuration allows.
#include <fstream>

#include "standin.h"

using namespace standin;

namespace {

constexpr int kMemory = 32;                   // MB, of the client proxy
constexpr int kWorkers = 340;                 // of the application: under a third of 1,024 descriptors
constexpr double kRate = 320;                 // requests a second, of all of them together
constexpr std::size_t kBody = 64 * 1024;      // the most that the protocol page allows
constexpr std::size_t kAnswer = 45000;        // under it
constexpr double kTimeLeft = 2.4, kLatest = 0.55;
constexpr double kQuiet = 2, kRun = 8;        // seconds before hosts hang, and in all

// kB of a line of /proc/PID/status.
long figureOf(pid_t pid, const std::string& name) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind(name + ":", 0) == 0) return std::atol(line.c_str() + name.size() + 1);
  }
  return 0;
}

// A worker of the application: a connection that it keeps, one request at a time.
struct Worker {
  std::unique_ptr<Wire> wire;
  bool waits = false;
  std::string id;
  double sent = 0;
};

}  // namespace

int main(int argc, char** argv) {
  const Setup setup = begin(argc, argv);
  std::atomic<double> hang_from{1e9};
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<Host*> listed;
  for (int i = 0; i < 8; ++i) {
    const bool hangs = i < 4;
    hosts.push_back(std::make_unique<Host>("s-" + std::to_string(i + 1), 0, [&, hangs](Host&, Wire& wire, const Message& request) {
      if (hangs && now() > hang_from) {
        sleepFor(20);
        return Host::Did::Close;
      }
      const std::string id = request.header("x-correlation-id");
      sleepFor(0.15 + 0.3 * static_cast<double>(std::hash<std::string>{}(id) % 1000) / 1000);  // 0.3 s in the mean
      const std::string made = Host::bodyFor(id);
      const bool sent = wire.send(answerOf(200, made + std::string(kAnswer - made.size(), 'a')));
      return sent ? Host::Did::Answered : Host::Did::Close;
    }));
    listed.push_back(hosts.back().get());
  }
  DiscoveryService discovery;
  discovery.setHosts(listed);
  ClientProxy proxy(setup, {.memory_mb = kMemory, .sockets = 1024}, discovery.port(), discovery.list());
  const pid_t pid = proxy.pid();
  sleepFor(1);

  // The platform. Only memory of the process's own counts here: no file that it has mapped.
  std::atomic<long> most{0};
  std::atomic<bool> done{false}, over{false};
  std::thread platform([&] {
    while (!done) {
      most = std::max(most.load(), figureOf(pid, "RssAnon"));
      if (most > kMemory * 1024L && !over.exchange(true)) {
        RECORD("the client proxy holds %ld kB of its own, more than %d MB: it is killed", most.load(), kMemory);
        ::kill(pid, SIGKILL);
      }
      sleepFor(0.002);
    }
  });

  std::vector<Worker> workers(kWorkers);
  const double first = now();
  if (setup.trouble) hang_from = first + kQuiet;
  int sent = 0, served = 0, other = 0, lost = 0, open = 0, most_open = 0;
  const auto end = [&](Worker& w, Got got, int status) {
    w.waits = false;
    --open;
    ++(got != Got::Whole ? lost : status == 200 ? served : other);
    RECORD("%s: %s, status %d, after %.3f s%s", w.id.c_str(), nameOf(got), status, now() - w.sent,
           got == Got::Whole ? "" : " LOST");
  };
  for (std::size_t next = 0; now() < first + kRun + kTimeLeft && !(over && open == 0);) {
    // What is due, each worker in its turn.
    while (!over && now() < first + kRun && now() >= first + static_cast<double>(next) / kRate) {
      Worker& w = workers[next++ % kWorkers];
      if (w.waits) continue;  // its last one is still under way
      if (!w.wire) w.wire = std::make_unique<Wire>(connectTo(proxy.port()));
      w.id = hexId();
      if (!w.wire->open() || !w.wire->send(requestOf("swap-charge", w.id, kTimeLeft, std::string(kBody, 'u')))) {
        w.wire.reset();
        continue;  // it was not taken
      }
      w.waits = true;
      w.sent = now();
      ++sent;
      most_open = std::max(most_open, ++open);
    }
    std::vector<pollfd> polled;
    std::vector<Worker*> waiting;
    for (Worker& w : workers) {
      if (!w.waits) continue;
      polled.push_back({w.wire->fd(), POLLIN, 0});
      waiting.push_back(&w);
    }
    poll(polled.data(), polled.size(), 2);
    for (std::size_t i = 0; i < polled.size(); ++i) {
      Worker& w = *waiting[i];
      const bool late = now() > w.sent + kTimeLeft + kLatest;
      if (polled[i].revents == 0 && !late) continue;
      Message m;
      const Got got = late ? Got::Late : w.wire->message(m, now() + 1);
      end(w, got, m.status());
      if (got != Got::Whole || m.header("connection") == "close") w.wire.reset();
    }
  }
  done = true;
  platform.join();
  char text[200];
  std::snprintf(text, sizeof text, "at most %ld kB of its own; %d sent, %d served, %d refused or failed, %d lost, %d open at most",
                most.load(), sent, served, other, lost, most_open);
  RECORD("%s", text);
  std::puts(text);
  verdict((over ? 1 : 0) + lost, sent + 1, "killed for memory, and requests lost by it");
}
