#pragma once

#include "cell/cell_layout.h"

#include "medlarhub/platform.h"

namespace medlarhub {

/// The layout's row in the table. Whoever changes it does so on the version read last, so that of two nodes
/// that extend it at a time one reads again. Calls block; one thread at a time.
class layout_keeper {
public:
    explicit layout_keeper(table& rows) : m_rows{rows} {}

    /// Reads the row. False, with the reason, when there was no answer or the row can't be read: what was
    /// known before stays.
    bool refresh();
    /// Writes `next` in place of what was read last. False when another node was first or nothing is known.
    bool replace(const cell_layout& next);

    [[nodiscard]] const cell_layout& layout() const { return m_layout; }
    [[nodiscard]] std::int64_t version() const { return m_version; }

private:
    table& m_rows;
    cell_layout m_layout;
    std::int64_t m_version = 0;    ///< 0: there is no row
    std::int64_t m_unreadable = 0; ///< version of the last row that could not be read
};

} // namespace medlarhub
