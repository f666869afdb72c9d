#include "operators/commands.h"

#include "http/client.h"
#include "http/server.h"

#include "medlarhub/document.h"
#include "medlarhub/reason.h"
#include "medlarhub/settings.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

namespace medlarhub {

namespace {

using nlohmann::json;

constexpr milliseconds command_timeout{8000};

struct options {
    std::string node = "127.0.0.1:8080";
    std::string key;
    std::string output = "text";
    std::vector<std::string> files;
    std::optional<std::int64_t> expected;
    bool dry_run = false;
    std::string first;  ///< first positional argument
    std::string second; ///< second positional argument
    std::string team;
    std::string label;
    std::string request_id;
    std::string body;
    std::int64_t deadline_ms = 0;
    std::int64_t after = 0;
    int limit = 100;
};

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream in{path, std::ios::binary};
    if (!in)
        return fail("can't read " + path);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

/// Sends requests to a node. Without a usable answer, a call prints the error, sets the exit code and returns
/// an empty optional.
class node_session {
public:
    node_session(const options& given, int& code) : m_options{given}, m_code{code} {}

    std::optional<http_result> send(const std::string& method, const std::string& path,
                                    const std::string& body = {},
                                    std::map<std::string, std::string> headers = {}) {
        if (!m_options.key.empty())
            headers["Authorization"] = "Bearer " + m_options.key;
        http_client client;
        auto result = client.send("http://" + m_options.node, {.method = method,
                                                               .path = path,
                                                               .headers = std::move(headers),
                                                               .body = body,
                                                               .timeout = command_timeout});
        if (result.delivery != http_delivery::answered) {
            std::cerr << "no answer from " << m_options.node << ": " << result.reason << "\n";
            m_code = exit_no_answer;
            return {};
        }
        return result;
    }

