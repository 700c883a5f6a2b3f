// The operators' language as text: tokens and a tree of statements that keeps comments and places. No I/O.
//
//     file      = { statement | comment | newline }
//     statement = word { word | string } ( newline | ";" | "{" file "}" | end of file )
//     word      = a run of bytes that are no space, quote, brace, ";" or "#"
//     string    = '"' { byte | '\"' | '\\' | '\n' | '\t' } '"', within one line
//     comment   = "#" up to the end of the line
//
// A text is UTF-8 (RFC 3629); a byte order mark at its start and CR before LF are passed over.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "conf/diagnostic.h"

namespace client_proxy::conf {

struct Word {
  std::string text;  // what it means: a string without quotes and escapes
  bool quoted = false;
  Place at;
};

struct Statement {
  std::vector<std::string>
      comments;             // on lines of their own before it, each with its '#'; "" is a blank line
  std::vector<Word> words;  // at least one: its name, then its values
  bool block = false;
  std::vector<Statement> children;
  std::string remark;                      // a comment behind it, or behind its opening brace
  std::vector<std::string> last_comments;  // before the closing brace
  const Word& name() const { return words.front(); }
};

struct Document {
  std::vector<Statement> statements;
  std::vector<std::string> last_comments;
};

constexpr std::size_t kDeepest = 32;           // blocks within blocks
constexpr std::size_t kMostDiagnostics = 100;  // of one file: more are noise

// Reads a whole file. All its errors are appended to `found`, each statement with one is left out, and
// reading goes on behind it: what is returned is right where `found` got nothing.
Document parse(const Sources& sources, std::uint32_t file, std::vector<Diagnostic>& found);

// The one way in which a document is written: two spaces a level, one statement a line, comments kept, at
// most one blank line between statements. Formatting it again changes nothing, and parsing it gives the same
// document.
std::string format(const Document& document);

// The same statements with the same words, places and comments aside.
bool sameMeaning(const Document& a, const Document& b);

}  // namespace client_proxy::conf
