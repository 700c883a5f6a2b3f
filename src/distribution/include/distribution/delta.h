// Deltas between two texts.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "distribution/types.h"

namespace client_proxy::distribution {

/// One splice: what is between the common start and the common end of both texts. It cuts no UTF-8 character.
Delta makeDelta(const Change& base, std::string_view text);

/// About how many bytes the delta takes on the wire, without what JSON escapes.
std::size_t sizeOf(const Delta& delta);

/// Nothing: the splices do not lie within the base text in ascending order, or the result exceeds
/// kMaxTextBytes. Whoever applies it holds the result against the digest of the change.
std::optional<std::string> applyDelta(const Delta& delta, std::string_view base_text);

}  // namespace client_proxy::distribution
