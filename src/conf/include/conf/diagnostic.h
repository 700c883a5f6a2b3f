// What is wrong with a configuration, where, and what to write instead.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace client_proxy::conf {

// A place in a text. Lines and columns count from 1; columns are bytes. `file` indexes the list of files
// read.
struct Place {
  std::uint32_t file = 0, line = 1, column = 1, length = 1;
};

enum class Severity : std::uint8_t { Error, Warning };

struct Diagnostic {
  Severity severity = Severity::Error;
  Place at;
  std::string message;  // what is wrong
  std::string hint;     // what to write instead; may be empty
};

// Warnings at most.
bool noErrors(const std::vector<Diagnostic>& found);

// The texts that were read, so that a message can show the line it is about.
class Sources {
 public:
  std::uint32_t add(std::string name, std::string text);
  const std::string& name(std::uint32_t file) const { return files_[file].name; }
  const std::string& text(std::uint32_t file) const { return files_[file].text; }
  std::string_view line(std::uint32_t file, std::uint32_t number) const;
  // "file:line", to name a place in a message about another.
  std::string lineOf(const Place& at) const { return name(at.file) + ":" + std::to_string(at.line); }
  std::size_t size() const { return files_.size(); }

 private:
  struct File {
    std::string name, text;
    std::vector<std::size_t> line_starts;
  };
  std::vector<File> files_;
};

// The length of the UTF-8 sequence at the start of `s`, 0 if there is none that is valid (RFC 3629, section
// 4).
std::size_t utf8Length(std::string_view s);

// "file:line:column: error: message; hint", the line, and a caret under the place. Long lines are cut around
// it, and what can't be printed is shown as '?'.
std::string render(const Diagnostic& diagnostic, const Sources& sources);

}  // namespace client_proxy::conf
