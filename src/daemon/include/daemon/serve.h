// The daemon: reads its configuration, builds the parts, waits for signals.
#pragma once

#include <string>

namespace client_proxy {

// Runs until SIGTERM or SIGINT; the exit status. `operator_file` empty: what PROXY_OPERATOR names, or none.
int serve(const std::string& operator_file);

}  // namespace client_proxy
