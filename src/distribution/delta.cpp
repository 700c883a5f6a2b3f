#include "distribution/delta.h"

#include <algorithm>

namespace client_proxy::distribution {
namespace {

constexpr std::size_t kDeltaOverhead = 64;   // bytes of the version and digest of the base, as JSON
constexpr std::size_t kSpliceOverhead = 48;  // bytes of the keys and numbers of a splice, as JSON

// Whether splitting the text before byte `at` would split a UTF-8 character (RFC 3629, 3).
bool splitsCharacter(std::string_view text, std::size_t at) {
  constexpr unsigned kContinuationMask = 0xC0, kContinuation = 0x80;
  return at < text.size() && (static_cast<unsigned char>(text[at]) & kContinuationMask) == kContinuation;
}

std::size_t commonPrefix(std::string_view a, std::string_view b) {
  const auto [in_a, in_b] = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  auto length = static_cast<std::size_t>(in_a - a.begin());
  while (length > 0 && (splitsCharacter(a, length) || splitsCharacter(b, length))) --length;
  return length;
}

std::size_t commonSuffix(std::string_view a, std::string_view b) {
  const auto [in_a, in_b] = std::mismatch(a.rbegin(), a.rend(), b.rbegin(), b.rend());
  auto length = static_cast<std::size_t>(in_a - a.rbegin());
  while (length > 0 && splitsCharacter(a, a.size() - length)) --length;
  return length;
}

}  // namespace

Delta makeDelta(const Change& base, std::string_view text) {
  const std::string_view old = base.text;
  const std::size_t start = commonPrefix(old, text);
  const std::size_t end = commonSuffix(old.substr(start), text.substr(start));
  Delta delta{.base = base.version, .base_digest = base.digest, .splices = {}};
  const std::size_t remove = old.size() - start - end;
  const std::string_view insert = text.substr(start, text.size() - start - end);
  if (remove > 0 || !insert.empty()) delta.splices.push_back({start, remove, std::string(insert)});
  return delta;
}

std::size_t sizeOf(const Delta& delta) {
  std::size_t bytes = kDeltaOverhead;
  for (const Splice& splice : delta.splices) bytes += kSpliceOverhead + splice.insert.size();
  return bytes;
}

std::optional<std::string> applyDelta(const Delta& delta, std::string_view base_text) {
  std::string text;
  std::size_t consumed = 0;  // bytes of the base text consumed so far
  for (const Splice& splice : delta.splices) {
    if (splice.offset < consumed || splice.offset > base_text.size()) return std::nullopt;
    if (splice.remove > base_text.size() - splice.offset) return std::nullopt;
    text += base_text.substr(consumed, splice.offset - consumed);
    text += splice.insert;
    consumed = splice.offset + splice.remove;
    if (text.size() > kMaxTextBytes) return std::nullopt;
  }
  text += base_text.substr(consumed);
  if (text.size() > kMaxTextBytes) return std::nullopt;
  return text;
}

}  // namespace client_proxy::distribution
