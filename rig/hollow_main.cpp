// Many hollow members in one process.
//
//     client_proxy_hollow MEMBERS [DESCRIPTOR]
//
// MEMBERS is a JSON file (docs/rig.md); commands come over the connected stream socket DESCRIPTOR, 3 if none
// is named (rig/hollow_host.h lists them), and each is answered by one JSON object on a line.
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <sstream>

#include "hollow_host.h"

int main(int argc, char** argv) {
  constexpr int kInherited = 3;
  if (argc < 2 || argc > 3) {
    std::fprintf(stderr, "client_proxy_hollow MEMBERS [DESCRIPTOR]\n");
    return 2;
  }
  try {
    std::ifstream in(argv[1]);
    if (!in) throw std::runtime_error("can't be read");
    std::stringstream text;
    text << in.rdbuf();
    client_proxy::rig::HollowHost host(client_proxy::rig::parseHollowFile(text.str()),
                                       argc > 2 ? std::atoi(argv[2]) : kInherited);
    host.run();
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s: %s\n", argv[1], e.what());
    return 1;
  }
  return 0;
}
