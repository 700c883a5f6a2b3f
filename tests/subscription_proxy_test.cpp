// Tests the program with a shared configuration against scripted replicas: which changes are applied, refused
// and stored on disk.
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

// Answers watches with heartbeats, records acknowledgements and sends the lines given to send().
class ScriptedReplica {
 public:
  explicit ScriptedReplica(Loop& loop) : host_(loop) {}
  tcp::endpoint endpoint() const { return host_.endpoint(); }

  // Answers the requests received since the last call; to be called repeatedly.
  void serve() {
    const auto now = std::chrono::steady_clock::now();
    const bool heartbeat_due = heartbeats && now - last_heartbeat_ > std::chrono::seconds(1);
    if (heartbeat_due) last_heartbeat_ = now;
    for (const auto& peer : host_.peers) {
      const std::size_t head = peer->got.find("\r\n\r\n");
      if (head == std::string::npos) continue;
      if (peer->heard("GET /v1/configuration")) {
        if (answered_.insert(peer).second) peer->say(kWatch + chunk("\n"));
        if (heartbeat_due && !peer->ended) peer->say(chunk("\n"));
      } else if (peer->got.back() == '}' && answered_.insert(peer).second) {
        acknowledgements.push_back(distribution::parseAcknowledgement(peer->got.substr(head + 4)));
        peer->say("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n");
      }
    }
  }
  void send(const distribution::WatchLine& line) { watches().back()->say(chunk(formatWatchLine(line))); }
  std::vector<std::shared_ptr<Peer>> watches() const {
    std::vector<std::shared_ptr<Peer>> all;
    for (const auto& peer : host_.peers) {
      if (peer->heard("GET /v1/configuration") && answered_.count(peer) > 0) all.push_back(peer);
    }
    return all;
  }
  const Acknowledgement* lastAcknowledgement() const {
    return acknowledgements.empty() ? nullptr : &acknowledgements.back();
  }

  bool heartbeats = true;
  std::vector<Acknowledgement> acknowledgements;

 private:
  static std::string chunk(const std::string& text) {
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return size.data() + text + "\r\n";
  }
  Host host_;
  std::set<std::shared_ptr<Peer>> answered_;
  std::chrono::steady_clock::time_point last_heartbeat_{};
};

const std::string kInitialText = "admission {\n  open 64\n}\n", kUpdatedText = "admission {\n  open 96\n}\n";

class SubscriptionProxyTest : public ::testing::Test {
 protected:
  void SetUp() override {
    fs::create_directory(files.path("shared"));
    files.write("shared/shared.conf", kInitialText);
  }
  // `extra` is appended to the operator file.
  void start(const std::string& extra) {
    listen = freePort(loop);
    status = freePort(loop);
    std::string text =
        alone(poolOf({host.endpoint()}), "status {\n  listen " + textOf(status) + "\n}\n" + extra);
    text.replace(text.find("127.0.0.1:0"), 11, textOf(listen));
    program =
        std::make_unique<Program>(std::vector<std::string>{"run", "--operator", files.write("op.conf", text)},
                                  std::vector<std::string>{}, files.path("log"));
  }
  void startWatching() {
    start(configurationBlock());
    ASSERT_TRUE(until([&] { return !replica.watches().empty(); })) << log();
  }
  std::string configurationBlock() const {
    return "configuration {\n  file shared/shared.conf\n  replica 1 " + textOf(replica.endpoint()) +
           "\n  replica 2 " + textOf(second_replica.endpoint()) + "\n}\n";
  }
  bool until(const std::function<bool()>& done) {
    return loop.until([&] {
      replica.serve();
      second_replica.serve();
      return done();
    });
  }
  bool acknowledged(distribution::Version version) {
    return until([&] {
      return replica.lastAcknowledgement() != nullptr && replica.lastAcknowledgement()->version == version;
    });
  }
  bool refusalReported(distribution::Version version) {
    return until([&] {
      return replica.lastAcknowledgement() != nullptr && replica.lastAcknowledgement()->refused &&
             replica.lastAcknowledgement()->refused->version == version;
    });
  }
  // Returns the response to a GET request; empty if no response was received.
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
        return false;  // not listening yet
      }
      return true;
    });
    return body;
  }
  json statusPage() {
    const std::string answer = get(status, "/configuration");
    return json::parse(answer.substr(std::min(answer.find("\r\n\r\n"), answer.size())), nullptr, false);
  }
  bool servesRequests() {
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
  ScriptedReplica replica{loop}, second_replica{loop};  // first and second choice of client 0
  tcp::endpoint listen, status;
  std::set<std::shared_ptr<Peer>> answered;
  std::unique_ptr<Program> program;
};

