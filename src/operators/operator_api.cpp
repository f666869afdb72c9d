#include "operators/operator_api.h"

#include "callers/caller_api.h"
#include "log.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace medlarhub {

namespace {

using nlohmann::json;

constexpr std::size_t max_queued = 100;
constexpr std::size_t min_digest_prefix = 8;
constexpr int default_limit = 100;
constexpr int max_limit = 1000;

http_response ok(const json& body) {
    return {200, body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n", "application/json", {}};
}

std::optional<std::int64_t> parse_number(const std::string& text) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < 0)
        return fail("expected a non-negative integer, got \"" + text + "\"");
    return value;
}

int limit_of(const http_request& request) {
    const auto asked = parse_number(request.parameter("limit"));
    return asked ? static_cast<int>(std::clamp<std::int64_t>(*asked, 1, max_limit)) : default_limit;
}

json audit_entry(const pb::config_change& change) {
    return {{"revision", change.revision()}, {"at_ms", change.at_ms()},         {"who", change.who()},
            {"what", describe(change)},      {"from", change.put().revision()}, {"to", change.revision()}};
}

json job_entry(const pb::job& item) {
    int open = 0;
    int running = 0;
    for (const auto& task : item.tasks()) {
        open += is_terminal(task.state()) ? 0 : 1;
        running += task.state() == pb::task::placed || task.state() == pb::task::running ? 1 : 0;
    }
    return {{"team", item.team()},
            {"request_id", item.request_id()},
            {"service", item.service()},
            {"tasks", item.tasks_size()},
            {"open", open},
            {"on_targets", running},
            {"cancelled", item.cancelled()},
            {"submitted_ms", item.submitted_ms()}};
}

const char* member_state(pb::member::phase state) {
    switch (state) {
    case pb::member::alive:
        return "alive";
    case pb::member::suspect:
        return "suspect";
    case pb::member::dead:
        return "dead";
    default:
        return "left";
    }
}

std::string target_state(const target_view& target) {
    if (!target.listed)
        return "gone";
    if (target.info.leaving)
        return "leaving";
    if (target.drained)
        return "drained";
    if (target.unresponsive)
        return "silent";
    if (target.ejected)
        return "ejected";
    return target.confirmed ? "in service" : "unclaimed";
}

json status_body(const node_status& status) {
    json members = json::array();
    for (const auto& member : status.members)
        members.push_back({{"node", member.id()},
                           {"peer", member.peer_address()},
                           {"data_centre", member.data_centre()},
                           {"state", member_state(member.state())}});
    json partitions = json::array();
    for (const auto& summary : status.partitions)
        partitions.push_back({{"partition", summary.partition()},
                              {"owner", summary.owner()},
                              {"epoch", summary.epoch()},
                              {"free_cpu_milli", summary.free_cpu_milli()},
                              {"free_slots", summary.free_slots()},
                              {"wait_ms", summary.wait_ms()}});
    json targets = json::array();
    for (const auto& [partition, views] : status.targets) {
        for (const auto& view : views) {
            targets.push_back({{"target", view.info.id},
                               {"partition", partition},
                               {"data_centre", view.info.data_centre},
                               {"rack", view.info.rack},
                               {"state", target_state(view)},
                               {"slots", view.info.slots},
                               {"slots_held", view.slots_held},
                               {"cpu_milli_held", view.held.cpu_milli}});
        }
    }
    json owned = json::object();
    for (const auto& [partition, counts] : status.owned)
        owned[std::to_string(partition)] = counts;
    json teams = json::array();
    for (const auto& [partition, holdings] : status.teams) {
        for (const auto& [team, holding] : holdings) {
            json entry{{"team", team}, {"partition", partition}, {"cpu_milli_held", holding.held_cpu_milli}};
            if (holding.allotted_cpu_milli)
                entry["cpu_milli_allotted"] = *holding.allotted_cpu_milli;
            teams.push_back(std::move(entry));
        }
    }
    return {{"teams", teams},
            {"node", status.node},
            {"data_centre", status.data_centre},
            {"ready", status.ready},
            {"config_current", status.config_current},
            {"config_revision", status.config_revision},
            {"store_age_ms", status.store_age.count()},
            {"store_down", status.store_down},
            {"members", members},
            {"partitions", partitions},
            {"owned", owned},
            {"targets", targets},
            {"unassigned_targets", status.unassigned_targets},
            {"drains", status.drains}};
}

} // namespace

class operator_api::impl {
public:
    explicit impl(node& served) : m_node{served}, m_worker{[this] { run_worker(); }} {}

