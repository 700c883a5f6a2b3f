// All that is wrong with an operator file and the files that it names: `client-proxy check`, and the dry run
// before a shared configuration is published.
#pragma once

#include <string>
#include <vector>

#include "conf/loader.h"
#include "conf/model.h"

namespace client_proxy {

struct CheckedFiles {
  conf::Configuration configuration;
  conf::HostsFile hosts;      // empty where the configuration names none
  conf::MembersFile members;  // likewise

  bool ok() const { return configuration.ok() && hosts.ok() && members.ok(); }
  void makeWarningsErrors();
  // On standard error, with the lines and carets.
  void print() const;
  // A JSON list, for editors and CI.
  std::string asJson() const;
};

CheckedFiles checkFiles(conf::FileSource& files, const std::string& path);

// On standard error.
void print(const std::vector<conf::Diagnostic>& found, const conf::Sources& sources);

}  // namespace client_proxy
