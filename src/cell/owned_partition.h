#pragma once

#include "cell/cell_layout.h"
#include "cell/ports.h"
#include "metrics.h"

#include "jobs.pb.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarhub {

/// How often the node calls `owned_partition::tick`.
constexpr milliseconds tick_period{25};

using job_callback = std::function<void(pb::job_answer)>;

enum class partition_status { taking, active, releasing, closed };

struct owned_partition_options {
    int number = 0;
    int partitions = 1; ///< of the cell
    std::string owner;  ///< this node and its incarnation
    std::string peer_address;
    milliseconds longest_lease{6000}; ///< that targets keep
};

/// What an owned partition reaches.
struct partition_environment {
    table* rows = nullptr;
    target_port* orders = nullptr;
    metrics* counters = nullptr;
    /// Has a question asked by some node; answers once.
    std::function<void(const advice_request&, std::function<void(std::optional<advice_reply>)>)> ask;
    /// Whether the table is out for the other nodes too, so that nobody can have taken the partition.
    std::function<bool()> shared_outage;
    /// Tells the owners of other partitions what was passed on to them.
    std::function<void(const std::vector<target_transfer>&)> announce;
};

/// A partition that this node owns or is about to: the engine with its table rows, its targets and the
/// callers that wait. Safe from any thread.
class owned_partition {
public:
    owned_partition(owned_partition_options options, partition_environment environment);
    ~owned_partition();
    owned_partition(const owned_partition&) = delete;
    owned_partition& operator=(const owned_partition&) = delete;

    void start();
    /// Writes what is decided and gives the partition up; waits for it, at most `longest`.
    void release(milliseconds longest);
    /// Ends the thread; the partition stays as it is in the table.
    void join();

    void set_declarations(const declarations& declared);
    /// All targets of the cell and how it is divided.
    void set_targets(std::shared_ptr<const cell_layout> layout,
                     std::shared_ptr<const std::vector<target_entry>> targets);
    /// Those of them that the partition has.
    [[nodiscard]] std::vector<target_entry> targets() const;
    void learn_tenures(const std::map<std::string, target_tenure>& tenures);
    /// What it lacks, if work waits for room.
    [[nodiscard]] std::optional<capacity_shortage> shortage() const;
    /// Passes empty targets on to a partition with that shortage. False while this node doesn't own the
    /// partition.
    [[nodiscard]] bool transfer_targets(const pb::target_request& request, pb::target_promise& promise);
    /// How another partition is loaded, for the alert about work that waits beside room.
    void note_load(int partition, const cpu_load& load);
    /// The nodes through which the advice service may be asked.
    void set_advice_relays(const std::vector<std::string>& nodes);
    void call(const pb::job_call& call, job_callback done);
    void tick();

    /// Closes it: another node owns the partition by now.
    void depose(std::string_view reason);

    [[nodiscard]] partition_status status() const;
    /// Whether the table gives this node no answer, so that another node would be the better owner.
    [[nodiscard]] bool troubled() const;
    [[nodiscard]] std::uint64_t epoch() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

pb::job_answer make_job_answer(pb::job_answer::outcome outcome, std::string_view reason,
                               milliseconds retry_after);

} // namespace medlarhub
