#include "fit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace client_proxy::bench {
namespace {

constexpr std::size_t kFewestPoints = 3;

void requireUsable(std::span<const Point> points) {
  if (points.size() < kFewestPoints) throw std::invalid_argument("a fit needs three points at least");
  for (const Point& p : points) {
    if (!std::isfinite(p.size) || !std::isfinite(p.value))
      throw std::invalid_argument("a fit needs finite values");
  }
  const auto [least, most] =
      std::minmax_element(points.begin(), points.end(), [](auto& a, auto& b) { return a.size < b.size; });
  if (least->size == most->size) throw std::invalid_argument("a fit needs more than one size");
}

// The part of `value` that `residual` is; infinite where something was fitted to a value of 0.
double relative(double residual, double value) {
  if (residual == 0) return 0;
  return value == 0 ? std::numeric_limits<double>::infinity() : residual / std::abs(value);
}

}  // namespace

std::optional<double> Fit::at(double size) const {
  if (!straight() && size > largest_size) return std::nullopt;
  return intercept + slope * size;
}

Fit leastSquares(std::span<const Point> points) {
  requireUsable(points);
  const auto count = static_cast<double>(points.size());
  double mean_size = 0;
  double mean_value = 0;
  for (const Point& p : points) {
    mean_size += p.size / count;
    mean_value += p.value / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const Point& p : points) {
    covariance += (p.size - mean_size) * (p.value - mean_value);
    variance += (p.size - mean_size) * (p.size - mean_size);
  }
  Fit fit;
  fit.slope = covariance / variance;
  fit.intercept = mean_value - fit.slope * mean_size;
  for (const Point& p : points) {
    const double residual = std::abs(p.value - (fit.intercept + fit.slope * p.size));
    fit.largest_residual = std::max(fit.largest_residual, residual);
    fit.largest_relative_residual = std::max(fit.largest_relative_residual, relative(residual, p.value));
    fit.largest_size = std::max(fit.largest_size, p.size);
  }
  return fit;
}

std::string describe(const Fit& fit, const std::string& unit) {
  char text[200];
  std::snprintf(text, sizeof text, "%.4g + %.4g x size %s, largest residual %.3g %s (%.0f %%)%s",
                fit.intercept, fit.slope, unit.c_str(), fit.largest_residual, unit.c_str(),
                100 * fit.largest_relative_residual, fit.straight() ? "" : ", not straight");
  return text;
}

nlohmann::json toJson(std::span<const Point> points, const Fit& fit, const std::string& unit) {
  nlohmann::json measured = nlohmann::json::array();
  for (const Point& p : points) measured.push_back({{"size", p.size}, {"value", p.value}});
  return {{"unit", unit},
          {"points", std::move(measured)},
          {"intercept", fit.intercept},
          {"slope", fit.slope},
          {"largest_residual", fit.largest_residual},
          {"largest_relative_residual", fit.largest_relative_residual},
          {"straight", fit.straight()}};
}

}  // namespace client_proxy::bench
