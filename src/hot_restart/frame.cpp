#include "hot_restart/frame.h"

#include <charconv>
#include <stdexcept>

namespace client_proxy::hot_restart {
namespace {

constexpr std::size_t kHead = 6;

}  // namespace

std::string encode(const Frame& frame) {
  if (frame.payload.size() > kMostPayload) throw std::invalid_argument("a frame's payload is too long");
  const auto length = static_cast<std::uint32_t>(frame.payload.size());
  std::string message;
  message.reserve(kHead + length);
  message += static_cast<char>(kVersion);
  message += static_cast<char>(frame.type);
  for (int shift = 24; shift >= 0; shift -= 8) message += static_cast<char>((length >> shift) & 0xFFU);
  return message + frame.payload;
}

std::optional<Frame> decode(std::string_view message) {
  if (message.size() < kHead || static_cast<std::uint8_t>(message[0]) != kVersion) return std::nullopt;
  const auto type = static_cast<std::uint8_t>(message[1]);
  if (type < static_cast<std::uint8_t>(Type::Hello) || type > static_cast<std::uint8_t>(Type::RequestRecord))
    return std::nullopt;
  std::uint32_t length = 0;
  for (std::size_t i = 2; i < kHead; ++i) length = (length << 8) | static_cast<std::uint8_t>(message[i]);
  if (length > kMostPayload || length != message.size() - kHead) return std::nullopt;
  return Frame{static_cast<Type>(type), std::string(message.substr(kHead))};
}

std::optional<std::uint64_t> numberOf(std::string_view text) {
  std::uint64_t number = 0;
  const auto r = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || r.ec != std::errc{} || r.ptr != text.data() + text.size()) return std::nullopt;
  return number;
}

}  // namespace client_proxy::hot_restart
