#pragma once

#include <CLI/App.hpp>

namespace medlarhub {

/// Adds the subcommand that explains from logs what happened to a request. It stores its exit code in `code`.
void add_explain_command(CLI::App& app, int& code);

} // namespace medlarhub
