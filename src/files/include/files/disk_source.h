// Configuration files on disk.
#pragma once

#include "conf/loader.h"

namespace client_proxy {

// Regular files of at most kMostBytes; anything else can't be read.
class DiskSource final : public conf::FileSource {
 public:
  static constexpr std::size_t kMostBytes = 64 * 1024 * 1024;
  std::optional<std::string> read(const std::string& path) override;
  std::vector<std::string> match(const std::string& pattern) override;
};

}  // namespace client_proxy
