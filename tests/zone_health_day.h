// A fleet model whose clients call verdicts on zones together: each looks ten times a second at what it has
// seen and what it has heard of the others, whose words come late and may have to be said again.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "fleet_model.h"
#include "zone_health/zone_health_quorum.h"

namespace load_balancer::test {

class VerdictDay {
 public:
  using ZoneHealthQuorum = client_proxy::zone_health::ZoneHealthQuorum;
  using ZoneState = client_proxy::zone_health::ZoneState;
  using ObserverReport = client_proxy::zone_health::ObserverReport;
  struct Shape {
    std::uint32_t clients = 24, hosts = 12;
    double load = 0.54;    // of what the hosts can
    double loss = 0;       // of a word, which then comes half a second later
    bool reported = true;  // false: each for itself
  };
  static constexpr std::size_t kZones = 3;
  static constexpr Time kLook = 100 * kMs;

  VerdictDay(const Shape& shape, std::uint64_t seed)
      : shape_(shape), fleet_(model(shape), fleetSettings(), seed), random_(seed ^ 0x5A5A) {
    for (std::size_t c = 0; c < shape.clients; ++c) quorums_.emplace_back(kZones, c % kZones);
    words_.resize(shape.clients);
    orders_.assign(shape.clients, std::vector<ZoneDirective>(kZones, ZoneDirective::None));
  }

  FleetModel& fleet() { return fleet_; }
  void runFor(Time time) {
    for (const Time end = fleet_.now() + time; fleet_.now() < end;) {
      fleet_.runFor(kLook);
      if (!shape_.reported) continue;
      for (std::size_t c = 0; c < quorums_.size(); ++c) look(c);
    }
  }
  std::size_t holding(std::size_t zone, ZoneState state) const {
    return static_cast<std::size_t>(
        std::count_if(quorums_.begin(), quorums_.end(),
                      [&](const ZoneHealthQuorum& c) { return c.status(zone).state == state; }));
  }
  // Losses called by any client.
  int callsOn(std::size_t zone) const { return calls_[zone]; }
  int calls() const { return calls_[0] + calls_[1] + calls_[2]; }
  const std::string& reported() const { return log_; }

 private:
  struct Word {
    std::vector<Time> heard;  // by client
    ObserverReport report;
  };
  static FleetModel::Shape model(const Shape& shape) {
    FleetModel::Shape s;
    s.clients = shape.clients, s.hosts = shape.hosts, s.zones = kZones;
    s.rate = shape.load * shape.hosts * s.cores / (static_cast<double>(s.work) / 1e6) / shape.clients;
    return s;
  }
  double chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  std::vector<ObserverReport> heardBy(std::size_t c) {
    std::vector<ObserverReport> all;
    for (std::size_t o = 0; o < words_.size(); ++o) {
      const ObserverReport* newest = nullptr;
      for (const Word& w : words_[o]) {
        if (o == c || w.heard[c] <= fleet_.now()) newest = &w.report;
      }
      if (newest != nullptr) all.push_back(*newest);
    }
    return all;
  }

  void look(std::size_t c) {
    ZoneHealthQuorum& zone_health = quorums_[c];
    const Time now = fleet_.now();
    for (std::size_t z = 0; z < kZones; ++z)
      zone_health.observe(z, fleet_.seen(c, static_cast<std::int32_t>(z), zone_health.since(z)));
    if (words_[c].empty()) say(c);
    std::vector<ZoneState> before;
    for (std::size_t z = 0; z < kZones; ++z) before.push_back(zone_health.status(z).state);
    const std::vector<ObserverReport> all = heardBy(c);
    zone_health.evaluate(now, all, true);
    say(c);
    for (std::size_t z = 0; z < kZones; ++z) {
      note(c, z, before[z]);
      ZoneDirective wanted = ZoneDirective::None;
      if (c % kZones != z && !zone_health.sendsTraffic(z, number(c), now))
        wanted = ZoneHealthQuorum::checksHealth(z, zone_health.status(z).epoch, number(c), all)
                     ? ZoneDirective::EjectAndCheck
                     : ZoneDirective::Eject;
      if (std::exchange(orders_[c][z], wanted) != wanted)
        fleet_.order(c, static_cast<std::int32_t>(z), wanted);
    }
  }
  static client_proxy::fleet::Number number(std::size_t c) {
    return static_cast<client_proxy::fleet::Number>(c);
  }

  // A new word reaches each of the others a while later; older ones that all have heard are forgotten.
  void say(std::size_t c) {
    const ZoneHealthQuorum& zone_health = quorums_[c];
    ObserverReport w{number(c), c % kZones, {}, {}};
    for (std::size_t z = 0; z < kZones; ++z) {
      w.seen.push_back(zone_health.reports(z));
      w.statuses.push_back(zone_health.status(z));
    }
    auto& mine = words_[c];
    if (!mine.empty() && mine.back().report.seen == w.seen && mine.back().report.statuses == w.statuses)
      return;
    Word word{{}, std::move(w)};
    for (std::size_t o = 0; o < quorums_.size(); ++o) {
      Time at = fleet_.now() + static_cast<Time>(chance() * 400) * kMs;
      while (chance() < shape_.loss) at += 500 * kMs;
      word.heard.push_back(at);
    }
    mine.push_back(std::move(word));
    if (mine.size() > 8) mine.pop_front();
  }

  void note(std::size_t c, std::size_t z, ZoneState before) {
    const auto& v = quorums_[c].status(z);
    if (v.state == before) return;
    // Who adopts it has not called it: the epoch is known then.
    if (v.state == ZoneState::Down && v.epoch > epochs_[z]) {
      epochs_[z] = v.epoch;
      ++calls_[z];
    }
    log_ += "\n  " + std::to_string(static_cast<double>(fleet_.now() - kStart) / 1e6) + " client " +
            std::to_string(c) + ": zone " + std::to_string(z) + " " +
            std::string(client_proxy::zone_health::nameOf(v.state)) + " " + std::to_string(v.epoch) +
            ", silent to " + std::to_string(quorums_[c].unresponsiveReports(z)) + ", answers " +
            std::to_string(quorums_[c].respondingReports(z));
  }

  const Shape shape_;
  FleetModel fleet_;
  std::mt19937_64 random_;
  std::vector<ZoneHealthQuorum> quorums_;
  std::vector<std::deque<Word>> words_;
  std::vector<std::vector<ZoneDirective>> orders_;
  int calls_[kZones] = {}, epochs_[kZones] = {};
  std::string log_;
};

}  // namespace load_balancer::test
