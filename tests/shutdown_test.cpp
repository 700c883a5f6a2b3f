// Tests of requests and connections that are in progress when the process shuts down. docs/crossings.md lists
// these cases.
#include "proxy_support.h"

namespace client_proxy::test {
namespace {

// The program with one host; every class has the deadline given to start().
class Shutdown : public ::testing::Test {
 protected:
  void start(Time deadline) {
    for (json& c : file.doc["settings"]["request_classes"]) c["goal_time_us"] = c["deadline_us"] = deadline;
    file.doc["listen"] = textOf(listen);
    file.write(file.doc.dump());
    program = std::make_unique<Program>(file);
    ASSERT_TRUE(loop.until([&] { return discovery.peers.size() == 1; }));
  }
  void terminate() {
    program->signal(SIGTERM);
    sigterm_at = loop.clock.now();
  }
  Time sinceSigterm() const { return loop.clock.now() - sigterm_at; }
  // Waits for the program to exit, and sets `status`.
  bool ended() {
    return loop.until([&] { return (status = program->status()) != -1; });
  }
  Loop loop;
  Host host{loop}, discovery{loop}, moved{loop};
  ConfigFile file{json::array({entry("s-1", host.endpoint())}), discovery.endpoint()};
  const tcp::endpoint listen = freePort(loop);
  std::unique_ptr<Program> program;
  Time sigterm_at = 0;
  int status = -1;
};

TEST_F(Shutdown, AcceptsNewConnectionsAfterSigtermAndAnswersEveryRequest) {
  start(3 * kSecond);
  const auto held = Peer::connect(loop, listen);
  held->say(request("held"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("held"); }));
  terminate();
  const auto late = Peer::connect(loop, listen);
  late->say(request("late"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 2 && host.peers[1]->heard("late"); }));
  host.peers[0]->say(answerOf("first"));
  host.peers[1]->say(answerOf("second"));
  ASSERT_TRUE(loop.until([&] { return held->ended && late->ended; }));
  EXPECT_TRUE(held->heard("first") && held->heard("Connection: close"));
  EXPECT_TRUE(late->heard("second"));
  held->close();
  late->close();
  ASSERT_TRUE(ended());
  EXPECT_EQ(status, 0);
}

// Clients keep sending on every connection that stays open, until SIGKILL.
TEST_F(Shutdown, RequestOnOpenConnectionAfterSigtermIsAnswered) {
  start(3 * kSecond);
  const auto kept = Peer::connect(loop, listen);
  kept->say(request("first"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("first"); }));
  terminate();
  host.peers[0]->say(answerOf("one"));
  ASSERT_TRUE(loop.until([&] { return kept->heard("one"); }));
  // The answer may announce that the connection closes. If it does not, a further request is answered.
  if (!kept->heard("Connection: close")) {
    kept->say(request("second"));
    ASSERT_TRUE(loop.until([&] {
      for (const auto& p : host.peers) {
        if (p->heard("second")) p->say(answerOf("two"));
      }
      return kept->heard("two") || kept->ended;
    }));
    EXPECT_TRUE(kept->heard("two"));
  }
  kept->close();
  ASSERT_TRUE(ended());
  EXPECT_EQ(status, 0);
}

// SIGKILL follows SIGTERM after 3.7 s at the earliest, while a client would wait for 9 s.
TEST_F(Shutdown, RequestsWithLongDeadlinesAreAnsweredBeforeSigkill) {
  start(9 * kSecond);
  const auto held = Peer::connect(loop, listen);
  held->say(request("held"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("held"); }));
  terminate();
  // A request may also arrive after SIGTERM.
  const auto late = Peer::connect(loop, listen);
  late->say(request("late"));
  ASSERT_TRUE(loop.until([&] { return held->ended && late->ended; }));
  EXPECT_LT(sinceSigterm(), 3700 * kMillisecond);
  for (const auto& c : {held, late}) {
    EXPECT_TRUE(c->heard("HTTP/1.1 503") && c->heard("Connection: close")) << c->got;
    EXPECT_TRUE(c->got.ends_with("\r\n\r\n")) << "incomplete: " << c->got;
    EXPECT_FALSE(c->reset);
  }
  ASSERT_TRUE(ended());
  EXPECT_EQ(status, 0);
}

