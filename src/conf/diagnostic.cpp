#include "conf/diagnostic.h"

#include <algorithm>
#include <utility>

namespace client_proxy::conf {
namespace {

constexpr std::size_t kShownBefore = 80, kShownAfter = 40;  // columns around the place

}  // namespace

std::size_t utf8Length(std::string_view s) {
  const auto byte = [&](std::size_t i) { return i < s.size() ? static_cast<unsigned char>(s[i]) : 0U; };
  const auto tail = [&](std::size_t i, unsigned low = 0x80, unsigned high = 0xBF) {
    return byte(i) >= low && byte(i) <= high;
  };
  const unsigned b = byte(0);
  if (b < 0x80) return 1;
  if (b >= 0xC2 && b <= 0xDF) return tail(1) ? 2 : 0;
  if (b >= 0xE0 && b <= 0xEF)
    return tail(1, b == 0xE0 ? 0xA0 : 0x80, b == 0xED ? 0x9F : 0xBF) && tail(2) ? 3 : 0;
  if (b >= 0xF0 && b <= 0xF4)
    return tail(1, b == 0xF0 ? 0x90 : 0x80, b == 0xF4 ? 0x8F : 0xBF) && tail(2) && tail(3) ? 4 : 0;
  return 0;
}

std::uint32_t Sources::add(std::string name, std::string text) {
  File file{std::move(name), std::move(text), {0}};
  for (std::size_t i = 0; i < file.text.size(); ++i) {
    if (file.text[i] == '\n') file.line_starts.push_back(i + 1);
  }
  files_.push_back(std::move(file));
  return static_cast<std::uint32_t>(files_.size() - 1);
}

bool noErrors(const std::vector<Diagnostic>& found) {
  return std::none_of(found.begin(), found.end(),
                      [](const auto& d) { return d.severity == Severity::Error; });
}

std::string_view Sources::line(std::uint32_t file, std::uint32_t number) const {
  const File& f = files_[file];
  if (number == 0 || number > f.line_starts.size()) return {};
  const std::size_t begin = f.line_starts[number - 1];
  const std::size_t end = number < f.line_starts.size() ? f.line_starts[number] - 1 : f.text.size();
  std::string_view line = std::string_view(f.text).substr(begin, end - begin);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

std::string render(const Diagnostic& d, const Sources& sources) {
  std::string out =
      sources.name(d.at.file) + ":" + std::to_string(d.at.line) + ":" + std::to_string(d.at.column);
  out += d.severity == Severity::Error ? ": error: " : ": warning: ";
  out += d.message;
  if (!d.hint.empty()) {
    out += "; ";
    out += d.hint;
  }
  const std::string_view line = sources.line(d.at.file, d.at.line);
  const std::size_t column = std::min<std::size_t>(d.at.column - 1, line.size());
  const std::size_t from = column > kShownBefore ? column - kShownBefore : 0;
  const std::string_view shown = line.substr(from, column - from + kShownAfter);
  out += "\n  ";
  // What is no UTF-8 or would move the caret or the terminal is shown as '?'.
  for (std::size_t i = 0; i < shown.size();) {
    const std::size_t length = utf8Length(shown.substr(i));
    const auto byte = static_cast<unsigned char>(shown[i]);
    if (length == 0 || (byte < 0x20 && byte != '\t') || byte == 0x7F) {
      out += '?';
      ++i;
    } else {
      out += byte == '\t' ? std::string_view(" ") : shown.substr(i, length);
      i += length;
    }
  }
  out += "\n  ";
  // One column a character, not a byte.
  for (std::size_t i = from; i < column; i += std::max<std::size_t>(utf8Length(line.substr(i)), 1))
    out += ' ';
  out += '^';
  const std::size_t most = shown.size() > column - from ? shown.size() - (column - from) : 1;
  out.append(std::min<std::size_t>(std::max<std::size_t>(d.at.length, 1), most) - 1, '~');
  out += '\n';
  return out;
}

}  // namespace client_proxy::conf
