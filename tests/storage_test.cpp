// Durable storage: what was written is read back, and a file that is damaged, foreign or not writable is
// reported and not used.
#include <gtest/gtest.h>
#include <stdlib.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>

#include "storage/async_store.h"

namespace client_proxy::storage {
namespace {

namespace fs = std::filesystem;
using leases::ClaimReason;
using leases::Grant;
using leases::StoredGrant;

class KeepTest : public ::testing::Test {
 protected:
  KeepTest() {
    std::string name = "/tmp/client-proxy-keep-XXXXXX";
    folder = mkdtemp(name.data());
  }
  ~KeepTest() override {
    std::error_code ignored;
    fs::permissions(folder, fs::perms::owner_all, ignored);
    fs::remove_all(folder, ignored);
  }
  std::string file() const { return folder + "/memory.db"; }
  sqlite::Fault faultOf(const Store::Owner& owner) {
    try {
      Store(file(), owner).load();
    } catch (const sqlite::Error& e) {
      EXPECT_NE(std::string(e.what()).find(file()), std::string::npos) << e.what();
      return e.fault();
    }
    ADD_FAILURE() << "the file was loaded without an error";
    return sqlite::Fault::Other;
  }
  void damage(std::streamoff at, const std::string& with) {
    std::fstream f(file(), std::ios::in | std::ios::out | std::ios::binary);
    f.seekp(at);
    f << with;
  }
  const Store::Owner kOwner{"fleet", 7};
  const StoredGrant kStoredGrant{1, {5, 77, ClaimReason::Takeover}, true};
  std::string folder;
};

TEST_F(KeepTest, StoredContentsAreLoadedAndALowerTermIsIgnored) {
  std::uint32_t installation = 0;
  {
    Store s(file(), kOwner);
    const Contents m = s.load();
    EXPECT_TRUE(m.fresh);
    EXPECT_NE(m.installation, 0U);
    installation = m.installation;
    const std::vector<Change> all = {kStoredGrant, Note{"list", std::string("a\0b", 3)},
                                     StoredGrant{2, {1, 9, ClaimReason::Home}, false}};
    s.write(all);
    const std::vector<Change> older = {StoredGrant{1, {4, 12, ClaimReason::Override}, false}};
    s.write(older);
  }
  const Contents m = Store(file(), kOwner).load();
  EXPECT_FALSE(m.fresh);
  EXPECT_EQ(m.installation, installation);
  ASSERT_EQ(m.grants.size(), 2U);
  EXPECT_EQ(m.grants[0], kStoredGrant);
  ASSERT_EQ(m.notes.size(), 1U);
  EXPECT_EQ(m.notes[0].bytes, std::string("a\0b", 3));
}

TEST_F(KeepTest, StorageOfAnotherMemberOrFleetIsRejected) {
  Store(file(), kOwner).load();
  EXPECT_EQ(faultOf({"fleet", 8}), sqlite::Fault::Foreign);
  EXPECT_EQ(faultOf({"other", 7}), sqlite::Fault::Foreign);
}

// Overwrites 16 bytes in every 512 bytes of the file in turn: the damage is either reported or has no effect.
TEST_F(KeepTest, DamageIsReportedOrLeavesTheContentsUnchanged) {
  {
    Store s(file(), kOwner);
    std::vector<Change> all;
    for (leases::ServiceId i = 0; i < 300; ++i)
      all.push_back(StoredGrant{i, {i + 1, 77, ClaimReason::Home}, false});
    s.write(all);
  }
  const std::string intact = file() + ".intact";
  fs::copy_file(file(), intact);
  const auto size = static_cast<std::streamoff>(fs::file_size(intact));
  int reported = 0;
  for (std::streamoff at = 0; at < size; at += 512) {
    fs::copy_file(intact, file(), fs::copy_options::overwrite_existing);
    damage(at, "XXXXXXXXXXXXXXXX");
    try {
      const Contents m = Store(file(), kOwner).load();
      EXPECT_EQ(m.grants.size(), 300U) << at;
      for (const StoredGrant& k : m.grants)
        EXPECT_EQ(k.grant, (Grant{k.service + 1, 77, ClaimReason::Home})) << at;
    } catch (const sqlite::Error& e) {
      EXPECT_TRUE(e.fault() == sqlite::Fault::Corrupt || e.fault() == sqlite::Fault::Other ||
                  e.fault() == sqlite::Fault::Foreign)
          << e.what();
      ++reported;
    }
  }
  EXPECT_GT(reported, 3);
  fs::copy_file(intact, file(), fs::copy_options::overwrite_existing);
  fs::resize_file(file(), 5000);
  EXPECT_EQ(faultOf(kOwner), sqlite::Fault::Corrupt);
}

TEST_F(KeepTest, AFileInPlaceOfTheFolderIsReportedAsReadOnly) {
  std::ofstream(folder + "/taken") << "x";
  boost::asio::io_context io;
  AsyncStore store(io, folder + "/taken", kOwner, {});
  EXPECT_FALSE(store.contents().has_value());
  EXPECT_EQ(store.fault().rfind("read-only: ", 0), 0U) << store.fault();
  EXPECT_FALSE(store.write(Note{"a", "b"})) << "no change is accepted";
}

TEST_F(KeepTest, WrittenChangesAreReportedInOrderAndSyncedInBatches) {
  boost::asio::io_context io;
  const auto work = boost::asio::make_work_guard(io);
  std::vector<leases::ServiceId> written;
  {
    AsyncStore store(io, folder, kOwner,
                     {.written =
                          [&](const Change& c, bool ok) {
                            EXPECT_TRUE(ok);
                            written.push_back(std::get<StoredGrant>(c).service);
                          },
                      .fault_changed = [](const std::string& fault) { EXPECT_EQ(fault, ""); }});
    ASSERT_TRUE(store.contents().has_value());
    for (leases::ServiceId i = 0; i < 500; ++i)
      ASSERT_TRUE(store.write(StoredGrant{i, {1, 77, ClaimReason::Home}, false}));
    for (int attempts = 0; written.size() < 500 && attempts < 1000; ++attempts) {
      io.run_for(std::chrono::milliseconds(20));
    }
    ASSERT_EQ(written.size(), 500U);
    EXPECT_LT(store.syncs(), 250U);
  }
  for (leases::ServiceId i = 0; i < 500; ++i) EXPECT_EQ(written[i], i);
  EXPECT_EQ(Store(file(), kOwner).load().grants.size(), 500U);
}

TEST_F(KeepTest, ChangesQueuedBeforeDestructionAreWritten) {
  boost::asio::io_context io;
  {
    AsyncStore store(io, folder, kOwner,
                     {.written = [](const Change&, bool) {}, .fault_changed = [](const std::string&) {}});
    for (int i = 0; i < 50; ++i) ASSERT_TRUE(store.write(Note{"n" + std::to_string(i), "x"}));
  }
  EXPECT_EQ(Store(file(), kOwner).load().notes.size(), 50U);
}

TEST_F(KeepTest, DiscardedStorageBecomesANewInstallation) {
  boost::asio::io_context io;
  std::uint32_t before = 0;
  {
    AsyncStore store(io, folder, kOwner,
                     {.written = [](const Change&, bool) {}, .fault_changed = [](const std::string&) {}});
    before = store.contents()->installation;
    store.write(kStoredGrant);
    store.discard();
  }
  const Contents m = Store(file(), kOwner).load();
  EXPECT_NE(m.installation, before);
  EXPECT_TRUE(m.grants.empty());
}

// Changes that exceed the space are rejected as a whole, and a smaller one is written afterwards.
TEST_F(KeepTest, AFullDiskIsReportedAndNoneOfTheChangesIsStored) {
  Store s(file(), kOwner);
  s.load();
  s.limitPages(12);
  std::vector<Change> all;
  for (int i = 0; i < 50; ++i) all.push_back(Note{"n" + std::to_string(i), std::string(4000, 'x')});
  try {
    s.write(all);
    FAIL() << "the changes were written without an error";
  } catch (const sqlite::Error& e) {
    EXPECT_EQ(e.fault(), sqlite::Fault::Full) << e.what();
  }
  EXPECT_TRUE(s.load().notes.empty()) << "all or nothing";
  const std::vector<Change> one = {kStoredGrant};
  s.write(one);
  EXPECT_EQ(s.load().grants.size(), 1U);
}

}  // namespace
}  // namespace client_proxy::storage
