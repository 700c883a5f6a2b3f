// A configuration as typed values, and what only shows when they are seen together. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "conf/check.h"
#include "conf/loader.h"

namespace client_proxy::conf {

using Micros = std::int64_t;

// In rising order of what they permit, as in the schema.
enum class Idempotency : std::uint8_t { NonIdempotent, IdempotentWithKey, Idempotent };
enum class DeduplicationScope : std::uint8_t { Cell, Zone, All };
enum class LogLevel : std::uint8_t { Error, Warning, Info };

struct Share {
  std::size_t guaranteed = 0;
  std::optional<std::size_t> most;
  std::optional<double> weight;
};

struct ClassModel {
  std::string name;
  Place at;
  Idempotency idempotency =
      Idempotency::NonIdempotent;  // this and what follows up to `share`: of a file that stands alone
  Micros latency_objective = 0, deadline = 0;
  DeduplicationScope deduplication_scope = DeduplicationScope::All;
  Micros deduplication_window = 0;
  std::optional<std::int32_t> attempts;
  double priority_weight = 1, late_weight = 0;
  Share share;
};

struct TenantModel {
  std::string name;
  Place at;
  double part = 0;
  Share share;
};

struct HostModel {
  std::string name;
  Address address;
  Place at;
  std::string zone;  // empty: the one without a name
  std::int32_t cell = 0;
  double capacity = 1;
};

struct PoolModel {
  std::string name;
  Place at;
  std::vector<HostModel> hosts;
  std::string hosts_file;  // relative to the working folder; empty: none
  Place hosts_file_at;
  std::int32_t attempts = 1;
  bool cancel = false, probe = false;
  Micros retry_after_most = 0, drain_grace = 0, slow_start_duration = 0;
  double slow_start_initial_capacity = 1, slow_start_overload_factor = 1;
};

struct MemberModel {
  std::uint16_t number = 0;
  Address address;
  Place at;
  std::string zone, region;  // empty: what it says itself
};

struct FleetModel {
  std::string name;
  Address listen;
  std::string region;  // of this instance; empty: its own entry's
  std::vector<MemberModel> members;
  std::string members_file;  // relative to the working folder; empty: none
  Place at;
};

struct RouteModel {
  std::string name;
  Place at;
  std::string path, method, request_class;  // empty: any
};

struct ServiceModel {
  std::string name;
  Place at;
  std::string home, stand_by;
  Micros lease = 0;
  std::vector<RouteModel> routes;
};

struct ReplicaModel {
  std::uint16_t number = 0;
  Address address;
  Place at;
  std::string region;  // empty: not said
};

// Where the shared configuration comes from.
struct ConfigurationModel {
  std::string file;    // relative to the working folder
  std::string region;  // of this instance; empty: not said
  std::vector<ReplicaModel> replicas;
  Place at;
};

// What is not set is not there: it follows from the platform or from other limits.
struct Model {
  std::optional<PoolModel> pool;  // there: the file stands alone
  std::optional<FleetModel> fleet;
  std::vector<ServiceModel> services;
  std::optional<ConfigurationModel> configuration;
  std::string memory_folder;  // what is remembered over a power cut; empty: nothing is
  Address listen;             // this and what follows up to `classes`: of such a file
  std::string name, zone;
  std::uint32_t client = 0;
  std::vector<ClassModel> classes;
  std::vector<TenantModel> tenants;
  std::optional<Micros> first_byte, request, idle, write, linger;              // clients
  std::optional<Micros> connect, upstream_idle, health_check_timeout, answer;  // upstream
  std::optional<std::size_t> connections, connections_per_address, idle_kept, open, waiting, retries_least;
  std::optional<double> retries_part;
  std::optional<std::size_t> sockets, memory;  // memory: bytes
  std::optional<Address> status;
  LogLevel log_level = LogLevel::Info;
};

// A configuration as it was read: texts, checked tree, typed values, and all that was found.
struct Configuration {
  Sources sources;
  Section root;
  Model model;
  std::vector<Diagnostic> found;
  bool ok() const;  // no error; warnings may be there
};

// Reads the file and all it includes or names, checks everything. The model is only of use where ok().
Configuration readConfiguration(FileSource& files, const std::string& path);

// A hosts file: nothing but `host` statements. The hosts are only of use where no error was found.
struct HostsFile {
  Sources sources;
  std::vector<HostModel> hosts;
  std::vector<Diagnostic> found;
  bool ok() const;
};
HostsFile readHostsFile(FileSource& files, const std::string& path);

// A members file: nothing but `member` statements.
struct MembersFile {
  Sources sources;
  std::vector<MemberModel> members;
  std::vector<Diagnostic> found;
  bool ok() const;
};
MembersFile readMembersFile(FileSource& files, const std::string& path);

// "file:line:column: error: what is wrong; what to write instead", without the line and the caret.
std::string oneLine(const Diagnostic& diagnostic, const Sources& sources);

}  // namespace client_proxy::conf
