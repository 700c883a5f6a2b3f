// The digest of a configuration text.
#pragma once

#include <string>
#include <string_view>

namespace client_proxy::distribution {

/// XXH3-128 of the bytes as 32 lower-case hex digits. It finds damage and mix-ups, not malice.
std::string digestOf(std::string_view text);

/// Whether it is 32 lower-case hex digits, as digests and the ids of publishes are.
bool isHexDigest(std::string_view digits);

}  // namespace client_proxy::distribution
