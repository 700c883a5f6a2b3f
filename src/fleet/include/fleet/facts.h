// Data that a member publishes about itself, beside its liveness. The encoding has at most kMaxFactsBytes
// bytes. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace client_proxy::fleet {

constexpr std::size_t kMaxFactsBytes = 96;
constexpr std::size_t kMaxNameBytes = 24;  // of a zone or region; longer names are truncated

// The decoded content of a member's record.
struct Facts {
  std::uint16_t version = 0;  // of the program; 0: not known
  std::string zone, region;
  double traffic = 0;  // requests per second, encoded with an error below 10 %

  // Data of other packages, one note per tag, not interpreted here. Tags below kFirstNote belong to this
  // package.
  struct Note {
    std::uint8_t tag = 0;
    std::string bytes;
    bool operator==(const Note&) const = default;
  };
  std::vector<Note> notes;
  // The note with this tag, or null.
  const Note* find(std::uint8_t tag) const;
  bool operator==(const Facts&) const = default;
};
constexpr std::uint8_t kFirstNote = 16;

// Fields and notes that no longer fit into kMaxFactsBytes are omitted; notes come last.
std::string encode(const Facts& facts);
// Returns nothing if the text is too long or a field extends past the end. Unknown tags become notes, since
// newer versions may write them.
std::optional<Facts> decodeFacts(std::string_view bytes);

// Traffic is encoded logarithmically, in steps of 10 %, so that small fluctuations do not publish a new
// record.
std::uint16_t trafficStep(double per_second);
double trafficOf(std::uint16_t step);

}  // namespace client_proxy::fleet
