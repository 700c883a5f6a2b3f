// What the proxy has done, counted where it happens. Plain numbers: no I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace client_proxy::metrics {

// How a request ended, as its client sees it.
enum class RequestOutcome : std::uint8_t { Success, Overload, Error };

// 200: served; 429 and 503: refused; anything else: failed.
RequestOutcome outcomeOf(int status);

struct ClassCounts {
  std::uint64_t success = 0, overload = 0, error = 0;  // final answers
  std::uint64_t dispatches = 0;                        // attempts written whole to hosts
  bool operator==(const ClassCounts&) const = default;
};

// Since the process started; by the class's number, which never means another class later.
class RequestCounters {
 public:
  void ended(std::size_t request_class, int status);
  void dispatched(std::size_t request_class) { ++at(request_class).dispatches; }
  // Zeros where nothing was counted.
  ClassCounts of(std::size_t request_class) const {
    return request_class < classes_.size() ? classes_[request_class] : ClassCounts{};
  }

 private:
  ClassCounts& at(std::size_t request_class) {
    if (request_class >= classes_.size()) classes_.resize(request_class + 1);
    return classes_[request_class];
  }
  std::vector<ClassCounts> classes_;
};

// The page's figures at one moment.
struct ProxyMetrics {
  struct Row {
    std::string name;  // of the class
    ClassCounts counts;
  };
  std::vector<Row> classes;                       // those of one name are added up
  std::size_t concurrent = 0;                     // requests taken but not yet ended
  std::size_t targets = 0, targets_disabled = 0;  // hosts listed; those of them that are avoided
  std::size_t slow_start_targets = 0;             // hosts listed that are in slow start
  std::uint64_t slow_start_sent = 0;              // attempts at hosts in slow start
  // By rule: what would have broken it, was stopped, and is a defect.
  std::vector<std::pair<std::string, std::uint64_t>> violations;
};

// In Prometheus' text format 0.0.4: app_success{type="C"} 812.
std::string toPrometheusText(const ProxyMetrics& page);

// Of the fleet's own view; by state, way or cause.
struct FleetMetrics {
  using Rows = std::vector<std::pair<std::string, std::uint64_t>>;
  Rows members, datagrams, bytes, drops;
  double unchanged_seconds = 0;
  bool sure = false;
};
std::string toPrometheusText(const FleetMetrics& page);

}  // namespace client_proxy::metrics
