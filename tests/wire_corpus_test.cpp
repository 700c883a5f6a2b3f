// The corpus of the fuzz targets, replayed: each file, cut off at each byte, and with a byte changed here and
// there. The same inputs every time.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "wire_property.h"

namespace client_proxy::fuzz {
namespace {

namespace fs = std::filesystem;

class WireCorpus : public ::testing::TestWithParam<Target> {};

TEST_P(WireCorpus, WhatMustHoldOfAnyBytesHoldsOfEveryFileAndOfItsNeighbours) {
  const Target& target = GetParam();
  std::size_t files = 0;
  for (const auto& entry : fs::directory_iterator(fs::path(WIRE_CORPUS) / target.name)) {
    std::ostringstream text;
    text << std::ifstream(entry.path(), std::ios::binary).rdbuf();
    const std::string bytes = text.str();
    ASSERT_EQ(target.broken(bytes), "") << entry.path();
    for (std::size_t cut = 0; cut < bytes.size(); cut += 1 + bytes.size() / 200)
      ASSERT_EQ(target.broken(std::string_view(bytes).substr(0, cut)), "")
          << entry.path() << " cut at " << cut;
    for (std::size_t at = 0; at < bytes.size(); at += 1 + bytes.size() / 200) {
      for (const char other : {'\0', '\n', ' ', '9', static_cast<char>(bytes[at] ^ 0x20)}) {
        std::string changed = bytes;
        changed[at] = other;
        ASSERT_EQ(target.broken(changed), "") << entry.path() << " with another byte at " << at;
      }
    }
    ++files;
  }
  EXPECT_GE(files, 4U);
}

INSTANTIATE_TEST_SUITE_P(Targets, WireCorpus, ::testing::ValuesIn(targets()),
                         [](const auto& p) { return std::string(p.param.name); });

}  // namespace
}  // namespace client_proxy::fuzz
