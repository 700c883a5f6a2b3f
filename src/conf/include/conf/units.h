// Values with units, as an operator writes them. A unit is never left out where a value has one.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace client_proxy::conf {

// What was read, or what is wrong with it and what to write instead.
template <typename T>
struct Read {
  T value{};
  std::string message, hint;  // message empty: it was read
  bool ok() const { return message.empty(); }
};

// "250ms", "1.5s", "2m", "1h", "100us"; in microseconds, at most 366 days.
Read<std::int64_t> readDuration(std::string_view text);
// "64KiB", "2MiB", "1GiB", "512B", "10kB", "5MB"; in bytes. Binary units are 1024-fold, decimal ones
// 1000-fold.
Read<std::uint64_t> readSize(std::string_view text);
// "5/s", "300/m", "0.5/s"; a second.
Read<double> readRate(std::string_view text);
// "20%", "0.5%"; as a part of one. Not above 10,000 %.
Read<double> readPercent(std::string_view text);
// A whole number without a unit, within bounds.
Read<std::uint64_t> readCount(std::string_view text, std::uint64_t least, std::uint64_t most);
// "on" or "off".
Read<bool> readSwitch(std::string_view text);

// The known word that `word` was probably meant to be: at most a third of its letters are changed, swapped,
// missing or too many (optimal string alignment). Empty: none is near.
std::string nearest(std::string_view word, const std::vector<std::string>& known);

}  // namespace client_proxy::conf
