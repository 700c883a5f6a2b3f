// The straight lines of the measurements: bench/fit.h.
#include "bench/fit.h"

#include <gtest/gtest.h>

#include <limits>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

namespace client_proxy::bench {
namespace {

TEST(Fit, FindsTheLineThatThePointsLieOn) {
  const Fit fit = leastSquares(std::vector<Point>{{60, 42}, {150, 87}, {300, 162}, {730, 377}});
  EXPECT_NEAR(fit.intercept, 12, 1e-9);
  EXPECT_NEAR(fit.slope, 0.5, 1e-12);
  EXPECT_NEAR(fit.largest_residual, 0, 1e-9);
  EXPECT_TRUE(fit.straight());
  EXPECT_NEAR(fit.at(2000).value(), 1012, 1e-6);
}

// By hand: the means are 2.5 and 5.5, the slope 6 / 5, the intercept 2.5; the residuals are 0.3, 0.1, -1.1,
// 0.7.
TEST(Fit, GivesTheLargestResidualAndItsPartOfTheValue) {
  const Fit fit = leastSquares(std::vector<Point>{{1, 4}, {2, 5}, {3, 5}, {4, 8}});
  EXPECT_NEAR(fit.slope, 1.2, 1e-12);
  EXPECT_NEAR(fit.intercept, 2.5, 1e-12);
  EXPECT_NEAR(fit.largest_residual, 1.1, 1e-12);
  EXPECT_NEAR(fit.largest_relative_residual, 0.22, 1e-12);
  EXPECT_FALSE(fit.straight());
}

TEST(Fit, ASquareIsNotStraightAndNothingIsDrawnBeyondIt) {
  const std::vector<Point> square{{60, 3'600}, {150, 22'500}, {300, 90'000}, {730, 532'900}};
  const Fit fit = leastSquares(square);
  EXPECT_FALSE(fit.straight());
  EXPECT_FALSE(fit.at(731).has_value());
  EXPECT_TRUE(fit.at(730).has_value());
  EXPECT_NE(describe(fit, "B/s").find("not straight"), std::string::npos);
  EXPECT_EQ(toJson(square, fit, "B/s").at("straight"), false);
}

TEST(Fit, AResidualOfAFifthIsStillStraight) {
  Fit fit;
  fit.largest_relative_residual = kStraightWithin;
  EXPECT_TRUE(fit.straight());
  fit.largest_relative_residual = kStraightWithin + 1e-9;
  EXPECT_FALSE(fit.straight());
}

// The other two residuals are 3 % and 1 % of their values.
TEST(Fit, AValueOfZeroOffTheLineIsNotStraight) {
  EXPECT_FALSE(leastSquares(std::vector<Point>{{1, 0}, {2, 100}, {3, 190}}).straight());
}

TEST(Fit, RefusesWhatNoLineCanBeFittedTo) {
  EXPECT_THROW(leastSquares(std::vector<Point>{{1, 1}, {2, 2}}), std::invalid_argument);
  EXPECT_THROW(leastSquares(std::vector<Point>{{5, 1}, {5, 2}, {5, 3}}), std::invalid_argument);
  const double none = std::numeric_limits<double>::quiet_NaN();
  EXPECT_THROW(leastSquares(std::vector<Point>{{1, 1}, {2, none}, {3, 3}}), std::invalid_argument);
}

}  // namespace
}  // namespace client_proxy::bench