TEST_F(SubscriptionProxyTest, ChangeIsAppliedStoredAcknowledgedAndSurvivesARestartWithoutReplicas) {
  startWatching();
  EXPECT_TRUE(replica.watches()[0]->heard("&member=0&from=0&digest=" + distribution::digestOf(kInitialText)));
  ASSERT_TRUE(acknowledged(0)) << "the new watch was not acknowledged";
  const Change change = changeOf(42, kUpdatedText);
  replica.send(distribution::noticeOf(change));
  ASSERT_TRUE(acknowledged(42)) << log();
  EXPECT_EQ(replica.lastAcknowledgement()->digest, change.digest);
  EXPECT_FALSE(replica.lastAcknowledgement()->restart_needed);
  EXPECT_EQ(contentOf("shared/shared.conf"), subscription::formatSharedFile(change));
  EXPECT_EQ(statusPage().value("version", 0), 42);
  EXPECT_EQ(statusPage().value("replica", 0), 1);
  EXPECT_NE(get(status, "/stats").find("app_configuration_version 42\n"), std::string::npos);
  EXPECT_NE(log().find("admission: open 64 -> 96"), std::string::npos) << log();
  // A delta of which one part takes effect only after a restart.
  const Change third = changeOf(43, kUpdatedText + "limits {\n  sockets 200\n}\n");
  replica.send(distribution::noticeOf(third, change));
  ASSERT_TRUE(acknowledged(43)) << log();
  EXPECT_TRUE(replica.lastAcknowledgement()->restart_needed);
  program->signal(SIGKILL);
  replica.heartbeats = false;
  start("configuration {\n  file shared/shared.conf\n  replica 1 127.0.0.1:1\n}\n");
  EXPECT_EQ(statusPage().value("version", 0), 43) << log();
  EXPECT_FALSE(statusPage().value("restart_needed", true));
  EXPECT_TRUE(servesRequests());
}

TEST_F(SubscriptionProxyTest, InvalidChangeIsRefusedWithLineAndKeyAndTheOldConfigurationStaysInForce) {
  startWatching();
  replica.send(distribution::noticeOf(changeOf(1, kInitialText)));
  ASSERT_TRUE(acknowledged(1)) << log();
  const auto written = fs::last_write_time(files.path("shared/shared.conf"));
  replica.send(distribution::noticeOf(changeOf(2, "admission {\n  opn 96\n}\n")));
  ASSERT_TRUE(refusalReported(2)) << log();
  EXPECT_EQ(replica.lastAcknowledgement()->version, 1U);
  EXPECT_EQ(replica.lastAcknowledgement()->refused->error,
            files.path("shared/shared.conf") + ":2:3: error: 'opn' is not known here; did you mean open?");
  EXPECT_EQ(contentOf("shared/shared.conf"), subscription::formatSharedFile(changeOf(1, kInitialText)));
  EXPECT_EQ(fs::last_write_time(files.path("shared/shared.conf")), written) << "the refused text was written";
  EXPECT_TRUE(servesRequests());
  // Valid by itself, but in conflict with the operator file that includes it.
  replica.send(distribution::noticeOf(changeOf(3, "status {\n  listen 127.0.0.1:1\n}\n")));
  ASSERT_TRUE(refusalReported(3));
  EXPECT_NE(replica.lastAcknowledgement()->refused->error.find("error: 'status' is there twice; it is in "),
            std::string::npos);
  replica.send(distribution::noticeOf(changeOf(4, kUpdatedText)));
  ASSERT_TRUE(acknowledged(4)) << log();
  EXPECT_FALSE(replica.lastAcknowledgement()->refused);
}

