#include "cell/command_wire.h"

#include "medlarhub/reason.h"

#include <algorithm>

namespace medlarhub {

pb::target_command to_wire(const start_stop_command& command, milliseconds timeout) {
    pb::target_command wire;
    const bool start = command.kind == command_kind::start;
    wire.set_what(start ? pb::target_command::start : pb::target_command::stop);
    wire.set_target(command.target);
    wire.set_address(command.address);
    wire.set_fence(command.fence);
    wire.set_timeout_ms(timeout.count());
    wire.set_task(command.task.to_string());
    wire.set_run(command.run);
    wire.set_queue_ms(command.queue_time.count());
    if (!start)
        return wire;
    wire.set_body(command.body);
    wire.set_saved(command.saved);
    wire.set_ticket(command.ticket);
    wire.set_deadline_ms(command.deadline_ms);
    return wire;
}

pb::target_command to_wire(const target_poll_command& command, milliseconds timeout) {
    pb::target_command wire;
    wire.set_what(pb::target_command::poll);
    wire.set_target(command.target);
    wire.set_address(command.address);
    wire.set_fence(command.fence);
    wire.set_timeout_ms(timeout.count());
    if (command.deadline_ms)
        wire.set_deadline_ms(*command.deadline_ms);
    wire.set_acked_upto(command.acked_upto);
    wire.set_wait_ms(command.wait.count());
    return wire;
}

pb::command_result to_wire(const command_reply& reply) {
    pb::command_result result;
    result.set_outcome(static_cast<int>(reply.outcome));
    result.set_clock_ms(reply.clock_ms.value_or(0));
    result.set_queued_ms(reply.queued.count());
    return result;
}

pb::command_result to_wire(const poll_result& result) {
    auto wire = to_wire(command_reply{result.outcome, result.clock_ms});
    wire.set_born_ms(result.born_ms);
    wire.set_complete(result.complete);
    for (const auto& run : result.running) {
        auto& to = *wire.add_running();
        to.set_task(run.task);
        to.set_run(run.run);
        to.set_saved(run.saved);
        to.set_usage(run.usage);
    }
    for (const auto& end : result.ended) {
        auto& to = *wire.add_ended();
        to.set_number(end.number);
        to.set_task(end.task);
        to.set_run(end.run);
        to.set_how(static_cast<int>(end.how));
        to.set_saved(end.saved);
    }
    return wire;
}

std::optional<start_stop_command> command_from_wire(const pb::target_command& wire) {
    const auto task = parse_task_name(wire.task());
    if (!task)
        return fail("invalid task name: " + wire.task());
    start_stop_command command;
    command.kind = wire.what() == pb::target_command::start ? command_kind::start : command_kind::stop;
    command.target = wire.target();
    command.address = wire.address();
    command.task = *task;
    command.run = wire.run();
    command.fence = wire.fence();
    if (wire.has_queue_ms())
        command.queue_time = std::min(milliseconds{wire.queue_ms()}, max_queue_time);
    command.body = wire.body();
    command.saved = wire.saved();
    command.ticket = wire.ticket();
    command.deadline_ms = wire.deadline_ms();
    return command;
}

pb::start_withdrawal to_wire(const start_id& start) {
    pb::start_withdrawal wire;
    wire.set_target(start.target);
    wire.set_task(start.task.to_string());
    wire.set_run(start.run);
    return wire;
}

std::optional<start_id> start_from_wire(const pb::start_withdrawal& wire) {
    const auto task = parse_task_name(wire.task());
    if (!task)
        return fail("invalid task name: " + wire.task());
    return start_id{wire.target(), *task, wire.run()};
}

target_poll_command poll_from_wire(const pb::target_command& wire) {
    target_poll_command command;
    command.target = wire.target();
    command.address = wire.address();
    command.fence = wire.fence();
    command.acked_upto = wire.acked_upto();
    if (wire.has_deadline_ms())
        command.deadline_ms = wire.deadline_ms();
    command.wait = milliseconds{wire.wait_ms()};
    return command;
}

command_reply reply_from_wire(const pb::command_result& result) {
    constexpr auto last = static_cast<int>(command_outcome::withdrawn);
    command_reply reply;
    if (result.outcome() >= 0 && result.outcome() <= last)
        reply.outcome = static_cast<command_outcome>(result.outcome());
    if (result.clock_ms() > 0)
        reply.clock_ms = result.clock_ms();
    reply.queued = milliseconds{result.queued_ms()};
    return reply;
}

poll_result result_from_wire(const pb::command_result& wire) {
    poll_result result;
    result.outcome = reply_from_wire(wire).outcome;
    result.clock_ms = wire.clock_ms();
    result.born_ms = wire.born_ms();
    result.complete = wire.complete();
    for (const auto& run : wire.running())
        result.running.push_back({run.task(), run.run(), run.saved(), run.usage()});
    constexpr auto last = static_cast<int>(end_kind::gang_incomplete);
    for (const auto& end : wire.ended()) {
        if (end.how() < 0 || end.how() > last) {
            result.outcome =
                command_outcome::lost; // the ends can't be interpreted, so none may be acknowledged
            return result;
        }
        result.ended.push_back(
            {end.number(), end.task(), end.run(), static_cast<end_kind>(end.how()), end.saved()});
    }
    return result;
}

pb::advice_call to_wire(const advice_request& request, milliseconds timeout) {
    pb::advice_call call;
    call.set_step(request.step);
    for (const auto& target : request.targets)
        call.add_targets(target);
    call.set_timeout_ms(timeout.count());
    return call;
}

pb::advice_answer to_wire(const std::optional<advice_reply>& reply) {
    pb::advice_answer answer;
    answer.set_answered(reply.has_value());
    if (!reply)
        return answer;
    answer.set_valid_ms(reply->valid_for.count());
    for (const auto& each : reply->good) {
        auto& to = *answer.add_good();
        to.set_target(each.target);
        to.set_text(each.text);
    }
    return answer;
}

std::optional<advice_reply> reply_from_wire(const pb::advice_answer& answer) {
    if (!answer.answered())
        return fail("the advice service gave the relaying node no answer");
    advice_reply reply;
    reply.valid_for = milliseconds{answer.valid_ms()};
    for (const auto& each : answer.good())
        reply.good.push_back({each.target(), each.text()});
    return reply;
}

} // namespace medlarhub
