#pragma once

#include "cell/call_router.h"
#include "cell/cell_layout.h"

#include <memory>

namespace medlarhub {

/// Sends a submission to the partition that stores the job, or already stores it: its home, unless the
/// arbiter says that another partition has the id. The arbiter is asked separately if it isn't the home
/// itself. Invokes `done` exactly once, at the latest when the call's timeout expires.
void submit_once(const std::shared_ptr<call_router>& router, pb::job_call call, const job_places& places,
                 job_callback done);

} // namespace medlarhub
