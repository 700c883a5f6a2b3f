// The command line beyond running as the platform starts it: `client-proxy COMMAND ...`.
#pragma once

namespace client_proxy {

// Carries out a command and returns the program's exit status: 0 done, 1 something is wrong with a file (told
// on standard error), 2 the command line itself is wrong. Called where there is at least one argument.
int runCommand(int argc, const char* const* argv);

}  // namespace client_proxy
