// Files as they would be if one of them had another text: to check a text before it is written.
#pragma once

#include "conf/loader.h"

namespace client_proxy {

class OverlaySource final : public conf::FileSource {
 public:
  // `below` must outlive this.
  explicit OverlaySource(conf::FileSource& below) : below_(below) {}

  // From now on `path` (in its one form: conf::normalPath()) has this text, until clear().
  void put(std::string path, std::string text);
  void clear();

  std::optional<std::string> read(const std::string& path) override;
  std::vector<std::string> match(const std::string& pattern) override { return below_.match(pattern); }

 private:
  conf::FileSource& below_;
  std::optional<std::string> text_;
  std::string path_;
};

}  // namespace client_proxy
