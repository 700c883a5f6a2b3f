// `client-proxy configuration publish|status|revert` against stand-ins of replicas that answer as a test
// says.
#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "cli/commands.h"
#include "cli/configuration_progress.h"
#include "cli/configuration_replica.h"
#include "cli/configuration_report.h"
#include "cli/usage_error.h"
#include "distribution/codec.h"
#include "distribution/digest.h"

namespace client_proxy::configuration {
namespace {

namespace http = boost::beast::http;
using distribution::MemberStatus;
using distribution::Refusal;
using distribution::Status;
using Tcp = boost::asio::ip::tcp;

const std::string kDigest = distribution::digestOf("");

MemberStatus member(distribution::MemberId number, distribution::Version version) {
  MemberStatus status;
  status.member = number;
  status.connected = true;
  status.version = version;
  status.digest = kDigest;
  return status;
}

TEST(ConfigurationProgress, TheNewestAcknowledgementOfAMemberCounts) {
  Status one, two;
  one.members = {member(7, 3)};
  one.members[0].connected = false;
  one.members[0].heard_ms_ago = 900;
  two.members = {member(7, 4), member(8, 4)};
  two.members[0].heard_ms_ago = 100;
  for (const auto& replicas : {std::vector{one, two}, std::vector{two, one}}) {
    const auto merged = mergeMembers(replicas);
    ASSERT_EQ(merged.size(), 2U);
    EXPECT_EQ(merged[0].version, 4U);
    EXPECT_TRUE(merged[0].connected);
  }
}

TEST(ConfigurationProgress, SaysWhoDoesNotHoldItAndWhy) {
  MemberStatus refused = member(2, 4), restart = member(3, 5), gone = member(5, 4);
  refused.refused = Refusal{5, distribution::digestOf("x"), "shared.conf:3:7: error: no"};
  restart.restart_needed = true;
  gone.connected = false;
  const Progress progress = progressOf(
      5, kDigest, {member(1, 6), refused, restart, member(4, 4), gone, member(9, 5)}, {1, 2, 3, 4, 5, 6});
  EXPECT_EQ(asText(progress),
            "version 5: held by 1 of 6\n"
            "  member 2: refused: shared.conf:3:7: error: no\n"
            "  member 3: restart needed\n"
            "  member 4: connected but behind, last acknowledged version 4\n"
            "  member 5: not heard, last acknowledged version 4\n"
            "  member 6: not heard, last acknowledged version 0\n");
  EXPECT_FALSE(progress.heldByAll());
  EXPECT_TRUE(progress.mayRise());
  EXPECT_FALSE(progressOf(5, kDigest, {member(1, 5), refused}, {}).mayRise()) << "waiting changes nothing";
  EXPECT_TRUE(progressOf(5, kDigest, {member(1, 5), member(9, 5)}, {}).heldByAll());
}

TEST(ConfigurationProgress, AnotherTextUnderTheSameNumberIsNotHeld) {
  MemberStatus other = member(2, 5);
  other.digest = distribution::digestOf("x");
  EXPECT_EQ(progressOf(5, kDigest, {member(1, 5), other}, {}).count(Holding::OtherText), 1U);
  EXPECT_EQ(progressOf(4, distribution::digestOf("y"), {other}, {}).count(Holding::Holds), 1U)
      << "a later version has its own text";
}

TEST(ConfigurationProgress, ARefusalOfAnEarlierVersionIsNoAnswer) {
  MemberStatus behind = member(2, 3);
  behind.refused = Refusal{4, distribution::digestOf("x"), "shared.conf:3:7: error: no"};
  EXPECT_EQ(progressOf(5, kDigest, {behind}, {}).count(Holding::Behind), 1U);
}

// Answers each call as the test says, one connection after the other.
class StandIn {
 public:
  struct Call {
    http::verb method = http::verb::get;
    std::string target, body;
  };
  struct Answer {
    unsigned status = 404;
    std::string body;
  };
  explicit StandIn(std::function<Answer(const Call&)> answer)
      : answer_(std::move(answer)),
        acceptor_(io_, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    thread_ = std::thread([this] { serve(); });
  }
  ~StandIn() {
    stopped_ = true;
    boost::system::error_code ignored;
    Tcp::socket wake(io_);
    wake.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }
  const std::string& address() const { return address_; }
  std::vector<Call> calls(const std::string& target) const {
    const std::lock_guard lock(mutex_);
    std::vector<Call> found;
    std::copy_if(calls_.begin(), calls_.end(), std::back_inserter(found),
                 [&](const Call& c) { return c.target == target; });
    return found;
  }

