#include "daemon/serve.h"

#include <malloc.h>
#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "console/console_server.h"
#include "fleet_transport/membership_service.h"
#include "front/proxy.h"
#include "hot_restart/link.h"
#include "net/config.h"
#include "net/event_loop.h"
#include "net/log.h"
#ifdef CLIENT_PROXY_OWNERSHIP
#include "ownership/ownership_service.h"
#endif
#ifdef CLIENT_PROXY_OPERATOR
#include "files/disk_source.h"
#include "files/overlay_source.h"
#include "operator/file_watch.h"
#include "operator/operator_file.h"
#endif
#ifdef CLIENT_PROXY_SUBSCRIPTION
#include "daemon/shared_configuration.h"
#endif

namespace client_proxy {
namespace {

const char* variable(const char* name) { return std::getenv(name); }

// What is bounded by the system counts as much as what is configured.
void fitToSystem(Config& config) {
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) != 0) return;
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  if (getrlimit(RLIMIT_NOFILE, &files) == 0 && files.rlim_cur != RLIM_INFINITY) {
    config.sockets = std::min<std::size_t>(config.sockets, files.rlim_cur);
  }
}

// Where the configuration comes from: what the environment names, and the operator file if there is one.
class Source {
 public:
  explicit Source(const std::string& operator_file) {
    const char* const named = variable("PROXY_OPERATOR");
    const std::string path = !operator_file.empty() ? operator_file : named != nullptr ? named : "";
    if (path.empty()) return;
#ifdef CLIENT_PROXY_OPERATOR
    operated_.emplace(files_, path, variable);
#else
    throw std::runtime_error("PROXY_OPERATOR: this program was built without CLIENT_PROXY_OPERATOR");
#endif
  }

#ifdef CLIENT_PROXY_OPERATOR
  Config read() { return operated_ ? operated_->read() : readConfig(variable); }
  Config reread(const Zones& zones) { return operated_ ? operated_->read(zones) : rereadConfig(variable); }
  // As reread(), if the file at `path` had this content.
  Config readWith(const std::string& path, const std::string& content, const Zones& zones) {
    files_.put(path, content);
    try {
      Config config = reread(zones);
      files_.clear();
      return config;
    } catch (...) {
      files_.clear();
      throw;
    }
  }
  bool restartNeeded() const { return operated_ && operated_->restartNeeded(); }
  HostList hosts(const std::string& path, Zones& zones) { return readHosts(files_, path, zones); }
  std::vector<FleetPeer> members(const std::string& path) { return readMembers(files_, path); }
  // Of the file that is to take the place of this one: beside it, by its name and '.next'.
  ServiceSettings pendingServices() {
    if (!operated_) throw std::runtime_error("there is no operator file");
    return readServices(files_, operated_->path() + ".next").value_or(ServiceSettings{});
  }
  // It is in force now: what there is to say of it.
  std::vector<std::string> taken() {
    if (!operated_) return {};
    operated_->taken();
    return operated_->notes();
  }

 private:
  DiskSource disk_;
  OverlaySource files_{disk_};
  std::optional<OperatorSource> operated_;
#else
  Config read() { return readConfig(variable); }
  Config reread(const Zones&) { return rereadConfig(variable); }
  std::vector<std::string> taken() { return {}; }
  ServiceSettings pendingServices() { throw std::runtime_error("there is no operator file"); }
#endif
};

// A line each.
std::vector<std::string> linesOf(const std::exception& e) {
#ifdef CLIENT_PROXY_OPERATOR
  if (const auto* const refused = dynamic_cast<const ConfigurationRefused*>(&e)) return refused->errors;
#endif
  return {e.what()};
}

void logErrors(Log& log, const std::string& what, const std::exception& e) {
  for (const std::string& line : linesOf(e)) log.line(what + line, LogLevel::Error);
}

