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

constexpr std::size_t kMaxLines = 64;  // prepared at once, for as many texts that subscribers have

// One chunk of a chunked answer (RFC 9112, 7.1).
std::shared_ptr<const std::string> chunkOf(const std::string& line) {
  std::array<char, 24> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", line.size());
  return std::make_shared<const std::string>(size.data() + line + "\r\n");
}

const auto kHeartbeatChunk = chunkOf(distribution::formatWatchLine(distribution::Heartbeat{}));
const auto kHead = std::make_shared<const std::string>(
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
    waitForEnd();
    write(kHead);
  }
  // Sends what is due, unless a line is on its way.
  void advance() {
    if (writing_) return;
    if (const Line line = watches_->lineFrom(request_.from, request_.digest)) {
      const Change& newest = *watches_->source_.newest();
      request_.from = newest.version;
      request_.digest = newest.digest;
      return write(line);
    }
    if (const bool quorum = watches_->source_.quorum(); quorum != quorum_told_) {
      quorum_told_ = quorum;
      write(chunkOf(distribution::formatWatchLine(distribution::QuorumNotice{watches_->self_, quorum})));
    }
  }
  // False: it is too slow to be kept.
  bool beat() {
    if (writing_) return Clock::now() - write_began_ < watches_->slow_;
    advance();
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
    write_began_ = Clock::now();
    const asio::const_buffer bytes = asio::buffer(*line);
    asio::async_write(socket_, bytes, [self = shared_from_this(), line](error_code ec, std::size_t) {
      self->writing_ = false;
      if (self->watches_ == nullptr) return;
      if (ec) return self->watches_->end(*self);
      self->advance();
    });
  }
  // A subscriber says nothing more; what comes is its end.
  void waitForEnd() {
    socket_.async_read_some(asio::buffer(input_), [self = shared_from_this()](error_code, std::size_t) {
      if (self->watches_ != nullptr) self->watches_->end(*self);
    });
  }

  Watches* watches_;  // null: it has ended
  asio::ip::tcp::socket socket_;
  WatchRequest request_;  // its version and digest are those of the line sent last
  const std::size_t group_;
  bool writing_ = false, quorum_told_ = true;
  Clock::time_point write_began_{};
  std::array<char, 16> input_{};
};

Watches::Watches(asio::io_context& io, distribution::ReplicaId self, std::chrono::milliseconds slow,
                 Source source)
    : self_(self), slow_(slow), source_(std::move(source)), timer_(io) {
  tick();
}

Watches::~Watches() {
  *alive_ = false;
  for (const auto& watch : watches_) watch->close();
}

bool Watches::add(asio::ip::tcp::socket socket, WatchRequest request) {
  if (watches_.size() >= kMaxWatches) return false;
  if (request.member) source_.connection(*request.member, true);
  next_group_ = (next_group_ + 1) % kGroups;
  watches_.push_back(std::make_shared<Watch>(*this, std::move(socket), std::move(request), next_group_));
  watches_.back()->start();
  return true;
}

void Watches::changed() {
  for (const auto& watch : watches_) watch->advance();
}

void Watches::end(Watch& watch) {
  if (watch.member()) source_.connection(*watch.member(), false);
  watch.close();
  watches_.remove_if([&](const auto& one) { return one.get() == &watch; });
}

void Watches::tick() {
  tick_ = (tick_ + 1) % kGroups;
  std::vector<std::shared_ptr<Watch>> slow;
  for (const auto& watch : watches_) {
    if (watch->group() == tick_ && !watch->beat()) slow.push_back(watch);
  }
  for (const auto& watch : slow) end(*watch);
  timer_.expires_after(kHeartbeat / kGroups);
  timer_.async_wait([this, alive = alive_](error_code ec) {
    if (!ec && *alive) tick();
  });
}

Watches::Line Watches::lineFrom(Version version, const std::string& digest) {
  const Change* const newest = source_.newest();
  if (newest == nullptr || version > newest->version) return nullptr;
  if (version == newest->version && digest == newest->digest) return nullptr;
  if (lines_of_ != newest->version) lines_.clear();
  lines_of_ = newest->version;
  const Change* const base = version < newest->version ? source_.recent(version) : nullptr;
  const bool known = base != nullptr && base->digest == digest;
  const std::pair<Version, std::string> key =
      known ? std::pair(version, digest) : std::pair(Version{0}, std::string());
  if (const auto line = lines_.find(key); line != lines_.end()) return line->second;
  if (lines_.size() >= kMaxLines) lines_.clear();
  const auto notice = known ? distribution::noticeOf(*newest, *base) : distribution::noticeOf(*newest);
  return lines_[key] = chunkOf(distribution::formatWatchLine(notice));
}

}  // namespace client_proxy::replica
