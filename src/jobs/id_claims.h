#pragma once

#include "medlarhub/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace medlarhub {

/// The ids of jobs that a partition, as their arbiter, gave to other partitions. A claim lasts until its
/// partition doesn't know the job any more, and in any case for `retention` after it was last used, so that a
/// submission on its way to that partition still finds it. Performs no I/O; not thread-safe.
class id_claims {
public:
    struct row {
        std::string job;
        std::optional<int> partition; ///< none: the row is removed
    };

    explicit id_claims(milliseconds retention) : m_retention{retention} {}

    void restore(instant at, const std::map<std::string, int>& recorded);
    /// Returns the partition that has the id; nothing if none has it.
    [[nodiscard]] std::optional<int> holder(const std::string& job) const;
    /// Gives the id to the partition, unless one has it already, and returns the one that has it.
    int claim(instant at, const std::string& job, int partition);
    /// Whether the claim is written.
    [[nodiscard]] bool durable(const std::string& job) const;
    [[nodiscard]] std::size_t size() const { return m_claims.size(); }

    [[nodiscard]] bool write_due() const { return !m_to_write.empty(); }
    /// Rows to write next, at most `most`; only one set is being written at a time.
    [[nodiscard]] std::vector<row> take_rows(std::size_t most);
    void rows_written();

    struct check {
        std::string job;
        int partition = 0;
    };
    /// Claims that weren't used for `retention`: their partitions are to be asked whether they know the job.
    [[nodiscard]] std::vector<check> take_due_checks(instant at);
    /// Takes the answer to a check. A claim that was used since is kept.
    void handle_check(instant at, const std::string& job, bool known);

private:
    struct entry {
        int partition = 0;
        instant used{};
        bool handed_out = false; ///< for writing
        bool durable = false;
        bool removed = false; ///< its row is to be removed
    };

    milliseconds m_retention;
    std::map<std::string, entry> m_claims;
    std::deque<std::string> m_to_write;
    std::vector<std::string> m_writing;
    /// When each claim may be checked, in order of time; entries of claims that were used since are stale.
    std::deque<std::pair<instant, std::string>> m_checks;
};

} // namespace medlarhub
