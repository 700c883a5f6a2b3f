#include "fleet_transport/udp_transport.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <utility>

#include "fleet_transport/membership_snapshot.h"
#include "metrics/metrics.h"

namespace client_proxy::fleet_transport {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using fleet::Number;
using fleet::State;

constexpr std::uint16_t kProgramVersion = 1;  // increased if readers of records have to distinguish programs
constexpr Time kFactsInterval = 2 * kSecond;
constexpr double kTrafficWindow = 10;  // seconds that the request rate is averaged over
// A new process that has requested the state takes over within this time or not at all:
// hot_restart::Link::Limits is shorter.
constexpr Time kHandoverPause = 3 * kSecond;
constexpr std::chrono::milliseconds kReopenInterval{200};
constexpr std::chrono::milliseconds kZonesInterval{100};
constexpr std::size_t kMaxReadsPerTurn = 64;  // datagrams read before other handlers run

fleet::Incarnation incarnationOf(const Clock& clock) {
  std::random_device random;
  return fleet::incarnationAt(clock.now() / kMillisecond, static_cast<std::uint16_t>(random()));
}

fleet::Settings settingsOf(const FleetSettings& own) {
  fleet::Settings s;
  s.self = own.number;
  s.fleet = fleet::fleetSeed(own.name);
  return s;
}

// Seconds, truncated to milliseconds.
double secondsOf(Time time) {
  const Time milliseconds = time / kMillisecond;
  return static_cast<double>(milliseconds) / 1000;
}

std::string addressText(const UdpTransport::Endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

}  // namespace

UdpTransport::UdpTransport(asio::io_context& io, const Clock& clock, Log& log, FleetSettings settings,
                           LocalNode& local)
    : io_(io),
      clock_(clock),
      log_(log),
      settings_(std::move(settings)),
      local_(local),
      socket_(io),
      protocol_timer_(io),
      facts_timer_(io),
      reopen_timer_(io),
      zones_timer_(io),
      zone_watch_(local, log, settings_.number, settings_.zone) {
  try {
    std::random_device random;
    fleet_.emplace(settingsOf(settings_), listed(settings_.members), incarnationOf(clock), random());
  } catch (const std::invalid_argument& e) {
    throw std::runtime_error(std::string("fleet: ") + e.what());
  }
  setAddresses(settings_.members);
}

UdpTransport::~UdpTransport() = default;

std::vector<fleet::Listed> UdpTransport::listed(const std::vector<FleetPeer>& members) {
  std::vector<fleet::Listed> out;
  out.reserve(members.size());
  for (const FleetPeer& p : members) out.push_back({p.number, p.zone, p.region});
  return out;
}

void UdpTransport::setAddresses(const std::vector<FleetPeer>& members) {
  numbers_.clear();
  addresses_.clear();
  for (const FleetPeer& p : members) {
    numbers_[p.at] = p.number;
    addresses_[p.number] = p.at;
  }
}

void UdpTransport::setMembers(const std::vector<FleetPeer>& members) {
  try {
    fleet_->setMembers(clock_.now(), listed(members));
  } catch (const std::invalid_argument& e) {
    throw std::runtime_error(e.what());
  }
  setAddresses(members);
  armTimer();
}

// ---- start and stop ----

void UdpTransport::start(const std::string& previous_state) {
  if (!previous_state.empty()) {
    try {
      fleet_->restore(snapshotFromText(previous_state), clock_.now());
    } catch (const std::runtime_error& e) {
      log_.line(std::string("fleet: state of the previous process not used: ") + e.what(), LogLevel::Warning);
    }
  }
  started_ = true;
  try {
    open();
  } catch (const boost::system::system_error& e) {
    const std::string why =
        "fleet: cannot listen on " + addressText(settings_.listen) + ": " + e.code().message();
    if (previous_state.empty()) throw std::runtime_error(why);
    retryOpen(why);  // the previous process is about to release the address
  }
  traffic_measured_at_ = clock_.now();
  last_admitted_ = local_.admitted();
  refreshFacts();
  Output out;
  fleet_->start(clock_.now(), out);
  apply(out);
  evaluateZones();
}

void UdpTransport::open() {
  asio::ip::udp::socket socket(io_);
  socket.open(settings_.listen.protocol());
  socket.bind(settings_.listen);
  socket.non_blocking(true);
  socket_ = std::move(socket);
  retry_logged_ = false;
  awaitDatagrams();
}

void UdpTransport::retryOpen(const std::string& why) {
  if (!std::exchange(retry_logged_, true)) log_.line(why + "; retrying", LogLevel::Warning);
  reopen_timer_.expires_after(kReopenInterval);
  reopen_timer_.async_wait([this](error_code ec) {
    if (ec || silent_ || socket_.is_open()) return;
    try {
      open();
    } catch (const boost::system::system_error& e) {
      retryOpen(e.code().message());
    }
  });
}

std::string UdpTransport::handOn() {
  std::string text = toText(fleet_->snapshot());
  const Time until = clock_.now() + kHandoverPause;
  fleet_->suspendSending(clock_.now(), until);
  error_code ignored;
  socket_.close(ignored);
  armTimer();
  reopen_timer_.expires_after(std::chrono::microseconds(kHandoverPause));
  reopen_timer_.async_wait([this](error_code ec) {
    if (!ec && !silent_) resume();
  });
  return text;
}

void UdpTransport::resume() {
  if (!started_ || socket_.is_open()) return;
  if (std::exchange(silent_, false)) refreshFacts();
  fleet_->suspendSending(clock_.now(), clock_.now());
  try {
    open();
  } catch (const boost::system::system_error& e) {
    retryOpen("fleet: cannot listen on " + addressText(settings_.listen) + " again: " + e.code().message());
  }
  armTimer();
}

void UdpTransport::stop() {
  silent_ = true;
  reopen_timer_.cancel();
  protocol_timer_.cancel();
  armed_for_ = kNever;  // resume() rearms it
  facts_timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

void UdpTransport::leave() {
  if (!started_ || silent_) return;
  Output out;
  fleet_->leave(clock_.now(), out);
  apply(out);
}

// ---- datagrams ----

void UdpTransport::awaitDatagrams() {
  socket_.async_wait(asio::ip::udp::socket::wait_read, [this](error_code ec) {
    if (ec || !socket_.is_open()) return;
    readPending();
    if (socket_.is_open()) awaitDatagrams();
  });
}

void UdpTransport::readPending() {
  for (std::size_t n = 0; n < kMaxReadsPerTurn && socket_.is_open(); ++n) {
    error_code failed;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer_), sender_, 0, failed);
    if (failed == asio::error::would_block) break;
    // An error reports an undeliverable datagram of ours (ICMP); the protocol handles its loss.
    if (!failed) onDatagram(size);
  }
}

