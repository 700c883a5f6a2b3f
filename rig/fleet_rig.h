// A fleet of real processes of the program, with a relay of datagrams between them: started, killed, frozen,
// ended and upgraded one by one, and asked what they see. All end with it, on every path.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "child.h"
#include "datagram_relay.h"
#include "plan.h"
#include "site.h"

namespace client_proxy::rig {

class FleetRig {
 public:
  using Number = DatagramRelay::Number;

  // Without hosts: about the proxies alone. `allowed`: the settings permit talk between proxies.
  FleetRig(std::string program, std::size_t members, std::uint64_t seed, bool allowed = true);
  // Proxies of a plan before their stand-ins, which must outlive them.
  FleetRig(std::string program, const Plan& plan, const Site& site, bool allowed = true);
  // Proxies of a plan without stand-ins, which ask discovery where the plan says.
  static std::unique_ptr<FleetRig> withoutSite(std::string program, Plan plan);
  ~FleetRig();

  std::size_t size() const { return members_.size(); }
  DatagramRelay& relay() { return *relay_; }
  // One more process of a member that runs takes its place: an upgrade. Else its first.
  void start(std::size_t n);
  void startAll();
  void kill(std::size_t n);  // SIGKILL, all its processes
  void killNewest(std::size_t n);
  void freeze(std::size_t n);  // SIGSTOP
  void thaw(std::size_t n);    // SIGCONT
  // SIGTERM to the oldest process.
  void end(std::size_t n);
  // The oldest process has ended by itself; it is forgotten then.
  bool ended(std::size_t n);
  // One more process under this number at another address, which takes nobody's place.
  void twin(Number number);
  DatagramRelay::Endpoint listens(std::size_t n) const { return members_[n].listens; }
  // Where a member finds each member, by number.
  std::vector<DatagramRelay::Endpoint> peersOf(std::size_t n) const;
  const std::string& folder() const { return folder_; }
  const boost::asio::ip::address& address() const { return address_; }
  // Where its application calls a member; kept over its restarts.
  boost::asio::ip::tcp::endpoint listensForCalls(std::size_t n) const {
    return members_[n].clients->local_endpoint();
  }
  pid_t pid(std::size_t n) const { return members_[n].processes.back()->pid(); }

  // Where staff call its newest process.
  boost::asio::ip::tcp::endpoint console(std::size_t n) const { return members_[n].consoles.back(); }
  // GET /fleet of the newest process; null where it does not answer.
  nlohmann::json page(std::size_t n) const;
  nlohmann::json twinPage() const;
  // Any GET on the newest process's console: all that was answered; empty where nobody does.
  std::string get(std::size_t n, const std::string& path) const;
  // The same as JSON; null where there is none.
  nlohmann::json pageOf(std::size_t n, const std::string& path) const;
  // A POST: the status; 0: nobody answers.
  int post(std::size_t n, const std::string& path) const;
  // Puts a pending operator file beside that of a member: its own with other services.
  void setPending(std::size_t n, const std::vector<ServicePlan>& services) const;
  // Where a member's memory lies, while it does not run.
  std::string memory(std::size_t n) const { return folder_ + "/memory-" + std::to_string(n); }
  static std::string getAt(const boost::asio::ip::tcp::endpoint& console, const std::string& path);
  // The newest process's view of one member: "alive" ...; empty where it does not answer.
  std::string sees(std::size_t n, std::size_t of) const;
  // All of these answer, hold one view, and it has just them live.
  bool agree(const std::set<std::size_t>& live) const;
  std::set<std::size_t> all() const;
  // Looks until it holds; false: not within 40 s, which only ends a test that has failed.
  static bool until(const std::function<bool()>& holds);
  std::string logs() const;

 private:
  using Tcp = boost::asio::ip::tcp;
  struct Member {
    std::vector<std::unique_ptr<Child>> processes;  // the oldest first
    std::vector<Tcp::endpoint> consoles;            // of each
    DatagramRelay::Endpoint listens;
    std::unique_ptr<Tcp::acceptor> clients;  // the platform's listening socket
  };

  std::string discoveryOf(Number number) const;
  std::string configure(Number number, const std::string& name, const DatagramRelay::Endpoint& listens) const;
  std::string operatorText(Number number, const DatagramRelay::Endpoint& listens,
                           const std::vector<ServicePlan>& services) const;
  std::string operatorFile(Number number, const std::string& name,
                           const DatagramRelay::Endpoint& listens) const;
  Tcp::endpoint freePort() const;
  std::unique_ptr<Child> launch(Number number, const std::string& name,
                                const DatagramRelay::Endpoint& listens, const Tcp::endpoint& console,
                                int inherited) const;
  static nlohmann::json pageAt(const Tcp::endpoint& console, const std::string& path);
  static std::string callAt(const Tcp::endpoint& at, const std::string& request,
                            const std::string& fields = {});

  FleetRig(std::string program, Plan plan, const Site* site, bool allowed);

  const std::string program_;
  const Plan plan_;
  const Site* const site_;  // null: none
  const bool allowed_;
  std::string folder_;
  mutable boost::asio::io_context io_;
  mutable std::set<std::uint16_t> given_;  // ports, to processes of this run
  boost::asio::ip::address address_;
  std::vector<Member> members_;
  std::unique_ptr<DatagramRelay> relay_;
  Member twin_;
};

}  // namespace client_proxy::rig
