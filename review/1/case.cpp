// Clients get answers that were made for other requests, and unsafe requests run twice: a host's second
// answer, some milliseconds after the first, comes when the connection is in use again.
#include <condition_variable>
#include <deque>

#include "common.h"

using namespace review;

namespace {

constexpr Ms kOneWay = 8;   // between two data centres: 5.6 to 10 ms
constexpr Ms kLater = 5;    // how much later the second answer comes
constexpr int kEvery = 25;  // one answer of so many has a second copy
constexpr int kFull = 10;   // a host turns away one request of so many: its queue is full
constexpr Ms kWork = 60;
constexpr int kHosts = 4, kClients = 12;
constexpr Ms kLength = 20'000;

std::atomic<int> requests = 0, answers = 0, copies = 0, served = 0, foreign = 0, failed = 0;
std::mutex mutex;
std::map<std::string, int> charged;  // how often each swap-charge has run, by its id

// Delivers what comes `kOneWay` later, in order.
void passOn(int from, int to) {
  struct Line {
    std::mutex mutex;
    std::condition_variable more;
    std::deque<std::pair<Ms, std::string>> pieces;
  };
  const auto line = std::make_shared<Line>();
  std::thread([line, to] {
    for (;;) {
      std::unique_lock lock(line->mutex);
      line->more.wait(lock, [&] { return !line->pieces.empty(); });
      const auto [at, piece] = std::move(line->pieces.front());
      line->pieces.pop_front();
      lock.unlock();
      sleepUntil(at);
      if (piece.empty() || !sendAll(to, piece)) break;
    }
    ::shutdown(to, SHUT_RDWR);
  }).detach();
  for (;;) {
    char bytes[16384];
    const ssize_t n = ::recv(from, bytes, sizeof bytes, 0);
    const std::lock_guard lock(line->mutex);
    line->pieces.emplace_back(now() + kOneWay, std::string(bytes, n > 0 ? static_cast<std::size_t>(n) : 0));
    line->more.notify_one();
    if (n <= 0) return;
  }
}

void relay(int fd, int port) {
  const int host = connectTo(port);
  std::thread([fd, host] { passOn(host, fd); }).detach();
  passOn(fd, host);
}

// Whether nothing has come on the connection that was not answered yet.
bool nothingWaits(int fd, const std::string& in) {
  pollfd p{fd, POLLIN, 0};
  return in.empty() && ::poll(&p, 1, 0) == 0;
}

void host(int number, int fd) {
  std::string in;
  for (;;) {
    const Message m = readMessage(fd, in, now() + 30'000);
    if (!m.whole) break;
    if (m.id().empty()) {
      if (!sendAll(fd, answerOf("ok"))) break;
      continue;
    }
    if (++requests % kFull == 0) {
      the.record->line("host " + std::to_string(number) + ": turns away " + m.id());
      if (!sendAll(fd, "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")) break;
      continue;
    }
    the.record->line("host " + std::to_string(number) + ": runs " + m.id());
    if (m.first.rfind("POST", 0) == 0) {
      const std::lock_guard lock(mutex);
      if (++charged[m.id()] > 1)
        the.record->line("host " + std::to_string(number) + ": swap-charge " + m.id() + " runs once more");
    }
    sleepFor(kWork);
    const std::string answer = answerOf("answer to " + m.id());
    if (!sendAll(fd, answer)) break;
    if (++answers % kEvery != 0 || !the.trouble) continue;
    sleepFor(kLater);
    if (!nothingWaits(fd, in)) continue;
    ++copies;
    the.record->line("host " + std::to_string(number) + ": a second copy of the answer to " + m.id());
    if (!sendAll(fd, answer)) break;
  }
  ::close(fd);
}

void client(int port, int number, Ms until) {
  int fd = -1;
  std::string in;
  for (int i = 0; now() < until; ++i) {
    if (fd < 0) fd = connectTo(port), in.clear();
    const std::string id = newId();
    const bool charge = (i + number) % 3 == 0;
    const Ms sent = now();
    const std::string asked =
        "client " + std::to_string(number) + ": " + (charge ? "swap-charge " : "slot-status ") + id;
    the.record->line(asked + " sent");
    sendAll(fd, request(charge ? "POST" : "GET",
                        (charge ? "/swap-charge/rider-" : "/slot-status/rider-") + std::to_string(number), id,
                        2.0, "", charge ? "x" : ""));
    const Message m = readMessage(fd, in, sent + 2600);
    the.record->line(asked + " answered " +
                     (m.whole ? std::to_string(m.status()) + " \"" + m.body + "\"" : "not at all"));
    if (m.status() == 200 && m.whole && m.body == "answer to " + id) {
      ++served;
    } else if (m.status() == 200 && m.whole) {
      ++foreign;
      the.record->line(asked + ": FOREIGN, this answer was made for another request");
    } else {
      ++failed;
    }
    if (m.whole && strcasecmp(header(m.head, "Connection").c_str(), "close") != 0) continue;
    ::close(fd);
    fd = -1;
  }
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  std::string targets;
  for (int i = 0; i < kHosts; ++i) {
    int port = 0, front = 0;
    const int listener = listenAnywhere(port), entry = listenAnywhere(front);
    serve(listener, [i](int fd) { host(i, fd); });
    serve(entry, [port](int fd) { relay(fd, port); });
    // One host is in the proxy's own zone, the others in another.
    targets +=
        (i > 0 ? "," : "") + target("s-" + std::to_string(i), i == 0 ? port : front, i == 0 ? "a" : "b");
  }
  Discovery discovery(targets);
  const std::string settings = R"({"me":0,"peers_total":3,"discovery":"ask","my_zone":0,"tick_us":5000,
    "zones":["a","b"],"parties":[],
    "request_classes":[
      {"name":"slot-status","goal_time_us":800000,"deadline_us":2500000,"effect":"retryable","value":3},
      {"name":"swap-charge","goal_time_us":1000000,"deadline_us":2500000,"effect":"fragile","value":8}],
    "report":{"source":"none"},
    "limits":{"max_attempts":6,"may_cancel":true,"may_probe":true,"retry_after":true,"max_retry_after_us":1500000,
      "max_open":1000,"conn_idle_us":10000000,"connect_timeout_us":250000,"second_copies":true},
    "rules":{"drain_grace_us":2000000,"cold_from":0.32,"cold_us":8900000,"tip_multiple":3,"fall_us":2000000,
      "ask_within_us":10000000}})";
  Proxy proxy(the.root, the.run, discovery, settings);
  the.proxy = &proxy;
  proxy.awaitReady(discovery);

  const Ms until = now() + kLength;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) clients.emplace_back([&, i] { client(proxy.port(), i, until); });
  for (std::thread& t : clients) t.join();
  const std::string counts = std::to_string(foreign) + " of " + std::to_string(served + foreign + failed) +
                             " requests were served with an answer made for another one (" +
                             std::to_string(failed) + " failed, " + std::to_string(copies) +
                             " second answers)";
  int twice = 0;
  for (const auto& [id, times] : charged) twice += times > 1 ? 1 : 0;
  if (served == 0) cannotRun("nothing was served");
  finish(foreign > 0 || twice > 0 ? 1 : 0,
         (foreign > 0 || twice > 0 ? "broken: " : "held: ") + counts + "; " + std::to_string(twice) + " of " +
             std::to_string(charged.size()) + " swap-charges ran more than once");
}
