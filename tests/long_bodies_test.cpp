// Bodies beyond what is held, through the whole proxy: both ways, in pieces, at unlike speeds, broken off.
#include "proxy_support.h"

namespace client_proxy::test {
namespace {

class LongBodies : public ProxyTest {
 protected:
  static constexpr std::size_t kLong = 1024 * 1024 + 13;

  static std::string bytes(std::size_t n) {
    std::string text(n, 'x');
    for (std::size_t i = 0; i < n; ++i) text[i] = static_cast<char>('a' + (i * 7 + i / 251) % 26);
    return text;
  }
  static std::string post(const std::string& id, const std::string& framing) {
    return "POST /swap-charge/7 HTTP/1.1\r\nHost: h\r\nX-Account: acme\r\nX-Correlation-Id: " + id + "\r\n" +
           framing + "\r\n";
  }
  static std::string chunked(const std::string& body, std::size_t piece) {
    std::string out;
    for (std::size_t at = 0; at < body.size(); at += piece) {
      const std::string part = body.substr(at, piece);
      char size[40];
      std::snprintf(size, sizeof size, "%zx;ext=\"a b\"\r\n", part.size());
      out += size + part + "\r\n";
    }
    return out + "0\r\nX-Trailer: 1\r\nX-Correlation-Id: other\r\n\r\n";
  }
  // The body of a chunked message that is whole; nothing otherwise.
  static std::optional<std::string> unchunked(const std::string& text) {
    std::string out;
    std::size_t at = 0;
    for (;;) {
      const std::size_t end = text.find("\r\n", at);
      if (end == std::string::npos) return std::nullopt;
      const std::size_t size = std::stoul(text.substr(at, end - at), nullptr, 16);
      if (text.size() < end + 2 + size + 2) return std::nullopt;
      if (size == 0) return out;
      out += text.substr(end + 2, size);
      at = end + 2 + size + 2;
    }
  }
  static std::string bodyOf(const std::string& message) {
    const std::size_t end = message.find("\r\n\r\n");
    return end == std::string::npos ? std::string() : message.substr(end + 4);
  }
  bool counted(const std::string& ending, int n, const std::string& of = "slot-status") const {
    return proxy->stats().find("app_" + ending + "{type=\"" + of + "\"} " + std::to_string(n) + "\n") !=
           std::string::npos;
  }
  void startWithOne() { start(json::array({entry("s-1", host.endpoint())})); }
  std::shared_ptr<Peer> asked(Host& at) {
    const bool come = loop.until([&] { return !at.peers.empty() && at.peers.back()->heard("\r\n\r\n"); });
    return come ? at.peers.back() : nullptr;
  }
};

TEST_F(LongBodies, ALongRequestGoesOnUnchangedWhateverItsFraming) {
  startWithOne();
  const std::string body = bytes(kLong);
  const auto whole = client();
  whole->say(post("a", "Content-Length: " + std::to_string(body.size()) + "\r\n") + body);
  ASSERT_TRUE(
      loop.until([&] { return !host.peers.empty() && bodyOf(host.peers[0]->got).size() == body.size(); }));
  EXPECT_TRUE(host.peers[0]->heard("Content-Length: " + std::to_string(body.size())));
  EXPECT_EQ(bodyOf(host.peers[0]->got), body);
  host.peers[0]->say(answerOf("one"));
  ASSERT_TRUE(loop.until([&] { return whole->heard("one"); }));
  host.peers[0]->got.clear();

  whole->say(post("b", "Transfer-Encoding: chunked\r\n") + chunked(body, 10'007));
  ASSERT_TRUE(loop.until([&] { return unchunked(bodyOf(host.peers[0]->got)).has_value(); }));
  EXPECT_EQ(unchunked(bodyOf(host.peers[0]->got)), body);
  EXPECT_TRUE(host.peers[0]->heard("X-Correlation-Id: b\r\n"));
  EXPECT_FALSE(host.peers[0]->heard("other"));
  host.peers[0]->say(answerOf("two"));
  ASSERT_TRUE(loop.until([&] { return whole->heard("two"); }));
  EXPECT_EQ(host.peers.size(), 1U);  // both connections were of use for more
  EXPECT_FALSE(whole->ended);
}

TEST_F(LongBodies, ALongAnswerGoesOnUnchangedWhateverItsFraming) {
  startWithOne();
  const std::string body = bytes(kLong);
  const auto c = client();
  c->say(request("a"));
  ASSERT_TRUE(asked(host));
  host.peers[0]->say(answerOf(body));
  ASSERT_TRUE(loop.until([&] { return bodyOf(c->got).size() == body.size(); }));
  EXPECT_EQ(bodyOf(c->got), body);
  EXPECT_TRUE(c->heard("Content-Length: " + std::to_string(body.size())));
  c->got.clear();
  host.peers[0]->got.clear();

  c->say(request("b"));
  ASSERT_TRUE(asked(host));
  host.peers[0]->say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, 70'001));
  ASSERT_TRUE(loop.until([&] { return unchunked(bodyOf(c->got)).has_value(); }));
  EXPECT_EQ(unchunked(bodyOf(c->got)), body);
  EXPECT_EQ(host.peers.size(), 1U);
  c->got.clear();
  host.peers[0]->got.clear();

  c->say(request("d"));
  ASSERT_TRUE(asked(host));
  host.peers[0]->say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body);
  ASSERT_TRUE(loop.until([&] { return host.peers[0]->said == 3; }));
  host.peers[0]->close();
  ASSERT_TRUE(loop.until([&] { return unchunked(bodyOf(c->got)).has_value(); }));
  EXPECT_EQ(unchunked(bodyOf(c->got)), body);
}

TEST_F(LongBodies, AnOldClientGetsALongAnswerOfUnknownLengthUpToTheConnectionsEnd) {
  startWithOne();
  const std::string body = bytes(200'000);
  const auto c = client();
  c->say("GET /slot-status/7 HTTP/1.0\r\nHost: h\r\nX-Account: acme\r\nX-Correlation-Id: a\r\n\r\n");
  ASSERT_TRUE(asked(host));
  host.peers[0]->say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, 50'000));
  ASSERT_TRUE(loop.until([&] { return c->ended; }));
  EXPECT_FALSE(c->reset);
  EXPECT_EQ(bodyOf(c->got), body);
  EXPECT_FALSE(c->heard("chunked"));
}

TEST_F(LongBodies, TheFirstBytesOfALongAnswerDoNotWaitForTheRest) {
  startWithOne();
  const auto c = client();
  c->say(request("a"));
  ASSERT_TRUE(asked(host));
  host.peers[0]->say("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst");
  ASSERT_TRUE(loop.until([&] { return c->heard("first"); }));
  host.peers[0]->say(std::string(99'995, 'x'));
  ASSERT_TRUE(loop.until([&] { return bodyOf(c->got).size() == 100'000; }));
}

TEST_F(LongBodies, AnAnswerThatBreaksOffIsNoWholeOneForTheClient) {
  for (const char* framing : {"Content-Length: 500000\r\n", "Transfer-Encoding: chunked\r\n"}) {
    if (!proxy) startWithOne();
    const auto c = client();
    c->say(request(std::string("a") + framing[0]));
    ASSERT_TRUE(loop.until(
        [&] { return !host.peers.empty() && host.peers.back()->heard(std::string("Id: a") + framing[0]); }));
    const std::string part = bytes(100'000);
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    host.peers.back()->say(std::string("HTTP/1.1 200 OK\r\n") + framing + "\r\n" +
                           (framing[0] == 'T' ? size + part + "\r\n" : part));
    ASSERT_TRUE(loop.until([&] { return bodyOf(c->got).size() >= 100'000; }));
    host.peers.back()->close();
    ASSERT_TRUE(loop.until([&] { return c->ended; }));
    EXPECT_LT(bodyOf(c->got).size(), 500'000U);
    EXPECT_EQ(c->got.find("\r\n0\r\n"), std::string::npos);
  }
  EXPECT_EQ(host.peers.size(), 2U) << "never asked again";
  EXPECT_TRUE(counted("error", 2)) << proxy->stats();
  EXPECT_TRUE(counted("success", 0)) << proxy->stats();
  EXPECT_NE(proxy->admissionReport().find("\"answer_cut\": 2"), std::string::npos);
}

// It counts when it is with the client's machine, not when it begins.
TEST_F(LongBodies, ALongAnswerIsASuccessWhenAllOfItIsWritten) {
  startWithOne();
  const auto c = client();
  c->say(request("a"));
  ASSERT_TRUE(asked(host));
  host.peers[0]->say("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst");
  ASSERT_TRUE(loop.until([&] { return c->heard("first"); }));
  EXPECT_TRUE(counted("success", 0)) << proxy->stats();
  host.peers[0]->say(std::string(99'995, 'x'));
  ASSERT_TRUE(loop.until([&] { return bodyOf(c->got).size() == 100'000; }));
  ASSERT_TRUE(loop.until([&] { return counted("success", 1); })) << proxy->stats();
  EXPECT_TRUE(counted("error", 0)) << proxy->stats();
}

// An answer of up to 64 KiB that is being written when its attempt's time is up: the aim is 200 ms, the
// deadline 2.5 s, and a host that gives 32 KiB a second keeps its pace.
class SlowAnswers : public LongBodies {
 protected:
  // One whose head and first bytes come at once; its connection.
  std::shared_ptr<Peer> begin(const std::string& more = "") {
    start(json::array({entry("s-1", host.endpoint())}), [](Config& config) {
      for (load_balancer::RequestClass& k : config.site.settings.classes) {
        k.latency_objective = 200 * kMillisecond;
        k.late_weight = 0;
      }
      config.own.answer = kSecond;  // it may stand still for
    });
    c = client();
    c->say(post("a", "Content-Length: 0\r\n" + more));
    if (!asked(host)) return nullptr;
    began = loop.clock.now();
    host.peers[0]->say("HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n" + bytes(20'000));
    return host.peers[0];
  }
  Time passed() const { return loop.clock.now() - began; }
  std::shared_ptr<Peer> c;
  Time began = 0;
};

TEST_F(SlowAnswers, OneThatKeepsItsPaceIsNotGivenUpAtItsAim) {
  const auto writer = begin();
  ASSERT_TRUE(writer);
  ASSERT_TRUE(loop.until([&] { return passed() > 400 * kMillisecond; }));
  EXPECT_EQ(c->got, "");
  EXPECT_FALSE(writer->ended);
  writer->say(bytes(40'000).substr(20'000));
  ASSERT_TRUE(loop.until([&] { return c->heard("\r\n\r\n"); }));
  EXPECT_TRUE(c->heard("HTTP/1.1 200")) << c->got.substr(0, 40);
  ASSERT_TRUE(loop.until([&] { return bodyOf(c->got).size() == 40'000; }));
  EXPECT_EQ(bodyOf(c->got), bytes(40'000));
}

TEST_F(SlowAnswers, OneThatStandsStillIsGivenUpBeforeTheDeadline) {
  const auto writer = begin();
  ASSERT_TRUE(writer);
  ASSERT_TRUE(loop.until([&] { return c->heard("\r\n\r\n"); }));
  EXPECT_TRUE(c->heard("HTTP/1.1 502")) << c->got.substr(0, 40);
  EXPECT_LT(passed(), 2 * kSecond);
}

TEST_F(SlowAnswers, NoneIsHeldBeyondTheClientsTime) {
  const auto writer = begin("X-Time-Left: 0.400\r\n");
  ASSERT_TRUE(writer);
  ASSERT_TRUE(loop.until([&] { return c->heard("\r\n\r\n"); }));
  EXPECT_TRUE(c->heard("HTTP/1.1 504")) << c->got.substr(0, 40);
  EXPECT_GE(passed(), 390 * kMillisecond);
  ASSERT_TRUE(loop.until([&] { return writer->ended; }));
}

TEST_F(LongBodies, AClientThatGoesStopsTheHost) {
  startWithOne();
  const auto c = client();
  c->say(request("a"));
  ASSERT_TRUE(asked(host));
  host.peers[0]->say("HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n" + bytes(200'000));
  ASSERT_TRUE(loop.until([&] { return bodyOf(c->got).size() > 100'000; }));
  c->close();
  ASSERT_TRUE(loop.until([&] { return host.peers[0]->ended; }));
  ASSERT_TRUE(loop.until([&] { return proxy->openRequests() == 0; }));

  const auto half = client();
  half->say(post("b", "Content-Length: 300000\r\n") + bytes(100'000));
  ASSERT_TRUE(
      loop.until([&] { return host.peers.size() == 2 && bodyOf(host.peers[1]->got).size() > 50'000; }));
  half->close();
  ASSERT_TRUE(loop.until([&] { return host.peers[1]->ended; }));
  ASSERT_TRUE(loop.until([&] { return proxy->openRequests() == 0; }));
}

// Nothing of it can have run, and what has been sent is not held any more.
TEST_F(LongBodies, AHostThatBreaksOffALongUploadIsNotAskedAgainAndTheRequestIsRefused) {
  start({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())});
  const auto c = client();
  c->say(post("a", "Content-Length: 900000\r\n") + bytes(300'000));
  ASSERT_TRUE(loop.until([&] {
    return host.peers.size() + other.peers.size() == 1 &&
           bodyOf((host.peers.empty() ? other : host).peers[0]->got).size() == 300'000;
  }));
  (host.peers.empty() ? other : host).peers[0]->close();
  ASSERT_TRUE(loop.until([&] { return c->ended; }));
  EXPECT_TRUE(c->heard("HTTP/1.1 503"));
  EXPECT_EQ(host.peers.size() + other.peers.size(), 1U);
}

// Before that it can be sent elsewhere.
TEST_F(LongBodies, ALongUploadThatNobodyHasBegunToTakeGoesToAnotherHost) {
  tcp::acceptor closed(loop.io, anyPort());
  const tcp::endpoint nobody = closed.local_endpoint();
  closed.close();
  start({entry("s-1", nobody), entry("s-2", other.endpoint())});
  const std::string body = bytes(200'000);
  for (int n = 0; n < 3; ++n) {
    const auto c = client();
    c->say(post("a" + std::to_string(n), "Content-Length: 200000\r\n") + body);
    ASSERT_TRUE(loop.until(
        [&] { return !other.peers.empty() && bodyOf(other.peers.back()->got).size() == body.size(); }));
    EXPECT_EQ(bodyOf(other.peers.back()->got), body);
    other.peers.back()->got.clear();
    other.peers.back()->say(answerOf("yes"));
    ASSERT_TRUE(loop.until([&] { return c->heard("yes"); }));
  }
}

TEST_F(LongBodies, AHostMayRefuseBeforeItHasAllAndTheClientHearsOfIt) {
  startWithOne();
  const auto c = client();
  c->say(post("a", "Content-Length: 900000\r\n") + bytes(200'000));
  ASSERT_TRUE(loop.until([&] { return !host.peers.empty() && bodyOf(host.peers[0]->got).size() > 50'000; }));
  host.peers[0]->say("HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return c->heard("HTTP/1.1 503"); }));
  EXPECT_EQ(host.peers.size(), 1U);
}

TEST_F(LongBodies, WhatIsLongerThanAnythingIsRefusedOrSpoilt) {
  startWithOne();
  const auto c = client();
  c->say(post("a", "Content-Length: 63000000\r\n") + "begin");
  ASSERT_TRUE(loop.until([&] { return c->heard("HTTP/1.1 413"); }));
  EXPECT_TRUE(host.peers.empty());
  const auto d = client();
  d->say(post("b", "Content-Length: 0\r\n"));
  ASSERT_TRUE(asked(host));
  host.peers[0]->say("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx");
  ASSERT_TRUE(loop.until([&] { return d->heard("HTTP/1.1 502"); }));
}

TEST_F(LongBodies, ABrokenChunkInALongUploadIsA400AndTheHostNeverGetsItWhole) {
  startWithOne();
  const auto c = client();
  std::string body = chunked(bytes(200'000), 50'000);
  body.resize(body.size() / 2);
  c->say(post("a", "Transfer-Encoding: chunked\r\n") + body.substr(0, 120'000));
  ASSERT_TRUE(loop.until([&] { return !host.peers.empty() && bodyOf(host.peers[0]->got).size() > 50'000; }));
  const auto d = client();
  d->say(post("b", "Transfer-Encoding: chunked\r\n") + "11170\r\n" + bytes(70'000) + "\r\nzz\r\n");
  ASSERT_TRUE(loop.until([&] { return d->heard("HTTP/1.1 400"); }));
  for (const auto& p : host.peers) EXPECT_FALSE(unchunked(bodyOf(p->got)).has_value());
}

// Hundreds of half-taken answers hold windows, not bodies.
TEST_F(LongBodies, AClientThatTakesNothingHoldsAWindowNotTheBody) {
  startWithOne();
  tcp::socket slow(loop.io);
  slow.connect(proxy->localEndpoint());
  slow.set_option(asio::socket_base::receive_buffer_size(256 * 1024));
  asio::write(slow, asio::buffer(request("a")));
  ASSERT_TRUE(asked(host));
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n";
  host.peers[0]->say(head + bytes(30'000'000));
  ASSERT_TRUE(loop.until([&] { return slow.available() > 0; }));
  for (int n = 0; n < 50; ++n) loop.turn();
  EXPECT_EQ(host.peers[0]->said, 0) << "all of it was taken";
  const auto reader = std::make_shared<Peer>(std::move(slow));
  reader->listen();
  ASSERT_TRUE(loop.until([&] { return reader->got.size() > 30'000'000; }))
      << reader->got.size() << reader->ended;
  EXPECT_EQ(bodyOf(reader->got), bytes(30'000'000));
}

// A long answer that its host writes slowly: the head and `first` bytes at once, the rest in two lumps.
class SlowLongAnswers : public LongBodies {
 protected:
  enum class Framing { Length, Chunked, Close };
  static constexpr Time kPause = 400 * kMillisecond;  // longer than an answer that is held may stand still
  static constexpr std::size_t kLump = 20'000;

  static std::string headOf(Framing framing, std::size_t length) {
    const std::string field = framing == Framing::Length    ? "Content-Length: " + std::to_string(length)
                              : framing == Framing::Chunked ? "Transfer-Encoding: chunked"
                                                            : "Connection: close";
    return "HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n";
  }
  static std::string framed(Framing framing, const std::string& part) {
    if (framing != Framing::Chunked) return part;
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", part.size());
    return size + part + "\r\n";
  }
  void pause() {
    const Time until = loop.clock.now() + kPause;
    ASSERT_TRUE(loop.until([&] { return loop.clock.now() > until; }));
  }
  void write(Peer& host_side, Framing framing, const std::string& body, std::size_t first) {
    host_side.say(headOf(framing, body.size()));
    if (first > 0) host_side.say(framed(framing, body.substr(0, first)));
    pause();
    host_side.say(framed(framing, body.substr(first, kLump)));
    pause();
    host_side.say(framed(framing, body.substr(first + kLump)) +
                  (framing == Framing::Chunked ? "0\r\n\r\n" : ""));
    if (framing != Framing::Close) return;
    const int all = first > 0 ? 4 : 3;
    ASSERT_TRUE(loop.until([&] { return host_side.said + host_side.failed == all; }));
    host_side.close();
  }
  // Whole, also where the proxy had to use chunks.
  static bool isWhole(const Peer& c, const std::string& body) {
    return bodyOf(c.got) == body || unchunked(bodyOf(c.got)) == body;
  }
  void expectPassedOnWhole(Framing framing, std::size_t first) {
    startWithOne();
    const std::string body = bytes(150'000);
    const auto c = client();
    c->say(request("a", "X-Time-Left: 2.000\r\n"));
    ASSERT_TRUE(asked(host));
    write(*host.peers.back(), framing, body, first);
    ASSERT_TRUE(loop.until([&] { return isWhole(*c, body) || c->ended; }));
    EXPECT_TRUE(isWhole(*c, body)) << c->got.substr(0, 40);
    EXPECT_EQ(host.peers.size(), 1U) << "asked again";
  }
};

// Guard against long answers that are cut off while their host still writes them.
TEST_F(SlowLongAnswers, OneWithALengthWhoseBodyIsLateIsPassedOn) { expectPassedOnWhole(Framing::Length, 0); }
TEST_F(SlowLongAnswers, OneInChunksWhoseBodyIsLateIsPassedOn) { expectPassedOnWhole(Framing::Chunked, 0); }
TEST_F(SlowLongAnswers, OneUpToTheCloseWhoseBodyIsLateIsPassedOn) { expectPassedOnWhole(Framing::Close, 0); }
TEST_F(SlowLongAnswers, OneWithALengthThatComesInLumpsIsPassedOn) {
  expectPassedOnWhole(Framing::Length, kLump);
}
TEST_F(SlowLongAnswers, OneInChunksThatComesInLumpsIsPassedOn) {
  expectPassedOnWhole(Framing::Chunked, kLump);
}
TEST_F(SlowLongAnswers, OneUpToTheCloseThatComesInLumpsIsPassedOn) {
  expectPassedOnWhole(Framing::Close, kLump);
}

// A host that takes nothing of a request beyond its buffers, or a little now and then.
class SlowHosts : public LongBodies {
 protected:
  // `taken`: bytes every 100 ms.
  void startHost(std::size_t taken) {
    acceptor.open(tcp::v4());
    acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    acceptor.bind(anyPort());
    acceptor.listen(16);
    acceptor.async_accept([this, taken](error_code ec, tcp::socket socket) {
      if (ec) return;
      accepted.emplace(std::move(socket));
      accepted->non_blocking(true);
      take(taken);
    });
    start(json::array({entry("s-1", acceptor.local_endpoint())}));
  }
  void take(std::size_t bytes) {
    if (bytes == 0) return;
    loop.timers.after(100 * kMillisecond, [this, bytes] {
      std::string room(bytes, ' ');
      error_code ec;
      accepted->read_some(asio::buffer(room), ec);
      take(bytes);
    });
  }
  // The client writes all of it at once, and waits a second.
  void expectAnAnswerInTime() {
    const auto c = client();
    constexpr std::size_t kMoreThanTheSystemTakes = 4'000'000;  // on the way to the host
    const std::string body = bytes(kMoreThanTheSystemTakes);
    c->say(post("a", "X-Time-Left: 1.000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n") + body);
    ASSERT_TRUE(loop.until([&] { return c->said == 1; }));
    const Time sent = loop.clock.now();
    ASSERT_TRUE(loop.until([&] { return c->heard("HTTP/1.1 "); }));
    EXPECT_LE(loop.clock.now() - sent, 1'500 * kMillisecond) << c->got.substr(0, 40);
    ASSERT_TRUE(loop.until([&] { return proxy->openRequests() == 0; }));
  }
  tcp::acceptor acceptor{loop.io};
  std::optional<tcp::socket> accepted;
};

// Guards against a final answer that comes seconds after its time since the host stopped reading the request,
// and the proxy its client's last bytes.
TEST_F(SlowHosts, ALongRequestThatItsHostStopsReadingIsAnsweredInItsClientsTime) {
  startHost(0);
  expectAnAnswerInTime();
}

TEST_F(SlowHosts, ALongRequestThatItsHostReadsSlowlyIsAnsweredInItsClientsTime) {
  startHost(8 * 1024);
  expectAnAnswerInTime();
}

}  // namespace
}  // namespace client_proxy::test