 private:
  void serve() {
    for (;;) {
      Tcp::socket socket(io_);
      acceptor_.accept(socket);
      if (stopped_) return;
      answerOne(socket);
    }
  }
  void answerOne(Tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    boost::system::error_code ec;
    http::read(socket, buffer, request, ec);
    if (ec) return;
    const Call call{request.method(), std::string(request.target()), request.body()};
    Answer answer = answer_(call);
    {
      const std::lock_guard lock(mutex_);
      calls_.push_back(call);
    }
    http::response<http::string_body> response(static_cast<http::status>(answer.status), 11);
    response.body() = std::move(answer.body);
    response.keep_alive(false);
    response.prepare_payload();
    http::write(socket, response, ec);
  }

  const std::function<Answer(const Call&)> answer_;
  boost::asio::io_context io_;
  Tcp::acceptor acceptor_;
  std::string address_;
  std::atomic<bool> stopped_ = false;
  mutable std::mutex mutex_;
  std::vector<Call> calls_;
  std::thread thread_;
};

// A replica alone that takes every publish, and one proxy that follows it.
class ReplicaModel {
 public:
  StandIn::Answer operator()(const StandIn::Call& call) {
    if (call.target == "/v1/publish") return publish(distribution::parsePublishRequest(call.body));
    if (call.target == "/v1/status") return {200, distribution::formatStatus(status())};
    const std::string changes = "/v1/changes/";
    if (call.target.rfind(changes, 0) != 0) return {404, R"({"error":"no such path","detail":""})"};
    const auto version = std::stoul(call.target.substr(changes.size()));
    if (version == 0 || version > texts.size()) return {404, R"({"error":"no such change","detail":""})"};
    return {200, distribution::formatChange(change(version))};
  }

  std::vector<std::string> texts;
  bool follows = true;  // the proxy
  std::string refuses;  // an error that it reports in place of taking a change

 private:
  StandIn::Answer publish(const distribution::PublishRequest& request) {
    if (request.base != texts.size()) return {409, distribution::formatConflict({texts.size(), "bea"})};
    texts.push_back(request.text);
    return {200, distribution::formatPublished({texts.size(), distribution::digestOf(request.text)})};
  }
  distribution::Change change(distribution::Version version) const {
    distribution::Change c;
    c.version = version;
    c.id = distribution::digestOf(std::to_string(version));
    c.author = "ada";
    c.text = texts[version - 1];
    c.digest = distribution::digestOf(c.text);
    c.previous_digest = distribution::digestOf(version > 1 ? texts[version - 2] : "");
    return c;
  }
  Status status() const {
    Status s;
    s.replica = 1;
    s.version = texts.size();
    s.digest = distribution::digestOf(texts.empty() ? "" : texts.back());
    s.quorum = true;
    s.members = {member(7, follows ? texts.size() : 0)};
    if (follows) s.members[0].digest = s.digest;
    if (!refuses.empty()) {
      s.members[0].version = 0;
      s.members[0].refused = Refusal{texts.size(), s.digest, refuses};
    }
    return s;
  }
};

class ConfigurationCommands : public ::testing::Test {
 protected:
  ConfigurationCommands() { std::filesystem::create_directories(folder); }
  ~ConfigurationCommands() override { std::filesystem::remove_all(folder); }

  std::string file(const std::string& name, const std::string& text) const {
    std::ofstream(folder / name, std::ios::binary) << text;
    return (folder / name).string();
  }
  // The exit status; what it prints goes to `out` and `errors`.
  int run(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), {"client-proxy", "configuration"});
    std::vector<const char*> pointers;
    for (const std::string& a : arguments) pointers.push_back(a.c_str());
    ::testing::internal::CaptureStdout();
    ::testing::internal::CaptureStderr();
    const int status = runCommand(static_cast<int>(pointers.size()), pointers.data());
    out = ::testing::internal::GetCapturedStdout();
    errors = ::testing::internal::GetCapturedStderr();
    return status;
  }
  int publish(const std::vector<std::string>& replicas, const std::string& path,
              const std::vector<std::string>& more = {}) {
    std::vector<std::string> arguments = {"publish", "--author", "ada"};
    for (const std::string& r : replicas) arguments.insert(arguments.end(), {"--replica", r});
    arguments.insert(arguments.end(), more.begin(), more.end());
    arguments.push_back(path);
    return run(arguments);
  }

  const std::filesystem::path folder = std::filesystem::path(::testing::TempDir()) /
                                       ("client-proxy-configuration-" + std::to_string(getpid()));
  const std::string kText = "class a {\n  effect safe\n}\n";
  std::string out, errors;
};

