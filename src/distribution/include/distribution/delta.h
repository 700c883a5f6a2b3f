// Creates and applies deltas between two texts.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "distribution/types.h"

namespace client_proxy::distribution {

/// A delta of at most one splice, which replaces what lies between the common prefix and the common suffix of
/// both texts. It splits no UTF-8 character.
Delta makeDelta(const Change& base, std::string_view text);

/// Estimates the bytes that the delta takes on the wire, without JSON escapes.
std::size_t sizeOf(const Delta& delta);

/// std::nullopt: the splices are not in ascending order within the base text, or the result exceeds
/// kMaxTextBytes. The caller must compare the result with the digest of the change.
std::optional<std::string> applyDelta(const Delta& delta, std::string_view base_text);

}  // namespace client_proxy::distribution
