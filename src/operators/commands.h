#pragma once

#include <CLI/App.hpp>

namespace medlarhub {

/// Exit codes of all subcommands.
enum exit_code : int {
    exit_ok = 0,
    exit_failed = 1,   ///< the node refused, or the work failed
    exit_invalid = 2,  ///< a file, a document or the command line is not valid
    exit_no_answer = 3 ///< no node answered, or the outcome is unknown
};

/// Adds the subcommands that call a node or check files. The subcommand that ran stores its exit code in
/// `code`.
void add_commands(CLI::App& app, int& code);

} // namespace medlarhub
