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

constexpr std::uint16_t kProgram = 1;  // grows with what a record's readers must tell apart
constexpr Time kFactsEvery = 2 * kSecond;
constexpr double kTrafficLasts = 10;  // seconds over which it is averaged
// A new process that asked for the view has taken over by then or never will; handover::Link::Limits gives it
// less.
constexpr Time kStill = 3 * kSecond;
constexpr std::chrono::milliseconds kReopen{200};
constexpr std::chrono::milliseconds kZonesEvery{100};
constexpr std::size_t kAtOnce = 64;  // datagrams that are read before others have their turn

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

// Whole milliseconds, in seconds.
double secondsOf(Time time) {
  const Time milliseconds = time / kMillisecond;
  return static_cast<double>(milliseconds) / 1000;
}

std::string toPrometheusText(const UdpTransport::Endpoint& at) {
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
      due_(io),
      facts_(io),
      reopen_(io),
      zones_due_(io),
      zones_(local, log, settings_.number, settings_.zone) {
  try {
    std::random_device random;
    fleet_.emplace(settingsOf(settings_), listed(settings_.members), incarnationOf(clock), random());
  } catch (const std::invalid_argument& e) {
    throw std::runtime_error(std::string("fleet: ") + e.what());
  }
  know(settings_.members);
}

UdpTransport::~UdpTransport() = default;

std::vector<fleet::Listed> UdpTransport::listed(const std::vector<FleetPeer>& members) {
  std::vector<fleet::Listed> out;
  out.reserve(members.size());
  for (const FleetPeer& p : members) out.push_back({p.number, p.zone, p.region});
  return out;
}

void UdpTransport::know(const std::vector<FleetPeer>& members) {
  numbers_.clear();
  addresses_.clear();
  for (const FleetPeer& p : members) {
    numbers_[p.at] = p.number;
    addresses_[p.number] = p.at;
  }
}

void UdpTransport::setMembers(const std::vector<FleetPeer>& members) {
  try {
    fleet_->list(clock_.now(), listed(members));
  } catch (const std::invalid_argument& e) {
    throw std::runtime_error(e.what());
  }
  know(members);
  arm();
}

// ---- its life ----

void UdpTransport::start(const std::string& remembered) {
  if (!remembered.empty()) {
    try {
      fleet_->restore(snapshotFromText(remembered), clock_.now());
    } catch (const std::runtime_error& e) {
      log_.line(std::string("fleet: what the process before this one knew is not used: ") + e.what(),
                LogLevel::Warning);
    }
  }
  started_ = true;
  try {
    open();
  } catch (const boost::system::system_error& e) {
    const std::string why =
        "fleet: can't listen at " + toPrometheusText(settings_.listen) + ": " + e.code().message();
    if (remembered.empty()) throw std::runtime_error(why);
    openLater(why);  // the process before this one is about to let it go
  }
  facts_at_ = clock_.now();
  requests_before_ = local_.admitted();
  tellFacts();
  Steps out;
  fleet_->start(clock_.now(), out);
  carryOut(out);
  lookAtZones();
}

void UdpTransport::open() {
  asio::ip::udp::socket socket(io_);
  socket.open(settings_.listen.protocol());
  socket.bind(settings_.listen);
  socket.non_blocking(true);
  socket_ = std::move(socket);
  waiting_told_ = false;
  listen();
}

void UdpTransport::openLater(const std::string& why) {
  if (!std::exchange(waiting_told_, true)) log_.line(why + "; trying again", LogLevel::Warning);
  reopen_.expires_after(kReopen);
  reopen_.async_wait([this](error_code ec) {
    if (ec || silent_ || socket_.is_open()) return;
    try {
      open();
    } catch (const boost::system::system_error& e) {
      openLater(e.code().message());
    }
  });
}

std::string UdpTransport::handOn() {
  std::string text = toText(fleet_->snapshot());
  const Time until = clock_.now() + kStill;
  fleet_->beQuiet(clock_.now(), until);
  error_code ignored;
  socket_.close(ignored);
  arm();
  reopen_.expires_after(std::chrono::microseconds(kStill));
  reopen_.async_wait([this](error_code ec) {
    if (!ec && !silent_) resume();
  });
  return text;
}

void UdpTransport::resume() {
  if (!started_ || socket_.is_open()) return;
  if (std::exchange(silent_, false)) tellFacts();
  fleet_->beQuiet(clock_.now(), clock_.now());
  try {
    open();
  } catch (const boost::system::system_error& e) {
    openLater("fleet: can't listen at " + toPrometheusText(settings_.listen) +
              " again: " + e.code().message());
  }
  arm();
}

void UdpTransport::stop() {
  silent_ = true;
  reopen_.cancel();
  due_.cancel();
  armed_for_ = kNever;  // resume() arms it anew
  facts_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

void UdpTransport::leave() {
  if (!started_ || silent_) return;
  Steps out;
  fleet_->leave(clock_.now(), out);
  carryOut(out);
}

// ---- datagrams ----

void UdpTransport::listen() {
  socket_.async_wait(asio::ip::udp::socket::wait_read, [this](error_code ec) {
    if (ec || !socket_.is_open()) return;
    readWaiting();
    if (socket_.is_open()) listen();
  });
}

void UdpTransport::readWaiting() {
  for (std::size_t n = 0; n < kAtOnce && socket_.is_open(); ++n) {
    error_code failed;
    const std::size_t size = socket_.receive_from(asio::buffer(bytes_), from_, 0, failed);
    if (failed == asio::error::would_block) break;
    // A datagram of ours reached nobody (ICMP): its loss shows by itself.
    if (!failed) take(size);
  }
}

void UdpTransport::take(std::size_t size) {
  ++in_;
  bytes_in_ += size;
  const auto known = numbers_.find(from_);
  const std::string_view datagram(bytes_.data(), size);
  if (known == numbers_.end()) {
    ++strangers_;
    // Perhaps another process under this one's number, at an address that no list has.
    const fleet::Decoded decoded = fleet::decode(datagram, fleet::fleetSeed(settings_.name));
    if (decoded.fault == fleet::Fault::None && decoded.message.header.from == settings_.number)
      fleet_->onClaimed(clock_.now());
    return;
  }
  Steps out;
  fleet_->receive(clock_.now(), known->second, datagram, out);
  if (!out.parcels.empty()) ++parcels_in_, parcel_bytes_in_ += size;
  carryOut(out);
}

void UdpTransport::carryOut(const Steps& out) {
  for (const fleet::Datagram& d : out.datagrams) {
    const auto to = addresses_.find(d.to);
    if (to == addresses_.end() || !socket_.is_open()) continue;
    error_code failed;
    socket_.send_to(asio::buffer(d.bytes), to->second, 0, failed);
    ++(failed ? unsent_ : out_);
    if (!failed) bytes_out_ += d.bytes.size();
  }
  for (const fleet::ApplicationMessage& p : out.parcels) {
    if (take_) take_(p.from, p.bytes);
  }
  for (const fleet::Change& c : out.changes) {
    std::string line =
        "fleet: member " + std::to_string(c.member) + " is " + std::string(fleet::nameOf(c.is));
    if (c.is == State::Suspect) line += ", says " + std::to_string(c.by);
    log_.line(line);
  }
  if (const bool twice = fleet_->twice(clock_.now()); twice != twice_told_) {
    twice_told_ = twice;
    log_.line(twice ? "fleet: another process speaks as member " + std::to_string(settings_.number) +
                          ": give each a number of its own"
                    : "fleet: no other process speaks as this member any more",
              LogLevel::Warning);
  }
  arm();
}

void UdpTransport::send(Number to, std::string bytes) {
  if (!started_ || silent_) return;
  Steps out;
  fleet_->sendParcel(clock_.now(), to, std::move(bytes), out);
  const std::uint64_t datagrams_before = out_, bytes_before = bytes_out_;
  carryOut(out);
  parcels_out_ += out_ - datagrams_before;
  parcel_bytes_out_ += bytes_out_ - bytes_before;
}

MembershipService::Traffic UdpTransport::traffic() const {
  return {.datagrams_in = in_,
          .datagrams_out = out_,
          .bytes_in = bytes_in_,
          .bytes_out = bytes_out_,
          .messages_in = parcels_in_,
          .messages_out = parcels_out_,
          .message_bytes_in = parcel_bytes_in_,
          .message_bytes_out = parcel_bytes_out_};
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

void UdpTransport::arm() {
  const Time due = silent_ ? kNever : fleet_->due();
  if (due == kNever || due >= armed_for_) return;
  armed_for_ = due;
  due_.expires_after(std::chrono::microseconds(std::max<Time>(0, due - clock_.now())));
  due_.async_wait([this](error_code ec) {
    if (ec) return;
    armed_for_ = kNever;
    if (silent_) return;
    Steps out;
    // What waits in the socket came before this: it may say that whom we would accuse is there.
    readWaiting();
    fleet_->onTime(clock_.now(), out);
    carryOut(out);
  });
}

void UdpTransport::tellFacts() {
  const Time now = clock_.now();
  const std::uint64_t requests = local_.admitted();
  const double seconds = static_cast<double>(now - facts_at_) / static_cast<double>(kSecond);
  if (seconds > 0) {
    const double part = std::min(1.0, seconds / kTrafficLasts);
    traffic_ += part * (static_cast<double>(requests - requests_before_) / seconds - traffic_);
  }
  requests_before_ = requests;
  facts_at_ = now;
  tell(false);
  facts_.expires_after(std::chrono::microseconds(kFactsEvery));
  facts_.async_wait([this](error_code ec) {
    if (!ec && !silent_) tellFacts();
  });
}

// ---- what staff see ----

void UdpTransport::tell(bool urgent) {
  fleet::Facts facts;
  facts.version = kProgram;
  facts.zone = settings_.zone;
  facts.region = settings_.region;
  facts.traffic = traffic_;
  if (!zones_.note().empty()) facts.notes.push_back({zone_health::kZonesNote, zones_.note()});
  fleet_->tell(clock_.now(), facts, urgent);
  arm();
}

void UdpTransport::lookAtZones() {
  const Time now = clock_.now();
  if (const auto note = zones_.look(now, fleet_->roster(), fleet_->doubt(now) == fleet::Doubt::None))
    tell(note->urgent);
  zones_due_.expires_after(kZonesEvery);
  zones_due_.async_wait([this](error_code ec) {
    if (!ec && !silent_) lookAtZones();
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
      one["address"] = toPrometheusText(at->second);
    if (m.state != State::Unheard) one["since_s"] = ago(m.since);
    if (m.heard > 0) one["heard_s"] = ago(m.heard);
    if (!m.accusers.empty()) one["suspected_by"] = m.accusers;
    if (!m.zone.empty()) one["zone"] = m.zone;
    if (!m.region.empty()) one["region"] = m.region;
    if (m.facts.version != 0) one["version"] = m.facts.version;
    one["traffic"] = m.facts.traffic;
    one["incarnation"] = m.incarnation;
    members.push_back(std::move(one));
  }
  const fleet::Drops& d = fleet_->drops();
  return ordered_json{
      {"number", v.self},
      {"sure", v.sure()},
      {"doubt", fleet::nameOf(v.doubt)},
      {"live", v.live},
      {"suspects", v.suspects},
      {"dead", v.dead},
      {"left", v.left},
      {"unheard", v.unheard},
      {"rank", v.rank},
      {"unchanged_s", secondsOf(v.unchanged)},
      {"hash", v.hash},
      {"refuted", fleet_->refuted()},
      {"health", fleet_->health().score()},
      {"datagrams",
       {{"in", in_}, {"out", out_}, {"bytes_in", bytes_in_}, {"bytes_out", bytes_out_}, {"unsent", unsent_}}},
      {"drops",
       {{"short", d.too_short},
        {"long", d.too_long},
        {"foreign", d.foreign},
        {"version", d.version},
        {"checksum", d.checksum},
        {"malformed", d.malformed},
        {"mistaken", d.mistaken},
        {"stranger", strangers_}}},
      {"members", members}}
      .dump(2, ' ', false, ordered_json::error_handler_t::replace);  // a name is what some member wrote
}

std::string UdpTransport::figures() const {
  const fleet::View v = view();
  const fleet::Drops& d = fleet_->drops();
  metrics::FleetMetrics page;
  page.members = {{"alive", v.live - v.suspects},
                  {"suspect", v.suspects},
                  {"dead", v.dead},
                  {"left", v.left},
                  {"unheard", v.unheard}};
  page.datagrams = {{"in", in_}, {"out", out_}};
  page.bytes = {{"in", bytes_in_}, {"out", bytes_out_}};
  page.drops = {{"short", d.too_short},   {"long", d.too_long},     {"foreign", d.foreign},
                {"version", d.version},   {"checksum", d.checksum}, {"malformed", d.malformed},
                {"mistaken", d.mistaken}, {"stranger", strangers_}};
  page.unchanged_seconds = static_cast<double>(v.unchanged) / static_cast<double>(kSecond);
  page.sure = v.sure();
  return metrics::toPrometheusText(page);
}

std::unique_ptr<MembershipService> makeMembershipService(asio::io_context& io, const Clock& clock, Log& log,
                                                         const FleetSettings& settings, LocalNode& local) {
  return std::make_unique<UdpTransport>(io, clock, log, settings, local);
}

}  // namespace client_proxy::fleet_transport
