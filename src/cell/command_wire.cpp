#include "cell/command_wire.h"

#include "medlarhub/reason.h"

namespace medlarhub {

pb::target_command to_wire(const start_stop_command& order, milliseconds timeout) {
    pb::target_command command;
    const bool start = order.kind == command_kind::start;
    command.set_what(start ? pb::target_command::start : pb::target_command::stop);
    command.set_target(order.target);
    command.set_address(order.address);
    command.set_fence(order.fence);
    command.set_timeout_ms(timeout.count());
    command.set_task(order.task.to_string());
    command.set_run(order.run);
    if (!start)
        return command;
    command.set_body(order.body);
    command.set_saved(order.saved);
    command.set_ticket(order.ticket);
    command.set_deadline_ms(order.deadline_ms);
    return command;
}

pb::target_command to_wire(const target_poll_command& order, milliseconds timeout) {
    pb::target_command command;
    command.set_what(pb::target_command::poll);
    command.set_target(order.target);
    command.set_address(order.address);
    command.set_fence(order.fence);
    command.set_timeout_ms(timeout.count());
    if (order.deadline_ms)
        command.set_deadline_ms(*order.deadline_ms);
    command.set_acked_upto(order.acked_upto);
    command.set_wait_ms(order.wait.count());
    return command;
}

pb::command_result to_wire(command_outcome outcome) {
    pb::command_result result;
    result.set_outcome(static_cast<int>(outcome));
    return result;
}

pb::command_result to_wire(const poll_result& result) {
    auto wire = to_wire(result.outcome);
    wire.set_clock_ms(result.clock_ms);
    wire.set_born_ms(result.born_ms);
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

std::optional<start_stop_command> order_from_wire(const pb::target_command& command) {
    const auto task = parse_task_name(command.task());
    if (!task)
        return fail("no task is named " + command.task());
    start_stop_command order;
    order.kind = command.what() == pb::target_command::start ? command_kind::start : command_kind::stop;
    order.target = command.target();
    order.address = command.address();
    order.task = *task;
    order.run = command.run();
    order.fence = command.fence();
    order.body = command.body();
    order.saved = command.saved();
    order.ticket = command.ticket();
    order.deadline_ms = command.deadline_ms();
    return order;
}

target_poll_command poll_from_wire(const pb::target_command& command) {
    target_poll_command order;
    order.target = command.target();
    order.address = command.address();
    order.fence = command.fence();
    order.acked_upto = command.acked_upto();
    if (command.has_deadline_ms())
        order.deadline_ms = command.deadline_ms();
    order.wait = milliseconds{command.wait_ms()};
    return order;
}

command_outcome outcome_from_wire(const pb::command_result& result) {
    constexpr auto last = static_cast<int>(command_outcome::lost);
    if (result.outcome() < 0 || result.outcome() > last)
        return command_outcome::lost;
    return static_cast<command_outcome>(result.outcome());
}

poll_result result_from_wire(const pb::command_result& wire) {
    poll_result result;
    result.outcome = outcome_from_wire(wire);
    result.clock_ms = wire.clock_ms();
    result.born_ms = wire.born_ms();
    for (const auto& run : wire.running())
        result.running.push_back({run.task(), run.run(), run.saved(), run.usage()});
    constexpr auto last = static_cast<int>(end_kind::gang_incomplete);
    for (const auto& end : wire.ended()) {
        if (end.how() < 0 || end.how() > last) {
            result.outcome =
                command_outcome::lost; // its ends can't be told apart, so that none is acknowledged
            return result;
        }
        result.ended.push_back(
            {end.number(), end.task(), end.run(), static_cast<end_kind>(end.how()), end.saved()});
    }
    return result;
}

pb::advice_call to_wire(const advice_request& question, milliseconds timeout) {
    pb::advice_call call;
    call.set_step(question.step);
    for (const auto& target : question.targets)
        call.add_targets(target);
    call.set_timeout_ms(timeout.count());
    return call;
}

pb::advice_answer to_wire(const std::optional<advice_reply>& reply) {
    pb::advice_answer answer;
    answer.set_answered(reply.has_value());
    if (!reply)
        return answer;
    answer.set_valid_ms(reply->valid.count());
    for (const auto& each : reply->good) {
        auto& to = *answer.add_good();
        to.set_target(each.target);
        to.set_text(each.text);
    }
    return answer;
}

std::optional<advice_reply> reply_from_wire(const pb::advice_answer& answer) {
    if (!answer.answered())
        return fail("the advice service gave the other node no answer");
    advice_reply reply;
    reply.valid = milliseconds{answer.valid_ms()};
    for (const auto& each : answer.good())
        reply.good.push_back({each.target(), each.text()});
    return reply;
}

} // namespace medlarhub
