#include "cli/configuration_commands.h"

#include <CLI/Option.hpp>
#include <array>
#include <cstdio>
#include <random>
#include <thread>

#include "cli/configuration_candidate.h"
#include "cli/configuration_client.h"
#include "cli/configuration_progress.h"
#include "cli/configuration_report.h"
#include "cli/usage_error.h"
#include "conf/units.h"
#include "distribution/codec.h"
#include "distribution/digest.h"
#include "files/disk_source.h"

namespace client_proxy::configuration {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::ordered_json;
using std::chrono::milliseconds;

constexpr milliseconds kLook{200};  // between two looks at who holds a version

int complain(const std::string& what, int status) {
  std::fprintf(stderr, "client-proxy configuration: %s\n", what.c_str());
  return status;
}

void printJson(const ordered_json& value) {
  // A refusal may quote bytes that are no text.
  std::printf("%s\n", value.dump(2, ' ', false, nlohmann::json::error_handler_t::replace).c_str());
}

std::string drawId() {
  std::random_device random;
  std::array<char, 33> digits{};
  for (std::size_t i = 0; i < 32; i += 8) std::snprintf(&digits[i], 9, "%08x", random());
  return digits.data();
}

ReplicaClient clientOf(const ClientOptions& options) {
  std::vector<Endpoint> replicas;
  for (const std::string& address : options.replicas) replicas.push_back(endpointOf(address));
  return ReplicaClient(std::move(replicas));
}

milliseconds waitOf(const ClientOptions& options) {
  const auto read = conf::readDuration(options.wait);
  if (!read.ok()) throw UsageError("--wait: " + read.message + "; " + read.hint);
  return milliseconds(read.value / 1000);
}

CheckedFiles dryRun(const ClientOptions& options, const std::string& name, const std::string& text) {
  if (options.operator_file.empty()) return checkSyntax(name, text);
  DiskSource files;
  return checkCandidate(files, options.operator_file, text);
}

std::set<distribution::MemberId> expectedMembers(const ClientOptions& options) {
  if (options.operator_file.empty()) return {};
  DiskSource files;
  return membersOf(checkFiles(files, options.operator_file));
}

std::vector<distribution::Status> answered(const std::vector<ReplicaAnswer>& replicas) {
  std::vector<distribution::Status> statuses;
  for (const ReplicaAnswer& replica : replicas) {
    if (replica.status) statuses.push_back(*replica.status);
  }
  return statuses;
}

// Version 0 if none answers.
distribution::Status newestOf(const std::vector<distribution::Status>& replicas) {
  distribution::Status newest;
  for (const distribution::Status& replica : replicas) {
    if (replica.version >= newest.version) newest = replica;
  }
  return newest;
}

// Until nothing can change by waiting, or the time has passed.
Progress waitForMembers(const ReplicaClient& client, distribution::Version version, const std::string& digest,
                        const std::set<distribution::MemberId>& expected, milliseconds time_limit) {
  const Clock::time_point end = Clock::now() + time_limit;
  for (;;) {
    Progress progress = progressOf(version, digest, mergeMembers(answered(client.statuses())), expected);
    if (!progress.mayRise() || Clock::now() >= end) return progress;
    std::this_thread::sleep_for(kLook);
  }
}

struct Publication {
  std::string name;  // of the file, for messages
  std::string text;
};

// The newest version that any replica shows; nothing: none answers in time.
std::optional<distribution::Version> newestBase(const ReplicaClient& client, milliseconds time_limit) {
  const Clock::time_point end = Clock::now() + time_limit;
  for (;;) {
    const std::vector<distribution::Status> statuses = answered(client.statuses());
    if (!statuses.empty()) return newestOf(statuses).version;
    if (Clock::now() >= end) return std::nullopt;
    std::this_thread::sleep_for(kLook);
  }
}

distribution::PublishRequest requestOf(const ClientOptions& options, distribution::Version base,
                                       const std::string& text) {
  distribution::PublishRequest request;
  request.id = options.id.empty() ? drawId() : options.id;
  request.author = options.author;
  request.base = base;
  request.text = text;
  return request;
}

int notPublished(const ClientOptions& options, const distribution::PublishRequest& request,
                 const PublishOutcome& outcome) {
  if (options.json)
    printJson({{"result", nameOf(outcome.result)}, {"id", request.id}, {"detail", outcome.detail}});
  switch (outcome.result) {
    case PublishResult::Conflict:
      return complain("conflict: " + outcome.detail + "; nothing of this text is in force anywhere",
                      kNotPublished);
    case PublishResult::Refused:
      return complain("refused: " + outcome.detail, kNotPublished);
    case PublishResult::Undecided:
    case PublishResult::Published:
      break;
  }
  return complain("not decided: " + outcome.detail + "; it may yet be chosen: publish again with --id " +
                      request.id + " --base " + std::to_string(request.base),
                  kNotPublished);
}

struct Decided {
  const distribution::PublishRequest& request;
  milliseconds in;  // from the first replica that was asked to the answer
};

int report(const ClientOptions& options, const Decided& decided, const Progress& progress) {
  if (options.json) {
    printJson({{"result", nameOf(PublishResult::Published)},
               {"id", decided.request.id},
               {"version", progress.version},
               {"decided_in_ms", decided.in.count()},
               {"progress", asJson(progress)}});
  } else {
    std::fputs(asText(progress).c_str(), stdout);
  }
  return progress.heldByAll() ? kHeldByAll : kNotHeldByAll;
}

int publishChecked(const ClientOptions& options, const ReplicaClient& client, const Publication& publication,
                   const std::set<distribution::MemberId>& expected) {
  const milliseconds time_limit = waitOf(options);
  const auto base = options.base ? options.base : newestBase(client, time_limit);
  if (!base) return complain("no replica answers; nothing was sent", kNotPublished);
  const distribution::PublishRequest request = requestOf(options, *base, publication.text);
  const Clock::time_point asked = Clock::now();
  const PublishOutcome outcome = client.publish(request, time_limit);
  const auto decided_in = std::chrono::duration_cast<milliseconds>(Clock::now() - asked);
  if (outcome.result != PublishResult::Published) return notPublished(options, request, outcome);
  if (!options.json) {
    std::printf("published version %llu by %s, id %s\n", static_cast<unsigned long long>(outcome.version),
                request.author.c_str(), request.id.c_str());
    std::fflush(stdout);
  }
  const std::string digest = distribution::digestOf(request.text);
  return report(options, {request, decided_in},
                waitForMembers(client, outcome.version, digest, expected, time_limit));
}

int publish(const ClientOptions& options, const Publication& publication) {
  const ReplicaClient client = clientOf(options);
  const CheckedFiles checked = dryRun(options, publication.name, publication.text);
  checked.print();
  if (!checked.ok()) return complain(publication.name + " has an error; nothing was sent", kNotPublished);
  return publishChecked(options, client, publication, membersOf(checked));
}

int publishFile(const ClientOptions& options, const std::string& file) {
  std::optional<std::string> text = DiskSource().read(file);
  if (!text) return complain(file + " can't be read", kNotPublished);
  return publish(options, {file, std::move(*text)});
}

int revert(const ClientOptions& options, distribution::Version version) {
  const std::optional<distribution::Change> change = clientOf(options).change(version);
  if (!change)
    return complain("no replica that answers has version " + std::to_string(version), kNotPublished);
  return publish(options, {"version " + std::to_string(version), change->text});
}

int status(const ClientOptions& options) {
  const ReplicaClient client = clientOf(options);
  const std::vector<ReplicaAnswer> replicas = client.statuses();
  const std::vector<distribution::Status> statuses = answered(replicas);
  const distribution::Status newest = newestOf(statuses);
  const Progress progress =
      progressOf(newest.version, newest.digest, mergeMembers(statuses), expectedMembers(options));
  if (options.json) {
    printJson({{"replicas", asJson(replicas)}, {"progress", asJson(progress)}});
  } else {
    std::fputs((asText(replicas) + asText(progress)).c_str(), stdout);
  }
  if (statuses.empty()) return complain("no replica answers", kNotPublished);
  return progress.heldByAll() ? kHeldByAll : kNotHeldByAll;
}

}  // namespace

