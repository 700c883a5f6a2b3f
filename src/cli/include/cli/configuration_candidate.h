// The dry run before a publish: an operator file is checked as if the shared file that it names had the
// candidate's text already.
#pragma once

#include <set>
#include <string>

#include "cli/check.h"
#include "distribution/types.h"

namespace client_proxy::configuration {

// What `client-proxy check` would say of the operator file once the candidate is in force. An operator file
// that names no shared file is an error of its own.
CheckedFiles checkCandidate(conf::FileSource& files, const std::string& operator_file,
                            const std::string& candidate_text);

// Only what shows without an operator file: whether the candidate can be read as statements.
CheckedFiles checkSyntax(const std::string& name, const std::string& text);

// The numbers of the members that the operator file's fleet lists; empty: it has none.
std::set<distribution::MemberId> membersOf(const CheckedFiles& checked);

}  // namespace client_proxy::configuration
