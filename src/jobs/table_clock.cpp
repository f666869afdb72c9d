#include "jobs/table_clock.h"

#include "jobs/target_table.h"

#include <algorithm>

namespace medlarhub {

instant table_clock_reading::reached_by(std::int64_t value_ms) const {
    const milliseconds left{value_ms - clock_ms};
    return answered + lasts_at_most(std::max(left, milliseconds{0}));
}

} // namespace medlarhub
