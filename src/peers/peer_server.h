#pragma once

#include "medlarhub.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarhub {

/// Handles calls from other nodes. The functions are called on the server's threads; each calls `done`, where
/// it has one, exactly once and possibly later.
class peer_handler {
public:
    peer_handler() = default;
    peer_handler(const peer_handler&) = delete;
    peer_handler& operator=(const peer_handler&) = delete;
    virtual ~peer_handler() = default;

    virtual pb::gossip on_exchange(const pb::gossip& message) = 0;
    virtual void on_probe(const pb::probe_request& message, std::function<void(pb::probe_reply)> done) = 0;
    virtual void on_submit(const pb::call& message, std::function<void(pb::answer)> done) = 0;
    virtual void on_run(const pb::call& message, std::function<void(pb::answer)> done) = 0;
    virtual void on_ask(const pb::call& message, std::function<void(pb::answer)> done) = 0;
    virtual void on_cancel(const pb::call& message, std::function<void(pb::answer)> done) = 0;
    virtual pb::config_ack on_push_config(const pb::config_push& message) = 0;
    virtual void on_release(const pb::release_request& message,
                            std::function<void(pb::release_reply)> done) = 0;
    virtual pb::jobs_reply on_list_jobs(const pb::jobs_request& message) = 0;
};

/// The gRPC server for calls from other nodes.
class peer_server {
public:
    explicit peer_server(peer_handler& handler);
    ~peer_server();
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;

    /// Starts the server. Returns an empty optional and sets the reason when the address can't be bound.
    [[nodiscard]] std::optional<std::string> start(const std::string& address);
    void stop();

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarhub
