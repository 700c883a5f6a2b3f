#include "conf/check.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <utility>

#include "conf/units.h"

namespace client_proxy::conf {
namespace {

struct Value {
  double number = 0;
  std::string text;
  std::string message, hint;
};

// The largest unit in which it is a number of at most three decimals.
std::string inUnits(double value, const std::vector<std::pair<double, const char*>>& units) {
  for (const auto& [factor, unit] : units) {
    const double scaled = value / factor;
    if (scaled < 1 && factor != units.back().first) continue;
    if (std::abs(scaled * 1000 - std::round(scaled * 1000)) > 1e-6 && factor != units.back().first) continue;
    char text[40];
    std::snprintf(text, sizeof text, "%.3f", scaled);
    std::string number = text;
    number.erase(number.find_last_not_of('0') + 1);
    if (number.back() == '.') number.pop_back();
    return number + unit;
  }
  return {};
}

std::string durationText(double us) {
  if (us == 0) return "0s";
  if (us >= 120e6 && std::fmod(us, 60e6) == 0) return inUnits(us, {{3600e6, "h"}, {60e6, "m"}});
  return inUnits(us, {{1e6, "s"}, {1e3, "ms"}, {1, "us"}});
}

std::string sizeText(double bytes) {
  return inUnits(bytes, {{1024.0 * 1024 * 1024, "GiB"}, {1024.0 * 1024, "MiB"}, {1024, "KiB"}, {1, "B"}});
}

std::string numberText(double value) {
  char text[40];
  const auto r = std::to_chars(text, text + sizeof text, value);
  return {text, r.ptr};
}

std::vector<std::string> wordsOf(std::string_view list) {
  std::vector<std::string> words;
  while (!list.empty()) {
    const std::size_t space = std::min(list.find(' '), list.size());
    words.emplace_back(list.substr(0, space));
    list.remove_prefix(std::min(space + 1, list.size()));
  }
  return words;
}

std::string joined(const std::vector<std::string>& words) {
  std::string all;
  for (const std::string& w : words) {
    if (!all.empty()) all += ", ";
    all += w;
  }
  return all;
}

std::string textOf(Kind kind, double value) {
  switch (kind) {
    case Kind::Duration:
      return durationText(value);
    case Kind::Size:
      return sizeText(value);
    case Kind::Percent:
      return numberText(std::round(value * 1e11) / 1e9) + "%";
    default:
      return numberText(value);
  }
}

Value wrong(std::string_view text, const char* what, std::string hint) {
  std::string message = "'";
  message += text;
  message += what;
  return {0, {}, message, std::move(hint)};
}

template <typename T>
Value bounded(const Key& key, std::string_view text, const Read<T>& read) {
  if (!read.ok()) return {0, {}, read.message, read.hint};
  const auto number = static_cast<double>(read.value);
  if (number >= key.least && number <= key.most) return {number, textOf(key.kind, number), {}, {}};
  const std::string least = textOf(key.kind, key.least);
  return wrong(text, "' is out of bounds",
               key.most >= kMostNumber ? "write at least " + least
                                       : "write " + least + " to " + textOf(key.kind, key.most));
}

Read<double> readNumber(std::string_view text) {
  double value = 0;
  const bool plain = !text.empty() && std::all_of(text.begin(), text.end(),
                                                  [](char c) { return c == '.' || (c >= '0' && c <= '9'); });
  const auto r = std::from_chars(text.data(), text.data() + text.size(), value);
  if (plain && r.ec == std::errc{} && r.ptr == text.data() + text.size()) return {value, {}, {}};
  std::string message = "'";
  message += text;
  message += "' is no number";
  return {0, message, "write a number such as 1.5"};
}

bool isName(std::string_view text) {
  return !text.empty() && text.size() <= 200 && std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  });
}

Value readName(std::string_view text) {
  if (!isName(text)) return wrong(text, "' can't be a name", "use letters, digits, '-', '_' and '.'");
  return {0, std::string(text), {}, {}};
}

Value readAddressText(std::string_view text) {
  if (!readAddress(text))
    return wrong(text, "' is no address and port", "write it like 127.0.0.1:8080 or [::1]:8080");
  return {0, std::string(text), {}, {}};
}

Value readValue(const Key& key, std::string_view text) {
  switch (key.kind) {
    case Kind::Duration:
      return bounded(key, text, readDuration(text));
    case Kind::Size:
      return bounded(key, text, readSize(text));
    case Kind::Percent:
      return bounded(key, text, readPercent(text));
    case Kind::Number:
      return bounded(key, text, readNumber(text));
    case Kind::Count:
      return bounded(
          key, text,
          readCount(text, static_cast<std::uint64_t>(key.least), static_cast<std::uint64_t>(key.most)));
    case Kind::Choice: {
      const std::vector<std::string> choices = wordsOf(key.choices);
      const auto it = std::find(choices.begin(), choices.end(), text);
      if (it != choices.end()) return {static_cast<double>(it - choices.begin()), std::string(text), {}, {}};
      const std::string meant = nearest(text, choices);
      return wrong(text, "' is none of its values",
                   meant.empty() ? "write one of " + joined(choices) : "did you mean " + meant + "?");
    }
    case Kind::Name:
      return readName(text);
    case Kind::Text:
      if (text.empty()) return wrong(text, "' is empty", "write something");
      return {0, std::string(text), {}, {}};
    case Kind::Address:
      return readAddressText(text);
    case Kind::Block:
      break;
  }
  return {};
}

class Checker {
 public:
  Checker(const Sources& sources, std::vector<Diagnostic>& found) : sources_(sources), found_(found) {}

