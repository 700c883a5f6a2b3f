// A configuration as a whole: its files put together, `include` and `define` carried out. No I/O but through
// the given source of files.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "conf/syntax.h"

namespace client_proxy::conf {

class FileSource {
 public:
  virtual ~FileSource() = default;
  // The text of a file; nothing if it can't be read.
  virtual std::optional<std::string> read(const std::string& path) = 0;
  // The paths that a pattern with '*', '?' or '[' stands for, sorted; may be empty.
  virtual std::vector<std::string> match(const std::string& pattern) = 0;
};

// "a/./b/../c" is "a/c", so that a file has one name whatever way it is named. A ".." at the front stays.
std::string normalPath(const std::string& path);

// What `path` means in `file`: relative to its folder, if it is not absolute.
std::string pathFrom(const std::string& file, const std::string& path);

constexpr std::size_t kMostFiles = 1000;

struct Loaded {
  Sources sources;
  std::vector<Statement> statements;  // with neither include nor define left, and every $NAME replaced
  std::vector<Diagnostic> found;
  std::string shared_file;  // that a `configuration` block names; empty: none
  bool ok() const;
};

// Reads `path` and all that it includes.
//
//     include "limits.conf"      relative to the file that says it; at any level, in its place
//     include "routes/*.conf"    in the order of their names; none is a warning
//     define rush 800            $rush stands for 800 in any value, before or after it, in all files
//
//     configuration { file shared.conf ... }    the same as an include of it behind the block
//
// Found as errors: a file that can't be read, a loop of includes (with the whole chain), a name defined
// twice, one that is not defined, one that stands for itself. A name that nobody uses is a warning.
Loaded load(FileSource& files, const std::string& path);

}  // namespace client_proxy::conf