// Nobody listens at port 1.
const std::string kNobody = "127.0.0.1:1";

TEST_F(ConfigurationCommands, PublishIsHeldByAllAndSaysSo) {
  ReplicaModel model;
  StandIn replica(std::ref(model));
  EXPECT_EQ(publish({replica.address()}, file("shared.conf", kText)), 0) << errors;
  EXPECT_EQ(out.rfind("published version 1 by ada, id ", 0), 0U) << out;
  EXPECT_NE(out.find("version 1: held by 1 of 1\n"), std::string::npos) << out;
  EXPECT_EQ(model.texts, std::vector<std::string>{kText});
}

TEST_F(ConfigurationCommands, AnErrorInTheTextIsSaidAndNothingIsSent) {
  StandIn replica([](const auto&) { return StandIn::Answer{}; });
  const std::string broken = file("shared.conf", "class a {\n  effect \"safe\n}\n");
  EXPECT_EQ(publish({replica.address()}, broken), 1);
  EXPECT_NE(errors.find(broken + ":2:10: error: "), std::string::npos) << errors;
  EXPECT_NE(errors.find("nothing was sent"), std::string::npos) << errors;
  EXPECT_TRUE(replica.calls("/v1/publish").empty());
}

const char* const kOperatorFile =
    "listen 127.0.0.1:8080\nclass own {\n  effect safe\n  aim 1s\n  deadline 2s\n}\n"
    "pool p {\n  host h 127.0.0.1:1\n}\n"
    "configuration {\n  file shared.conf\n  replica 1 127.0.0.1:1\n}\n"
    "fleet {\n  listen 127.0.0.1:2\n  member 0 127.0.0.1:2\n  member 7 127.0.0.1:3\n}\n";

TEST_F(ConfigurationCommands, TheCandidateIsCheckedInThePlaceOfTheSharedFileAndTheFleetIsExpected) {
  ReplicaModel model;
  StandIn replica(std::ref(model));
  const std::vector<std::string> with = {"--operator-file", file("proxy.conf", kOperatorFile), "--wait",
                                         "300ms"};
  const std::string candidate = file("candidate.conf", "class own {\n  effect safe\n}\n");
  EXPECT_EQ(publish({replica.address()}, candidate, with), 1) << "with no shared.conf at hand";
  EXPECT_NE(errors.find("shared.conf:1:7: error: "), std::string::npos) << errors;
  EXPECT_TRUE(model.texts.empty());
  file("shared.conf", "what is there is broken {{{");
  file("candidate.conf", "class shared {\n  effect safe\n  aim 1s\n  deadline 2s\n}\n");
  EXPECT_EQ(publish({replica.address()}, candidate, with), 3) << errors;
  EXPECT_NE(out.find("held by 1 of 2\n  member 0: not heard"), std::string::npos) << out;
  const std::string without = file("other.conf", "class a {\n  aim 1s\n}\n");
  EXPECT_EQ(publish({replica.address()}, candidate, {"--operator-file", without}), 1);
}

TEST_F(ConfigurationCommands, AReplicaThatHasNotDecidedIsFollowedByTheNextWithTheSameId) {
  ReplicaModel model;
  StandIn without_quorum([](const auto& call) {
    return call.target == "/v1/publish" ? StandIn::Answer{503, R"({"error":"no quorum","detail":""})"}
                                        : StandIn::Answer{};
  });
  StandIn replica(std::ref(model));
  EXPECT_EQ(publish({kNobody, without_quorum.address(), replica.address()}, file("shared.conf", kText)), 0)
      << errors;
  const auto first = without_quorum.calls("/v1/publish"), second = replica.calls("/v1/publish");
  ASSERT_EQ(first.size(), 1U);
  ASSERT_EQ(second.size(), 1U);
  EXPECT_EQ(first[0].body, second[0].body);
  EXPECT_EQ(distribution::parsePublishRequest(first[0].body).id.size(), 32U);
}

TEST_F(ConfigurationCommands, NobodyDecidesInTimeAndTheIdIsNamedForAnotherTry) {
  EXPECT_EQ(publish({kNobody}, file("shared.conf", kText), {"--wait", "300ms", "--base", "4"}), 1);
  EXPECT_NE(errors.find("not decided"), std::string::npos) << errors;
  EXPECT_NE(errors.find("publish again with --id "), std::string::npos) << errors;
  EXPECT_NE(errors.find(" --base 4"), std::string::npos) << errors;
}

TEST_F(ConfigurationCommands, WithNoReplicaThereNoBaseIsKnownAndNothingIsSent) {
  EXPECT_EQ(publish({kNobody}, file("shared.conf", kText), {"--wait", "300ms"}), 1);
  EXPECT_NE(errors.find("no replica answers; nothing was sent"), std::string::npos) << errors;
}

