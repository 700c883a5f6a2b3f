#include "cli/configuration_client.h"

#include <algorithm>
#include <future>
#include <stdexcept>
#include <thread>

#include "cli/http_call.h"
#include "cli/usage_error.h"
#include "distribution/codec.h"

namespace client_proxy::configuration {
namespace {

using boost::beast::http::verb;
using distribution::PublishRequest;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr unsigned kConflict = 409;
constexpr milliseconds kStatusTime{1000};
constexpr milliseconds kPublishTime{4000};  // at one replica: a few rounds with its peers
constexpr milliseconds kPause{200};         // between two rounds over all replicas

std::optional<distribution::Status> statusOf(const Endpoint& replica) {
  const HttpAnswer answer =
      callOnce(replica, {.target = "/v1/status", .body = {}, .time_limit = kStatusTime});
  if (!answer.ok()) return std::nullopt;
  try {
    return distribution::parseStatus(answer.body);
  } catch (const distribution::CodecError&) {
    return std::nullopt;  // whatever answers there, it is no replica that we understand
  }
}

// Throws CodecError.
PublishOutcome outcomeOf(const HttpAnswer& answer) {
  if (answer.error) return {PublishResult::Undecided, 0, answer.error.message()};
  if (answer.ok()) return {PublishResult::Published, distribution::parsePublished(answer.body).version, {}};
  if (answer.status == kConflict) {
    const distribution::Conflict newest = distribution::parseConflict(answer.body);
    return {
        PublishResult::Conflict, newest.version,
        "version " + std::to_string(newest.version) + " by " + newest.author + " was published meanwhile"};
  }
  const distribution::CallError error = distribution::parseCallError(answer.body);
  const std::string why = error.detail.empty() ? error.error : error.error + ": " + error.detail;
  const bool wrong_request = answer.status / 100 == 4;
  return {wrong_request ? PublishResult::Refused : PublishResult::Undecided, 0, why};
}

PublishOutcome publishAt(const Endpoint& replica, const std::string& body, milliseconds time_limit) {
  const std::string from = replica.address().to_string() + ":" + std::to_string(replica.port()) + ": ";
  const HttpAnswer answer = callOnce(
      replica, {.method = verb::post, .target = "/v1/publish", .body = body, .time_limit = time_limit});
  try {
    PublishOutcome outcome = outcomeOf(answer);
    if (!outcome.detail.empty()) outcome.detail = from + outcome.detail;
    return outcome;
  } catch (const distribution::CodecError& e) {
    return {PublishResult::Undecided, 0, from + "an answer that can't be read: " + e.what()};
  }
}

}  // namespace

Endpoint endpointOf(const std::string& text) {
  try {
    return parseEndpoint(text);
  } catch (const std::runtime_error& e) {
    throw UsageError("the replica " + std::string(e.what()));
  }
}

std::vector<ReplicaAnswer> ReplicaClient::statuses() const {
  std::vector<std::future<std::optional<distribution::Status>>> asked;
  for (const Endpoint& replica : replicas_)
    asked.push_back(std::async(std::launch::async, [replica] { return statusOf(replica); }));
  std::vector<ReplicaAnswer> answers;
  for (std::size_t i = 0; i < replicas_.size(); ++i) answers.push_back({replicas_[i], asked[i].get()});
  return answers;
}

PublishOutcome ReplicaClient::publish(const PublishRequest& request, milliseconds time_limit) const {
  const std::string body = distribution::formatPublishRequest(request);
  const Clock::time_point end = Clock::now() + time_limit;
  PublishOutcome last;
  for (;;) {
    for (const Endpoint& replica : replicas_) {
      const auto left = std::chrono::duration_cast<milliseconds>(end - Clock::now());
      if (left <= milliseconds(0)) return last;
      last = publishAt(replica, body, std::min(left, kPublishTime));
      if (last.result != PublishResult::Undecided) return last;
    }
    std::this_thread::sleep_for(kPause);
  }
}

std::optional<distribution::Change> ReplicaClient::change(distribution::Version version) const {
  for (const Endpoint& replica : replicas_) {
    const HttpAnswer answer =
        callOnce(replica, {.target = "/v1/changes/" + std::to_string(version), .body = {}});
    if (!answer.ok()) continue;
    try {
      return distribution::parseChange(answer.body);
    } catch (const distribution::CodecError&) {
      continue;
    }
  }
  return std::nullopt;
}

}  // namespace client_proxy::configuration
