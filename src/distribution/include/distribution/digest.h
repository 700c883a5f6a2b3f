// The digest that identifies a configuration text.
#pragma once

#include <string>
#include <string_view>

namespace client_proxy::distribution {

/// XXH3-128 of the bytes as 32 lower-case hex digits. It detects corruption and mix-ups but, not being a
/// cryptographic hash, no manipulation.
std::string digestOf(std::string_view text);

/// Whether `digits` is 32 lower-case hex digits, the form of digests and of publish ids.
bool isHexDigest(std::string_view digits);

}  // namespace client_proxy::distribution
