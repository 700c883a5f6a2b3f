// One process after another: frames, state, who serves, and the sockets between the two, each side alone.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "hot_restart/link.h"
#include "net_support.h"

namespace client_proxy::hot_restart {
namespace {

using client_proxy::test::Loop;

// ---- frames and state ----

RC_GTEST_PROP(HandoverFrame, WhatIsEncodedIsReadAndWhatIsCutIsNot, ()) {
  Frame frame;
  frame.type = static_cast<Type>(*rc::gen::inRange(1, 11));
  frame.payload = *rc::gen::string<std::string>();
  const std::string message = encode(frame);
  RC_ASSERT(decode(message) == frame);
  const auto cut = *rc::gen::inRange<std::size_t>(0, message.size());
  RC_ASSERT(!decode(message.substr(0, cut)));
  RC_ASSERT(!decode(message + "x"));
}

TEST(HandoverFrame, OfAnotherVersionOrAnUnknownTypeOrTooLongIsNotRead) {
  std::string message = encode({Type::Hello, "n0"});
  message[0] = static_cast<char>(kVersion + 1);
  EXPECT_FALSE(decode(message));
  message[0] = static_cast<char>(kVersion);
  EXPECT_TRUE(decode(message));
  message[1] = 0;
  EXPECT_FALSE(decode(message));
  message[1] = 99;
  EXPECT_FALSE(decode(message));
  EXPECT_FALSE(decode(""));
  EXPECT_THROW(encode({Type::StatePart, std::string(kMostPayload + 1, 'x')}), std::invalid_argument);
}

load_balancer::HostSnapshot remembered(const std::string& id, int n) {
  return {id, n, n % 2 == 0, n % 3 == 0, n % 5 == 0, 10 * n, 20 * n, 0.5 * n, 30 * n, 40 * n, 1.0 + n};
}

admission::RequestRecord tried(const std::string& id) {
  return {.id = id,
          .key = "k-" + id,
          .safe = false,
          .deduplication_window = 7,
          .began = 11,
          .ended = 13,
          .never_ran = true};
}

TEST(HandoverState, ItsTextReadsAsTheSame) {
  State state{
      "{\"rev\":7}", {remembered("s-1", 0), remembered("s-\"2\"", 15)}, true, {tried("a"), tried("b")}};
  EXPECT_EQ(fromText(toText(state)), state);
  EXPECT_EQ(fromText(toText(State{})), State{});
}

TEST(HandoverState, TimesMoveToAnotherClockAndNoTimeStaysNone) {
  State state{"", {remembered("s-1", 7)}, true, {tried("a")}};
  state.clock_offset = -5;
  EXPECT_EQ(fromText(toText(state)), state);
  State moved = state;
  moved.tried[0].ended = 0;
  const State before = moved;
  shiftTimes(moved, 1000);
  EXPECT_EQ(moved.tried[0].began, before.tried[0].began + 1000);
  EXPECT_EQ(moved.tried[0].ended, 0) << "it is open";
  EXPECT_EQ(moved.tried[0].deduplication_window, before.tried[0].deduplication_window) << "a span";
  EXPECT_EQ(moved.servers[0].ejected_since, before.servers[0].ejected_since + 1000);
  EXPECT_EQ(moved.servers[0].ejected_until, before.servers[0].ejected_until + 1000);
  shiftTimes(moved, -1000);
  EXPECT_EQ(moved, before);
  EXPECT_THROW(fromText(R"({"hosts":"","servers":[],"drained":false,"clock_offset":-9223372036854775808})"),
               std::runtime_error);
}

TEST(HandoverState, OneThatIsNotWholeIsRefusedAsAWhole) {
  const std::string text = toText({"x", {remembered("s-1", 1)}, false, {tried("a")}});
  for (std::size_t cut = 0; cut < text.size(); ++cut)
    EXPECT_THROW(fromText(text.substr(0, cut)), std::runtime_error) << cut;
  EXPECT_THROW(fromText("[]"), std::runtime_error);
  EXPECT_THROW(fromText("{\"hosts\":1,\"servers\":[],\"drained\":false}"), std::runtime_error);
  EXPECT_THROW(fromText("{\"hosts\":\"\",\"servers\":[{}],\"drained\":false}"), std::runtime_error);
  // Numbers that no time or slot has: found by the fuzz target, undefined as conversions.
  for (const char* bad : {"-9e102", "1.5", "3000000000", "true", "\"1\""}) {
    const std::size_t at = text.find("\"slot\":1") + 7;
    EXPECT_THROW(fromText(text.substr(0, at) + bad + text.substr(at + 1)), std::runtime_error) << bad;
  }
}

TEST(HandoverState, WhatWasTriedGoesInPiecesThatFit) {
  std::vector<admission::RequestRecord> many(500, tried(std::string(300, 'x')));
  many.push_back(tried(std::string(kMostPayload, 'y')));  // fits nowhere
  std::size_t read = 0;
  for (const std::string& text : triedToTexts(many)) {
    EXPECT_LE(text.size(), kMostPayload);
    const auto piece = triedFromText(text);
    EXPECT_EQ(piece.at(0), many[0]);
    read += piece.size();
  }
  EXPECT_EQ(read, 500U);
  EXPECT_EQ(triedToTexts({}), std::vector<std::string>{"[]"});
  EXPECT_THROW(triedFromText("[{}]"), std::runtime_error);
}

// A process one release older neither says nor reads it.
TEST(HandoverState, OneThatSaysNothingOfWhatWasTriedIsWholeToo) {
  const State state = fromText("{\"hosts\":\"\",\"servers\":[],\"drained\":false}");
  EXPECT_FALSE(state.tells_tried);
  EXPECT_EQ(toText(state), "{\"drained\":false,\"hosts\":\"\",\"servers\":[]}");
}

// ---- roles ----

using Give = PredecessorRole::Step;
using Take = SuccessorRole::Step;

TEST(HandoverGiver, GoesOnUntilOneThatHasTheStateIsReady) {
  PredecessorRole g("n0");
  g.onPeer(1);
  EXPECT_FALSE(g.informed(1));
  EXPECT_EQ(g.onFrame(1, {Type::Hello, "n0"}), Give::SendState);
  EXPECT_TRUE(g.informed(1));
  EXPECT_FALSE(g.handingOver());
  EXPECT_EQ(g.onFrame(1, {Type::Ready, ""}), Give::Give);
  EXPECT_EQ(g.successor(), PeerId{1});
}

TEST(HandoverGiver, WhatIsOutOfTurnOrOfAnotherNameIsDismissed) {
  PredecessorRole g("n0");
  g.onPeer(1);
  g.onPeer(2);
  EXPECT_EQ(g.onFrame(1, {Type::Hello, "n1"}), Give::Dismiss);
  EXPECT_EQ(g.onFrame(2, {Type::Ready, ""}), Give::Dismiss);  // it has no state
  EXPECT_EQ(g.onFrame(2, {Type::TakeOut, "s-1"}), Give::Dismiss);
  EXPECT_EQ(g.onFrame(2, {Type::Client, ""}), Give::Dismiss);
  EXPECT_EQ(g.onFrame(9, {Type::Hello, "n0"}), Give::None);  // gone before
  EXPECT_FALSE(g.handingOver());
}

TEST(HandoverGiver, OfSeveralTheFirstThatIsReadyGetsItAndOneThatGoesGivesItBack) {
  PredecessorRole g("n0");
  for (const PeerId p : {1U, 2U, 3U}) {
    g.onPeer(p);
    g.onFrame(p, {Type::Hello, "n0"});
  }
  EXPECT_EQ(g.onPeerGone(3), Give::None);
  EXPECT_EQ(g.onFrame(2, {Type::Ready, ""}), Give::Give);
  EXPECT_EQ(g.onFrame(1, {Type::Ready, ""}), Give::Dismiss);
  EXPECT_EQ(g.onPeerGone(1), Give::None);
  g.onPeer(4);
  EXPECT_EQ(g.onFrame(4, {Type::Hello, "n0"}), Give::Dismiss);
  EXPECT_EQ(g.onFrame(2, {Type::TakeOut, "s-1"}), Give::Pass);
  EXPECT_EQ(g.onPeerGone(2), Give::RollBack);
  EXPECT_FALSE(g.handingOver());
  g.onPeer(5);
  EXPECT_EQ(g.onFrame(5, {Type::Hello, "n0"}), Give::SendState);
}

TEST(HandoverTaker, LoadsAWholeStateAndNothingElse) {
  SuccessorRole t;
  EXPECT_EQ(t.onFrame({Type::StatePart, "abc"}), Take::None);
  EXPECT_EQ(t.onFrame({Type::StatePart, "de"}), Take::None);
  EXPECT_FALSE(t.settled());
  EXPECT_EQ(t.onFrame({Type::StateEnd, "5"}), Take::Load);
  EXPECT_EQ(t.state(), "abcde");
  EXPECT_EQ(t.onTimeUp(), Take::None);
  EXPECT_EQ(t.onFrame({Type::Client, ""}), Take::Pass);
  EXPECT_EQ(t.onFrame({Type::TakeOut, "s-1"}), Take::Pass);
  EXPECT_EQ(t.onFrame({Type::Hello, "n0"}), Take::None);
  EXPECT_EQ(t.onGone(), Take::Ended);
  EXPECT_EQ(t.onGone(), Take::None);
}

TEST(HandoverTaker, AnythingElseMeansFromNothingOnce) {
  for (const Frame& bad : {Frame{Type::StateEnd, "4"}, Frame{Type::StateEnd, ""}, Frame{Type::StateEnd, "5x"},
                           Frame{Type::Client, ""}, Frame{Type::Hello, "n0"}}) {
    SuccessorRole t;
    t.onFrame({Type::StatePart, "abcde"});
    EXPECT_EQ(t.onFrame(bad), Take::Fresh) << bad.payload;
    EXPECT_EQ(t.onFrame({Type::StateEnd, "5"}), Take::None);
    EXPECT_EQ(t.onGone(), Take::None);
  }
  SuccessorRole gone, late;
  EXPECT_EQ(gone.onGone(), Take::Fresh);
  EXPECT_EQ(late.onTimeUp(), Take::Fresh);
  SuccessorRole flooded;
  const Frame part{Type::StatePart, std::string(kMostPayload, 'x')};
  Take last = Take::None;
  for (std::size_t n = 0; n <= kMostState / kMostPayload && last == Take::None; ++n)
    last = flooded.onFrame(part);
  EXPECT_EQ(last, Take::Fresh);
}

// ---- sockets ----

struct Side : HotRestartHandler {
  void begin(std::optional<State> s) override { ++begun, got = std::move(s); }
  State state() override { return known; }
  void give(Successor s) override {
    successor = std::move(s);
    if (successor.tell) {
      if (!tried.empty()) successor.tell(tried);
      successor.tell({});
    }
    for (const int fd : clients) given += successor.give(fd) ? 1 : 0;
  }
  void rollBack() override { ++taken_back; }
  void adopt(int descriptor) override { adopted.push_back(descriptor); }
  void recordPredecessorRequests(const std::vector<admission::RequestRecord>& t) override {
    told_tried.insert(told_tried.end(), t.begin(), t.end());
  }
  std::size_t descriptorsHeld() override { return held; }
  void otherHolds(std::size_t n) override { other.push_back(n); }
  void told(const Frame& call) override { calls.push_back(call); }
  bool finished() override { return done; }
  void leave() override { ++left; }
  void log(const std::string& line) override { lines.push_back(line); }
  ~Side() override {
    for (const int fd : adopted) ::close(fd);
  }
  State known;
  std::optional<State> got;
  Successor successor;
  std::vector<admission::RequestRecord> tried, told_tried;
  std::vector<int> clients, adopted;
  std::vector<std::size_t> other;
  std::vector<Frame> calls;
  std::vector<std::string> lines;
  std::size_t held = 0;
  int begun = 0, given = 0, taken_back = 0, left = 0;
  bool done = false;
};

class HandoverLink : public ::testing::Test {
 protected:
  HandoverLink() {
    char name[] = "/tmp/client-proxy-handover-XXXXXX";
    folder = mkdtemp(name);
    path = socketPath(folder, "n0");
  }
  ~HandoverLink() override { std::filesystem::remove_all(folder); }
  std::unique_ptr<HotRestartLink> link(Side& side, const char* name = "n0") {
    auto made = std::make_unique<HotRestartLink>(loop.io, path, name, side, limits);
    made->begin();
    return made;
  }
  // Something that answers at the path and says what a test wants.
  struct Fake {
    std::shared_ptr<Channel> channel;
    std::vector<Frame> got;
    bool gone = false;
  };
  std::unique_ptr<Fake> dial() {
    auto fake = std::make_unique<Fake>();
    fake->channel = std::make_shared<Channel>(loop.io, connectTo(path));
    fake->channel->start([f = fake.get()](const Frame& x, const OwnedDescriptor&) { f->got.push_back(x); },
                         [f = fake.get()] { f->gone = true; });
    return fake;
  }
  Loop loop;
  HotRestartLink::Limits limits{std::chrono::milliseconds(200), std::chrono::milliseconds(5),
                                std::chrono::milliseconds(0)};
  std::string folder, path;
  Side a, b, c;
};

TEST_F(HandoverLink, WithNobodyThereItBeginsFromNothingAtOnce) {
  const auto first = link(a);
  EXPECT_EQ(a.begun, 1);
  EXPECT_FALSE(a.got);
}

TEST_F(HandoverLink, StateClientsAndCallsGoOver) {
  int pair[2];
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
  a.clients = {pair[0]};
  a.known = {std::string(3 * kMostPayload, 'h'), {remembered("s-1", 4)}, true, {tried("early")}};
  a.tried = {tried("early"), tried("late")};
  a.held = 17;
  const auto first = link(a), second = link(b);
  ASSERT_TRUE(loop.until([&] { return b.begun == 1 && b.adopted.size() == 1; }));
  State all = a.known;  // and what was tried until nobody was accepted there any more
  all.tried.insert(all.tried.end(), a.tried.begin(), a.tried.end());
  EXPECT_EQ(b.got, all);
  EXPECT_EQ(a.given, 1);
  ::close(pair[0]);
  ASSERT_EQ(::write(b.adopted[0], "x", 1), 1);  // the same connection
  char byte = 0;
  EXPECT_EQ(::read(pair[1], &byte, 1), 1);
  ::close(pair[1]);
  ASSERT_TRUE(loop.until([&] { return !b.other.empty(); }));
  EXPECT_EQ(b.other.back(), 17U);
  a.successor.tell({tried("end")});
  ASSERT_TRUE(loop.until([&] { return b.told_tried == std::vector{tried("end")}; }));
  first->tell({Type::TakeOut, "s-1"});
  second->tell({Type::PutBack, "s-2"});
  ASSERT_TRUE(loop.until([&] { return a.calls.size() == 1 && b.calls.size() == 1; }));
  EXPECT_EQ(b.calls[0], (Frame{Type::TakeOut, "s-1"}));
  EXPECT_EQ(a.calls[0], (Frame{Type::PutBack, "s-2"}));
  EXPECT_EQ(a.left, 0);
  a.done = true;
  ASSERT_TRUE(loop.until([&] { return a.left == 1; }));
}

TEST_F(HandoverLink, ACallBetweenStateAndReadyIsHeardOfToo) {
  const auto first = link(a);
  const auto fake = dial();
  fake->channel->send({Type::Hello, "n0"});
  ASSERT_TRUE(loop.until([&] { return !fake->got.empty() && fake->got.back().type == Type::StateEnd; }));
  first->tell({Type::TakeOut, "s-1"});
  ASSERT_TRUE(loop.until([&] { return fake->got.back().type == Type::TakeOut; }));
}

TEST_F(HandoverLink, ANewOneThatGoesBeforeItIsReadyChangesNothing) {
  const auto first = link(a);
  for (const bool said : {false, true}) {
    const auto fake = dial();
    if (said) {
      fake->channel->send({Type::Hello, "n0"});
      ASSERT_TRUE(loop.until([&] { return !fake->got.empty(); }));
    }
    fake->channel->close();
    loop.turn();
  }
  EXPECT_FALSE(a.successor.give);
  EXPECT_EQ(a.taken_back, 0);
  const auto second = link(b);
  ASSERT_TRUE(loop.until([&] { return b.begun == 1 && a.successor.give; }));
  EXPECT_TRUE(b.got);
}

TEST_F(HandoverLink, ANewOneThatGoesAfterwardsGivesAllBackAndTheNextIsServed) {
  const auto first = link(a);
  auto second = link(b);
  ASSERT_TRUE(loop.until([&] { return first->handingOver() && b.begun == 1; }));
  second.reset();
  ASSERT_TRUE(loop.until([&] { return a.taken_back == 1; }));
  const auto third = link(c);
  ASSERT_TRUE(loop.until([&] { return c.begun == 1; }));
  EXPECT_TRUE(c.got);
}

TEST_F(HandoverLink, AThirdFindsTheSecondNotTheFirst) {
  b.known.drained = true;
  const auto first = link(a), second = link(b);
  ASSERT_TRUE(loop.until([&] { return first->handingOver() && b.begun == 1; }));
  const auto third = link(c);
  ASSERT_TRUE(loop.until([&] { return c.begun == 1 && second->handingOver(); }));
  EXPECT_TRUE(c.got->drained);
}

TEST_F(HandoverLink, TwoAtOnceLoseNothingAndOneOfThemIsReadyFirst) {
  const auto first = link(a), second = link(b), third = link(c);
  ASSERT_TRUE(loop.until([&] { return b.begun == 1 && c.begun == 1 && first->handingOver(); }));
  EXPECT_EQ(a.taken_back, 0);
}

TEST_F(HandoverLink, AnOldOneThatIsSilentTornOrOfAnotherNameMeansFromNothingInTime) {
  {
    const OwnedDescriptor unresponsive = listenAt(path);
    const auto made = link(b);
    ASSERT_TRUE(loop.until([&] { return b.begun == 1; }));
    EXPECT_FALSE(b.got);
  }
  const auto first = link(a);
  Side other;
  const auto stranger = link(other, "n7");
  ASSERT_TRUE(loop.until([&] { return other.begun == 1; }));
  EXPECT_FALSE(other.got);
  EXPECT_FALSE(first->handingOver());
}

TEST_F(HandoverLink, AStateThatCantBeReadIsNotUsedButThePlaceIsTaken) {
  struct Torn : Side {
    State state() override { return {std::string("\xff\xfe"), {}, false, {}}; }
  } torn;
  const auto first = link(torn), second = link(b);
  ASSERT_TRUE(loop.until([&] { return b.begun == 1 && first->handingOver(); }));
}

TEST_F(HandoverLink, WhatIsLeftOfAKilledOneIsTakenOver) {
  { const OwnedDescriptor dead = listenAt(path); }  // the file stays, nobody listens
  ASSERT_TRUE(std::filesystem::exists(path));
  const auto first = link(a), second = link(b);
  ASSERT_TRUE(loop.until([&] { return b.begun == 1 && b.got; }));
}

TEST_F(HandoverLink, NoiseAtTheSocketIsDismissed) {
  const auto first = link(a);
  const OwnedDescriptor noisy = connectTo(path);
  ASSERT_EQ(::send(noisy.get(), "what is this", 12, 0), 12);
  char byte = 0;
  ASSERT_TRUE(loop.until([&] { return ::recv(noisy.get(), &byte, 1, MSG_DONTWAIT) == 0; }));
  EXPECT_FALSE(first->handingOver());
}

TEST_F(HandoverLink, APathTooLongForAnAddressIsReachedAllTheSame) {
  const std::string deep = folder + "/" + std::string(120, 'd');
  std::filesystem::create_directory(deep);
  path = socketPath(deep, "n0");
  const auto first = link(a), second = link(b);
  ASSERT_TRUE(loop.until([&] { return b.begun == 1 && first->handingOver(); }));
}

}  // namespace
}  // namespace client_proxy::hot_restart
