// Tests of the whole client proxy over loopback sockets, with scripted clients, hosts and discovery.
#include "proxy_support.h"

namespace client_proxy::test {
namespace {

TEST_F(ProxyTest, CorrelationIdOfOpenRequestIsRejectedUntilItIsDone) {
  start(json::array({entry("s-1", host.endpoint())}));
  const auto first = client(), second = client();
  first->say(request("same"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("same"); }));
  second->say(request("same"));
  ASSERT_TRUE(loop.until([&] { return second->heard("HTTP/1.1 409"); }));
  host.peers[0]->say(answerOf("hello"));
  ASSERT_TRUE(loop.until([&] { return first->heard("hello"); }));
  EXPECT_EQ(host.peers.size(), 1U);
  second->say(request("same"));  // accepted again after the first request is done
  ASSERT_TRUE(
      loop.until([&] { return host.peers[0]->got.rfind("same") != host.peers[0]->got.find("same"); }));
}

// Guards against a reservation that takes effect twice: the client repeated its key within the window, and
// after a reset the proxy sent that repeat once more when hosts no longer dropped it.
TEST_F(ProxyTest, RepeatOfAKeyIsNotRetriedAfterTheWindowOfItsFirstRequest) {
  constexpr Time kWindow = 2 * kSecond;
  start({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())}, [](Config& c) {
    for (load_balancer::RequestClass& k : c.site.settings.classes) {
      k.latency_objective = k.deadline = 20 * kSecond;
      k.deduplication_scope = load_balancer::DeduplicationScope::All;
      k.deduplication_window = kWindow;
    }
  });
  const auto reserve = [](const std::string& id) {
    return "POST /reservation/7 HTTP/1.1\r\nHost: h\r\nX-Account: acme\r\nIdempotency-Key: k\r\n"
           "X-Correlation-Id: " +
           id + "\r\nContent-Length: 2\r\n\r\nhi";
  };
  // The connections on which a host has this request.
  const auto connectionsWith = [&](const std::string& id) {
    std::vector<std::shared_ptr<Peer>> found;
    for (const Host* h : {&host, &other}) {
      for (const auto& p : h->peers) {
        if (p->heard("X-Correlation-Id: " + id)) found.push_back(p);
      }
    }
    return found;
  };
  const auto first = client(), second = client();
  const Time began = loop.clock.now();
  first->say(reserve("first"));
  ASSERT_TRUE(loop.until([&] { return connectionsWith("first").size() == 1; }));
  first->close();
  ASSERT_TRUE(loop.until([&] { return loop.clock.now() > began + kWindow / 2; }));
  second->say(reserve("second"));
  ASSERT_TRUE(loop.until([&] { return connectionsWith("second").size() == 1; }));
  ASSERT_TRUE(loop.until([&] { return loop.clock.now() > began + kWindow + 100 * kMillisecond; }));
  connectionsWith("second")[0]->close();
  ASSERT_TRUE(
      loop.until([&] { return second->heard("HTTP/1.1 503") || connectionsWith("second").size() == 2; }));
  EXPECT_EQ(connectionsWith("second").size(), 1U);
}

