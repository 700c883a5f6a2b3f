// Slow start of one client: what counts as a start, and how much goes there.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "support.h"

namespace load_balancer::test {
namespace {

constexpr int kHosts = 40;  // more than a subset

// A client with a list of hosts, whose requests are answered.
class Client {
 public:
  Client() { driver.now = 50'000 * kSec; }

  // Requests that take 20 ms, one after the other. Returns how many went to which host.
  std::map<std::string, int> play(int requests, Time every = 10 * kMs, bool answered = true) {
    std::map<std::string, int> sent;
    for (int i = 0; i < requests; ++i) {
      driver.now += every;
      driver.request(++id_, 0);
      if (driver.count(ActionKind::Send) == 0) continue;
      ++sent[driver.sentTo()];
      if (answered) driver.outcome(id_, 0, Result::Ok, 20 * kMs);
    }
    return sent;
  }
  static Host startedAt(int number, Time time) {
    Host host = makeHost(number);
    host.started_at = time;
    return host;
  }
  std::vector<Host> allStartedAt(Time time) const {
    std::vector<Host> hosts;
    for (int n = 0; n < kHosts; ++n) hosts.push_back(startedAt(n, time));
    return hosts;
  }
  // The first lists of a process: the one that it remembers, then discovery's.
  void startWith(const std::vector<Host>& hosts) {
    driver.servers(ListKind::Restored, hosts);
    driver.servers(ListKind::Full, hosts);
  }
  bool inSlowStart(const std::string& id) const {
    for (const HostSnapshot& host : driver.balancer.snapshot()) {
      if (host.id != id || host.slow_start_since == 0) continue;
      return driver.now - host.slow_start_since < makeSettings().slow_start_duration;
    }
    return false;
  }
  std::string member() { return driver.balancer.subset(driver.now).front(); }
  static int numberOf(const std::string& id) { return std::stoi(id.substr(id.size() - 3)); }

  Driver driver{makeSettings()};

 private:
  RequestId id_ = 0;
};

int total(const std::map<std::string, int>& sent) {
  int all = 0;
  for (const auto& [host, times] : sent) all += times;
  return all;
}

// Incident 4e2499: the sum over all clients grew with the endpoints that each could reach.
TEST(SlowStart, NothingGoesToEndpointsInSlowStartBeyondTheSubset) {
  Client client;
  client.startWith(makeHosts(kHosts));
  client.play(500);
  client.driver.servers(ListKind::Changes, client.allStartedAt(client.driver.now));
  const std::vector<std::string> subset = client.driver.balancer.subset(client.driver.now);
  const std::map<std::string, int> sent = client.play(400, 2 * kMs);
  EXPECT_FALSE(sent.empty());
  for (const auto& [host, times] : sent)
    EXPECT_TRUE(std::find(subset.begin(), subset.end(), host) != subset.end()) << host << " is no member";
}

// Incident 4e2499: the share followed what arrived.
TEST(SlowStart, ABurstOfArrivalsRaisesNoShare) {
  const auto sentIn = [](Time every) {
    Client client;
    client.startWith(makeHosts(kHosts));
    client.play(1000);  // 100 a second
    client.driver.servers(ListKind::Changes, client.allStartedAt(client.driver.now));
    return total(client.play(static_cast<int>(2 * kSec / every), every));
  };
  const int ordinary = sentIn(10 * kMs);
  EXPECT_GT(ordinary, 50) << "at 0.25 to 0.4 of 200, and half as much again";
  EXPECT_LE(sentIn(kMs), ordinary + 12) << "a request a member for chance";
}

// A client with many requests in flight lengthens its subset: what it may send is shared among more.
TEST(SlowStart, ASubsetThatGrowsRaisesNoShare) {
  Client client;
  client.startWith(makeHosts(kHosts));
  client.play(1000);
  client.driver.servers(ListKind::Changes, client.allStartedAt(client.driver.now));
  const int sent = total(client.play(2000, kMs, false));
  EXPECT_GT(client.driver.balancer.subset(client.driver.now).size(), 12U);
  EXPECT_LE(sent, 200 * 0.4 * 1.5 + kHosts);
}

TEST(SlowStart, WhatRejectsIsLeftAloneUntilItsShareHasGrownAgain) {
  Client client;
  client.startWith(makeHosts(kHosts));
  client.play(1000);
  const std::vector<Host> all = client.allStartedAt(client.driver.now);
  client.driver.servers(ListKind::Changes, all);
  std::map<std::string, Time> rejected;
  for (RequestId id = 10'000; id < 10'400; ++id) {
    client.driver.now += kMs;
    client.driver.request(id, 0);
    if (client.driver.count(ActionKind::Send) == 0) continue;
    const std::string host = client.driver.sentTo();
    const auto [last, first] = rejected.try_emplace(host, client.driver.now);
    EXPECT_TRUE(first || client.driver.now - last->second > 150 * kMs) << host << " has 1 in some 240 ms";
    last->second = client.driver.now;
    client.driver.outcome(id, 0, Result::Rejected, kMs);
  }
  EXPECT_FALSE(rejected.empty());
}

// Incident 4e2499: an age taken from two machines' clocks.
TEST(SlowStart, ARestartThatTheListTellsIsOneWhateverTheClocksSay) {
  for (const Time error : {-3600 * kSec, -20 * kSec, 0 * kSec, 20 * kSec, 3600 * kSec}) {
    Client client;
    client.startWith(makeHosts(kHosts));
    client.play(100);
    const std::string host = client.member();
    client.driver.servers(ListKind::Changes,
                          {Client::startedAt(Client::numberOf(host), client.driver.now + error)});
    EXPECT_TRUE(client.inSlowStart(host)) << "clock error of " << error << " us";
    client.play(1100);  // 11 s, where slow start lasts 10
    EXPECT_FALSE(client.inSlowStart(host)) << "clock error of " << error << " us";
  }
}

TEST(SlowStart, ARestartAtAnEarlierTimeThanTheLastIsOneToo) {
  Client client;
  client.startWith(client.allStartedAt(client.driver.now - 100 * kSec));
  const std::string host = client.member();
  client.driver.servers(ListKind::Changes,
                        {Client::startedAt(Client::numberOf(host), client.driver.now - 7200 * kSec)});
  EXPECT_TRUE(client.inSlowStart(host));
}

TEST(SlowStart, ANewHostIsInSlowStartWhateverTheClocksSay) {
  Client client;
  client.startWith(makeHosts(kHosts));
  client.driver.servers(ListKind::Changes, {Client::startedAt(kHosts, client.driver.now - 3600 * kSec)});
  EXPECT_TRUE(client.inSlowStart(makeHost(kHosts).id));
}

// A discovery that has lost entries and finds them again has restarted no host.
TEST(SlowStart, AHostThatReturnsToTheListAsItWasIsWarm) {
  Client client;
  const std::vector<Host> hosts = client.allStartedAt(client.driver.now - 100 * kSec);
  client.startWith(hosts);
  client.play(1100);
  std::vector<Host> half(hosts.begin(), hosts.begin() + kHosts / 2);
  client.driver.servers(ListKind::Full, half);
  client.driver.servers(ListKind::Full, hosts);
  for (const Host& host : hosts) EXPECT_FALSE(client.inSlowStart(host.id)) << host.id;
}

TEST(SlowStart, AHostThatLeavesTheListInSlowStartReturnsInIt) {
  Client client;
  client.startWith(makeHosts(kHosts));
  const Host host = Client::startedAt(3, client.driver.now);
  client.driver.servers(ListKind::Changes, {host});
  client.driver.servers(ListKind::Changes, {makeHost(3, HostState::Removed)});
  client.driver.servers(ListKind::Changes, {host});
  EXPECT_TRUE(client.inSlowStart(host.id));
}

// A process has no earlier list of its own: starts are compared with the newest, and with its clock.
TEST(SlowStart, TheFirstListTellsTheAgeByTheNewestStart) {
  Client client;
  std::vector<Host> hosts = client.allStartedAt(client.driver.now - 100 * kSec);
  hosts[0].started_at = client.driver.now - 3600 * kSec;
  client.startWith(hosts);
  EXPECT_FALSE(client.inSlowStart(hosts[0].id));
  EXPECT_TRUE(client.inSlowStart(hosts[1].id)) << "nothing shows that these are older than a moment";
}

TEST(SlowStart, AClockThatIsBehindTheStartsMakesNoSlowStartLonger) {
  Client client;
  client.startWith(client.allStartedAt(client.driver.now + 3600 * kSec));
  EXPECT_TRUE(client.inSlowStart(makeHost(0).id));
  client.play(1100);
  EXPECT_FALSE(client.inSlowStart(client.member()));
}

}  // namespace
}  // namespace load_balancer::test
