// An attempt begins long after its client has closed: while a long request waits for a connection to a host,
// the proxy does not look whether its client is still there.
#include "common.h"

using namespace review;

namespace {

constexpr Ms kAllowed = 100 + 50;  // after the close; and how much longer limits are on sockets
constexpr int kHosts = 3;
constexpr std::size_t kLong = 256 * 1024;
constexpr Ms kLate = 1400;  // a connection comes up 1.5 s late at most
constexpr Ms kStays = 20;   // how long the client stays after its last byte

std::mutex mutex;
std::map<std::string, Ms> begun, whole, closed;
std::map<std::string, std::size_t> sizes;

void host(int number, int fd) {
  std::string in;
  for (;;) {
    const Message m = readMessage(fd, in, now() + 30'000);
    if (!m.head.empty() && !m.id().empty()) {
      const std::lock_guard lock(mutex);
      begun[m.id()] = m.begun;
      if (m.whole) whole[m.id()] = m.done;
      the.record->line("host " + std::to_string(number) + ": " + m.id() + " began at " +
                       std::to_string(m.begun) + (m.whole ? ", whole" : ", never whole") + ", X-Time-Left " +
                       header(m.head, "X-Time-Left"));
    }
    if (!m.whole) break;
    sleepFor(60);
    if (!sendAll(fd, answerOf("answer to " + m.id()))) break;
  }
  ::close(fd);
}

// Its accept queue is full: connections to it come up late.
struct LateHost {
  int port = 0, listener;
  std::vector<int> fillers;
  LateHost() : listener(listenAnywhere(port, 0)) {}
  void fill() {
    for (;;) {
      const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
      sockaddr_in a = loopback(port);
      ::connect(fd, reinterpret_cast<sockaddr*>(&a), sizeof a);
      pollfd p{fd, POLLOUT, 0};
      if (::poll(&p, 1, 100) == 1) {
        fillers.push_back(fd);
        continue;
      }
      ::close(fd);
      return;
    }
  }
  void open(int number) {
    for (const int fd : fillers) ::close(fd);
    serve(listener, [number](int fd) { host(number, fd); });
  }
};

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  LateHost late;
  std::string targets = target("s-0", late.port);
  for (int i = 1; i < kHosts; ++i) {
    int port = 0;
    const int listener = listenAnywhere(port);
    serve(listener, [i](int fd) { host(i, fd); });
    targets += "," + target("s-" + std::to_string(i), port);
  }
  Discovery discovery(targets);
  const std::string settings = R"({"me":0,"peers_total":3,"discovery":"ask","my_zone":0,"tick_us":5000,
    "zones":["a","b"],"parties":[],
    "request_classes":[
      {"name":"swap-charge","goal_time_us":1000000,"deadline_us":2500000,"effect":"fragile","value":8}],
    "report":{"source":"none"},
    "limits":{"max_attempts":6,"may_cancel":true,"may_probe":true,"retry_after":true,"max_retry_after_us":1500000,
      "max_open":1000,"conn_idle_us":10000000,"connect_timeout_us":250000,"second_copies":true},
    "rules":{"drain_grace_us":2000000,"cold_from":0.32,"cold_us":8900000,"tip_multiple":3,"fall_us":2000000,
      "ask_within_us":10000000}})";
  Proxy proxy(the.root, the.run, discovery, settings);
  the.proxy = &proxy;
  proxy.awaitReady(discovery);

  if (the.trouble) late.fill();
  const Ms start = now();
  std::thread([&] {
    if (the.trouble) sleepUntil(start + kLate);
    the.record->line("host 0 takes connections");
    late.open(0);
  }).detach();
  if (!the.trouble) sleepFor(50);
  for (int i = 0; i < kHosts; ++i) {
    const std::string id = newId();
    const int fd = connectTo(proxy.port());
    const bool sent = sendAll(
        fd, request("POST", "/swap-charge/rider-" + std::to_string(i), id, 2.0, "", std::string(kLong, 'x')));
    const Ms last = now();
    the.record->line("client: " + id + (sent ? " sent whole" : " not sent"));
    sleepUntil(last + kStays);
    ::close(fd);
    {
      const std::lock_guard lock(mutex);
      closed[id] = now();
    }
    the.record->line("client: " + id + " closed");
    sleepFor(400);
  }
  sleepFor(3000);
  const std::lock_guard lock(mutex);
  int broken = 0;
  for (const auto& [id, at] : begun) {
    if (at <= closed[id] + kAllowed) continue;
    ++broken;
    the.record->line("the attempt of " + id + " began " + std::to_string(at - closed[id]) +
                     " ms after its client had closed" + (whole.count(id) ? "; its host got all of it" : ""));
  }
  finish(broken > 0 ? 1 : 0, std::to_string(broken) + " attempts began late");
}
