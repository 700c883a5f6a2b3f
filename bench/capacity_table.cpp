#include "capacity_table.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>

namespace client_proxy::capacity {
namespace {

std::string printed(const char* format, double value) {
  char text[64];
  std::snprintf(text, sizeof text, format, value);
  return text;
}

// Three digits that count.
std::string shortly(double value) {
  const double size = std::abs(value);
  return printed(size >= 100 ? "%.0f" : size >= 10 ? "%.1f" : size >= 0.1 ? "%.2f" : "%.4f", value);
}

std::string padded(const std::string& text, std::size_t width, bool left = false) {
  const std::string blanks(text.size() < width ? width - text.size() : 0, ' ');
  return left ? text + blanks : blanks + text;
}

std::string fitText(const Quantity& q) {
  const auto fit = q.fit();
  if (!fit) return "";
  std::string text = shortly(fit->intercept) + (fit->slope < 0 ? " - " : " + ") +
                     shortly(std::abs(fit->slope) * 100) + "/100 members, off by " +
                     printed("%.0f %%", fit->largest_relative_residual * 100);
  if (!fit->straight()) text += ": not straight";
  if (const auto size = q.spentAt()) text += "; budget spent at " + printed("%.0f", *size);
  return text;
}

}  // namespace

std::optional<bench::Fit> fitLine(const std::map<std::size_t, double>& values) {
  constexpr std::size_t kFewestSizes = 3;  // two always lie on a line
  if (values.size() < kFewestSizes) return std::nullopt;
  std::vector<bench::Point> points;
  points.reserve(values.size());
  for (const auto& [size, value] : values) points.push_back({static_cast<double>(size), value});
  return bench::leastSquares(points);
}

std::optional<double> Quantity::spentAt() const {
  const auto line = fit();
  if (!budget || !line || !line->straight() || line->slope <= 0) return std::nullopt;
  return (*budget - line->intercept) / line->slope;
}

void Table::set(const std::string& name, const std::string& unit, std::size_t size, double value,
                std::optional<double> budget) {
  auto q = std::find_if(quantities_.begin(), quantities_.end(),
                        [&](const Quantity& of) { return of.name == name; });
  if (q == quantities_.end()) q = quantities_.insert(q, Quantity{name, unit, budget, {}});
  q->values[size] = value;
}

void Table::add(const Table& other) {
  for (const Quantity& q : other.quantities()) {
    for (const auto& [size, value] : q.values) set(q.name, q.unit, size, value, q.budget);
  }
}

const Quantity* Table::find(const std::string& name) const {
  const auto q = std::find_if(quantities_.begin(), quantities_.end(),
                              [&](const Quantity& of) { return of.name == name; });
  return q == quantities_.end() ? nullptr : &*q;
}

std::string Table::text() const {
  constexpr std::size_t kName = 60, kUnit = 8, kValue = 10;
  std::set<std::size_t> sizes;
  for (const Quantity& q : quantities_) {
    for (const auto& [size, value] : q.values) sizes.insert(size);
  }
  std::string text = padded("members", kName, true) + padded("", kUnit, true);
  for (const std::size_t size : sizes) text += padded(std::to_string(size), kValue);
  text += padded("budget", kValue) + "  line\n";
  for (const Quantity& q : quantities_) {
    text += padded(q.name, kName, true) + padded(q.unit, kUnit, true);
    for (const std::size_t size : sizes) {
      const auto value = q.values.find(size);
      text += padded(value == q.values.end() ? "-" : shortly(value->second), kValue);
    }
    text += padded(q.budget ? shortly(*q.budget) : "", kValue);
    const std::string fit = fitText(q);
    text += fit.empty() ? "\n" : "  " + fit + "\n";
  }
  return text;
}

nlohmann::ordered_json Table::json() const {
  using nlohmann::ordered_json;
  ordered_json all = ordered_json::array();
  for (const Quantity& q : quantities_) {
    ordered_json values = ordered_json::object();
    for (const auto& [size, value] : q.values) values[std::to_string(size)] = value;
    ordered_json one = {{"quantity", q.name}, {"unit", q.unit}, {"values", values}};
    if (q.budget) one["budget"] = *q.budget;
    if (const auto fit = q.fit()) {
      one["fit"] = {{"base", fit->intercept},
                    {"slope", fit->slope},
                    {"worst_residual", fit->largest_relative_residual},
                    {"straight", fit->straight()}};
      if (const auto size = q.spentAt()) one["budget_spent_at"] = *size;
    }
    all.push_back(std::move(one));
  }
  return all;
}

}  // namespace client_proxy::capacity
