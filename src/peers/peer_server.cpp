#include "peers/peer_server.h"

#include "peers/peer_calls.h"
#include "peers/server_limits.h"

#include "medlarhub/reason.h"

#include "medlarhub.grpc.pb.h"

namespace medlarhub {

namespace {

using grpc::CallbackServerContext;
using grpc::ServerUnaryReactor;

template <typename Reply>
ServerUnaryReactor* finish_now(CallbackServerContext* context, Reply* to, Reply reply) {
    *to = std::move(reply);
    auto* reactor = context->DefaultReactor();
    reactor->Finish(grpc::Status::OK);
    return reactor;
}

} // namespace

class peer_server::impl final : public pb::peer::CallbackService {
public:
    explicit impl(peer_handler& handler) : m_handler{handler} {}

    ServerUnaryReactor* exchange(CallbackServerContext* context, const pb::gossip* request,
                                 pb::gossip* reply) override {
        return finish_now(context, reply, m_handler.on_exchange(*request));
    }

    ServerUnaryReactor* push_config(CallbackServerContext* context, const pb::config_push* request,
                                    pb::config_ack* reply) override {
        return finish_now(context, reply, m_handler.on_push_config(*request));
    }

    ServerUnaryReactor* list_jobs(CallbackServerContext* context, const pb::jobs_request* request,
                                  pb::jobs_reply* reply) override {
        return finish_now(context, reply, m_handler.on_list_jobs(*request));
    }

    ServerUnaryReactor* probe(CallbackServerContext* context, const pb::probe_request* request,
                              pb::probe_reply* reply) override {
        auto* reactor = context->DefaultReactor();
        m_handler.on_probe(*request, make_reply_callback(reactor, reply));
        return reactor;
    }

    ServerUnaryReactor* submit(CallbackServerContext* context, const pb::call* request,
                               pb::answer* reply) override {
        auto* reactor = context->DefaultReactor();
        m_handler.on_submit(*request, make_reply_callback(reactor, reply));
        return reactor;
    }

    ServerUnaryReactor* run(CallbackServerContext* context, const pb::call* request,
                            pb::answer* reply) override {
        auto* reactor = context->DefaultReactor();
        m_handler.on_run(*request, make_reply_callback(reactor, reply));
        return reactor;
    }

    ServerUnaryReactor* ask(CallbackServerContext* context, const pb::call* request,
                            pb::answer* reply) override {
        auto* reactor = context->DefaultReactor();
        m_handler.on_ask(*request, make_reply_callback(reactor, reply));
        return reactor;
    }

    ServerUnaryReactor* cancel(CallbackServerContext* context, const pb::call* request,
                               pb::answer* reply) override {
        auto* reactor = context->DefaultReactor();
        m_handler.on_cancel(*request, make_reply_callback(reactor, reply));
        return reactor;
    }

    ServerUnaryReactor* release(CallbackServerContext* context, const pb::release_request* request,
                                pb::release_reply* reply) override {
        auto* reactor = context->DefaultReactor();
        m_handler.on_release(*request, make_reply_callback(reactor, reply));
        return reactor;
    }

    bool start(const std::string& address) {
        grpc::ServerBuilder builder;
        int port = 0;
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        set_server_limits(builder);
        builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &port);
        builder.RegisterService(this);
        m_server = builder.BuildAndStart();
        return m_server != nullptr && port != 0;
    }

    void stop() {
        constexpr std::chrono::milliseconds grace{500};
        if (m_server)
            m_server->Shutdown(std::chrono::system_clock::now() + grace);
        m_server.reset();
    }

private:
    peer_handler& m_handler;
    std::unique_ptr<grpc::Server> m_server;
};

peer_server::peer_server(peer_handler& handler) : m_impl{std::make_unique<impl>(handler)} {}
peer_server::~peer_server() {
    stop();
}

std::optional<std::string> peer_server::start(const std::string& address) {
    if (!m_impl->start(address))
        return fail("can't listen for peers on " + address);
    return address;
}

void peer_server::stop() {
    m_impl->stop();
}

} // namespace medlarhub