    ~impl() {
        {
            const std::lock_guard lock{m_mutex};
            m_stopping = true;
        }
        m_wake.notify_all();
        m_worker.join();
    }

    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    std::optional<std::string> operator_of(const http_request& request) const {
        const auto key_digest = digest(bearer_key(request));
        std::optional<std::string> found;
        for (const auto& [name, expected] : m_node.options().operators) {
            if (same_digest(expected, key_digest))
                found = name;
        }
        return found;
    }

    void enqueue(std::function<void()> job, const http_responder& respond) {
        {
            const std::lock_guard lock{m_mutex};
            if (m_jobs.size() < max_queued) {
                m_jobs.push_back(std::move(job));
                m_wake.notify_one();
                return;
            }
        }
        respond(problem(503, "busy", "too many operator requests are waiting"));
    }

    http_response serve(const http_request& request, const std::vector<std::string>& path,
                        const std::string& who) {
        const auto& kind = path[2];
        if (kind == "documents")
            return documents(request, path, who);
        if (kind == "keys")
            return keys(request, path, who);
        if (kind == "drains" && path.size() == 5)
            return drains(request, path, who);
        if (request.method != "GET")
            return problem(405, "method not allowed", "only GET is supported for this path");
        if (kind == "status")
            return ok(status_body(m_node.status()));
        if (kind == "audit")
            return audit(request);
        if (kind == "jobs")
            return jobs(request);
        return problem(404, "not found", "no operator endpoint has this path");
    }

private:
    void run_worker() {
        std::unique_lock lock{m_mutex};
        while (!m_stopping) {
            m_wake.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
            if (m_stopping)
                return;
            const auto job = std::move(m_jobs.front());
            m_jobs.pop_front();
            lock.unlock();
            job();
            lock.lock();
        }
    }

    http_response change_response(const node::change_result& result, json body = json::object()) {
        constexpr int conflict = 409;
        constexpr int invalid = 422;
        constexpr int unavailable = 503;
        if (!result.applied) {
            if (result.maybe_applied)
                return problem(unavailable, "unknown",
                               "the table gave no answer; the change may have been recorded: " +
                                   result.reason);
            const bool is_conflict = result.reason.starts_with("conflict");
            const bool store = result.revision == 0 && result.reason.find("no answer") != std::string::npos;
            if (store)
                return problem(unavailable, "not changed", result.reason);
            return problem(is_conflict ? conflict : invalid, is_conflict ? "conflict" : "refused",
                           result.reason);
        }
        body["revision"] = result.revision;
        body["in_force"] = result.in_force;
        auto response = ok(body);
        if (!result.in_force)
            response.status = 202;
        return response;
    }

    http_response documents(const http_request& request, const std::vector<std::string>& path,
                            const std::string& who) {
        std::optional<std::int64_t> expected;
        if (!request.parameter("expected").empty()) {
            expected = parse_number(request.parameter("expected"));
            if (!expected)
                return problem(400, "bad revision", last_reason());
        }
        if (request.method == "PUT" && path.size() == 3)
            return put_document(request, who, expected);
        if (request.method == "GET" && path.size() == 3)
            return list_documents();
        if (path.size() != 5)
            return problem(404, "not found", "the path of a document is documents/KIND/NAME");
        if (request.method == "GET") {
            const auto found = m_node.config()->find(path[3], path[4]);
            if (!found)
                return problem(404, "not found", last_reason());
            return ok({{"kind", found->kind()},
                       {"name", found->name()},
                       {"revision", found->revision()},
                       {"text", found->text()}});
        }
        if (request.method == "DELETE") {
            pb::config_change change;
            change.mutable_remove()->set_kind(path[3]);
            change.mutable_remove()->set_name(path[4]);
            return change_response(m_node.change(std::move(change), who, expected));
        }
        return problem(405, "method not allowed", "only GET, PUT and DELETE are supported for this path");
    }

    http_response put_document(const http_request& request, const std::string& who,
                               std::optional<std::int64_t> expected) {
        std::vector<ini_error> errors;
        const auto identity = check_document("document", request.body, errors);
        if (!identity) {
            json listed = json::array();
            for (const auto& error : errors)
                listed.push_back({{"line", error.line}, {"key", error.key}, {"expected", error.expected}});
            auto response = problem(422, "invalid document", errors.front().to_string());
            auto body = json::parse(response.body);
            body["errors"] = listed;
            response.body = body.dump();
            return response;
        }
        pb::config_change change;
        change.mutable_put()->set_kind(identity->kind);
        change.mutable_put()->set_name(identity->name);
        change.mutable_put()->set_text(request.body);
        return change_response(m_node.change(std::move(change), who, expected),
                               {{"kind", identity->kind}, {"name", identity->name}});
    }

