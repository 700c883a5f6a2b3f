#include "conf/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <span>

namespace client_proxy::conf {
namespace {

struct Unit {
  std::string_view name;
  double factor;
};

constexpr std::array<Unit, 5> kTimes = {{{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}}};
constexpr std::array<Unit, 7> kSizes = {{{"B", 1},
                                         {"kB", 1e3},
                                         {"MB", 1e6},
                                         {"GB", 1e9},
                                         {"KiB", 1024},
                                         {"MiB", 1024.0 * 1024},
                                         {"GiB", 1024.0 * 1024 * 1024}}};
constexpr std::array<Unit, 3> kRates = {{{"/s", 1}, {"/m", 1.0 / 60}, {"/h", 1.0 / 3600}}};
constexpr std::array<Unit, 1> kPercent = {{{"%", 0.01}}};

struct Split {
  double number = 0;
  std::string_view digits, unit;
};

// Digits with at most one point, then whatever follows. No sign and no exponent: tired eyes misread both.
std::optional<Split> split(std::string_view text) {
  std::size_t end = 0, points = 0, digits = 0;
  for (; end < text.size(); ++end) {
    const char c = text[end];
    if (c == '.') {
      if (++points > 1) return std::nullopt;
    } else if (c >= '0' && c <= '9') {
      ++digits;
    } else {
      break;
    }
  }
  if (digits == 0 || text.front() == '.' || text[end - 1] == '.') return std::nullopt;
  Split s;
  s.digits = text.substr(0, end);
  s.unit = text.substr(end);
  const auto r = std::from_chars(s.digits.data(), s.digits.data() + s.digits.size(), s.number);
  if (r.ec != std::errc{}) return std::nullopt;
  return s;
}

std::string quoted(std::string_view text) {
  std::string all = "'";
  all += text;
  all += '\'';
  return all;
}

std::string listOf(std::span<const Unit> units) {
  std::string all;
  for (const Unit& u : units) {
    if (!all.empty()) all += ", ";
    all += u.name;
  }
  return all;
}

// `likely`: the two units that a bare number probably had.
Read<double> readWith(std::string_view text, std::span<const Unit> units, const char* what,
                      std::string_view likely, std::string_view other) {
  const auto s = split(text);
  if (!s)
    return {0, quoted(text) + " is no " + what,
            "write a number and its unit, such as 20" + std::string(likely)};
  if (s->unit.empty()) {
    std::string hint = "write " + std::string(s->digits) + std::string(likely);
    if (!other.empty()) hint += " or " + std::string(s->digits) + std::string(other);
    return {0, quoted(text) + " has no unit", hint};
  }
  for (const Unit& u : units) {
    if (u.name == s->unit) return {s->number * u.factor, {}, {}};
  }
  return {0, quoted(s->unit) + " is no unit of a " + what, "known are " + listOf(units)};
}

template <typename T>
Read<T> whole(const Read<double>& read, std::string_view text, double most, const char* too_much) {
  if (!read.ok()) return {0, read.message, read.hint};
  if (read.value > most) return {0, quoted(text) + " is too much", too_much};
  const double rounded = std::round(read.value);
  if (std::abs(rounded - read.value) > 1e-6 * std::max(1.0, rounded))
    return {0, quoted(text) + " is finer than can be kept", "write a whole number of the smallest unit"};
  return {static_cast<T>(rounded), {}, {}};
}

std::size_t distance(std::string_view a, std::string_view b) {
  std::vector<std::vector<std::size_t>> d(a.size() + 1, std::vector<std::size_t>(b.size() + 1));
  for (std::size_t i = 0; i <= a.size(); ++i) d[i][0] = i;
  for (std::size_t j = 0; j <= b.size(); ++j) d[0][j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    for (std::size_t j = 1; j <= b.size(); ++j) {
      d[i][j] =
          std::min({d[i - 1][j] + 1, d[i][j - 1] + 1, d[i - 1][j - 1] + (a[i - 1] == b[j - 1] ? 0U : 1U)});
      if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1])
        d[i][j] = std::min(d[i][j], d[i - 2][j - 2] + 1);
    }
  }
  return d[a.size()][b.size()];
}

}  // namespace

Read<std::int64_t> readDuration(std::string_view text) {
  return whole<std::int64_t>(readWith(text, kTimes, "time", "ms", "s"), text, 366 * 24 * 3600e6,
                             "write at most 8784h");
}

Read<std::uint64_t> readSize(std::string_view text) {
  return whole<std::uint64_t>(readWith(text, kSizes, "size", "KiB", "MiB"), text, 1e15,
                              "write at most 900000GiB");
}

Read<double> readRate(std::string_view text) { return readWith(text, kRates, "rate", "/s", "/m"); }

Read<double> readPercent(std::string_view text) {
  Read<double> read = readWith(text, kPercent, "percentage", "%", "");
  if (read.ok() && read.value > 100) return {0, quoted(text) + " is too much", "write at most 10000%"};
  return read;
}

Read<std::uint64_t> readCount(std::string_view text, std::uint64_t least, std::uint64_t most) {
  const std::string bounds = std::to_string(least) + " to " + std::to_string(most);
  std::uint64_t value = 0;
  const auto r = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool all = r.ptr == text.data() + text.size() && !text.empty();
  if (r.ec == std::errc::result_out_of_range && all)
    return {0, quoted(text) + " is too much", "write " + bounds};
  if (r.ec != std::errc{} || !all) return {0, quoted(text) + " is no whole number", "write " + bounds};
  if (value < least || value > most) return {0, quoted(text) + " is out of bounds", "write " + bounds};
  return {value, {}, {}};
}

Read<bool> readSwitch(std::string_view text) {
  if (text == "on" || text == "off") return {text == "on", {}, {}};
  return {false, quoted(text) + " is neither on nor off", "write on or off"};
}

std::string nearest(std::string_view word, const std::vector<std::string>& known) {
  constexpr std::size_t kLongest = 64;  // of a word that may be a mistyped one
  if (word.size() > kLongest) return {};
  std::string best;
  std::size_t least = std::max<std::size_t>(word.size() / 3, 1) + 1;
  for (const std::string& k : known) {
    if (k.size() > kLongest) continue;
    const std::size_t d = distance(word, k);
    if (d < least) least = d, best = k;
  }
  return best;
}

}  // namespace client_proxy::conf
