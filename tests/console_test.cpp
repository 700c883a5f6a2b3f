// The calls of staff: what they mean, and the server that takes them.
#include "console/console_server.h"
#include "net_support.h"

namespace client_proxy::console {
namespace {

using namespace client_proxy::test;

TEST(ConsoleCalls, EachPathAndMethodMeansOneCallOrOneFault) {
  struct Case {
    const char* method;
    const char* target;
    Call call;
    int status;
    const char* host;
  };
  const std::vector<Case> cases = {
      {"GET", "/healthcheck", Call::Healthcheck, 200, ""},
      {"HEAD", "/healthcheck", Call::Healthcheck, 200, ""},
      {"GET", "/healthcheck?x=1", Call::Healthcheck, 200, ""},
      {"POST", "/healthcheck", Call::None, 405, ""},
      {"GET", "/stats", Call::Stats, 200, ""},
      {"PUT", "/stats", Call::None, 405, ""},
      {"POST", "/healthcheck/fail", Call::Fail, 200, ""},
      {"GET", "/healthcheck/fail", Call::None, 405, ""},
      {"POST", "/healthcheck/ok", Call::Ok, 200, ""},
      {"POST", "/hosts/s-1/maint", Call::Maint, 200, "s-1"},
      {"POST", "/hosts/s-1/ready", Call::Ready, 200, "s-1"},
      {"GET", "/hosts/s-1/ready", Call::None, 405, ""},
      {"POST", "/hosts/a%2Fb%20c/maint", Call::Maint, 200, "a/b c"},
      {"POST", "/hosts/a/b/maint", Call::Maint, 200, "a/b"},
      {"POST", "/hosts/s-1%0", Call::None, 404, ""},
      {"POST", "/hosts/s%zz/maint", Call::None, 400, ""},
      {"POST", "/hosts/s%4/maint", Call::None, 400, ""},
      {"POST", "/hosts/s%00/maint", Call::None, 400, ""},
      {"POST", "/hosts//maint", Call::None, 404, ""},
      {"POST", "/hosts/maint", Call::None, 404, ""},
      {"POST", "/hosts/s-1/explode", Call::None, 404, ""},
      {"GET", "no-slash", Call::None, 400, ""},
      {"GET", "", Call::None, 400, ""},
      {"GET", "/admission", Call::Page, 200, ""},
      {"POST", "/admission", Call::Page, 405, ""},
      {"POST", "/deeds/swap%20charge/give/zone-b", Call::Give, 200, ""},
      {"GET", "/deeds/charge/give/b", Call::None, 405, ""},
      {"POST", "/deeds/charge/give/", Call::None, 404, ""},
      {"POST", "/deeds//give/b", Call::None, 404, ""},
      {"POST", "/deeds/charge/give/%zz", Call::None, 400, ""},
      {"GET", "/deeds", Call::Page, 200, ""},
      {"POST", "/rehearsal", Call::Rehearse, 200, ""},
      {"GET", "/rehearsal", Call::Page, 200, ""},
  };
  for (const Case& c : cases) {
    const Read read = readCall(c.method, c.target);
    EXPECT_EQ(read.call, c.call) << c.method << ' ' << c.target;
    EXPECT_EQ(read.status, c.status) << c.method << ' ' << c.target;
    EXPECT_EQ(read.host, c.host) << c.method << ' ' << c.target;
    EXPECT_EQ(read.allow.empty(), read.status != 405) << c.target;
  }
}

struct Recorder : Actor {
  bool canServe() override { return serves; }
  std::string stats() override { return "figures 1\n"; }
  bool takeOut(const std::string& host) override { return done.push_back("out " + host), host == "s-1"; }
  bool putBack(const std::string& host) override { return done.push_back("in " + host), host == "s-1"; }
  void drainClients() override { done.emplace_back("drain"); }
  void takeClients() override { done.emplace_back("take"); }
  std::optional<std::string> beginChangePreview() override { return "no file"; }
  std::optional<std::string> overrideOwner(const std::string& service, const std::string& zone) override {
    done.push_back("give " + service + " to " + zone);
    return service == "charge" ? std::optional<std::string>("nothing") : std::nullopt;
  }
  bool serves = true;
  std::vector<std::string> done;
};

class Console : public ::testing::Test {
 protected:
  Console() {
    server.page("/admission", [] { return std::string("{\"page\": 1}"); });
    server.listen(anyPort());
  }
  std::shared_ptr<Peer> connect() { return Peer::connect(loop, server.localEndpoint()); }
  // The whole answer.
  std::string say(const std::string& text) {
    const auto c = connect();
    c->say(text);
    EXPECT_TRUE(loop.until([&] { return c->ended; })) << text.substr(0, 60);
    return c->got;
  }
  std::string ask(const std::string& line, const std::string& fields = "") {
    return say(line + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
  }
  static std::string statusOf(const std::string& answer) { return answer.substr(0, 12); }
  Loop loop;
  Recorder actor;
  ConsoleServer server{loop.io, actor};
};

TEST_F(Console, CallsAreCarriedOutAndAnsweredYesOrNo) {
  EXPECT_EQ(statusOf(ask("GET /healthcheck")), "HTTP/1.1 200");
  actor.serves = false;
  EXPECT_EQ(statusOf(ask("GET /healthcheck")), "HTTP/1.1 503");
  EXPECT_NE(ask("GET /stats").find("figures 1\n"), std::string::npos);
  EXPECT_EQ(statusOf(ask("POST /hosts/s-1/maint", "Content-Length: 0\r\n")), "HTTP/1.1 200");
  EXPECT_EQ(statusOf(ask("POST /hosts/s-1/ready")), "HTTP/1.1 200");
  EXPECT_EQ(statusOf(ask("POST /hosts/s-9/maint")), "HTTP/1.1 404");
  EXPECT_EQ(statusOf(ask("POST /hosts/s-9/ready")), "HTTP/1.1 404");
  EXPECT_EQ(statusOf(ask("POST /healthcheck/fail")), "HTTP/1.1 200");
  EXPECT_EQ(statusOf(ask("POST /healthcheck/ok")), "HTTP/1.1 200");
  EXPECT_EQ(actor.done,
            (std::vector<std::string>{"out s-1", "in s-1", "out s-9", "in s-9", "drain", "take"}));
}

TEST_F(Console, APageIsMadeWhenItIsAskedFor) {
  EXPECT_NE(ask("GET /admission").find("{\"page\": 1}"), std::string::npos);
  const std::string head = ask("HEAD /admission");
  EXPECT_NE(head.find("Content-Length: 12"), std::string::npos);
  EXPECT_EQ(head.find("{\"page\""), std::string::npos);
}

TEST_F(Console, WhatCantBeReadOrIsTooMuchIsRefusedPlainlyAndDoesNothing) {
  EXPECT_EQ(statusOf(ask("GET /else")), "HTTP/1.1 404");
  EXPECT_EQ(statusOf(ask("POST /else")), "HTTP/1.1 404");
  EXPECT_EQ(statusOf(ask("POST /admission")), "HTTP/1.1 405");
  EXPECT_NE(ask("GET /hosts/s-1/maint").find("Allow: POST"), std::string::npos);
  EXPECT_EQ(statusOf(say("what is this\r\n\r\n")), "HTTP/1.1 400");
  EXPECT_EQ(statusOf(ask("GET /stats", "X: " + std::string(9000, 'x') + "\r\n")), "HTTP/1.1 431");
  EXPECT_EQ(statusOf(ask("POST /healthcheck/fail", "Content-Length: 5000000\r\n")), "HTTP/1.1 413");
  EXPECT_TRUE(actor.done.empty());
}

TEST_F(Console, ACallThatComesInPiecesIsTakenWhenItIsWhole) {
  const auto c = connect();
  for (const char piece : std::string("POST /hosts/s-1/maint HTTP/1.1\r\nHost: h\r\n\r")) {
    c->say(std::string(1, piece));
    loop.turn();
  }
  EXPECT_TRUE(actor.done.empty());
  c->say("\n");
  ASSERT_TRUE(loop.until([&] { return c->ended; }));
  EXPECT_EQ(actor.done.size(), 1U);
}

TEST_F(Console, CallersThatSayNothingGiveWayTheOldestFirst) {
  std::vector<std::shared_ptr<Peer>> mute;
  for (std::size_t i = 0; i < 3 * ConsoleServer::kMostConnections; ++i) {
    mute.push_back(connect());
    mute.back()->say("GET /st");
    loop.turn();
    EXPECT_LE(server.connections(), ConsoleServer::kMostConnections);
  }
  EXPECT_EQ(statusOf(ask("GET /stats")), "HTTP/1.1 200");
  ASSERT_TRUE(loop.until([&] { return mute[0]->ended; }));
  EXPECT_FALSE(mute.back()->ended);
}

TEST_F(Console, ItListensAtSeveralAddressesAndSaysWhereItCant) {
  server.listen(anyPort());
  const auto c = Peer::connect(loop, server.localEndpoint(1));
  c->say("GET /stats HTTP/1.1\r\nHost: h\r\n\r\n");
  ASSERT_TRUE(loop.until([&] { return c->ended; }));
  EXPECT_TRUE(c->heard("figures 1"));
  ConsoleServer second(loop.io, actor);
  EXPECT_THROW(second.listen(server.localEndpoint()), std::runtime_error);
}

}  // namespace
}  // namespace client_proxy::console