TEST_F(ConfigurationCommands, AConflictNamesTheNewestAndItsAuthor) {
  ReplicaModel model;
  model.texts = {"a", "b"};
  StandIn replica(std::ref(model));
  EXPECT_EQ(publish({replica.address()}, file("shared.conf", kText), {"--base", "1"}), 1);
  EXPECT_NE(errors.find("version 2 by bea was published meanwhile"), std::string::npos) << errors;
  EXPECT_EQ(model.texts.size(), 2U);
}

TEST_F(ConfigurationCommands, WhoDoesNotHoldItInTimeIsNamedWithExitStatusThree) {
  ReplicaModel model;
  model.follows = false;
  StandIn replica(std::ref(model));
  EXPECT_EQ(publish({replica.address()}, file("shared.conf", kText), {"--wait", "300ms", "--json"}), 3);
  const auto page = nlohmann::json::parse(out);
  EXPECT_EQ(page.at("result"), "published");
  EXPECT_EQ(page.at("progress").at("held_by"), 0);
  EXPECT_EQ(page.at("progress").at("members").at(0).at("state"), "connected but behind");
  EXPECT_EQ(run({"status", "--replica", replica.address(), "--replica", kNobody}), 3);
  EXPECT_NE(out.find("replica 1: version 1, start 0, watched by 1\n"), std::string::npos) << out;
  EXPECT_NE(out.find("replica at 127.0.0.1:1: does not answer\n"), std::string::npos) << out;
  EXPECT_NE(out.find("version 1: held by 0 of 1\n"), std::string::npos) << out;
}

TEST_F(ConfigurationCommands, ARefusalIsShownWithoutWaitingForTheRestOfTheTime) {
  ReplicaModel model;
  model.refuses = "shared.conf:1:7: error: 'class a' is there already";
  StandIn replica(std::ref(model));
  EXPECT_EQ(publish({replica.address()}, file("shared.conf", kText), {"--wait", "1h"}), 3);
  EXPECT_NE(out.find("  member 7: refused: " + model.refuses + "\n"), std::string::npos) << out;
}

TEST_F(ConfigurationCommands, RevertPublishesTheTextOfAnEarlierVersionAsANewOne) {
  ReplicaModel model;
  model.texts = {"define x 1\n", "define x 2\n"};
  StandIn replica(std::ref(model));
  EXPECT_EQ(run({"revert", "1", "--author", "ada", "--replica", replica.address()}), 0) << errors;
  ASSERT_EQ(model.texts.size(), 3U);
  EXPECT_EQ(model.texts[2], model.texts[0]);
  EXPECT_EQ(run({"revert", "9", "--author", "ada", "--replica", replica.address()}), 1);
  EXPECT_NE(errors.find("no replica that answers has version 9"), std::string::npos) << errors;
}

TEST_F(ConfigurationCommands, AWrongCommandLineIsSaid) {
  EXPECT_EQ(publish({"nowhere"}, file("shared.conf", kText)), 2);
  EXPECT_NE(errors.find("nowhere"), std::string::npos) << errors;
  EXPECT_EQ(publish({kNobody}, file("shared.conf", kText), {"--wait", "12"}), 2);
  EXPECT_NE(errors.find("--wait"), std::string::npos) << errors;
}

TEST(ConfigurationReplica, ItsListHoldsItselfAndTheOthersOnce) {
  ReplicaOptions options;
  options.id = 2;
  options.listen = "0.0.0.0:7950";
  options.folder = "data";
  options.replicas = {"1=10.0.0.1:7950", "2=10.0.0.2:7950", "3=10.1.0.1:7950"};
  const replica::Settings settings = settingsOf(options);
  ASSERT_EQ(settings.peers.size(), 2U);
  EXPECT_EQ(settings.peers[1].id, 3);
  EXPECT_EQ(nameOf(settings.peers[1].endpoint), "10.1.0.1:7950");
  for (const char* const wrong : {"3=10.1.0.2:7950", "4=10.1.0.1:7950", "10.1.0.2:7950", "0=10.1.0.2:7950",
                                  "x=10.1.0.2:7950", "4=nowhere"}) {
    ReplicaOptions bad = options;
    bad.replicas.emplace_back(wrong);
    EXPECT_THROW(settingsOf(bad), UsageError) << wrong;
  }
  options.id = 9;
  EXPECT_THROW(settingsOf(options), UsageError);
}

}  // namespace
}  // namespace client_proxy::configuration
