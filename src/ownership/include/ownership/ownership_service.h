// Service ownership in a process: runs leases::Member with a timer, messages and storage, and implements the
// gate that the front consults before it sends a request of a service.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fleet_transport/membership_service.h"
#include "leases/member.h"
#include "net/clock.h"
#include "net/log.h"
#include "net/service_gate.h"
#include "ownership/change_preview_coordinator.h"
#include "ownership/services.h"
#include "recovery/recovery.h"
#include "storage/async_store.h"

namespace client_proxy::ownership {

class OwnershipService final : public ServiceGate {
 public:
  struct Settings {
    ServiceSettings own;
    std::string fleet;
    std::uint16_t number = 0;
    Time longest_deadline = 0, longest_window = 0;  // of requests and of deduplication, over all classes
    std::map<std::string, double, std::less<>> priority_weight;  // by class
    std::function<ServiceSettings()> pending;  // of the pending operator file; throws if it is invalid
    std::function<std::map<std::string, double>()> zone_capacity;  // by zone, seconds of hosts' time a second
  };
  // Throws std::runtime_error if the settings are invalid. `membership` must outlive this object.
  // `has_hosts`: whether the proxy has a list of hosts.
  OwnershipService(boost::asio::io_context& io, const Clock& clock, Log& log, Settings settings,
                   fleet_transport::MembershipService& membership, std::function<bool()> has_hosts);
  ~OwnershipService() override;

  // `handed_over`: the previous process has handed over its state in an upgrade.
  void start(bool handed_over);
  // Records a clean shutdown in storage, so that the next process need not wait for interrupted requests.
  void end();
  // Stops sending until resume(), because another process of this member has taken over.
  void stop();
  void resume();

  Match serviceOf(const RequestHead& head, std::string_view request_class,
                  load_balancer::Idempotency idempotency) const override;
  Permission permission(Service service) const override;
  std::optional<Time> delayAfterRestart(const load_balancer::RequestClass& of, bool served) const override;
  void onRejectedByHost(Service service, std::uint32_t term) override;
  void onCompleted(const CompletedRequest& request) override { change_preview_->note(request, clock_.now()); }

  // Pages for operators, in JSON: docs/ownership.md, docs/recovery.md.
  std::string page() const;
  std::string recoveryPage() const;
  // Starts a preview on all members of what the pending operator file would do to recorded traffic. Returns
  // the reason if that file can't be used, or std::nullopt if the preview has started.
  std::optional<std::string> beginChangePreview() { return change_preview_->begin(clock_.now()); }
  std::string changePreviewPage() const { return change_preview_->page(clock_.now()); }
  // Makes a zone the owner of a service by an operator's order. Returns a description of what this overrides,
  // or std::nullopt if there is no such service or zone.
  std::optional<std::string> overrideOwner(const std::string& service, const std::string& zone);

 private:
  void observe();
  void perform(leases::Output& out);
  void armTimer();
  void store(const leases::StoredGrant& grant);
  recovery::Facts facts() const;
  std::string zoneOf(leases::SiteId site) const;

  const Clock& clock_;
  Log& log_;
  const Settings settings_;
  fleet_transport::MembershipService& membership_;
  const std::function<bool()> has_hosts_;
  const Services services_;
  std::map<leases::SiteId, std::string> zones_;
  leases::Settings lease_settings_;
  std::unique_ptr<storage::AsyncStore> store_;  // null if no storage is configured
  std::unique_ptr<leases::Member> member_;
  std::unique_ptr<ChangePreviewCoordinator> change_preview_;
  recovery::Recovery recovery_;
  recovery::Stage stage_ = recovery::Stage::NoEndpoints;
  boost::asio::steady_timer observe_timer_, due_timer_;
  Time timer_due_ = kNever, started_ = 0;  // timer_due_: kNever if due_timer_ is not armed
  std::string storage_fault_;
  bool slow_logged_ = false, stopped_ = false;
};

}  // namespace client_proxy::ownership
