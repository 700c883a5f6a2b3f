// Clients that stop in the middle of a request and stay, beside usual clients whose requests have a body.
#include "standin.h"

using namespace standin;

namespace {

constexpr int kBad = 320, kUsual = 12;
constexpr double kTimeLeft = 0.9;        // of the class's 1 s: within 53 to 100%
constexpr double kLatest = 0.5 + 0.05;   // after its time, with the slack of sockets

}  // namespace

int main(int argc, char** argv) {
  const Setup setup = begin(argc, argv);
  Host a("s-1", 0.05), b("s-2", 0.05), c("s-3", 0.05);
  DiscoveryService discovery;
  discovery.setHosts({&a, &b, &c});
  ClientProxy proxy(setup, {.memory_mb = 32, .sockets = 1024, .deadline_ms = 1000}, discovery.port(),
                    discovery.list());
  sleepFor(1);

  std::vector<std::thread> threads;
  Crowd bad;
  if (setup.trouble) {
    for (int i = 0; i < kBad; ++i) {
      std::string text = requestOf("swap-charge", hexId(), kTimeLeft, std::string(60000, 'b'));
      text.resize(text.size() - 10000);  // it stops in the middle of its body, and stays
      bad.add(proxy.port(), text);
    }
    RECORD("%d clients have stopped in the middle of a request", kBad);
    threads.emplace_back([&] { bad.waitForEnds(now() + 8); });
  }
  sleepFor(0.3);

  std::atomic<int> late{0};
  for (int i = 0; i < kUsual; ++i) {
    threads.emplace_back([&, i] {
      const std::string id = hexId();
      Wire wire(connectTo(proxy.port()));
      wire.send(requestOf("swap-charge", id, kTimeLeft, std::string(40000, 'u')));
      const double sent = now();
      RECORD("usual client %d: all of %s is sent, waits %.1f s", i, id.c_str(), kTimeLeft);
      Message m;
      const Got got = wire.message(m, sent + 8);
      const double took = now() - sent;
      const bool in_time = got == Got::Whole && took <= kTimeLeft + kLatest;
      if (!in_time) ++late;
      RECORD("usual client %d: %s, status %d, after %.3f s%s", i, nameOf(got), m.status(), took,
             in_time ? "" : " LOST");
    });
    sleepFor(0.05);
  }
  for (std::thread& t : threads) t.join();
  if (proxy.ended()) late += 1;
  verdict(late, kUsual, "requests without a final answer 0.5 s after their time");
}
