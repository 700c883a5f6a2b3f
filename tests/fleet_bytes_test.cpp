// Checks the fuzz properties on real datagrams and snapshots, and on variants with one byte changed or cut
// off.
#include <gtest/gtest.h>

#include <map>

#include "fleet_property.h"
#include "fleet_sim.h"
#include "fleet_transport/membership_snapshot.h"

namespace client_proxy::fleet {
namespace {

constexpr std::uint64_t kFleet = 7;  // checksum seed of fuzz/fleet_property.cpp

// One datagram of each kind and size that eight of twelve listed members send, while one of them crashes.
std::vector<std::string> sentDatagrams() {
  sim::World w(12, 3);
  w.settings.fleet = kFleet;
  std::map<std::pair<int, std::size_t>, std::string> kinds;
  w.on_datagram = [&](const std::string& bytes) {
    kinds[{static_cast<unsigned char>(bytes[8]), bytes.size() / 16}] = bytes;
  };
  for (std::size_t n = 0; n < 8; ++n) w.start(n);
  w.runFor(3 * kSecond);
  w.kill(2);
  w.runFor(6 * kSecond);
  std::vector<std::string> all;
  for (const auto& [kind, bytes] : kinds) all.push_back(bytes);
  return all;
}

TEST(FleetBytes, DatagramPropertiesHoldForRealAndMutatedDatagrams) {
  const std::vector<std::string> all = sentDatagrams();
  ASSERT_GE(all.size(), 8U);
  for (const std::string& bytes : all) {
    ASSERT_EQ(fuzz::brokenDatagram(bytes), "");
    for (std::size_t cut = 0; cut < bytes.size(); cut += 7)
      ASSERT_EQ(fuzz::brokenDatagram(std::string_view(bytes).substr(0, cut)), "") << "cut at " << cut;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      for (const char other : {'\0', '\x7F', '\xFF', static_cast<char>(bytes[at] ^ 1)}) {
        std::string changed = bytes;
        changed[at] = other;
        ASSERT_EQ(fuzz::brokenDatagram(changed), "") << "changed byte at " << at;
      }
    }
  }
}

TEST(FleetBytes, SnapshotPropertiesHoldForRealAndMutatedSnapshots) {
  sim::World w(6, 4);
  for (std::size_t n = 0; n < 5; ++n) w.start(n);
  w.runFor(5 * kSecond);
  const std::string text = fleet_transport::toText(w.nodes[1].fleet->snapshot());
  ASSERT_EQ(fuzz::brokenView(text), "");
  for (std::size_t at = 0; at < text.size(); at += 3) {
    ASSERT_EQ(fuzz::brokenView(std::string_view(text).substr(0, at)), "") << "cut at " << at;
    for (const char other : {'9', '-', '[', '}', ' '}) {
      std::string changed = text;
      changed[at] = other;
      ASSERT_EQ(fuzz::brokenView(changed), "") << "changed byte at " << at;
    }
  }
}

}  // namespace
}  // namespace client_proxy::fleet