TEST_F(SubscriptionProxyTest, WrongDeltaDigestRequestsAndAppliesTheFullText) {
  startWatching();
  const Change first = changeOf(1, kInitialText), change = changeOf(2, kUpdatedText);
  replica.send(distribution::noticeOf(first));
  ASSERT_TRUE(acknowledged(1)) << log();
  distribution::ChangeNotice wrong = distribution::noticeOf(change);
  wrong.content = distribution::Delta{1, first.digest, {{0, 1, "A"}}};
  replica.send(wrong);
  ASSERT_TRUE(until([&] { return replica.watches().size() == 2; })) << log();
  EXPECT_TRUE(replica.watches()[1]->heard("&from=0&"));
  EXPECT_TRUE(second_replica.watches().empty());
  ASSERT_TRUE(refusalReported(2));
  EXPECT_EQ(replica.lastAcknowledgement()->refused->error,
            "the delta produces a text with a different digest");
  EXPECT_EQ(contentOf("shared/shared.conf"), subscription::formatSharedFile(first));
  replica.send(distribution::noticeOf(change));
  ASSERT_TRUE(acknowledged(2)) << log();
}

TEST_F(SubscriptionProxyTest, MovesFromASilentReplicaToTheNextAndSigtermClosesTheWatch) {
  startWatching();
  ASSERT_TRUE(acknowledged(0));
  replica.heartbeats = false;
  const auto silent_since = std::chrono::steady_clock::now();
  ASSERT_TRUE(until([&] { return !second_replica.watches().empty(); })) << log();
  const auto elapsed = std::chrono::steady_clock::now() - silent_since;
  EXPECT_GT(elapsed, std::chrono::milliseconds(4300 - 1100))
      << "left too early; the last heartbeat was sent up to a second before";
  EXPECT_TRUE(replica.watches()[0]->ended);
  EXPECT_NE(get(status, "/stats").find("app_configuration_reconnects_total 1\n"), std::string::npos);
  // The watch is closed before requests in flight have ended, not when the process exits.
  const auto client = Peer::connect(loop, listen);
  client->say(request("in-flight"));
  ASSERT_TRUE(until([&] { return !host.peers.empty() && host.peers.back()->heard("\r\n\r\n"); }));
  program->signal(SIGTERM);
  ASSERT_TRUE(until([&] { return second_replica.watches()[0]->ended; }));
  EXPECT_FALSE(client->ended);
  host.peers.back()->say(answerOf("done"));
  EXPECT_TRUE(until([&] { return client->heard("done"); }));
}

TEST_F(SubscriptionProxyTest, StorageFailureIsReportedNotAppliedAndRetried) {
  startWatching();
  ASSERT_TRUE(acknowledged(0));
  fs::rename(files.path("shared"), files.path("away"));
  replica.send(distribution::noticeOf(changeOf(1, kUpdatedText)));
  ASSERT_TRUE(refusalReported(1)) << log();
  EXPECT_EQ(replica.lastAcknowledgement()->refused->error,
            files.path("shared/shared.conf") + ": can't be written: No such file or directory");
  EXPECT_EQ(replica.lastAcknowledgement()->version, 0U);
  EXPECT_EQ(log().find("admission: open 64 -> 96"), std::string::npos)
      << "in force before it was stored on disk";
  fs::rename(files.path("away"), files.path("shared"));
  ASSERT_TRUE(acknowledged(1)) << log();
  EXPECT_EQ(contentOf("shared/shared.conf"), subscription::formatSharedFile(changeOf(1, kUpdatedText)));
}

TEST_F(SubscriptionProxyTest, SighupAppliesTheEditedFileAndThePublishedTextReplacesIt) {
  startWatching();
  replica.send(distribution::noticeOf(changeOf(1, kInitialText)));
  ASSERT_TRUE(acknowledged(1)) << log();
  std::string edited = contentOf("shared/shared.conf");
  edited.replace(edited.find("64"), 2, "65");
  files.write("shared/shared.conf", edited);
  program->signal(SIGHUP);
  ASSERT_TRUE(until([&] { return replica.watches().size() == 2; })) << log();
  EXPECT_TRUE(replica.watches()[1]->heard("&from=0&"));
  replica.send(distribution::noticeOf(changeOf(1, kInitialText)));
  ASSERT_TRUE(until([&] { return log().find("admission: open 65 -> 64") != std::string::npos; })) << log();
}

