#pragma once

#include "peers/delivery.h"

#include "medlarhub/time.h"

#include <functional>
#include <grpcpp/grpcpp.h>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <type_traits>
#include <utility>

namespace medlarhub {

/// Maps a gRPC status to a delivery. Only a failure to connect shows that the call was not sent; after any
/// other failure the peer may have received it.
inline peer_delivery delivery_of(const grpc::Status& status) {
    if (status.ok())
        return peer_delivery::answered;
    const bool connection_failed = status.error_code() == grpc::StatusCode::UNAVAILABLE &&
                                   status.error_message().find("failed to connect") != std::string::npos;
    return connection_failed ? peer_delivery::not_sent : peer_delivery::lost;
}

/// Asynchronous calls to the gRPC service `Service` of other nodes, with one channel per address.
template <typename Service> class peer_calls {
public:
    using async_stub = std::remove_pointer_t<decltype(std::declval<typename Service::Stub&>().async())>;

    template <typename Request, typename Reply>
    using method = void (async_stub::*)(grpc::ClientContext*, const Request*, Reply*,
                                        std::function<void(grpc::Status)>);

    template <typename Request, typename Reply>
    void call(const std::string& address, const Request& request, milliseconds timeout,
              peer_callback<Reply> done, method<Request, Reply> rpc) {
        const auto pending = std::make_shared<pending_call<Request, Reply>>();
        pending->request = request;
        pending->context.set_deadline(std::chrono::system_clock::now() + timeout);
        const auto service = stub(address);
        auto* async = service->async();
        (async->*rpc)(&pending->context, &pending->request, &pending->reply,
                      [pending, service, done = std::move(done)](const grpc::Status& status) {
                          done(delivery_of(status), std::move(pending->reply));
                      });
    }

private:
    template <typename Request, typename Reply> struct pending_call {
        grpc::ClientContext context;
        Request request;
        Reply reply;
    };

    std::shared_ptr<typename Service::Stub> stub(const std::string& address) {
        constexpr int first_reconnect_ms = 100;
        constexpr int max_reconnect_ms = 1000;
        constexpr int keepalive_ms = 2000;
        constexpr int keepalive_timeout_ms = 1000;
        const std::lock_guard lock{m_mutex};
        auto& known = m_stubs[address];
        if (!known) {
            grpc::ChannelArguments arguments;
            arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, first_reconnect_ms);
            arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, first_reconnect_ms);
            arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, max_reconnect_ms);
            arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_ms);
            arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_timeout_ms);
            arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
            // Bandwidth-delay probing adapts the flow control windows to the link at the cost of a ping per
            // message; the messages here are too small to need it.
            arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
            known = Service::NewStub(
                grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
        }
        return known;
    }

    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<typename Service::Stub>> m_stubs;
};

/// Makes a callback that fills in the reply and finishes the call. gRPC keeps `reactor` and `to` alive until
/// then.
template <typename Reply>
std::function<void(Reply)> make_reply_callback(grpc::ServerUnaryReactor* reactor, Reply* to) {
    return [reactor, to](Reply reply) {
        *to = std::move(reply);
        reactor->Finish(grpc::Status::OK);
    };
}

} // namespace medlarhub