Commands::Commands(CLI::App& app)
    : command_(app.add_subcommand("configuration", "Publish the shared configuration, see who holds it")) {
  command_->require_subcommand(1);
  addReplica();
  addPublish();
  addStatus();
  addRevert();
}

void Commands::addReplica() {
  replica_ =
      command_->add_subcommand("replica", "Keep the shared configuration on this machine; until SIGTERM");
  replica_->add_option("--id", replica_options_.id, "its number in the list")->required();
  replica_->add_option("--listen", replica_options_.listen, "address:port")->required();
  replica_->add_option("--folder", replica_options_.folder, "where its database lies")->required();
  replica_
      ->add_option("--replica", replica_options_.replicas,
                   "NUMBER=ADDRESS:PORT of each replica, this one too; repeated")
      ->required()
      ->allow_extra_args(false);
  replica_->add_option("--region", replica_options_.region, "where it stands");
}

void Commands::addClientOptions(CLI::App& command) {
  command.add_option("--replica", client_options_.replicas, "address:port of a replica; repeated")
      ->required()
      ->allow_extra_args(false);
  command.add_option(
      "--operator-file", client_options_.operator_file,
      "a proxy's operator file: the text is checked with it, and its fleet's members are expected");
  command.add_flag("--json", client_options_.json, "as JSON");
}

void Commands::addPublish() {
  publish_ = command_->add_subcommand(
      "publish",
      "Check a file, publish it, wait until all proxies hold it; exit 1 if it is not published, 3 if not all "
      "hold it in time");
  addClientOptions(*publish_);
  publish_->add_option("--author", client_options_.author, "who publishes")->required();
  publish_->add_option("--base", client_options_.base, "the version it was made from; else the newest");
  publish_->add_option("--id", client_options_.id, "of a publish that was not decided, to ask again");
  publish_->add_option("--wait", client_options_.wait, "how long to wait")->capture_default_str();
  publish_->add_option("FILE", file_, "the shared configuration file")->required();
}

void Commands::addStatus() {
  status_ = command_->add_subcommand(
      "status", "Print what the replicas hold and which proxies hold the newest version; exit 3 if not all");
  addClientOptions(*status_);
}

void Commands::addRevert() {
  revert_ = command_->add_subcommand("revert", "Publish the text of an earlier version as a new one");
  addClientOptions(*revert_);
  revert_->add_option("--author", client_options_.author, "who publishes")->required();
  revert_->add_option("--wait", client_options_.wait, "how long to wait")->capture_default_str();
  revert_->add_option("VERSION", version_, "the earlier version")->required();
}

int Commands::run() const {
  try {
    if (replica_->parsed()) return runReplica(replica_options_);
    if (publish_->parsed()) return publishFile(client_options_, file_);
    if (status_->parsed()) return status(client_options_);
    return revert(client_options_, version_);
  } catch (const UsageError& e) {
    return complain(e.what(), kWrongUsage);
  } catch (const distribution::CodecError& e) {
    return complain(e.what(), kNotPublished);
  }
}

}  // namespace client_proxy::configuration
