// What two processes of one proxy say to each other while one takes the other's place. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace client_proxy::hot_restart {

// What a new process says with Ready if it understands Tried; an older one says nothing and is not told.
constexpr std::string_view kUnderstandsTried = "tried";

// Both sides refuse a peer of another version: it then starts from nothing.
constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kMostPayload = std::size_t{32} * 1024;       // of one frame
constexpr std::size_t kMostState = std::size_t{16} * 1024 * 1024;  // of all StatePart frames together

enum class Type : std::uint8_t {
  Hello = 1,     // the new one: I am of this name, tell me what you know
  StatePart,     // the old one: a piece of its state
  StateEnd,      // the old one: that was all; the payload is the length in decimal
  Ready,         // the new one: I serve now, give me your clients
  Client,        // the old one: the descriptor that comes along is a client's connection at rest
  Holds,         // the old one: how many descriptors it still holds, in decimal
  TakeOut,       // either: staff have taken this host out
  PutBack,       // either: staff have put this host back
  Drain,         // either: staff drain this proxy
  TakeClients,   // either: no more
  RequestRecord  // the old one, to one that says so with Ready: requests that may not run a second time
};

struct Frame {
  Type type = Type::Hello;
  std::string payload;
  bool operator==(const Frame&) const = default;
};

// A frame is one message: version, type, the payload's length in four bytes (big-endian), the payload. Throws
// std::invalid_argument if the payload is longer than kMostPayload.
std::string encode(const Frame& frame);
// Nothing: another version, an unknown type, or lengths that do not agree.
std::optional<Frame> decode(std::string_view message);

// A number in decimal; nothing if it is not one.
std::optional<std::uint64_t> numberOf(std::string_view text);

}  // namespace client_proxy::hot_restart
