#pragma once

#include "cell/cell_layout.h"

#include "medlarhub/platform.h"

namespace medlarhub {

/// Reads and writes the layout's row in the table. A write is conditional on the version that was read last
/// (optimistic locking), so if two nodes extend the layout concurrently, one of them fails and reads again.
/// Calls block; not thread-safe.
class layout_keeper {
public:
    explicit layout_keeper(table& rows) : m_rows{rows} {}

    /// Reads the row. Returns false, with the reason, and keeps the last known layout if the table doesn't
    /// answer or the row is malformed.
    bool refresh();
    /// Replaces the layout that was read last. Returns false if another node changed it first or the outcome
    /// is unknown.
    bool replace(const cell_layout& next);

    [[nodiscard]] const cell_layout& layout() const { return m_layout; }
    [[nodiscard]] std::int64_t version() const { return m_version; }

private:
    table& m_rows;
    cell_layout m_layout;
    std::int64_t m_version = 0;    ///< 0: the row doesn't exist
    std::int64_t m_unreadable = 0; ///< last version that was malformed, already logged
};

} // namespace medlarhub
