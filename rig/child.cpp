#include "child.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <stdexcept>
#include <utility>

extern char** environ;

namespace client_proxy::rig {

Child::Child(std::vector<std::string> arguments, const std::vector<std::string>* environment, int inherited) {
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], 1);
  posix_spawn_file_actions_adddup2(&actions, ends[1], 2);
  if (inherited >= 0) {
    posix_spawn_file_actions_adddup2(&actions, inherited, 3);
    posix_spawn_file_actions_addclosefrom_np(&actions, 4);
  }
  const auto pointersTo = [](std::vector<std::string>& texts) {
    std::vector<char*> pointers;
    for (std::string& t : texts) pointers.push_back(t.data());
    pointers.push_back(nullptr);
    return pointers;
  };
  std::vector<std::string> variables;
  if (environment != nullptr) variables = *environment;
  const std::vector<char*> given = pointersTo(variables);
  const int failed = posix_spawn(&pid_, arguments[0].c_str(), &actions, nullptr, pointersTo(arguments).data(),
                                 environment != nullptr ? given.data() : environ);
  posix_spawn_file_actions_destroy(&actions);
  ::close(ends[1]);
  if (failed != 0) {
    ::close(ends[0]);
    throw std::runtime_error("can't start " + arguments[0]);
  }
  reader_ = std::thread([this, from = ends[0]] {
    FILE* const in = fdopen(from, "r");
    std::array<char, 1024> line{};
    while (std::fgets(line.data(), line.size(), in) != nullptr) {
      std::string text = line.data();
      if (!text.empty() && text.back() == '\n') text.pop_back();
      const std::lock_guard lock(mutex_);
      lines_.push_back(std::move(text));
      more_.notify_all();
    }
    std::fclose(in);
    const std::lock_guard lock(mutex_);
    ended_ = true;
    more_.notify_all();
  });
}

Child::~Child() { kill(); }

void Child::kill() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = -1;
  reader_.join();
}

void Child::signal(int number) const {
  if (pid_ > 0) ::kill(pid_, number);
}

bool Child::runs() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, nullptr, WNOHANG) == 0) return true;
  pid_ = -1;
  reader_.join();
  return false;
}

std::vector<std::string> Child::lines() const {
  const std::lock_guard lock(mutex_);
  return lines_;
}

bool Child::said(const std::string& text) const {
  std::unique_lock lock(mutex_);
  const auto there = [&] {
    return std::any_of(lines_.begin(), lines_.end(),
                       [&](const std::string& l) { return l.find(text) != std::string::npos; });
  };
  more_.wait_for(lock, std::chrono::seconds(10), [&] { return ended_ || there(); });
  return there();
}

}  // namespace client_proxy::rig
