// The operator file as the proxy uses it: beside the platform's configuration, or alone where it holds a
// pool.
#pragma once

#include <functional>
#include <string>

#include "conf/model.h"
#include "net/config.h"

namespace quinceline {

using Environment = std::function<const char*(const char*)>;

// Reads `path`. With a pool in it that is all; else what PROXY_CONFIG names is read too (`again`: after it
// was replaced, see rereadConfig) and the file's values are put beside it. Throws std::runtime_error: one
// line, "file:line:column: error: what is wrong; what to write instead". Warnings are no reason to refuse.
Config readOperated(conf::FileSource& files, const std::string& path, const Environment& getenv, bool again);

// The hosts of a hosts file, as a whole list. Throws std::runtime_error like the above.
HostList readHosts(conf::FileSource& files, const std::string& path, Zones& zones);

}  // namespace quinceline
