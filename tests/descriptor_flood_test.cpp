// Tests that silent clients which fill the descriptors while discovery is down leave descriptors for
// discovery and for hosts. See docs/crossings.md.
#include "proxy_support.h"

namespace client_proxy::test {
namespace {

class DescriptorFlood : public ProxyTest {
 protected:
  static constexpr std::size_t kSockets = 96;
  void startProxy() {
    start(json::array({entry("s-1", host.endpoint())}), [](Config& c) { c.sockets = kSockets; });
  }
  void flood(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      silent_clients.push_back(client());
      if (i % 16 == 0) loop.turn();
    }
  }
  // Sends a request from a healthy client, answers it at the host that it reaches, and returns that host's
  // name.
  std::string hostServing(const std::string& id) {
    const auto c = client();
    c->say(request(id));
    std::string answered_by;
    EXPECT_TRUE(loop.until([&] {
      for (auto* h : {&host, &other}) {
        for (const auto& p : h->peers) {
          if (!answered_by.empty() || !p->heard("X-Correlation-Id: " + id + "\r\n")) continue;
          p->say(answerOf("ok"));
          answered_by = h == &host ? "host" : "other";
        }
      }
      return c->heard("ok") || c->ended;
    }));
    EXPECT_TRUE(c->heard("ok")) << c->got;
    return answered_by;
  }
  std::vector<std::shared_ptr<Peer>> silent_clients;
};

TEST_F(DescriptorFlood, DiscoveryReconnectsAndHealthyClientsAreServedDuringAFlood) {
  startProxy();
  const auto first = watch(discovery);
  ASSERT_NE(first, nullptr);
  first->close();  // discovery is down when the flood begins
  flood(2 * kSockets);
  EXPECT_EQ(hostServing("one"), "host");
  EXPECT_LE(proxy->descriptorsHeld(), kSockets);
  // Discovery is back: the proxy has a descriptor for the new call, and applies the list that it receives.
  ASSERT_TRUE(
      loop.until([&] { return discovery.peers.size() >= 2 && discovery.peers.back()->heard("\r\n\r\n"); }));
  flood(kSockets);
  discovery.peers.back()->say(
      kWatch +
      line(5, true, json::array({entry("s-1", host.endpoint(), "leaving"), entry("s-2", other.endpoint())})));
  int request_count = 0;
  ASSERT_TRUE(loop.until([&] { return hostServing("next-" + std::to_string(++request_count)) == "other"; }));
  EXPECT_LE(proxy->descriptorsHeld(), kSockets);
}

TEST_F(DescriptorFlood, SilentClientsAreClosedWithinThreeSeconds) {
  startProxy();
  flood(2 * kSockets);
  const Time flooded_at = loop.clock.now();
  ASSERT_TRUE(loop.until([&] {
    return std::all_of(silent_clients.begin(), silent_clients.end(), [](const auto& p) { return p->ended; });
  }));
  EXPECT_LT(loop.clock.now() - flooded_at, 3 * kSecond);
  EXPECT_EQ(hostServing("after"), "host");
}

}  // namespace
}  // namespace client_proxy::test