void UdpTransport::onDatagram(std::size_t size) {
  ++datagrams_in_;
  bytes_in_ += size;
  const auto known = numbers_.find(sender_);
  const std::string_view datagram(buffer_.data(), size);
  if (known == numbers_.end()) {
    ++unknown_senders_;
    // May be another process that uses this member's number, at an address that is not listed.
    const fleet::Decoded decoded = fleet::decode(datagram, fleet::fleetSeed(settings_.name));
    if (decoded.fault == fleet::Fault::None && decoded.message.header.from == settings_.number)
      fleet_->onClaimed(clock_.now());
    return;
  }
  Output out;
  fleet_->receive(clock_.now(), known->second, datagram, out);
  if (!out.messages.empty()) ++messages_in_, message_bytes_in_ += size;
  apply(out);
}

void UdpTransport::apply(const Output& out) {
  for (const fleet::Datagram& d : out.datagrams) {
    const auto to = addresses_.find(d.to);
    if (to == addresses_.end() || !socket_.is_open()) continue;
    error_code failed;
    socket_.send_to(asio::buffer(d.bytes), to->second, 0, failed);
    ++(failed ? datagrams_unsent_ : datagrams_out_);
    if (!failed) bytes_out_ += d.bytes.size();
  }
  for (const fleet::ApplicationMessage& p : out.messages) {
    if (on_message_) on_message_(p.from, p.bytes);
  }
  for (const fleet::Change& c : out.changes) {
    std::string line =
        "fleet: member " + std::to_string(c.member) + " is " + std::string(fleet::nameOf(c.is));
    if (c.is == State::Suspect) line += ", accused by " + std::to_string(c.by);
    log_.line(line);
  }
  if (const bool duplicate = fleet_->duplicateDetected(clock_.now()); duplicate != duplicate_logged_) {
    duplicate_logged_ = duplicate;
    log_.line(duplicate ? "fleet: another process uses member number " + std::to_string(settings_.number) +
                              ": give each process its own number"
                        : "fleet: no other process uses this member's number any more",
              LogLevel::Warning);
  }
  armTimer();
}

