#pragma once

#include <CLI/App.hpp>

namespace medlarhub {

/// Adds the subcommand that tells from logs what became of a request. It puts its exit code in `code`.
void add_explain_command(CLI::App& app, int& code);

} // namespace medlarhub
