#pragma once

#include "cell/cell_node.h"
#include "http/server.h"

#include "medlarhub/time.h"

#include <functional>

namespace medlarhub {

/// Leaves the cell and drains the process, which is killed `grace` after this call; returns when it may exit.
/// `refuse` makes the callers' side refuse new requests from then on.
void leave_cell(cell_node& node, const http_server& callers, milliseconds grace,
                const std::function<void()>& refuse);

} // namespace medlarhub
