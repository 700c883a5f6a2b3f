#include "daemon/shared_configuration.h"

#include <exception>
#include <random>
#include <utility>

#include "files/disk_source.h"

namespace client_proxy {
namespace {

using subscription::ApplyResult;
using subscription::InForce;
using subscription::Outcome;
using subscription::SubscriptionTask;

SubscriptionTask::Settings taskSettings(const SubscriptionSettings& settings, std::uint32_t member) {
  SubscriptionTask::Settings s;
  s.member = member;
  s.region = settings.region;
  for (const ReplicaSetting& replica : settings.replicas)
    s.replicas.push_back({replica.number, replica.at, replica.region});
  std::random_device random;
  s.seed = random();
  return s;
}

}  // namespace

SharedConfiguration::SharedConfiguration(boost::asio::io_context& io, const Clock& clock, Log& log,
                                         SubscriptionSettings settings, std::uint32_t member, Daemon daemon)
    : log_(log),
      settings_(std::move(settings)),
      daemon_(std::move(daemon)),
      content_at_start_(content()),
      writer_(io),
      task_(
          io, clock, taskSettings(settings_, member),
          [this](const distribution::Change& change, const SubscriptionTask::Done& done) {
            apply(change, done);
          },
          [this](const std::string& line, bool error) {
            log_.line(line, error ? LogLevel::Error : LogLevel::Info);
          }) {}

void SharedConfiguration::start() {
  if (content() != content_at_start_) {
    try {
      daemon_.take();
    } catch (const std::exception& e) {
      for (const std::string& line : daemon_.lines_of(e))
        log_.line("configuration not taken: " + line, LogLevel::Error);
    }
    content_at_start_ = content();
  }
  task_.start(inForce());
}

void SharedConfiguration::stop() {
  task_.stop();
  writer_.finish();
}

void SharedConfiguration::reread() {
  task_.replaced([this] { return inForce(); });
}

void SharedConfiguration::apply(const distribution::Change& change, const SubscriptionTask::Done& done) {
  std::string text = subscription::formatSharedFile(change);
  try {
    daemon_.check(text);
  } catch (const std::exception& e) {
    return done(refused(e));
  }
  writer_.write(settings_.file, std::move(text), [this, before = content(), done](const std::string& error) {
    if (!error.empty()) return done({Outcome::NotStored, error});
    takeWritten(before, done);
  });
}

// What was checked may fail here all the same: other files of the configuration have changed since.
void SharedConfiguration::takeWritten(const std::string& before, const SubscriptionTask::Done& done) {
  try {
    daemon_.take();
  } catch (const std::exception& e) {
    const ApplyResult result = refused(e);
    writer_.write(settings_.file, before, [this, result, done](const std::string& error) {
      if (!error.empty()) log_.line("configuration: " + error, LogLevel::Error);
      done(result);
    });
    return;
  }
  done({Outcome::Taken, {}, daemon_.restart_needed()});
}

ApplyResult SharedConfiguration::refused(const std::exception& why) const {
  std::string all;
  for (const std::string& line : daemon_.lines_of(why)) all += (all.empty() ? "" : "\n") + line;
  return {Outcome::Refused, all};
}

std::string SharedConfiguration::content() const {
  return DiskSource().read(settings_.file).value_or(std::string());
}

InForce SharedConfiguration::inForce() const {
  InForce in_force = subscription::parseSharedFile(content());
  in_force.restart_needed = daemon_.restart_needed();
  return in_force;
}

}  // namespace client_proxy
