// The process that takes this one's place, as the proxy here sees it.
#pragma once

#include <cstddef>
#include <functional>
#include <vector>

#include "admission/duplicate_detector.h"

namespace client_proxy::hot_restart {

struct Successor {
  // Takes a client's connection at rest along; false: it could not, and the descriptor is the caller's as
  // before.
  std::function<bool(int descriptor)> give;
  // What may not run a second time there: all there is, then an empty list, then whatever ends. Not set: that
  // process does not understand it.
  std::function<void(const std::vector<admission::RequestRecord>&)> tell;
  // Connections given that are not with it yet: lost, if this process left now.
  std::function<std::size_t()> waiting;
};

}  // namespace client_proxy::hot_restart
