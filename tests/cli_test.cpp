// The program's commands, run as an operator runs them.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace quinceline {
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
    std::string command = QUINCELINE;
    command += " " + arguments + " 2>&1";
    FILE* const out = popen(command.c_str(), "r");
    char bytes[4096];
    while (const std::size_t n = std::fread(bytes, 1, sizeof bytes, out)) said.append(bytes, n);
    const int status = pclose(out);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  bool heard(const std::string& text) const { return said.find(text) != std::string::npos; }

  const fs::path folder = fs::path(::testing::TempDir()) / ("quinceline-cli-" + std::to_string(getpid()));
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
  EXPECT_EQ(said, other + ": error: is not in its form; quinceline fmt --write mends it\n");
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

TEST_F(Commands, AWrongCommandLineIsItsOwnStatus) {
  EXPECT_EQ(run("fmt"), 2);
  EXPECT_EQ(run("fmt --check --write x.conf"), 2);
  EXPECT_EQ(run("frmt x.conf"), 2);
  EXPECT_EQ(run("--help"), 0);
  EXPECT_TRUE(heard("fmt"));
}

}  // namespace
}  // namespace quinceline
