// Membership of twelve processes of the program, with process and network faults. The tests wait for what the
// operators' pages show; the time limit only ends a test that has failed.
#include <gtest/gtest.h>
#include <stdlib.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <filesystem>
#include <fstream>

#include "fleet/wire.h"
#include "rig/fleet_rig.h"

namespace client_proxy::rig {
namespace {

constexpr std::size_t kMembers = 12;

class Processes : public ::testing::Test {
 protected:
  void SetUp() override {
    rig.startAll();
    ASSERT_TRUE(FleetRig::until([&] { return rig.agree(rig.all()); })) << rig.logs();
  }
  std::set<std::size_t> allExcept(const std::set<std::size_t>& excluded) const {
    std::set<std::size_t> rest = rig.all();
    for (const std::size_t n : excluded) rest.erase(n);
    return rest;
  }
  testing::AssertionResult agree(const std::set<std::size_t>& live) {
    if (FleetRig::until([&] { return rig.agree(live); })) return testing::AssertionSuccess();
    return testing::AssertionFailure() << rig.logs();
  }
  FleetRig rig{CLIENT_PROXY_PROGRAM, kMembers, 11};
};

TEST_F(Processes, KilledMembersAreDetectedAndReturn) {
  rig.kill(5);
  ASSERT_TRUE(agree(allExcept({5})));
  EXPECT_EQ(rig.sees(0, 5), "dead");
  rig.start(5);
  ASSERT_TRUE(agree(rig.all()));
  for (const std::size_t n : {0U, 3U, 6U, 9U}) rig.kill(n);
  ASSERT_TRUE(agree(allExcept({0, 3, 6, 9})));
  for (const std::size_t n : {0U, 3U, 6U, 9U}) rig.start(n);
  ASSERT_TRUE(agree(rig.all()));
  EXPECT_TRUE(FleetRig::until([&] { return rig.page(7).at("sure") == true; })) << rig.page(7);
}

TEST_F(Processes, FrozenMemberIsDeclaredDeadAndRefutesAfterResuming) {
  rig.freeze(4);
  ASSERT_TRUE(agree(allExcept({4})));
  rig.thaw(4);
  ASSERT_TRUE(agree(rig.all()));
  EXPECT_GE(rig.page(4).at("refuted").get<int>(), 1);
}

TEST_F(Processes, PartitionHealsAfterCrashLeaveAndReturn) {
  const std::set<std::size_t> many = {0, 1, 2, 3, 4, 5, 6, 7}, few = {8, 9, 10, 11};
  rig.relay().setCut([](auto a, auto b) { return (a < 8) != (b < 8); });
  ASSERT_TRUE(agree(many));
  ASSERT_TRUE(agree(few));
  EXPECT_EQ(rig.page(9).at("doubt"), "minority");
  rig.kill(1);
  rig.end(10);
  ASSERT_TRUE(agree({0, 2, 3, 4, 5, 6, 7}));
  ASSERT_TRUE(agree({8, 9, 11}));
  EXPECT_EQ(rig.sees(8, 10), "left");
  ASSERT_TRUE(FleetRig::until([&] { return rig.ended(10); }));
  rig.start(10);
  ASSERT_TRUE(agree(few));
  rig.relay().setCut({});
  ASSERT_TRUE(agree(allExcept({1})));
}

TEST_F(Processes, ThreeWayPartitionAndOneWayCutHeal) {
  rig.relay().setCut([](auto a, auto b) { return a % 3 != b % 3; });
  ASSERT_TRUE(agree({0, 3, 6, 9}));
  ASSERT_TRUE(agree({2, 5, 8, 11}));
  // Before the partition has healed, one member can no longer reach any other.
  rig.relay().setCut([](auto a, auto) { return a == 7; });
  ASSERT_TRUE(agree(allExcept({7})));
  rig.relay().setCut({});
  ASSERT_TRUE(agree(rig.all()));
}

TEST_F(Processes, CrashIsDetectedWithLossDelayAndDuplication) {
  rig.relay().setLink({.loss = 0.2,
                       .doubled = 0.1,
                       .least = std::chrono::milliseconds(1),
                       .most = std::chrono::milliseconds(40)});
  rig.kill(2);
  ASSERT_TRUE(FleetRig::until([&] {
    for (const std::size_t n : allExcept({2})) {
      if (rig.sees(n, 2) != "dead") return false;
    }
    return true;
  })) << rig.logs();
  rig.relay().setLink({});
  ASSERT_TRUE(agree(allExcept({2})));
}

// A member behind a flapping link is alive again in all views once the link is stable.
TEST_F(Processes, ViewsConvergeOnceAFlappingLinkIsStable) {
  for (int i = 0; i < 6; ++i) {
    rig.relay().setCut([](auto a, auto b) { return a == 4 || b == 4; });
    ASSERT_TRUE(FleetRig::until([&] { return rig.sees(0, 4) != "alive"; }));
    rig.relay().setCut({});
    ASSERT_TRUE(FleetRig::until([&] { return rig.sees(0, 4) == "alive"; }));
  }
  ASSERT_TRUE(agree(rig.all()));
}

TEST_F(Processes, DatagramOfUnsupportedVersionIsCountedAndOthersAreRead) {
  fleet::Header header;
  header.from = 1;
  header.version = fleet::kNewestVersion + 1;
  header.newest = fleet::kNewestVersion + 1;
  const std::uint64_t seed = fleet::fleetSeed("");
  fleet::Writer writer(header, seed);
  rig.relay().inject(1, 0, writer.finish());
  ASSERT_TRUE(FleetRig::until([&] { return rig.page(0).at("drops").at("version").get<int>() > 0; }))
      << rig.page(0);
  ASSERT_TRUE(agree(rig.all()));
}

TEST(ProcessesAtStart, ViewsConvergeWhenHalfOfTheListedMembersStartLater) {
  FleetRig rig(CLIENT_PROXY_PROGRAM, kMembers, 12);
  std::set<std::size_t> even;
  for (std::size_t n = 0; n < kMembers; n += 2) even.insert(n);
  for (const std::size_t n : even) rig.start(n);
  ASSERT_TRUE(FleetRig::until([&] { return rig.agree(even); })) << rig.logs();
  for (std::size_t n = 1; n < kMembers; n += 2) rig.start(n);
  ASSERT_TRUE(FleetRig::until([&] { return rig.agree(rig.all()); })) << rig.logs();
}

TEST_F(Processes, RandomBytesAndUnknownSendersAreDroppedAndCounted) {
  load_balancer::Random random(3);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes(random.below(400), '\0');
    for (char& c : bytes) c = static_cast<char>(random.next());
    rig.relay().inject(1, 0, bytes);
  }
  boost::asio::io_context io;
  boost::asio::ip::udp::socket unlisted(io, boost::asio::ip::udp::v4());
  const auto counted = [&](const char* cause) { return rig.page(0).at("drops").at(cause).get<int>(); };
  ASSERT_TRUE(FleetRig::until([&] {
    boost::system::error_code ignored;
    unlisted.send_to(boost::asio::buffer("hello", 5), rig.listens(0), 0, ignored);
    return counted("stranger") > 0 && counted("short") > 0 && counted("long") > 0 && counted("foreign") > 0;
  })) << rig.page(0);
  ASSERT_TRUE(agree(rig.all()));
}

TEST_F(Processes, DuplicateNumberIsReportedByBothProcesses) {
  rig.twin(6);
  ASSERT_TRUE(FleetRig::until([&] {
    const auto twin = rig.twinPage(), first = rig.page(6);
    return !twin.is_null() && twin.at("doubt") == "twice" && first.at("doubt") == "twice";
  })) << rig.logs();
  EXPECT_NE(rig.logs().find("another process uses member number 6"), std::string::npos);
}

// Half of the members are upgraded one after the other: no other member notices a change.
TEST_F(Processes, UpgradeIsInvisibleToOtherMembers) {
  ASSERT_TRUE(FleetRig::until([&] { return rig.page(0).at("sure") == true; }));
  for (std::size_t n = 0; n < kMembers; n += 2) {
    const auto before = rig.page(n).at("members").at(n).at("incarnation");
    rig.start(n);
    ASSERT_TRUE(FleetRig::until([&] { return !rig.page(n).is_null() && rig.page(n).at("live") == kMembers; }))
        << rig.logs();
    rig.end(n);
    ASSERT_TRUE(FleetRig::until([&] { return rig.ended(n); })) << rig.logs();
    EXPECT_EQ(rig.page(n).at("members").at(n).at("incarnation"), before) << n;
  }
  ASSERT_TRUE(agree(rig.all()));
  for (std::size_t n = 1; n < kMembers; n += 2) EXPECT_EQ(rig.page(n).at("dead"), 0);
  EXPECT_EQ(rig.logs().find("is dead"), std::string::npos) << rig.logs();
  EXPECT_EQ(rig.logs().find("is left"), std::string::npos) << rig.logs();
}

// The new process dies after it took over: the old one resumes sending and probing.
TEST_F(Processes, OldProcessResumesWhenTheUpgradeDies) {
  rig.start(4);
  ASSERT_TRUE(FleetRig::until([&] { return !rig.page(4).is_null() && rig.page(4).at("live") == kMembers; }))
      << rig.logs();
  ASSERT_TRUE(
      FleetRig::until([&] { return rig.logs().find("another process takes over") != std::string::npos; }));
  rig.killNewest(4);
  rig.kill(7);
  ASSERT_TRUE(agree(allExcept({7})));
  EXPECT_NE(rig.logs().find("the process that took over has gone"), std::string::npos);
  rig.relay().setCut(
      [](auto a, auto b) { return a == 4 || b == 4; });  // no more pings arrive that it would reply to
  const auto sent = rig.page(4).at("datagrams").at("out").get<int>();
  EXPECT_TRUE(FleetRig::until([&] { return rig.page(4).at("datagrams").at("out").get<int>() > sent + 20; }))
      << "it must send probes of its own";
}

TEST_F(Processes, RollingRestartOneMemberAtATimeConverges) {
  for (std::size_t n = 0; n < kMembers; ++n) {
    rig.end(n);
    ASSERT_TRUE(FleetRig::until([&] { return rig.sees((n + 1) % kMembers, n) == "left"; })) << rig.logs();
    rig.kill(n);
    rig.start(n);
  }
  ASSERT_TRUE(agree(rig.all()));
}

// Addresses are configured but the settings do not allow membership: no socket is opened, and there is no
// page.
TEST(FleetOff, NoSocketIsOpenedUnlessTheSettingsAllowMembership) {
  for (const bool allowed : {false, true}) {
    FleetRig rig(CLIENT_PROXY_PROGRAM, 2, 5, allowed);
    rig.startAll();
    ASSERT_TRUE(FleetRig::until([&] {
      return rig.get(0, "/stats").find("app_concurrent") != std::string::npos;
    })) << rig.logs();
    const std::string stats = rig.get(0, "/stats"), page = rig.get(0, "/fleet");
    EXPECT_EQ(page.rfind(allowed ? "HTTP/1.1 200" : "HTTP/1.1 404", 0), 0U) << page;
    EXPECT_EQ(stats.find("app_fleet_") != std::string::npos, allowed);
    boost::asio::io_context io;
    boost::asio::ip::udp::socket same(io, boost::asio::ip::udp::v4());
    boost::system::error_code taken;
    same.bind(rig.listens(0), taken);
    EXPECT_EQ(taken.failed(), allowed);
  }
}

// Standalone proxies, each with an operator file: a member joins when the members file lists it, and a file
// with an error changes nothing.
TEST(FleetFromFiles, ValidMembersFileIsAppliedAndInvalidOneIsIgnored) {
  namespace fs = std::filesystem;
  using Tcp = boost::asio::ip::tcp;
  std::string folder = "/tmp/client-proxy-members-XXXXXX";
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  boost::asio::io_context io;
  const auto address =
      boost::asio::ip::address_v4(0x7F'4F'00'00U | (static_cast<unsigned>(getpid()) & 0xFFFFU));
  const auto textOf = [](const auto& e) { return e.address().to_string() + ":" + std::to_string(e.port()); };
  const auto write = [&](const std::string& name, const std::string& text) {
    std::ofstream(folder + "/new") << text;
    fs::rename(folder + "/new", folder + "/" + name);
    return folder + "/" + name;
  };
  std::vector<std::string> listens;
  std::vector<Tcp::endpoint> consoles;
  for (int n = 0; n < 3; ++n) {
    listens.push_back(textOf(
        boost::asio::ip::udp::socket(io, boost::asio::ip::udp::endpoint(address, 0)).local_endpoint()));
    consoles.push_back(Tcp::acceptor(io, Tcp::endpoint(address, 0)).local_endpoint());
  }
  const auto members = [&](int most) {
    std::string text;
    for (int n = 0; n < most; ++n)
      text += "member " + std::to_string(n) + " " + listens[n] + " {\n  zone z\n}\n";
    return text;
  };
  write("members.conf", members(2));
  std::vector<std::unique_ptr<Child>> children;
  const auto run = [&](int n) {
    const std::string file =
        write(std::to_string(n) + ".conf", "listen 127.0.0.1:0\nclient " + std::to_string(n) +
                                               "\nclass a {\n  effect safe\n  aim 1s\n  deadline 2s\n}\npool "
                                               "p {\n  host h 127.0.0.1:1\n}\nstatus {\n  listen " +
                                               textOf(consoles[n]) + "\n}\nfleet {\n  listen " + listens[n] +
                                               "\n  members-file members.conf\n}\n");
    children.push_back(
        std::make_unique<Child>(std::vector<std::string>{CLIENT_PROXY_PROGRAM, "run", "--operator", file}));
  };
  const auto sees = [&](int n, const std::string& what) {
    return FleetRig::getAt(consoles[n], "/fleet").find(what) != std::string::npos;
  };
  run(0);
  run(1);
  EXPECT_TRUE(FleetRig::until([&] { return sees(0, "\"live\": 2") && sees(1, "\"live\": 2"); }));
  write("members.conf", "member nobody 10.0.0.1:1\n");
  EXPECT_TRUE(children[0]->said("members file not taken"));
  EXPECT_TRUE(sees(0, "\"live\": 2"));
  write("members.conf", members(3));
  EXPECT_TRUE(children[0]->said("members file taken: 3 members"));
  EXPECT_TRUE(children[1]->said("members file taken: 3 members"));
  run(2);
  EXPECT_TRUE(FleetRig::until(
      [&] { return sees(0, "\"live\": 3") && sees(1, "\"live\": 3") && sees(2, "\"live\": 3"); }));
  children.clear();
  fs::remove_all(folder);
}

}  // namespace
}  // namespace client_proxy::rig
