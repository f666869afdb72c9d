#include "medlarhub/reason.h"

namespace medlarhub {

namespace {
thread_local std::string current_reason;
} // namespace

const std::string& last_reason() {
    return current_reason;
}

void set_reason(std::string_view reason) {
    current_reason = reason;
}

} // namespace medlarhub