// Guards against a reservation that takes effect twice: the repeat of its key was long and slowly written,
// and its last bytes went to the host when hosts no longer dropped it (review case 6).
TEST_F(ProxyTest, LongRepeatOfAKeyIsNotCompletedAfterTheWindowOfItsFirstRequest) {
  constexpr Time kWindow = kSecond;
  const std::string beginning(80'000, 'x'), last_bytes = "the last bytes";
  start(json::array({entry("s-1", host.endpoint())}), [](Config& c) {
    for (load_balancer::RequestClass& k : c.site.settings.classes) {
      k.latency_objective = k.deadline = 20 * kSecond;
      k.deduplication_scope = load_balancer::DeduplicationScope::All;
      k.deduplication_window = kWindow;
    }
  });
  const auto reserve = [&](const std::string& id) {
    return "POST /reservation/7 HTTP/1.1\r\nHost: h\r\nX-Account: acme\r\nIdempotency-Key: k\r\n"
           "X-Correlation-Id: " +
           id + "\r\nContent-Length: " + std::to_string(beginning.size() + last_bytes.size()) + "\r\n\r\n";
  };
  const auto receivedWith = [&](const std::string& id) {
    std::string all;
    for (const auto& p : host.peers) {
      if (p->heard("X-Correlation-Id: " + id)) all += p->got;
    }
    return all;
  };
  const auto first = client(), second = client();
  first->say(reserve("first") + beginning + last_bytes);
  ASSERT_TRUE(loop.until([&] { return receivedWith("first").ends_with(last_bytes); }));
  const Time began = loop.clock.now();
  first->close();
  second->say(reserve("second") + beginning);
  ASSERT_TRUE(loop.until([&] { return receivedWith("second").size() > beginning.size(); }));
  ASSERT_TRUE(loop.until([&] { return loop.clock.now() > began + kWindow + 100 * kMillisecond; }));
  second->say(last_bytes);
  ASSERT_TRUE(
      loop.until([&] { return second->heard("HTTP/1.1 ") || receivedWith("second").ends_with(last_bytes); }));
  EXPECT_FALSE(receivedWith("second").ends_with(last_bytes));
  EXPECT_TRUE(second->heard("HTTP/1.1 503")) << second->got;
}

// Guards against an unsafe request that runs twice since the record of its first run was dropped for those of
// others: with the least memory of a deployment, thousands of later ones or a few with very long ids.
TEST_F(ProxyTest, AnIdIsRememberedThoughThousandsCameAfterIt) {
  start(json::array({entry("s-1", host.endpoint())}), [](Config& c) {
    c.memory_mb = 32;
    for (load_balancer::RequestClass& k : c.site.settings.classes) k.deadline = 20 * kSecond;
  });
  std::map<const Peer*, std::size_t> read;
  const auto serve = [&] {
    for (const auto& p : host.peers) {
      std::size_t& from = read[p.get()];
      for (std::size_t end = 0; (end = p->got.find("\r\n\r\n", from)) != std::string::npos; from = end + 4)
        p->say(answerOf("yes"));
    }
  };
  const auto charge = [](const std::string& id) {
    return "POST /swap-charge/7 HTTP/1.1\r\nHost: h\r\nX-Account: acme\r\nX-Correlation-Id: " + id +
           "\r\nContent-Length: 0\r\n\r\n";
  };
  const auto ask = [&](const std::vector<std::string>& ids) {
    std::vector<std::shared_ptr<Peer>> asking;
    for (const std::string& id : ids) asking.push_back(client()), asking.back()->say(charge(id));
    EXPECT_TRUE(loop.until([&] {
      serve();
      return std::all_of(asking.begin(), asking.end(), [](const auto& c) { return c->heard("HTTP/1.1 "); });
    }));
    return asking.front()->got.substr(0, 12);
  };
  EXPECT_EQ(ask({"first"}), "HTTP/1.1 200");
  for (int n = 0; n < 80; ++n) {
    std::vector<std::string> ids;
    for (int i = 0; i < 25; ++i) ids.push_back("an-id-of-usual-length-" + std::to_string(25 * n + i));
    ask(ids);
  }
  EXPECT_EQ(ask({"first"}), "HTTP/1.1 409");
  for (int n = 0; n < 20; ++n) ask({std::string(12'000, 'x') + std::to_string(n)});
  EXPECT_EQ(ask({"first"}), "HTTP/1.1 409");
  EXPECT_EQ(ask({std::string(12'000, 'x') + "0"}), "HTTP/1.1 409");
}

// Guards against work that goes to the wrong process: a host came up at the address of one that has gone, and
// connections to that one would be used for it.
TEST_F(ProxyTest, AHostAtTheAddressOfOneThatHasGoneGetsConnectionsOfItsOwn) {
  start(json::array({entry("s-1", host.endpoint())}));
  const auto watching = watch(discovery);
  ASSERT_TRUE(watching);
  const auto c = client();
  c->say(request("a"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("Id: a"); }));
  host.peers[0]->say(answerOf("one"));
  ASSERT_TRUE(loop.until([&] { return c->heard("one"); }));
  watching->say(kWatch + line(5, true, json::array({entry("s-2", host.endpoint())})));
  ASSERT_TRUE(loop.until([&] { return host.peers[0]->ended; }));
  c->say(request("b"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 2 && host.peers[1]->heard("Id: b"); }));
}

TEST_F(ProxyTest, BadRequestResponseFailsWithoutRetry) {
  start({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())});
  const auto c = client();
  c->say(request("a"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() + other.peers.size() == 1; }));
  const auto first = host.peers.empty() ? other.peers[0] : host.peers[0];
  first->say("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return c->heard("HTTP/1.1 5"); }));
  EXPECT_TRUE(c->heard("HTTP/1.1 502"));
  EXPECT_EQ(host.peers.size() + other.peers.size(), 1U);
}

TEST_F(ProxyTest, InvalidResponseIsRetriedOnAnotherHostOnlyIfRequestIsIdempotent) {
  start({entry("s-1", host.endpoint()), entry("s-2", other.endpoint())});
  const auto c = client();
  c->say(request("a"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() + other.peers.size() == 1; }));
  const bool at_host = !host.peers.empty();
  (at_host ? host : other).peers[0]->say("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx");
  Host& next = at_host ? other : host;
  ASSERT_TRUE(loop.until([&] { return next.peers.size() == 1; }));
  next.peers[0]->say(answerOf("good"));
  ASSERT_TRUE(loop.until([&] { return c->heard("good"); }));
  const std::size_t before = host.peers.size() + other.peers.size();
  c->say(
      "POST /swap-charge/7 HTTP/1.1\r\nHost: h\r\nX-Account: acme\r\nX-Correlation-Id: b\r\nContent-Length: "
      "2\r\n\r\nhi");
  const auto connection = [&]() -> std::shared_ptr<Peer> {
    for (Host* h : {&host, &other}) {
      for (const auto& p : h->peers) {
        if (p->heard("swap-charge")) return p;
      }
    }
    return nullptr;
  };
  ASSERT_TRUE(loop.until([&] { return connection() != nullptr; }));
  connection()->say("noise");
  ASSERT_TRUE(loop.until([&] { return c->heard("HTTP/1.1 502"); }));
  EXPECT_LE(host.peers.size() + other.peers.size(), before + 1);
}

TEST_F(ProxyTest, NewDiscoveryEndpointIsQueriedFromRevisionZeroAndReplacesTheOldWatch) {
  start(json::array({entry("s-1", host.endpoint())}));
  const auto old_watch = watch(discovery);
  ASSERT_TRUE(old_watch);
  old_watch->say(kWatch + line(500, true, json::array({entry("s-1", host.endpoint())})));
  file->doc["discovery"] = textOf(moved.endpoint());
  file->write(file->doc.dump());
  proxy->reload(rereadConfig(file->environment()));
  const auto new_watch = watch(moved);
  ASSERT_TRUE(new_watch);
  EXPECT_TRUE(new_watch->heard("from=0 "));
  EXPECT_FALSE(old_watch->ended);  // until the first list of the new watch
  new_watch->say(kWatch + line(3, true, json::array({entry("s-2", other.endpoint())})));
  ASSERT_TRUE(loop.until([&] { return old_watch->ended; }));
  const auto c = client();
  c->say(request("a"));
  ASSERT_TRUE(loop.until([&] { return other.peers.size() == 1; }));
  EXPECT_TRUE(host.peers.empty());
}

// Changes during a silent watch are held against the proxy 6 s after the silence began, so the watch has to
// be restarted before that.
TEST_F(ProxyTest, SilentWatchIsRestartedWithinSixSecondsFromLastRevision) {
  start(json::array({entry("s-1", host.endpoint())}));
  const auto first = watch(discovery);
  ASSERT_TRUE(first);
  first->say(kWatch + line(500, true, json::array({entry("s-1", host.endpoint())})));
  const Time silence_began = loop.clock.now();
  ASSERT_TRUE(
      loop.until([&] { return discovery.peers.size() == 2 && discovery.peers[1]->heard("\r\n\r\n"); }));
  EXPECT_LT(loop.clock.now() - silence_began, 6 * kSecond);
  EXPECT_TRUE(discovery.peers[1]->heard("from=500 ")) << "expected a restart from the last revision";
  discovery.peers[1]->say(
      kWatch + line(501, false,
                    json::array({entry("s-1", host.endpoint(), "leaving"), entry("s-2", other.endpoint())})));
  const auto c = client();
  ASSERT_TRUE(loop.until([&] {
    if (other.peers.empty()) c->say(request("r" + std::to_string(loop.clock.now())));
    return !other.peers.empty();
  }));
}

TEST_F(ProxyTest, InvalidListEntriesDoNotAffectValidOnes) {
  start(json::array({entry("s-1", host.endpoint())}));
  const auto w = watch(discovery);
  ASSERT_TRUE(w);
  const json bad_endpoint = {{"uid", "s-1"}, {"endpoint", "nowhere"}, {"state", "active"}};
  const json bad_uid = {{"uid", 7}};
  w->say(kWatch + line(2, true, json::array({bad_endpoint, bad_uid, "?", entry("s-2", other.endpoint())})));
  // s-2 was added and s-1 kept: of two concurrent requests, each host gets one.
  const auto one = client(), two = client();
  ASSERT_TRUE(loop.until([&] { return proxy->upstream().knows("s-2"); }));
  EXPECT_TRUE(proxy->upstream().knows("s-1"));
  one->say(request("a"));
  two->say(request("b"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && other.peers.size() == 1; }));
  EXPECT_FALSE(w->ended);
}

TEST_F(ProxyTest, LastStartedHostReplacesOthersAtItsEndpoint) {
  start(json::array({entry("s-1", host.endpoint())}));
  const auto w = watch(discovery);
  ASSERT_TRUE(w);
  const auto c = client();
  c->say(request("a"));
  ASSERT_TRUE(loop.until([&] { return host.peers.size() == 1 && host.peers[0]->heard("\r\n\r\n"); }));
  host.peers[0]->say(answerOf("hello"));
  ASSERT_TRUE(loop.until([&] { return c->heard("hello"); }));
  json replacement = entry("s-2", host.endpoint());
  replacement["boot_ms"] = loop.clock.now() / 1000;
  w->say(kWatch + line(2, false, json::array({replacement})));
  ASSERT_TRUE(loop.until([&] { return proxy->upstream().knows("s-2"); }));
  EXPECT_FALSE(proxy->upstream().knows("s-1"));
  // A later update of the replaced host does not restore it.
  w->say(line(3, false,
              json::array({entry("s-1", host.endpoint(), "leaving"), entry("s-3", other.endpoint())})));
  ASSERT_TRUE(loop.until([&] { return proxy->upstream().knows("s-3"); }));
  EXPECT_FALSE(proxy->upstream().knows("s-1"));
  EXPECT_TRUE(proxy->upstream().knows("s-2"));
}

// The request forms of RFC 9112: which are accepted, and the request line that the host receives.
TEST_F(ProxyTest, RequestFormsAreForwardedOrRejectedPerRfc9112) {
  start(json::array({entry("s-1", host.endpoint())}));
  int n = 0;
  const auto request_line_or_status = [&](const std::string& line, const std::string& fields) {
    const auto c = client();
    c->say(line + "\r\nX-Account: acme\r\nX-Correlation-Id: f" + std::to_string(n++) + "\r\n" + fields);
    const std::size_t before = host.peers.empty() ? 0 : host.peers[0]->got.size();
    EXPECT_TRUE(loop.until([&] {
      return c->heard("HTTP/1.1 ") || (!host.peers.empty() && host.peers[0]->got.size() > before &&
                                       host.peers[0]->got.find("\r\n\r\n", before) != std::string::npos);
    })) << line;
    if (c->heard("HTTP/1.1 ")) return c->got.substr(9, 3);
    const std::string got = host.peers[0]->got.substr(before);
    host.peers[0]->say(answerOf("x"));
    EXPECT_TRUE(loop.until([&] { return c->heard("200"); }));
    return got.substr(0, got.find("\r\n"));
  };
  const std::string h = "Host: h\r\n\r\n";
  EXPECT_EQ(request_line_or_status("GET /slot-status/7 HTTP/1.1", h), "GET /slot-status/7 HTTP/1.1");
  EXPECT_EQ(request_line_or_status("GET http://h/slot-status/7?a=b HTTP/1.1", h),
            "GET /slot-status/7?a=b HTTP/1.1");
  EXPECT_EQ(request_line_or_status("GET HTTP://h:80/slot-status/7 HTTP/1.1", h),
            "GET /slot-status/7 HTTP/1.1");
  EXPECT_EQ(request_line_or_status("GET http://h HTTP/1.1", h), "404");
  EXPECT_EQ(request_line_or_status("GET http://h?x HTTP/1.1", h), "404");
  EXPECT_EQ(request_line_or_status("GET httpx://h/slot-status/7 HTTP/1.1", h), "404");
  EXPECT_EQ(request_line_or_status("GET /slot-status/7 HTTP/1.1", "\r\n"), "400");  // no Host
  EXPECT_EQ(request_line_or_status("GET /slot-status/7 HTTP/1.0", "\r\n"), "GET /slot-status/7 HTTP/1.1");
  EXPECT_EQ(request_line_or_status("GET /slot-status/7 HTTP/1.1", "Host: h\r\nHost: i\r\n\r\n"), "400");
  EXPECT_EQ(request_line_or_status("GET /slot-status/7 HTTP/2.0", h), "400");
  EXPECT_EQ(request_line_or_status("HEAD /slot-status/7 HTTP/1.1", h), "405");
  EXPECT_EQ(request_line_or_status("OPTIONS * HTTP/1.1", h), "404");
  EXPECT_EQ(request_line_or_status("POST /swap-charge/7 HTTP/1.1", "Content-Length: 0\r\n" + h),
            "POST /swap-charge/7 HTTP/1.1");
  EXPECT_EQ(
      request_line_or_status("POST /swap-charge/7 HTTP/1.1", "Transfer-Encoding: gzip, chunked\r\n" + h),
      "400");
  EXPECT_EQ(request_line_or_status("POST /swap-charge/7 HTTP/1.1",
                                   "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" + h),
            "400");
  EXPECT_EQ(request_line_or_status("POST /swap-charge/7 HTTP/1.1", "Content-Length: 3, 4\r\n" + h), "400");
  EXPECT_EQ(request_line_or_status("POST /swap-charge/7 HTTP/1.1", "Content-Length: -3\r\n" + h), "400");
}

TEST(Program, SighupKeepsOldConfigurationIfNewOneIsInvalidAndAppliesValidOne) {
  Loop loop;
  Host host(loop), discovery(loop), moved(loop);
  ConfigFile file(json::array({entry("s-1", host.endpoint())}), discovery.endpoint());
  const tcp::endpoint listen = freePort(loop);
  file.doc["listen"] = textOf(listen);
  file.write(file.doc.dump());
  Program program(file);
  // The signal handlers are installed before the watch on discovery is opened.
  ASSERT_TRUE(loop.until([&] { return discovery.peers.size() == 1; }));
  file.write("{\"discovery\":");
  program.signal(SIGHUP);
  const auto c = Peer::connect(loop, listen);
  c->say("GET /healthz HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return c->heard("200") || c->ended; }));
  EXPECT_TRUE(c->heard("200"));
  EXPECT_TRUE(moved.peers.empty());
  file.doc["discovery"] = textOf(moved.endpoint());
  file.write(file.doc.dump());
  program.signal(SIGHUP);
  ASSERT_TRUE(loop.until([&] { return moved.peers.size() == 1 && moved.peers[0]->heard("from=0 "); }));
  EXPECT_TRUE(program.runs());
}

}  // namespace
}  // namespace client_proxy::test
