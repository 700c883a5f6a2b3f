#include "distribution/digest.h"

#include <xxhash.h>

#include <algorithm>

namespace client_proxy::distribution {
namespace {

constexpr std::size_t kDigits = 32;
constexpr std::string_view kHex = "0123456789abcdef";

}  // namespace

std::string digestOf(std::string_view text) {
  XXH128_canonical_t bytes;
  XXH128_canonicalFromHash(&bytes, XXH3_128bits(text.data(), text.size()));
  std::string digits;
  digits.reserve(kDigits);
  for (const unsigned char byte : bytes.digest) {
    digits += kHex[byte >> 4U];
    digits += kHex[byte & 0xFU];
  }
  return digits;
}

bool isHexDigest(std::string_view digits) {
  return digits.size() == kDigits && std::all_of(digits.begin(), digits.end(), [](char digit) {
           return kHex.find(digit) != std::string_view::npos;
         });
}

}  // namespace client_proxy::distribution
