// A command line that can't be carried out, found after it was parsed: exit status 2, as for any other.
#pragma once

#include <stdexcept>

namespace client_proxy {

struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace client_proxy
