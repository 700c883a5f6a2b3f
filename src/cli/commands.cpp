#include "commands.h"

#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "conf/syntax.h"
#include "files/disk_source.h"

namespace quinceline {
namespace {

struct FormatOptions {
  std::vector<std::string> files;
  bool check = false, write = false;
};

bool complain(const std::string& file, const std::string& what) {
  std::fprintf(stderr, "%s: error: %s\n", file.c_str(), what.c_str());
  return false;
}

// A file is replaced as a whole or not at all: whoever reads it meanwhile, or after a crash, sees the old or
// the new.
bool replaceFile(const std::string& file, const std::string& text) {
  std::error_code ec;
  const std::filesystem::path target = std::filesystem::canonical(file, ec);  // a link stays one
  if (ec) return complain(file, "can't be found: " + ec.message());
  const std::filesystem::path fresh = target.string() + ".new-" + std::to_string(getpid());
  {
    std::ofstream out(fresh, std::ios::binary | std::ios::trunc);
    out << text;
    out.flush();
    if (!out) {
      std::filesystem::remove(fresh, ec);
      return complain(file, "can't be written beside it");
    }
  }
  std::filesystem::permissions(fresh, std::filesystem::status(target, ec).permissions(), ec);
  std::filesystem::rename(fresh, target, ec);
  if (!ec) return true;
  const std::string why = ec.message();
  std::filesystem::remove(fresh, ec);
  return complain(file, "can't be replaced: " + why);
}

// True: the file is in its form, or is now.
bool formatOne(const std::string& file, const FormatOptions& options) {
  const std::optional<std::string> text = DiskSource().read(file);
  if (!text) return complain(file, "can't be read");
  conf::Sources sources;
  std::vector<conf::Diagnostic> found;
  const conf::Document document = conf::parse(sources, sources.add(file, *text), found);
  for (const conf::Diagnostic& d : found) std::fputs(conf::render(d, sources).c_str(), stderr);
  if (!found.empty()) return false;
  const std::string formatted = conf::format(document);
  if (options.check)
    return formatted == *text || complain(file, "is not in its form; quinceline fmt --write mends it");
  if (options.write) return formatted == *text || replaceFile(file, formatted);
  std::fwrite(formatted.data(), 1, formatted.size(), stdout);
  return true;
}

int format(const FormatOptions& options) {
  bool good = true;
  for (const std::string& file : options.files) good = formatOne(file, options) && good;
  return good ? 0 : 1;
}

}  // namespace

int runCommand(int argc, const char* const* argv) {
  CLI::App app("A client proxy. Without a command it runs as PROXY_CONFIG says.", "quinceline");
  app.require_subcommand(1);
  FormatOptions options;
  CLI::App* const fmt = app.add_subcommand("fmt", "Print configuration files in their one form");
  fmt->add_option("FILE", options.files, "configuration files")->required();
  CLI::Option* const check =
      fmt->add_flag("--check", options.check, "only say which are not in it; exit 1 if any");
  fmt->add_flag("--write", options.write, "replace those that are not in it")->excludes(check);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  return format(options);
}

}  // namespace quinceline
