// Answers that are long, begin well and never end.
#include "standin.h"

using namespace standin;

namespace {

constexpr int kRequests = 12;
constexpr double kTimeLeft = 2.0;
constexpr double kLatest = 0.5 + 0.05;

std::string chunk(const std::string& text) {
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

int main(int argc, char** argv) {
  const Setup setup = begin(argc, argv);
  // Every answer is long: 96 KiB. With trouble some never end: after these a line comes each second.
  const auto answer = [&](Host& host, Wire& wire, const Message& request) {
    const std::string id = request.header("x-correlation-id");
    const bool spoilt = setup.trouble && request.target().find("/slot-status/") == 0 && request.header("x-facts") == "spoil=1";
    wire.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int n = 0; n < 12; ++n) {
      if (!wire.send(chunk(std::string(8192, 'a')))) return Host::Did::Close;
    }
    if (!spoilt) {
      wire.send("0\r\n\r\n");
      return Host::Did::Answered;
    }
    for (double until = now() + 60; now() < until;) {
      sleepFor(1);
      if (!wire.send(chunk("and on\n"))) {
        RECORD("host %s: the answer to %s is not taken any more", host.uid().c_str(), id.c_str());
        return Host::Did::Close;
      }
    }
    return Host::Did::Close;
  };
  Host a("s-1", 0.05, answer), b("s-2", 0.05, answer), c("s-3", 0.05, answer);
  DiscoveryService discovery;
  discovery.setHosts({&a, &b, &c});
  ClientProxy proxy(setup, {}, discovery.port(), discovery.list());
  sleepFor(1);

  std::atomic<int> lost{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < kRequests; ++i) {
    threads.emplace_back([&, i] {
      Wire wire(connectTo(proxy.port()));
      const std::string id = hexId();
      std::string text = requestOf("slot-status", id, kTimeLeft);
      if (i % 3 == 0) text.insert(text.size() - 2, "X-Facts: spoil=1\r\n");
      wire.send(text);
      const double sent = now();
      Message m;
      const Got got = wire.message(m, sent + 20);
      const double took = now() - sent;
      // A whole answer, or an end that the client can tell, in time.
      const bool in_time = got != Got::Late && took <= kTimeLeft + kLatest;
      if (!in_time) ++lost;
      RECORD("client %d, request %s: %s, status %d, %zu bytes of body, after %.3f s%s", i, id.c_str(), nameOf(got),
             m.status(), m.body.size(), took, in_time ? "" : " LOST");
    });
    sleepFor(0.05);
  }
  for (std::thread& t : threads) t.join();
  if (proxy.ended()) ++lost;
  verdict(lost, kRequests, "requests with neither an answer nor an end 0.5 s after their time");
}
