// The words of the fleet's own view: docs/fleet.md says what they mean together.
#pragma once

#include <cstdint>
#include <limits>
#include <string_view>
#include <utility>

namespace client_proxy::fleet {

using Time = std::int64_t;  // microseconds, of any steady clock; never compared between members
constexpr Time kMillisecond = 1000, kSecond = 1'000'000;
constexpr Time kNever = std::numeric_limits<Time>::max();
constexpr Time kLongAgo = std::numeric_limits<Time>::min() / 4;  // differences from it do not overflow

// A member's place in the list of members; the same in all lists, also after a restart.
using Number = std::uint16_t;

// How a member's words about itself are put in order, over restarts too and without a disk. From the most
// significant bit: 48 bits that begin as the milliseconds of Unix time at which the process started and grow
// by one with each accusation that the member refutes; 16 bits drawn at the start, by which two processes
// that hold one number tell their own words from the other's. 0: never heard of.
using Incarnation = std::uint64_t;

constexpr unsigned kNonceBits = 16;
// No process has a higher one: the three bits above it hold the state in a rumour.
constexpr Incarnation kMaxIncarnation = (Incarnation{1} << 61) - 1;
constexpr Incarnation incarnationAt(std::int64_t unix_milliseconds, std::uint16_t nonce) {
  return (static_cast<Incarnation>(unix_milliseconds) << kNonceBits) | nonce;
}
constexpr std::uint16_t nonceOf(Incarnation i) { return static_cast<std::uint16_t>(i); }
// The least one of this life that is above `heard`.
constexpr Incarnation nextIncarnation(Incarnation known, std::uint16_t nonce) {
  return ((known >> kNonceBits) + 1) << kNonceBits | nonce;
}

// At one incarnation, what is further down wins: only the member itself leads back, by a higher one.
enum class State : std::uint8_t {
  Unknown,  // listed, and nobody has said a word of it yet
  Alive,
  Suspect,  // somebody could not reach it; it has some time to say otherwise
  Dead,
  Left,  // it said so itself
};
constexpr bool isLive(State s) { return s == State::Alive || s == State::Suspect; }
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

// What is known of a member's liveness. Merging takes the greater one, so the order in which news comes and
// how often does not matter.
struct Standing {
  Incarnation incarnation = 0;
  State state = State::Unknown;
  friend constexpr auto operator<=>(const Standing&, const Standing&) = default;
};

// Of a record of facts: only its owner writes it, newest incarnation and sequence win.
struct RecordVersion {
  Incarnation incarnation = 0;
  std::uint32_t sequence = 0;
  friend constexpr auto operator<=>(const RecordVersion&, const RecordVersion&) = default;
};

}  // namespace client_proxy::fleet
