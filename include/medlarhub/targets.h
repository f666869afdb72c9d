#pragma once

#include "medlarhub/partition.h"
#include "medlarhub/time.h"

#include <functional>
#include <string>
#include <vector>

namespace medlarhub {

/// The fencing token of a command: a target refuses epochs below the highest one it has seen.
struct target_authority {
    int partition = 0;
    std::uint64_t epoch = 0;
};

struct start_command {
    std::string task_id;
    std::string incarnation; ///< expected incarnation of the target; it refuses if it restarted since
    resources need;
    milliseconds run_time{0}; ///< declared run time; a target may use it for planning
    milliseconds lease{0};
    milliseconds wait{0}; ///< how long the target delays its response to wait for the task's result
    bool direct = false;  ///< the target discards the task once it has responded
    std::string body;
    milliseconds timeout{0};
};

struct poll_command {
    std::uint64_t since = 0; ///< the target responds immediately when its inventory is newer than this
    milliseconds wait{0};
    bool renew = true; ///< extends the leases of this partition's tasks
    std::vector<std::string> acknowledged;
};

/// `lost`: there was no response.
enum class poll_outcome { answered, fenced, lost };

struct poll_answer {
    poll_outcome outcome = poll_outcome::lost;
    target_inventory inventory;
};

/// Client of the target API specified in docs/platform.md. Each call invokes its callback exactly once.
class target_client {
public:
    target_client() = default;
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;
    virtual ~target_client() = default;

    virtual void start(const vm_info& target, const target_authority& authority, const start_command& command,
                       std::function<void(start_answer)> done) = 0;
    /// Fences the target against epochs below the authority's, renews leases and reads the inventory.
    virtual void poll(const vm_info& target, const target_authority& authority, const poll_command& command,
                      std::function<void(poll_answer)> done) = 0;
    /// True when the task is known to be stopped.
    virtual void stop(const vm_info& target, const target_authority& authority, const std::string& task_id,
                      std::function<void(bool)> done) = 0;
    /// Queries the outcome of a start that got no response. A target that never received the start ensures
    /// that it never runs, and responds with `refused`.
    virtual void settle(const vm_info& target, const target_authority& authority, const std::string& task_id,
                        std::function<void(start_answer)> done) = 0;
};

} // namespace medlarhub
