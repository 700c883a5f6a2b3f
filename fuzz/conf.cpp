// libFuzzer's target for the operators' language:
//
//     fuzz/run 60        builds with clang and runs for 60 seconds from the corpus under tests/conf
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "conf_property.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string broken =
      client_proxy::conf::brokenProperty(std::string(reinterpret_cast<const char*>(data), size));
  if (broken.empty()) return 0;
  std::fprintf(stderr, "%s\n", broken.c_str());
  std::abort();
}
