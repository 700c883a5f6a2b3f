// The program's commands, run as an operator runs them.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>

namespace client_proxy {
namespace {

namespace fs = std::filesystem;

class Commands : public ::testing::Test {
 protected:
  Commands() { fs::create_directories(folder); }
  ~Commands() override { fs::remove_all(folder); }

  std::string file(const std::string& name, const std::string& text) {
    const fs::path path = folder / name;
    std::ofstream(path, std::ios::binary) << text;
    return path.string();
  }
  static std::string textOf(const std::string& path) {
    std::ostringstream text;
    text << std::ifstream(path, std::ios::binary).rdbuf();
    return text.str();
  }
  // Runs the program; what it prints, errors too, goes to `said`.
  int run(const std::string& arguments) {
    said.clear();
    std::string command = CLIENT_PROXY_PROGRAM;
    command += " " + arguments + " 2>&1";
    FILE* const out = popen(command.c_str(), "r");
    char bytes[4096];
    while (const std::size_t n = std::fread(bytes, 1, sizeof bytes, out)) said.append(bytes, n);
    const int status = pclose(out);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  bool heard(const std::string& text) const { return said.find(text) != std::string::npos; }

  const fs::path folder = fs::path(::testing::TempDir()) / ("client-proxy-cli-" + std::to_string(getpid()));
  std::string said;
};

TEST_F(Commands, FmtPrintsTheFormAndLeavesTheFile) {
  const std::string a = file("a.conf", "a{b 1}\n");
  EXPECT_EQ(run("fmt " + a), 0);
  EXPECT_EQ(said, "a {\n  b 1\n}\n");
  EXPECT_EQ(textOf(a), "a{b 1}\n");
}

TEST_F(Commands, FmtCheckNamesWhatIsNotInItsForm) {
  const std::string good = file("good.conf", "a 1\n"), other = file("other.conf", "a  1\n");
  EXPECT_EQ(run("fmt --check " + good), 0);
  EXPECT_EQ(run("fmt --check " + good + " " + other), 1);
  EXPECT_EQ(said, other + ": error: is not in its form; client-proxy fmt --write mends it\n");
}

TEST_F(Commands, FmtWriteReplacesThroughLinksAndKeepsTheRights) {
  const std::string a = file("a.conf", "a   1 # x\n"), link = (folder / "link.conf").string();
  fs::create_symlink(a, link);
  fs::permissions(a, fs::perms::owner_read | fs::perms::owner_write);
  EXPECT_EQ(run("fmt --write " + link), 0);
  EXPECT_EQ(textOf(a), "a 1  # x\n");
  EXPECT_TRUE(fs::is_symlink(link));
  EXPECT_EQ(fs::status(a).permissions(), fs::perms::owner_read | fs::perms::owner_write);
  EXPECT_EQ(std::distance(fs::directory_iterator(folder), fs::directory_iterator()), 2)
      << "nothing is left beside it";
  EXPECT_EQ(run("fmt --check " + a), 0);
}

TEST_F(Commands, FmtLeavesABrokenFileAloneAndMendsTheOthers) {
  const std::string broken = file("broken.conf", "a  \"x\nb  1\n"), other = file("other.conf", "b  1\n");
  EXPECT_EQ(run("fmt --write " + broken + " " + other), 1);
  EXPECT_TRUE(heard(broken + ":1:4: error: this string does not end on its line"));
  EXPECT_EQ(textOf(broken), "a  \"x\nb  1\n");
  EXPECT_EQ(textOf(other), "b 1\n");
}

TEST_F(Commands, WhatCannotBeReadIsSaid) {
  EXPECT_EQ(run("fmt " + (folder / "nowhere.conf").string()), 1);
  EXPECT_TRUE(heard("nowhere.conf: error: can't be read"));
  EXPECT_EQ(run("fmt " + folder.string()), 1);
  EXPECT_EQ(run("fmt --write /dev/null"), 1);
}

const char* const kWhole =
    "listen 127.0.0.1:8080\n"
    "\n"
    "class swap-charge {\n"
    "  effect unsafe\n"
    "  aim 1s\n"
    "  deadline 2.5s\n"
    "}\n"
    "\n"
    "class reservation {\n"
    "  effect keyed\n"
    "  window 2s\n"
    "  aim 1s\n"
    "  deadline 3s\n"
    "}\n"
    "\n"
    "pool stations {\n"
    "  host s-1 10.0.0.1:80\n"
    "}\n";

std::string with(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

TEST_F(Commands, CheckSaysAllThatIsWrongAndWarningsAreNoErrorUnlessStrict) {
  const std::string good = file("good.conf", kWhole);
  EXPECT_EQ(run("check " + good), 0);
  EXPECT_EQ(said, "");
  const std::string bad = file("bad.conf", with(with(kWhole, "aim 1s", "aim 1"), "keyed", "keyd"));
  EXPECT_EQ(run("check " + bad), 1);
  EXPECT_TRUE(heard(bad + ":5:7: error: '1' has no unit; write 1ms or 1s\n    aim 1\n        ^\n")) << said;
  EXPECT_TRUE(heard("did you mean keyed?")) << said;
  const std::string doubtful = file("doubtful.conf", with(kWhole, "aim 1s", "aim 1s\n  attempts 2"));
  EXPECT_EQ(run("check " + doubtful), 0);
  EXPECT_TRUE(heard(": warning: 'class swap-charge' is unsafe")) << said;
  EXPECT_EQ(run("check --strict " + doubtful), 1);
  EXPECT_TRUE(heard(": error: 'class swap-charge' is unsafe")) << said;
}

TEST_F(Commands, CheckLooksIntoTheHostsFileToo) {
  const std::string whole = file("whole.conf", with(kWhole, "host s-1 10.0.0.1:80", "hosts-file hosts.conf"));
  EXPECT_EQ(run("check " + whole), 1);
  EXPECT_TRUE(heard("hosts.conf:1:1: error: this file can't be read")) << said;
  file("hosts.conf", "host s-1 10.0.0.1:80\n");
  EXPECT_EQ(run("check " + whole), 0) << said;
  file("hosts.conf", "host s-1 10.0.0.1\n");
  EXPECT_EQ(run("check " + whole), 1);
  EXPECT_TRUE(heard("hosts.conf:1:10: error: ")) << said;
}

TEST_F(Commands, CheckAsJsonIsAListWithPlaces) {
  const std::string bad = file("bad.conf", with(kWhole, "aim 1s", "aim \xFF"));
  EXPECT_EQ(run("check --json " + bad), 1);
  const auto list = nlohmann::json::parse(said);
  ASSERT_GE(list.size(), 1U);
  EXPECT_EQ(list[0]["file"], bad);
  EXPECT_EQ(list[0]["line"], 5);
  EXPECT_EQ(list[0]["column"], 7);
  EXPECT_EQ(list[0]["severity"], "error");
  EXPECT_FALSE(list[0]["message"].get<std::string>().empty());
  const std::string good = file("good.conf", kWhole);
  EXPECT_EQ(run("check --json " + good), 0);
  EXPECT_EQ(nlohmann::json::parse(said).size(), 0U);
}

TEST_F(Commands, DiffSaysWhatDiffersByMeaningAndItsStatusWhetherAnythingDoes) {
  const std::string a = file("a.conf", kWhole), same = file("same.conf", with(kWhole, "2.5s", "2500ms"));
  const std::string b = file("b.conf", with(kWhole, "effect unsafe", "effect safe"));
  EXPECT_EQ(run("diff " + a + " " + same), 0);
  EXPECT_EQ(said, "");
  EXPECT_EQ(run("diff " + a + " " + b), 1);
  EXPECT_EQ(
      said,
      "class swap-charge: effect unsafe -> safe; risk: requests that may have run are repeated now, which "
      "was not allowed\n");
  EXPECT_EQ(run("diff " + a + " " + file("broken.conf", "opne 1\n")), 2);
}

TEST_F(Commands, ExplainSaysWhatARequestGetsAndFromWhichLine) {
  const std::string a = file("a.conf", kWhole);
  EXPECT_EQ(run("explain " + a + " 'POST /swap-charge/7?x=1' -H 'X-Correlation-Id: 1'"), 0);
  EXPECT_EQ(said.rfind("class swap-charge  (" + a + ":3)\n  effect unsafe  (" + a + ":4)\n", 0), 0U) << said;
  EXPECT_EQ(run("explain " + a + " 'GET /swap-charge/7' -H 'X-Correlation-Id: 1'"), 0);
  EXPECT_EQ(said.rfind("answered 405: ", 0), 0U) << said;
  EXPECT_EQ(run("explain " + a + " 'POST /reservation/7' -H 'X-Correlation-Id: 1'"), 0);
  EXPECT_EQ(said.rfind("answered 400: a keyed class needs an Idempotency-Key", 0), 0U) << said;
  EXPECT_EQ(run("explain " + a + " 'POST /reservation/7' -H 'X-Correlation-Id: 1' -H 'Idempotency-Key: k'"),
            0);
  EXPECT_EQ(said.rfind("class reservation  (", 0), 0U) << said;
  EXPECT_EQ(run("explain " + a + " /nothing"), 0);
  EXPECT_EQ(said.rfind("class nothing: not there: answered 404\n", 0), 0U) << said;
  EXPECT_EQ(run("explain " + a + " 'GET nothing at all'"), 0);
  EXPECT_EQ(said.rfind("answered 400: ", 0), 0U) << said;
}

TEST_F(Commands, DumpIsAFileAgainThatMeansTheSame) {
  const std::string a = file("a.conf", kWhole);
  ASSERT_EQ(run("dump " + a), 0);
  EXPECT_TRUE(heard("attempts 3  # holds anyway\n")) << said;
  const std::string dumped = file("dumped.conf", said);
  EXPECT_EQ(run("diff " + a + " " + dumped), 0) << said;
  EXPECT_EQ(run("fmt --check " + dumped), 0) << said;
  EXPECT_EQ(run("dump " + file("broken.conf", "opne 1\n")), 1);
}

TEST_F(Commands, EachHasItsHelp) {
  for (const char* const command : {"run", "check", "fmt", "diff", "explain", "dump", "reference"}) {
    EXPECT_EQ(run(std::string(command) + " --help"), 0);
    EXPECT_TRUE(heard("--help")) << command;
  }
}

TEST_F(Commands, AWrongCommandLineIsItsOwnStatus) {
  EXPECT_EQ(run("fmt"), 2);
  EXPECT_EQ(run("fmt --check --write x.conf"), 2);
  EXPECT_EQ(run("frmt x.conf"), 2);
  EXPECT_EQ(run("--help"), 0);
  EXPECT_TRUE(heard("fmt"));
}

}  // namespace
}  // namespace client_proxy
