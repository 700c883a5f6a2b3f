// Service ownership in a process: runs leases::Member with a timer, messages and storage, and is the gate
// that the front asks before it sends a request of a service.
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
    Time longest_deadline = 0, longest_window = 0;               // of all classes
    std::map<std::string, double, std::less<>> priority_weight;  // by class
    std::function<ServiceSettings()> pending;                    // the pending file's; throws
    std::function<std::map<std::string, double>()> rooms;        // by zone
  };
  // Throws std::runtime_error with what is wrong with the settings. `talk` must outlive it.
  OwnershipService(boost::asio::io_context& io, const Clock& clock, Log& log, Settings settings,
                   fleet_transport::MembershipService& membership, std::function<bool()> has_hosts);
  ~OwnershipService() override;

  // `handed_on`: the process before this one has passed on its state in an upgrade.
  void start(bool handed_on);
  // An orderly end, recorded in storage: the next process need not wait for requests that were cut short.
  void end();
  // Sends nothing any more, since another process of this member has taken over, until resume().
  void stop();
  void resume();

  Match serviceOf(const RequestHead& head, std::string_view request_class,
                  load_balancer::Idempotency idempotency) const override;
  Permission permission(Service service) const override;
  std::optional<Time> delayAfterRestart(const load_balancer::RequestClass& of, bool served) const override;
  void onRejectedByHost(Service service, std::uint32_t term) override;
  void onCompleted(const CompletedRequest& request) override { change_preview_->note(request, clock_.now()); }

  // JSON: docs/ownership.md, docs/recovery.md.
  std::string page() const;
  std::string recoveryPage() const;
  // Begins a preview on all members: what the pending operator file would do to recorded traffic. Returns
  // what is wrong with that file; nothing: the preview has begun.
  std::optional<std::string> beginChangePreview() { return change_preview_->begin(clock_.now()); }
  std::string changePreviewPage() const { return change_preview_->page(clock_.now()); }
  // An operator makes a zone the owner of a service. Returns what that overrides; nothing: there is no such
  // service or zone.
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
  std::unique_ptr<storage::AsyncStore> store_;  // null: nothing is stored
  std::unique_ptr<leases::Member> member_;
  std::unique_ptr<ChangePreviewCoordinator> change_preview_;
  recovery::Recovery recovery_;
  recovery::Stage stage_ = recovery::Stage::NoEndpoints;
  boost::asio::steady_timer observe_timer_, due_timer_;
  Time armed_for_ = kNever, started_ = 0;
  std::string storage_fault_;
  bool slow_logged_ = false, stopped_ = false;
};

}  // namespace client_proxy::ownership
