#include "explain/explain_command.h"

#include "explain/explain.h"
#include "operators/commands.h"

#include "medlarhub/reason.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace medlarhub {

namespace {

struct explain_options {
    std::string id;
    std::vector<std::string> files;
    std::string output = "text";
};

struct parsed_lines {
    std::vector<log_line> lines;
    std::size_t unreadable = 0;
};

void read_log(std::istream& in, parsed_lines& to) {
    std::string text;
    while (std::getline(in, text)) {
        if (text.empty())
            continue;
        if (auto line = parse_log_line(text))
            to.lines.push_back(std::move(*line));
        else
            ++to.unreadable;
    }
}

void print_text(const explanation& explained) {
    constexpr int time_width = 9;
    constexpr double ms_a_second = 1000;
    for (const auto& line : explained.lines) {
        std::cout << std::fixed << std::setprecision(3) << std::showpos << std::setw(time_width)
                  << static_cast<double>(line.since_first.count()) / ms_a_second << std::noshowpos << " s  "
                  << line.node << " " << line.text << "\n";
    }
    std::cout << explained.summary << "\n";
}

void print_json(const explanation& explained, std::size_t unreadable) {
    auto lines = nlohmann::json::array();
    for (const auto& line : explained.lines)
        lines.push_back({{"time", line.time},
                         {"after_ms", line.since_first.count()},
                         {"node", line.node},
                         {"text", line.text}});
    std::cout << nlohmann::json{{"summary", explained.summary},
                                {"unreadable_lines", unreadable},
                                {"lines", lines}}
                     .dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
              << "\n";
}

int explain_from_logs(const explain_options& options) {
    parsed_lines parsed;
    for (const auto& file : options.files) {
        std::ifstream in{file, std::ios::binary};
        if (!in) {
            std::cerr << "can't read " << file << "\n";
            return exit_invalid;
        }
        read_log(in, parsed);
    }
    if (options.files.empty())
        read_log(std::cin, parsed);
    if (parsed.unreadable > 0)
        std::cerr << parsed.unreadable << " lines are not log lines and were skipped\n";
    const auto explained = explain_request(std::move(parsed.lines), options.id);
    if (!explained) {
        std::cerr << last_reason() << "\n";
        return exit_failed;
    }
    if (options.output == "json")
        print_json(*explained, parsed.unreadable);
    else
        print_text(*explained);
    return exit_ok;
}

} // namespace

void add_explain_command(CLI::App& app, int& code) {
    const auto options = std::make_shared<explain_options>();
    auto* command = app.add_subcommand(
        "explain", "Explain from the logs of all nodes what happened to a request and why");
    command->add_option("id", options->id, "the request's or job's id")->required();
    command->add_option("files", options->files, "log files of any nodes; standard input without them");
    command->add_option("--output", options->output, "text or json")->check(CLI::IsMember({"text", "json"}));
    command->footer("Example: cat node-*.log | medlarhub explain 53d690a3d8016de5");
    command->callback([options, &code] { code = explain_from_logs(*options); });
}

} // namespace medlarhub
