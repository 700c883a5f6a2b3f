// libFuzzer's targets for what comes over sockets; WIRE_TARGET names the property of this build.
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "wire_property.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string broken = client_proxy::fuzz::WIRE_TARGET({reinterpret_cast<const char*>(data), size});
  if (broken.empty()) return 0;
  std::fprintf(stderr, "%s\n", broken.c_str());
  std::abort();
}
