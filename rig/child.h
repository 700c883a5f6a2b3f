// A program that was started here, and ends with this: what it writes is read line by line.
#pragma once

#include <sys/types.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace client_proxy::rig {

class Child {
 public:
  // Standard output and error are read together. `environment`: "NAME=VALUE" each; null: ours. `inherited`: a
  // descriptor that it gets as its descriptor 3, and no other of ours; -1: none. Throws std::runtime_error if
  // it can't be started.
  explicit Child(std::vector<std::string> arguments, const std::vector<std::string>* environment = nullptr,
                 int inherited = -1);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  // Ends it at once, as a crash would; its lines stay.
  void kill();
  // SIGTERM, SIGSTOP, SIGCONT ...
  void signal(int number) const;
  // It has not ended by itself.
  bool runs();
  pid_t pid() const { return pid_; }
  std::vector<std::string> lines() const;
  // Waits until a line holds `text`; false: it has ended, or ten seconds have passed.
  bool said(const std::string& text) const;

 private:
  pid_t pid_ = -1;
  mutable std::mutex mutex_;
  mutable std::condition_variable more_;
  std::vector<std::string> lines_;
  bool ended_ = false;
  std::thread reader_;
};

}  // namespace client_proxy::rig
