#pragma once

#include "jobs/engine.h"

#include "medlarhub/platform.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarhub {

/// The operators' configuration and drains, as held by a node.
struct declarations {
    std::shared_ptr<const cell_config> config;
    std::set<std::string> drained_data_centres;
};

/// Source of the declarations. Used by a single thread.
class declaration_source {
public:
    declaration_source() = default;
    declaration_source(const declaration_source&) = delete;
    declaration_source& operator=(const declaration_source&) = delete;
    virtual ~declaration_source() = default;

    /// Returns the current declarations; except on the first call, waits up to `longest` for a change.
    /// Returns nothing, with the reason, if the source can't be reached.
    [[nodiscard]] virtual std::optional<declarations> next(milliseconds longest) = 0;
};

/// Source of the list of live targets. Used by a single thread.
class target_source {
public:
    target_source() = default;
    target_source(const target_source&) = delete;
    target_source& operator=(const target_source&) = delete;
    virtual ~target_source() = default;

    /// Like `declaration_source::next`, for the targets of all services.
    [[nodiscard]] virtual std::optional<std::vector<target_entry>> next(milliseconds longest) = 0;
};

/// Sends commands to targets. Each call that has a `done` invokes it exactly once, from any thread.
class target_port {
public:
    target_port() = default;
    target_port(const target_port&) = delete;
    target_port& operator=(const target_port&) = delete;
    virtual ~target_port() = default;

    virtual void send(const start_stop_command& command, milliseconds timeout,
                      std::function<void(command_reply)> done) = 0;
    virtual void poll(const target_poll_command& command, milliseconds timeout,
                      std::function<void(poll_result)> done) = 0;
    /// Takes back a start that still waits to be sent; its `done` then gets `withdrawn`. A start that was
    /// sent isn't affected. A port without a queue has nothing to withdraw.
    virtual void withdraw(const start_id& /*start*/) {}
};

struct advice_reply {
    std::vector<advice_ticket> good;
    milliseconds valid_for{0};
};

/// The platform's advice service, which names the targets that may run a step.
class advice_port {
public:
    advice_port() = default;
    advice_port(const advice_port&) = delete;
    advice_port& operator=(const advice_port&) = delete;
    virtual ~advice_port() = default;

    /// Passes nothing to `done` if the service didn't respond.
    virtual void ask(const std::string& step, const std::vector<std::string>& targets, milliseconds timeout,
                     std::function<void(std::optional<advice_reply>)> done) = 0;
};

/// The external services of a cell node, other than its peers.
struct cell_ports {
    std::unique_ptr<table> rows;
    std::unique_ptr<declaration_source> declared;
    std::unique_ptr<target_source> targets;
    std::unique_ptr<target_port> commands;
    std::unique_ptr<advice_port> advice;
};

} // namespace medlarhub
