// A client repeats a long keyed request within the window of its key, and writes the repeat slowly.
#include "standin.h"

using namespace standin;

namespace {

// kassen-sthlm's keyed class: the hosts of the whole fleet drop repeats of a key for 750 ms.
constexpr const char* kClasses =
    R"({"name":"menu-read","effect":"retryable","goal_time_us":400000,"deadline_us":1200000,"group":"all",)"
    R"("late_worth":0.0,"stream":false,"value":2.0,"window_us":5000000},)"
    R"({"name":"slot-book","effect":"dedup","goal_time_us":600000,"deadline_us":1200000,"group":"all",)"
    R"("late_worth":0.0,"stream":false,"value":8.0,"window_us":750000})";
constexpr double kWindow = 0.75;
constexpr double kRemembered = kWindow + 0.05;      // hosts are not stricter than they have to be
constexpr double kSlack = 0.05 + 0.15;              // of sockets, and of a proxy that is held up
constexpr std::size_t kBody = 100000, kAtOnce = 80000;
constexpr double kPause = 0.45;                     // of the client that writes slowly
constexpr double kDeadline = 1.2;                   // for all tries together
constexpr double kTry = 0.6;                        // the first one is given up then: 50%
constexpr int kKeys = 6;

// What all hosts of the group remember together, and what has taken effect.
struct Group {
  std::mutex mutex;
  std::map<std::string, double> first;      // when the first request with the key came whole
  std::map<std::string, int> effects;
  std::map<std::string, double> again;      // how long after it another one took effect
};

std::string requestWith(const std::string& id, const std::string& key, double left) {
  char time_left[40];
  std::snprintf(time_left, sizeof time_left, "%.3f", left);
  return "POST /slot-book/" + key + " HTTP/1.1\r\nHost: api.internal\r\nX-Correlation-Id: " + id +
         "\r\nX-Account: rede-pampa\r\nX-Time-Left: " + time_left + "\r\nIdempotency-Key: " + key +
         "\r\nContent-Length: " + std::to_string(kBody) + "\r\n\r\n" + std::string(kBody, 'k');
}

}  // namespace

int main(int argc, char** argv) {
  const Setup setup = begin(argc, argv);
  Group group;
  const auto work = [&](Host& host, Wire& wire, const Message& request) {
    const std::string id = request.header("x-correlation-id"), key = request.header("idempotency-key");
    bool dropped = false;
    {
      const std::lock_guard<std::mutex> lock(group.mutex);
      const auto first = group.first.find(key);
      dropped = first != group.first.end() && now() - first->second <= kRemembered;
      if (!dropped && group.effects[key]++ == 0) group.first[key] = now();
      if (!dropped && group.effects[key] > 1) group.again[key] = now() - group.first[key];
    }
    RECORD("host %s: %s with key %s %s", host.uid().c_str(), id.c_str(), key.c_str(),
           dropped ? "is a repeat, and dropped" : "TAKES EFFECT");
    sleepFor(dropped ? 0.02 : 0.7);  // the first one takes longer than its client waits
    const bool sent = wire.send(answerOf(200, Host::bodyFor(id)));
    return sent ? Host::Did::Answered : Host::Did::Close;
  };
  Host a("s-1", 0, work), b("s-2", 0, work), c("s-3", 0, work);
  DiscoveryService discovery;
  discovery.setHosts({&a, &b, &c});
  ClientProxy proxy(setup, {.memory_mb = 64, .sockets = 1024, .deadline_ms = 1200, .classes = kClasses},
                    discovery.port(), discovery.list());
  sleepFor(1);

  std::vector<std::thread> clients;
  for (int i = 0; i < kKeys; ++i) {
    clients.emplace_back([&, i] {
      const std::string key = hexId();
      const double began = now();
      double left = kDeadline;
      for (int tries = 0; tries < 2; ++tries) {
        const std::string id = hexId();
        Wire wire(connectTo(proxy.port()));
        // Its time counts from its last byte.
        const double wait = tries == 0 ? kTry : setup.trouble ? left - kPause : left;
        const std::string text = requestWith(id, key, wait);
        const double begins = now();
        RECORD("client %d: %s of key %s begins %.3f s after the first, id %s", i, tries == 0 ? "first try" : "repeat",
               key.c_str(), begins - began, id.c_str());
        if (tries > 0 && begins - began > kWindow - 0.05) {
          RECORD("client %d: the window is as good as over, no repeat", i);
          return;
        }
        if (tries > 0 && setup.trouble) {
          const std::size_t most = text.size() - kBody + kAtOnce;
          wire.send(text.substr(0, most));
          sleepFor(kPause);
          wire.send(text.substr(most));
        } else {
          wire.send(text);
        }
        const double sent = now();
        Message m;
        const Got got = wire.message(m, sent + wait + 0.55);
        RECORD("client %d: %s: %s, status %d, after %.3f s", i, id.c_str(), nameOf(got), m.status(), now() - sent);
        if (got == Got::Whole && m.status() == 200) return;
        left = kDeadline - (now() - began);
      }
    });
    sleepFor(2);
  }
  for (std::thread& t : clients) t.join();
  sleepFor(0.5);
  int twice = 0, keys = 0;
  for (const auto& [key, effects] : group.effects) {
    ++keys;
    const bool broken = effects > 1 && group.again[key] > kWindow + kSlack;
    if (broken) ++twice;
    RECORD("key %s took effect %d times%s", key.c_str(), effects, broken ? " DUPLICATE" : "");
  }
  if (keys < kKeys) cannotRun("not all keys came to a host");
  verdict(twice, keys, "keys that took effect twice");
}
