#include "peers/peer_client.h"

#include "peers/peer_calls.h"

#include "medlarhub.grpc.pb.h"

namespace medlarhub {

class peer_client::impl : public peer_calls<pb::peer> {};

peer_client::peer_client() : m_impl{std::make_unique<impl>()} {}
peer_client::~peer_client() = default;

namespace {

/// Selects the callback overload of a generated method.
template <typename Request, typename Reply>
using async_method = void (pb::peer::Stub::async::*)(grpc::ClientContext*, const Request*, Reply*,
                                                     std::function<void(grpc::Status)>);

} // namespace

void peer_client::exchange(const std::string& address, const pb::gossip& message, milliseconds timeout,
                           peer_callback<pb::gossip> done) {
    m_impl->call(address, message, timeout, std::move(done),
                 async_method<pb::gossip, pb::gossip>{&pb::peer::Stub::async::exchange});
}

void peer_client::probe(const std::string& address, const pb::probe_request& message, milliseconds timeout,
                        peer_callback<pb::probe_reply> done) {
    m_impl->call(address, message, timeout, std::move(done),
                 async_method<pb::probe_request, pb::probe_reply>{&pb::peer::Stub::async::probe});
}

void peer_client::submit(const std::string& address, const pb::call& message, milliseconds timeout,
                         peer_callback<pb::answer> done) {
    m_impl->call(address, message, timeout, std::move(done),
                 async_method<pb::call, pb::answer>{&pb::peer::Stub::async::submit});
}

void peer_client::run(const std::string& address, const pb::call& message, milliseconds timeout,
                      peer_callback<pb::answer> done) {
    m_impl->call(address, message, timeout, std::move(done),
                 async_method<pb::call, pb::answer>{&pb::peer::Stub::async::run});
}

void peer_client::ask(const std::string& address, const pb::call& message, milliseconds timeout,
                      peer_callback<pb::answer> done) {
    m_impl->call(address, message, timeout, std::move(done),
                 async_method<pb::call, pb::answer>{&pb::peer::Stub::async::ask});
}

void peer_client::cancel(const std::string& address, const pb::call& message, milliseconds timeout,
                         peer_callback<pb::answer> done) {
    m_impl->call(address, message, timeout, std::move(done),
                 async_method<pb::call, pb::answer>{&pb::peer::Stub::async::cancel});
}

void peer_client::push_config(const std::string& address, const pb::config_push& message,
                              milliseconds timeout, peer_callback<pb::config_ack> done) {
    m_impl->call(address, message, timeout, std::move(done),
                 async_method<pb::config_push, pb::config_ack>{&pb::peer::Stub::async::push_config});
}

void peer_client::release(const std::string& address, const pb::release_request& message,
                          milliseconds timeout, peer_callback<pb::release_reply> done) {
    m_impl->call(address, message, timeout, std::move(done),
                 async_method<pb::release_request, pb::release_reply>{&pb::peer::Stub::async::release});
}

void peer_client::list_jobs(const std::string& address, const pb::jobs_request& message, milliseconds timeout,
                            peer_callback<pb::jobs_reply> done) {
    m_impl->call(address, message, timeout, std::move(done),
                 async_method<pb::jobs_request, pb::jobs_reply>{&pb::peer::Stub::async::list_jobs});
}

} // namespace medlarhub
