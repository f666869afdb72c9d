#include "cell/layout_keeper.h"

#include "log.h"

#include "medlarhub/reason.h"

#include <utility>

namespace medlarhub {

namespace {

constexpr auto layout_key = "/cell/layout";

} // namespace

bool layout_keeper::refresh() {
    const auto rows = m_rows.read(layout_key);
    if (!rows)
        return false;
    if (rows->empty())
        return true;
    auto layout = parse_layout(rows->front().value);
    if (!layout) {
        if (std::exchange(m_unreadable, rows->front().version) != rows->front().version)
            log_event(log_level::error, "layout_unreadable", {{"reason", last_reason()}});
        return false;
    }
    m_layout = std::move(*layout);
    m_version = rows->front().version;
    return true;
}

bool layout_keeper::replace(const cell_layout& next) {
    const auto condition = m_version == 0 ? write_condition::absent : write_condition::version;
    const auto result = m_rows.transact({{layout_key, to_text(next), condition, m_version, false}});
    if (result.outcome != write_outcome::committed) {
        set_reason("the layout was not replaced");
        return false;
    }
    m_layout = next;
    m_version = result.version;
    return true;
}

} // namespace medlarhub
