#include "process_usage.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <system_error>

namespace client_proxy::rig {

double cpuMilliseconds(pid_t process) {
  double nanoseconds = 0;
  std::error_code failed;
  const std::filesystem::path threads = "/proc/" + std::to_string(process) + "/task";
  for (const auto& thread : std::filesystem::directory_iterator(threads, failed)) {
    std::ifstream in(thread.path() / "schedstat");
    double of_thread = 0;
    if (in >> of_thread) nanoseconds += of_thread;
  }
  return nanoseconds / 1e6;
}

double residentMegabytes(pid_t process) {
  std::ifstream in("/proc/" + std::to_string(process) + "/statm");
  double size = 0, resident = 0;
  in >> size >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
}

}  // namespace client_proxy::rig
