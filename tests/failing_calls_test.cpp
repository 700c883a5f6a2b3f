// The program while the system's calls fail for a moment, or do half of what was asked.
#include "proxy_support.h"

namespace client_proxy::test {
namespace {

constexpr int kRequests = 150;
constexpr Time kPrompt = 2 * kSecond;  // nothing that passes by itself costs a client more

class FailingCalls : public ::testing::Test {
 protected:
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
    discovery.peers.clear();  // of a program before it
    ASSERT_TRUE(loop.until([&] { return watched(); }));
  }
  // Discovery has been asked, and has told the whole list.
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
      std::size_t& from = read[peer.get()];
      for (std::size_t end = 0; (end = peer->got.find("\r\n\r\n", from)) != std::string::npos; from = end + 4)
        peer->say(answerOf(kBody));
    }
  }
  bool answeredWhole(const Peer& client, int times) const {
    int whole = 0;
    for (std::size_t at = client.got.find(kBody); at != std::string::npos;
         at = client.got.find(kBody, at + 1))
      ++whole;
    return whole >= times;
  }
  // Each client asks once or more on its connection; all are answered whole and promptly.
  void askAll(int clients, int times) {
    for (int n = 0; n < clients; ++n) {
      const auto client = Peer::connect(loop, listen);
      for (int i = 1; i <= times; ++i) {
        const Time asked = loop.clock.now();
        client->say(request("r" + std::to_string(n) + "-" + std::to_string(i)));
        ASSERT_TRUE(loop.until([&] {
          serveHosts();
          return client->ended || answeredWhole(*client, i) || loop.clock.now() - asked > kPrompt;
        }));
        ASSERT_TRUE(answeredWhole(*client, i))
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
  std::map<const Peer*, std::size_t> read;  // how far, of what each host's connection got
};

// Incident 4e2499: the whole program stood still in accept, with answers out, until the next connection.
TEST_F(FailingCalls, AConnectionAbortedBeforeItIsAcceptedHoldsUpNobody) {
  start("accept=ECONNABORTED:30");
  askAll(kRequests, 1);
}

// Incident 4e2499: an answer ended in the middle, and its connection was closed after three seconds.
TEST_F(FailingCalls, WhatIsWrittenInPartIsWrittenWhole) {
  start("send=short:50");
  askAll(10, kRequests / 10);
}

TEST_F(FailingCalls, WhatIsReadInPartIsReadWhole) {
  start("recv=short:50");
  askAll(10, kRequests / 10);
}

// Incident 4e2499: a call that a signal had interrupted passed for a broken connection.
TEST_F(FailingCalls, ACallThatWasInterruptedIsMadeAgain) {
  start("recv=EINTR:20 send=EINTR:20");
  askAll(10, kRequests / 10);
}

// Incident 4e2499: each accept that found no descriptor closed a client's connection.
TEST_F(FailingCalls, AMomentWithoutDescriptorsClosesNobody) {
  for (const char* const error : {"EMFILE", "ENFILE", "ENOBUFS"}) {
    start("accept=" + std::string(error) + ":30");
    const auto kept = Peer::connect(loop, listen);
    kept->say(request(std::string("first") + error));
    ASSERT_TRUE(loop.until([&] { return serveHosts(), answeredWhole(*kept, 1); }));
    askAll(kRequests / 3, 1);
    EXPECT_FALSE(kept->ended) << error;
    program.reset();
  }
}

TEST_F(FailingCalls, TheConsoleAnswersWholeToo) {
  start("accept=ECONNABORTED:30 send=short:50");
  for (int n = 0; n < 30; ++n) {
    const auto staff = Peer::connect(loop, console);
    staff->say("GET /stats HTTP/1.1\r\nHost: h\r\n\r\n");
    const Time asked = loop.clock.now();
    ASSERT_TRUE(loop.until([&] { return staff->ended || loop.clock.now() - asked > kSecond; }));
    EXPECT_TRUE(staff->ended && staff->heard("app_targets ")) << n << ": " << staff->got;
  }
}

}  // namespace
}  // namespace client_proxy::test