    /// Sends a request and parses the JSON answer. An error status counts as no usable answer.
    std::optional<json> call(const std::string& method, const std::string& path,
                             const std::string& body = {}) {
        const auto result = send(method, path, body);
        if (!result)
            return {};
        auto parsed = json::parse(result->body, nullptr, false);
        if (result->ok() && !parsed.is_discarded())
            return parsed;
        constexpr int unavailable = 503;
        constexpr int invalid = 422;
        m_code = result->status == unavailable ? exit_no_answer : exit_failed;
        if (result->status == invalid && parsed.contains("errors"))
            m_code = exit_invalid;
        const auto title = parsed.is_object() ? parsed.value("title", "error") : std::string{};
        const auto detail = parsed.is_object() ? parsed.value("detail", "") : std::string{};
        if (parsed.is_object())
            std::cerr << (detail.starts_with(title) ? "" : title + ": ") << detail << "\n";
        else
            std::cerr << "status " << result->status << "\n";
        return {};
    }

private:
    const options& m_options;
    int& m_code;
};

bool wants_json(const options& given) {
    return given.output == "json";
}

void print_errors(const std::vector<ini_error>& errors, const options& given) {
    if (!wants_json(given)) {
        for (const auto& error : errors)
            std::cerr << error.to_string() << "\n";
        return;
    }
    json listed = json::array();
    for (const auto& error : errors)
        listed.push_back(
            {{"file", error.file}, {"line", error.line}, {"key", error.key}, {"expected", error.expected}});
    std::cout << json{{"valid", errors.empty()}, {"errors", listed}}.dump(2) << "\n";
}

bool is_settings(const std::string& file, const std::string& text) {
    return ini_reader{file, text}.has_section("node");
}

int check_files(const options& given) {
    std::vector<ini_error> errors;
    for (const auto& file : given.files) {
        const auto text = read_file(file);
        if (!text) {
            errors.push_back({file, 0, "(file)", "a file that can be read"});
            continue;
        }
        const auto before = errors.size();
        if (is_settings(file, *text))
            (void)parse_settings(file, *text, errors);
        else
            (void)check_document(file, *text, errors);
        if (errors.size() == before && !wants_json(given))
            std::cout << file << ": valid\n";
    }
    if (!errors.empty() || wants_json(given))
        print_errors(errors, given);
    return errors.empty() ? exit_ok : exit_invalid;
}

std::vector<std::string> lines_of(const std::string& text) {
    std::vector<std::string> lines;
    std::istringstream in{text};
    for (std::string line; std::getline(in, line);)
        lines.push_back(line);
    return lines;
}

/// Prints the lines that only one of the texts has, in order (a minimal line diff).
void print_difference(const std::string& before, const std::string& after) {
    const auto old_lines = lines_of(before);
    const auto new_lines = lines_of(after);
    std::vector<std::vector<std::size_t>> common(old_lines.size() + 1,
                                                 std::vector<std::size_t>(new_lines.size() + 1));
    for (auto i = old_lines.size(); i-- > 0;) {
        for (auto j = new_lines.size(); j-- > 0;)
            common[i][j] = old_lines[i] == new_lines[j] ? common[i + 1][j + 1] + 1
                                                        : std::max(common[i + 1][j], common[i][j + 1]);
    }
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < old_lines.size() || j < new_lines.size()) {
        if (i < old_lines.size() && j < new_lines.size() && old_lines[i] == new_lines[j]) {
            ++i;
            ++j;
        } else if (j == new_lines.size() || (i < old_lines.size() && common[i + 1][j] >= common[i][j + 1])) {
            std::cout << "- " << old_lines[i++] << "\n";
        } else {
            std::cout << "+ " << new_lines[j++] << "\n";
        }
    }
}

int show_difference(node_session& session, const document_identity& identity, const std::string& text,
                    const options& given) {
    const auto result = session.send("GET", "/v1/operator/documents/" + identity.kind + "/" + identity.name);
    if (!result)
        return exit_no_answer;
    const auto present = json::parse(result->body, nullptr, false);
    const auto revision = result->ok() ? present.value("revision", std::int64_t{0}) : 0;
    if (given.expected && *given.expected != revision) {
        std::cerr << "conflict: " << identity.name << " is at revision " << revision << ", expected "
                  << *given.expected << "\n";
        return exit_failed;
    }
    const auto before = result->ok() ? present.value("text", "") : std::string{};
    std::cout << identity.kind << " " << identity.name << " at revision " << revision
              << (before == text ? ": no difference\n" : ":\n");
    print_difference(before, text);
    return exit_ok;
}

int apply_files(const options& given) {
    int code = exit_ok;
    node_session session{given, code};
    for (const auto& file : given.files) {
        std::vector<ini_error> errors;
        const auto text = read_file(file);
        const auto identity = text ? check_document(file, *text, errors) : std::nullopt;
        if (!text)
            errors.push_back({file, 0, "(file)", "a file that can be read"});
        if (!identity) {
            print_errors(errors, given);
            return exit_invalid;
        }
        if (given.dry_run) {
            const auto shown = show_difference(session, *identity, *text, given);
            if (shown != exit_ok)
                return shown;
            continue;
        }
        const auto query = given.expected ? "?expected=" + std::to_string(*given.expected) : std::string{};
        const auto result = session.call("PUT", "/v1/operator/documents" + query, *text);
        if (!result)
            return code;
        if (wants_json(given))
            std::cout << result->dump() << "\n";
        else
            std::cout << identity->kind << " " << identity->name << " is at revision "
                      << result->value("revision", std::int64_t{0})
                      << (result->value("in_force", false)
                              ? "\n"
                              : ", not yet confirmed by a majority of the nodes\n");
    }
    return code;
}

int get_document(const options& given) {
    int code = exit_ok;
    node_session session{given, code};
    if (given.first.empty()) {
        const auto listed = session.call("GET", "/v1/operator/documents");
        if (!listed)
            return code;
        if (wants_json(given)) {
            std::cout << listed->dump(2) << "\n";
            return code;
        }
        for (const auto& item : (*listed)["documents"])
            std::cout << item.value("kind", "") << " " << item.value("name", "") << " revision "
                      << item.value("revision", 0) << "\n";
        return code;
    }
    const auto found = session.call("GET", "/v1/operator/documents/" + url_encode(given.first) + "/" +
                                               url_encode(given.second));
    if (!found)
        return code;
    if (wants_json(given))
        std::cout << found->dump(2) << "\n";
    else
        std::cout << "# revision " << found->value("revision", 0) << "\n" << found->value("text", "");
    return code;
}

int grant_key(const options& given) {
    int code = exit_ok;
    node_session session{given, code};
    const auto result =
        session.call("POST", "/v1/operator/keys", json{{"team", given.team}, {"label", given.label}}.dump());
    if (!result)
        return code;
    if (wants_json(given))
        std::cout << result->dump(2) << "\n";
    else
        std::cout << "key     " << result->value("key", "") << "\ndigest  " << result->value("digest", "")
                  << "\nThe key is not shown again; withdraw it by its digest.\n";
    return code;
}

int withdraw_key(const options& given) {
    int code = exit_ok;
    node_session session{given, code};
    if (given.first.empty()) {
        const auto listed = session.call("GET", "/v1/operator/keys");
        if (!listed)
            return code;
        if (wants_json(given)) {
            std::cout << listed->dump(2) << "\n";
            return code;
        }
        for (const auto& item : (*listed)["keys"])
            std::cout << item.value("digest", "") << " team " << item.value("team", "") << " "
                      << item.value("label", "") << "\n";
        return code;
    }
    const auto result = session.call("DELETE", "/v1/operator/keys/" + url_encode(given.first));
    if (!result)
        return code;
    if (wants_json(given))
        std::cout << result->dump() << "\n";
    else
        std::cout << "withdrawn at revision " << result->value("revision", 0) << "\n";
    return code;
}

int set_drain(const options& given, bool drained) {
    int code = exit_ok;
    node_session session{given, code};
    const auto result =
        session.call(drained ? "PUT" : "DELETE",
                     "/v1/operator/drains/" + url_encode(given.first) + "/" + url_encode(given.second));
    if (!result)
        return code;
    if (wants_json(given))
        std::cout << result->dump() << "\n";
    else
        std::cout << given.first << " " << given.second << (drained ? " drained" : " restored")
                  << " at revision " << result->value("revision", 0) << "\n";
    return code;
}

void print_status(const json& status) {
    std::cout << "node " << status.value("node", "") << " in " << status.value("data_centre", "")
              << (status.value("ready", false) ? ", ready" : ", not ready") << "\nconfiguration revision "
              << status.value("config_revision", 0)
              << (status.value("config_current", false) ? ", current" : ", NOT CURRENT") << ", confirmed "
              << status.value("store_age_ms", 0) << " ms ago\ntable "
              << (status.value("store_down", false) ? "OUT" : "answers") << "\n\nmembers\n";
    for (const auto& member : status["members"])
        std::cout << "  " << member.value("node", "") << "  " << member.value("data_centre", "") << "  "
                  << member.value("peer", "") << "  " << member.value("state", "") << "\n";
    std::cout << "\npartitions\n";
    for (const auto& partition : status["partitions"])
        std::cout << "  " << partition.value("partition", 0) << "  owner " << partition.value("owner", "")
                  << "  epoch " << partition.value("epoch", 0) << "  free slots "
                  << partition.value("free_slots", 0) << "  wait " << partition.value("wait_ms", 0)
                  << " ms\n";
    std::cout << "\ntargets of this node's partitions\n";
    for (const auto& target : status["targets"])
        std::cout << "  " << target.value("target", "") << "  " << target.value("data_centre", "") << "/"
                  << target.value("rack", "") << "  " << target.value("state", "") << "  "
                  << target.value("slots_held", 0) << " of " << target.value("slots", 0) << " slots held\n";
    for (const auto& name : status["unassigned_targets"])
        std::cout << "  " << name.get<std::string>() << "  in no partition, see the cell document\n";
    for (const auto& name : status["drains"])
        std::cout << "drained: " << name.get<std::string>() << "\n";
}

int show_status(const options& given) {
    int code = exit_ok;
    node_session session{given, code};
    const auto status = session.call("GET", "/v1/operator/status");
    if (!status)
        return code;
    if (wants_json(given))
        std::cout << status->dump(2) << "\n";
    else
        print_status(*status);
    return code;
}

int show_jobs(const options& given) {
    int code = exit_ok;
    node_session session{given, code};
    const auto listed = session.call("GET", "/v1/operator/jobs?team=" + url_encode(given.team) +
                                                "&limit=" + std::to_string(given.limit));
    if (!listed)
        return code;
    if (wants_json(given)) {
        std::cout << listed->dump(2) << "\n";
        return code;
    }
    for (const auto& item : (*listed)["jobs"])
        std::cout << item.value("team", "") << "  " << item.value("request_id", "") << "  "
                  << item.value("service", "") << "  tasks " << item.value("tasks", 0) << "  open "
                  << item.value("open", 0) << "  on targets " << item.value("on_targets", 0)
                  << (item.value("cancelled", false) ? "  cancelled" : "") << "\n";
    return code;
}

int show_audit(const options& given) {
    int code = exit_ok;
    node_session session{given, code};
    const auto listed = session.call("GET", "/v1/operator/audit?after=" + std::to_string(given.after) +
                                                "&limit=" + std::to_string(given.limit));
    if (!listed)
        return code;
    if (wants_json(given)) {
        std::cout << listed->dump(2) << "\n";
        return code;
    }
    for (const auto& change : (*listed)["changes"]) {
        const auto at = static_cast<std::time_t>(change.value("at_ms", std::int64_t{0}) / 1000);
        std::tm parts{};
        gmtime_r(&at, &parts);
        std::cout << change.value("revision", 0) << "  " << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ")
                  << "  " << change.value("who", "") << "  " << change.value("what", "");
        if (change.value("from", 0) != 0)
            std::cout << "  (was revision " << change.value("from", 0) << ")";
        std::cout << "\n";
    }
    return code;
}

int submit_request(const options& given) {
    int code = exit_ok;
    node_session session{given, code};
    std::map<std::string, std::string> headers;
    if (!given.request_id.empty())
        headers["Idempotency-Key"] = given.request_id;
    if (given.deadline_ms > 0)
        headers["Deadline-Ms"] = std::to_string(given.deadline_ms);
    const auto result =
        session.send("POST", "/v1/services/" + url_encode(given.first) + "/requests", given.body, headers);
    if (!result)
        return code;
    const auto found = result->headers.find("medlar-outcome");
    const auto outcome = found == result->headers.end() ? std::string{"refused"} : found->second;
    if (wants_json(given))
        std::cout << json{{"status", result->status}, {"outcome", outcome}, {"body", result->body}}.dump(
                         2, ' ', false, json::error_handler_t::replace)
                  << "\n";
    else
        std::cout << outcome << "\n" << result->body << "\n";
    if (outcome == "unknown")
        return exit_no_answer;
    return result->ok() ? exit_ok : exit_failed;
}

CLI::App* add_command(CLI::App& app, const std::shared_ptr<options>& given, const std::string& name,
                      const std::string& description, bool to_node) {
    auto* command = app.add_subcommand(name, description);
    command->add_option("--output", given->output, "text or json")->check(CLI::IsMember({"text", "json"}));
    if (to_node) {
        command->add_option("--node", given->node, "HTTP address of a node, ip:port")
            ->envname("MEDLARHUB_NODE")
            ->capture_default_str();
        command
            ->add_option("--key", given->key, "the operator's or team's key; prefer the environment variable")
            ->envname("MEDLARHUB_KEY");
    }
    return command;
}

} // namespace

