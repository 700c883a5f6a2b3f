// What crosses the end of a process: docs/crossings.md has the list.
#include "proxy_support.h"

namespace client_proxy::test {
namespace {

// The program with one host; each class's clients wait for this long.
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
    told = loop.clock.now();
  }
  Time sinceTold() const { return loop.clock.now() - told; }
  bool ended() {
    return loop.until([&] { return (status = program->status()) != -1; });
  }
  Loop loop;
  Host host{loop}, discovery{loop}, moved{loop};
  ConfigFile file{json::array({entry("s-1", host.endpoint())}), discovery.endpoint()};
  const tcp::endpoint listen = freePort(loop);
  std::unique_ptr<Program> program;
  Time told = 0;
  int status = -1;
};

TEST_F(Shutdown, AfterSigtermItTakesWhatStillComesAndAnswersAllItHasTaken) {
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

// Clients send on every connection that stays open, up to SIGKILL.
TEST_F(Shutdown, AfterSigtermWhatComesOnAConnectionThatStaysOpenIsAnswered) {
  start(3 * kSecond);
  const auto kept = Peer::connect(loop, listen);
  kept->say(request("first"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("first"); }));
  terminate();
  host.peers[0]->say(answerOf("one"));
  ASSERT_TRUE(loop.until([&] { return kept->heard("one"); }));
  // Whether it said that it closes or not: as long as it has not, what comes is answered.
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

// SIGKILL comes 3.7 s after SIGTERM at the soonest, though a client would wait for 9 s.
TEST_F(Shutdown, ARequestWhoseClientWaitsLongerThanTheProcessLivesHasItsAnswerBefore) {
  start(9 * kSecond);
  const auto held = Peer::connect(loop, listen);
  held->say(request("held"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("held"); }));
  terminate();
  // It may come in the last moment too.
  const auto late = Peer::connect(loop, listen);
  late->say(request("late"));
  ASSERT_TRUE(loop.until([&] { return held->ended && late->ended; }));
  EXPECT_LT(sinceTold(), 3700 * kMillisecond);
  for (const auto& c : {held, late}) {
    EXPECT_TRUE(c->heard("HTTP/1.1 503") && c->heard("Connection: close")) << c->got;
    EXPECT_TRUE(c->got.ends_with("\r\n\r\n")) << "whole: " << c->got;
    EXPECT_FALSE(c->reset);
  }
  ASSERT_TRUE(ended());
  EXPECT_EQ(status, 0);
}

// An unsafe one that may have run is not refused, which would say that trying again is harmless.
TEST_F(Shutdown, AnUnsafeRequestThatMayHaveRunFailsBeforeTheProcessLeaves) {
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

// Where clients wait for 0.3 s SIGKILL may come after 1 s, whoever keeps a connection open.
TEST_F(Shutdown, TheTimeToLeaveFollowsFromTheSettings) {
  start(300 * kMillisecond);
  const auto half = Peer::connect(loop, listen);
  half->say("GET /slot-status/7 HTTP/1.1\r\nHost:");
  const auto known = Peer::connect(loop, listen);
  known->say("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return half->said == 1 && known->heard("200"); }));
  terminate();
  ASSERT_TRUE(ended());
  EXPECT_EQ(status, 0);
  EXPECT_LT(sinceTold(), 2 * kSecond) << "0.9 s, and what this machine is late";
}

// The first decides; what a reload finds while the process ends does not stop it.
TEST_F(Shutdown, AFurtherSigtermAndAReloadMeanwhileChangeNothingOfTheEnd) {
  start(2 * kSecond);
  const auto held = Peer::connect(loop, listen);
  held->say(request("held"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("held"); }));
  terminate();
  file.doc["discovery"] = textOf(moved.endpoint());
  file.write(file.doc.dump());
  program->signal(SIGHUP);
  program->signal(SIGTERM);
  ASSERT_TRUE(loop.until([&] { return moved.peers.size() == 1; })) << "it was read again";
  host.peers[0]->say(answerOf("served"));
  ASSERT_TRUE(loop.until([&] { return held->ended; }));
  EXPECT_TRUE(held->heard("served"));
  held->close();
  ASSERT_TRUE(ended());
  EXPECT_EQ(status, 0);
}

// Two in one breath: the answer to the first closes the connection, and the second was never taken.
TEST_F(Shutdown, WhatStandsBehindARequestThatIsAnsweredAfterSigtermIsNeverSentOn) {
  start(2 * kSecond);
  const auto c = Peer::connect(loop, listen);
  c->say(request("first") + request("behind"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("first"); }));
  terminate();
  // The signal is taken before the answer: it is at work on what comes after it.
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
  for (const auto& p : host.peers) EXPECT_FALSE(p->heard("behind"));
}

// Whoever rests is told so by the end of our sending, never by a reset, and what it says then reaches no
// host.
TEST_F(Shutdown, AConnectionAtRestIsEndedAndWhatComesInThatMomentIsNeverSentOn) {
  start(1 * kSecond);
  const auto resting = Peer::connect(loop, listen);
  resting->say(request("first"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("first"); }));
  host.peers[0]->say(answerOf("one"));
  ASSERT_TRUE(loop.until([&] { return resting->heard("one"); }));
  terminate();
  ASSERT_TRUE(loop.until([&] { return resting->ended; }));
  EXPECT_FALSE(resting->reset);
  // It has not noticed yet: this crosses the end. A reset would come between the two.
  for (const char* id : {"crossing", "crossing-too"}) {
    resting->say(request(id));
    ASSERT_TRUE(loop.until([&] { return resting->said + resting->failed == (id[8] == 0 ? 2 : 3); }));
  }
  EXPECT_EQ(resting->failed, 0);
  resting->close();
  ASSERT_TRUE(ended());
  EXPECT_EQ(status, 0);
  for (const auto& p : host.peers) EXPECT_FALSE(p->heard("crossing"));
}

}  // namespace
}  // namespace client_proxy::test
