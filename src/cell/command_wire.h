#pragma once

#include "cell/ports.h"
#include "jobs/engine.h"

#include "jobs.pb.h"

namespace medlarhub {

// Conversions of target commands, advice requests and their results to and from the messages between nodes.

pb::target_command to_wire(const start_stop_command& command, milliseconds timeout);
pb::target_command to_wire(const target_poll_command& command, milliseconds timeout);
pb::command_result to_wire(const command_reply& reply);
pb::command_result to_wire(const poll_result& result);

pb::start_withdrawal to_wire(const start_id& start);

/// Returns nothing, with the reason, if the task name is malformed.
std::optional<start_stop_command> command_from_wire(const pb::target_command& wire);
std::optional<start_id> start_from_wire(const pb::start_withdrawal& wire);
target_poll_command poll_from_wire(const pb::target_command& wire);
/// Maps an unknown value, sent by a later release, to an unknown outcome.
command_reply reply_from_wire(const pb::command_result& result);
poll_result result_from_wire(const pb::command_result& wire);

pb::advice_call to_wire(const advice_request& request, milliseconds timeout);
/// An empty reply means that the advice service didn't respond.
pb::advice_answer to_wire(const std::optional<advice_reply>& reply);
std::optional<advice_reply> reply_from_wire(const pb::advice_answer& answer);

} // namespace medlarhub
