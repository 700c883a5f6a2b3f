// Four replicas over loopback sockets: publishing, watching, and faults of disks, clocks and subscribers.
#include <gtest/gtest.h>
#include <stdlib.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <filesystem>
#include <fstream>

#include "distribution/codec.h"
#include "distribution/delta.h"
#include "distribution/digest.h"
#include "replica/replica_server.h"
#include "replica/store.h"

namespace client_proxy::replica {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace fs = std::filesystem;
namespace http = boost::beast::http;
using boost::system::error_code;
using distribution::ChangeNotice;
using distribution::Delta;
using distribution::digestOf;
using distribution::Published;
using Endpoint = asio::ip::tcp::endpoint;

// A free port of a loopback address derived from the process id, so that tests running in parallel don't
// collide.
Endpoint freeEndpoint(asio::io_context& io, int number) {
  const auto pid = static_cast<unsigned>(getpid());
  const asio::ip::address_v4 address({127, static_cast<unsigned char>(64 + (pid >> 8U) % 128),
                                      static_cast<unsigned char>(pid % 256),
                                      static_cast<unsigned char>(number)});
  return asio::ip::tcp::acceptor(io, {address, 0}).local_endpoint();
}

// A subscriber that records the lines it receives.
class Subscriber : public std::enable_shared_from_this<Subscriber> {
 public:
  Subscriber(asio::io_context& io, Endpoint endpoint, std::string query)
      : socket_(io), endpoint_(endpoint), query_(std::move(query)) {}
  ~Subscriber() { stop(); }
  void start(bool reads = true) {
    socket_.async_connect(endpoint_, [self = shared_from_this(), reads](error_code ec) {
      if (ec) return;
      self->request_ = "GET /v1/configuration?watch=1" + self->query_ + " HTTP/1.1\r\nHost: x\r\n\r\n";
      asio::async_write(self->socket_, asio::buffer(self->request_),
                        [self, reads](error_code failed, std::size_t) {
                          if (!failed && reads) self->read();
                        });
    });
  }
  void stop() {
    error_code ignored;
    socket_.close(ignored);
  }
  const ChangeNotice* lastChange() const { return changes.empty() ? nullptr : &changes.back(); }

  std::vector<ChangeNotice> changes;
  std::vector<bool> quorum;
  int heartbeats = 0;
  bool ended = false;

 private:
  void read() {
    socket_.async_read_some(asio::buffer(read_buffer_),
                            [self = shared_from_this()](error_code ec, std::size_t size) {
                              if (ec) {
                                self->ended = true;
                                return;
                              }
                              self->received_.append(self->read_buffer_.data(), size);
                              self->parseChunks();
                              self->read();
                            });
  }
  void parseChunks() {
    if (!head_skipped_) {
      const std::size_t end = received_.find("\r\n\r\n");
      if (end == std::string::npos) return;
      received_.erase(0, end + 4);
      head_skipped_ = true;
    }
    for (;;) {
      const std::size_t line = received_.find("\r\n");
      if (line == std::string::npos) return;
      const std::size_t size = std::stoul(received_.substr(0, line), nullptr, 16);
      if (received_.size() < line + 2 + size + 2) return;
      handleLine(distribution::parseWatchLine(std::string_view(received_).substr(line + 2, size - 1)));
      received_.erase(0, line + 2 + size + 2);
    }
  }
  void handleLine(const distribution::WatchLine& line) {
    if (const auto* change = std::get_if<ChangeNotice>(&line)) changes.push_back(*change);
    if (const auto* notice = std::get_if<distribution::QuorumNotice>(&line)) quorum.push_back(notice->quorum);
    heartbeats += std::holds_alternative<distribution::Heartbeat>(line) ? 1 : 0;
  }

