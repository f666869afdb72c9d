#include "targets/http_targets.h"

#include "http/server.h"

#include "medlarhub/hash.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace medlarhub {

namespace {

using nlohmann::json;

std::string authority_query(const target_authority& authority) {
    return "?partition=" + std::to_string(authority.partition) + "&epoch=" + std::to_string(authority.epoch);
}

std::string header(const http_result& result, const std::string& name) {
    const auto found = result.headers.find(name);
    return found == result.headers.end() ? std::string{} : found->second;
}

std::uint64_t to_number(const std::string& text) {
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// Parses the response to a start or settle call. A response that doesn't name the task counts as lost: the
/// outcome is unknown.
start_answer read_answer(const std::string& task_id, http_result result) {
    start_answer answer;
    answer.reason = result.reason;
    if (result.delivery == http_delivery::not_sent) {
        answer.outcome = start_outcome::refused;
        return answer;
    }
    if (result.delivery != http_delivery::answered || header(result, "medlar-task") != url_encode(task_id)) {
        answer.outcome = start_outcome::lost;
        return answer;
    }
    const auto outcome = header(result, "medlar-outcome");
    answer.version = to_number(header(result, "medlar-version"));
    answer.incarnation = header(result, "medlar-boot");
    answer.result = std::move(result.body);
    if (outcome == "done")
        answer.outcome = start_outcome::done;
    else if (outcome == "running")
        answer.outcome = start_outcome::running;
    else if (outcome == "failed")
        answer.outcome = start_outcome::failed;
    else if (outcome == "refused" || outcome == "fenced" || outcome == "never")
        answer.outcome = start_outcome::refused;
    if (answer.outcome == start_outcome::refused)
        answer.reason = outcome + ": " + answer.result;
    return answer;
}

/// Targets refuse with status 200, so only here is a refusal known. It says nothing about the earlier sends
/// of a start that the library repeated.
start_answer read_start_answer(const std::string& task_id, http_result result) {
    const bool repeated = result.sends > 1;
    auto answer = read_answer(task_id, std::move(result));
    if (repeated && answer.outcome == start_outcome::refused)
        answer.outcome = start_outcome::lost;
    return answer;
}

run_state state_of(const std::string& text) {
    if (text == "done")
        return run_state::done;
    if (text == "failed")
        return run_state::failed;
    return text == "stopped" ? run_state::stopped : run_state::running;
}

poll_answer read_inventory(const vm_info& target, const http_result& result) {
    constexpr int conflict_status = 409;
    poll_answer answer;
    if (result.delivery == http_delivery::answered && result.status == conflict_status)
        answer.outcome = poll_outcome::fenced;
    if (!result.ok())
        return answer;
    const auto body = json::parse(result.body, nullptr, false);
    if (!body.is_object() || !body.contains("tasks"))
        return answer;
    answer.outcome = poll_outcome::answered;
    answer.inventory.target = target.id;
    answer.inventory.incarnation = body.value("boot", "");
    answer.inventory.version = body.value("version", std::uint64_t{0});
    for (const auto& task : body["tasks"]) {
        inventory_item item;
        item.id = task.value("id", "");
        item.epoch = task.value("epoch", std::uint64_t{0});
        item.state = state_of(task.value("state", "running"));
        item.direct = task.value("direct", false);
        item.result = base64_decode(task.value("result", "")).value_or("");
        item.need.cpu_milli = task.value("cpu_milli", std::int64_t{0});
        item.need.memory_mb = task.value("memory_mb", std::int64_t{0});
        item.need.accelerators = task.value("accelerators", std::int64_t{0});
        item.memory_mb = task.value("used_memory_mb", std::int64_t{0});
        answer.inventory.items.push_back(std::move(item));
    }
    return answer;
}

class http_targets final : public target_client {
public:
    http_targets(http_client& client, milliseconds timeout) : m_client{client}, m_timeout{timeout} {}

    void start(const vm_info& target, const target_authority& authority, const start_command& command,
               std::function<void(start_answer)> done) override {
        const auto query =
            authority_query(authority) + "&cpu_milli=" + std::to_string(command.need.cpu_milli) +
            "&memory_mb=" + std::to_string(command.need.memory_mb) +
            "&accelerators=" + std::to_string(command.need.accelerators) +
            "&run_ms=" + std::to_string(command.run_time.count()) +
            "&lease_ms=" + std::to_string(command.lease.count()) +
            "&wait_ms=" + std::to_string(command.wait.count()) +
            "&direct=" + (command.direct ? "true" : "false") + "&boot=" + url_encode(command.incarnation);
        m_client.send(url(target),
                      {.method = "POST",
                       .path = task_path(command.task_id) + query,
                       .headers = {},
                       .body = command.body,
                       .timeout = command.timeout},
                      [id = command.task_id, done = std::move(done)](http_result result) {
                          done(read_start_answer(id, std::move(result)));
                      });
    }

    void poll(const vm_info& target, const target_authority& authority, const poll_command& command,
              std::function<void(poll_answer)> done) override {
        const json body{{"renew", command.renew}, {"acknowledged", command.acknowledged}};
        m_client.send(url(target),
                      {.method = "POST",
                       .path = "/v1/poll" + authority_query(authority) +
                               "&since=" + std::to_string(command.since) +
                               "&wait_ms=" + std::to_string(command.wait.count()),
                       .headers = {},
                       .body = body.dump(),
                       .content_type = "application/json",
                       .timeout = command.wait + m_timeout},
                      [target, done = std::move(done)](const http_result& result) {
                          done(read_inventory(target, result));
                      });
    }

    void stop(const vm_info& target, const target_authority& authority, const std::string& task_id,
              std::function<void(bool)> done) override {
        m_client.send(url(target),
                      {.method = "DELETE",
                       .path = task_path(task_id) + authority_query(authority),
                       .headers = {},
                       .body = {},
                       .timeout = m_timeout},
                      [done = std::move(done)](const http_result& result) {
                          done(result.ok() && header(result, "medlar-outcome") == "stopped");
                      });
    }

    void settle(const vm_info& target, const target_authority& authority, const std::string& task_id,
                std::function<void(start_answer)> done) override {
        m_client.send(url(target),
                      {.method = "POST",
                       .path = task_path(task_id) + "/settle" + authority_query(authority),
                       .headers = {},
                       .body = {},
                       .timeout = m_timeout},
                      [task_id, done = std::move(done)](http_result result) {
                          // A settle call that never reached the target says nothing about the start: not
                          // refused, but unknown.
                          if (result.delivery == http_delivery::not_sent)
                              result.delivery = http_delivery::unknown;
                          done(read_answer(task_id, std::move(result)));
                      });
    }

private:
    static std::string url(const vm_info& target) { return "http://" + target.address; }
    static std::string task_path(const std::string& id) { return "/v1/tasks/" + url_encode(id); }

    http_client& m_client;
    milliseconds m_timeout;
};

} // namespace

std::unique_ptr<target_client> make_http_targets(http_client& client, milliseconds timeout) {
    return std::make_unique<http_targets>(client, timeout);
}

} // namespace medlarhub
