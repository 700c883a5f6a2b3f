// A process of hollow members, as whoever started it deals with it.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "child.h"

namespace client_proxy::rig {

class HollowProcess {
 public:
  // `members_file`: as parseHollowFile() reads it. Throws std::runtime_error if it can't be started.
  HollowProcess(const std::string& program, const std::string& members_file, std::vector<std::size_t> held);
  ~HollowProcess();
  HollowProcess(const HollowProcess&) = delete;
  HollowProcess& operator=(const HollowProcess&) = delete;

  // A command and its answer; both can be apart, so that several processes answer at once. Throws
  // std::runtime_error for an answer that tells of an error, or if the process has ended.
  nlohmann::json ask(const std::string& command);
  void send(const std::string& command);
  nlohmann::json receive();

  const std::vector<std::size_t>& held() const { return held_; }
  pid_t pid() const { return child_->pid(); }
  double emptyMegabytes() const { return empty_megabytes_; }  // resident before any member ran
  std::string log() const;

 private:
  const std::vector<std::size_t> held_;
  int commands_ = -1;
  std::unique_ptr<Child> child_;
  std::string waiting_;  // read, not yet a whole line
  double empty_megabytes_ = 0;
};

}  // namespace client_proxy::rig