  asio::ip::tcp::socket socket_;
  const Endpoint endpoint_;
  const std::string query_;
  std::string request_, received_;
  std::array<char, 65536> read_buffer_{};
  bool head_skipped_ = false;
};

struct Reply {
  unsigned status = 0;  // 0: no reply
  std::string body;
};

class ReplicaTest : public ::testing::Test {
 protected:
  static constexpr int kReplicas = 4;

  ReplicaTest() {
    std::string name = "/tmp/client-proxy-replica-XXXXXX";
    folder = mkdtemp(name.data());
    for (int n = 1; n <= kReplicas; ++n) endpoints.push_back(freeEndpoint(io, n));
    servers.resize(kReplicas);
    logs.resize(kReplicas);
    clocks.resize(kReplicas);
  }
  ~ReplicaTest() override {
    servers.clear();
    std::error_code ignored;
    fs::remove_all(folder, ignored);
  }

  void start(int id) {
    Settings settings;
    settings.id = static_cast<distribution::ReplicaId>(id);
    settings.listen = endpoints[id - 1];
    settings.folder = folderOf(id);
    for (int peer = 1; peer <= kReplicas; ++peer) {
      if (peer != id)
        settings.peers.push_back({static_cast<distribution::ReplicaId>(peer), endpoints[peer - 1]});
    }
    settings.log = [this, id](const std::string& line) { logs[id - 1] += line + "\n"; };
    if (clocks[id - 1] != 0) settings.wall_clock = [this, id] { return clocks[id - 1]; };
    settings.rules.hello_interval = settings.rules.hello_interval_joining = consensus::Time(50);
    settings.rules.publish_timeout = settings.rules.contact_timeout = consensus::Time(1500);
    settings.rules.base_wait = consensus::Time(300);
    settings.slow_subscriber_timeout = std::chrono::milliseconds(500);
    servers[id - 1] = std::make_unique<ReplicaServer>(io, settings);
  }
  void stop(int id) { servers[id - 1].reset(); }
  void startAll() {
    for (int id = 1; id <= kReplicas; ++id) start(id);
    ASSERT_TRUE(runUntil([&] {
      return std::all_of(servers.begin(), servers.end(),
                         [](const auto& server) { return server->status().quorum; });
    }));
  }
  std::string folderOf(int id) const { return folder + "/" + std::to_string(id); }
  std::string fileOf(int id) const { return folderOf(id) + "/replica.db"; }
  ReplicaServer& server(int id) { return *servers[id - 1]; }
  bool hasFault(int id, const std::string& prefix) {
    for (const std::string& fault : server(id).status().faults) {
      if (fault.rfind(prefix, 0) == 0) return true;
    }
    return false;
  }

