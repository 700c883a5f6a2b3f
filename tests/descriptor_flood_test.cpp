// Idle clients fill the descriptors while discovery is down: room for discovery and for hosts is kept.
// docs/crossings.md has the list.
#include "proxy_support.h"

namespace client_proxy::test {
namespace {

class DescriptorFlood : public ProxyTest {
 protected:
  static constexpr std::size_t kSockets = 96;
  void begin() {
    start(json::array({entry("s-1", host.endpoint())}), [](Config& c) { c.sockets = kSockets; });
  }
  void flood(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      mute.push_back(client());
      if (i % 16 == 0) loop.turn();
    }
  }
  // Answers whoever asks a host, until a healthy client has been served, and says where.
  std::string served(const std::string& id) {
    const auto c = client();
    c->say(request(id));
    std::string by;
    EXPECT_TRUE(loop.until([&] {
      for (auto* h : {&host, &other}) {
        for (const auto& p : h->peers) {
          if (!by.empty() || !p->heard("X-Correlation-Id: " + id + "\r\n")) continue;
          p->say(answerOf("ok"));
          by = h == &host ? "host" : "other";
        }
      }
      return c->heard("ok") || c->ended;
    }));
    EXPECT_TRUE(c->heard("ok")) << c->got;
    return by;
  }
  std::vector<std::shared_ptr<Peer>> mute;
};

TEST_F(DescriptorFlood, DiscoveryIsCalledAgainAndHealthyClientsAreServedMeanwhile) {
  begin();
  const auto first = watch(discovery);
  ASSERT_NE(first, nullptr);
  first->close();  // it is down; and now they come
  flood(2 * kSockets);
  EXPECT_EQ(served("one"), "host");
  EXPECT_LE(proxy->descriptorsHeld(), kSockets);
  // It is back: the call gets its descriptor, and what it says is taken.
  ASSERT_TRUE(
      loop.until([&] { return discovery.peers.size() >= 2 && discovery.peers.back()->heard("\r\n\r\n"); }));
  flood(kSockets);
  discovery.peers.back()->say(
      kWatch +
      line(5, true, json::array({entry("s-1", host.endpoint(), "leaving"), entry("s-2", other.endpoint())})));
  int asked = 0;
  ASSERT_TRUE(loop.until([&] { return served("next-" + std::to_string(++asked)) == "other"; }));
  EXPECT_LE(proxy->descriptorsHeld(), kSockets);
}

TEST_F(DescriptorFlood, WhoSaysNothingIsClosedInThreeSeconds) {
  begin();
  flood(2 * kSockets);
  const Time come = loop.clock.now();
  ASSERT_TRUE(loop.until(
      [&] { return std::all_of(mute.begin(), mute.end(), [](const auto& p) { return p->ended; }); }));
  EXPECT_LT(loop.clock.now() - come, 3 * kSecond);
  EXPECT_EQ(served("after"), "host");
}

}  // namespace
}  // namespace client_proxy::test
