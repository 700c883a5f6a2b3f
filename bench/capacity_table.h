// Measured quantities by fleet size, each with a straight line through them and how far off it is.
#pragma once

#include <cstddef>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fit.h"

namespace client_proxy::capacity {

// Nothing: fewer than three sizes.
std::optional<bench::Fit> fitLine(const std::map<std::size_t, double>& values);

struct Quantity {
  std::string name, unit;
  std::optional<double> budget;          // the most that is allowed
  std::map<std::size_t, double> values;  // by size
  std::optional<bench::Fit> fit() const { return fitLine(values); }
  // The size at which the line reaches the budget; nothing: never, or the line is not straight.
  std::optional<double> spentAt() const;
};

class Table {
 public:
  // The order of the first words of a quantity is the order of rows.
  void set(const std::string& name, const std::string& unit, std::size_t size, double value,
           std::optional<double> budget = std::nullopt);
  void add(const Table& other);  // its columns
  const std::vector<Quantity>& quantities() const { return quantities_; }
  const Quantity* find(const std::string& name) const;
  std::string text() const;
  nlohmann::ordered_json json() const;

 private:
  std::vector<Quantity> quantities_;
};

}  // namespace client_proxy::capacity
