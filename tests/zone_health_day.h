// A fleet model whose clients decide on the health of zones by a quorum: ten times a second each evaluates
// its own observations and the reports received from the others, which arrive late and may be lost and sent
// again.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "fleet_model.h"
#include "zone_health/zone_health_quorum.h"

namespace load_balancer::test {

class ZoneHealthDay {
 public:
  using ZoneHealthQuorum = client_proxy::zone_health::ZoneHealthQuorum;
  using ZoneState = client_proxy::zone_health::ZoneState;
  using ObserverReport = client_proxy::zone_health::ObserverReport;
  struct Shape {
    std::uint32_t clients = 24, hosts = 12;
    double load = 0.54;    // as a fraction of the hosts' capacity
    double loss = 0;       // probability that a report is lost, and sent again half a second later
    bool reported = true;  // false: clients exchange no reports
  };
  static constexpr std::size_t kZones = 3;
  static constexpr Time kEvaluationInterval = 100 * kMs;

  ZoneHealthDay(const Shape& shape, std::uint64_t seed)
      : shape_(shape), fleet_(model(shape), fleetSettings(), seed), random_(seed ^ 0x5A5A) {
    for (std::size_t c = 0; c < shape.clients; ++c) quorums_.emplace_back(kZones, c % kZones);
    sent_reports_.resize(shape.clients);
    directives_.assign(shape.clients, std::vector<ZoneDirective>(kZones, ZoneDirective::None));
  }

  FleetModel& fleet() { return fleet_; }
  void runFor(Time time) {
    for (const Time end = fleet_.now() + time; fleet_.now() < end;) {
      fleet_.runFor(kEvaluationInterval);
      if (!shape_.reported) continue;
      for (std::size_t c = 0; c < quorums_.size(); ++c) evaluate(c);
    }
  }
  std::size_t membersWith(std::size_t zone, ZoneState state) const {
    return static_cast<std::size_t>(
        std::count_if(quorums_.begin(), quorums_.end(),
                      [&](const ZoneHealthQuorum& c) { return c.status(zone).state == state; }));
  }
  // How often a zone was declared down, by any client.
  int declarations(std::size_t zone) const { return declarations_[zone]; }
  int declarations() const { return declarations_[0] + declarations_[1] + declarations_[2]; }
  // The changes of state at all clients, one a line.
  const std::string& log() const { return log_; }

 private:
  struct SentReport {
    std::vector<Time> received_at;  // by client
    ObserverReport report;
  };
  static FleetModel::Shape model(const Shape& shape) {
    FleetModel::Shape s;
    s.clients = shape.clients, s.hosts = shape.hosts, s.zones = kZones;
    s.rate = shape.load * shape.hosts * s.cores / (static_cast<double>(s.work) / 1e6) / shape.clients;
    return s;
  }
  double uniform() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  std::vector<ObserverReport> receivedBy(std::size_t c) {
    std::vector<ObserverReport> all;
    for (std::size_t o = 0; o < sent_reports_.size(); ++o) {
      const ObserverReport* newest = nullptr;
      for (const SentReport& w : sent_reports_[o]) {
        if (o == c || w.received_at[c] <= fleet_.now()) newest = &w.report;
      }
      if (newest != nullptr) all.push_back(*newest);
    }
    return all;
  }

  void evaluate(std::size_t c) {
    ZoneHealthQuorum& zone_health = quorums_[c];
    const Time now = fleet_.now();
    for (std::size_t z = 0; z < kZones; ++z)
      zone_health.observe(z, fleet_.zoneObservation(c, static_cast<std::int32_t>(z), zone_health.since(z)));
    if (sent_reports_[c].empty()) send(c);
    std::vector<ZoneState> before;
    for (std::size_t z = 0; z < kZones; ++z) before.push_back(zone_health.status(z).state);
    const std::vector<ObserverReport> all = receivedBy(c);
    zone_health.evaluate(now, all, true);
    send(c);
    for (std::size_t z = 0; z < kZones; ++z) {
      recordChange(c, z, before[z]);
      ZoneDirective directive = ZoneDirective::None;
      if (c % kZones != z && !zone_health.sendsTraffic(z, number(c), now))
        directive = ZoneHealthQuorum::checksHealth(z, zone_health.status(z).epoch, number(c), all)
                        ? ZoneDirective::EjectAndCheck
                        : ZoneDirective::Eject;
      if (std::exchange(directives_[c][z], directive) != directive)
        fleet_.setZoneDirective(c, static_cast<std::int32_t>(z), directive);
    }
  }
  static client_proxy::fleet::Number number(std::size_t c) {
    return static_cast<client_proxy::fleet::Number>(c);
  }

  // Sends a changed report, which reaches each of the others up to 400 ms later, or after its losses. Keeps
  // the last 8.
  void send(std::size_t c) {
    const ZoneHealthQuorum& zone_health = quorums_[c];
    ObserverReport w{number(c), c % kZones, {}, {}};
    for (std::size_t z = 0; z < kZones; ++z) {
      w.seen.push_back(zone_health.reports(z));
      w.statuses.push_back(zone_health.status(z));
    }
    auto& own_reports = sent_reports_[c];
    if (!own_reports.empty() && own_reports.back().report.seen == w.seen &&
        own_reports.back().report.statuses == w.statuses)
      return;
    SentReport sent{{}, std::move(w)};
    for (std::size_t o = 0; o < quorums_.size(); ++o) {
      Time at = fleet_.now() + static_cast<Time>(uniform() * 400) * kMs;
      while (uniform() < shape_.loss) at += 500 * kMs;
      sent.received_at.push_back(at);
    }
    own_reports.push_back(std::move(sent));
    if (own_reports.size() > 8) own_reports.pop_front();
  }

  void recordChange(std::size_t c, std::size_t z, ZoneState before) {
    const auto& status = quorums_[c].status(z);
    if (status.state == before) return;
    // A client that only adopts the state has not declared it: the epoch is counted already then.
    if (status.state == ZoneState::Down && status.epoch > epochs_[z]) {
      epochs_[z] = status.epoch;
      ++declarations_[z];
    }
    log_ += "\n  " + std::to_string(static_cast<double>(fleet_.now() - kStart) / 1e6) + " client " +
            std::to_string(c) + ": zone " + std::to_string(z) + " " +
            std::string(client_proxy::zone_health::nameOf(status.state)) + " " +
            std::to_string(status.epoch) + ", unresponsive reports " +
            std::to_string(quorums_[c].unresponsiveReports(z)) + ", responding " +
            std::to_string(quorums_[c].respondingReports(z));
  }

  const Shape shape_;
  FleetModel fleet_;
  std::mt19937_64 random_;
  std::vector<ZoneHealthQuorum> quorums_;
  std::vector<std::deque<SentReport>> sent_reports_;
  std::vector<std::vector<ZoneDirective>> directives_;
  int declarations_[kZones] = {}, epochs_[kZones] = {};
  std::string log_;
};

}  // namespace load_balancer::test
