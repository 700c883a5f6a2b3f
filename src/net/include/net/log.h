// The program's log: lines on standard error, bounded in rate.
#pragma once

#include <cstdint>
#include <cstdio>
#include <string>
#include <string_view>

#include "net/clock.h"

namespace client_proxy {

// In rising order of what is written.
enum class LogLevel : std::uint8_t { Error, Warning, Info };

class Log {
 public:
  Log(const Clock& clock, std::string name) : clock_(clock), name_(std::move(name)) {}

  void setLevel(LogLevel level) { level_ = level; }

  // At most kBurst lines at once and kPerSecond in the long run; what was left out is counted in the next
  // line.
  void line(std::string_view text, LogLevel level = LogLevel::Info) {
    if (level > level_) return;
    const Time now = clock_.now();
    tokens_ += static_cast<double>(now - refilled_) / 1e6 * kPerSecond;
    if (tokens_ > kBurst) tokens_ = kBurst;
    refilled_ = now;
    if (tokens_ < 1) {
      ++left_out_;
      return;
    }
    tokens_ -= 1;
    const auto seconds = static_cast<double>(now) / 1e6;
    if (left_out_ > 0) {
      std::fprintf(stderr, "%.3f %s (%llu lines left out)\n", seconds, name_.c_str(),
                   static_cast<unsigned long long>(left_out_));
      left_out_ = 0;
    }
    std::fprintf(stderr, "%.3f %s %.*s\n", seconds, name_.c_str(), static_cast<int>(text.size()),
                 text.data());
  }

 private:
  static constexpr double kPerSecond = 5, kBurst = 50;
  const Clock& clock_;
  std::string name_;
  LogLevel level_ = LogLevel::Info;
  double tokens_ = kBurst;
  Time refilled_ = 0;
  std::uint64_t left_out_ = 0;
};

}  // namespace client_proxy
