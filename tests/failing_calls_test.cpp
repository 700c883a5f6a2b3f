// Tests of the program while system calls fail temporarily, or transfer fewer bytes than requested.
#include "proxy_support.h"

namespace client_proxy::test {
namespace {

constexpr int kRequests = 150;
constexpr Time kMaxAnswerTime = 2 * kSecond;  // a temporary failure may delay a client by no more

class FailingCalls : public ::testing::Test {
 protected:
  // Starts the program; `calls`: the failures to inject (tests/shims/failing_calls.cpp).
  void start(const std::string& calls) {
    file.doc["listen"] = textOf(listen);
    for (json& c : file.doc["settings"]["request_classes"]) c["goal_time_us"] = c["deadline_us"] = 3'000'000;
    file.write(file.doc.dump());
    const tcp::endpoint console_at = freePort(loop);
    console = console_at;
    program = std::make_unique<Program>(
        std::vector<std::string>{},
        std::vector<std::string>{"PROXY_CONFIG=" + file.path, "PROXY_CONSOLE=" + textOf(console_at),
                                 "PROXY_DISCOVERY=" + file.doc["discovery"].get<std::string>(),
                                 "LD_PRELOAD=" FAILING_CALLS_LIBRARY, "FAILING_CALLS=" + calls});
    discovery.peers.clear();  // connections of the previous program
    ASSERT_TRUE(loop.until([&] { return watched(); }));
  }
  // The program has opened its watch, and discovery has sent the whole list.
  bool watched() {
    for (const auto& peer : discovery.peers) {
      if (peer->said == 0 && peer->heard("\r\n\r\n"))
        peer->say(kWatch + line(2, true, json::array({entry("s-1", host.endpoint())})));
      if (peer->said > 0) return true;
    }
    return false;
  }
  void serveHosts() {
    for (const auto& peer : host.peers) {
      std::size_t& from = handled[peer.get()];
      for (std::size_t end = 0; (end = peer->got.find("\r\n\r\n", from)) != std::string::npos; from = end + 4)
        peer->say(answerOf(kBody));
    }
  }
  // The client has received at least so many complete bodies.
  bool receivedBodies(const Peer& client, int times) const {
    int bodies = 0;
    for (std::size_t at = client.got.find(kBody); at != std::string::npos;
         at = client.got.find(kBody, at + 1))
      ++bodies;
    return bodies >= times;
  }
  // Each client sends `times` requests on one connection; all answers are complete and arrive in time.
  void expectAllAnswered(int clients, int times) {
    for (int n = 0; n < clients; ++n) {
      const auto client = Peer::connect(loop, listen);
      for (int i = 1; i <= times; ++i) {
        const Time sent_at = loop.clock.now();
        client->say(request("r" + std::to_string(n) + "-" + std::to_string(i)));
        ASSERT_TRUE(loop.until([&] {
          serveHosts();
          return client->ended || receivedBodies(*client, i) || loop.clock.now() - sent_at > kMaxAnswerTime;
        }));
        ASSERT_TRUE(receivedBodies(*client, i))
            << "client " << n << ", request " << i << (client->ended ? ", closed: " : ": ") << client->got;
      }
      client->close();
    }
  }

  const std::string kBody = std::string(2000, 'b') + "end.";
  Loop loop;
  Host host{loop}, discovery{loop};
  ConfigFile file{json::array({entry("s-1", host.endpoint())}), discovery.endpoint()};
  const tcp::endpoint listen = freePort(loop);
  tcp::endpoint console;
  std::unique_ptr<Program> program;
  std::map<const Peer*, std::size_t> handled;  // bytes handled, by connection to the host
};

// Incident 4e2499: the program blocked in accept until the next connection, with answers pending.
TEST_F(FailingCalls, ConnectionAbortedBeforeAcceptDelaysNoClient) {
  start("accept=ECONNABORTED:30");
  expectAllAnswered(kRequests, 1);
}

// Incident 4e2499: an answer was cut off half-way, and its connection was closed after three seconds.
TEST_F(FailingCalls, ShortWritesAreCompleted) {
  start("send=short:50");
  expectAllAnswered(10, kRequests / 10);
}

TEST_F(FailingCalls, ShortReadsAreCompleted) {
  start("recv=short:50");
  expectAllAnswered(10, kRequests / 10);
}

// Incident 4e2499: a call interrupted by a signal was treated as a broken connection.
TEST_F(FailingCalls, InterruptedCallsAreRetried) {
  start("recv=EINTR:20 send=EINTR:20");
  expectAllAnswered(10, kRequests / 10);
}

// Incident 4e2499: each accept that failed for lack of a descriptor closed a client's connection.
TEST_F(FailingCalls, TemporaryDescriptorShortageClosesNoConnection) {
  for (const char* const error : {"EMFILE", "ENFILE", "ENOBUFS"}) {
    start("accept=" + std::string(error) + ":30");
    const auto kept = Peer::connect(loop, listen);
    kept->say(request(std::string("first") + error));
    ASSERT_TRUE(loop.until([&] { return serveHosts(), receivedBodies(*kept, 1); }));
    expectAllAnswered(kRequests / 3, 1);
    EXPECT_FALSE(kept->ended) << error;
    program.reset();
  }
}

TEST_F(FailingCalls, ConsoleAnswersAreComplete) {
  start("accept=ECONNABORTED:30 send=short:50");
  for (int n = 0; n < 30; ++n) {
    const auto operator_client = Peer::connect(loop, console);
    operator_client->say("GET /stats HTTP/1.1\r\nHost: h\r\n\r\n");
    const Time sent_at = loop.clock.now();
    ASSERT_TRUE(loop.until([&] { return operator_client->ended || loop.clock.now() - sent_at > kSecond; }));
    EXPECT_TRUE(operator_client->ended && operator_client->heard("app_targets "))
        << n << ": " << operator_client->got;
  }
}

}  // namespace
}  // namespace client_proxy::test
