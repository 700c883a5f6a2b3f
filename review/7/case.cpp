// A planned restart while clients have several requests under way on one connection.
#include "standin.h"

using namespace standin;

namespace {

constexpr int kClients = 8, kAtOnce = 5;
constexpr double kTimeLeft = 2.4;
constexpr double kLatest = 0.5 + 0.05;

}  // namespace

int main(int argc, char** argv) {
  const Setup setup = begin(argc, argv);
  Host a("s-1", 0.3), b("s-2", 0.3), c("s-3", 0.3);
  DiscoveryService discovery;
  discovery.setHosts({&a, &b, &c});
  ClientProxy proxy(setup, {}, discovery.port(), discovery.list());
  sleepFor(1);

  std::atomic<int> lost{0}, unanswered{0}, sent_all{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] {
      Wire wire(connectTo(proxy.port()));
      std::string text;
      std::vector<std::string> ids;
      for (int n = 0; n < kAtOnce; ++n) {
        ids.push_back(hexId());
        text += requestOf("swap-charge", ids.back(), kTimeLeft, "{\"slot\":1}");
      }
      wire.send(text);
      const double sent = now();
      ++sent_all;
      for (int n = 0; n < kAtOnce; ++n) {
        Message m;
        const Got got = wire.message(m, sent + kTimeLeft + kLatest);
        const bool answered = got == Got::Whole;
        RECORD("client %d, request %d %s: %s, status %d, after %.3f s%s", i, n, ids[n].c_str(), nameOf(got),
               m.status(), now() - sent, answered ? "" : " LOST");
        if (!answered) ++lost;
        if (got != Got::Whole && got != Got::Late) ++unanswered;
      }
    });
  }
  while (sent_all < kClients) sleepFor(0.01);
  sleepFor(0.15);
  if (setup.trouble) proxy.signal(SIGTERM);
  for (std::thread& t : threads) t.join();
  sleepFor(1.5);
  proxy.ended();
  verdict(lost, kClients * kAtOnce, "requests taken before SIGTERM whose connection ended with no answer");
}
