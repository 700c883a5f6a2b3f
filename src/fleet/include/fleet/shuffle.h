// Fisher-Yates shuffle with the project's own generator, so that a seed gives the same order on all
// platforms.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "random/random.h"

namespace client_proxy::fleet {

template <typename T>
void shuffle(std::vector<T>& all, load_balancer::Random& random) {
  for (std::size_t i = all.size(); i > 1; --i)
    std::swap(all[i - 1], all[random.below(static_cast<std::uint32_t>(i))]);
}

}  // namespace client_proxy::fleet
