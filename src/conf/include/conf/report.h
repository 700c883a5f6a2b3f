// What operators are shown of a configuration: the whole of it, what has changed, what a request gets, and
// the reference page. All from the schema's table; no I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "conf/model.h"

namespace client_proxy::conf {

// The effective configuration in the language: every key, those that were not set as what holds without them.
// Reading it again gives the same configuration.
std::string dump(const Section& root);

struct Change {
  std::string where;         // "pool charges", "admission"; empty: the top
  std::string what;          // "deadline 2.5s -> 2s", "+ host s-4 10.0.0.7:80"
  std::string risk;          // what may go wrong with it; may be empty
  bool restart = false;      // it takes effect at the next start only
  std::string text() const;  // all in one line
};

// What differs by meaning, in the schema's order: neither order, comments, includes, units nor values that
// hold anyway count.
std::vector<Change> compare(const Section& before, const Section& after);

// What applies to requests of this class and tenant, each value with the line that says it.
std::string explain(const Configuration& configuration, std::string_view request_class,
                    std::string_view account);

// The reference page, Markdown.
std::string reference();

}  // namespace client_proxy::conf
