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

/// What happened to a node or a target this long before the request's first line may still be its cause.
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
    // NOLINTNEXTLINE(cert-err34-c): the count of fields read is the check.
    if (std::sscanf(text.c_str(), "%d-%u-%uT%d:%d:%d.%dZ", &year, &month, &day, &hour, &minute, &second,
                    &ms) != fields)
        return fail("a line without a time: " + text);
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

/// The words for lines about one request.
std::string describe_request_event(const log_line& line) {
    const auto detail = field(line, "detail");
    if (line.event == "answered")
        return "answers " + field(line, "status") + " to " + field(line, "call") + " after " +
               field(line, "ms") + " ms" + reason_suffix(field(line, "reason"));
    if (line.event == "job_refused")
        return "refuses it, it never runs" + reason_suffix(field(line, "reason"));
    if (line.event == "job_withdrawn")
        return "takes it back before it was recorded, it never runs";
    if (line.event == "call_given_up")
        return "gives the call up, no owner was reached; " +
               std::string{field(line, "maybe_recorded") == "true" ? "it may have been recorded"
                                                                   : "it surely reached none"};
    if (line.event == "step_waits")
        return "a step waits past its time, " + detail;
    if (line.event == "step_waited")
        return "a step no longer waits, " + detail;
    if (line.event == "task_placed")
        return "places a task: " + detail;
    if (line.event == "start_refused")
        return "a start had no success: " + detail;
    if (line.event == "run_ended")
        return "a run ended without being done: " + detail;
    if (line.event == "run_dropped")
        return "gives a run up, its task runs anew: " + detail;
    if (line.event == "run_yields")
        return "stops a run for more urgent work, it goes on later: " + detail;
    if (line.event == "stray_run")
        return "stops a run that nobody wants: " + detail;
    if (line.event == "step_done")
        return "a step is done: " + detail;
    if (line.event == "job_ended")
        return "the job has ended: " + detail;
    return line.event + reason_suffix(detail);
}

/// The words for lines about a node or target that may be causes; empty for all others.
std::string describe_cause(const log_line& line) {
    if (line.event == "partition_taken")
        return "becomes the owner, epoch " + field(line, "epoch") + ", with " + field(line, "open") +
               " open jobs";
    if (line.event == "partition_closed")
        return "is no owner any more" + reason_suffix(field(line, "reason"));
    if (line.event == "runs_known")
        return "knows what runs: " + field(line, "detail");
    if (line.event == "table_lost")
        return "loses the table" + reason_suffix(field(line, "reason"));
    if (line.event == "table_back")
        return "has the table back";
    if (line.event == "owner_stalled")
        return "stood still and commands nobody until it is confirmed as owner";
    if (line.event == "relay_failed")
        return "loses its relay " + field(line, "relay") + ", " + field(line, "lost") + " commands in it";
    if (line.event == "started")
        return "starts";
    if (line.event == "leaving")
        return "was told to stop";
    return {};
}

std::string describe_target_event(const log_line& line) {
    static const std::map<std::string, std::string> phrases{
        {"target_suspect", "a target is silent: "},
        {"target_back", "a target answers again: "},
        {"target_restarted", "a target started anew: "},
        {"target_failing", "a target fails all it is given: "},
        {"target_gone", "a target is gone: "}};
    const auto found = phrases.find(line.event);
    return found == phrases.end() ? std::string{} : found->second + field(line, "detail");
}

std::string describe_load(const log_line& load, milliseconds age) {
    return " (" + seconds(age) + " before: " + field(load, "waiting_tasks") + " tasks waited, " +
           field(load, "held_cpu_milli") + " of " + field(load, "capacity_cpu_milli") +
           " thousandths of a core held, starts took " + field(load, "round_trip_ms") + " ms)";
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
            return fail("no line is about " + m_id);
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
            return "It was recorded, though no caller was told so.";
        if (m_answer_lost)
            return "It may have been recorded, but nothing was done of it.";
        return m_refused ? "Refused; it never ran." : "No acceptance is on record.";
    }

    [[nodiscard]] std::string summary() const {
        std::string text = acceptance_text();
        if (m_accepted_at && m_first_placed_at)
            text += " Its first task was placed " +
                    seconds(std::max(*m_first_placed_at - *m_accepted_at, milliseconds{0})) + " after that.";
        if (m_placed > 0)
            text += " " + std::to_string(m_placed) + " tasks were placed, " + std::to_string(m_unsuccessful) +
                    " starts or runs had no success.";
        if (m_ended_at)
            text += " It ended as " + m_end_text + ", " + seconds(*m_ended_at - m_first_at) +
                    " after its first line.";
        else if (m_placed > 0)
            text += " No end is on record.";
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
    std::map<std::string, const log_line*> m_loads; ///< the latest one of each node
};

} // namespace

std::optional<log_line> parse_log_line(std::string_view text) {
    const auto begin = text.find('{');
    if (begin == std::string_view::npos)
        return fail("no JSON in the line");
    const auto json = nlohmann::json::parse(text.substr(begin), nullptr, false);
    if (!json.is_object())
        return fail("the line's JSON can't be read");
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
