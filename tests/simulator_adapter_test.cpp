// The simulator adapter, run as a process: what it writes for given input lines, and the errors that it
// reports for invalid ones.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace {

struct RunResult {
  int code = 0;
  std::string out, err;
};

std::string readFile(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

RunResult runAdapter(const std::string& input) {
  std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
  std::replace(name.begin(), name.end(), '/', '_');
  const std::string base = testing::TempDir() + "/simulator_adapter_" + std::to_string(getpid()) + name;
  std::ofstream(base + ".in") << input;
  const std::string command =
      std::string(CLIENT_PROXY_SIMULATOR_ADAPTER) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
  const int status = std::system(command.c_str());
  RunResult result{WIFEXITED(status) ? WEXITSTATUS(status) : -1, readFile(base + ".out"),
                   readFile(base + ".err")};
  for (const char* end : {".in", ".out", ".err"}) std::remove((base + end).c_str());
  return result;
}

const std::string kConfig =
    R"({"me": 0, "peers_total": 2, "discovery": "push", "stranger": [1], "my_zone": 0, "tick_us": 5000,)"
    R"( "request_classes": [{"name": "a", "goal_time_us": 500000, "deadline_us": 1000000, "effect": "fragile"}],)"
    R"( "limits": {"max_attempts": 3},)"
    R"( "rules": {"drain_grace_us": 500000, "cold_from": 0.3, "cold_us": 8000000, "tip_multiple": 3, "fall_us": 2000000}})";

std::string start(const std::string& config = kConfig) {
  return "ROUND\t1000000\nPOWER_ON\tproxy/0\t42\t" + config +
         "\nDIRECTORY\t3\t2\nM\t-\t0\t1\thealthy\thost_a\t0\t0\nM\t-\t0\t1\tcordoned\thost_b\t0\t0\n"
         "FLEET\tproxy/0\trestored\t1\t3\nEOB\n";
}

TEST(SimulatorAdapter, AnswersAnEmptyRoundWithTheEndMarkOnly) {
  const RunResult r = runAdapter("ROUND\t5\nEOB\n");
  EXPECT_EQ(r.code, 0);
  EXPECT_EQ(r.out, "EOR\n");
  EXPECT_EQ(r.err, "");
}

TEST(SimulatorAdapter, SendsARequestToTheHealthyHost) {
  const RunResult r =
      runAdapter(start() +
                 "ROUND\t1005000\nJOB_IN\tproxy/0\t741a98ca5d3a91c4\t240000\t-\t-\t0\t-\t0\nEOB\n"
                 "ROUND\t1006000\nRETURNED\tproxy/"
                 "0\t741a98ca5d3a91c4\t0\t0\t1\t1000\thost_a\tload_share:0.5,odd:1\nEOB\n");
  EXPECT_EQ(r.code, 0) << r.err;
  EXPECT_EQ(r.out, "EOR\nPLACE\tproxy/0\t741a98ca5d3a91c4\thost_a\t240000\nEOR\nEOR\n");
}

TEST(SimulatorAdapter, ARetiredInstanceCanBePoweredOnAgain) {
  const RunResult r = runAdapter(start() + "ROUND\t2000000\nRETIRE\tproxy/0\nEOB\n" +
                                 "ROUND\t2000001\nPOWER_ON\tproxy/0\t7\t" + kConfig +
                                 "\nFLEET\tproxy/0\trestored\t1\t3\nEOB\n");
  EXPECT_EQ(r.code, 0) << r.err;
  EXPECT_EQ(r.out, "EOR\nEOR\nEOR\n");
}

TEST(SimulatorAdapter, AcceptsEveryKindOfEvent) {
  const RunResult r = runAdapter(
      start() +
      "ROUND\t3000000\nELAPSED\tproxy/0\t77\nMESSAGE\tproxy/0\t1\t6869\nLEFT\tproxy/0\t0c5986300e6f2b19\n"
      "STREAMING\tproxy/0\t741a98ca5d3a91c4\t0\thost_a\t9250\n"
      "SAMPLED\tproxy/0\thost_a\t0\t1400\tload_share:0.62,mean_ms:14.5\n"
      "FLEET\tproxy/0\tunavailable\t2\t0\nEOB\n");
  EXPECT_EQ(r.code, 0) << r.err;
  EXPECT_EQ(r.out, "EOR\nTRACE\tproxy/0\tlist stale: discovery unavailable\nEOR\n");
}

// An instance's actions don't depend on whether other instances run in the same process.
TEST(SimulatorAdapter, InstancesActTheSameInOneProcessAndInSeparateOnes) {
  const auto input = [](bool first, bool second) {
    std::string text = "ROUND\t1000000\nDIRECTORY\t3\t4\n";
    for (const char* id : {"host_a", "host_b", "host_c", "host_d"}) {
      text += std::string("M\t-\t0\t1\thealthy\t") + id + "\t0\t0\n";
    }
    for (const char* name : {"proxy/0", "proxy/1"}) {
      if (!(name[6] == '0' ? first : second)) continue;
      text +=
          std::string("POWER_ON\t") + name + "\t42\t" + kConfig + "\nFLEET\t" + name + "\trestored\t1\t3\n";
    }
    text += "EOB\n";
    for (int i = 0; i < 9; ++i) {
      const std::string digit = std::to_string(i);
      text += "ROUND\t200000" + digit + "\n";
      if (first) text += "JOB_IN\tproxy/0\t741a98ca5d3a91c" + digit + "\t240000\t-\t-\t0\t-\t0\n";
      if (second) text += "JOB_IN\tproxy/1\t841a98ca5d3a91c" + digit + "\t240000\t-\t-\t0\t-\t0\n";
      text += "EOB\n";
    }
    return text;
  };
  const auto linesNaming = [](const std::string& out, const std::string& name) {
    std::stringstream lines(out);
    std::string line, kept;
    while (std::getline(lines, line)) {
      if (line.find(name) != std::string::npos) kept += line + "\n";
    }
    return kept;
  };
  const std::string both = runAdapter(input(true, true)).out;
  const std::string first = runAdapter(input(true, false)).out;
  const std::string second = runAdapter(input(false, true)).out;
  EXPECT_EQ(linesNaming(both, "proxy/0"), linesNaming(first, "proxy/0"));
  EXPECT_EQ(linesNaming(both, "proxy/1"), linesNaming(second, "proxy/1"));
  EXPECT_NE(linesNaming(both, "proxy/0"), "");
}

struct InvalidInput {
  const char* name;
  std::string input;
  const char* line;
  const char* field;
};

std::ostream& operator<<(std::ostream& out, const InvalidInput& bad) { return out << bad.name; }

class SimulatorAdapterBad : public testing::TestWithParam<InvalidInput> {};

TEST_P(SimulatorAdapterBad, ReportsLineAndField) {
  const RunResult r = runAdapter(GetParam().input);
  EXPECT_NE(r.code, 0);
  EXPECT_NE(r.err.find(GetParam().line), std::string::npos) << r.err;
  EXPECT_NE(r.err.find(GetParam().field), std::string::npos) << r.err;
}

std::string configWith(const std::string& old_text, const std::string& new_text) {
  std::string config = kConfig;
  config.replace(config.find(old_text), old_text.size(), new_text);
  return config;
}

INSTANTIATE_TEST_SUITE_P(
    Lines, SimulatorAdapterBad,
    testing::Values(
        InvalidInput{"ClockIsNotANumber", "ROUND\tsoon\nEOB\n", "line 1:", "clock"},
        InvalidInput{"EventOutsideARound", "JOB_IN\tproxy/0\n", "line 1:", "message"},
        InvalidInput{"RoundWithinARound", "ROUND\t1\nROUND\t2\n", "line 2:", "message"},
        InvalidInput{"UnknownEvent", start() + "ROUND\t2\nWHAT\tproxy/0\n", "line 9:", "message"},
        InvalidInput{"InstanceNotStarted", "ROUND\t1\nELAPSED\tproxy/9\t1\nEOB\n", "line 2:", "field i"},
        InvalidInput{"MissingFields", start() + "ROUND\t2\nJOB_IN\tproxy/0\t741a98ca5d3a91c4\nEOB\n",
                     "line 9:", "left_us"},
        InvalidInput{"MalformedRequestId", start() + "ROUND\t2\nLEFT\tproxy/0\tzz\nEOB\n", "line 9:", "corr"},
        InvalidInput{"TooManyFields", start() + "ROUND\t2\nELAPSED\tproxy/0\t1\t2\nEOB\n",
                     "line 9:", "end of line"},
        InvalidInput{"UnknownDisposition",
                     start() + "ROUND\t2\nRETURNED\tproxy/0\t741a98ca5d3a91c4\t0\t99\t1\t1\thost_a\t-\nEOB\n",
                     "line 9:", "disposition"},
        InvalidInput{"FewerHostsThanAnnounced", "ROUND\t1\nDIRECTORY\t0\t2\nEOB\n", "line 3:", "message"},
        InvalidInput{"UnknownHostState", "ROUND\t1\nDIRECTORY\t0\t1\nM\t-\t0\t1\tfine\thost_a\t0\t0\n",
                     "line 3:", "state"},
        InvalidInput{"HostListIdOutOfRange", "ROUND\t1\nDIRECTORY\t16\t1\n", "line 2:", "roster_id"},
        InvalidInput{"InputEndsWithinARound", "ROUND\t1\n", "line 2:", "EOB"},
        InvalidInput{"ConfigIsNotJson", start("{"), "line 2:", "config"},
        InvalidInput{"NoRequestClasses",
                     start(configWith(
                         "{\"name\": \"a\", \"goal_time_us\": 500000, \"deadline_us\": 1000000, \"effect\": "
                         "\"fragile\"}",
                         "")),
                     "line 2:", "request_classes"},
        InvalidInput{"NegativeDuration",
                     start(configWith("\"goal_time_us\": 500000", "\"goal_time_us\": -5")),
                     "line 2:", "request_classes[0].goal_time_us"},
        InvalidInput{"MissingRule", start(configWith("\"cold_from\": 0.3,", "")),
                     "line 2:", "rules.cold_from"},
        InvalidInput{"UnknownEffect", start(configWith("fragile", "brittle")),
                     "line 2:", "request_classes[0].effect"}),
    [](const testing::TestParamInfo<InvalidInput>& each) { return std::string(each.param.name); });

}  // namespace
