#pragma once

#include "standin/target_model.h"

#include "medlarhub/partition.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace medlarhub::testing {

/// A deterministic model of one partition for fault injection: its journal, successive owners, targets and
/// the messages between them. A step may deliver messages late and out of order, or lose responses. Uses no
/// threads and no real clock.
class fault_world {
public:
    struct options {
        int targets = 2;
        int slots = 2;
        // Each mechanism can be turned off to show that the checks fail without it.
        bool fencing = true;            ///< off: targets accept any epoch
        bool incarnation_check = true;  ///< off: a restarted target accepts starts for its old incarnation
        bool settle_lost_starts = true; ///< off: a start without a response is treated as one that never ran
    };

    fault_world(options given, std::uint64_t seed);

    /// Performs one action selected by `choice`.
    void step(std::uint32_t choice);
    /// Starts a new owner, removes all others and delivers every message, until all work should have ended.
    void stop_faults();

    /// Returns the first violation found; empty when there is none.
    [[nodiscard]] std::string violation() const;
    /// After `heal`: returns accepted work that has not ended as required.
    [[nodiscard]] std::string unfinished() const;
    [[nodiscard]] const std::vector<std::string>& trace() const { return m_trace; }

private:
    struct row {
        int writer = 0;
        std::vector<pb::record> records;
    };

    struct owner {
        int id = 0;
        std::unique_ptr<partition> core;
        std::size_t next = 0;          ///< journal sequence of its next write
        std::vector<pb::record> group; ///< records being written
        bool deposed = false;
    };

    struct message {
        enum class kind { start, start_answer, poll, poll_answer, stop, stop_answer, settle };
        kind type = kind::start;
        int from = 0; ///< owner
        std::string target;
        task_ref task;
        std::uint64_t epoch = 0;
        start_command command;
        start_answer answer;
        std::optional<target_inventory> inventory;
        std::vector<std::string> acknowledged;
        std::uint64_t asked = 0;
        bool stopped = false;
    };

    void log(std::string line) { m_trace.push_back(std::move(line)); }
    void take_over();
    void submit(owner& to, std::uint32_t choice);
    void write(owner& by, bool answer_lost);
    void flush(owner& by);
    void poll(owner& by);
    void deliver(std::size_t index, bool answer_lost);
    void answer(const message& about, message reply, bool lost);
    owner* find(int id);
    standin::target_model& model(const std::string& name);
    void record_answers(owner& by);
    void check_invariants();

    options m_options;
    std::mt19937 m_random;
    instant m_now{milliseconds{1'000'000}};
    std::vector<row> m_journal;
    std::deque<owner> m_owners;
    std::vector<standin::target_model> m_targets;
    std::vector<message> m_messages;
    int m_last_owner = 0;
    int m_submitted = 0;
    int m_restarts = 0;
    config_state m_config;
    std::map<std::string, pb::job> m_accepted; ///< reported to the caller as accepted
    std::set<std::string> m_not_run;           ///< reported as not run
    std::map<std::string, std::string> m_done; ///< reported as done, with the result
    std::string m_violation;
    std::vector<std::string> m_trace;
};

} // namespace medlarhub::testing
