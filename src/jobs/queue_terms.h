#pragma once

#include "jobs/cell_config.h"

#include "jobs.pb.h"

#include <memory>

namespace medlarhub {

/// The terms under which a queue accepts jobs now, to be recorded with each of them.
pb::queue_terms terms_of(const queue_policy& queue);
/// The policy of the queue of a job, as recorded with the job.
queue_policy policy_from(const pb::job_spec& spec);

/// Returns `next` with the queues and teams of `known` that it lacks. A configuration without a queue takes
/// no more jobs for it, but those accepted before keep its terms, and the limit of a removed team still
/// holds.
std::shared_ptr<const cell_config> with_removed_policies(const cell_config& next, const cell_config& known);

} // namespace medlarhub