// A 503 would tell the client that a retry is safe, so an unsafe request that may have run gets a 504.
TEST_F(Shutdown, UnsafeRequestThatMayHaveRunFailsWith504BeforeExit) {
  start(9 * kSecond);
  const auto held = Peer::connect(loop, listen);
  held->say("POST /swap-charge/7 HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: held\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("held"); }));
  terminate();
  ASSERT_TRUE(loop.until([&] { return held->ended; }));
  EXPECT_TRUE(held->heard("HTTP/1.1 504")) << held->got;
  ASSERT_TRUE(ended());
  EXPECT_EQ(status, 0);
  EXPECT_EQ(host.peers.size(), 1U);
}

// With deadlines of 0.3 s SIGKILL may follow after 1 s, even if clients keep connections open.
TEST_F(Shutdown, ShutdownTimeFollowsFromClassDeadlines) {
  start(300 * kMillisecond);
  const auto incomplete = Peer::connect(loop, listen);
  incomplete->say("GET /slot-status/7 HTTP/1.1\r\nHost:");
  const auto served = Peer::connect(loop, listen);
  served->say("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return incomplete->said == 1 && served->heard("200"); }));
  terminate();
  ASSERT_TRUE(ended());
  EXPECT_EQ(status, 0);
  EXPECT_LT(sinceSigterm(), 2 * kSecond) << "0.9 s plus scheduling delay";
}

// The first SIGTERM starts the shutdown; a second one or a reload meanwhile does not change or stop it.
TEST_F(Shutdown, SecondSigtermAndReloadDoNotAffectShutdown) {
  start(2 * kSecond);
  const auto held = Peer::connect(loop, listen);
  held->say(request("held"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("held"); }));
  terminate();
  file.doc["discovery"] = textOf(moved.endpoint());
  file.write(file.doc.dump());
  program->signal(SIGHUP);
  program->signal(SIGTERM);
  ASSERT_TRUE(loop.until([&] { return moved.peers.size() == 1; })) << "the configuration was not reloaded";
  host.peers[0]->say(answerOf("served"));
  ASSERT_TRUE(loop.until([&] { return held->ended; }));
  EXPECT_TRUE(held->heard("served"));
  held->close();
  ASSERT_TRUE(ended());
  EXPECT_EQ(status, 0);
}

// Two pipelined requests: the answer to the first closes the connection, so the second must not be forwarded.
TEST_F(Shutdown, PipelinedRequestBehindLastAnswerIsNotForwarded) {
  start(2 * kSecond);
  const auto c = Peer::connect(loop, listen);
  c->say(request("first") + request("pipelined"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("first"); }));
  terminate();
  // The program handles the signal before the answer to the first request: it already serves a later request.
  const auto late = Peer::connect(loop, listen);
  late->say(request("late"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 2 && host.peers[1]->heard("late"); }));
  host.peers[1]->say(answerOf("two"));
  ASSERT_TRUE(loop.until([&] { return late->ended; }));
  host.peers[0]->say(answerOf("one"));
  ASSERT_TRUE(loop.until([&] { return c->ended; }));
  EXPECT_TRUE(c->heard("one") && c->heard("Connection: close"));
  EXPECT_FALSE(c->reset);
  c->close();
  late->close();
  ASSERT_TRUE(ended());
  EXPECT_EQ(status, 0);
  for (const auto& p : host.peers) EXPECT_FALSE(p->heard("pipelined"));
}

// An idle connection is closed by a FIN, never by a reset, and requests that arrive on it afterwards reach no
// host.
TEST_F(Shutdown, IdleConnectionEndsWithoutResetAndLateRequestsAreNotForwarded) {
  start(1 * kSecond);
  const auto idle = Peer::connect(loop, listen);
  idle->say(request("first"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("first"); }));
  host.peers[0]->say(answerOf("one"));
  ASSERT_TRUE(loop.until([&] { return idle->heard("one"); }));
  terminate();
  ASSERT_TRUE(loop.until([&] { return idle->ended; }));
  EXPECT_FALSE(idle->reset);
  // These requests cross the FIN. If the proxy sent a reset, it would arrive between the two.
  for (const char* id : {"crossing", "crossing-too"}) {
    idle->say(request(id));
    ASSERT_TRUE(loop.until([&] { return idle->said + idle->failed == (id[8] == 0 ? 2 : 3); }));
  }
  EXPECT_EQ(idle->failed, 0);
  idle->close();
  ASSERT_TRUE(ended());
  EXPECT_EQ(status, 0);
  for (const auto& p : host.peers) EXPECT_FALSE(p->heard("crossing"));
}

}  // namespace
}  // namespace client_proxy::test
