#pragma once

#include <grpcpp/grpcpp.h>

namespace medlarhub {

/// Bounds what a caller that is no node can make the gRPC server hold.
inline void set_server_limits(grpc::ServerBuilder& builder) {
    constexpr int handshake_timeout_ms = 5000;
    constexpr int max_metadata_bytes = 16 * 1024;
    constexpr int max_message_bytes = 4 * 1024 * 1024;
    builder.AddChannelArgument(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS, handshake_timeout_ms);
    builder.AddChannelArgument(GRPC_ARG_MAX_METADATA_SIZE, max_metadata_bytes);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
}

} // namespace medlarhub
