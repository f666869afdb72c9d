#pragma once

#include "cell/ports.h"
#include "jobs/engine.h"

#include "jobs.pb.h"

namespace medlarhub {

// Commands to targets and questions to the advice service, with what came of them, as nodes pass them to each
// other.

pb::target_command to_wire(const start_stop_command& order, milliseconds timeout);
pb::target_command to_wire(const target_poll_command& order, milliseconds timeout);
pb::command_result to_wire(command_outcome outcome);
pb::command_result to_wire(const poll_result& result);

/// Empty, with the reason, when its task can't be read.
std::optional<start_stop_command> order_from_wire(const pb::target_command& command);
target_poll_command poll_from_wire(const pb::target_command& command);
/// A number that isn't known here, from a later release, is taken as an answer that was lost.
command_outcome outcome_from_wire(const pb::command_result& result);
poll_result result_from_wire(const pb::command_result& result);

pb::advice_call to_wire(const advice_request& question, milliseconds timeout);
/// Nothing stands for a service that gave no answer.
pb::advice_answer to_wire(const std::optional<advice_reply>& reply);
std::optional<advice_reply> reply_from_wire(const pb::advice_answer& answer);

} // namespace medlarhub
