#include "conf/loader.h"

#include <algorithm>
#include <map>
#include <utility>

#include "conf/units.h"

namespace client_proxy::conf {
namespace {

constexpr std::size_t kLongestValue = 4096;

bool isPattern(const std::string& path) { return path.find_first_of("*?[") != std::string::npos; }

bool isNamePart(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' || c == '-';
}

class Loader {
 public:
  explicit Loader(FileSource& files) : files_(files) {}

  Loaded run(const std::string& path) {
    const std::string main = normalPath(path);
    std::optional<std::string> text = files_.read(main);
    if (text) {
      out_.statements = fileOf(main, std::move(*text));
      resolveDefinitions();
      for (Statement& s : out_.statements) replaceIn(s);
      for (const auto& [name, d] : definitions_) {
        if (!d.used) warn(d.name_at, "'" + name + "' is defined and not used", "delete it");
      }
    } else {
      out_.sources.add(main, {});
      error({0, 1, 1, 1}, "this file can't be read", "check its path and its rights");
    }
    return std::move(out_);
  }

 private:
  struct Definition {
    std::string value;
    Place at, name_at;
    bool used = false, resolving = false, resolved = false;
  };

  void error(Place at, std::string message, std::string hint) {
    out_.found.push_back({Severity::Error, at, std::move(message), std::move(hint)});
  }
  void warn(Place at, std::string message, std::string hint) {
    out_.found.push_back({Severity::Warning, at, std::move(message), std::move(hint)});
  }

  std::vector<Statement> fileOf(const std::string& path, std::string text) {
    chain_.push_back(path);
    const std::uint32_t file = out_.sources.add(path, std::move(text));
    Document document = parse(out_.sources, file, out_.found);
    std::vector<Statement> statements = expand(std::move(document.statements));
    chain_.pop_back();
    return statements;
  }

  std::vector<Statement> expand(std::vector<Statement> statements) {
    std::vector<Statement> out;
    out.reserve(statements.size());
    for (Statement& s : statements) {
      if (s.name().text == "include") {
        for (Statement& included : include(s)) out.push_back(std::move(included));
      } else if (s.name().text == "define") {
        define(s);
      } else {
        if (s.block) s.children = expandBlock(std::move(s.children));
        std::vector<Statement> shared;
        if (depth_ == 0 && s.name().text == "configuration" && s.block) {
          if (!mayShare(s)) continue;
          shared = includeShared(s);
        }
        out.push_back(std::move(s));
        for (Statement& included : shared) out.push_back(std::move(included));
      }
    }
    return out;
  }

  std::vector<Statement> expandBlock(std::vector<Statement> statements) {
    ++depth_;
    std::vector<Statement> out = expand(std::move(statements));
    --depth_;
    return out;
  }

  bool mayShare(const Statement& s) {
    if (!in_shared_file_) return true;
    error(s.name().at, "a shared file can't say where it comes from",
          "delete it; it belongs in the file of each instance");
    return false;
  }

  // The file that a `configuration` block names. What is wrong with the block itself, the schema tells.
  std::vector<Statement> includeShared(const Statement& s) {
    const auto file = std::find_if(s.children.begin(), s.children.end(),
                                   [](const Statement& child) { return child.name().text == "file"; });
    if (!out_.shared_file.empty() || file == s.children.end() || file->words.size() != 2 || file->block)
      return {};
    const Word& word = file->words[1];
    if (isPattern(word.text) || word.text.find('$') != std::string::npos) {
      error(word.at, "'" + word.text + "' is not the name of one file", "write it without *, ?, [ and $");
      return {};
    }
    out_.shared_file = normalPath(pathFrom(chain_.back(), word.text));
    in_shared_file_ = true;
    std::vector<Statement> included = includeOne(out_.shared_file, word);
    in_shared_file_ = false;
    return included;
  }

  std::vector<Statement> include(const Statement& s) {
    if (s.words.size() != 2 || s.block) {
      error(s.name().at, "include takes one path", "write include \"FILE.conf\"");
      return {};
    }
    const Word& word = s.words[1];
    const std::string path = normalPath(pathFrom(chain_.back(), word.text));
    std::vector<std::string> paths = {path};
    if (isPattern(path)) {
      paths = files_.match(path);
      if (paths.empty()) warn(word.at, "no file is named like this", "delete it, or add the files");
    }
    std::vector<Statement> all;
    for (const std::string& p : paths) {
      for (Statement& one : includeOne(normalPath(p), word)) all.push_back(std::move(one));
    }
    return all;
  }

