// Preloaded into a process: its wall clock is off by CLOCK_STEP_SECONDS; its other clocks are as they are.
#include <dlfcn.h>

#include <cstdlib>
#include <ctime>

namespace {

long stepSeconds() {
  const char* const text = std::getenv("CLOCK_STEP_SECONDS");
  return text == nullptr ? 0 : std::atol(text);
}

}  // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* time) {
  using ClockGetTime = int (*)(clockid_t, timespec*);
  static const auto system = reinterpret_cast<ClockGetTime>(dlsym(RTLD_NEXT, "clock_gettime"));
  static const long step = stepSeconds();
  const int result = system(clock, time);
  if (result == 0 && clock == CLOCK_REALTIME) time->tv_sec += step;
  return result;
}