void UdpTransport::send(Number to, std::string bytes) {
  if (!started_ || silent_) return;
  Output out;
  fleet_->sendMessage(clock_.now(), to, std::move(bytes), out);
  const std::uint64_t datagrams_before = datagrams_out_, bytes_before = bytes_out_;
  apply(out);
  messages_out_ += datagrams_out_ - datagrams_before;
  message_bytes_out_ += bytes_out_ - bytes_before;
}

MembershipService::Traffic UdpTransport::traffic() const {
  return {.datagrams_in = datagrams_in_,
          .datagrams_out = datagrams_out_,
          .bytes_in = bytes_in_,
          .bytes_out = bytes_out_,
          .messages_in = messages_in_,
          .messages_out = messages_out_,
          .message_bytes_in = message_bytes_in_,
          .message_bytes_out = message_bytes_out_};
}

std::vector<MembershipService::Member> UdpTransport::members() const {
  std::vector<Member> all;
  for (const fleet::Member& m : fleet_->roster().all()) {
    Member one{m.listed.number, m.listed.zone, fleet::isLive(m.standing.state)};
    if (one.zone.empty() && m.listed.number == settings_.number) one.zone = settings_.zone;
    if (one.zone.empty()) {
      if (const auto facts = fleet::decodeFacts(m.facts)) one.zone = facts->zone;
    }
    all.push_back(std::move(one));
  }
  return all;
}

void UdpTransport::armTimer() {
  const Time due = silent_ ? kNever : fleet_->due();
  if (due == kNever || due >= armed_for_) return;
  armed_for_ = due;
  protocol_timer_.expires_after(std::chrono::microseconds(std::max<Time>(0, due - clock_.now())));
  protocol_timer_.async_wait([this](error_code ec) {
    if (ec) return;
    armed_for_ = kNever;
    if (silent_) return;
    Output out;
    // Pending datagrams arrived before the timer: they may prove that a member about to be accused is alive.
    readPending();
    fleet_->onTime(clock_.now(), out);
    apply(out);
  });
}

void UdpTransport::refreshFacts() {
  const Time now = clock_.now();
  const std::uint64_t requests = local_.admitted();
  const double seconds = static_cast<double>(now - traffic_measured_at_) / static_cast<double>(kSecond);
  if (seconds > 0) {
    const double part = std::min(1.0, seconds / kTrafficWindow);
    traffic_ += part * (static_cast<double>(requests - last_admitted_) / seconds - traffic_);
  }
  last_admitted_ = requests;
  traffic_measured_at_ = now;
  publishFacts(false);
  facts_timer_.expires_after(std::chrono::microseconds(kFactsInterval));
  facts_timer_.async_wait([this](error_code ec) {
    if (!ec && !silent_) refreshFacts();
  });
}

// ---- facts, zones and operators' pages ----

void UdpTransport::publishFacts(bool urgent) {
  fleet::Facts facts;
  facts.version = kProgramVersion;
  facts.zone = settings_.zone;
  facts.region = settings_.region;
  facts.traffic = traffic_;
  if (!zone_watch_.note().empty()) facts.notes.push_back({zone_health::kZonesNote, zone_watch_.note()});
  fleet_->setFacts(clock_.now(), facts, urgent);
  armTimer();
}

void UdpTransport::evaluateZones() {
  const Time now = clock_.now();
  if (const auto note = zone_watch_.update(now, fleet_->roster(), fleet_->doubt(now) == fleet::Doubt::None))
    publishFacts(note->urgent);
  zones_timer_.expires_after(kZonesInterval);
  zones_timer_.async_wait([this](error_code ec) {
    if (!ec && !silent_) evaluateZones();
  });
}

