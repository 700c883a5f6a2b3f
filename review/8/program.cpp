// Hundreds of clients that stop in the middle of a request and stay. The case is the platform, too: it ends the
// client proxy when that holds more memory than its configuration allows.
#include <fstream>

#include "standin.h"

using namespace standin;

namespace {

constexpr int kMemory = 32;               // MB, of the client proxy
constexpr int kBad = 600;                 // connections, of 1,024 descriptors
constexpr std::size_t kBody = 64 * 1024;  // the most that the protocol page allows
constexpr std::size_t kMissing = 512;     // bytes that a bad client does not send
constexpr double kTimeLeft = 2.4;

// kB of a line of /proc/PID/status.
long figureOf(pid_t pid, const std::string& name) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind(name + ":", 0) == 0) return std::atol(line.c_str() + name.size() + 1);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const Setup setup = begin(argc, argv);
  Host a("s-1", 0.05), b("s-2", 0.05), c("s-3", 0.05);
  DiscoveryService discovery;
  discovery.setHosts({&a, &b, &c});
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

  // The usual clients: ten, with ten requests a second each, and 4 s long.
  std::vector<std::thread> clients;
  std::atomic<int> lost{0}, usual{0};
  for (int c = 0; c < 10; ++c) {
    clients.emplace_back([&, c] {
      const double first = now() + 0.01 * c;
      for (int n = 0; n < 40; ++n) {
        sleepUntil(first + 0.1 * n);
        const std::string id = hexId(), kind = n % 2 == 0 ? "slot-status" : "swap-charge";
        Wire wire(connectTo(proxy.port()));
        if (!wire.open() || !wire.send(requestOf(kind, id, kTimeLeft, "{\"slot\":1}"))) continue;  // never taken
        const double sent = now();
        ++usual;
        Message m;
        const Got got = wire.message(m, sent + kTimeLeft + 0.55);
        if (got != Got::Whole) ++lost;
        RECORD("usual client %d, %s %s: %s, status %d, after %.3f s%s", c, kind.c_str(), id.c_str(), nameOf(got),
               m.status(), now() - sent, got == Got::Whole ? "" : " LOST");
      }
    });
  }
  sleepFor(0.5);
  if (setup.trouble) {
    Crowd bad;
    int in = 0;
    for (int i = 0; i < kBad; ++i) {
      std::string text = requestOf("swap-charge", hexId(), kTimeLeft, std::string(kBody, 'b'));
      text.resize(text.size() - kMissing);
      in += bad.add(proxy.port(), text) ? 1 : 0;
      sleepFor(0.001);
    }
    RECORD("%d clients have stopped in the middle of a request", in);
    bad.waitForEnds(now() + 8);
  }
  for (std::thread& t : clients) t.join();
  done = true;
  platform.join();
  RECORD("at most %ld kB of its own; %d of %d usual requests lost", most.load(), lost.load(), usual.load());
  std::printf("at most %ld kB of its own; %d of %d usual requests lost\n", most.load(), lost.load(), usual.load());
  verdict((over ? 1 : 0) + lost, usual + 1, "killed for memory, and requests lost by it");
}
