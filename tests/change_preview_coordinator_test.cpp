// What members tell of a rehearsal in pieces comes together as it was, or not at all.
#include "ownership/change_preview_coordinator.h"

#include <gtest/gtest.h>

#include "random/random.h"

namespace client_proxy::ownership {
namespace {

TEST(RehearsingPieces, ComeTogetherAsTheyWereAndWhatIsMalformedDoesNot) {
  change_preview::PreviewTotals t;
  t.all = 1000.5, t.squares = 3, t.keys_split = 7, t.members = 3, t.seconds = 12;
  for (int i = 0; i < 30; ++i) t.routes["service/route " + std::to_string(i)] = i;
  t.work = {{"a", 0.5}, {"zone b", 7}};
  const std::vector<std::string> pieces = encodeToPieces(t, 180);
  EXPECT_GT(pieces.size(), 3U);
  for (const std::string& p : pieces) EXPECT_LE(p.size(), 180U);
  const auto again = decodeTotals(pieces);
  ASSERT_TRUE(again.has_value());
  EXPECT_EQ(*again, t);
  for (std::size_t without = 0; without < pieces.size(); ++without) {
    std::vector<std::string> some = pieces;
    some.erase(some.begin() + static_cast<std::ptrdiff_t>(without));
    EXPECT_FALSE(decodeTotals(some).has_value() && *decodeTotals(some) == t) << without;
  }
  load_balancer::Random random(3);
  for (int i = 0; i < 3000; ++i) {
    std::string any(random.below(200), '\0');
    for (char& c : any) c = static_cast<char>(random.next());
    if (const auto read = decodeTotals({any})) {
      EXPECT_GE(read->all, 0);
    }
  }
}

}  // namespace
}  // namespace client_proxy::ownership
