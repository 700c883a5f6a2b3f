// What a member tells the others of itself beside being there. Its text on the wire is at most kMaxFactsBytes
// bytes long. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace client_proxy::fleet {

constexpr std::size_t kMaxFactsBytes = 96;
constexpr std::size_t kMaxNameBytes = 24;  // of a zone or region; what is longer is cut

struct Facts {
  std::uint16_t version = 0;  // of the program
  std::string zone, region;
  double traffic = 0;  // requests a second; told to within a tenth

  // What other parts tell: one each by tag, kept as it came. Tags below kFirstNote are this package's.
  struct Note {
    std::uint8_t tag = 0;
    std::string bytes;
    bool operator==(const Note&) const = default;
  };
  std::vector<Note> notes;
  const Note* find(std::uint8_t tag) const;
  bool operator==(const Facts&) const = default;
};
constexpr std::uint8_t kFirstNote = 16;

// Notes that do not fit are left out, the last ones first.
std::string encode(const Facts& facts);
// Nothing: too long, or a field runs over the end. Unknown tags become notes: a newer version may write them.
std::optional<Facts> decodeFacts(std::string_view bytes);

// In steps of about a tenth, so that traffic which merely trembles is not told again and again.
std::uint16_t trafficStep(double per_second);
double trafficOf(std::uint16_t step);

}  // namespace client_proxy::fleet
