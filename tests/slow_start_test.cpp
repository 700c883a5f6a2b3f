// Slow start at one client: what counts as a start of a host, and how many requests the host then receives.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "support.h"

namespace load_balancer::test {
namespace {

constexpr int kHosts = 40;  // more than the default subset size

// One client of a list of hosts, and requests that are answered.
class Client {
 public:
  Client() { driver.now = 50'000 * kSec; }

  // Sends requests at this interval, each answered with a latency of 20 ms (unless `answered` is false).
  // Returns the number of requests by host.
  std::map<std::string, int> sendRequests(int requests, Time interval = 10 * kMs, bool answered = true) {
    std::map<std::string, int> sent;
    for (int i = 0; i < requests; ++i) {
      driver.now += interval;
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
  // The first lists that a process receives: the one that it has stored, then discovery's.
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
  for (const auto& [host, count] : sent) all += count;
  return all;
}

// Guards against incident 4e2499: clients also sent to hosts in slow start outside their subset, so the sum
// over all clients grew with the number of hosts that each could reach.
TEST(SlowStart, NoRequestsToHostsInSlowStartOutsideTheSubset) {
  Client client;
  client.startWith(makeHosts(kHosts));
  client.sendRequests(500);
  client.driver.servers(ListKind::Changes, client.allStartedAt(client.driver.now));
  const std::vector<std::string> subset = client.driver.balancer.subset(client.driver.now);
  const std::map<std::string, int> sent = client.sendRequests(400, 2 * kMs);
  EXPECT_FALSE(sent.empty());
  for (const auto& [host, count] : sent)
    EXPECT_TRUE(std::find(subset.begin(), subset.end(), host) != subset.end()) << host << " is not a member";
}

// Guards against incident 4e2499: a client's share was a part of its arrivals, so a burst of arrivals raised
// it.
TEST(SlowStart, BurstOfArrivalsDoesNotRaiseTheShareOfHostsInSlowStart) {
  const auto sentAtInterval = [](Time interval) {
    Client client;
    client.startWith(makeHosts(kHosts));
    client.sendRequests(1000);  // 100 a second
    client.driver.servers(ListKind::Changes, client.allStartedAt(client.driver.now));
    return total(client.sendRequests(static_cast<int>(2 * kSec / interval), interval));
  };
  const int ordinary = sentAtInterval(10 * kMs);
  EXPECT_GT(ordinary, 50) << "0.25 to 0.4 of 200, times 1.5";
  EXPECT_LE(sentAtInterval(kMs), ordinary + 12) << "tolerance of one request per member";
}

// A client with many requests in flight extends its subset: its total share is then divided among more
// members.
TEST(SlowStart, ExtendedSubsetDoesNotRaiseTheTotalShare) {
  Client client;
  client.startWith(makeHosts(kHosts));
  client.sendRequests(1000);
  client.driver.servers(ListKind::Changes, client.allStartedAt(client.driver.now));
  const int sent = total(client.sendRequests(2000, kMs, false));
  EXPECT_GT(client.driver.balancer.subset(client.driver.now).size(), 12U);
  EXPECT_LE(sent, 200 * 0.4 * 1.5 + kHosts);
}

TEST(SlowStart, HostThatRejectsGetsNoRequestUntilItsTokensAreRefilled) {
  Client client;
  client.startWith(makeHosts(kHosts));
  client.sendRequests(1000);
  const std::vector<Host> all = client.allStartedAt(client.driver.now);
  client.driver.servers(ListKind::Changes, all);
  std::map<std::string, Time> rejected;
  for (RequestId id = 10'000; id < 10'400; ++id) {
    client.driver.now += kMs;
    client.driver.request(id, 0);
    if (client.driver.count(ActionKind::Send) == 0) continue;
    const std::string host = client.driver.sentTo();
    const auto [last, first] = rejected.try_emplace(host, client.driver.now);
    EXPECT_TRUE(first || client.driver.now - last->second > 150 * kMs)
        << host << " has one token per 240 ms or so";
    last->second = client.driver.now;
    client.driver.outcome(id, 0, Result::Rejected, kMs);
  }
  EXPECT_FALSE(rejected.empty());
}

// Guards against incident 4e2499: the age of a host was computed from the clocks of two machines, so an error
// of either hid a restart.
TEST(SlowStart, ListedRestartBeginsSlowStartDespiteClockErrors) {
  for (const Time clock_error : {-3600 * kSec, -20 * kSec, 0 * kSec, 20 * kSec, 3600 * kSec}) {
    Client client;
    client.startWith(makeHosts(kHosts));
    client.sendRequests(100);
    const std::string host = client.member();
    client.driver.servers(ListKind::Changes,
                          {Client::startedAt(Client::numberOf(host), client.driver.now + clock_error)});
    EXPECT_TRUE(client.inSlowStart(host)) << "clock error of " << clock_error << " us";
    client.sendRequests(1100);  // 11 s, where slow start lasts 10
    EXPECT_FALSE(client.inSlowStart(host)) << "clock error of " << clock_error << " us";
  }
}

TEST(SlowStart, ListedStartEarlierThanTheLastBeginsSlowStart) {
  Client client;
  client.startWith(client.allStartedAt(client.driver.now - 100 * kSec));
  const std::string host = client.member();
  client.driver.servers(ListKind::Changes,
                        {Client::startedAt(Client::numberOf(host), client.driver.now - 7200 * kSec)});
  EXPECT_TRUE(client.inSlowStart(host));
}

TEST(SlowStart, NewHostBeginsSlowStartDespiteAnOldListedStart) {
  Client client;
  client.startWith(makeHosts(kHosts));
  client.driver.servers(ListKind::Changes, {Client::startedAt(kHosts, client.driver.now - 3600 * kSec)});
  EXPECT_TRUE(client.inSlowStart(makeHost(kHosts).id));
}

// A host that discovery loses and lists again with the same start has not restarted.
TEST(SlowStart, HostListedAgainWithTheSameStartStaysWarm) {
  Client client;
  const std::vector<Host> hosts = client.allStartedAt(client.driver.now - 100 * kSec);
  client.startWith(hosts);
  client.sendRequests(1100);
  std::vector<Host> half(hosts.begin(), hosts.begin() + kHosts / 2);
  client.driver.servers(ListKind::Full, half);
  client.driver.servers(ListKind::Full, hosts);
  for (const Host& host : hosts) EXPECT_FALSE(client.inSlowStart(host.id)) << host.id;
}

TEST(SlowStart, HostRemovedDuringSlowStartIsStillInItWhenListedAgain) {
  Client client;
  client.startWith(makeHosts(kHosts));
  const Host host = Client::startedAt(3, client.driver.now);
  client.driver.servers(ListKind::Changes, {host});
  client.driver.servers(ListKind::Changes, {makeHost(3, HostState::Removed)});
  client.driver.servers(ListKind::Changes, {host});
  EXPECT_TRUE(client.inSlowStart(host.id));
}

// A new process has no earlier list to compare with: starts are compared with the newest one, and with its
// own clock.
TEST(SlowStart, FirstListGivesTheAgeOfHostsRelativeToTheNewestStart) {
  Client client;
  std::vector<Host> hosts = client.allStartedAt(client.driver.now - 100 * kSec);
  hosts[0].started_at = client.driver.now - 3600 * kSec;
  client.startWith(hosts);
  EXPECT_FALSE(client.inSlowStart(hosts[0].id));
  EXPECT_TRUE(client.inSlowStart(hosts[1].id)) << "no evidence that these have been running for longer";
}

TEST(SlowStart, ListedStartsInTheFutureDoNotProlongSlowStart) {
  Client client;
  client.startWith(client.allStartedAt(client.driver.now + 3600 * kSec));
  EXPECT_TRUE(client.inSlowStart(makeHost(0).id));
  client.sendRequests(1100);
  EXPECT_FALSE(client.inSlowStart(client.member()));
}

}  // namespace
}  // namespace load_balancer::test
