// The program with a shared configuration, against replicas that are scripted here: what is taken, refused,
// kept.
#include <algorithm>
#include <chrono>
#include <set>

#include "distribution/codec.h"
#include "distribution/digest.h"
#include "operator_support.h"
#include "subscription/shared_file.h"

namespace client_proxy::test {
namespace {

using distribution::Acknowledgement;
using distribution::Change;

Change changeOf(distribution::Version version, const std::string& text) {
  return {.version = version,
          .id = distribution::digestOf(std::to_string(version)),
          .author = "ana",
          .published_ms = 0,
          .text = text,
          .digest = distribution::digestOf(text),
          .previous_digest = distribution::digestOf("")};
}

// Answers watches with heartbeats, takes acknowledgements in, says what it is told to.
class ScriptedReplica {
 public:
  explicit ScriptedReplica(Loop& loop) : host_(loop) {}
  tcp::endpoint endpoint() const { return host_.endpoint(); }

  // To be called again and again: answers what came meanwhile.
  void serve() {
    const auto now = std::chrono::steady_clock::now();
    const bool beat = beats && now - beaten_ > std::chrono::seconds(1);
    if (beat) beaten_ = now;
    for (const auto& peer : host_.peers) {
      const std::size_t head = peer->got.find("\r\n\r\n");
      if (head == std::string::npos) continue;
      if (peer->heard("GET /v1/configuration")) {
        if (answered_.insert(peer).second) peer->say(kWatch + chunk("\n"));
        if (beat && !peer->ended) peer->say(chunk("\n"));
      } else if (peer->got.back() == '}' && answered_.insert(peer).second) {
        acknowledgements.push_back(distribution::parseAcknowledgement(peer->got.substr(head + 4)));
        peer->say("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
      }
    }
  }
  void tell(const distribution::WatchLine& line) { watches().back()->say(chunk(formatWatchLine(line))); }
  std::vector<std::shared_ptr<Peer>> watches() const {
    std::vector<std::shared_ptr<Peer>> all;
    for (const auto& peer : host_.peers) {
      if (peer->heard("GET /v1/configuration") && answered_.count(peer) > 0) all.push_back(peer);
    }
    return all;
  }
  const Acknowledgement* last() const {
    return acknowledgements.empty() ? nullptr : &acknowledgements.back();
  }

  bool beats = true;
  std::vector<Acknowledgement> acknowledgements;

 private:
  static std::string chunk(const std::string& text) {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
  }
  Host host_;
  std::set<std::shared_ptr<Peer>> answered_;
  std::chrono::steady_clock::time_point beaten_{};
};

const std::string kFirst = "admission {\n  open 64\n}\n", kSecond = "admission {\n  open 96\n}\n";

class SubscriptionProxyTest : public ::testing::Test {
 protected:
  void SetUp() override {
    fs::create_directory(files.path("shared"));
    files.write("shared/shared.conf", kFirst);
  }
  // `more`: of the operator file.
  void start(const std::string& more) {
    listen = freePort(loop);
    status = freePort(loop);
    std::string text =
        alone(poolOf({host.endpoint()}), "status {\n  listen " + textOf(status) + "\n}\n" + more);
    text.replace(text.find("127.0.0.1:0"), 11, textOf(listen));
    program =
        std::make_unique<Program>(std::vector<std::string>{"run", "--operator", files.write("op.conf", text)},
                                  std::vector<std::string>{}, files.path("log"));
  }
  void startWatching() {
    start(statement());
    ASSERT_TRUE(until([&] { return !replica.watches().empty(); })) << log();
  }
  std::string statement() const {
    return "configuration {\n  file shared/shared.conf\n  replica 1 " + textOf(replica.endpoint()) +
           "\n  replica 2 " + textOf(second.endpoint()) + "\n}\n";
  }
  bool until(const std::function<bool()>& done) {
    return loop.until([&] {
      replica.serve();
      second.serve();
      return done();
    });
  }
  bool acknowledged(distribution::Version version) {
    return until([&] { return replica.last() != nullptr && replica.last()->version == version; });
  }
  bool refused(distribution::Version version) {
    return until([&] {
      return replica.last() != nullptr && replica.last()->refused &&
             replica.last()->refused->version == version;
    });
  }
  // The body of a GET; empty: nobody answers.
  std::string get(const tcp::endpoint& at, const std::string& path) {
    std::string body;
    until([&] {
      try {
        const auto peer = Peer::connect(loop, at);
        peer->say("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
        loop.until(
            [&] { return peer->ended || peer->heard("\n}") || peer->heard("app_configuration_bytes_out"); });
        body = peer->got;
      } catch (const boost::system::system_error&) {
        return false;  // not yet
      }
      return true;
    });
    return body;
  }
  json page() {
    const std::string answer = get(status, "/configuration");
    return json::parse(answer.substr(std::min(answer.find("\r\n\r\n"), answer.size())), nullptr, false);
  }
  bool serves() {
    const auto c = Peer::connect(loop, listen);
    c->say(request("r-1"));
    return until([&] {
      for (const auto& p : host.peers) {
        if (p->heard("\r\n\r\n") && answered.insert(p).second) p->say(answerOf("done"));
      }
      return c->heard("done");
    });
  }
  std::string contentOf(const std::string& name) const {
    return DiskSource().read(files.path(name)).value_or("absent");
  }
  std::string log() const { return contentOf("log"); }

  Loop loop;
  Files files;
  Host host{loop};
  ScriptedReplica replica{loop}, second{loop};  // client 0's first choice, and its next
  tcp::endpoint listen, status;
  std::set<std::shared_ptr<Peer>> answered;
  std::unique_ptr<Program> program;
};

TEST_F(SubscriptionProxyTest, AChangeIsInForceOnDiskAndAcknowledgedAndOutlivesARestartWithoutAnyReplica) {
  startWatching();
  EXPECT_TRUE(replica.watches()[0]->heard("&member=0&from=0&digest=" + distribution::digestOf(kFirst)));
  ASSERT_TRUE(acknowledged(0)) << "of the new watch";
  const Change change = changeOf(42, kSecond);
  replica.tell(distribution::noticeOf(change));
  ASSERT_TRUE(acknowledged(42)) << log();
  EXPECT_EQ(replica.last()->digest, change.digest);
  EXPECT_FALSE(replica.last()->restart_needed);
  EXPECT_EQ(contentOf("shared/shared.conf"), subscription::formatSharedFile(change));
  EXPECT_EQ(page().value("version", 0), 42);
  EXPECT_EQ(page().value("replica", 0), 1);
  EXPECT_NE(get(status, "/stats").find("app_configuration_version 42\n"), std::string::npos);
  EXPECT_NE(log().find("admission: open 64 -> 96"), std::string::npos) << log();
  // A delta, and one part of it for the next start.
  const Change third = changeOf(43, kSecond + "limits {\n  sockets 200\n}\n");
  replica.tell(distribution::noticeOf(third, change));
  ASSERT_TRUE(acknowledged(43)) << log();
  EXPECT_TRUE(replica.last()->restart_needed);
  program->signal(SIGKILL);
  replica.beats = false;
  start("configuration {\n  file shared/shared.conf\n  replica 1 127.0.0.1:1\n}\n");
  EXPECT_EQ(page().value("version", 0), 43) << log();
  EXPECT_FALSE(page().value("restart_needed", true));
  EXPECT_TRUE(serves());
}

TEST_F(SubscriptionProxyTest, WhatDoesNotCheckIsRefusedWithLineAndKeyAndTheOldOneServesOn) {
  startWatching();
  replica.tell(distribution::noticeOf(changeOf(1, kFirst)));
  ASSERT_TRUE(acknowledged(1)) << log();
  const auto written = fs::last_write_time(files.path("shared/shared.conf"));
  replica.tell(distribution::noticeOf(changeOf(2, "admission {\n  opn 96\n}\n")));
  ASSERT_TRUE(refused(2)) << log();
  EXPECT_EQ(replica.last()->version, 1U);
  EXPECT_EQ(replica.last()->refused->error,
            files.path("shared/shared.conf") + ":2:3: error: 'opn' is not known here; did you mean open?");
  EXPECT_EQ(contentOf("shared/shared.conf"), subscription::formatSharedFile(changeOf(1, kFirst)));
  EXPECT_EQ(fs::last_write_time(files.path("shared/shared.conf")), written) << "never on disk";
  EXPECT_TRUE(serves());
  // It checks by itself, but not with the operator file that includes it.
  replica.tell(distribution::noticeOf(changeOf(3, "status {\n  listen 127.0.0.1:1\n}\n")));
  ASSERT_TRUE(refused(3));
  EXPECT_NE(replica.last()->refused->error.find("error: 'status' is there twice; it is in "),
            std::string::npos);
  replica.tell(distribution::noticeOf(changeOf(4, kSecond)));
  ASSERT_TRUE(acknowledged(4)) << log();
  EXPECT_FALSE(replica.last()->refused);
}

TEST_F(SubscriptionProxyTest, AfterADeltaWithAWrongDigestTheWholeTextIsAskedAndTaken) {
  startWatching();
  const Change first = changeOf(1, kFirst), change = changeOf(2, kSecond);
  replica.tell(distribution::noticeOf(first));
  ASSERT_TRUE(acknowledged(1)) << log();
  distribution::ChangeNotice wrong = distribution::noticeOf(change);
  wrong.content = distribution::Delta{1, first.digest, {{0, 1, "A"}}};
  replica.tell(wrong);
  ASSERT_TRUE(until([&] { return replica.watches().size() == 2; })) << log();
  EXPECT_TRUE(replica.watches()[1]->heard("&from=0&"));
  EXPECT_TRUE(second.watches().empty());
  ASSERT_TRUE(refused(2));
  EXPECT_EQ(replica.last()->refused->error, "the delta gives a text with another digest");
  EXPECT_EQ(contentOf("shared/shared.conf"), subscription::formatSharedFile(first));
  replica.tell(distribution::noticeOf(change));
  ASSERT_TRUE(acknowledged(2)) << log();
}

TEST_F(SubscriptionProxyTest, ASilentReplicaIsLeftForTheNextAndSigtermClosesTheWatch) {
  startWatching();
  ASSERT_TRUE(acknowledged(0));
  replica.beats = false;
  const auto silent = std::chrono::steady_clock::now();
  ASSERT_TRUE(until([&] { return !second.watches().empty(); })) << log();
  const auto after = std::chrono::steady_clock::now() - silent;
  EXPECT_GT(after, std::chrono::milliseconds(4300 - 1100)) << "a heartbeat came up to a second before";
  EXPECT_TRUE(replica.watches()[0]->ended);
  EXPECT_NE(get(status, "/stats").find("app_configuration_reconnects_total 1\n"), std::string::npos);
  // Before requests in flight have ended, not with the process.
  const auto client = Peer::connect(loop, listen);
  client->say(request("in-flight"));
  ASSERT_TRUE(until([&] { return !host.peers.empty() && host.peers.back()->heard("\r\n\r\n"); }));
  program->signal(SIGTERM);
  ASSERT_TRUE(until([&] { return second.watches()[0]->ended; }));
  EXPECT_FALSE(client->ended);
  host.peers.back()->say(answerOf("done"));
  EXPECT_TRUE(until([&] { return client->heard("done"); }));
}

TEST_F(SubscriptionProxyTest, WhatCanNotBeWrittenIsToldNotTakenAndTriedAgain) {
  startWatching();
  ASSERT_TRUE(acknowledged(0));
  fs::rename(files.path("shared"), files.path("away"));
  replica.tell(distribution::noticeOf(changeOf(1, kSecond)));
  ASSERT_TRUE(refused(1)) << log();
  EXPECT_EQ(replica.last()->refused->error,
            files.path("shared/shared.conf") + ": can't be written: No such file or directory");
  EXPECT_EQ(replica.last()->version, 0U);
  EXPECT_EQ(log().find("admission: open 64 -> 96"), std::string::npos) << "not in force before it is on disk";
  fs::rename(files.path("away"), files.path("shared"));
  ASSERT_TRUE(acknowledged(1)) << log();
  EXPECT_EQ(contentOf("shared/shared.conf"), subscription::formatSharedFile(changeOf(1, kSecond)));
}

TEST_F(SubscriptionProxyTest, AfterSighupWhatIsOnDiskIsInForceAndReplacedByWhatWasPublished) {
  startWatching();
  replica.tell(distribution::noticeOf(changeOf(1, kFirst)));
  ASSERT_TRUE(acknowledged(1)) << log();
  std::string edited = contentOf("shared/shared.conf");
  edited.replace(edited.find("64"), 2, "65");
  files.write("shared/shared.conf", edited);
  program->signal(SIGHUP);
  ASSERT_TRUE(until([&] { return replica.watches().size() == 2; })) << log();
  EXPECT_TRUE(replica.watches()[1]->heard("&from=0&"));
  replica.tell(distribution::noticeOf(changeOf(1, kFirst)));
  ASSERT_TRUE(until([&] { return log().find("admission: open 65 -> 64") != std::string::npos; })) << log();
}

// Beside a platform's configuration, where one process takes another's place.
TEST_F(SubscriptionProxyTest, InAHandOverTheOldProcessClosesItsWatchAndTheNewOneBeginsFromTheFile) {
  Host discovery{loop};
  const ConfigFile platform(json::array({entry("s-1", host.endpoint())}), discovery.endpoint());
  tcp::acceptor listener(loop.io, anyPort());
  listener.listen();
  const std::string operator_file =
      files.write("op.conf", "configuration {\n  file shared/shared.conf\n  replica 1 " +
                                 textOf(replica.endpoint()) + "\n}\n");
  const auto startOne = [&] {
    return std::make_unique<Program>(
        std::vector<std::string>{},
        std::vector<std::string>{"PROXY_CONFIG=" + platform.path, "PROXY_OPERATOR=" + operator_file,
                                 "PROXY_DISCOVERY=" + textOf(discovery.endpoint()), "PROXY_INHERITED_FD=3",
                                 "TMPDIR=" + files.path("")},
        files.path("log"), listener.native_handle());
  };
  const auto old = startOne();
  ASSERT_TRUE(until([&] { return !replica.watches().empty(); })) << log();
  replica.tell(distribution::noticeOf(changeOf(1, kFirst)));
  ASSERT_TRUE(acknowledged(1)) << log();
  const std::uint64_t sequence = replica.last()->sequence;
  const auto next = startOne();
  ASSERT_TRUE(until([&] { return replica.watches().size() == 2 && replica.watches()[0]->ended; })) << log();
  EXPECT_TRUE(replica.watches()[1]->heard("&from=1&digest=" + distribution::digestOf(kFirst)));
  replica.tell(distribution::noticeOf(changeOf(2, kSecond)));
  ASSERT_TRUE(acknowledged(2)) << log();
  EXPECT_GT(replica.last()->sequence, sequence);
  EXPECT_EQ(replica.watches().size(), 2U) << "the old process asks no more";
}

TEST_F(SubscriptionProxyTest, WithoutTheStatementNothingOfItExists) {
  start("");
  EXPECT_NE(get(status, "/configuration").find("HTTP/1.1 404"), std::string::npos);
  EXPECT_TRUE(serves());
  EXPECT_EQ(get(status, "/stats").find("configuration"), std::string::npos);
  EXPECT_TRUE(replica.watches().empty());
}

// ---- the file ----

TEST(SharedFile, ItSaysWhatIsInForceAlsoWhereTheTextHasNoLastLineBreakOrWasEdited) {
  for (const char* const text : {"", "open 64", "open 64\n", "a\n\n", "# version 7 digest x\n"}) {
    const Change change = changeOf(42, text);
    const subscription::InForce read = subscription::parseSharedFile(subscription::formatSharedFile(change));
    EXPECT_EQ(read.version, 42U) << text;
    EXPECT_EQ(read.text, text);
    EXPECT_EQ(read.digest, change.digest);
    EXPECT_TRUE(read.as_published);
  }
  EXPECT_EQ(subscription::parseSharedFile("open 64\n").version, 0U);
  EXPECT_EQ(subscription::parseSharedFile("open 64\n").text, "open 64\n");
  const auto edited = subscription::parseSharedFile("open 65\n# version 42 digest " +
                                                    distribution::digestOf("open 64\n") + " by ana\n");
  EXPECT_EQ(edited.version, 42U);
  EXPECT_FALSE(edited.as_published);
  EXPECT_EQ(edited.digest, distribution::digestOf("open 65\n"));
}

TEST(SharedFile, ItIsReplacedAsAWholeWithItsRightsAndALinkStaysOne) {
  Files files;
  files.write("real.conf", "old\n");
  fs::permissions(files.path("real.conf"), fs::perms::owner_read | fs::perms::owner_write);
  fs::create_symlink("real.conf", files.path("link.conf"));
  EXPECT_EQ(subscription::replaceSharedFile(files.path("link.conf"), "new\n"), "");
  EXPECT_TRUE(fs::is_symlink(files.path("link.conf")));
  EXPECT_EQ(DiskSource().read(files.path("real.conf")), "new\n");
  EXPECT_EQ(fs::status(files.path("real.conf")).permissions(),
            fs::perms::owner_read | fs::perms::owner_write);
  fs::create_directory(files.path("real.conf.new"));  // in the way of the temporary file
  EXPECT_EQ(subscription::replaceSharedFile(files.path("real.conf"), "newer\n"),
            files.path("real.conf") + ": can't be written: Is a directory");
  EXPECT_EQ(DiskSource().read(files.path("real.conf")), "new\n");
}

}  // namespace
}  // namespace client_proxy::test
