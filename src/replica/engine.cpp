#include "replica/engine.h"

#include <random>
#include <utility>

namespace client_proxy::replica {
namespace {

constexpr std::size_t kMaxFetchChanges = 8;  // changes sent in reply to one Fetch
constexpr std::size_t kMaxFetchTextBytes = distribution::kMaxTextBytes;
constexpr std::size_t kMaxPendingReads = 64;  // reads that wait for the disk at once

std::uint64_t randomRunId() {
  std::random_device random;
  const std::uint64_t run = (std::uint64_t{random()} << 32U) | random();
  return run == 0 ? 1 : run;
}

}  // namespace

Engine::Engine(boost::asio::io_context& io, const std::string& folder, consensus::Rules rules,
               Callbacks callbacks)
    : io_(io), rules_(std::move(rules)), callbacks_(std::move(callbacks)), timer_(io_) {
  DiskTask::Callbacks disk;
  disk.written = [this] {
    outputs_.markWritten();
    flushOutputs();
  };
  disk.write_failed = [this](const sqlite::Error& error) { onDiskFailed(error); };
  disk.changes_read = [this](std::uint64_t token, std::vector<Change> changes) {
    onChangesRead(token, std::move(changes));
  };
  disk.opened = [this](LoadedState loaded) { onOpened(std::move(loaded)); };
  disk.open_failed = [this](const sqlite::Error& error) { onDiskFailed(error); };
  disk_ = std::make_unique<DiskTask>(io_, folder, rules_.self, rules_.kept, std::move(disk));
  disk_->openSync();
}

Engine::~Engine() { *alive_ = false; }

consensus::Time Engine::now() const {
  return std::chrono::duration_cast<consensus::Time>(std::chrono::steady_clock::now().time_since_epoch());
}

const Change* Engine::recent(Version version) const {
  for (const Change& change : recent_) {
    if (change.version == version) return &change;
  }
  return nullptr;
}

// ---- the disk ----

void Engine::onOpened(LoadedState loaded) {
  if (node_) return;
  disk_fault_.reset();
  consensus::Output output;
  node_ = std::make_unique<consensus::Node>(rules_, loaded.state, randomRunId(), now(), output);
  start_count_ = node_->startCount();
  if (recent_.empty()) recent_.assign(loaded.recent.begin(), loaded.recent.end());
  // A write may have reached the disk before the disk failed; such changes have not been announced yet.
  for (const Change& change : loaded.recent) {
    if (newest() == nullptr || change.version > newest()->version) output.chosen.push_back(change);
  }
  dispatch([&](consensus::Output& out) { out = std::move(output); });
}

// Drops all outputs not executed yet; a new node starts from the state on disk.
void Engine::onDiskFailed(const sqlite::Error& error) {
  DiskFailure refused{error.fault(), std::string(nameOf(error.fault())) + ": " + error.what()};
  if (!disk_fault_ || disk_fault_->detail != refused.detail) callbacks_.log(refused.detail);
  disk_fault_ = refused;
  node_.reset();
  outputs_.discard();
  for (auto& [token, done] : std::exchange(publishes_, {})) done(refused);
  scheduleReopen();
}

void Engine::scheduleReopen() {
  timer_.expires_after(kDiskRetryInterval);
  timer_.async_wait([this, alive = alive_](boost::system::error_code ec) {
    if (ec || !*alive || node_) return;
    disk_->open();
    scheduleReopen();
  });
}

// ---- events ----

template <typename Event>
void Engine::dispatch(Event event) {
  if (!node_) return;
  consensus::Output output;
  event(output);
  if (!output.empty() && outputs_.add(std::move(output)) && !disk_->write(outputs_.newestWrites()))
    return onDiskFailed(sqlite::Error(sqlite::Fault::Other, "the queue of disk writes is full"));
  flushOutputs();
  setTimer();
}

void Engine::receive(ReplicaId from, const consensus::Message& message) {
  dispatch([&](consensus::Output& out) { node_->onMessage(now(), from, message, out); });
}

void Engine::publish(distribution::PublishRequest request, std::int64_t published_ms, PublishCallback done) {
  if (!node_)
    return done(disk_fault_.value_or(DiskFailure{sqlite::Fault::Other, "the database is not open"}));
  const consensus::PublishToken token = ++next_token_;
  publishes_.emplace(token, std::move(done));
  dispatch(
      [&](consensus::Output& out) { node_->publish(now(), token, std::move(request), published_ms, out); });
}

void Engine::read(Version version, ReadCallback done) {
  if (const Change* const change = recent(version)) return done(*change);
  const std::uint64_t token = ++next_token_;
  if (reads_.size() >= kMaxPendingReads || !disk_->read(token, version, 1, 0)) return done(std::nullopt);
  reads_.emplace(token, [version, done = std::move(done)](std::vector<Change> changes) {
    const bool found = !changes.empty() && changes.front().version == version;
    done(found ? std::optional<Change>(std::move(changes.front())) : std::nullopt);
  });
}

void Engine::onChangesRead(std::uint64_t token, std::vector<Change> changes) {
  const auto read = reads_.find(token);
  if (read == reads_.end()) return;
  const auto done = std::move(read->second);
  reads_.erase(read);
  done(std::move(changes));
}

void Engine::setTimer() {
  if (!node_) return;
  const consensus::Time wait = node_->nextTime() - now();
  timer_.expires_after(std::max(wait, consensus::Time(1)));
  timer_.async_wait([this, alive = alive_](boost::system::error_code ec) {
    if (!ec && *alive) onTimer();
  });
}

void Engine::onTimer() {
  dispatch([&](consensus::Output& out) { node_->onTime(now(), out); });
}

// ---- outputs ----

void Engine::flushOutputs() {
  while (auto output = outputs_.next()) execute(std::move(*output));
}

void Engine::execute(consensus::Output output) {
  for (const std::string& line : output.lines) callbacks_.log(line);
  for (const Change& change : output.chosen) {
    // After its disk was emptied, a replica fetches changes it has announced before: skip these, so that the
    // version never goes back.
    if (newest() != nullptr && change.version <= newest()->version) continue;
    addRecent(change);
    callbacks_.chosen(change);
  }
  for (consensus::Outgoing& outgoing : output.messages)
    callbacks_.send(outgoing.to, std::move(outgoing.message));
  for (const consensus::SendChanges& request : output.changes) {
    const std::uint64_t token = ++next_token_;
    if (reads_.size() >= kMaxPendingReads ||
        !disk_->read(token, request.from, kMaxFetchChanges, kMaxFetchTextBytes))
      continue;
    reads_.emplace(token, [this, to = request.to](std::vector<Change> changes) {
      if (!node_) return;
      for (Change& change : changes)
        callbacks_.send(to, consensus::Chosen{std::move(change), node_->history().oldestKept()});
    });
  }
  for (consensus::PublishResult& result : output.results) {
    std::visit([&](auto& outcome) { completePublish(result.token, std::move(outcome)); }, result.outcome);
  }
}

void Engine::addRecent(const Change& change) {
  recent_.push_back(change);
  std::size_t bytes = 0;
  for (const Change& one : recent_) bytes += one.text.size();
  while (recent_.size() > DiskTask::kMaxRecent ||
         (recent_.size() > 1 && bytes > DiskTask::kMaxRecentTextBytes)) {
    bytes -= recent_.front().text.size();
    recent_.pop_front();
  }
}

void Engine::completePublish(consensus::PublishToken token, PublishReply reply) {
  const auto publish = publishes_.find(token);
  if (publish == publishes_.end()) return;
  const PublishCallback done = std::move(publish->second);
  publishes_.erase(publish);
  done(std::move(reply));
}

}  // namespace client_proxy::replica
