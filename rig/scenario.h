// A plan from a file in the configuration's language (docs/rig.md). No I/O but through the given source of
// files.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "conf/loader.h"
#include "plan.h"

namespace client_proxy::rig {

struct Scenario {
  std::optional<Plan> plan;  // nothing: `wrong` says why
  std::vector<std::string> wrong;
};

Scenario readScenario(conf::FileSource& files, const std::string& path);

}  // namespace client_proxy::rig
