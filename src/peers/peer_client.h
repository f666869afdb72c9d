#pragma once

#include "peers/delivery.h"

#include "medlarhub/time.h"

#include "medlarhub.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarhub {

/// Asynchronous calls to other nodes by their peer address. Each calls `done` exactly once.
class peer_client {
public:
    peer_client();
    ~peer_client();
    peer_client(const peer_client&) = delete;
    peer_client& operator=(const peer_client&) = delete;

    void exchange(const std::string& address, const pb::gossip& message, milliseconds timeout,
                  peer_callback<pb::gossip> done);
    void probe(const std::string& address, const pb::probe_request& message, milliseconds timeout,
               peer_callback<pb::probe_reply> done);
    void submit(const std::string& address, const pb::call& message, milliseconds timeout,
                peer_callback<pb::answer> done);
    void run(const std::string& address, const pb::call& message, milliseconds timeout,
             peer_callback<pb::answer> done);
    void ask(const std::string& address, const pb::call& message, milliseconds timeout,
             peer_callback<pb::answer> done);
    void cancel(const std::string& address, const pb::call& message, milliseconds timeout,
                peer_callback<pb::answer> done);
    void push_config(const std::string& address, const pb::config_push& message, milliseconds timeout,
                     peer_callback<pb::config_ack> done);
    void release(const std::string& address, const pb::release_request& message, milliseconds timeout,
                 peer_callback<pb::release_reply> done);
    void list_jobs(const std::string& address, const pb::jobs_request& message, milliseconds timeout,
                   peer_callback<pb::jobs_reply> done);

private:
    class impl;
    std::unique_ptr<impl> m_impl;
};

} // namespace medlarhub
