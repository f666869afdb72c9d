#include "callers/caller_api.h"

#include "log.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

namespace medlarhub {

namespace {

using nlohmann::json;

constexpr std::size_t max_id_length = 200;
constexpr int max_tasks = 10'000;
constexpr std::int64_t ms_per_second = 1000;
constexpr int stale_config_retry_ms = 500;
constexpr milliseconds stopping_retry{1000};
const std::string keyless_id_prefix = "open.";

std::string dump(const json& body) {
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

const char* phase_name(pb::task::phase state) {
    switch (state) {
    case pb::task::queued:
        return "queued";
    case pb::task::placed:
        return "starting";
    case pb::task::running:
        return "running";
    case pb::task::done:
        return "done";
    case pb::task::failed:
        return "failed";
    case pb::task::cancelled:
        return "cancelled";
    default:
        return "unknown";
    }
}

/// Encodes a job's state for its caller. Results are base64, since they may hold any bytes.
json job_body(const pb::job& item) {
    std::map<std::string, int> counts;
    json tasks = json::array();
    for (const auto& task : item.tasks()) {
        ++counts[phase_name(task.state())];
        json entry{{"state", phase_name(task.state())}, {"attempt", task.attempt()}};
        if (task.state() == pb::task::done || task.state() == pb::task::failed)
            entry["result"] = base64_encode(task.result());
        if (!task.reason().empty())
            entry["reason"] = task.reason();
        tasks.push_back(std::move(entry));
    }
    return {
        {"request_id", item.request_id()},     {"service", item.service()}, {"cancelled", item.cancelled()},
        {"finished", item.finished_ms() != 0}, {"counts", counts},          {"tasks", tasks}};
}

http_response outcome_problem(int status, const pb::answer& answer, const std::string& outcome) {
    auto response = problem(status, outcome, answer.reason());
    auto body = json::parse(response.body);
    body["outcome"] = outcome;
    body["request_id"] = answer.request_id();
    if (answer.retry_after_ms() > 0) {
        body["retry_after_ms"] = answer.retry_after_ms();
        const auto seconds = (answer.retry_after_ms() + ms_per_second - 1) / ms_per_second;
        response.headers["Retry-After"] = std::to_string(seconds);
    }
    response.body = dump(body);
    response.headers["Medlar-Outcome"] = outcome;
    return response;
}

http_response not_run_response(int status, const std::string& reason, int retry_after_ms = 0) {
    auto answer = make_answer(pb::answer::not_run, reason, milliseconds{retry_after_ms});
    return outcome_problem(status, answer, "not_run");
}

bool is_valid_id(const std::string& id) {
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == ':';
    };
    return !id.empty() && id.size() <= max_id_length && std::ranges::all_of(id, allowed);
}

/// Returns the number of tasks in a job's body and sets `payload`. Returns nothing, with the reason, when the
/// body is invalid.
std::optional<int> parse_job_body(const std::string& text, std::string& payload) {
    const auto body = json::parse(text, nullptr, false);
    if (!body.is_object())
        return fail("the body of a job must be a JSON object with \"tasks\" and \"payload\"");
    for (const auto& [key, value] : body.items()) {
        if (key != "tasks" && key != "payload")
            return fail("unknown field \"" + key + "\"; a job has only \"tasks\" and \"payload\"");
    }
    const auto tasks = body.find("tasks");
    if (tasks == body.end() || !tasks->is_number_integer())
        return fail("\"tasks\" must be an integer from 1 to " + std::to_string(max_tasks));
    const bool above_limit =
        tasks->is_number_unsigned() && tasks->get<std::uint64_t>() > std::uint64_t{max_tasks};
    if (above_limit || tasks->get<std::int64_t>() < 1)
        return fail("\"tasks\" must be an integer from 1 to " + std::to_string(max_tasks));
    if (body.contains("payload"))
        payload = body["payload"].is_string() ? body["payload"].get<std::string>() : dump(body["payload"]);
    return tasks->get<int>();
}

/// Returns the caller's deadline, at most the service's. Returns nothing, with the reason, when the header is
/// invalid.
std::optional<milliseconds> parse_deadline(const http_request& request, milliseconds service_deadline) {
    const auto text = request.header("deadline-ms");
    if (text.empty())
        return service_deadline;
    std::int64_t ms = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (error != std::errc{} || end != text.data() + text.size() || ms < 1)
        return fail("Deadline-Ms must be a positive integer (milliseconds)");
    return std::min(milliseconds{ms}, service_deadline);
}

} // namespace

std::string bearer_key(const http_request& request) {
    constexpr std::string_view scheme = "Bearer ";
    const auto value = request.header("authorization");
    return value.starts_with(scheme) ? value.substr(scheme.size()) : std::string{};
}

http_response to_response(const pb::answer& answer) {
    constexpr int ok = 200;
    constexpr int accepted = 202;
    switch (answer.result()) {
    case pb::answer::done: {
        http_response response{ok, answer.body(), "application/octet-stream", {}};
        if (answer.has_item() && answer.item().type() != pb::job::request) {
            response.body = dump(job_body(answer.item()));
            response.content_type = "application/json";
        }
        response.headers["Medlar-Outcome"] = "done";
        response.headers["Medlar-Request-Id"] = answer.request_id();
        return response;
    }
    case pb::answer::accepted: {
        auto body = answer.has_item() ? job_body(answer.item()) : json{{"request_id", answer.request_id()}};
        body["outcome"] = "accepted";
        http_response response{accepted, dump(body), "application/json", {}};
        response.headers["Medlar-Outcome"] = "accepted";
        response.headers["Location"] = "/v1/requests/" + url_encode(answer.request_id());
        return response;
    }
    case pb::answer::not_run:
    case pb::answer::not_owner:
        return outcome_problem(503, answer, "not_run");
    case pb::answer::impossible:
        return outcome_problem(422, answer, "not_run");
    case pb::answer::conflict:
        return outcome_problem(422, answer, "conflict");
    case pb::answer::not_found:
        return outcome_problem(404, answer, "not_found");
    case pb::answer::failed:
        return outcome_problem(502, answer, "failed");
    case pb::answer::cancelled:
        return outcome_problem(409, answer, "cancelled");
    default:
        return outcome_problem(504, answer, "unknown");
    }
}

bool caller_api::handle(const http_request& request, const http_responder& respond) {
    const auto path = path_segments(request.path);
    const bool by_caller =
        path.size() > 1 && path[0] == "v1" && (path[1] == "services" || path[1] == "requests");
    if (by_caller && m_refusing) {
        pb::answer answer;
        answer.set_result(pb::answer::not_run);
        answer.set_reason("the node is stopping");
        answer.set_retry_after_ms(stopping_retry.count());
        auto response = to_response(answer);
        response.headers["Connection"] = "close";
        respond(std::move(response));
        return true;
    }
    if (path.size() == 4 && path[0] == "v1" && path[1] == "services" && path[3] == "requests") {
        if (request.method == "POST")
            submit(request, path[2], respond);
        else
            respond(problem(405, "method not allowed", "use POST to submit requests"));
        return true;
    }
    if (path.size() == 3 && path[0] == "v1" && path[1] == "requests") {
        if (request.method == "GET" || request.method == "DELETE")
            get_or_cancel(request, path[2], respond);
        else
            respond(problem(405, "method not allowed", "use GET to read a request and DELETE to cancel it"));
        return true;
    }
    return handle_health_or_metrics(request, respond);
}

bool caller_api::handle_health_or_metrics(const http_request& request, const http_responder& respond) {
    if (request.path == "/healthz") {
        respond({200, "ok\n", "text/plain", {}});
        return true;
    }
    if (request.path == "/readyz") {
        const bool ready = m_node.ready();
        respond({ready ? 200 : 503, ready ? "ready\n" : "not ready\n", "text/plain", {}});
        return true;
    }
    if (request.path == "/metrics") {
        respond({200, m_node.counters().text(), "text/plain; version=0.0.4", {}});
        return true;
    }
    return false;
}

void caller_api::submit(const http_request& request, const std::string& service,
                        const http_responder& respond) {
    const auto started = now();
    if (!m_node.config_current())
        return respond(not_run_response(503, "this node can't confirm that its configuration is current",
                                        stale_config_retry_ms));
    const auto config = m_node.config();
    const auto* doc = config->service(service);
    const auto key = bearer_key(request);
    const auto key_team = key.empty() ? std::nullopt : config->team_of(digest(key));
    if (!key_team && (doc == nullptr || !doc->open || !key.empty()))
        return respond(problem(401, "no valid key", "a valid key is required in Authorization: Bearer"));
    if (doc == nullptr)
        return respond(problem(404, "unknown service", "no service named " + service));
    if (!doc->open && *key_team != doc->team)
        return respond(
            problem(403, "not the team's key", "only team " + doc->team + " may use this service"));
    if (doc->kind == work_kind::service)
        return respond(problem(409, "not a queue",
                               "the document of a service sets its replicas; it accepts no requests"));
    const auto deadline = parse_deadline(request, doc->deadline);
    if (!deadline)
        return respond(problem(400, "bad deadline", last_reason()));

    caller_request submission;
    submission.team = doc->team;
    submission.service = doc;
    submission.body = request.body;
    submission.deadline = *deadline;
    submission.request_id = request.header("idempotency-key");
    const bool direct = doc->kind == work_kind::request && doc->idempotent;
    if (submission.request_id.empty() && direct)
        submission.request_id = std::to_string(random_bits());
    if (!is_valid_id(submission.request_id))
        return respond(
            problem(400, "bad request id",
                    "Idempotency-Key is required: 1 to 200 letters, digits, '-', '_', '.' or ':'"));
    if (!key_team || *key_team != doc->team)
        submission.request_id = keyless_id_prefix + submission.request_id;
    if (doc->kind != work_kind::request) {
        const auto tasks = parse_job_body(request.body, submission.body);
        if (!tasks)
            return respond(problem(400, "bad job", last_reason()));
        submission.tasks = *tasks;
    }
    const auto answered = [this, respond, started, service](const pb::answer& answer) {
        auto response = to_response(answer);
        const auto took = std::chrono::duration<double>(now() - started).count();
        m_node.counters().observe("request_seconds", took, {{"service", service}});
        m_node.counters().count("requests_total",
                                {{"service", service}, {"outcome", response.headers["Medlar-Outcome"]}});
        log_event(log_level::debug, "answered",
                  {{"request_id", answer.request_id()}, {"outcome", response.headers["Medlar-Outcome"]}});
        respond(std::move(response));
    };
    if (direct)
        m_node.run_direct(submission, answered);
    else
        m_node.submit(submission, answered);
}

void caller_api::get_or_cancel(const http_request& request, const std::string& id,
                               const http_responder& respond) {
    if (!m_node.config_current())
        return respond(
            problem(503, "not current", "this node can't confirm that its configuration is current"));
    const auto config = m_node.config();
    const auto key = bearer_key(request);
    auto team = key.empty() ? std::nullopt : config->team_of(digest(key));
    auto full_id = id;
    const auto service = request.parameter("service");
    const auto* doc = service.empty() ? nullptr : config->service(service);
    if (doc != nullptr && doc->open && team != doc->team) {
        team = doc->team;
        full_id = keyless_id_prefix + id;
    }
    if (!team)
        return respond(problem(401, "no valid key", "a valid key is required in Authorization: Bearer"));
    const auto answered = [respond](const pb::answer& answer) { respond(to_response(answer)); };
    if (request.method == "DELETE")
        m_node.cancel(*team, full_id, answered);
    else
        m_node.ask(*team, full_id, answered);
}

} // namespace medlarhub
