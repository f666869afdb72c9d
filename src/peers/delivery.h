#pragma once

#include <functional>

namespace medlarhub {

/// Outcome of a call to a peer.
enum class peer_delivery {
    answered,
    not_sent, ///< no connection was made, so that the peer can't have received the call
    lost      ///< no response; the peer may have received the call
};

template <typename Reply> using peer_callback = std::function<void(peer_delivery, Reply)>;

} // namespace medlarhub