// What runs until a signal ends it.
class Daemon final : private console::Actor,
                     private hot_restart::HotRestartHandler,
                     private fleet_transport::LocalNode {
 public:
  Daemon(Source& source, Config config)
      : source_(source),
        log_(clock_, config.name),
        restart_socket_(config.inherited && !config.shared_folder.empty()
                            ? hot_restart::socketPath(config.shared_folder, config.name)
                            : std::string()),
        name_(config.name),
        status_endpoint_(config.own.status),
        console_endpoint_(config.console),
        hosts_file_(config.hosts_file),
        fleet_(config.fleet),
        services_(config.services),
        subscription_(config.subscription),
        settings_(config.site.settings),
        class_names_(config.site.classes),
        proxy_(io_, withLogLevel(std::move(config)), log_, clock_),
        end_(io_, SIGTERM, SIGINT),
        reload_(io_, SIGHUP),
        console_(io_, *this)
#ifdef CLIENT_PROXY_OPERATOR
        ,
        hosts_watch_(io_, kLook, [this] { takeHosts(); }),
        members_watch_(io_, kLook, [this] { takeMembers(); })
#endif
  {
    if (fleet_)
      membership_ = fleet_transport::makeMembershipService(io_, clock_, log_, *fleet_,
                                                           static_cast<fleet_transport::LocalNode&>(*this));
    makeOwnershipService();
    makeSharedConfiguration();
  }

  void run() {
    for (const std::string& note : source_.taken()) log_.line(note, LogLevel::Warning);
    end_.async_wait([this](boost::system::error_code ec, int) {
      if (ec) return;
      if (membership_) membership_->leave();
#ifdef CLIENT_PROXY_OWNERSHIP
      if (ownership_) ownership_->end();
#endif
#ifdef CLIENT_PROXY_SUBSCRIPTION
      if (shared_) shared_->stop();
#endif
      proxy_.shutdown([this] { io_.stop(); });
    });
    awaitReload();
    if (!restart_socket_.empty())
      link_.emplace(io_, restart_socket_, name_, static_cast<hot_restart::HotRestartHandler&>(*this));
    listenToStaff();
#ifdef CLIENT_PROXY_OPERATOR
    hosts_watch_.follow(hosts_file_);
    members_watch_.follow(fleet_ ? fleet_->members_file : std::string());
#endif
    link_ ? link_->begin() : begin(std::nullopt);
    io_.run();
  }

 private:
  bool canServe() override { return proxy_.canServe(); }
  std::string stats() override {
    std::string figures = proxy_.stats();
    if (membership_) figures += membership_->figures();
#ifdef CLIENT_PROXY_SUBSCRIPTION
    if (shared_) figures += shared_->figures();
#endif
    return figures;
  }
  bool takeOut(const std::string& host) override {
    return proxy_.disableHost(host) && tellOther({hot_restart::Type::TakeOut, host});
  }
  bool putBack(const std::string& host) override {
    return proxy_.enableHost(host) && tellOther({hot_restart::Type::PutBack, host});
  }
  void drainClients() override {
    proxy_.drainClients();
    tellOther({hot_restart::Type::Drain, {}});
  }
  void takeClients() override {
    proxy_.undrainClients();
    tellOther({hot_restart::Type::TakeClients, {}});
  }

  std::uint64_t admitted() const override { return proxy_.admitted(); }
  std::vector<std::string> zones() const override { return proxy_.zoneNames(); }
  load_balancer::ZoneObservation seen(const std::string& zone, Time now,
                                      const load_balancer::ZoneObservedSince& since) override {
    return proxy_.observeZone(zone, now, since);
  }
  void setZone(const std::string& zone, load_balancer::ZoneDirective order) override {
    proxy_.setZone(zone, order);
  }

  // While one process takes another's place, staff may call either.
  bool tellOther(const hot_restart::Frame& call) {
    if (link_) link_->tell(call);
    return true;
  }
  void told(const hot_restart::Frame& call) override {
    switch (call.type) {
      case hot_restart::Type::TakeOut:
        proxy_.disableHost(call.payload);
        return;
      case hot_restart::Type::PutBack:
        proxy_.enableHost(call.payload);
        return;
      case hot_restart::Type::Drain:
        return proxy_.drainClients();
      case hot_restart::Type::TakeClients:
        return proxy_.undrainClients();
      default:
        return;
    }
  }

  void begin(std::optional<hot_restart::State> state) override {
    state ? proxy_.start(*state) : proxy_.start();
    if (membership_) membership_->start(state ? state->fleet : std::string());
#ifdef CLIENT_PROXY_OWNERSHIP
    if (ownership_) ownership_->start(state.has_value());
#endif
#ifdef CLIENT_PROXY_SUBSCRIPTION
    if (shared_) shared_->start();
#endif
  }
  hot_restart::State state() override {
    hot_restart::State state = proxy_.state();
    if (membership_) state.fleet = membership_->handOn();
    return state;
  }
  void give(hot_restart::Successor successor) override {
    if (membership_) membership_->stop();
#ifdef CLIENT_PROXY_OWNERSHIP
    if (ownership_) ownership_->stop();
#endif
#ifdef CLIENT_PROXY_SUBSCRIPTION
    if (shared_) shared_->stop();
#endif
    proxy_.handOn(std::move(successor));
  }
  void recordPredecessorRequests(const std::vector<admission::RequestRecord>& tried) override {
    proxy_.recordPredecessorRequests(tried);
  }
  void rollBack() override {
    if (membership_) membership_->resume();
#ifdef CLIENT_PROXY_OWNERSHIP
    if (ownership_) ownership_->resume();
#endif
    proxy_.rollBack();
#ifdef CLIENT_PROXY_SUBSCRIPTION
    if (shared_) shared_->start();
#endif
  }
  void adopt(int descriptor) override { proxy_.adopt(descriptor); }
  std::size_t descriptorsHeld() override { return proxy_.descriptorsHeld(); }
  void otherHolds(std::size_t descriptors) override { proxy_.setDescriptorsHeldByOther(descriptors); }
  bool finished() override { return proxy_.idle(); }
  void leave() override {
    log_.line("all is handed on");
    io_.stop();
  }
  void log(const std::string& line) override { log_.line(line); }

  void listenToStaff() {
    console_.page("/admission", [this] { return proxy_.admissionReport(); });
    if (membership_) console_.page("/fleet", [this] { return membership_->page(); });
    if (membership_) console_.page("/fleet/brief", [this] { return membership_->summary(); });
#ifdef CLIENT_PROXY_OWNERSHIP
    if (ownership_) console_.page("/deeds", [this] { return ownership_->page(); });
    if (ownership_) console_.page("/rehearsal", [this] { return ownership_->changePreviewPage(); });
    if (ownership_) console_.page("/recovery", [this] { return ownership_->recoveryPage(); });
#endif
#ifdef CLIENT_PROXY_SUBSCRIPTION
    if (shared_) console_.page("/configuration", [this] { return shared_->page(); });
#endif
    if (membership_) console_.page("/zones", [this] { return membership_->zones(); });
    if (console_endpoint_) console_.listen(*console_endpoint_);
    if (!status_endpoint_) return;
    if (!status_endpoint_->address().is_loopback())
      throw std::runtime_error(status_endpoint_->address().to_string() + " is not a loopback address");
    console_.listen(*status_endpoint_);
  }

  // Where services are, requests of theirs pass it.
  void makeOwnershipService() {
    if (!services_) return;
#ifdef CLIENT_PROXY_OWNERSHIP
    if (!membership_) throw std::runtime_error("services: this instance has no fleet to ask");
    ownership::OwnershipService::Settings s;
    s.own = *services_;
    s.fleet = fleet_->name;
    s.number = fleet_->number;
    for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
      const load_balancer::RequestClass& c = settings_.classes[i];
      s.longest_deadline = std::max(s.longest_deadline, c.deadline);
      if (c.idempotency == load_balancer::Idempotency::IdempotentWithKey)
        s.longest_window = std::max(s.longest_window, c.deduplication_window);
      s.priority_weight[class_names_[i]] = c.priority_weight;
    }
    s.pending = [this] { return source_.pendingServices(); };
    s.zone_capacity = [this] { return proxy_.zoneCapacities(); };
    ownership_ = std::make_unique<ownership::OwnershipService>(io_, clock_, log_, std::move(s), *membership_,
                                                               [this] { return proxy_.canServe(); });
    proxy_.setGate(ownership_.get());
#else
    throw std::runtime_error("services: this program was built without CLIENT_PROXY_FLEET");
#endif
  }
  void makeSharedConfiguration() {
    if (!subscription_) return;
#ifdef CLIENT_PROXY_SUBSCRIPTION
    SharedConfiguration::Daemon daemon;
    daemon.check = [this](const std::string& content) { checkShared(content); };
    daemon.take = [this] { takeConfiguration(source_.reread(proxy_.zones())); };
    daemon.restart_needed = [this] { return source_.restartNeeded(); };
    daemon.lines_of = linesOf;
    shared_ = std::make_unique<SharedConfiguration>(io_, clock_, log_, *subscription_, settings_.client,
                                                    std::move(daemon));
#else
    throw std::runtime_error("configuration: this program was built without CLIENT_PROXY_FLEET");
#endif
  }
