// What members really say, changed byte by byte: what must hold of any datagram and any view holds of these.
#include <gtest/gtest.h>

#include <map>

#include "fleet_property.h"
#include "fleet_sim.h"
#include "fleet_transport/membership_snapshot.h"

namespace client_proxy::fleet {
namespace {

constexpr std::uint64_t kFleet = 7;  // of the properties

// One of each kind and size of what eight members say while one dies, another leaves and records change.
std::vector<std::string> said() {
  sim::World w(12, 3);
  w.settings.fleet = kFleet;
  std::map<std::pair<int, std::size_t>, std::string> kinds;
  w.spy = [&](const std::string& bytes) {
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

TEST(FleetBytes, WhatMustHoldOfAnyDatagramHoldsOfRealOnesAndTheirNeighbours) {
  const std::vector<std::string> all = said();
  ASSERT_GE(all.size(), 8U);
  for (const std::string& bytes : all) {
    ASSERT_EQ(fuzz::brokenDatagram(bytes), "");
    for (std::size_t cut = 0; cut < bytes.size(); cut += 7)
      ASSERT_EQ(fuzz::brokenDatagram(std::string_view(bytes).substr(0, cut)), "") << "cut at " << cut;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
      for (const char other : {'\0', '\x7F', '\xFF', static_cast<char>(bytes[at] ^ 1)}) {
        std::string changed = bytes;
        changed[at] = other;
        ASSERT_EQ(fuzz::brokenDatagram(changed), "") << "another byte at " << at;
      }
    }
  }
}

TEST(FleetBytes, WhatMustHoldOfAnyViewHoldsOfARealOneAndItsNeighbours) {
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
      ASSERT_EQ(fuzz::brokenView(changed), "") << "another byte at " << at;
    }
  }
}

}  // namespace
}  // namespace client_proxy::fleet