// Together with a platform configuration, where a new process takes over from the old one.
TEST_F(SubscriptionProxyTest, HandoverClosesTheOldWatchAndTheNewProcessStartsFromTheStoredFile) {
  Host discovery{loop};
  const ConfigFile platform(json::array({entry("s-1", host.endpoint())}), discovery.endpoint());
  tcp::acceptor listener(loop.io, anyPort());
  listener.listen();
  const std::string operator_file =
      files.write("op.conf", "configuration {\n  file shared/shared.conf\n  replica 1 " +
                                 textOf(replica.endpoint()) + "\n}\n");
  const auto startProcess = [&] {
    return std::make_unique<Program>(
        std::vector<std::string>{},
        std::vector<std::string>{"PROXY_CONFIG=" + platform.path, "PROXY_OPERATOR=" + operator_file,
                                 "PROXY_DISCOVERY=" + textOf(discovery.endpoint()), "PROXY_INHERITED_FD=3",
                                 "TMPDIR=" + files.path("")},
        files.path("log"), listener.native_handle());
  };
  const auto old = startProcess();
  ASSERT_TRUE(until([&] { return !replica.watches().empty(); })) << log();
  replica.send(distribution::noticeOf(changeOf(1, kInitialText)));
  ASSERT_TRUE(acknowledged(1)) << log();
  const std::uint64_t sequence = replica.lastAcknowledgement()->sequence;
  const auto next = startProcess();
  ASSERT_TRUE(until([&] { return replica.watches().size() == 2 && replica.watches()[0]->ended; })) << log();
  EXPECT_TRUE(replica.watches()[1]->heard("&from=1&digest=" + distribution::digestOf(kInitialText)));
  replica.send(distribution::noticeOf(changeOf(2, kUpdatedText)));
  ASSERT_TRUE(acknowledged(2)) << log();
  EXPECT_GT(replica.lastAcknowledgement()->sequence, sequence);
  EXPECT_EQ(replica.watches().size(), 2U) << "the old process opened another watch";
}

TEST_F(SubscriptionProxyTest, WithoutConfigurationBlockThereIsNoStatusPageMetricOrWatch) {
  start("");
  EXPECT_NE(get(status, "/configuration").find("HTTP/1.1 404"), std::string::npos);
  EXPECT_TRUE(servesRequests());
  EXPECT_EQ(get(status, "/stats").find("configuration"), std::string::npos);
  EXPECT_TRUE(replica.watches().empty());
}

// ---- shared file ----

TEST(SharedFile, ParsesWhatWasFormattedWithoutFinalLineBreakAndDetectsEdits) {
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

TEST(SharedFile, ReplacementIsAtomicAndKeepsPermissionsAndSymbolicLinks) {
  Files files;
  files.write("real.conf", "old\n");
  fs::permissions(files.path("real.conf"), fs::perms::owner_read | fs::perms::owner_write);
  fs::create_symlink("real.conf", files.path("link.conf"));
  EXPECT_EQ(subscription::replaceSharedFile(files.path("link.conf"), "new\n"), "");
  EXPECT_TRUE(fs::is_symlink(files.path("link.conf")));
  EXPECT_EQ(DiskSource().read(files.path("real.conf")), "new\n");
  EXPECT_EQ(fs::status(files.path("real.conf")).permissions(),
            fs::perms::owner_read | fs::perms::owner_write);
  fs::create_directory(files.path("real.conf.new"));  // blocks creation of the temporary file
  EXPECT_EQ(subscription::replaceSharedFile(files.path("real.conf"), "newer\n"),
            files.path("real.conf") + ": can't be written: Is a directory");
  EXPECT_EQ(DiskSource().read(files.path("real.conf")), "new\n");
}

}  // namespace
}  // namespace client_proxy::test
