// The messages of the configuration distribution: digests, deltas and the JSON form, with errors that name
// the key.
#include <gtest/gtest.h>

#include <random>

#include "distribution/codec.h"
#include "distribution/delta.h"
#include "distribution/digest.h"

namespace client_proxy::distribution {
namespace {

const std::string kId(32, 'a');

Change changeOf(Version version, const std::string& text) {
  return {version, kId, "op", -5, text, digestOf(text), digestOf("")};
}

std::string errorOf(const std::function<void()>& call) {
  try {
    call();
  } catch (const CodecError& e) {
    return e.what();
  }
  return "no error";
}

TEST(Digest, IsXxh3OfTheBytesInLowerCaseHex) {
  EXPECT_EQ(digestOf(""), "99aa06d3014798d86001c324468d497f");
  EXPECT_TRUE(isHexDigest(digestOf("zone a")));
  EXPECT_FALSE(isHexDigest(std::string(31, 'a')));
  EXPECT_FALSE(isHexDigest(std::string(32, 'A')));
}

TEST(DeltaTest, ApplyingADeltaRestoresTheTextAndNoSpliceCutsACharacter) {
  std::mt19937 random(7);
  const std::string letters[] = {"a", "b", "\n", "\xC3\xA4", "\xC3\xB6", "\xE2\x82\xAC"};
  const auto draw = [&] {
    std::string text;
    for (auto n = random() % 12; n > 0; --n) text += letters[random() % std::size(letters)];
    return text;
  };
  for (int round = 0; round < 5000; ++round) {
    const Change base = changeOf(3, draw());
    const std::string text = draw();
    ChangeNotice notice = noticeOf(changeOf(4, text));
    notice.content = makeDelta(base, text);
    const WatchLine read =
        parseWatchLine(formatWatchLine(notice).substr(0, formatWatchLine(notice).size() - 1));
    ASSERT_EQ(read, WatchLine(notice));
    ASSERT_EQ(applyDelta(std::get<Delta>(std::get<ChangeNotice>(read).content), base.text), text);
  }
}

TEST(DeltaTest, ADeltaIsSentOnlyIfItIsShorterThanTheText) {
  const Change base = changeOf(1, std::string(1000, 'x'));
  EXPECT_TRUE(
      std::holds_alternative<Delta>(noticeOf(changeOf(2, std::string(999, 'x') + "y"), base).content));
  EXPECT_TRUE(std::holds_alternative<std::string>(noticeOf(changeOf(2, "other"), base).content));
}

TEST(DeltaTest, ASpliceOutsideTheBaseTextIsRejected) {
  const std::string base = "0123456789";
  EXPECT_EQ(applyDelta({1, "", {{2, 2, "a"}, {5, 0, "b"}}}, base), "01a4b56789");
  EXPECT_FALSE(applyDelta({1, "", {{11, 0, "a"}}}, base));
  EXPECT_FALSE(applyDelta({1, "", {{9, 2, "a"}}}, base));
  EXPECT_FALSE(applyDelta({1, "", {{9, ~std::uint64_t{0}, "a"}}}, base));
  EXPECT_FALSE(applyDelta({1, "", {{5, 1, "a"}, {4, 1, "b"}}}, base));
  EXPECT_FALSE(applyDelta({1, "", {{0, 0, std::string(kMaxTextBytes, 'a')}}}, base));
}

TEST(Codec, EachMessageIsParsedAsItWasFormatted) {
  const Change change = changeOf(42, "listen 127.0.0.1:80\n\"\xC3\xA4\"\n");
  EXPECT_EQ(parseChange(formatChange(change)), change);
  EXPECT_EQ(parseWatchLine(""), WatchLine(Heartbeat{}));
  EXPECT_EQ(parseWatchLine(R"({"replica":2,"quorum":false})"), WatchLine(QuorumNotice{2, false}));
  EXPECT_EQ(formatWatchLine(Heartbeat{}), "\n");
  Acknowledgement acknowledgement{
      7, 1ULL << 60U, 42, change.digest, true, Refusal{43, kId, "shared.conf:1:2: x"}};
  EXPECT_EQ(parseAcknowledgement(formatAcknowledgement(acknowledgement)), acknowledgement);
  acknowledgement.refused.reset();
  EXPECT_EQ(parseAcknowledgement(formatAcknowledgement(acknowledgement)), acknowledgement);
  const PublishRequest request{kId, "op", 41, change.text};
  EXPECT_EQ(parsePublishRequest(formatPublishRequest(request)), request);
  EXPECT_EQ(parsePublished(formatPublished({42, kId})), (Published{42, kId}));
  EXPECT_EQ(parseConflict(formatConflict({42, "other"})), (Conflict{42, "other"}));
  EXPECT_EQ(parseCallError(formatCallError({"no quorum", "1 of 4"})), (CallError{"no quorum", "1 of 4"}));
  Status status{2,    "south", 42, kId, 3, {"old disk: x"}, {{1, true, 400, 42, -12}, {3, false, {}, 0, {}}},
                true, {}};
  status.members.push_back({7, true, 100, 42, kId, false, Refusal{43, kId, "x"}});
  EXPECT_EQ(parseStatus(formatStatus(status)), status);
}

TEST(Codec, ErrorsNameTheKey) {
  const std::string digest = digestOf("x");
  const auto publish = [&](const std::string& base, const std::string& text) {
    return errorOf([&] {
      parsePublishRequest(R"({"id":")" + kId + R"(","author":"op","base":)" + base + R"(,"text":)" + text +
                          "}");
    });
  };
  EXPECT_EQ(publish("1", R"("x")"), "no error");
  EXPECT_EQ(publish("-1", R"("x")"), "base: is not a whole number of 0 or more");
  EXPECT_EQ(publish("1.5", R"("x")"), "base: is not a whole number of 0 or more");
  EXPECT_EQ(publish("1", "7"), "text: is not a string");
  EXPECT_EQ(publish("1", '"' + std::string(kMaxTextBytes + 1, 'x') + '"'),
            "text: has 1048577 bytes, 1048576 are allowed");
  EXPECT_EQ(publish("1", "\"\xC3\"").substr(0, 12), "is not JSON:");
  EXPECT_EQ(errorOf([&] { parsePublishRequest("{}"); }), "id: is missing");
  EXPECT_EQ(errorOf([&] { parsePublishRequest("[]"); }), "is not an object");
  EXPECT_EQ(errorOf([&] { parsePublishRequest(std::string(kMaxBodyBytes + 1, ' ')); }).substr(0, 15),
            "the message has");
  const std::string head = R"({"version":2,"id":")" + kId + R"(","author":"","published_ms":0,"digest":")" +
                           digest + R"(","previous_digest":")" + digest + R"(",)";
  EXPECT_EQ(errorOf([&] { parseWatchLine(head + R"("text":"x"})"); }), "no error");
  EXPECT_EQ(errorOf([&] { parseWatchLine(head + R"("text":"y"})"); }), "digest: does not match the text");
  EXPECT_EQ(errorOf([&] {
              parseWatchLine(head + R"("delta":{"base":1,"base_digest":")" + kId +
                             R"(","splices":[{"offset":0,"remove":"a"}]}})");
            }),
            "delta.splices[0].remove: is not a whole number of 0 or more");
  EXPECT_EQ(errorOf([&] { formatPublishRequest({kId, "op", 1, "\xC3"}); }).substr(0, 13), "is not UTF-8:");
  EXPECT_EQ(errorOf([&] { parseAcknowledgement(R"({"member":5000000000})"); }), "member: exceeds 4294967295");
}

}  // namespace
}  // namespace client_proxy::distribution