void add_commands(CLI::App& app, int& code) {
    // Each subcommand has an options object of its own, because CLI11 applies the environment variables for
    // all of them, not only for the one that runs.
    auto given = std::make_shared<options>();
    auto* check =
        add_command(app, given, "check", "Check settings files or documents, without a node", false);
    check->add_option("files", given->files, "INI files")->required();
    check->callback([given, &code] { code = check_files(*given); });

    given = std::make_shared<options>();
    auto* apply = add_command(app, given, "apply", "Apply documents to the configuration", true);
    apply->add_option("files", given->files, "INI files")->required();
    apply->add_option(
        "--expected", given->expected,
        "the document's expected revision, 0 for a new document; fails with a conflict if it differs");
    apply->add_flag("--dry-run", given->dry_run, "only print the difference");
    apply->callback([given, &code] { code = apply_files(*given); });

    given = std::make_shared<options>();
    auto* get = add_command(app, given, "get", "List documents, or print one", true);
    auto* kind = get->add_option("kind", given->first, "service, team or cell");
    get->add_option("name", given->second, "the document's name")->needs(kind);
    get->callback([given, &code] { code = get_document(*given); });

    given = std::make_shared<options>();
    auto* grant = add_command(app, given, "grant", "Grant a team a new key, which is shown only once", true);
    grant->add_option("team", given->team, "the team")->required();
    grant->add_option("--label", given->label, "what the key is for");
    grant->callback([given, &code] { code = grant_key(*given); });

    auto* withdraw =
        add_command(app, given, "withdraw", "Withdraw a key by its digest, or list the keys", true);
    withdraw->add_option("digest", given->first,
                         "the first 8 or more digits of the digest; lists the keys if omitted");
    withdraw->callback([given, &code] { code = withdraw_key(*given); });

    for (const bool drained : {true, false}) {
        given = std::make_shared<options>();
        auto* command = add_command(app, given, drained ? "drain" : "restore",
                                    drained ? "Stop new starts on a VM or in a data centre"
                                            : "Return a VM or a data centre to service",
                                    true);
        command->add_option("scope", given->first, "vm or data_centre")
            ->required()
            ->check(CLI::IsMember({"vm", "data_centre"}));
        command->add_option("name", given->second, "name of the VM or data centre")->required();
        command->callback([given, &code, drained] { code = set_drain(*given, drained); });
    }

    given = std::make_shared<options>();
    auto* status = add_command(app, given, "status", "Show a node's view of the cluster", true);
    status->callback([given, &code] { code = show_status(*given); });

    given = std::make_shared<options>();
    auto* jobs = add_command(app, given, "jobs", "List durable jobs", true);
    jobs->add_option("--team", given->team, "only jobs of this team");
    jobs->add_option("--limit", given->limit, "at most this many")
        ->check(CLI::Range(1, 1000))
        ->capture_default_str();
    jobs->callback([given, &code] { code = show_jobs(*given); });

    given = std::make_shared<options>();
    auto* audit = add_command(app, given, "audit", "List the recorded configuration changes", true);
    audit->add_option("--after", given->after, "only revisions after this one")
        ->check(CLI::NonNegativeNumber);
    audit->add_option("--limit", given->limit, "at most this many")
        ->check(CLI::Range(1, 1000))
        ->capture_default_str();
    audit->callback([given, &code] { code = show_audit(*given); });

    given = std::make_shared<options>();
    auto* submit = add_command(app, given, "submit", "Send a request to a service", true);
    submit->add_option("service", given->first, "the service")->required();
    submit->add_option("--id", given->request_id,
                       "the request id; required unless requests of the service are quick and idempotent");
    submit->add_option("--body", given->body, "the request body; {\"tasks\": N, \"payload\": ...} for jobs");
    submit->add_option("--deadline-ms", given->deadline_ms, "how long to wait for the answer")
        ->check(CLI::PositiveNumber);
    submit->callback([given, &code] { code = submit_request(*given); });
}

} // namespace medlarhub
