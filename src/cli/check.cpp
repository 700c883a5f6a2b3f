#include "cli/check.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <vector>

namespace client_proxy {
namespace {

void append(nlohmann::json& all, const std::vector<conf::Diagnostic>& found, const conf::Sources& sources) {
  for (const conf::Diagnostic& d : found) {
    all.push_back({{"file", sources.name(d.at.file)},
                   {"line", d.at.line},
                   {"column", d.at.column},
                   {"length", d.at.length},
                   {"severity", d.severity == conf::Severity::Error ? "error" : "warning"},
                   {"message", d.message},
                   {"hint", d.hint}});
  }
}

// What is wrong with the hosts that a pool's file lists belongs to the whole.
conf::HostsFile hostsOf(const conf::Configuration& c, conf::FileSource& files) {
  if (!c.model.pool || c.model.pool->hosts_file.empty()) return {};
  return conf::readHostsFile(files, c.model.pool->hosts_file);
}

conf::MembersFile membersOf(const conf::Configuration& c, conf::FileSource& files) {
  if (!c.model.fleet || c.model.fleet->members_file.empty()) return {};
  return conf::readMembersFile(files, c.model.fleet->members_file);
}

}  // namespace

void CheckedFiles::makeWarningsErrors() {
  for (auto* const found : {&configuration.found, &hosts.found, &members.found}) {
    for (conf::Diagnostic& d : *found) d.severity = conf::Severity::Error;
  }
}

void CheckedFiles::print() const {
  client_proxy::print(configuration.found, configuration.sources);
  client_proxy::print(hosts.found, hosts.sources);
  client_proxy::print(members.found, members.sources);
}

std::string CheckedFiles::asJson() const {
  nlohmann::json all = nlohmann::json::array();
  append(all, configuration.found, configuration.sources);
  append(all, hosts.found, hosts.sources);
  append(all, members.found, members.sources);
  // A message may quote bytes that are no text.
  return all.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

CheckedFiles checkFiles(conf::FileSource& files, const std::string& path) {
  CheckedFiles checked;
  checked.configuration = conf::readConfiguration(files, path);
  checked.hosts = hostsOf(checked.configuration, files);
  checked.members = membersOf(checked.configuration, files);
  return checked;
}

void print(const std::vector<conf::Diagnostic>& found, const conf::Sources& sources) {
  for (const conf::Diagnostic& d : found) std::fputs(conf::render(d, sources).c_str(), stderr);
}

}  // namespace client_proxy
