// quinceline: one client proxy. Without arguments it runs as the environment says.
#include <cstdio>

#include "daemon/serve.h"
#ifdef QUINCELINE_OPERATOR
#include "cli/commands.h"
#endif

int main(int argc, char** argv) {
#ifdef QUINCELINE_OPERATOR
  if (argc > 1) return quinceline::runCommand(argc, argv);
#else
  if (argc > 1) {
    std::fprintf(stderr, "%s: this program was built without commands (WELDFLOW_OPERATOR)\n", argv[0]);
    return 2;
  }
#endif
  return quinceline::serve({});
}
