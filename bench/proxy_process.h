// One process of the proxy for a measurement: its configuration, its start, and what it has used.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "rig/child.h"

namespace client_proxy::bench {

using Endpoint = boost::asio::ip::tcp::endpoint;

std::string textOf(const Endpoint& at);

struct ProxyOptions {
  std::size_t classes = 1;  // "class-0" ...; repeatable
  Endpoint discovery;
  nlohmann::json known;       // the list that it has from its start, as discovery words it
  std::string operator_text;  // of the operator file; empty: none
  bool fleet_allowed = false;
};

// CPU time of all threads that a process has, in milliseconds.
double cpuMilliseconds(pid_t pid);
// Resident memory of a process, in kB (1,000 bytes).
double residentKilobytes(pid_t pid);

class ProxyProcess {
 public:
  // Returns when it serves; throws std::runtime_error with its log where it does not within ten seconds.
  ProxyProcess(const std::string& program, const ProxyOptions& options);
  ~ProxyProcess();
  ProxyProcess(const ProxyProcess&) = delete;
  ProxyProcess& operator=(const ProxyProcess&) = delete;

  pid_t pid() const { return child_->pid(); }
  Endpoint listens() const { return listener_.local_endpoint(); }
  double cpu() const { return cpuMilliseconds(pid()); }
  double resident() const { return residentKilobytes(pid()); }
  // Replaces the operator file as a whole; nothing is signalled.
  void setOperatorText(const std::string& text) const;
  void reload() const;  // SIGHUP
  // Waits until its log holds `text`; false: not within ten seconds.
  bool said(const std::string& text) const { return child_->said(text); }
  std::string log() const;

 private:
  std::string writeConfiguration(const ProxyOptions& options) const;
  void awaitHealth() const;

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor listener_;  // inherited by the process
  std::filesystem::path folder_;
  std::unique_ptr<rig::Child> child_;
};

}  // namespace client_proxy::bench
