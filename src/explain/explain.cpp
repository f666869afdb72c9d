#include "explain/explain.h"

#include "medlarhub/reason.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace medlarhub {

namespace {

/// Events of nodes and targets up to this long before the request's first line are listed as possible causes.
constexpr milliseconds cause_lookback{3000};

std::optional<milliseconds> parse_time(const std::string& text) {
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int ms = 0;
    constexpr int fields = 7;
    // NOLINTNEXTLINE(cert-err34-c): the number of parsed fields is checked.
    if (std::sscanf(text.c_str(), "%d-%u-%uT%d:%d:%d.%dZ", &year, &month, &day, &hour, &minute, &second,
                    &ms) != fields)
        return fail("invalid timestamp: " + text);
    const std::chrono::sys_days date{std::chrono::year{year} / std::chrono::month{month} /
                                     std::chrono::day{day}};
    return std::chrono::duration_cast<milliseconds>(date.time_since_epoch() + std::chrono::hours{hour} +
                                                    std::chrono::minutes{minute} +
                                                    std::chrono::seconds{second}) +
           milliseconds{ms};
}

std::string seconds(milliseconds time) {
    constexpr double ms_a_second = 1000;
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << static_cast<double>(time.count()) / ms_a_second << " s";
    return text.str();
}

std::string field(const log_line& line, const std::string& name) {
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? std::string{"?"} : found->second;
}

std::string reason_suffix(const std::string& reason) {
    return reason.empty() || reason == "?" ? std::string{} : ": " + reason;
}

/// Describes an event of the explained request.
std::string describe_request_event(const log_line& line) {
    const auto detail = field(line, "detail");
    if (line.event == "answered")
        return "responds " + field(line, "status") + " to " + field(line, "call") + " after " +
               field(line, "ms") + " ms" + reason_suffix(field(line, "reason"));
    if (line.event == "job_refused")
        return "refuses the job; it never runs" + reason_suffix(field(line, "reason"));
    if (line.event == "job_withdrawn")
        return "withdraws the job before it is recorded; it never runs";
    if (line.event == "call_given_up")
        return "stops retrying the call, no owner was reached; " +
               std::string{field(line, "maybe_recorded") == "true" ? "the job may have been recorded"
                                                                   : "the call reached no owner"};
    if (line.event == "step_waits")
        return "a step waits longer than expected: " + detail;
    if (line.event == "step_waited")
        return "a step no longer waits: " + detail;
    if (line.event == "task_placed")
        return "places a task: " + detail;
    if (line.event == "start_refused")
        return "a start failed: " + detail;
    if (line.event == "run_ended")
        return "a run ended without completing: " + detail;
    if (line.event == "run_dropped")
        return "abandons a run and reruns its task: " + detail;
    if (line.event == "run_yields")
        return "preempts a run for more urgent work; it resumes later: " + detail;
    if (line.event == "stray_run")
        return "stops an orphaned run: " + detail;
    if (line.event == "occurrence_found")
        return "a target runs or ran an occurrence that wasn't recorded: " + detail;
    if (line.event == "step_done")
        return "a step completed: " + detail;
    if (line.event == "job_ended")
        return "the job ended: " + detail;
    return line.event + reason_suffix(detail);
}

/// Describes an event of a node that may be a cause; empty for other events.
std::string describe_cause(const log_line& line) {
    if (line.event == "partition_taken")
        return "becomes the owner, epoch " + field(line, "epoch") + ", with " + field(line, "open") +
               " unfinished jobs";
    if (line.event == "partition_closed")
        return "is no longer the owner" + reason_suffix(field(line, "reason"));
    if (line.event == "runs_known")
        return "ends the recovery of running tasks: " + field(line, "detail");
    if (line.event == "table_lost")
        return "can't reach the table" + reason_suffix(field(line, "reason"));
    if (line.event == "table_back")
        return "can reach the table again";
    if (line.event == "owner_stalled")
        return "was paused and sends no commands until its ownership is confirmed";
    if (line.event == "ownership_unconfirmed")
        return "sends no commands until the table confirms its ownership";
    if (line.event == "ownership_confirmed")
        return "sends commands again";
    if (line.event == "relay_failed")
        return "loses its relay " + field(line, "relay") + " with " + field(line, "lost") +
               " commands in flight";
    if (line.event == "started")
        return "starts";
    if (line.event == "leaving")
        return "shuts down";
    return {};
}

std::string describe_target_event(const log_line& line) {
    static const std::map<std::string, std::string> phrases{
        {"target_suspect", "a target doesn't respond: "},
        {"target_back", "a target responds again: "},
        {"target_restarted", "a target restarted: "},
        {"target_restart_reported", "the store tells of a target's restart: "},
        {"target_lists_part", "a target lists only some of its ends: "},
        {"target_lists_all", "a target lists all its ends again: "},
        {"target_failing", "a target fails consecutive runs: "},
        {"target_gone", "a target was removed: "}};
    const auto found = phrases.find(line.event);
    return found == phrases.end() ? std::string{} : found->second + field(line, "detail");
}

std::string describe_load(const log_line& load, milliseconds age) {
    return " (" + seconds(age) + " before: " + field(load, "waiting_tasks") + " tasks waiting, " +
           field(load, "held_cpu_milli") + " of " + field(load, "capacity_cpu_milli") +
           " thousandths of a core in use, start round trip " + field(load, "round_trip_ms") + " ms)";
}

class explainer {
public:
    explainer(std::vector<log_line> lines, const std::string& id) : m_lines{std::move(lines)}, m_id{id} {
        std::ranges::stable_sort(m_lines, {}, &log_line::at);
    }

