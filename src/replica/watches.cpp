#include "replica/watches.h"

#include <array>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <utility>

#include "distribution/codec.h"

namespace client_proxy::replica {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxLines = 64;  // cached lines: one per version and digest that subscribers have

// Encodes a line as one chunk of a chunked response (RFC 9112, 7.1).
std::shared_ptr<const std::string> toChunk(const std::string& line) {
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", line.size());
  return std::make_shared<const std::string>(size.data() + line + "\r\n");
}

const auto kHeartbeatChunk = toChunk(distribution::formatWatchLine(distribution::Heartbeat{}));
const auto kResponseHead = std::make_shared<const std::string>(
    "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nCache-Control: no-store\r\n"
    "Transfer-Encoding: chunked\r\n\r\n");

}  // namespace

class Watches::Watch : public std::enable_shared_from_this<Watch> {
 public:
  Watch(Watches& watches, asio::ip::tcp::socket socket, WatchRequest request, std::size_t group)
      : watches_(&watches), socket_(std::move(socket)), request_(std::move(request)), group_(group) {}

  void start() {
    error_code ignored;
    socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
    waitForDisconnect();
    write(kResponseHead);
  }
  // Sends the next change or quorum notice, unless a write is in progress.
  void sendPending() {
    if (writing_) return;
    if (const Line line = watches_->lineFor(request_.from, request_.digest)) {
      const Change& newest = *watches_->source_.newest();
      request_.from = newest.version;
      request_.digest = newest.digest;
      return write(line);
    }
    if (const bool quorum = watches_->source_.quorum(); quorum != last_sent_quorum_) {
      last_sent_quorum_ = quorum;
      write(toChunk(distribution::formatWatchLine(distribution::QuorumNotice{watches_->self_, quorum})));
    }
  }
  // Returns false if the subscriber is too slow and is to be disconnected.
  bool sendHeartbeat() {
    if (writing_) return Clock::now() - write_started_ < watches_->write_timeout_;
    sendPending();
    if (!writing_) write(kHeartbeatChunk);
    return true;
  }
  void close() {
    watches_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
  }
  std::size_t group() const { return group_; }
  const std::optional<distribution::MemberId>& member() const { return request_.member; }

 private:
  void write(Line line) {
    writing_ = true;
    write_started_ = Clock::now();
    const asio::const_buffer bytes = asio::buffer(*line);
    asio::async_write(socket_, bytes, [self = shared_from_this(), line](error_code ec, std::size_t) {
      self->writing_ = false;
      if (self->watches_ == nullptr) return;
      if (ec) return self->watches_->remove(*self);
      self->sendPending();
    });
  }
  // A subscriber sends nothing after its request; anything read, or an error, ends the watch.
  void waitForDisconnect() {
    socket_.async_read_some(asio::buffer(input_), [self = shared_from_this()](error_code, std::size_t) {
      if (self->watches_ != nullptr) self->watches_->remove(*self);
    });
  }

  Watches* watches_;  // null: the watch is closed
  asio::ip::tcp::socket socket_;
  WatchRequest request_;  // version and digest are updated to those of the last line sent
  const std::size_t group_;
  bool writing_ = false, last_sent_quorum_ = true;
  Clock::time_point write_started_{};
  std::array<char, 16> input_{};
};

Watches::Watches(asio::io_context& io, distribution::ReplicaId self, std::chrono::milliseconds write_timeout,
                 Source source)
    : self_(self), write_timeout_(write_timeout), source_(std::move(source)), timer_(io) {
  tick();
}

Watches::~Watches() {
  *alive_ = false;
  for (const auto& watch : watches_) watch->close();
}

bool Watches::add(asio::ip::tcp::socket socket, WatchRequest request) {
  if (watches_.size() >= kMaxWatches) return false;
  if (request.member) source_.connection(*request.member, true);
  next_group_ = (next_group_ + 1) % kHeartbeatGroups;
  watches_.push_back(std::make_shared<Watch>(*this, std::move(socket), std::move(request), next_group_));
  watches_.back()->start();
  return true;
}

void Watches::onChange() {
  for (const auto& watch : watches_) watch->sendPending();
}

void Watches::remove(Watch& watch) {
  if (watch.member()) source_.connection(*watch.member(), false);
  watch.close();
  watches_.remove_if([&](const auto& one) { return one.get() == &watch; });
}

void Watches::tick() {
  tick_ = (tick_ + 1) % kHeartbeatGroups;
  std::vector<std::shared_ptr<Watch>> slow;
  for (const auto& watch : watches_) {
    if (watch->group() == tick_ && !watch->sendHeartbeat()) slow.push_back(watch);
  }
  for (const auto& watch : slow) remove(*watch);
  timer_.expires_after(kHeartbeat / kHeartbeatGroups);
  timer_.async_wait([this, alive = alive_](error_code ec) {
    if (!ec && *alive) tick();
  });
}

Watches::Line Watches::lineFor(Version version, const std::string& digest) {
  const Change* const newest = source_.newest();
  if (newest == nullptr || version > newest->version) return nullptr;
  if (version == newest->version && digest == newest->digest) return nullptr;
  if (lines_version_ != newest->version) lines_.clear();
  lines_version_ = newest->version;
  const Change* const base = version < newest->version ? source_.recent(version) : nullptr;
  const bool base_known = base != nullptr && base->digest == digest;
  const std::pair<Version, std::string> key =
      base_known ? std::pair(version, digest) : std::pair(Version{0}, std::string());
  if (const auto line = lines_.find(key); line != lines_.end()) return line->second;
  if (lines_.size() >= kMaxLines) lines_.clear();
  const auto notice = base_known ? distribution::noticeOf(*newest, *base) : distribution::noticeOf(*newest);
  return lines_[key] = toChunk(distribution::formatWatchLine(notice));
}

}  // namespace client_proxy::replica
