#include "cell/clocks.h"

#include <ctime>
#include <utility>

namespace medlarhub {

milliseconds boot_time() {
    timespec read{};
    clock_gettime(CLOCK_BOOTTIME, &read);
    return std::chrono::duration_cast<milliseconds>(std::chrono::seconds{read.tv_sec} +
                                                    std::chrono::nanoseconds{read.tv_nsec});
}

bool suspension_guard::has_suspended(milliseconds boot, instant at) {
    constexpr milliseconds reading_error{20};
    const auto ahead = boot - at.time_since_epoch();
    const auto before = std::exchange(m_ahead, ahead);
    return before && ahead > *before + reading_error;
}

bool stall_guard::beat(milliseconds boot) {
    const bool stalled_before = m_last != milliseconds{0} && is_stalled(boot);
    m_last = boot;
    return stalled_before;
}

} // namespace medlarhub
