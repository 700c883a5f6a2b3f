// Statements against the schema: what they set, as checked values in the schema's order of meaning. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "conf/schema.h"
#include "conf/syntax.h"

namespace client_proxy::conf {

// One value that was set, or that holds because nothing was.
struct Setting {
  const Key* key = nullptr;
  Place at;
  std::string text;   // in its one form: "2500ms" is "2.5s"
  double number = 0;  // Duration, Size, Percent, Number, Count; of a Choice its index
  bool set = true;    // false: the schema's fallback
};

// A block, or a whole file.
struct Section {
  const Block* block = nullptr;
  std::string_view kind;  // the key that it is the value of; empty: a file
  std::string name;       // of a named block
  std::string address;    // of one that takes it
  Place at;
  std::vector<Setting> settings;        // those that were set
  std::vector<Section> sections;        // in the order of the text
  std::vector<std::string_view> tried;  // keys that are there, also with a value that was refused
  // What holds: set or the fallback; nothing where neither is there.
  std::optional<Setting> find(std::string_view key) const;
  bool has(std::string_view key) const;  // it was set
  bool wasTried(std::string_view key) const;
  const Section* section(std::string_view kind) const;  // the first of a kind; null: none
  // The names of sections of a kind, as "class swap-charge".
  std::string title() const;
};

// Checks each statement by itself: known keys, values with their units and bounds, what may be there once.
// All that is wrong is appended to `found`, and left out of what is returned.
Section check(const Block& block, const std::vector<Statement>& statements, const Sources& sources,
              std::vector<Diagnostic>& found);

// "10.0.0.7:80" or "[::1]:80": address and port, or nothing.
struct Address {
  std::string host;  // without brackets
  std::uint16_t port = 0;
  bool loopback = false;
  friend bool operator==(const Address&, const Address&) = default;
};
std::optional<Address> readAddress(std::string_view text);

}  // namespace client_proxy::conf