    std::optional<explanation> run() {
        for (const auto& line : m_lines) {
            if (is_about_request(line))
                record_request_line(line);
        }
        if (!m_has_lines)
            return fail("no log line is about request " + m_id);
        explanation result;
        for (const auto& line : m_lines) {
            if (line.event == "partition_load")
                m_loads[line.node] = &line;
            if (line.at < m_first_at - cause_lookback || line.at > m_last_at)
                continue;
            auto text = describe(line);
            if (!text.empty())
                result.lines.push_back({line.time, line.at - m_first_at, line.node, std::move(text)});
        }
        result.summary = summary();
        return result;
    }

private:
    [[nodiscard]] bool is_about_request(const log_line& line) const {
        const auto found = line.fields.find("request");
        return found != line.fields.end() && found->second == m_id;
    }

    void record_request_line(const log_line& line) {
        if (!m_has_lines)
            m_first_at = line.at;
        m_has_lines = true;
        m_last_at = line.at;
        if (line.event == "answered" && field(line, "call") == "submit" && field(line, "status") == "200" &&
            !m_accepted_at)
            m_accepted_at = line.at;
        if (line.event == "job_refused")
            m_refused = true;
        if (line.event == "answered" && field(line, "call") == "submit" && field(line, "status") == "504")
            m_answer_lost = true;
        if (line.event == "job_ended") {
            m_ended_at = line.at;
            m_end_text = field(line, "detail");
        }
        if (line.event != "task_placed" && line.event != "start_refused" && line.event != "run_ended" &&
            line.event != "run_dropped")
            return;
        const auto detail = field(line, "detail");
        m_targets.insert(detail.substr(0, detail.find(' ')));
        if (line.event != "task_placed") {
            ++m_unsuccessful;
            return;
        }
        ++m_placed;
        if (!m_first_placed_at)
            m_first_placed_at = line.at;
    }

    std::string describe(const log_line& line) {
        if (!is_about_request(line)) {
            const auto target = describe_target_event(line);
            if (!target.empty())
                return m_targets.contains(field(line, "detail")) ? target : std::string{};
            return describe_cause(line);
        }
        auto text = describe_request_event(line);
        const bool first_start = line.event == "task_placed" && !std::exchange(m_load_described, true);
        const auto load = m_loads.find(line.node);
        if ((first_start || line.event == "job_refused") && load != m_loads.end())
            text += describe_load(*load->second, line.at - load->second->at);
        return text;
    }

    [[nodiscard]] std::string acceptance_text() const {
        if (m_accepted_at)
            return "Accepted.";
        if (m_placed > 0)
            return "It was recorded, though no caller received a confirmation.";
        if (m_answer_lost)
            return "It may have been recorded, but no task was placed.";
        return m_refused ? "Refused; it never ran." : "The logs show no acceptance.";
    }

    [[nodiscard]] std::string summary() const {
        std::string text = acceptance_text();
        if (m_accepted_at && m_first_placed_at)
            text += " Its first task was placed " +
                    seconds(std::max(*m_first_placed_at - *m_accepted_at, milliseconds{0})) + " later.";
        if (m_placed > 0)
            text += " " + std::to_string(m_placed) + " tasks were placed, " + std::to_string(m_unsuccessful) +
                    " starts or runs failed.";
        if (m_ended_at)
            text += " It ended as " + m_end_text + ", " + seconds(*m_ended_at - m_first_at) +
                    " after its first log line.";
        else if (m_placed > 0)
            text += " The logs show no end.";
        return text;
    }

    std::vector<log_line> m_lines;
    std::string m_id;
    bool m_has_lines = false;
    milliseconds m_first_at{0};
    milliseconds m_last_at{0};
    std::optional<milliseconds> m_accepted_at;
    std::optional<milliseconds> m_first_placed_at;
    std::optional<milliseconds> m_ended_at;
    std::string m_end_text;
    bool m_refused = false;
    bool m_answer_lost = false;
    bool m_load_described = false;
    int m_placed = 0;
    int m_unsuccessful = 0;
    std::set<std::string> m_targets;
    std::map<std::string, const log_line*> m_loads; ///< latest load line of each node
};

} // namespace

std::optional<log_line> parse_log_line(std::string_view text) {
    const auto begin = text.find('{');
    if (begin == std::string_view::npos)
        return fail("the line contains no JSON");
    const auto json = nlohmann::json::parse(text.substr(begin), nullptr, false);
    if (!json.is_object())
        return fail("the line's JSON is invalid");
    log_line line;
    for (const auto& [name, value] : json.items()) {
        if (value.is_string())
            line.fields[name] = value.get<std::string>();
    }
    line.time = field(line, "time");
    line.node = field(line, "node");
    line.event = field(line, "event");
    const auto at = parse_time(line.time);
    if (!at)
        return {};
    line.at = *at;
    return line;
}

std::optional<explanation> explain_request(std::vector<log_line> lines, const std::string& id) {
    return explainer{std::move(lines), id}.run();
}

} // namespace medlarhub
