#pragma once

#include "medlarhub/partition.h"
#include "medlarhub/time.h"

#include <functional>
#include <string>
#include <vector>

namespace medlarhub {

/// Under whose authority a command goes to a target; a target refuses an epoch below one it has seen.
struct target_authority {
    int partition = 0;
    std::uint64_t epoch = 0;
};

struct start_command {
    std::string task_id;
    std::string incarnation; ///< of the target as the owner knows it; a target that restarted since refuses
    resources need;
    milliseconds run_time{0}; ///< declared; a target may use it to plan
    milliseconds lease{0};
    milliseconds wait{0}; ///< how long the target holds the call for the task's result
    bool direct = false;  ///< leaves nothing behind at the target once answered
    std::string body;
    milliseconds timeout{0};
};

struct poll_command {
    std::uint64_t since = 0; ///< the answer comes at once when the target's inventory is newer
    milliseconds wait{0};
    bool renew = true; ///< extends the leases of this partition's tasks
    std::vector<std::string> acknowledged;
};

enum class poll_outcome { answered, fenced, lost };

struct poll_answer {
    poll_outcome outcome = poll_outcome::lost;
    target_inventory inventory;
};

/// A target, as docs/platform.md states its contract. Each call answers once through its callback.
class target_client {
public:
    target_client() = default;
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;
    virtual ~target_client() = default;

    virtual void start(const vm_info& target, const target_authority& authority, const start_command& command,
                       std::function<void(start_answer)> done) = 0;
    /// Claims the target for the authority's epoch, renews leases and reads the inventory.
    virtual void poll(const vm_info& target, const target_authority& authority, const poll_command& command,
                      std::function<void(poll_answer)> done) = 0;
    /// True when the task is known to be stopped.
    virtual void stop(const vm_info& target, const target_authority& authority, const std::string& task_id,
                      std::function<void(bool)> done) = 0;
    /// What became of a start whose answer was lost. A target that never saw it makes sure that it never
    /// runs, and answers `refused`.
    virtual void settle(const vm_info& target, const target_authority& authority, const std::string& task_id,
                        std::function<void(start_answer)> done) = 0;
};

} // namespace medlarhub
