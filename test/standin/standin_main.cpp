#include "http/server.h"
#include "standin/memory_platform.h"
#include "standin/target_model.h"

#include "medlarhub/hash.h"
#include "medlarhub/reason.h"

#include <CLI/CLI.hpp>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace medlarhub::standin {

namespace {

using nlohmann::json;

http_response ok(const json& body) {
    return {200, body.dump(), "application/json", {}};
}

std::int64_t number(const http_request& request, const std::string& name) {
    const auto text = request.parameter(name);
    return text.empty() ? 0 : std::stoll(text);
}

/// Runs jobs at their due times, on one thread.
class timer {
public:
    timer() : m_thread{[this] { work(); }} {}
    ~timer() {
        {
            const std::lock_guard lock{m_mutex};
            m_stopping = true;
        }
        m_wake.notify_all();
        m_thread.join();
    }
    timer(const timer&) = delete;
    timer& operator=(const timer&) = delete;

    void run_at(instant when, std::function<void()> job) {
        {
            const std::lock_guard lock{m_mutex};
            m_jobs.emplace(when, std::move(job));
        }
        m_wake.notify_all();
    }

private:
    void work() {
        std::unique_lock lock{m_mutex};
        while (!m_stopping) {
            if (m_jobs.empty() || m_jobs.begin()->first > now()) {
                const auto wait = m_jobs.empty() ? milliseconds{1000} : m_jobs.begin()->first - now();
                m_wake.wait_for(lock, wait);
                continue;
            }
            const auto job = std::move(m_jobs.begin()->second);
            m_jobs.erase(m_jobs.begin());
            lock.unlock();
            job();
            lock.lock();
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::multimap<instant, std::function<void()>> m_jobs;
    bool m_stopping = false;
    std::thread m_thread;
};

/// A token bucket with a burst of one second; the platform, too, refuses operations above its rate.
class rate_limit {
public:
    explicit rate_limit(double per_second) : m_rate{per_second}, m_tokens{per_second} {}

    bool try_take() {
        const std::lock_guard lock{m_mutex};
        const auto at = now();
        m_tokens = std::min(m_rate, m_tokens + m_rate * static_cast<double>((at - m_filled).count()) / 1000);
        m_filled = at;
        if (m_tokens < 1)
            return false;
        m_tokens -= 1;
        return true;
    }

private:
    std::mutex m_mutex;
    double m_rate;
    double m_tokens;
    instant m_filled = now();
};

class platform_server {
public:
    platform_server(double writes, double reads, milliseconds lag)
        : m_writes{writes}, m_reads{reads}, m_lag{lag} {}

    std::optional<std::string> start(const std::string& address) {
        return m_server.start(address, 64 << 20, [this](http_request request, const http_responder& respond) {
            const milliseconds delay{m_delay_ms.load()};
            if (request.path == "/v1/switch")
                return respond(set_mode(request));
            if (m_unresponsive)
                return;
            if (delay == milliseconds{0})
                return respond(serve(request));
            m_timer.run_at(now() + delay, [this, request, respond] { respond(serve(request)); });
        });
    }

private:
    http_response set_mode(const http_request& request) {
        const auto mode = request.parameter("mode");
        m_delay_ms = number(request, "delay_ms");
        m_unresponsive = mode == "silent";
        const auto set = mode == "down"   ? platform_mode::down
                         : mode == "lose" ? platform_mode::drop_response
                                          : platform_mode::up;
        m_table.set_mode(set);
        m_objects.set_mode(set);
        m_list_down = mode == "down";
        return ok({{"mode", mode}});
    }

    http_response serve(const http_request& request) {
        if (request.path == "/v1/transact")
            return transact(request);
        if (request.path == "/v1/row")
            return rows(m_table.read(request.parameter("key")));
        if (request.path == "/v1/rows")
            return rows(m_table.list(request.parameter("prefix"), request.parameter("after"),
                                     static_cast<int>(number(request, "limit"))));
        if (request.path == "/v1/vms")
            return vms(request);
        if (request.path == "/v1/counts")
            return ok({{"writes", m_table.writes()}, {"reads", m_table.reads()}});
        const auto path = path_segments(request.path);
        if (path.size() == 3 && path[1] == "objects")
            return object(request, path[2]);
        return problem(404, "not found", request.path);
    }

    http_response transact(const http_request& request) {
        if (!m_writes.try_take())
            return problem(503, "over capacity", "too many writes");
        std::vector<table_write> writes;
        const auto body = json::parse(request.body);
        for (const auto& item : body["writes"]) {
            table_write write;
            write.key = item.value("key", "");
            write.value = base64_decode(item.value("value", "")).value_or("");
            write.remove = item.value("remove", false);
            if (item.value("if_absent", false))
                write.condition = write_condition::absent;
            if (item.contains("if_version")) {
                write.condition = write_condition::version;
                write.version = item["if_version"].get<std::int64_t>();
            }
            writes.push_back(std::move(write));
        }
        const auto result = m_table.transact(writes);
        switch (result.outcome) {
        case write_outcome::committed:
            return ok({{"version", result.version}});
        case write_outcome::conflict:
            return problem(409, "conflict", "a condition doesn't hold");
        case write_outcome::unavailable:
            break;
        }
        return problem(503, "out", last_reason());
    }

    http_response rows(const std::optional<std::vector<table_row>>& found) {
        if (!m_reads.try_take() || !found)
            return problem(503, "out", found ? "too many reads" : last_reason());
        json listed = json::array();
        for (const auto& row : *found)
            listed.push_back(
                {{"key", row.key}, {"value", base64_encode(row.value)}, {"version", row.version}});
        return ok({{"rows", listed}});
    }

    http_response object(const http_request& request, const std::string& name) {
        if (request.method == "PUT")
            return m_objects.put(name, request.body) ? ok(json::object())
                                                     : problem(503, "out", last_reason());
        auto found = m_objects.get(name);
        if (!found)
            return problem(503, "out", last_reason());
        if (!found->found)
            return problem(404, "not found", name);
        return {200, std::move(found->bytes), "application/octet-stream", {}};
    }

    http_response vms(const http_request& request) {
        const std::lock_guard lock{m_mutex};
        if (request.method == "PUT") {
            m_timer.run_at(now() + m_lag, [this, body = request.body] {
                const std::lock_guard later{m_mutex};
                m_vms = body;
            });
            return ok(json::object());
        }
        if (m_list_down)
            return problem(503, "out", "the VM list is unavailable");
        return {200, m_vms, "application/json", {}};
    }

    memory_table m_table;
    memory_object_store m_objects;
    rate_limit m_writes;
    rate_limit m_reads;
    milliseconds m_lag;
    std::atomic<std::int64_t> m_delay_ms{0};
    std::atomic<bool> m_unresponsive{false};
    std::atomic<bool> m_list_down{false};
    std::mutex m_mutex;
    std::string m_vms = "[]";
    timer m_timer;
    http_server m_server;
};

class target_server {
public:
    target_server(const vm_info& info, timer& shared_timer)
        : m_model{info, new_incarnation()}, m_timer{shared_timer} {}

    std::optional<std::string> start(const std::string& address) {
        return m_server.start(address, 16 << 20, [this](http_request request, const http_responder& respond) {
            if (request.path == "/v1/switch")
                return respond(set_mode(request));
            if (m_frozen)
                return;
            const milliseconds delay{m_delay_ms.load()};
            if (delay == milliseconds{0})
                return serve(request, respond);
            m_timer.run_at(now() + delay, [this, request, respond] { serve(request, respond); });
        });
    }

private:
    struct pending_poll {
        std::uint64_t since = 0;
        http_request request;
        http_responder respond;
    };

    static std::string new_incarnation() { return std::to_string(random_bits()); }

    static target_authority authority(const http_request& request) {
        return {static_cast<int>(number(request, "partition")),
                static_cast<std::uint64_t>(number(request, "epoch"))};
    }

    http_response set_mode(const http_request& request) {
        const auto mode = request.parameter("mode");
        m_delay_ms = number(request, "delay_ms");
        m_frozen = mode == "freeze";
        const std::lock_guard lock{m_mutex};
        m_model.set_fail_all_starts(mode == "fail_all");
        if (mode == "restart")
            m_model.restart(new_incarnation());
        return ok({{"mode", mode}});
    }

    void serve(const http_request& request, const http_responder& respond) {
        const auto path = path_segments(request.path);
        if (request.path == "/v1/poll")
            return poll(request, respond);
        if (request.path == "/v1/executions")
            return respond(executions());
        if (path.size() == 4 && path[1] == "tasks" && path[3] == "settle")
            return respond(settle(request, path[2]));
        if (path.size() == 3 && path[1] == "tasks" && request.method == "DELETE")
            return respond(stop(request, path[2]));
        if (path.size() == 3 && path[1] == "tasks" && request.method == "POST")
            return start_task(request, path[2], respond);
        respond(problem(404, "not found", request.path));
    }

    http_response answer(const std::string& id, const target_model::start_result& from) const {
        http_response response{200, from.result, "application/octet-stream", {}};
        response.headers = {{"Medlar-Task", url_encode(id)},
                            {"Medlar-Outcome", from.outcome},
                            {"Medlar-Boot", m_model.incarnation()},
                            {"Medlar-Version", std::to_string(from.version)}};
        return response;
    }

    void start_task(const http_request& request, const std::string& id, const http_responder& respond) {
        start_command command;
        command.task_id = id;
        command.need = {number(request, "cpu_milli"), number(request, "memory_mb"),
                        number(request, "accelerators")};
        command.lease = milliseconds{number(request, "lease_ms")};
        command.direct = request.parameter("direct") == "true";
        command.incarnation = request.parameter("boot");
        command.body = request.body;
        milliseconds run{number(request, "run_ms")};
        bool fails = false;
        const auto body = json::parse(request.body, nullptr, false);
        if (body.is_object()) {
            run = milliseconds{body.value("run_ms", run.count())};
            fails = body.value("fail", false);
        }
        const std::unique_lock lock{m_mutex};
        const auto result = m_model.start(now(), authority(request), command, run, fails);
        schedule();
        if (result.outcome != "running" || number(request, "wait_ms") == 0) {
            respond(answer(id, result));
            m_model.forget_direct(id);
            answer_changed_polls();
            return;
        }
        m_starts.emplace(id, respond);
        answer_changed_polls();
        m_timer.run_at(now() + milliseconds{number(request, "wait_ms")}, [this, id] {
            const std::lock_guard later{m_mutex};
            finish_starts(id);
        });
    }

    /// Responds to the calls that wait for a task's result, with its current outcome.
    void finish_starts(const std::string& id) {
        const auto known = m_model.outcome(id);
        auto [it, last] = m_starts.equal_range(id);
        for (; it != last; it = m_starts.erase(it))
            it->second(
                answer(id, known.value_or(target_model::start_result{"stopped", {}, m_model.version()})));
        m_model.forget_direct(id);
    }

    void schedule() {
        const auto next = m_model.next_event();
        if (!next || (m_scheduled && *m_scheduled <= *next && *m_scheduled > now()))
            return;
        m_scheduled = next;
        m_timer.run_at(*next, [this] {
            const std::lock_guard lock{m_mutex};
            m_scheduled.reset();
            m_model.advance(now());
            std::vector<std::string> ended;
            for (const auto& [id, respond] : m_starts) {
                const auto known = m_model.outcome(id);
                if (!known || known->outcome != "running")
                    ended.push_back(id);
            }
            for (const auto& id : ended)
                finish_starts(id);
            answer_changed_polls();
            schedule();
        });
    }

    void poll(const http_request& request, const http_responder& respond) {
        const std::lock_guard lock{m_mutex};
        const auto since = static_cast<std::uint64_t>(number(request, "since"));
        const auto wait = milliseconds{number(request, "wait_ms")};
        auto made = inventory(request, true);
        if (made.status != 200 || since != m_model.version() || wait == milliseconds{0})
            return respond(made);
        const auto id = ++m_last_poll;
        m_polls.emplace(id, pending_poll{since, request, respond});
        m_timer.run_at(now() + wait, [this, id] {
            const std::lock_guard later{m_mutex};
            const auto found = m_polls.find(id);
            if (found == m_polls.end())
                return;
            found->second.respond(inventory(found->second.request, false));
            m_polls.erase(found);
        });
    }

    void answer_changed_polls() {
        for (auto it = m_polls.begin(); it != m_polls.end();) {
            if (it->second.since == m_model.version()) {
                ++it;
                continue;
            }
            it->second.respond(inventory(it->second.request, false));
            it = m_polls.erase(it);
        }
    }

    http_response inventory(const http_request& request, bool take_acknowledged) {
        const auto body = json::parse(request.body, nullptr, false);
        std::vector<std::string> acknowledged;
        if (take_acknowledged && body.contains("acknowledged"))
            acknowledged = body["acknowledged"].get<std::vector<std::string>>();
        const auto seen = m_model.poll(now(), authority(request), body.value("renew", false), acknowledged);
        if (!seen)
            return problem(409, "fenced", "a later epoch owns this target");
        schedule();
        json tasks = json::array();
        for (const auto& item : seen->items) {
            const char* state = item.state == run_state::running  ? "running"
                                : item.state == run_state::done   ? "done"
                                : item.state == run_state::failed ? "failed"
                                                                  : "stopped";
            tasks.push_back({{"id", item.id},
                             {"epoch", item.epoch},
                             {"state", state},
                             {"direct", item.direct},
                             {"result", base64_encode(item.result)},
                             {"cpu_milli", item.need.cpu_milli},
                             {"memory_mb", item.need.memory_mb},
                             {"accelerators", item.need.accelerators},
                             {"used_memory_mb", item.memory_mb}});
        }
        return ok({{"boot", seen->incarnation}, {"version", seen->version}, {"tasks", tasks}});
    }

    http_response settle(const http_request& request, const std::string& id) {
        const std::lock_guard lock{m_mutex};
        return answer(id, m_model.settle(now(), authority(request), id));
    }

    http_response stop(const http_request& request, const std::string& id) {
        const std::lock_guard lock{m_mutex};
        const auto stopped = m_model.stop(now(), authority(request), id);
        answer_changed_polls();
        const char* outcome = !stopped ? "fenced" : *stopped ? "stopped" : "ended";
        return answer(id, {outcome, {}, m_model.version()});
    }

    http_response executions() {
        const std::lock_guard lock{m_mutex};
        json listed = json::object();
        for (const auto& [id, times] : m_model.executions())
            listed[id] = times;
        return ok({{"executions", listed}, {"running", m_model.running_ids()}});
    }

    std::mutex m_mutex;
    target_model m_model;
    timer& m_timer;
    std::atomic<std::int64_t> m_delay_ms{0};
    std::atomic<bool> m_frozen{false};
    std::multimap<std::string, http_responder> m_starts;
    std::map<std::uint64_t, pending_poll> m_polls;
    std::uint64_t m_last_poll = 0;
    std::optional<instant> m_scheduled;
    http_server m_server;
};

void wait_for_signal() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
    std::_Exit(0);
}

} // namespace

} // namespace medlarhub::standin

