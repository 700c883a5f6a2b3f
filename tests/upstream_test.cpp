// The hosts' side: real sockets, scripted hosts, a sink that notes each report.
#include "net/upstream.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

#include "net_support.h"

namespace client_proxy::test {
namespace {

using load_balancer::Result;

constexpr Time kLongerThanTheTest = 60 * kSecond;

struct Reports : AttemptSink {
  void onAttemptEnd(AttemptId id, AttemptEnd end) override {
    EXPECT_TRUE(ends.emplace(id, std::move(end)).second) << "two reports of attempt " << id;
  }
  std::optional<std::string> onAttemptReady(AttemptId id, bool) override {
    if (begin_refused.count(id) > 0) return std::nullopt;
    return std::string(posts.count(id) > 0 ? "POST" : "GET") + " /x HTTP/1.1\r\nX-Correlation-Id: a\r\n\r\n";
  }
  bool mayComplete(AttemptId id) override { return completion_refused.count(id) == 0; }
  void onAttemptWritten(AttemptId id) override {
    EXPECT_EQ(ends.count(id), 0U) << "written after its end: " << id;
    ++written[id];
  }
  void onAttemptAnswers(AttemptId id, LongAnswer answer) override {
    EXPECT_EQ(ends.count(id), 0U) << "answered after its end: " << id;
    EXPECT_TRUE(begun.emplace(id, std::move(answer)).second);
  }
  void onHealthCheckEnd(const std::string&, bool, Time, const std::string&) override {}
  std::map<AttemptId, AttemptEnd> ends;
  std::set<AttemptId> begin_refused, completion_refused, posts;
  std::map<AttemptId, int> written;
  std::map<AttemptId, LongAnswer> begun;
};

class UpstreamTest : public ::testing::Test {
 protected:
  UpstreamTest() { up.setHost("h", host.endpoint()); }
  void start(AttemptId id) { up.start(id, "h", {nullptr, nullptr, false}); }
  bool ended(AttemptId id) {
    return loop.until([&] { return reports.ends.count(id) > 0; });
  }
  // The host's side of the newest connection, once the whole request has come.
  std::shared_ptr<Peer> asked(std::size_t connections, std::size_t requests = 1) {
    const bool come = loop.until([&] {
      if (host.peers.size() < connections) return false;
      std::size_t n = 0;
      const std::string& got = host.peers[connections - 1]->got;
      for (std::size_t at = 0; (at = got.find("\r\n\r\n", at)) != std::string::npos; ++at) ++n;
      return n >= requests;
    });
    return come ? host.peers[connections - 1] : nullptr;
  }
  static Upstream::Limits limits() {
    Upstream::Limits l;
    l.answer_whole = 200 * kMillisecond;
    l.reuse_delay = 0;  // connections are used again at once, but for the tests of the delay
    return l;
  }
  // The connection of the first request gets its answer twice; the next one is to be sent in between.
  void secondAnswerBeforeTheNextRequest(const std::string& answer) {
    setReuseDelay(kLongerThanTheTest);
    start(1);
    const auto first = asked(1);
    ASSERT_TRUE(first);
    first->say(answer);
    ASSERT_TRUE(ended(1));
    up.start(2, "h", {nullptr, nullptr, true});
    loop.turn();
    first->say(answer);
    ASSERT_TRUE(ended(2));
    EXPECT_EQ(reports.ends[2].result, Result::NotSent);
    EXPECT_EQ(first->got.find("GET"), first->got.rfind("GET")) << "sent behind the first request";
    EXPECT_EQ(up.connections(), 0U);
  }
  void setReuseDelay(Time delay) {
    Upstream::Limits changed = limits();
    changed.reuse_delay = delay;
    up.reconfigure(changed);
  }
  Loop loop;
  Host host{loop};
  Reports reports;
  Upstream up{loop.io, loop.timers, loop.descriptors, reports, limits()};
};

TEST_F(UpstreamTest, WhatIsNoAnswerToTheRequestIsSpoiltAtOnce) {
  const std::vector<std::string> texts = {
      "\x91\x81noise without end of line",
      "ICY 200 OK\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 OK 200\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
      "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx",
      "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + std::string(70'000, 'x'),
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nzz\r\n",
      "HTTP/1.1 200 OK\r\n" + std::string(40'000, 'x'),
      [] {
        std::string interims;
        for (int i = 0; i < 100; ++i) interims += "HTTP/1.1 103 Early Hints\r\n\r\n";
        return interims;
      }()};
  for (std::size_t i = 0; i < texts.size(); ++i) {
    start(i);
    const auto peer = asked(i + 1);  // each on a connection of its own: none is kept after it
    ASSERT_TRUE(peer) << i;
    const Time said = loop.clock.now();
    peer->say(texts[i]);
    ASSERT_TRUE(ended(i)) << i;
    EXPECT_EQ(reports.ends[i].result, Result::InvalidResponse) << i;
    EXPECT_TRUE(reports.ends[i].body.empty());
    EXPECT_LT(loop.clock.now() - said, 20 * kSecond) << i;
  }
}

TEST_F(UpstreamTest, AnAnswerThatHasBegunIsNotAwaitedForEver) {
  start(1);
  const auto peer = asked(1);
  ASSERT_TRUE(peer);
  peer->say("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n");
  std::function<void()> trickle = [&] {
    if (peer->ended) return;
    peer->say("x");
    loop.timers.after(10 * kMillisecond, trickle);
  };
  trickle();
  ASSERT_TRUE(ended(1));
  EXPECT_EQ(reports.ends[1].result, Result::InvalidResponse);
}

TEST_F(UpstreamTest, InterimAnswersAheadAndBytesBehindTakeNothingFromAGoodOne) {
  start(1);
  const auto peer = asked(1);
  ASSERT_TRUE(peer);
  peer->say("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answerOf("good") +
            answerOf("good"));
  ASSERT_TRUE(ended(1));
  EXPECT_EQ(reports.ends[1].result, Result::Ok);
  EXPECT_EQ(reports.ends[1].body, "good");
  EXPECT_EQ(up.connections(), 0U);
}

TEST_F(UpstreamTest, BytesThatCameBehindAnAnswerAreNotTheNextOne) {
  start(1);
  const auto first = asked(1);
  ASSERT_TRUE(first);
  first->say(answerOf("one"));
  ASSERT_TRUE(ended(1));
  ASSERT_EQ(up.connections(), 1U);
  // The copy is there before the next attempt, but the loop has not turned since.
  const int before = first->said;
  first->say(answerOf("one"));
  start(2);
  const auto second = asked(2);
  ASSERT_TRUE(second);
  EXPECT_GT(first->said, before);
  second->say(answerOf("two"));
  ASSERT_TRUE(ended(2));
  EXPECT_EQ(reports.ends[2].body, "two");
}

// Guards against a client that gets the answer to another request: the host's second copy of an answer came
// when the next request was already on the connection.
TEST_F(UpstreamTest, ASecondAnswerBeforeTheNextRequestIsNotTakenForItsAnswer) {
  secondAnswerBeforeTheNextRequest(answerOf("one"));
}

// Guards against an unsafe request that is sent again: the rejection of the request before it on its
// connection, sent twice, passed for its own.
TEST_F(UpstreamTest, ASecondRejectionBeforeTheNextRequestIsNotTakenForItsOutcome) {
  secondAnswerBeforeTheNextRequest("HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
}

TEST_F(UpstreamTest, TheNextRequestIsWrittenAfterTheReuseDelay) {
  constexpr Time kDelay = 20 * kMillisecond;
  setReuseDelay(kDelay);
  start(1);
  const auto first = asked(1);
  ASSERT_TRUE(first);
  first->say(answerOf("one"));
  ASSERT_TRUE(ended(1));
  const Time answered = loop.clock.now();
  start(2);
  ASSERT_TRUE(asked(1, 2));
  EXPECT_GE(loop.clock.now() - answered, kDelay - kMillisecond);
  EXPECT_EQ(host.peers.size(), 1U);
  first->say(answerOf("two"));
  ASSERT_TRUE(ended(2));
  EXPECT_EQ(reports.ends[2].body, "two");
}

// Guards against unsafe requests behind a second answer that is later than the delay: what a host has sent
// unasked is remembered.
TEST_F(UpstreamTest, AfterBytesThatNobodyAskedForTheUnrepeatableGoOnNewOnes) {
  for (AttemptId id = 1; id <= 2; ++id) start(id);
  ASSERT_TRUE(asked(1));
  ASSERT_TRUE(asked(2));
  for (const auto& peer : host.peers) peer->say(answerOf("x"));
  ASSERT_TRUE(ended(1));
  ASSERT_TRUE(ended(2));
  ASSERT_EQ(up.connections(), 2U);
  host.peers[0]->say(answerOf("x"));
  ASSERT_TRUE(loop.until([&] { return up.connections() == 1; }));
  up.start(3, "h", {nullptr, nullptr, true});
  EXPECT_TRUE(asked(3));
  start(4);  // what may be repeated still takes the kept one
  EXPECT_TRUE(asked(2, 2));
}

TEST_F(UpstreamTest, ARequestThatTheHostHasReadNeverPassesForOneThatNeverRan) {
  start(1);
  const auto peer = asked(1);
  ASSERT_TRUE(peer);
  peer->say(answerOf("one"));
  ASSERT_TRUE(ended(1));
  // The host ends its sending right behind the answer and reads on: whatever is written to it now may run.
  peer->endSending();
  start(2);
  loop.turn();
  const bool had_it = loop.until([&] { return reports.ends.count(2) > 0 || host.peers.size() == 2; }) &&
                      peer->got.find("GET", 3) != std::string::npos;
  if (had_it) {
    EXPECT_EQ(reports.ends[2].result, Result::Reset);
  } else {
    EXPECT_TRUE(asked(2)) << "neither written nor sent on a new connection";
  }
}

TEST_F(UpstreamTest, AfterAKeptConnectionBrokeTheUnrepeatableGoOnNewOnes) {
  const auto answer = [&](AttemptId id, std::size_t connection, std::size_t requests) {
    const auto peer = asked(connection, requests);
    if (peer) peer->say(answerOf("x"));
    return peer != nullptr && ended(id);
  };
  const auto startUnrepeatable = [&](AttemptId id) {
    reports.posts.insert(id);
    up.start(id, "h", {nullptr, nullptr, true});
  };
  start(1);
  ASSERT_TRUE(answer(1, 1, 1));
  startUnrepeatable(2);  // on the kept one, so long as those hold
  const auto peer = asked(1, 2);
  ASSERT_TRUE(peer);
  peer->close();
  ASSERT_TRUE(ended(2));
  EXPECT_EQ(reports.ends[2].result, Result::Reset);
  start(3);
  ASSERT_TRUE(answer(3, 2, 1));
  startUnrepeatable(4);
  ASSERT_TRUE(answer(4, 3, 1));
  start(5);  // what may be repeated still takes a kept one
  ASSERT_TRUE(loop.until([&] {
    std::size_t requests = 0;
    for (const auto& p : host.peers)
      requests += p->got.find("GET /x", 3) != std::string::npos ||
                  p->got.find("GET /x", p->got.find("POST") + 1) != std::string::npos;
    return requests > 0 || host.peers.size() > 3;
  }));
  EXPECT_EQ(host.peers.size(), 3U);
}

TEST_F(UpstreamTest, TheHostsOpinionOfARequestIsToldFromItsTrouble) {
  const std::vector<std::pair<std::string, Result>> answers = {
      {"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", Result::BadRequest},
      {"HTTP/1.1 429 Too Many\r\nContent-Length: 0\r\n\r\n", Result::Error},
      {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", Result::Error},
      {"HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", Result::Rejected}};
  for (std::size_t i = 0; i < answers.size(); ++i) {
    start(i);
    const auto peer = asked(1, i + 1);
    ASSERT_TRUE(peer);
    peer->say(answers[i].first);
    ASSERT_TRUE(ended(i));
    EXPECT_EQ(reports.ends[i].result, answers[i].second) << i;
  }
}

// ---- what is worth keeping ----

TEST(IdleNeed, IsWhatWasInUseAtOnceLatelyAndOneForTheNextRequest) {
  IdleNeed need;
  EXPECT_EQ(need.worthKeeping(), 1U);
  for (int i = 0; i < 5; ++i) need.onBusy();
  EXPECT_EQ(need.worthKeeping(), 0U);
  for (int i = 0; i < 4; ++i) need.onIdle();
  EXPECT_EQ(need.worthKeeping(), 4U);
  need.onIdle();
  for (int i = 0; i < 3; ++i) need.tick();
  EXPECT_EQ(need.worthKeeping(), 5U);
  need.tick();
  EXPECT_EQ(need.worthKeeping(), 1U);
  need.onIdle();  // of one that was counted elsewhere
  need.onBusy();
  EXPECT_EQ(need.worthKeeping(), 0U);
}

TEST_F(UpstreamTest, ConnectionsOfABurstAreNotKeptFromOthersForLong) {
  for (AttemptId id = 1; id <= 6; ++id) start(id);
  ASSERT_TRUE(loop.until([&] {
    return host.peers.size() == 6 &&
           std::all_of(host.peers.begin(), host.peers.end(), [](auto& p) { return p->heard("\r\n\r\n"); });
  }));
  for (const auto& p : host.peers) p->say(answerOf("x"));
  ASSERT_TRUE(loop.until([&] { return reports.ends.size() == 6; }));
  EXPECT_EQ(up.connections(), 6U);
  ASSERT_TRUE(loop.until([&] { return up.connections() == 1; }));
}

}  // namespace
}  // namespace client_proxy::test