  Section section(const Block& block, const std::vector<Statement>& statements) {
    Section out;
    out.block = &block;
    std::map<std::string, Place> seen;  // keys, and the names of blocks behind theirs
    for (const Statement& s : statements) {
      const Key* const key = block.find(s.name().text);
      if (key == nullptr) {
        unknown(block, s.name());
        continue;
      }
      out.tried.push_back(key->name);
      key->kind == Kind::Block ? nested(*key, s, out, seen) : value(*key, s, out, seen);
    }
    return out;
  }

 private:
  void error(const Place& at, std::string message, std::string hint) {
    found_.push_back({Severity::Error, at, std::move(message), std::move(hint)});
  }

  void unknown(const Block& block, const Word& word) {
    std::vector<std::string> known;
    for (const Key& k : block.keys) known.emplace_back(k.name);
    const std::string meant = nearest(word.text, known);
    error(word.at, "'" + word.text + "' is not known here",
          meant.empty() ? "here go " + joined(known) : "did you mean " + meant + "?");
  }

  // False: it is there already.
  bool first(std::map<std::string, Place>& seen, const std::string& what, const Place& at) {
    const auto [it, fresh] = seen.try_emplace(what, at);
    if (fresh) return true;
    const Place& before = it->second;
    error(at, "'" + what + "' is there twice", "it is in " + sources_.lineOf(before) + " already");
    return false;
  }

  void value(const Key& key, const Statement& s, Section& out, std::map<std::string, Place>& seen) {
    const std::string name(key.name);
    if (s.block)
      return error(s.name().at, "'" + name + "' takes a value, no block", "write " + name + " VALUE");
    if (s.words.size() < 2)
      return error(s.name().at, "'" + name + "' has no value", "write " + name + " VALUE");
    if (s.words.size() > 2)
      return error(s.words[2].at, "'" + name + "' takes one value", "put it in quotes, or delete the rest");
    if (!first(seen, name, s.name().at)) return;
    const Word& word = s.words[1];
    Value v = readValue(key, word.text);
    if (!v.message.empty()) return error(word.at, v.message, v.hint);
    out.settings.push_back({&key, word.at, std::move(v.text), v.number, true});
  }

  void nested(const Key& key, const Statement& s, Section& out, std::map<std::string, Place>& seen) {
    const Block& block = *key.block;
    std::string form(key.name);
    if (block.named) form += " NAME";
    if (block.address) form += " ADDRESS:PORT";
    const std::size_t words = 1U + (block.named ? 1U : 0U) + (block.address ? 1U : 0U);
    const bool whole = s.words.size() == words && (s.block || block.address);
    if (!whole) {
      error(s.name().at, "'" + std::string(key.name) + "' is not written like this",
            "write " + form + (block.address ? "" : " { ... }"));
    }
    bool named = whole;
    const auto reads = [&](const Value& v, const Word& word) {
      if (v.message.empty()) return;
      named = false;
      error(word.at, v.message, v.hint);
    };
    const std::string name = block.named && s.words.size() > 1 ? s.words[1].text : std::string();
    if (block.named && s.words.size() > 1) reads(readName(name), s.words[1]);
    if (named && block.address) reads(readAddressText(s.words[2].text), s.words[2]);
    // Its content is looked at in any case: all errors in one run.
    Section inner = section(block, s.children);
    if (!named) return;
    std::string what(key.name);
    if (block.named) what += " " + name;
    if (!first(seen, what, block.named ? s.words[1].at : s.name().at)) return;
    inner.kind = key.name;
    inner.name = name;
    if (block.address) inner.address = s.words[2].text;
    inner.at = s.name().at;
    out.sections.push_back(std::move(inner));
  }

  const Sources& sources_;
  std::vector<Diagnostic>& found_;
};

}  // namespace

std::optional<Setting> Section::find(std::string_view wanted) const {
  for (const Setting& s : settings) {
    if (s.key->name == wanted) return s;
  }
  const Key* const key = block == nullptr ? nullptr : block->find(wanted);
  if (key == nullptr || key->fallback.empty()) return std::nullopt;
  Value v = readValue(*key, key->fallback);
  return Setting{key, at, std::move(v.text), v.number, false};
}

bool Section::has(std::string_view wanted) const {
  return std::any_of(settings.begin(), settings.end(),
                     [&](const Setting& s) { return s.key->name == wanted; });
}

bool Section::wasTried(std::string_view key) const {
  return std::find(tried.begin(), tried.end(), key) != tried.end();
}

const Section* Section::section(std::string_view wanted) const {
  for (const Section& s : sections) {
    if (s.kind == wanted) return &s;
  }
  return nullptr;
}

std::string Section::title() const {
  std::string all(kind);
  if (!name.empty()) all += " " + name;
  return all;
}

Section check(const Block& block, const std::vector<Statement>& statements, const Sources& sources,
              std::vector<Diagnostic>& found) {
  return Checker(sources, found).section(block, statements);
}

std::optional<Address> readAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  Address a;
  a.host = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  const auto r = std::from_chars(port.data(), port.data() + port.size(), a.port);
  if (port.empty() || r.ec != std::errc{} || r.ptr != port.data() + port.size()) return std::nullopt;
  std::uint8_t bytes[16] = {};
  if (a.host.size() > 2 && a.host.front() == '[' && a.host.back() == ']') {
    a.host = a.host.substr(1, a.host.size() - 2);
    if (inet_pton(AF_INET6, a.host.c_str(), bytes) != 1) return std::nullopt;
    a.loopback = std::all_of(bytes, bytes + 15, [](std::uint8_t b) { return b == 0; }) && bytes[15] == 1;
    return a;
  }
  if (inet_pton(AF_INET, a.host.c_str(), bytes) != 1) return std::nullopt;
  a.loopback = bytes[0] == 127;
  return a;
}

}  // namespace client_proxy::conf
