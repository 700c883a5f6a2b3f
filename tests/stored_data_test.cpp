// Compatibility: data that earlier versions have stored or sent is read with its original meaning. The files
// under tests/stored were written by commit 0724e26, before the packages were renamed.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "distribution/digest.h"
#include "fleet/wire.h"
#include "hot_restart/frame.h"
#include "hot_restart/state.h"
#include "replica/store.h"
#include "storage/store.h"

namespace client_proxy {
namespace {

namespace fs = std::filesystem;

std::string contentOf(const std::string& name) {
  std::ifstream in(std::string(STORED_DATA) + "/" + name, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// A writable copy of a stored file, which is deleted with the object.
class Copy {
 public:
  explicit Copy(const std::string& name) {
    std::string folder = "/tmp/client-proxy-stored-XXXXXX";
    folder_ = mkdtemp(folder.data());
    path_ = folder_ + "/" + name;
    fs::copy_file(std::string(STORED_DATA) + "/" + name, path_);
  }
  ~Copy() {
    std::error_code ignored;
    fs::remove_all(folder_, ignored);
  }
  Copy(const Copy&) = delete;
  Copy& operator=(const Copy&) = delete;
  const std::string& path() const { return path_; }

 private:
  std::string folder_, path_;
};

const admission::RequestRecord kRecord{.id = "r-1",
                                       .key = "k-1",
                                       .safe = false,
                                       .deduplication_window = 5'000'000,
                                       .began = 10,
                                       .ended = 20,
                                       .never_ran = true};

TEST(StoredData, LeasesAndNotesOfAMemberAreLoaded) {
  const Copy file("storage.db");
  storage::Store store(file.path(), {"fleet", 7});
  const storage::Contents contents = store.load();
  EXPECT_FALSE(contents.fresh);
  const std::vector<leases::StoredGrant> expected = {{1, {5, 77, leases::ClaimReason::Takeover}, true},
                                                     {2, {9, 78, leases::ClaimReason::Override}, false}};
  EXPECT_EQ(contents.grants, expected);
  ASSERT_EQ(contents.notes.size(), 1U);
  EXPECT_EQ(contents.notes[0].name, "running");
  EXPECT_EQ(contents.notes[0].bytes, "1");
}

TEST(StoredData, VotesAndVersionsOfAReplicaAreLoaded) {
  const Copy file("replica.db");
  replica::Store store(file.path(), 2, 1000);
  const consensus::DurableState state = store.load();
  EXPECT_EQ(state.start_count, 3U);
  EXPECT_TRUE(state.runs.contains(99));
  EXPECT_FALSE(state.recovering);
  EXPECT_EQ(state.first_vote, 2U);
  EXPECT_EQ(state.vote, (consensus::Vote{.slot = 2, .promised = {4, 3, 11}, .accepted = {}, .value = {}}));
  ASSERT_TRUE(state.peers.contains(3));
  EXPECT_EQ(state.peers.at(3), (consensus::PeerRecord{7, 21, 1, 2}));
  const auto changes = store.changesFrom(1, 10, 1000);
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes[0].author, "ada");
  EXPECT_EQ(changes[0].text, "classes {\n}\n");
  EXPECT_EQ(changes[0].digest, distribution::digestOf(changes[0].text));
}

TEST(StoredData, StateOfThePreviousProcessOfAHotRestartIsParsedAndWrittenUnchanged) {
  const hot_restart::State state = hot_restart::fromText(contentOf("state.txt"));
  EXPECT_EQ(state.hosts, R"({"rev":41,"all":true,"targets":[]})");
  const load_balancer::HostSnapshot host{.id = "s-1",
                                         .slot = 4,
                                         .in_maintenance = true,
                                         .ejected = true,
                                         .unresponsive = true,
                                         .ejected_since = 1000,
                                         .ejected_until = 9000,
                                         .failure_score = 1.5,
                                         .failure_score_at = 900,
                                         .slow_start_since = 700,
                                         .latency_ratio = 2.25};
  ASSERT_EQ(state.servers.size(), 1U);
  EXPECT_EQ(state.servers[0], host);
  EXPECT_TRUE(state.drained);
  EXPECT_EQ(state.tried, std::vector{kRecord});
  EXPECT_EQ(state.fleet, "fleet bytes");
  EXPECT_EQ(hot_restart::toText(state), contentOf("state.txt"))
      << "the same state is written as the same text";
}

TEST(StoredData, FramesOfAHotRestartAreDecodedAndEncodedUnchanged) {
  EXPECT_EQ(hot_restart::triedFromText(contentOf("tried.txt")), std::vector{kRecord});
  const auto frame = hot_restart::decode(contentOf("frame.bin"));
  ASSERT_TRUE(frame);
  EXPECT_EQ(*frame, (hot_restart::Frame{hot_restart::Type::TakeOut, "s-1"}));
  EXPECT_EQ(hot_restart::encode(*frame), contentOf("frame.bin"));
}

TEST(StoredData, DatagramsBetweenMembersAreDecodedAndEncodedUnchanged) {
  const std::uint64_t seed = fleet::fleetSeed("fleet");
  const fleet::Decoded decoded = fleet::decode(contentOf("datagram.bin"), seed);
  ASSERT_EQ(decoded.fault, fleet::Fault::None);
  EXPECT_EQ(decoded.message.header.kind, fleet::Kind::Ack);
  EXPECT_EQ(decoded.message.header.sequence, 77U);
  ASSERT_EQ(decoded.message.items.size(), 4U);
  const auto& rumour = std::get<fleet::Rumour>(decoded.message.items[0]);
  EXPECT_EQ(rumour.member, 4);
  EXPECT_EQ(rumour.standing, (fleet::Standing{6, fleet::State::Suspect}));
  EXPECT_EQ(rumour.by, 9);
  EXPECT_EQ(std::get<fleet::Record>(decoded.message.items[1]).facts, "facts");
  EXPECT_TRUE(std::get<fleet::Block>(decoded.message.items[2]).reply_requested);
  EXPECT_EQ(std::get<fleet::ApplicationPayload>(decoded.message.items[3]).bytes, "bytes");
  fleet::Writer writer(decoded.message.header, seed);
  for (const fleet::Item& item : decoded.message.items) EXPECT_TRUE(writer.add(item));
  EXPECT_EQ(writer.finish(), contentOf("datagram.bin"));
}

}  // namespace
}  // namespace client_proxy