  bool runUntil(const std::function<bool()>& condition) {
    constexpr std::chrono::seconds kTimeout{30};
    for (const auto end = std::chrono::steady_clock::now() + kTimeout;
         std::chrono::steady_clock::now() < end;) {
      if (condition()) return true;
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  Reply call(int id, http::verb method, const std::string& target, const std::string& body = {}) {
    Reply reply;
    bool done = false;
    beast::tcp_stream stream(io);
    http::request<http::string_body> request(method, target, 11, body);
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    stream.async_connect(endpoints[id - 1], [&](error_code connected) {
      if (connected) return void(done = true);
      http::async_write(stream, request, [&](error_code written, std::size_t) {
        if (written) return void(done = true);
        http::async_read(stream, buffer, response, [&](error_code read, std::size_t) {
          if (!read) reply = {response.result_int(), response.body()};
          done = true;
        });
      });
    });
    EXPECT_TRUE(runUntil([&] { return done; }));
    return reply;
  }
  Reply publish(int id, distribution::Version base, const std::string& text, const std::string& key = {}) {
    const std::string publish_id = digestOf(key.empty() ? "publish of " + text : key);
    return call(id, http::verb::post, "/v1/publish",
                distribution::formatPublishRequest({publish_id, "op", base, text}));
  }
  bool allReachVersion(distribution::Version version) {
    return runUntil([&] {
      return std::all_of(servers.begin(), servers.end(),
                         [&](const auto& server) { return !server || server->status().version == version; });
    });
  }
  std::shared_ptr<Subscriber> subscribe(int id, const std::string& query) {
    auto subscriber = std::make_shared<Subscriber>(io, endpoints[id - 1], query);
    subscriber->start();
    subscribers.push_back(subscriber);
    return subscriber;
  }

  asio::io_context io;
  std::string folder;
  std::vector<Endpoint> endpoints;
  std::vector<std::unique_ptr<ReplicaServer>> servers;
  std::vector<std::string> logs;
  std::vector<std::int64_t> clocks;
  std::vector<std::shared_ptr<Subscriber>> subscribers;
};

TEST_F(ReplicaTest, ChangeReachesSubscribersOfAllReplicasAndStatusShowsAcknowledgements) {
  startAll();
  std::vector<std::shared_ptr<Subscriber>> all;
  for (int id = 1; id <= kReplicas; ++id)
    all.push_back(subscribe(id, "&member=" + std::to_string(id) + "&from=0"));
  const std::string first(2000, 'a'), second = first + "b";
  EXPECT_EQ(distribution::parsePublished(publish(1, 0, first).body), (Published{1, digestOf(first)}));
  const auto allReceived = [&](distribution::Version version) {
    return runUntil([&] {
      return std::all_of(all.begin(), all.end(), [&](const auto& one) {
        return one->lastChange() != nullptr && one->lastChange()->version == version;
      });
    });
  };
  ASSERT_TRUE(allReceived(1));
  EXPECT_EQ(std::get<std::string>(all[3]->lastChange()->content), first);
  EXPECT_EQ(publish(2, 1, second).status, 200U);
  ASSERT_TRUE(allReceived(2));
  for (const auto& one : all) {
    const auto& delta = std::get<Delta>(one->lastChange()->content);
    EXPECT_EQ(distribution::applyDelta(delta, first), second);
    EXPECT_EQ(delta.base_digest, digestOf(first));
    EXPECT_EQ(one->lastChange()->previous_digest, digestOf(first));
  }
  const distribution::Refusal refusal{2, digestOf(second), "shared.conf:1:1: error: zone"};
  const auto acknowledge = [&](std::uint64_t sequence, distribution::Version version, auto refused) {
    return call(3, http::verb::post, "/v1/acknowledgements",
                distribution::formatAcknowledgement({3, sequence, version, digestOf(first), false, refused}))
        .status;
  };
  EXPECT_EQ(acknowledge(7, 1, std::optional(refusal)), 204U);
  EXPECT_EQ(acknowledge(6, 0, std::optional<distribution::Refusal>()), 204U)
      << "an older sequence number is ignored";
  const auto status = distribution::parseStatus(call(3, http::verb::get, "/v1/status").body);
  ASSERT_EQ(status.members.size(), 1U);
  EXPECT_TRUE(status.members[0].connected);
  EXPECT_EQ(status.members[0].version, 1U);
  EXPECT_EQ(status.members[0].refused, refusal);
  EXPECT_EQ(status.peers.size(), 3U);
  all[2]->stop();
  EXPECT_TRUE(runUntil([&] { return !server(3).status().members[0].connected; }));
}

TEST_F(ReplicaTest, WatchStartsWithDeltaFullTextOrNothingDependingOnSubscribersVersion) {
  startAll();
  std::string text;
  for (distribution::Version version = 0; version < 20; ++version) {
    text += std::string(100, static_cast<char>('a' + version)) + "\n";
    ASSERT_EQ(publish(1, version, text).status, 200U);
  }
  ASSERT_TRUE(allReachVersion(20));
  const std::string digest = digestOf(text), nineteenth = digestOf(text.substr(0, 19 * 101));
  const auto newest = subscribe(2, "&from=20&digest=" + digest);
  const auto one_behind = subscribe(2, "&from=19&digest=" + nineteenth);
  const auto far_behind = subscribe(2, "&from=1&digest=" + digestOf(text.substr(0, 101)));
  const auto wrong_digest = subscribe(2, "&from=19&digest=" + digest);
  const auto ahead = subscribe(2, "&from=21&digest=" + digest);
  ASSERT_TRUE(runUntil([&] {
    return one_behind->lastChange() && far_behind->lastChange() && wrong_digest->lastChange() &&
           newest->heartbeats > 0 && ahead->heartbeats > 0;
  }));
  EXPECT_TRUE(std::holds_alternative<Delta>(one_behind->lastChange()->content));
  EXPECT_TRUE(std::holds_alternative<std::string>(far_behind->lastChange()->content));
  EXPECT_TRUE(std::holds_alternative<std::string>(wrong_digest->lastChange()->content));
  EXPECT_TRUE(newest->changes.empty() && ahead->changes.empty());
  EXPECT_EQ(distribution::parseChange(call(3, http::verb::get, "/v1/changes/1").body).text,
            text.substr(0, 101));
  EXPECT_EQ(call(3, http::verb::get, "/v1/changes/21").status, 404U);
}

TEST_F(ReplicaTest, ConflictsRepeatedPublishesAndBadRequestsGetMatchingReplies) {
  startAll();
  ASSERT_EQ(publish(1, 0, "one", "key").status, 200U);
  ASSERT_TRUE(allReachVersion(1));
  EXPECT_EQ(distribution::parseConflict(publish(2, 0, "other").body), (distribution::Conflict{1, "op"}));
  EXPECT_EQ(distribution::parsePublished(publish(3, 0, "one", "key").body), (Published{1, digestOf("one")}));
  EXPECT_EQ(publish(3, 1, "two", "key").status, 400U) << "the id was used with another text";
  EXPECT_EQ(publish(4, 7, "far ahead").status, 409U);
  EXPECT_EQ(call(1, http::verb::post, "/v1/publish", R"({"id":"x"})").body,
            R"({"error":"id: is not 32 lower-case hex digits"})");
  EXPECT_EQ(
      call(1, http::verb::post, "/v1/publish", std::string(distribution::kMaxBodyBytes + 1, ' ')).status,
      413U);
  EXPECT_EQ(call(1, http::verb::get, "/v1/other").status, 404U);
  EXPECT_EQ(call(1, http::verb::get, "/v1/configuration?watch=1&from=x").status, 400U);
  EXPECT_EQ(call(1, http::verb::post, "/v1/replica", R"({"from":2,"to":3,"wall_ms":0,"messages":[]})").status,
            400U);
}

TEST_F(ReplicaTest, WithoutQuorumNothingIsChosenAndRemainingReplicasServe) {
  startAll();
  ASSERT_EQ(publish(1, 0, "one").status, 200U);
  ASSERT_TRUE(allReachVersion(1));
  stop(3);
  stop(4);
  const Reply reply = publish(1, 1, "two");
  EXPECT_EQ(reply.status, 503U);
  EXPECT_EQ(distribution::parseCallError(reply.body).error, "no quorum");
  const auto subscriber = subscribe(2, "&from=0");
  ASSERT_TRUE(runUntil([&] { return subscriber->lastChange() && !subscriber->quorum.empty(); }));
  EXPECT_EQ(subscriber->lastChange()->version, 1U);
  EXPECT_FALSE(subscriber->quorum.back());
  start(3);
  start(4);
  ASSERT_TRUE(runUntil([&] { return server(1).status().quorum && server(3).status().quorum; }));
  EXPECT_EQ(distribution::parsePublished(publish(3, 1, "two").body), (Published{2, digestOf("two")}))
      << "a retry with the same id";
  ASSERT_TRUE(runUntil([&] { return subscriber->lastChange()->version == 2; }));
  EXPECT_TRUE(runUntil([&] { return subscriber->quorum.back(); }));
}

TEST_F(ReplicaTest, OldOrEmptiedDiskIsReportedAndMissingChangesAreFetched) {
  startAll();
  ASSERT_EQ(publish(1, 0, "one").status, 200U);
  ASSERT_TRUE(allReachVersion(1));
  stop(2);
  fs::copy(folderOf(2), folder + "/backup", fs::copy_options::recursive);
  start(2);
  ASSERT_TRUE(runUntil([&] { return server(2).status().quorum; }));
  ASSERT_EQ(publish(1, 1, "two").status, 200U);
  ASSERT_TRUE(allReachVersion(2));
  stop(2);
  fs::remove_all(folderOf(2));
  fs::rename(folder + "/backup", folderOf(2));
  start(2);
  EXPECT_EQ(server(2).status().version, 1U);
  ASSERT_TRUE(runUntil([&] { return server(2).status().quorum; }));
  ASSERT_TRUE(allReachVersion(2));
  EXPECT_TRUE(hasFault(2, "old disk: ")) << logs[1];
  EXPECT_NE(logs[1].find("old disk: "), std::string::npos);
  stop(2);
  fs::remove_all(folderOf(2));
  logs[1].clear();
  start(2);
  ASSERT_TRUE(runUntil([&] { return server(2).status().quorum; }));
  EXPECT_TRUE(hasFault(2, "old disk: ")) << "an emptied disk is reported as well";
  ASSERT_TRUE(allReachVersion(2));
  EXPECT_EQ(publish(2, 2, "three").status, 200U);
}

TEST_F(ReplicaTest, FullDiskIsReportedAndReplicaRecoversOnceThereIsSpace) {
  startAll();
  ASSERT_EQ(publish(1, 0, "one").status, 200U);
  ASSERT_TRUE(allReachVersion(1));
  server(2).limitPagesForTests(1);
  const std::string large(200'000, 'x');
  EXPECT_EQ(publish(2, 1, large, "key").status, 507U);
  ASSERT_TRUE(runUntil([&] { return hasFault(2, "full disk: "); }));
  ASSERT_EQ(publish(1, 1, large, "key").status, 200U);
  EXPECT_EQ(server(2).status().version, 1U) << "it keeps serving the version on its disk";
  EXPECT_FALSE(server(2).status().quorum);
  server(2).limitPagesForTests(0);
  ASSERT_TRUE(allReachVersion(2));
  EXPECT_FALSE(hasFault(2, "full disk: "));
  EXPECT_FALSE(hasFault(2, "old disk: "));
}

TEST_F(ReplicaTest, ReplacingDiskOfFailingReplicaNeverLowersItsVersion) {
  startAll();
  for (distribution::Version version = 0; version < 3; ++version)
    ASSERT_EQ(publish(1, version, "text " + std::to_string(version)).status, 200U);
  ASSERT_TRUE(allReachVersion(3));
  const auto subscriber = subscribe(2, "&from=0");
  server(2).limitPagesForTests(1);
  ASSERT_EQ(publish(2, 3, std::string(200'000, 'x'), "key").status, 507U);
  fs::remove_all(folderOf(2));
  server(2).limitPagesForTests(0);
  ASSERT_TRUE(runUntil([&] {
    EXPECT_GE(server(2).status().version, 3U);
    return server(2).status().quorum;
  }));
  ASSERT_EQ(publish(1, 3, "four").status, 200U);
  ASSERT_TRUE(runUntil([&] { return subscriber->lastChange() && subscriber->lastChange()->version == 4; }));
  distribution::Version last = 0;
  for (const ChangeNotice& change : subscriber->changes) {
    EXPECT_GT(change.version, last);
    last = change.version;
  }
}

TEST_F(ReplicaTest, BrokenDatabaseIsReportedLeftInPlaceAndRefusesPublishes) {
  startAll();
  ASSERT_EQ(publish(1, 0, std::string(20'000, 'x')).status, 200U);
  ASSERT_TRUE(allReachVersion(1));
  stop(4);
  fs::resize_file(fileOf(4), 5000);
  start(4);
  EXPECT_TRUE(hasFault(4, "broken database: " + fileOf(4))) << logs[3];
  EXPECT_EQ(publish(4, 1, "two").status, 503U);
  EXPECT_EQ(publish(1, 1, "two").status, 200U);
  EXPECT_EQ(fs::file_size(fileOf(4)), 5000U);
  fs::remove_all(folderOf(4));
  ASSERT_TRUE(allReachVersion(2));
  EXPECT_TRUE(hasFault(4, "old disk: "));
}

TEST_F(ReplicaTest, SlowSubscriberIsDisconnectedAndOthersAreServed) {
  startAll();
  const auto reader = subscribe(1, "&from=0");
  const auto stalled = std::make_shared<Subscriber>(io, endpoints[0], "&from=0");
  stalled->start(false);
  ASSERT_TRUE(runUntil([&] { return server(1).watches() == 2; }));
  distribution::Version version = 0;
  while (server(1).watches() == 2 && version < 40) {
    std::string text(distribution::kMaxTextBytes, static_cast<char>('a' + version % 26));
    ASSERT_EQ(publish(1, version, text, std::to_string(version)).status, 200U);
    ++version;
    ASSERT_TRUE(runUntil([&] { return reader->lastChange() && reader->lastChange()->version == version; }));
  }
  EXPECT_EQ(server(1).watches(), 1U);
}

TEST_F(ReplicaTest, SkewedWallClockIsReportedAndDoesNotPreventPublishing) {
  clocks = {0, 0, 1'000'000'000'000, 0};
  startAll();
  ASSERT_EQ(publish(3, 0, "one").status, 200U);
  ASSERT_TRUE(allReachVersion(1));
  EXPECT_TRUE(runUntil([&] { return hasFault(1, "clock: replica 3 differs by "); }));
  EXPECT_FALSE(hasFault(1, "clock: replica 2"));
}

// Overwrites 16 bytes at every multiple of 256 bytes in turn: loading the file either reports the damage or
// returns the complete state.
TEST_F(ReplicaTest, DamagedDatabaseFileIsDetectedOrLoadsCompletely) {
  fs::create_directories(folderOf(1));
  constexpr distribution::Version kChanges = 8;
  {
    Store store(fileOf(1), 1, 1000);
    std::vector<consensus::Write> writes = {consensus::SaveStart{3, 77, false, 1}};
    for (distribution::Version v = 1; v <= kChanges; ++v) {
      const std::string text(1000, static_cast<char>('a' + v));
      writes.emplace_back(
          consensus::SaveChosen{{v, digestOf(text), "op", 0, text, digestOf(text), digestOf("")}});
    }
    store.write(writes);
  }
  const std::string undamaged = folder + "/undamaged";
  fs::copy_file(fileOf(1), undamaged);
  int detected = 0;
  for (std::streamoff at = 0; at < static_cast<std::streamoff>(fs::file_size(undamaged)); at += 256) {
    fs::copy_file(undamaged, fileOf(1), fs::copy_options::overwrite_existing);
    std::fstream(fileOf(1), std::ios::in | std::ios::out | std::ios::binary).seekp(at) << "XXXXXXXXXXXXXXXX";
    try {
      Store store(fileOf(1), 1, 1000);
      const auto state = store.load();
      EXPECT_EQ(state.changes.size(), kChanges) << at;
      EXPECT_EQ(state.start_count, 3U) << at;
    } catch (const sqlite::Error& e) {
      EXPECT_NE(std::string(e.what()).find(fileOf(1)), std::string::npos) << e.what();
      ++detected;
    }
  }
  EXPECT_GT(detected, 10);
  fs::copy_file(undamaged, fileOf(1), fs::copy_options::overwrite_existing);
  EXPECT_THROW(Store(fileOf(1), 2, 1000).load(), sqlite::Error) << "the database belongs to another replica";
}

}  // namespace
}  // namespace client_proxy::replica
