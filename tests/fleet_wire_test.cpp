// Encoding and decoding of datagrams and records, and merging of received state.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "fleet/facts.h"
#include "fleet/roster.h"
#include "fleet/wire.h"
#include "random/random.h"

namespace client_proxy::fleet {
namespace {

constexpr std::uint64_t kFleet = 7;

Header header(Kind kind = Kind::Ping) {
  Header h;
  h.kind = kind;
  h.from = 3;
  h.to = 9;
  h.incarnation = incarnationAt(1'790'000'000'123, 0xBEEF);
  h.sequence = 0xFEDCBA98;
  h.view = 77;
  return h;
}

std::string datagram() {
  Writer writer(header(), kFleet);
  writer.add(Rumour{1, {incarnationAt(5, 6), State::Alive}});
  return writer.finish();
}

// The bits above kMaxIncarnation hold the state in rumours, so rumours of such a member could not be decoded.
TEST(FleetWire, IncarnationAboveTheMaximumIsMalformed) {
  Header h = header();
  h.incarnation = kMaxIncarnation + 1;
  EXPECT_EQ(decode(Writer(h, kFleet).finish(), kFleet).fault, Fault::Malformed);
  h.incarnation = kMaxIncarnation;
  EXPECT_EQ(decode(Writer(h, kFleet).finish(), kFleet).fault, Fault::None);
}

TEST(FleetWire, EveryItemSurvivesARoundTrip) {
  Writer writer(header(Kind::Gossip), kFleet);
  ASSERT_TRUE(writer.add(Subject{12}));
  ASSERT_TRUE(writer.add(Rumour{1, {incarnationAt(1'790'000'000'000, 5), State::Suspect}, 8}));
  ASSERT_TRUE(writer.add(Rumour{2, {incarnationAt(1'790'000'000'001, 6), State::Left}}));
  ASSERT_TRUE(writer.add(Digest{4, Digest::Of::Records, {1, 0xFFFFFFFF}}));
  ASSERT_TRUE(writer.add(Block{6, true}));
  ASSERT_TRUE(writer.add(Rumour{3, {1, State::Dead}}));
  ASSERT_TRUE(writer.add(Held{7, {5, 6}, true}));
  ASSERT_TRUE(writer.add(Record{8, {9, 10}, true, "facts"}));
  const Decoded d = decode(writer.finish(), kFleet);
  ASSERT_EQ(d.fault, Fault::None);
  const Header& h = d.message.header;
  EXPECT_EQ(h.kind, Kind::Gossip);
  EXPECT_EQ(h.from, 3);
  EXPECT_EQ(h.to, 9);
  EXPECT_EQ(h.incarnation, header().incarnation);
  EXPECT_EQ(h.sequence, 0xFEDCBA98);
  EXPECT_EQ(h.view, 77U);
  ASSERT_EQ(d.message.items.size(), 8U);
  EXPECT_EQ(std::get<Subject>(d.message.items[0]).member, 12);
  const auto& suspect = std::get<Rumour>(d.message.items[1]);
  EXPECT_EQ(suspect.standing, (Standing{incarnationAt(1'790'000'000'000, 5), State::Suspect}));
  EXPECT_EQ(suspect.by, 8);
  EXPECT_EQ(std::get<Rumour>(d.message.items[2]).standing.state, State::Left);
  const auto& digest = std::get<Digest>(d.message.items[3]);
  EXPECT_EQ(digest.first, 4);
  EXPECT_EQ(digest.of, Digest::Of::Records);
  EXPECT_EQ(digest.hashes, (std::vector<std::uint32_t>{1, 0xFFFFFFFF}));
  EXPECT_TRUE(std::get<Block>(d.message.items[4]).reply_requested);
  EXPECT_EQ(std::get<Rumour>(d.message.items[5]).member, 3);
  EXPECT_EQ(std::get<Held>(d.message.items[6]).version, (RecordVersion{5, 6}));
  const auto& record = std::get<Record>(d.message.items[7]);
  EXPECT_EQ(record.facts, "facts");
  EXPECT_TRUE(record.urgent);
}

TEST(FleetWire, DatagramDoesNotExceedTheMaximumSize) {
  Writer writer(header(), kFleet);
  int fitted = 0;
  while (writer.add(Rumour{1, {1, State::Alive}})) ++fitted;
  EXPECT_EQ(fitted, 22);
  const std::string bytes = writer.finish();
  EXPECT_LE(bytes.size(), kMostDatagram);
  EXPECT_EQ(decode(bytes, kFleet).message.items.size(), 22U);
}

TEST(FleetWire, ForeignAndUnsupportedDatagramsAreRejectedByCause) {
  const std::string good = datagram();
  ASSERT_EQ(decode(good, kFleet).fault, Fault::None);
  EXPECT_EQ(decode(good, kFleet + 1).fault, Fault::Checksum) << "another fleet";
  EXPECT_EQ(decode(good.substr(0, kHeader - 1), kFleet).fault, Fault::Short);
  EXPECT_EQ(decode({}, kFleet).fault, Fault::Short);
  EXPECT_EQ(decode(good + std::string(kMostDatagram, 'x'), kFleet).fault, Fault::Long);
  std::string foreign = good;
  foreign[0] ^= 1;
  EXPECT_EQ(decode(foreign, kFleet).fault, Fault::Foreign);
  std::string later = good;
  later[2] = static_cast<char>(kNewestVersion + 1);
  EXPECT_EQ(decode(later, kFleet).fault, Fault::Version);
  EXPECT_EQ(decode(sealed(later, kFleet), kFleet, kNewestVersion + 1).fault, Fault::None);
}

TEST(FleetWire, ItemWithUnknownTagIsSkipped) {
  Writer writer(header(), kFleet);
  writer.add(Subject{4});
  writer.add(Rumour{1, {1, State::Alive}});
  std::string bytes = writer.finish();
  ASSERT_EQ(bytes[kHeader], 1);  // the subject's tag
  bytes[kHeader] = 99;
  bytes = sealed(std::move(bytes), kFleet);
  const Decoded d = decode(bytes, kFleet);
  ASSERT_EQ(d.fault, Fault::None);
  ASSERT_EQ(d.message.items.size(), 1U);
  EXPECT_EQ(std::get<Rumour>(d.message.items[0]).member, 1);
}

TEST(FleetWire, ItemsPastTheEndAndUnknownKindsAreMalformed) {
  for (const auto& [at, value] :
       std::vector<std::pair<std::size_t, char>>{{kHeader + 1, '\x7F'},  // its length
                                                 {kHeader + 1, 3},       // cut short
                                                 {8, 99}}) {             // unknown kind
    std::string bytes = datagram();
    bytes[at] = value;
    EXPECT_EQ(decode(sealed(std::move(bytes), kFleet), kFleet).fault, Fault::Malformed) << at;
  }
}

TEST(FleetWire, AnyChangedByteIsRejected) {
  rc::check([] {
    std::string bytes = datagram();
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    const auto by = *rc::gen::inRange(1, 256);
    bytes[at] = static_cast<char>(bytes[at] ^ by);
    RC_ASSERT(decode(bytes, kFleet).fault != Fault::None);
  });
}

TEST(FleetWire, ArbitraryItemBytesAreParsedOrMalformed) {
  rc::check([](const std::string& items) {
    std::string bytes = Writer(header(), kFleet).finish();
    bytes += items.substr(0, kMostDatagram - bytes.size());
    const Decoded d = decode(sealed(std::move(bytes), kFleet), kFleet);
    RC_ASSERT(d.fault == Fault::None || d.fault == Fault::Malformed);
  });
}

TEST(FleetFacts, SurviveARoundTripWithinTheirSizeLimits) {
  Facts facts{3, "porto-alegre", "sul", 12.5, {{20, "evidence"}, {21, std::string(40, 'z')}}};
  const auto back = decodeFacts(encode(facts));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->zone, "porto-alegre");
  EXPECT_EQ(back->version, 3);
  EXPECT_NEAR(back->traffic, 12.5, 1.25);
  ASSERT_NE(back->find(20), nullptr);
  EXPECT_EQ(back->find(20)->bytes, "evidence");
  EXPECT_EQ(back->find(99), nullptr);
  facts.notes.push_back({22, std::string(60, 'y')});
  facts.zone = std::string(200, 'a');
  EXPECT_LE(encode(facts).size(), kMaxFactsBytes);
  EXPECT_EQ(decodeFacts(encode(facts))->zone.size(), kMaxNameBytes);
  EXPECT_EQ(decodeFacts(encode(facts))->find(22), nullptr) << "the last notes are omitted";
  EXPECT_FALSE(decodeFacts(std::string("\x02\x09half", 6)));
  EXPECT_FALSE(decodeFacts(std::string(kMaxFactsBytes + 1, '\0')));
}

// Merging the same updates in any order, and more than once, gives the same roster.
TEST(FleetRoster, MergeIsIndependentOfOrderAndRepetition) {
  rc::check([](std::uint32_t seed) {
    struct Update {
      std::size_t slot;
      Standing standing;
      RecordVersion version;
    };
    load_balancer::Random random(seed);
    std::vector<Update> updates;
    for (int i = 0; i < 60; ++i) {
      const Incarnation at = incarnationAt(1 + random.below(3), static_cast<std::uint16_t>(random.below(2)));
      updates.push_back(
          {random.below(5), {at, static_cast<State>(1 + random.below(4))}, {at, random.below(3)}});
    }
    const auto apply = [&](const std::vector<std::size_t>& order) {
      Roster r;
      r.setMembers({{0}, {3}, {17}, {18}, {300}});
      for (const std::size_t i : order) {
        r.merge(updates[i].slot, updates[i].standing, 0);
        r.merge(updates[i].slot, updates[i].version, std::to_string(updates[i].version.sequence));
      }
      return r;
    };
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < updates.size(); ++i) order.push_back(i), order.push_back(i);
    const Roster first = apply(order);
    for (std::size_t i = order.size(); i > 1; --i)
      std::swap(order[i - 1], order[random.below(static_cast<std::uint32_t>(i))]);
    const Roster second = apply(order);
    RC_ASSERT(first.hash() == second.hash());
    for (std::size_t slot = 0; slot < first.size(); ++slot) {
      RC_ASSERT(first.at(slot).standing == second.at(slot).standing);
      RC_ASSERT(first.at(slot).version == second.at(slot).version);
    }
    for (std::uint16_t b = 0; b < first.blocks(); ++b) {
      RC_ASSERT(first.standingsHash(b) == second.standingsHash(b));
      RC_ASSERT(first.recordsHash(b) == second.recordsHash(b));
    }
    RC_ASSERT(first.live() == second.live());
  });
}

TEST(FleetRoster, NewListKeepsListedMembersAndRemovesOthers) {
  Roster r;
  r.setMembers({{1}, {2}, {40}});
  r.merge(0, Standing{5, State::Alive}, 10);
  r.merge(2, Standing{6, State::Dead}, 10);
  r.setMembers({{40}, {1}, {50}});
  ASSERT_EQ(r.size(), 3U);
  EXPECT_EQ(r.at(*r.find(1)).standing, (Standing{5, State::Alive}));
  EXPECT_EQ(r.at(*r.find(40)).standing, (Standing{6, State::Dead}));
  EXPECT_FALSE(r.find(2));
  EXPECT_EQ(r.live(), 1U);
  EXPECT_EQ(r.count(State::Unknown), 1U);
  const std::uint32_t hash = r.hash();
  r.setMembers({{1}, {40}});
  EXPECT_EQ(r.hash(), hash) << "unknown members must not affect the hash";
}

}  // namespace
}  // namespace client_proxy::fleet
