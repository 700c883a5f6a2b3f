// Basic types of fleet membership: time, member numbers, incarnations, states. docs/fleet.md explains how
// they work together.
#pragma once

#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

namespace client_proxy::fleet {

using Time = std::int64_t;  // microseconds of a steady clock; never compared between members
constexpr Time kMillisecond = 1000, kSecond = 1'000'000;
constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr Time kLongAgo = std::numeric_limits<Time>::min() / 4;  // differences from it do not overflow

// Identifies a member: its configured number, the same in all lists and across restarts.
using Number = std::uint16_t;

// Orders a member's statements about itself, across restarts and without stored state. From the most
// significant bit: 48 bits that start as the process's start time in milliseconds of Unix time and grow by
// one with each suspicion that the member refutes; then a random 16-bit nonce, drawn at the start, that
// distinguishes processes using the same number. 0: nothing received yet.
using Incarnation = std::uint64_t;

constexpr unsigned kNonceBits = 16;
// The three bits above it encode the state in a rumour, so no process may have a higher one.
constexpr Incarnation kMaxIncarnation = (Incarnation{1} << 61) - 1;
constexpr Incarnation incarnationAt(std::int64_t unix_milliseconds, std::uint16_t nonce) {
  return (static_cast<Incarnation>(unix_milliseconds) << kNonceBits) | nonce;
}
constexpr std::uint16_t nonceOf(Incarnation i) { return static_cast<std::uint16_t>(i); }
// The lowest incarnation with this nonce that is above `known`.
constexpr Incarnation nextIncarnation(Incarnation known, std::uint16_t nonce) {
  return ((known >> kNonceBits) + 1) << kNonceBits | nonce;
}

// At the same incarnation the later enumerator wins. Only the member itself returns to Alive, with a higher
// incarnation.
enum class State : std::uint8_t {
  Unknown,  // listed, nothing received about it yet
  Alive,
  Suspect,  // a member could not reach it; becomes Dead unless refuted in time
  Dead,
  Left,  // shut down on its own announcement
};
constexpr bool isLive(State s) { return s == State::Alive || s == State::Suspect; }
// Name on the operators' page and in log lines.
constexpr std::string_view nameOf(State s) {
  switch (s) {
    case State::Unknown:
      return "unheard";
    case State::Alive:
      return "alive";
    case State::Suspect:
      return "suspect";
    case State::Dead:
      return "dead";
    case State::Left:
      return "left";
  }
  return "";
}

// Known liveness of a member. Merging keeps the greater one, so updates may arrive in any order and more than
// once.
struct Standing {
  Incarnation incarnation = 0;
  State state = State::Unknown;
  friend constexpr auto operator<=>(const Standing&, const Standing&) = default;
};

// Version of a member's record of facts. Only the member itself writes it; the greater version wins.
struct RecordVersion {
  Incarnation incarnation = 0;
  std::uint32_t sequence = 0;
  friend constexpr auto operator<=>(const RecordVersion&, const RecordVersion&) = default;
};

}  // namespace client_proxy::fleet
