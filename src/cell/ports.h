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

/// What operators declared, as a node holds it.
struct declarations {
    std::shared_ptr<const cell_config> config;
    std::set<std::string> drained_data_centres;
};

/// Where declarations come from. One thread reads it.
class declaration_source {
public:
    declaration_source() = default;
    declaration_source(const declaration_source&) = delete;
    declaration_source& operator=(const declaration_source&) = delete;
    virtual ~declaration_source() = default;

    /// The declarations now in force; waits up to `longest` for a change unless it is the first call. Empty,
    /// with the reason, when the source can't be reached.
    [[nodiscard]] virtual std::optional<declarations> next(milliseconds longest) = 0;
};

/// Where the list of live targets comes from. One thread reads it.
class target_source {
public:
    target_source() = default;
    target_source(const target_source&) = delete;
    target_source& operator=(const target_source&) = delete;
    virtual ~target_source() = default;

    /// As `declaration_source::next`, for all targets of all services.
    [[nodiscard]] virtual std::optional<std::vector<target_entry>> next(milliseconds longest) = 0;
};

/// Commands to targets. Each call answers once, from any thread.
class target_port {
public:
    target_port() = default;
    target_port(const target_port&) = delete;
    target_port& operator=(const target_port&) = delete;
    virtual ~target_port() = default;

    virtual void send(const start_stop_command& order, milliseconds timeout,
                      std::function<void(command_outcome)> done) = 0;
    virtual void poll(const target_poll_command& order, milliseconds timeout,
                      std::function<void(poll_result)> done) = 0;
};

struct advice_reply {
    std::vector<advice_ticket> good;
    milliseconds valid{0};
};

/// The service that names the targets that may run a step.
class advice_port {
public:
    advice_port() = default;
    advice_port(const advice_port&) = delete;
    advice_port& operator=(const advice_port&) = delete;
    virtual ~advice_port() = default;

    /// `done` gets nothing when the service gave no answer.
    virtual void ask(const std::string& step, const std::vector<std::string>& targets, milliseconds timeout,
                     std::function<void(std::optional<advice_reply>)> done) = 0;
};

/// All that a cell node reaches beside its peers.
struct cell_ports {
    std::unique_ptr<table> rows;
    std::unique_ptr<declaration_source> declared;
    std::unique_ptr<target_source> targets;
    std::unique_ptr<target_port> orders;
    std::unique_ptr<advice_port> advice;
};

} // namespace medlarhub
