// client-proxy: one client proxy. Without arguments it runs as the environment says.
#include <cstdio>

#include "daemon/serve.h"
#ifdef CLIENT_PROXY_OPERATOR
#include "cli/commands.h"
#endif

int main(int argc, char** argv) {
#ifdef CLIENT_PROXY_OPERATOR
  if (argc > 1) return client_proxy::runCommand(argc, argv);
#else
  if (argc > 1) {
    std::fprintf(stderr, "%s: this program was built without commands (CLIENT_PROXY_OPERATOR)\n", argv[0]);
    return 2;
  }
#endif
  return client_proxy::serve({});
}
