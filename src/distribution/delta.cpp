#include "distribution/delta.h"

#include <algorithm>

namespace client_proxy::distribution {
namespace {

constexpr std::size_t kDeltaHead = 64;   // base and digest, as JSON
constexpr std::size_t kSpliceHead = 48;  // the names and numbers of a splice

// Whether a cut before this byte goes through a UTF-8 character (RFC 3629, 3).
bool cutsCharacter(std::string_view text, std::size_t at) {
  constexpr unsigned kContinuationMask = 0xC0, kContinuation = 0x80;
  return at < text.size() && (static_cast<unsigned char>(text[at]) & kContinuationMask) == kContinuation;
}

std::size_t commonStart(std::string_view a, std::string_view b) {
  const auto [in_a, in_b] = std::mismatch(a.begin(), a.end(), b.begin(), b.end());
  auto length = static_cast<std::size_t>(in_a - a.begin());
  while (length > 0 && (cutsCharacter(a, length) || cutsCharacter(b, length))) --length;
  return length;
}

std::size_t commonEnd(std::string_view a, std::string_view b) {
  const auto [in_a, in_b] = std::mismatch(a.rbegin(), a.rend(), b.rbegin(), b.rend());
  auto length = static_cast<std::size_t>(in_a - a.rbegin());
  while (length > 0 && cutsCharacter(a, a.size() - length)) --length;
  return length;
}

}  // namespace

Delta makeDelta(const Change& base, std::string_view text) {
  const std::string_view old = base.text;
  const std::size_t start = commonStart(old, text);
  const std::size_t end = commonEnd(old.substr(start), text.substr(start));
  Delta delta{.base = base.version, .base_digest = base.digest, .splices = {}};
  const std::size_t remove = old.size() - start - end;
  const std::string_view insert = text.substr(start, text.size() - start - end);
  if (remove > 0 || !insert.empty()) delta.splices.push_back({start, remove, std::string(insert)});
  return delta;
}

std::size_t sizeOf(const Delta& delta) {
  std::size_t bytes = kDeltaHead;
  for (const Splice& splice : delta.splices) bytes += kSpliceHead + splice.insert.size();
  return bytes;
}

std::optional<std::string> applyDelta(const Delta& delta, std::string_view base_text) {
  std::string text;
  std::size_t taken = 0;  // of the base text
  for (const Splice& splice : delta.splices) {
    if (splice.offset < taken || splice.offset > base_text.size()) return std::nullopt;
    if (splice.remove > base_text.size() - splice.offset) return std::nullopt;
    text += base_text.substr(taken, splice.offset - taken);
    text += splice.insert;
    taken = splice.offset + splice.remove;
    if (text.size() > kMaxTextBytes) return std::nullopt;
  }
  text += base_text.substr(taken);
  if (text.size() > kMaxTextBytes) return std::nullopt;
  return text;
}

}  // namespace client_proxy::distribution
