// What must hold of any bytes that are given as a configuration. Shared by the fuzz target and the tests.
#pragma once

#include <string>

namespace client_proxy::conf {

// Empty: it holds. Else what does not: reading ends, every message can be shown, what was read without an
// error survives its own form, and what is dumped reads as the same configuration.
std::string brokenProperty(const std::string& bytes);

}  // namespace client_proxy::conf
