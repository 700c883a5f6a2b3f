// Long requests while half of the hosts hang.
#include "standin.h"

using namespace standin;

namespace {

constexpr int kRequests = 8;
constexpr std::size_t kSize = 6000000;
constexpr double kTimeLeft = 2.4;
constexpr double kLatest = 0.5 + 0.05;

// A host that may hang: it reads the head of a request, and then nothing any more.
class TakingHost {
 public:
  TakingHost(std::string uid, bool hangs)
      : uid_(std::move(uid)), hangs_(hangs), listener_([this](Wire& w) { serve(w); }) {}
  const std::string& uid() const { return uid_; }
  int port() const { return listener_.port(); }

 private:
  void serve(Wire& wire) {
    for (;;) {
      Message request;
      if (wire.head(request, now() + 10) != Got::Whole) return;
      const std::string id = request.header("x-correlation-id");
      if (hangs_ && request.target() != "/healthz" && request.target() != "/load") {
        RECORD("host %s: hangs in the body of %s", uid_.c_str(), id.c_str());
        sleepFor(20);
        return;
      }
      if (wire.body(request, 1e9) != Got::Whole) return;
      if (id.empty()) {
        if (!wire.send(answerOf(200, ""))) return;
        continue;
      }
      RECORD("host %s: runs %s, %zu bytes", uid_.c_str(), id.c_str(), request.body.size());
      sleepFor(0.05);
      if (!wire.send(answerOf(200, "served " + id + "\n"))) return;
    }
  }
  std::string uid_;
  const bool hangs_;
  Listener listener_;
};

}  // namespace

int main(int argc, char** argv) {
  const Setup setup = begin(argc, argv);
  TakingHost a("s-1", setup.trouble), b("s-2", setup.trouble), c("s-3", false), d("s-4", false);
  DiscoveryService discovery;
  discovery.setList({{a.uid(), a.port()}, {b.uid(), b.port()}, {c.uid(), c.port()}, {d.uid(), d.port()}});
  ClientProxy proxy(setup, {}, discovery.port(), discovery.list());
  sleepFor(1);
  std::atomic<int> lost{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < kRequests; ++i) {
    threads.emplace_back([&, i] {
      Wire wire(connectTo(proxy.port()));
      const std::string id = hexId();
      const std::string text = requestOf("swap-charge", id, kTimeLeft, std::string(kSize, 'u'));
      const double began = now();
      wire.send(text);
      const double sent = now();
      Message m;
      const Got got = wire.message(m, sent + 10);
      const double took = now() - sent;
      const bool in_time = got != Got::Late && took <= kTimeLeft + kLatest;
      if (!in_time) ++lost;
      RECORD("client %d, %s: sent in %.3f s; %s, status %d, after %.3f s%s", i, id.c_str(), sent - began, nameOf(got),
             m.status(), took, in_time ? "" : " LOST");
    });
  }
  for (std::thread& t : threads) t.join();
  verdict(lost, kRequests, "long requests without a final answer 0.5 s after their time");
}
