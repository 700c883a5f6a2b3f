// Straight lines through measured values, for the tables of docs/CAPACITY.md: ordinary least squares, with
// the largest residual, and a verdict on whether the values lie on a line at all.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <span>
#include <string>

namespace client_proxy::bench {

// One measured value at one size (members, hosts, services, ...).
struct Point {
  double size = 0;
  double value = 0;
};

// A residual above this part of the measured value makes the values "not straight".
constexpr double kStraightWithin = 0.20;

struct Fit {
  double intercept = 0;                  // the value at size 0, in the values' unit
  double slope = 0;                      // the value's growth for one more of the size
  double largest_residual = 0;           // |measured - fitted|, in the values' unit
  double largest_relative_residual = 0;  // the largest |measured - fitted| / |measured|
  double largest_size = 0;               // of the points that were fitted

  bool straight() const { return largest_relative_residual <= kStraightWithin; }
  // The line's value at `size`; nothing beyond the largest measured size where the values are not straight.
  std::optional<double> at(double size) const;
};

// Throws std::invalid_argument for fewer than three points (two always lie on a line), for points that all
// have one size, and for a value that is not finite.
Fit leastSquares(std::span<const Point> points);

// "3.2 + 0.014 x size us, largest residual 0.3 us (4 %)", and ", not straight" where it is not.
std::string describe(const Fit& fit, const std::string& unit);

// The points, the line, its residuals and the verdict.
nlohmann::json toJson(std::span<const Point> points, const Fit& fit, const std::string& unit);

}  // namespace client_proxy::bench
