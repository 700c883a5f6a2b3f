#include "files/overlay_source.h"

#include <utility>

namespace client_proxy {

void OverlaySource::put(std::string path, std::string text) {
  path_ = std::move(path);
  text_ = std::move(text);
}

void OverlaySource::clear() { text_.reset(); }

std::optional<std::string> OverlaySource::read(const std::string& path) {
  return text_ && path == path_ ? text_ : below_.read(path);
}

}  // namespace client_proxy
