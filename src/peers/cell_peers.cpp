#include "peers/cell_peers.h"

#include "peers/peer_calls.h"
#include "peers/server_limits.h"

#include "medlarhub/reason.h"

#include "jobs.grpc.pb.h"

#include <absl/synchronization/mutex.h>

namespace medlarhub {

namespace {

using grpc::CallbackServerContext;
using grpc::ServerUnaryReactor;

class cell_service final : public pb::cell::CallbackService {
public:
    explicit cell_service(cell_handler& handler) : m_handler{handler} {}

    ServerUnaryReactor* exchange(CallbackServerContext* context, const pb::gossip* request,
                                 pb::gossip* reply) override {
        auto* reactor = context->DefaultReactor();
        make_reply_callback(reactor, reply)(m_handler.on_exchange(*request));
        return reactor;
    }

    ServerUnaryReactor* take(CallbackServerContext* context, const pb::take_request* request,
                             pb::take_reply* reply) override {
        auto* reactor = context->DefaultReactor();
        make_reply_callback(reactor, reply)(m_handler.on_take(*request));
        return reactor;
    }

    ServerUnaryReactor* request_targets(CallbackServerContext* context, const pb::target_request* request,
                                        pb::target_promise* reply) override {
        auto* reactor = context->DefaultReactor();
        make_reply_callback(reactor, reply)(m_handler.on_request_targets(*request));
        return reactor;
    }

    ServerUnaryReactor* announce_targets(CallbackServerContext* context, const pb::target_notice* request,
                                         pb::target_notice_reply* reply) override {
        auto* reactor = context->DefaultReactor();
        make_reply_callback(reactor, reply)(m_handler.on_announce_targets(*request));
        return reactor;
    }

    ServerUnaryReactor* jobs(CallbackServerContext* context, const pb::job_calls* request,
                             pb::job_answers* reply) override {
        auto* reactor = context->DefaultReactor();
        m_handler.on_jobs(*request, make_reply_callback(reactor, reply));
        return reactor;
    }

    ServerUnaryReactor* advise(CallbackServerContext* context, const pb::advice_call* request,
                               pb::advice_answer* reply) override {
        auto* reactor = context->DefaultReactor();
        m_handler.on_advise(*request, make_reply_callback(reactor, reply));
        return reactor;
    }

    ServerUnaryReactor* relay(CallbackServerContext* context, const pb::relay_call* request,
                              pb::relay_answer* reply) override {
        auto* reactor = context->DefaultReactor();
        m_handler.on_relay(*request, make_reply_callback(reactor, reply));
        return reactor;
    }

private:
    cell_handler& m_handler;
};

} // namespace

class cell_peers::impl : public peer_calls<pb::cell> {
public:
    explicit impl(cell_handler& handler) : m_service{handler} {
        // Debian's build of Abseil has deadlock detection enabled: every lock that gRPC takes is searched for
        // cycles in the lock order. This turns it off.
        absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    }

    cell_service m_service;
    std::unique_ptr<grpc::Server> m_server;
};

cell_peers::cell_peers(cell_handler& handler) : m_impl{std::make_unique<impl>(handler)} {}
cell_peers::~cell_peers() {
    stop();
}

std::optional<std::string> cell_peers::start(const std::string& address) {
    grpc::ServerBuilder builder;
    int port = 0;
    constexpr int shortest_ping_ms = 1000;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, shortest_ping_ms);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    set_server_limits(builder);
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&m_impl->m_service);
    m_impl->m_server = builder.BuildAndStart();
    if (!m_impl->m_server || port == 0)
        return fail("can't listen for calls from peers on " + address);
    return address;
}

void cell_peers::stop() {
    constexpr milliseconds grace{300};
    if (m_impl->m_server)
        m_impl->m_server->Shutdown(std::chrono::system_clock::now() + grace);
    m_impl->m_server.reset();
}

void cell_peers::exchange(const std::string& address, const pb::gossip& message, milliseconds timeout,
                          peer_callback<pb::gossip> done) {
    m_impl->call<pb::gossip, pb::gossip>(address, message, timeout, std::move(done),
                                         &pb::cell::Stub::async::exchange);
}

void cell_peers::jobs(const std::string& address, const pb::job_calls& calls, milliseconds timeout,
                      peer_callback<pb::job_answers> done) {
    m_impl->call<pb::job_calls, pb::job_answers>(address, calls, timeout, std::move(done),
                                                 &pb::cell::Stub::async::jobs);
}

void cell_peers::advise(const std::string& address, const pb::advice_call& call, milliseconds timeout,
                        peer_callback<pb::advice_answer> done) {
    m_impl->call<pb::advice_call, pb::advice_answer>(address, call, timeout, std::move(done),
                                                     &pb::cell::Stub::async::advise);
}

void cell_peers::relay(const std::string& address, const pb::relay_call& call, milliseconds timeout,
                       peer_callback<pb::relay_answer> done) {
    m_impl->call<pb::relay_call, pb::relay_answer>(address, call, timeout, std::move(done),
                                                   &pb::cell::Stub::async::relay);
}

void cell_peers::take(const std::string& address, const pb::take_request& request, milliseconds timeout,
                      peer_callback<pb::take_reply> done) {
    m_impl->call<pb::take_request, pb::take_reply>(address, request, timeout, std::move(done),
                                                   &pb::cell::Stub::async::take);
}

void cell_peers::request_targets(const std::string& address, const pb::target_request& request,
                                 milliseconds timeout, peer_callback<pb::target_promise> done) {
    m_impl->call<pb::target_request, pb::target_promise>(address, request, timeout, std::move(done),
                                                         &pb::cell::Stub::async::request_targets);
}

void cell_peers::announce_targets(const std::string& address, const pb::target_notice& notice,
                                  milliseconds timeout, peer_callback<pb::target_notice_reply> done) {
    m_impl->call<pb::target_notice, pb::target_notice_reply>(address, notice, timeout, std::move(done),
                                                             &pb::cell::Stub::async::announce_targets);
}

} // namespace medlarhub
