// A keyed request takes effect twice: the client repeats it within the window of its key, and the proxy sends
// that repeat once more after the window is over.
#include "common.h"

using namespace review;

namespace {

constexpr Ms kWindow = 750,
             kSlack = 50;    // of the key, by the settings; how much longer each limit is on sockets
constexpr Ms kHeldUp = 150;  // the time that a proxy may be held up between its clock and a write
constexpr Ms kWork = 300, kBooked = 30;  // of one request; the effect is there early in the work
constexpr Ms kReset = 270;               // after a request's last byte, while connections are being reset
constexpr Ms kTrouble = 900;             // how long connections are being reset under requests
constexpr Ms kWait = 80;                 // a client's, before it tries again
constexpr int kKeys = 3, kHosts = 4;

struct Effects {
  std::mutex mutex;
  std::map<std::string, std::vector<Ms>> at;  // by key: when requests of it came that took effect
  std::map<std::string, Ms> first_sent;
} effects;
std::atomic<Ms> trouble_until = 0;

// The hosts of a group share what keys they have met: a repeat within the window is dropped.
void host(int number, int fd) {
  std::string in;
  for (;;) {
    const Message m = readMessage(fd, in, now() + 30'000);
    if (!m.whole) break;
    if (m.id().empty()) {
      if (!sendAll(fd, answerOf("ok"))) break;
      continue;
    }
    const std::string key = header(m.head, "Idempotency-Key");
    const Ms came = m.done;
    std::string what = "dropped as a repeat";
    if (key.empty()) {
      what = "safe";
    } else {
      const std::lock_guard lock(effects.mutex);
      std::vector<Ms>& at = effects.at[key];
      if (at.empty() || came - at.back() > kWindow + kSlack) {
        at.push_back(came);
        what = "takes effect, number " + std::to_string(at.size()) + " of its key";
      }
    }
    the.record->line("host " + std::to_string(number) + " got " + m.id() + " key=" + key + ": " + what);
    if (key.empty()) {
      sleepFor(60);
    } else if (the.trouble && came < trouble_until) {
      sleepUntil(came + kReset);
      the.record->line("the connection under " + m.id() + " is reset");
      return closeWithReset(fd);
    } else {
      sleepUntil(came + kWork);
    }
    if (!sendAll(fd, answerOf("answer to " + m.id()))) break;
  }
  ::close(fd);
}

Message ask(int port, const std::string& text, const std::string& id, double time_left) {
  const int fd = connectTo(port);
  const Ms sent = now();
  sendAll(fd, text);
  std::string in;
  const Message m = readMessage(fd, in, sent + time_left * 1000);
  the.record->line("client: " + id + (m.whole ? " answered " + std::to_string(m.status()) : " given up"));
  ::close(fd);
  return m;
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  std::string targets;
  for (int i = 0; i < kHosts; ++i) {
    int port = 0;
    const int listener = listenAnywhere(port);
    serve(listener, [i](int fd) { host(i, fd); });
    targets += (i > 0 ? "," : "") + target("s-" + std::to_string(i), port, i % 2 == 0 ? "a" : "b");
  }
  Discovery discovery(targets);
  const std::string settings = R"({"me":0,"peers_total":2,"discovery":"ask","my_zone":0,"tick_us":5000,
    "zones":["a","b"],"parties":[],
    "request_classes":[
      {"name":"menu-read","goal_time_us":400000,"deadline_us":1200000,"effect":"retryable","value":2},
      {"name":"slot-book","goal_time_us":600000,"deadline_us":1200000,"effect":"dedup","group":"all",
       "window_us":750000,"value":8}],
    "report":{"source":"none"},
    "limits":{"max_attempts":4,"may_cancel":true,"may_probe":true,"retry_after":true,"max_retry_after_us":2000000,
      "max_open":1000,"conn_idle_us":60000000,"connect_timeout_us":200000,"second_copies":true},
    "rules":{"drain_grace_us":500000,"cold_from":0.12,"cold_us":22000000,"tip_multiple":4,"fall_us":2000000,
      "ask_within_us":10000000}})";
  Proxy proxy(the.root, the.run, discovery, settings);
  the.proxy = &proxy;
  proxy.awaitReady(discovery);

  for (int i = 0; i < 60; ++i) {  // a little of the usual traffic
    const std::string id = newId();
    ask(proxy.port(), request("GET", "/menu-read/" + id, id, 0.66), id, 0.66);
  }
  for (int k = 0; k < kKeys; ++k) {
    const std::string key = "5c0f6e1a2b3d4c59a8b7c6d5e4f3000" + std::to_string(k);
    const Ms first = now();
    trouble_until = first + kTrouble;
    for (int attempt = 0; attempt < 4; ++attempt) {
      const double left = std::min(0.66, (first + 1200 - now()) / 1000);
      if (left <= 0.05) break;
      const std::string id = newId();
      the.record->line("client: sends " + id + " key=" + key + (attempt > 0 ? " (its repeat)" : ""));
      const Message m =
          ask(proxy.port(),
              request("POST", "/slot-book/" + std::to_string(k), id, left,
                      "Idempotency-Key: " + key + "\r\n" + (attempt > 0 ? "X-Repeat: 1\r\n" : ""), "x"),
              id, left);
      if (m.status() == 200) break;
      sleepFor(kWait);
      if (now() >= first + kWindow - 20) break;  // a client repeats within the window only
    }
    sleepFor(1500);
    for (int i = 0; i < 20; ++i) {
      const std::string id = newId();
      ask(proxy.port(), request("GET", "/menu-read/" + id, id, 0.66), id, 0.66);
    }
  }

  const std::lock_guard lock(effects.mutex);
  int broken = 0;
  for (const auto& [key, at] : effects.at) {
    for (std::size_t i = 1; i < at.size(); ++i) {
      const Ms later = at[i] - at[0];
      the.record->line("key " + key + " took effect again, sent " + std::to_string(later) +
                       " ms after the first");
      if (later > kWindow + kSlack + kHeldUp) ++broken;
    }
  }
  if (broken > 0) finish(1, "broken: " + std::to_string(broken) + " keys took effect twice");
  finish(0, "held: no key took effect twice");
}