  std::vector<Statement> includeOne(const std::string& path, const Word& word) {
    const auto open = std::find(chain_.begin(), chain_.end(), path);
    if (open != chain_.end()) {
      std::string chain;
      for (auto it = open; it != chain_.end(); ++it) chain += *it + " -> ";
      error(word.at, "files include one another in a loop: " + chain + path, "delete one of these includes");
      return {};
    }
    if (out_.sources.size() >= kMostFiles) {
      if (!std::exchange(too_many_, true))
        error(word.at, "more than " + std::to_string(kMostFiles) + " files are included",
              "put some together");
      return {};
    }
    std::optional<std::string> text = files_.read(path);
    if (!text) {
      error(word.at, "'" + path + "' can't be read", "check its path and its rights");
      return {};
    }
    return fileOf(path, std::move(*text));
  }

  void define(const Statement& s) {
    if (s.words.size() != 3 || s.block) {
      error(s.name().at, "define takes a name and a value", "write define NAME VALUE");
      return;
    }
    const Word& name = s.words[1];
    if (name.text.empty() || !std::all_of(name.text.begin(), name.text.end(), isNamePart)) {
      error(name.at, "'" + name.text + "' can't be a name", "use letters, digits, '-' and '_'");
      return;
    }
    const auto [it, first] =
        definitions_.try_emplace(name.text, Definition{s.words[2].text, s.words[2].at, name.at});
    if (first) return;
    const Place& before = it->second.at;
    error(name.at, "'" + name.text + "' is defined twice",
          "it is defined in " + out_.sources.lineOf(before) + " already");
  }

  void resolveDefinitions() {
    for (auto& [name, d] : definitions_) resolve(name, d);
  }

  void resolve(const std::string& name, Definition& d) {
    if (d.resolved) return;
    if (d.resolving) {
      error(d.at, "'" + name + "' stands for itself", "write a value");
      d.resolved = true;
      return;
    }
    d.resolving = true;
    const std::string value = replaced(d.value, d.at);
    if (!d.resolved) d.value = value;
    d.resolved = true;
  }

  void replaceIn(Statement& s) {
    for (std::size_t i = 1; i < s.words.size(); ++i)
      s.words[i].text = replaced(s.words[i].text, s.words[i].at);
    for (Statement& c : s.children) replaceIn(c);
  }

  // `$$` stands for a dollar sign.
  std::string replaced(const std::string& text, Place at) {
    if (text.find('$') == std::string::npos) return text;
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
      if (text[i] != '$') {
        out += text[i];
        continue;
      }
      if (i + 1 < text.size() && text[i + 1] == '$') {
        out += '$';
        ++i;
        continue;
      }
      std::size_t end = i + 1;
      while (end < text.size() && isNamePart(text[end])) ++end;
      out += valueOf(text.substr(i + 1, end - i - 1), at);
      i = end - 1;
      // Values made of values grow with the power of their depth.
      if (out.size() > kLongestValue) {
        error(at, "this value is longer than " + std::to_string(kLongestValue) + " bytes", "make it shorter");
        return {};
      }
    }
    return out;
  }

  std::string valueOf(const std::string& name, Place at) {
    if (name.empty()) {
      error(at, "a name is missing behind '$'", "write $NAME, or $$ for a dollar sign");
      return {};
    }
    const auto it = definitions_.find(name);
    if (it == definitions_.end()) {
      std::vector<std::string> known;
      for (const auto& [k, d] : definitions_) known.push_back(k);
      const std::string meant = nearest(name, known);
      error(at, "'$" + name + "' is not defined",
            meant.empty() ? "add define " + name + " VALUE" : "did you mean $" + meant + "?");
      return {};
    }
    it->second.used = true;
    resolve(name, it->second);
    return it->second.value;
  }

  FileSource& files_;
  Loaded out_;
  std::vector<std::string> chain_;  // files being read, each included by the one before
  std::map<std::string, Definition> definitions_;
  std::size_t depth_ = 0;  // of blocks
  bool in_shared_file_ = false;
  bool too_many_ = false;
};

}  // namespace

std::string normalPath(const std::string& path) {
  std::vector<std::string> parts;
  for (std::size_t from = 0; from <= path.size();) {
    const std::size_t to = std::min(path.find('/', from), path.size());
    std::string part = path.substr(from, to - from);
    from = to + 1;
    if (part.empty() || part == ".") continue;
    if (part == ".." && !parts.empty() && parts.back() != "..") {
      parts.pop_back();
    } else {
      parts.push_back(std::move(part));
    }
  }
  std::string out = !path.empty() && path.front() == '/' ? "/" : "";
  for (std::size_t i = 0; i < parts.size(); ++i) {
    if (i > 0) out += '/';
    out += parts[i];
  }
  return out;
}

bool Loaded::ok() const { return noErrors(found); }

std::string pathFrom(const std::string& file, const std::string& path) {
  if (!path.empty() && path.front() == '/') return path;
  return file.substr(0, file.rfind('/') + 1) + path;  // none: nothing of it
}

Loaded load(FileSource& files, const std::string& path) { return Loader(files).run(path); }

}  // namespace client_proxy::conf