#ifdef CLIENT_PROXY_SUBSCRIPTION
  void checkShared(const std::string& content) {
    const Config config = source_.readWith(subscription_->file, content, proxy_.zones());
    if (!config.subscription || config.subscription->file != subscription_->file)
      throw std::runtime_error("the operator file does not include " + subscription_->file +
                               " any more: restart");
  }
#endif
  std::optional<std::string> beginChangePreview() override {
#ifdef CLIENT_PROXY_OWNERSHIP
    if (ownership_) return ownership_->beginChangePreview();
#endif
    return "there are no services";
  }
  std::optional<std::string> overrideOwner([[maybe_unused]] const std::string& service,
                                           [[maybe_unused]] const std::string& zone) override {
#ifdef CLIENT_PROXY_OWNERSHIP
    if (ownership_) return ownership_->overrideOwner(service, zone);
#endif
    return std::nullopt;
  }

  Config withLogLevel(Config config) {
    log_.setLevel(config.own.log_level);
    return config;
  }

  // A configuration that can't be read leaves the one before in force: a mistake in a file must not end
  // service.
  void awaitReload() {
    reload_.async_wait([this](boost::system::error_code ec, int) {
      if (ec) return;
      try {
        takeConfiguration(source_.reread(proxy_.zones()));
#ifdef CLIENT_PROXY_SUBSCRIPTION
        if (shared_) shared_->reread();
#endif
      } catch (const std::exception& e) {
        logErrors(log_, "configuration not taken: ", e);
      }
      awaitReload();
    });
  }

  void takeConfiguration(Config config) {
    const std::string hosts_file = config.hosts_file;
    const bool operated = !config.own.file.empty();
    const std::optional<FleetSettings> fleet = config.fleet;
    proxy_.reload(std::move(config));
    takeFleet(fleet);
    const std::vector<std::string> notes = source_.taken();
    for (const std::string& note : notes) log_.line("configuration: " + note);
    if (operated) log_.line(notes.empty() ? "configuration read again: nothing new" : "configuration taken");
    hosts_file_ = hosts_file;
#ifdef CLIENT_PROXY_OPERATOR
    hosts_watch_.follow(hosts_file_);
#endif
  }

  // Members alone: where and as whom this process listens is as at start, and so is whether it does.
  void takeFleet(const std::optional<FleetSettings>& next) {
    if (!fleet_ || !next) return;
    fleet_->members_file = next->members_file;
    try {
      if (membership_) membership_->setMembers(next->members);
    } catch (const std::exception& e) {
      logErrors(log_, "fleet: members not taken: ", e);
    }
#ifdef CLIENT_PROXY_OPERATOR
    members_watch_.follow(fleet_->members_file);
#endif
  }

