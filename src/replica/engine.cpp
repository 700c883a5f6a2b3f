#include "replica/engine.h"

#include <random>
#include <utility>

namespace client_proxy::replica {
namespace {

constexpr std::size_t kFetchCount = 8;  // changes sent for one fetch
constexpr std::size_t kFetchTextBytes = distribution::kMaxTextBytes;
constexpr std::size_t kMaxReads = 64;  // waiting for the disk at once

std::uint64_t drawRun() {
  std::random_device random;
  const std::uint64_t run = (std::uint64_t{random()} << 32U) | random();
  return run == 0 ? 1 : run;
}

}  // namespace

Engine::Engine(boost::asio::io_context& io, const std::string& folder, consensus::Rules rules,
               Reports reports)
    : io_(io), rules_(std::move(rules)), reports_(std::move(reports)), timer_(io_) {
  DiskTask::Reports disk;
  disk.written = [this] {
    outputs_.written();
    carryOutWhatMay();
  };
  disk.failed = [this](const sqlite::Error& error) { failed(error); };
  disk.changes = [this](std::uint64_t token, std::vector<Change> changes) {
    changesRead(token, std::move(changes));
  };
  disk.opened = [this](Loaded loaded) { opened(std::move(loaded)); };
  disk.not_opened = [this](const sqlite::Error& error) { failed(error); };
  disk_ = std::make_unique<DiskTask>(io_, folder, rules_.self, rules_.kept, std::move(disk));
  disk_->openHere();
}

Engine::~Engine() { *alive_ = false; }

consensus::Time Engine::now() const {
  return std::chrono::duration_cast<consensus::Time>(std::chrono::steady_clock::now().time_since_epoch());
}

const Change* Engine::recent(Version version) const {
  for (const Change& change : newest_) {
    if (change.version == version) return &change;
  }
  return nullptr;
}

// ---- the disk ----

void Engine::opened(Loaded loaded) {
  if (node_) return;
  disk_fault_.reset();
  consensus::Output output;
  node_ = std::make_unique<consensus::Node>(rules_, loaded.state, drawRun(), now(), output);
  start_count_ = node_->startCount();
  if (newest_.empty()) newest_.assign(loaded.newest.begin(), loaded.newest.end());
  // Where a write was on disk before the disk failed: it was told to nobody yet.
  for (const Change& change : loaded.newest) {
    if (newest() == nullptr || change.version > newest()->version) output.chosen.push_back(change);
  }
  work([&](consensus::Output& out) { out = std::move(output); });
}

// Whatever was not said yet is never said; the node begins anew with what is on disk.
void Engine::failed(const sqlite::Error& error) {
  DiskRefused refused{error.fault(), std::string(nameOf(error.fault())) + ": " + error.what()};
  if (!disk_fault_ || disk_fault_->detail != refused.detail) reports_.log(refused.detail);
  disk_fault_ = refused;
  node_.reset();
  outputs_.discard();
  for (auto& [token, done] : std::exchange(publishes_, {})) done(refused);
  openLater();
}

void Engine::openLater() {
  timer_.expires_after(kRetryDisk);
  timer_.async_wait([this, alive = alive_](boost::system::error_code ec) {
    if (ec || !*alive || node_) return;
    disk_->open();
    openLater();
  });
}

// ---- events ----

template <typename Event>
void Engine::work(Event event) {
  if (!node_) return;
  consensus::Output output;
  event(output);
  if (!output.empty() && outputs_.add(std::move(output)) && !disk_->write(outputs_.newestWrites()))
    return failed(sqlite::Error(sqlite::Fault::Other, "too much waits for the disk"));
  carryOutWhatMay();
  setTimer();
}

void Engine::receive(ReplicaId from, const consensus::Message& message) {
  work([&](consensus::Output& out) { node_->onMessage(now(), from, message, out); });
}

void Engine::publish(distribution::PublishRequest request, std::int64_t published_ms, PublishDone done) {
  if (!node_)
    return done(disk_fault_.value_or(DiskRefused{sqlite::Fault::Other, "the database is not open"}));
  const consensus::PublishToken token = ++next_token_;
  publishes_.emplace(token, std::move(done));
  work([&](consensus::Output& out) { node_->publish(now(), token, std::move(request), published_ms, out); });
}

void Engine::read(Version version, ReadDone done) {
  if (const Change* const change = recent(version)) return done(*change);
  const std::uint64_t token = ++next_token_;
  if (reads_.size() >= kMaxReads || !disk_->read(token, version, 1, 0)) return done(std::nullopt);
  reads_.emplace(token, [version, done = std::move(done)](std::vector<Change> changes) {
    const bool found = !changes.empty() && changes.front().version == version;
    done(found ? std::optional<Change>(std::move(changes.front())) : std::nullopt);
  });
}

void Engine::changesRead(std::uint64_t token, std::vector<Change> changes) {
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
  work([&](consensus::Output& out) { node_->onTime(now(), out); });
}

// ---- what comes of them ----

void Engine::carryOutWhatMay() {
  while (auto output = outputs_.next()) carryOut(std::move(*output));
}

void Engine::carryOut(consensus::Output output) {
  for (const std::string& line : output.lines) reports_.log(line);
  for (const Change& change : output.chosen) {
    // An emptied disk learns again what was told before: no step back.
    if (newest() != nullptr && change.version <= newest()->version) continue;
    keep(change);
    reports_.chosen(change);
  }
  for (consensus::Outgoing& outgoing : output.messages)
    reports_.send(outgoing.to, std::move(outgoing.message));
  for (const consensus::SendChanges& request : output.changes) {
    const std::uint64_t token = ++next_token_;
    if (reads_.size() >= kMaxReads || !disk_->read(token, request.from, kFetchCount, kFetchTextBytes))
      continue;
    reads_.emplace(token, [this, to = request.to](std::vector<Change> changes) {
      if (!node_) return;
      for (Change& change : changes)
        reports_.send(to, consensus::Chosen{std::move(change), node_->history().oldestKept()});
    });
  }
  for (consensus::PublishResult& result : output.results) {
    std::visit([&](auto& outcome) { answer(result.token, std::move(outcome)); }, result.outcome);
  }
}

void Engine::keep(const Change& change) {
  newest_.push_back(change);
  std::size_t bytes = 0;
  for (const Change& one : newest_) bytes += one.text.size();
  while (newest_.size() > DiskTask::kNewest || (newest_.size() > 1 && bytes > DiskTask::kNewestTextBytes)) {
    bytes -= newest_.front().text.size();
    newest_.pop_front();
  }
}

void Engine::answer(consensus::PublishToken token, PublishReply reply) {
  const auto publish = publishes_.find(token);
  if (publish == publishes_.end()) return;
  const PublishDone done = std::move(publish->second);
  publishes_.erase(publish);
  done(std::move(reply));
}

}  // namespace client_proxy::replica
