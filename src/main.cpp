#include "callers/caller_api.h"
#include "drain.h"
#include "explain/explain_command.h"
#include "http/server.h"
#include "log.h"
#include "node/node.h"
#include "operators/commands.h"
#include "operators/operator_api.h"
#include "platform/run.h"

#include "medlarhub/reason.h"
#include "medlarhub/settings.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace medlarhub;

constexpr auto version = "0.1.0";
/// How long a node that was told to stop waits for the requests in hand.
constexpr milliseconds stop_limit{10'000};

/// Blocks the termination signals in this thread and all threads started later.
sigset_t block_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

int run_node(const settings& parsed, const sigset_t& signals) {
    start_log(parsed.node, parsed.data_centre, parsed.log_level);
    set_http_threads(parsed.http_threads);
    node served{parsed};
    http_limits client_limits;
    client_limits.connections = static_cast<std::size_t>(parsed.max_connections);
    client_limits.buffered_bytes = parsed.max_buffered_bytes;
    set_http_limits(client_limits, &served.counters());
    caller_api callers{served};
    operator_api operators{served};
    http_server server;
    const auto handle = [&](const http_request& request, const http_responder& respond) {
        if (!callers.handle(request, respond) && !operators.handle(request, respond))
            respond(problem(404, "not found", "no such path"));
    };
    if (!served.start() || !server.start(parsed.http_address, parsed.max_body_bytes, handle)) {
        log_event(log_level::error, "start_failed", {{"reason", last_reason()}});
        std::cerr << last_reason() << "\n";
        flush_log();
        std::_Exit(exit_failed);
    }
    int received = 0;
    sigwait(&signals, &received);
    served.leave();
    run_drain({milliseconds{0}, stop_limit, stop_limit},
              {[&] { return server.in_hand() + served.calls_in_flight(); },
               [&] { callers.refuse_requests(); }, [] {}});
    served.stop();
    server.stop();
    clear_http_counters();
    return exit_ok;
}

int serve(const std::string& file) {
    const auto signals = block_signals();
    std::ifstream in{file, std::ios::binary};
    if (!in) {
        std::cerr << "can't read " << file << "\n";
        return exit_invalid;
    }
    std::ostringstream text;
    text << in.rdbuf();
    std::vector<ini_error> errors;
    const auto parsed = parse_settings(file, text.str(), errors);
    if (!parsed) {
        for (const auto& error : errors)
            std::cerr << error.to_string() << "\n";
        return exit_invalid;
    }
    return run_node(*parsed, signals);
}

} // namespace

int main(int argc, char** argv) {
    CLI::App app{"medlarhub, a cluster scheduler for mixed workloads on one fleet", "medlarhub"};
    app.require_subcommand(1);
    int code = exit_ok;

    std::string file;
    auto* serve_command = app.add_subcommand("serve", "Run one node");
    serve_command->add_option("--config", file, "the node's settings, an INI file")->required();
    serve_command->callback([&] { code = serve(file); });

    app.add_subcommand("platform",
                       "Run one node on the platform, with the settings that the platform provides")
        ->callback([&] { code = platform::run(); });

    auto* version_command = app.add_subcommand("version", "Print the version");
    std::string output = "text";
    version_command->add_option("--output", output, "text or json")->check(CLI::IsMember({"text", "json"}));
    version_command->callback([&] {
        if (output == "json")
            std::cout << "{\"version\":\"" << version << "\"}\n";
        else
            std::cout << "medlarhub " << version << "\n";
    });

    add_commands(app, code);
    add_explain_command(app, code);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        const int shown = app.exit(error);
        return shown == 0 ? exit_ok : exit_invalid;
    }
    return code;
}