#ifdef CLIENT_PROXY_OPERATOR
  void takeMembers() {
    try {
      const std::vector<FleetPeer> members = source_.members(fleet_->members_file);
      if (membership_) membership_->setMembers(members);
      log_.line("members file taken: " + std::to_string(members.size()) + " members");
    } catch (const std::exception& e) {
      logErrors(log_, "members file not taken: ", e);
    }
  }
  void takeHosts() {
    try {
      HostList list = source_.hosts(hosts_file_, proxy_.zones());
      log_.line("hosts file taken: " + std::to_string(list.hosts.size()) + " hosts");
      proxy_.setHosts(std::move(list));
    } catch (const std::exception& e) {
      logErrors(log_, "hosts file not taken: ", e);
    }
  }
  static constexpr std::chrono::milliseconds kLook{500};
#endif

  Source& source_;
  const Clock clock_;
  Log log_;
  std::string restart_socket_;  // where a process that takes this one's place finds it; empty: nowhere
  std::string name_;
  std::optional<Endpoint> status_endpoint_, console_endpoint_;
  std::string hosts_file_;
  std::optional<FleetSettings> fleet_;
  std::optional<ServiceSettings> services_;
  std::optional<SubscriptionSettings> subscription_;
  load_balancer::Settings settings_;  // as at start
  std::vector<std::string> class_names_;
  EventLoop io_;
  Proxy proxy_;
  boost::asio::signal_set end_, reload_;
  console::ConsoleServer console_;
  std::optional<hot_restart::HotRestartLink> link_;
  std::unique_ptr<fleet_transport::MembershipService> membership_;  // null: no word is sent to any
#ifdef CLIENT_PROXY_OWNERSHIP
  std::unique_ptr<ownership::OwnershipService> ownership_;  // null: there are no services
#endif
#ifdef CLIENT_PROXY_OPERATOR
  FileWatch hosts_watch_, members_watch_;
#endif
#ifdef CLIENT_PROXY_SUBSCRIPTION
  std::unique_ptr<SharedConfiguration> shared_;  // null: no replica is asked
#endif
};

}  // namespace

int serve(const std::string& operator_file) {
  try {
    Source source(operator_file);
    Config config = source.read();
    fitToSystem(config);
    // Large bodies come and go: they are to leave no holes behind in the heap.
    mallopt(M_MMAP_THRESHOLD, 32 * 1024);
    mallopt(M_TRIM_THRESHOLD, 1024 * 1024);
    std::signal(SIGPIPE, SIG_IGN);
    Daemon(source, std::move(config)).run();
  } catch (const std::exception& e) {
    for (const std::string& line : linesOf(e)) std::fprintf(stderr, "client-proxy: %s\n", line.c_str());
    return 1;
  }
  return 0;
}

}  // namespace client_proxy
