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

struct read_lines {
    std::vector<log_line> lines;
    std::size_t unreadable = 0;
};

void read_log(std::istream& in, read_lines& to) {
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

void print_text(const explanation& told) {
    constexpr int time_width = 9;
    constexpr double ms_a_second = 1000;
    for (const auto& line : told.lines) {
        std::cout << std::fixed << std::setprecision(3) << std::showpos << std::setw(time_width)
                  << static_cast<double>(line.after.count()) / ms_a_second << std::noshowpos << " s  "
                  << line.node << " " << line.text << "\n";
    }
    std::cout << told.summary << "\n";
}

void print_json(const explanation& told, std::size_t unreadable) {
    auto lines = nlohmann::json::array();
    for (const auto& line : told.lines)
        lines.push_back({{"time", line.time},
                         {"after_ms", line.after.count()},
                         {"node", line.node},
                         {"text", line.text}});
    std::cout << nlohmann::json{{"summary", told.summary}, {"unreadable_lines", unreadable}, {"lines", lines}}
                     .dump(2, ' ', false, nlohmann::json::error_handler_t::replace)
              << "\n";
}

int explain_from_logs(const explain_options& given) {
    read_lines read;
    for (const auto& file : given.files) {
        std::ifstream in{file, std::ios::binary};
        if (!in) {
            std::cerr << "can't read " << file << "\n";
            return exit_invalid;
        }
        read_log(in, read);
    }
    if (given.files.empty())
        read_log(std::cin, read);
    if (read.unreadable > 0)
        std::cerr << read.unreadable << " lines are no log lines and were passed over\n";
    const auto told = explain_request(std::move(read.lines), given.id);
    if (!told) {
        std::cerr << last_reason() << "\n";
        return exit_failed;
    }
    if (given.output == "json")
        print_json(*told, read.unreadable);
    else
        print_text(*told);
    return exit_ok;
}

} // namespace

void add_explain_command(CLI::App& app, int& code) {
    const auto given = std::make_shared<explain_options>();
    auto* command =
        app.add_subcommand("explain", "Tell from the logs of all nodes what became of a request and why");
    command->add_option("id", given->id, "the request's or job's id")->required();
    command->add_option("files", given->files, "log files of any nodes; standard input without them");
    command->add_option("--output", given->output, "text or json")->check(CLI::IsMember({"text", "json"}));
    command->footer("Example: cat node-*.log | medlarhub explain 53d690a3d8016de5");
    command->callback([given, &code] { code = explain_from_logs(*given); });
}

} // namespace medlarhub
