#pragma once

#include <functional>

namespace medlarhub {

/// Whether an answer from a peer came, and if not, whether the call can have reached it.
enum class peer_delivery { answered, not_sent, lost };

template <typename Reply> using peer_callback = std::function<void(peer_delivery, Reply)>;

} // namespace medlarhub
