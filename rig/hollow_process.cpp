#include "hollow_process.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

#include "process_usage.h"

namespace client_proxy::rig {

HollowProcess::HollowProcess(const std::string& program, const std::string& members_file,
                             std::vector<std::size_t> held)
    : held_(std::move(held)) {
  std::array<int, 2> ends{};
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) != 0)
    throw std::runtime_error("no socket for a process of hollow members");
  commands_ = ends[0];
  try {
    child_ = std::make_unique<Child>(std::vector<std::string>{program, members_file}, nullptr, ends[1]);
  } catch (...) {
    ::close(ends[0]);
    ::close(ends[1]);
    throw;
  }
  ::close(ends[1]);
  ask("reset");  // it has read its file
  empty_megabytes_ = residentMegabytes(pid());
}

HollowProcess::~HollowProcess() { ::close(commands_); }

nlohmann::json HollowProcess::ask(const std::string& command) {
  send(command);
  return receive();
}

void HollowProcess::send(const std::string& command) {
  const std::string line = command + "\n";
  for (std::size_t sent = 0; sent < line.size();) {
    const ssize_t n = ::send(commands_, line.data() + sent, line.size() - sent, MSG_NOSIGNAL);
    if (n < 0 && errno != EINTR) throw std::runtime_error("hollow members have ended: " + log());
    if (n > 0) sent += static_cast<std::size_t>(n);
  }
}

nlohmann::json HollowProcess::receive() {
  for (;;) {
    if (const std::size_t end = waiting_.find('\n'); end != std::string::npos) {
      nlohmann::json answer = nlohmann::json::parse(waiting_.substr(0, end));
      waiting_.erase(0, end + 1);
      if (answer.contains("error")) throw std::runtime_error(answer.at("error").get<std::string>());
      return answer;
    }
    std::array<char, 65'536> some{};
    const ssize_t n = ::recv(commands_, some.data(), some.size(), 0);
    if (n == 0 || (n < 0 && errno != EINTR)) throw std::runtime_error("hollow members have ended: " + log());
    if (n > 0) waiting_.append(some.data(), static_cast<std::size_t>(n));
  }
}

std::string HollowProcess::log() const {
  std::string all;
  for (const std::string& line : child_->lines()) all += line + "\n";
  return all;
}

}  // namespace client_proxy::rig
