#include "files/disk_source.h"

#include <glob.h>

#include <filesystem>
#include <fstream>
#include <system_error>

namespace client_proxy {

std::optional<std::string> DiskSource::read(const std::string& path) {
  // A pipe or a device would be waited for without end.
  std::error_code ec;
  if (!std::filesystem::is_regular_file(path, ec) || ec) return std::nullopt;
  const std::uintmax_t size = std::filesystem::file_size(path, ec);
  if (ec || size > kMostBytes) return std::nullopt;
  std::ifstream in(path, std::ios::binary);
  std::string text(static_cast<std::size_t>(size), '\0');
  in.read(text.data(), static_cast<std::streamsize>(size));
  if (!in.eof() && in.fail()) return std::nullopt;
  text.resize(static_cast<std::size_t>(in.gcount()));  // it may have become shorter meanwhile
  return text;
}

std::vector<std::string> DiskSource::match(const std::string& pattern) {
  glob_t found{};
  std::vector<std::string> paths;
  if (::glob(pattern.c_str(), 0, nullptr, &found) == 0)
    paths.assign(found.gl_pathv, found.gl_pathv + found.gl_pathc);
  ::globfree(&found);
  return paths;
}

}  // namespace client_proxy