    http_response list_documents() {
        const auto config = m_node.config();
        json listed = json::array();
        const auto snapshot = config->to_snapshot();
        for (const auto& document : snapshot.documents())
            listed.push_back(
                {{"kind", document.kind()}, {"name", document.name()}, {"revision", document.revision()}});
        return ok({{"revision", config->revision()}, {"documents", listed}});
    }

    http_response keys(const http_request& request, const std::vector<std::string>& path,
                       const std::string& who) {
        if (request.method == "GET" && path.size() == 3) {
            json listed = json::array();
            for (const auto& [key_digest, info] : m_node.config()->keys())
                listed.push_back({{"digest", key_digest}, {"team", info.team}, {"label", info.label}});
            return ok({{"keys", listed}});
        }
        if (request.method == "POST" && path.size() == 3)
            return grant(request, who);
        if (request.method == "DELETE" && path.size() == 4)
            return withdraw(path[3], who);
        return problem(405, "method not allowed", "only GET, POST and DELETE are supported for this path");
    }

    http_response grant(const http_request& request, const std::string& who) {
        const auto body = json::parse(request.body, nullptr, false);
        if (!body.is_object() || !body.contains("team") || !body["team"].is_string())
            return problem(400, "bad grant",
                           "the body must be a JSON object with \"team\" and optionally \"label\"");
        const auto key = new_key();
        if (!key)
            return problem(500, "no key", last_reason());
        pb::config_change change;
        change.mutable_grant()->set_digest(digest(*key));
        change.mutable_grant()->set_team(body["team"].get<std::string>());
        change.mutable_grant()->set_label(body.value("label", ""));
        const auto key_digest = change.grant().digest();
        return change_response(m_node.change(std::move(change), who, {}),
                               {{"key", *key}, {"digest", key_digest}});
    }

    http_response withdraw(const std::string& prefix, const std::string& who) {
        std::vector<std::string> matches;
        for (const auto& [key_digest, info] : m_node.config()->keys()) {
            if (key_digest.starts_with(prefix))
                matches.push_back(key_digest);
        }
        if (prefix.size() < min_digest_prefix || matches.size() != 1)
            return problem(404, "not found",
                           "expected the first 8 or more digits of the digest of exactly one key");
        pb::config_change change;
        change.mutable_withdraw()->set_digest(matches.front());
        return change_response(m_node.change(std::move(change), who, {}), {{"digest", matches.front()}});
    }

    http_response drains(const http_request& request, const std::vector<std::string>& path,
                         const std::string& who) {
        if (request.method != "PUT" && request.method != "DELETE")
            return problem(405, "method not allowed",
                           "only PUT (drain) and DELETE (restore) are supported for this path");
        pb::config_change change;
        change.mutable_set_drain()->set_scope(path[3]);
        change.mutable_set_drain()->set_name(path[4]);
        change.mutable_set_drain()->set_drained(request.method == "PUT");
        return change_response(m_node.change(std::move(change), who, {}),
                               {{"scope", path[3]}, {"name", path[4]}});
    }

    http_response audit(const http_request& request) {
        const auto after = parse_number(request.parameter("after")).value_or(0);
        const auto changes = m_node.audit(after, limit_of(request));
        if (!changes)
            return problem(503, "no answer", last_reason());
        json listed = json::array();
        for (const auto& change : *changes)
            listed.push_back(audit_entry(change));
        return ok({{"changes", listed}});
    }

    http_response jobs(const http_request& request) {
        json listed = json::array();
        for (const auto& item : m_node.jobs(request.parameter("team"), limit_of(request)))
            listed.push_back(job_entry(item));
        return ok({{"jobs", listed}});
    }

    node& m_node;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::deque<std::function<void()>> m_jobs;
    bool m_stopping = false;
    std::thread m_worker;
};

operator_api::operator_api(node& served) : m_impl{std::make_unique<impl>(served)} {}
operator_api::~operator_api() = default;

bool operator_api::handle(const http_request& request, const http_responder& respond) {
    const auto path = path_segments(request.path);
    if (path.size() < 3 || path[0] != "v1" || path[1] != "operator")
        return false;
    const auto who = m_impl->operator_of(request);
    if (!who) {
        respond(
            problem(401, "not an operator", "the Authorization: Bearer header must hold an operator's key"));
        return true;
    }
    m_impl->enqueue([this, request, path, who, respond] { respond(m_impl->serve(request, path, *who)); },
                    respond);
    return true;
}

} // namespace medlarhub
