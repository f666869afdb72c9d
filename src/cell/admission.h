#pragma once

#include "jobs/cell_config.h"
#include "jobs/engine_messages.h"

#include "jobs.pb.h"

#include <string>
#include <string_view>

namespace medlarhub {

/// Returns the queue of that host whose path prefix is the longest match for `path`; null if none matches.
const queue_policy* find_queue(const cell_config& config, std::string_view host, std::string_view path);

/// Returns the team that the API key belongs to; null if there is none. Compares the digests of all teams,
/// each in constant time, so that the duration doesn't tell which one matched.
const team_policy* find_team(const cell_config& config, const std::string& key);

/// Fills in who makes the call, by which key, on which queue; `team` is null for a caller without a team.
void set_caller(pb::job_call& call, const queue_policy& queue, const team_policy* team,
                const std::string& key);

// What names a job is its id, whatever the queue; whose it is depends on the caller that submitted it. A team
// is compared as it is at the time of each call: a key that was given to another team acts for that team
// only. A job that was submitted without a team belongs to nobody, and to all callers of its queue.

/// Whether a submission under the id of that job is a repetition of the job's own submission, so far as
/// callers can be told apart: the key may have got or lost its team between the two.
bool may_repeat(const pb::job_call& call, const job_origin& job);

/// Whether the caller may read and cancel the job: it is the caller's, or the caller needs no key for its
/// queue.
bool may_access(const pb::job_call& call, const job_origin& job);

} // namespace medlarhub