std::string UdpTransport::summary() const {
  const fleet::View v = view();
  return nlohmann::ordered_json{{"number", v.self}, {"sure", v.sure()}, {"live", v.live}, {"hash", v.hash}}
      .dump();
}

std::string UdpTransport::page() const {
  using nlohmann::ordered_json;
  const Time now = clock_.now();
  const fleet::View v = view();
  const auto ago = [&](Time t) { return secondsOf(now - t); };
  ordered_json members = ordered_json::array();
  for (const fleet::ViewedMember& m : v.members) {
    ordered_json one = {{"number", m.number}, {"state", fleet::nameOf(m.state)}};
    if (const auto at = addresses_.find(m.number); at != addresses_.end())
      one["address"] = addressText(at->second);
    if (m.state != State::Unknown) one["since_s"] = ago(m.since);
    if (m.last_contact > 0) one["heard_s"] = ago(m.last_contact);
    if (!m.accusers.empty()) one["suspected_by"] = m.accusers;
    if (!m.zone.empty()) one["zone"] = m.zone;
    if (!m.region.empty()) one["region"] = m.region;
    if (m.facts.version != 0) one["version"] = m.facts.version;
    one["traffic"] = m.facts.traffic;
    one["incarnation"] = m.incarnation;
    members.push_back(std::move(one));
  }
  const fleet::Drops& d = fleet_->drops();
  return ordered_json{{"number", v.self},
                      {"sure", v.sure()},
                      {"doubt", fleet::nameOf(v.doubt)},
                      {"live", v.live},
                      {"suspects", v.suspects},
                      {"dead", v.dead},
                      {"left", v.left},
                      {"unheard", v.unknown},
                      {"rank", v.rank},
                      {"unchanged_s", secondsOf(v.unchanged)},
                      {"hash", v.hash},
                      {"refuted", fleet_->refuted()},
                      {"health", fleet_->health().score()},
                      {"datagrams",
                       {{"in", datagrams_in_},
                        {"out", datagrams_out_},
                        {"bytes_in", bytes_in_},
                        {"bytes_out", bytes_out_},
                        {"unsent", datagrams_unsent_}}},
                      {"drops",
                       {{"short", d.too_short},
                        {"long", d.too_long},
                        {"foreign", d.foreign},
                        {"version", d.version},
                        {"checksum", d.checksum},
                        {"malformed", d.malformed},
                        {"mistaken", d.misaddressed},
                        {"stranger", unknown_senders_}}},
                      {"members", members}}
      .dump(2, ' ', false, ordered_json::error_handler_t::replace);  // names come from other members and may
                                                                     // not be valid UTF-8
}

std::string UdpTransport::figures() const {
  const fleet::View v = view();
  const fleet::Drops& d = fleet_->drops();
  metrics::FleetMetrics page;
  page.members = {{"alive", v.live - v.suspects},
                  {"suspect", v.suspects},
                  {"dead", v.dead},
                  {"left", v.left},
                  {"unheard", v.unknown}};
  page.datagrams = {{"in", datagrams_in_}, {"out", datagrams_out_}};
  page.bytes = {{"in", bytes_in_}, {"out", bytes_out_}};
  page.drops = {{"short", d.too_short},       {"long", d.too_long},          {"foreign", d.foreign},
                {"version", d.version},       {"checksum", d.checksum},      {"malformed", d.malformed},
                {"mistaken", d.misaddressed}, {"stranger", unknown_senders_}};
  page.unchanged_seconds = static_cast<double>(v.unchanged) / static_cast<double>(kSecond);
  page.sure = v.sure();
  return metrics::toPrometheusText(page);
}

std::unique_ptr<MembershipService> makeMembershipService(asio::io_context& io, const Clock& clock, Log& log,
                                                         const FleetSettings& settings, LocalNode& local) {
  return std::make_unique<UdpTransport>(io, clock, log, settings, local);
}

}  // namespace client_proxy::fleet_transport
