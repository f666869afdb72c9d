#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace medlarhub {

/// What a partition's row tells later owners of targets that don't answer: when the leases of the runs there
/// end, by the table's clock. An owner requests no lease at a target while the row may name it, so that what
/// the row says stays true whenever another owner reads it.
class silent_targets {
public:
    /// Sets what the row says that earlier owners wrote.
    void restore(std::map<std::string, std::int64_t> leases_end_ms);
    void add(const std::string& target, std::int64_t leases_end_ms);
    /// The target has answered.
    void remove(const std::string& target);
    /// Removes the targets that aren't the partition's any more.
    void keep_only(const std::set<std::string>& targets);

    [[nodiscard]] bool contains(const std::string& target) const { return m_wanted.contains(target); }
    /// Whether the row names the target, or may come to name it by a write that was handed out.
    [[nodiscard]] bool may_be_recorded(const std::string& target) const;
    [[nodiscard]] const std::map<std::string, std::int64_t>& leases_end_ms() const { return m_wanted; }

    [[nodiscard]] bool write_due() const { return m_wanted != m_handed_out; }
    /// Hands the row out for writing.
    [[nodiscard]] std::string take_row();
    /// The row that was handed out is written.
    void row_written() { m_written = m_handed_out; }

private:
    std::map<std::string, std::int64_t> m_wanted;
    std::map<std::string, std::int64_t> m_handed_out; ///< content of the last write, done or not
    std::map<std::string, std::int64_t> m_written;    ///< content of the last write that is done
};

} // namespace medlarhub