int main(int argc, char** argv) {
    using namespace medlarhub;
    using namespace medlarhub::standin;
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    set_http_threads(4);

    CLI::App app{"Stand-ins for the platform and for targets"};
    app.require_subcommand(1);
    std::string listen;
    double writes = 400;
    double reads = 2000;
    std::int64_t lag_ms = 0;
    auto* platform = app.add_subcommand("platform", "Table, object store and VM list");
    platform->add_option("--listen", listen)->required();
    platform->add_option("--writes", writes);
    platform->add_option("--reads", reads);
    platform->add_option("--lag-ms", lag_ms);
    auto* target = app.add_subcommand("target", "One or more targets, on consecutive ports");
    vm_info info;
    info.capacity = {32'000, 65'536, 0};
    info.slots = 8;
    int count = 1;
    target->add_option("--listen", listen)->required();
    target->add_option("--id", info.id)->required();
    target->add_option("--cpu-milli", info.capacity.cpu_milli);
    target->add_option("--memory-mb", info.capacity.memory_mb);
    target->add_option("--accelerators", info.capacity.accelerators);
    target->add_option("--slots", info.slots);
    target->add_option("--count", count);
    CLI11_PARSE(app, argc, argv);

    if (platform->parsed()) {
        platform_server server{writes, reads, milliseconds{lag_ms}};
        if (!server.start(listen)) {
            std::cerr << last_reason() << "\n";
            return 1;
        }
        wait_for_signal();
    }
    timer shared_timer;
    std::vector<std::unique_ptr<target_server>> servers;
    const auto colon = listen.rfind(':');
    const auto first_port = std::stoi(listen.substr(colon + 1));
    for (int i = 0; i < count; ++i) {
        auto numbered = info;
        if (count > 1)
            numbered.id += std::to_string(i);
        servers.push_back(std::make_unique<target_server>(numbered, shared_timer));
        if (!servers.back()->start(listen.substr(0, colon + 1) + std::to_string(first_port + i))) {
            std::cerr << last_reason() << "\n";
            return 1;
        }
    }
    wait_for_signal();
}
