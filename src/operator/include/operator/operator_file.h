// The operator file as the proxy uses it: beside the platform's configuration, or alone where it holds a
// pool.
#pragma once

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "conf/model.h"
#include "net/config.h"

namespace client_proxy {

using Environment = std::function<const char*(const char*)>;

// Each line is "file:line:column: error: what is wrong; what to write instead": the first few of all.
struct ConfigurationRefused : std::runtime_error {
  explicit ConfigurationRefused(std::vector<std::string> lines)
      : std::runtime_error(lines.front()), errors(std::move(lines)) {}
  std::vector<std::string> errors;
};

class OperatorSource {
 public:
  // `files` must live as long as this.
  OperatorSource(conf::FileSource& files, std::string path, Environment getenv);

  // Reads the file. With a pool in it that is all; else what PROXY_CONFIG names is read too, and the file's
  // values are put beside it. `zones`: as the running proxy numbers them; nothing: at start. Throws
  // ConfigurationRefused, or std::runtime_error for the platform's file; then all is as before.
  Config read(const std::optional<Zones>& zones = std::nullopt);
  // What was read is in force now; the next differences are told from it.
  void taken();
  // Of the last read(): what differs from what is in force, with its risk and whether it takes effect at a
  // restart only; then warnings. A line each.
  const std::vector<std::string>& notes() const { return notes_; }
  // Something of what is in force takes effect at the next start only.
  bool restartNeeded() const;
  const std::string& path() const { return path_; }

 private:
  Config configOf(conf::Configuration& read, const std::optional<Zones>& zones);

  conf::FileSource& files_;
  std::string path_;
  Environment getenv_;
  std::optional<conf::Configuration> in_force_, read_;
  std::optional<conf::Section> at_start_;
  std::vector<std::string> notes_;
};

// The module's word for it.
load_balancer::Idempotency effectOf(conf::Idempotency idempotency);

// The services of another operator file, as it would have them. Throws ConfigurationRefused.
std::optional<ServiceSettings> readServices(conf::FileSource& files, const std::string& path);

// The hosts of a hosts file, as a whole list. Throws ConfigurationRefused.
HostList readHosts(conf::FileSource& files, const std::string& path, Zones& zones);

// The members of a members file. Throws ConfigurationRefused.
std::vector<FleetPeer> readMembers(conf::FileSource& files, const std::string& path);

}  // namespace client_proxy
