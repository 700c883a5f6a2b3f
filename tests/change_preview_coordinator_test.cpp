// Encoding of a change preview's totals: the pieces that members exchange decode to the same totals or are
// rejected.
#include "ownership/change_preview_coordinator.h"

#include <gtest/gtest.h>

#include "random/random.h"

namespace client_proxy::ownership {
namespace {

TEST(RehearsingPieces, TotalsRoundTripAndIncompleteOrMalformedPiecesAreRejected) {
  change_preview::PreviewTotals totals;
  totals.all = 1000.5, totals.squares = 3, totals.keys_split = 7, totals.members = 3, totals.seconds = 12;
  for (int i = 0; i < 30; ++i) totals.routes["service/route " + std::to_string(i)] = i;
  totals.work = {{"a", 0.5}, {"zone b", 7}};
  const std::vector<std::string> pieces = encodeToPieces(totals, 180);
  EXPECT_GT(pieces.size(), 3U);
  for (const std::string& piece : pieces) EXPECT_LE(piece.size(), 180U);
  const auto decoded = decodeTotals(pieces);
  ASSERT_TRUE(decoded.has_value());
  EXPECT_EQ(*decoded, totals);
  for (std::size_t missing = 0; missing < pieces.size(); ++missing) {
    std::vector<std::string> incomplete = pieces;
    incomplete.erase(incomplete.begin() + static_cast<std::ptrdiff_t>(missing));
    EXPECT_FALSE(decodeTotals(incomplete).has_value() && *decodeTotals(incomplete) == totals) << missing;
  }
  load_balancer::Random random(3);
  for (int i = 0; i < 3000; ++i) {
    std::string random_bytes(random.below(200), '\0');
    for (char& c : random_bytes) c = static_cast<char>(random.next());
    if (const auto from_random = decodeTotals({random_bytes})) {
      EXPECT_GE(from_random->all, 0);
    }
  }
}

}  // namespace
}  // namespace client_proxy::ownership
